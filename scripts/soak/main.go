// Command soak runs soak tests: zinniaproxy processes on loopback under load,
// with injected faults that follow from a seed. It builds the program first, keeps
// the logs, table and plot of each run that violated a guarantee, and exits with 1
// if any did.
//
//	go run ./scripts/soak [-seeds N] [-first SEED] [-at N] [-nodes N] [-steps N] [-clients N] [-keep DIR]
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"net"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/zinniaproxy/zinniaproxy/internal/soaker"
)

const (
	// minSecondOctet and maxSecondOctet bound the second octet of a run's
	// addresses. Each concurrent run reserves its octet on the machine by
	// listening on guardPort.
	minSecondOctet, maxSecondOctet = 81, 250
	guardPort                      = 7399
	maxConcurrent, maxNodes        = 12, 100
	// maxPrintedViolations bounds the printed violations of a seed; report.txt has
	// all.
	maxPrintedViolations = 8
)

type flags struct {
	seeds, concurrent, nodes, steps, restorations, clients int
	firstSeed                                              uint64
	faultPeriod, recoveryTime                              time.Duration
	keepDir                                                string
	keepAll, safetyOnly                                    bool
}

func main() {
	var f flags
	flag.IntVar(&f.seeds, "seeds", 1, "number of seeds to run")
	flag.Uint64Var(&f.firstSeed, "first", uint64(time.Now().Unix()), "the first seed")
	flag.IntVar(&f.concurrent, "at", 4, "number of concurrent runs")
	flag.IntVar(&f.nodes, "nodes", 4, "nodes per run, each with a target")
	flag.IntVar(&f.steps, "steps", 16, "steps per run")
	flag.IntVar(&f.restorations, "restorations", 1, "restorations of the store from an older copy per run, besides the steps")
	flag.IntVar(&f.clients, "clients", 4, "loads by misbehaving clients per run, besides the steps")
	flag.DurationVar(&f.faultPeriod, "chaos", 30*time.Second, "period within which steps begin")
	flag.DurationVar(&f.recoveryTime, "calm", 30*time.Second, "time that the fleet then has to recover")
	flag.StringVar(&f.keepDir, "keep", "", "directory for the logs of runs that violated a guarantee (default soak-kept in the temporary directory)")
	flag.BoolVar(&f.safetyOnly, "safety", false, "check only the safety guarantees, which hold on an overloaded machine too")
	flag.BoolVar(&f.keepAll, "all", false, "keep the logs of all runs")
	flag.Parse()
	if f.concurrent < 1 || f.concurrent > maxConcurrent || f.nodes < 2 || f.nodes > maxNodes {
		fmt.Fprintf(os.Stderr, "at: 1 to %d, nodes: 2 to %d\n", maxConcurrent, maxNodes)
		os.Exit(2)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	failed, err := f.run(ctx)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	if err != nil || failed > 0 {
		os.Exit(1)
	}
}

// run runs all seeds and returns how many violated a guarantee or failed.
func (f flags) run(ctx context.Context) (int64, error) {
	dir, err := os.MkdirTemp("", "soak")
	if err != nil {
		return 0, err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	if f.keepDir == "" {
		f.keepDir = filepath.Join(os.TempDir(), "soak-kept")
	}
	program := filepath.Join(dir, "zinniaproxy")
	if out, err := exec.CommandContext(ctx, "go", "build", "-o", program, "./cmd/zinniaproxy").CombinedOutput(); err != nil {
		return 0, fmt.Errorf("go build: %w: %s", err, out)
	}
	var wg sync.WaitGroup
	var next, failed atomic.Int64
	for range f.concurrent {
		guard, addresses, err := reserveAddresses()
		if err != nil {
			return 0, err
		}
		wg.Go(func() {
			defer guard.Close()
			for n := next.Add(1) - 1; n < int64(f.seeds) && ctx.Err() == nil; n = next.Add(1) - 1 {
				if !f.runSeed(ctx, program, dir, addresses, f.firstSeed+uint64(n)) {
					failed.Add(1)
				}
			}
		})
	}
	wg.Wait()
	fmt.Printf("%d seeds, %d failed\n", f.seeds, failed.Load())
	return failed.Load(), ctx.Err()
}

// reserveAddresses reserves a range of loopback addresses for one run at a time,
// and returns its first two octets. Closing the listener frees the range.
func reserveAddresses() (net.Listener, string, error) {
	for n := minSecondOctet; n <= maxSecondOctet; n++ {
		if ln, err := net.Listen("tcp", fmt.Sprintf("127.%d.251.1:%d", n, guardPort)); err == nil {
			return ln, fmt.Sprintf("127.%d", n), nil
		}
	}
	return nil, "", errors.New("soak: other runs hold all address ranges")
}

// runSeed runs one seed and returns whether all guarantees held.
func (f flags) runSeed(ctx context.Context, program, dir, addresses string, seed uint64) bool {
	runDir := filepath.Join(dir, fmt.Sprint("seed-", seed))
	if err := os.MkdirAll(runDir, 0o755); err != nil {
		fmt.Println(err)
		return false
	}
	s := &soaker.Soaker{
		Program: program, Dir: runDir, AddressPrefix: addresses,
		Parameters: soaker.Parameters{Seed: seed, Nodes: f.nodes, Steps: f.steps, Restorations: f.restorations, ClientLoads: f.clients, FaultPeriod: f.faultPeriod, RecoveryTime: f.recoveryTime},
	}
	observations, err := s.Run(ctx)
	var violations []string
	if err != nil {
		violations = append(violations, err.Error())
	}
	if observations != nil {
		safety, availability := observations.Violations()
		if violations = append(violations, safety...); !f.safetyOnly {
			violations = append(violations, availability...)
		}
		err = f.writeReport(runDir, observations, violations)
		fmt.Printf("seed %d: %d violations; %s\n", seed, len(violations), observations.Summary())
	}
	for _, line := range violations[:min(len(violations), maxPrintedViolations)] {
		fmt.Printf("  seed %d: %s\n", seed, line)
	}
	if len(violations) > 0 || f.keepAll {
		if err := os.MkdirAll(f.keepDir, 0o755); err == nil {
			_ = os.Rename(runDir, filepath.Join(f.keepDir, filepath.Base(runDir)))
		}
	}
	_ = os.RemoveAll(runDir)
	return err == nil && len(violations) == 0
}

// writeReport writes the table and the plot of a run next to its logs.
func (f flags) writeReport(runDir string, observations *soaker.Observations, violations []string) error {
	return errors.Join(
		os.WriteFile(filepath.Join(runDir, "report.txt"), []byte(observations.Table(violations)), 0o644),
		os.WriteFile(filepath.Join(runDir, "plot.svg"), []byte(observations.Plot()), 0o644),
	)
}
