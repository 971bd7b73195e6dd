// Package lab runs nodes of zinniaproxy as separate processes on loopback
// addresses, with stand-ins for the store, the upstreams and the clients of the
// users' platform.
package lab

import (
	_ "embed"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"
)

//go:embed names.json
var namesData []byte

// names are the platform's names on the wire.
var names = mustNames()

type nameTable struct {
	AttemptID      string   `json:"attemptID"`
	Deadline       string   `json:"deadline"`
	Signature      string   `json:"signature"`
	NotExecuted    string   `json:"notExecuted"`
	ExpectInstance string   `json:"expectInstance"`
	InstanceID     string   `json:"instanceID"`
	Load           string   `json:"load"`
	Leaving        string   `json:"leaving"`
	Era            string   `json:"era"`
	ConfigKey      string   `json:"configKey"`
	EvacuatePrefix string   `json:"evacuatePrefix"`
	SystemDenied   []string `json:"systemDenied"`
	GetPath        string   `json:"getPath"`
	RangePath      string   `json:"rangePath"`
	WatchPath      string   `json:"watchPath"`
	TxnPath        string   `json:"txnPath"`
	LeasePath      string   `json:"leasePath"`
	KeepPath       string   `json:"keepPath"`
	EndPath        string   `json:"endPath"`
	InstancesPath  string   `json:"instancesPath"`
	ReadyPath      string   `json:"readyPath"`
	ColdRemaining  string   `json:"coldRemaining"`
}

func mustNames() (t nameTable) {
	if err := json.Unmarshal(namesData, &t); err != nil {
		panic(err)
	}
	return t
}

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	failed = 2
)

// maxRunTime bounds a run, so that its processes end in any case.
const maxRunTime = 110 * time.Second

// Lab is one run of a case.
type Lab struct {
	// Trouble is whether the run includes the disruption.
	Trouble bool
	// Store is the stand-in for the platform's store.
	Store *Store

	root, dir string
	start     time.Time
	zones     map[string]string

	mu     sync.Mutex
	record *os.File
	nodes  []*Node
}

// Main runs a case and exits. The run reports each breach of a rule with
// Lab.Breach; an error means that the case could not run.
//
// The program is started in the repository's root with the case's folder as its
// argument.
func Main(run func(l *Lab) error) {
	os.Exit(runCase(run))
}

func runCase(run func(l *Lab) error) int {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: PROGRAM CASE-FOLDER")
		return failed
	}
	l, err := newLab(os.Args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	defer l.close()
	ended := make(chan error, 1)
	go func() { ended <- run(l) }()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	select {
	case err = <-ended:
	case <-interrupted:
		err = errors.New("interrupted")
	case <-time.After(maxRunTime):
		err = errors.New("the run took too long")
	}
	var b *Breach
	switch {
	case errors.As(err, &b):
		l.Logf("rule broken: %v", err)
		return broken
	case err != nil:
		l.Logf("the case could not run: %v", err)
		return failed
	}
	l.Logf("rule held")
	return held
}

// Breach is the error of a run in which a rule was broken.
type Breach struct{ text string }

func (b *Breach) Error() string { return b.text }

// Breachf returns a Breach.
func Breachf(format string, args ...any) error {
	return &Breach{fmt.Sprintf(format, args...)}
}

func newLab(folder string) (*Lab, error) {
	root, err := os.Getwd()
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	l := &Lab{
		Trouble: os.Getenv("TROUBLE") != "0", root: root, dir: dir, start: time.Now(),
		zones: map[string]string{}, record: record,
	}
	l.Store, err = newStore()
	l.Logf("trouble: %v", l.Trouble)
	return l, err
}

// Logf writes a line to the record, with the time since the start.
func (l *Lab) Logf(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	line := fmt.Sprintf("%7.3f ", time.Since(l.start).Seconds()) + fmt.Sprintf(format, args...) + "\n"
	_, _ = l.record.WriteString(line)
}

func (l *Lab) close() {
	for _, n := range l.nodes {
		n.kill()
	}
	l.Store.close()
	_ = l.record.Close()
	_ = os.RemoveAll(l.dir)
}

// Ports are taken from a range below the one from which the system takes those of
// outgoing connections.
const firstPort, portCount = 18_000, 12_000

// freePorts returns different ports that are free for TCP and UDP on an address.
func freePorts(ip string, count int) ([]int, error) {
	var ports []int
	for range 100 * count {
		if len(ports) == count {
			return ports, nil
		}
		port := firstPort + rand.IntN(portCount)
		if !slices.Contains(ports, port) && isFree(fmt.Sprintf("%s:%d", ip, port)) {
			ports = append(ports, port)
		}
	}
	return nil, errors.New("no free ports")
}

func isFree(address string) bool {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return false
	}
	defer func() { _ = ln.Close() }()
	pc, err := net.ListenPacket("udp", address)
	if err != nil {
		return false
	}
	return pc.Close() == nil
}
