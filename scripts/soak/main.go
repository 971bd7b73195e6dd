// Command soak runs seeds of the fault soak: real processes of zinniaproxy on
// loopback, broken from outside. It builds the program first, keeps the logs,
// table and plot of each run that broke a promise, and ends with 1 if any did.
//
//	go run ./scripts/soak [-seeds N] [-first SEED] [-at ONCE] [-nodes N] [-steps N] [-keep DIR]
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
	// firstNet and lastNet bound the second number of a run's addresses; each
	// run takes one that no other run on the machine has, by its guard port.
	firstNet, lastNet = 81, 250
	guardPort         = 7399
	maxAtOnce,
	maxNodes = 12, 100
)

type flags struct {
	seeds, at, nodes, steps int
	first                   uint64
	chaos, calm             time.Duration
	keep                    string
	all, safety             bool
}

func main() {
	var f flags
	flag.IntVar(&f.seeds, "seeds", 1, "how many seeds to run")
	flag.Uint64Var(&f.first, "first", uint64(time.Now().Unix()), "the first seed")
	flag.IntVar(&f.at, "at", 4, "how many run at the same time")
	flag.IntVar(&f.nodes, "nodes", 4, "nodes of a run, each with a target")
	flag.IntVar(&f.steps, "steps", 16, "steps of a run")
	flag.DurationVar(&f.chaos, "chaos", 30*time.Second, "how long steps begin")
	flag.DurationVar(&f.calm, "calm", 30*time.Second, "how long the fleet then has to be whole again")
	flag.StringVar(&f.keep, "keep", "", "folder for the logs of runs that broke a promise (default a temporary one)")
	flag.BoolVar(&f.safety, "safety", false, "judge only what holds on a machine without time to spare, too")
	flag.BoolVar(&f.all, "all", false, "keep the logs of all runs")
	flag.Parse()
	if f.at < 1 || f.at > maxAtOnce || f.nodes < 2 || f.nodes > maxNodes {
		fmt.Fprintf(os.Stderr, "at: 1 to %d, nodes: 2 to %d\n", maxAtOnce, maxNodes)
		os.Exit(2)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	broken, err := f.run(ctx)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	if err != nil || broken > 0 {
		os.Exit(1)
	}
}

// run plays all seeds and returns how many broke a promise or failed.
func (f flags) run(ctx context.Context) (int64, error) {
	dir, err := os.MkdirTemp("", "soak")
	if err != nil {
		return 0, err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	if f.keep == "" {
		f.keep = filepath.Join(os.TempDir(), "soak-kept")
	}
	program := filepath.Join(dir, "zinniaproxy")
	if out, err := exec.CommandContext(ctx, "go", "build", "-o", program, "./cmd/zinniaproxy").CombinedOutput(); err != nil {
		return 0, fmt.Errorf("go build: %w: %s", err, out)
	}
	var wg sync.WaitGroup
	var next, broken atomic.Int64
	for range f.at {
		guard, addresses, err := take()
		if err != nil {
			return 0, err
		}
		wg.Go(func() {
			defer guard.Close()
			for n := next.Add(1) - 1; n < int64(f.seeds) && ctx.Err() == nil; n = next.Add(1) - 1 {
				if !f.seed(ctx, program, dir, addresses, f.first+uint64(n)) {
					broken.Add(1)
				}
			}
		})
	}
	wg.Wait()
	fmt.Printf("%d seeds, %d with a broken promise\n", f.seeds, broken.Load())
	return broken.Load(), ctx.Err()
}

// take reserves the addresses of one run at a time.
func take() (net.Listener, string, error) {
	for n := firstNet; n <= lastNet; n++ {
		if ln, err := net.Listen("tcp", fmt.Sprintf("127.%d.251.1:%d", n, guardPort)); err == nil {
			return ln, fmt.Sprintf("127.%d", n), nil
		}
	}
	return nil, "", errors.New("soak: all addresses are taken by other runs")
}

// seed plays one seed and tells whether all promises held.
func (f flags) seed(ctx context.Context, program, dir, addresses string, seed uint64) bool {
	at := filepath.Join(dir, fmt.Sprint("seed-", seed))
	if err := os.MkdirAll(at, 0o755); err != nil {
		fmt.Println(err)
		return false
	}
	s := &soaker.Soaker{
		Program: program, Dir: at, Net: addresses,
		Shape: soaker.Shape{Seed: seed, Nodes: f.nodes, Steps: f.steps, Chaos: f.chaos, Calm: f.calm},
	}
	seen, err := s.Run(ctx)
	var bad []string
	if err != nil {
		bad = append(bad, err.Error())
	}
	if seen != nil {
		safety, service := seen.Judge()
		if bad = append(bad, safety...); !f.safety {
			bad = append(bad, service...)
		}
		err = f.report(at, seen, bad)
		fmt.Printf("seed %d: %d broken; %s\n", seed, len(bad), seen.Summary())
	}
	for _, line := range bad[:min(len(bad), 8)] {
		fmt.Printf("  seed %d: %s\n", seed, line)
	}
	if len(bad) > 0 || f.all {
		if err := os.MkdirAll(f.keep, 0o755); err == nil {
			_ = os.Rename(at, filepath.Join(f.keep, filepath.Base(at)))
		}
	}
	_ = os.RemoveAll(at)
	return err == nil && len(bad) == 0
}

// report writes the table and the plot of a run beside its logs.
func (f flags) report(at string, seen *soaker.Seen, bad []string) error {
	return errors.Join(
		os.WriteFile(filepath.Join(at, "report.txt"), []byte(seen.Table(bad)), 0o644),
		os.WriteFile(filepath.Join(at, "plot.svg"), []byte(seen.Plot()), 0o644),
	)
}
