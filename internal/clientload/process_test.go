package clientload_test

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/zinniaproxy/zinniaproxy/internal/configurer"
	"github.com/zinniaproxy/zinniaproxy/internal/storer"
	"github.com/zinniaproxy/zinniaproxy/pkg/declarer"
)

const (
	secret     = "clientload-secret-0123456789"
	startLimit = 20 * time.Second
	stopLimit  = 5 * time.Second
)

// process is a program that the test started. It is signaled by its ID only.
type process struct {
	t      *testing.T
	cmd    *exec.Cmd
	log    string
	exited chan struct{}
}

// start runs the program with a limit of its open descriptors, 0 for none of its
// own, and ends it with the test.
func start(t *testing.T, name string, descriptors int, env []string, program string, args ...string) *process {
	p := &process{t: t, log: filepath.Join(t.TempDir(), name+".log"), exited: make(chan struct{})}
	p.cmd = exec.Command(program, args...)
	if descriptors > 0 {
		limited := append([]string{"-c", fmt.Sprintf(`ulimit -n %d && exec "$0" "$@"`, descriptors), program}, args...)
		p.cmd = exec.Command("sh", limited...)
	}
	out, err := os.Create(p.log)
	qt.Assert(t, err, qt.IsNil)
	p.cmd.Stdout, p.cmd.Stderr, p.cmd.Env = out, out, append(os.Environ(), env...)
	qt.Assert(t, p.cmd.Start(), qt.IsNil)
	var waited sync.WaitGroup
	waited.Go(func() {
		_ = p.cmd.Wait() // the log shows why it exited
		close(p.exited)
	})
	t.Cleanup(func() {
		_ = p.cmd.Process.Signal(syscall.SIGKILL) // it may have exited
		waited.Wait()
		_ = out.Close()
	})
	return p
}

func (p *process) alive() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// tail returns the last lines of the log.
func (p *process) tail() string {
	b, err := os.ReadFile(p.log)
	if err != nil {
		return err.Error()
	}
	return string(b[max(0, len(b)-4000):])
}

// status returns a field of /proc/PID/status in MB, 0 once the process has exited.
func (p *process) status(field string) float64 {
	b, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid)) // fails if it has exited
	for line := range bytes.Lines(b) {
		words := strings.Fields(string(line))
		if len(words) > 1 && words[0] == field+":" {
			kilobytes, err := strconv.Atoi(words[1])
			qt.Assert(p.t, err, qt.IsNil)
			return float64(kilobytes) / 1024
		}
	}
	return 0
}

// resetPeak makes VmHWM the memory that is resident now.
func (p *process) resetPeak() {
	err := os.WriteFile(fmt.Sprintf("/proc/%d/clear_refs", p.cmd.Process.Pid), []byte("5"), 0)
	qt.Assert(p.t, err, qt.IsNil, qt.Commentf("%s", p.tail()))
}

// descriptors returns the number of open descriptors.
func (p *process) descriptors() int {
	entries, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid)) // fails if it has exited
	return len(entries)
}

// buildProgram builds the program that the test runs.
func buildProgram(t *testing.T) string {
	name := filepath.Join(t.TempDir(), "zinniaproxy")
	out, err := exec.Command("go", "build", "-o", name, "../../cmd/zinniaproxy").CombinedOutput()
	qt.Assert(t, err, qt.IsNil, qt.Commentf("%s", out))
	return name
}

// Ports of the test lie below those that the kernel gives to outgoing connections: one
// of these could take a port between its choice and the start of its process.
const lowestPort, portCount = 15_000, 15_000

// freeAddress returns an address of loopback that nothing listens at.
func freeAddress(t *testing.T) string {
	for range 100 {
		address := net.JoinHostPort("127.0.0.1", strconv.Itoa(lowestPort+rand.IntN(portCount)))
		ln, err := net.Listen("tcp", address)
		if err != nil {
			continue // in use
		}
		qt.Assert(t, ln.Close(), qt.IsNil)
		return address
	}
	t.Fatal("no free port")
	return ""
}

// belong to one node, the readiness and the announcement port to the other.
func startFleet(t *testing.T, descriptors int, env []string) []*port {
	program, store := buildProgram(t), freeAddress(t)
	start(t, "store", 0, nil, program, "store", "--address", store)
	applyFleet(t, store)
	callers, link, admin := freeAddress(t), freeAddress(t), freeAddress(t)
	settings := func(name, callers, link, admin string) []string {
		return []string{"node", "--name", name, "--centre", "one", "--region", "here", "--address", "127.0.0.1", "--store", "http://" + store,
			"--secret", secret, "--callers", callers, "--link", link, "--admin", admin}
	}
	own := start(t, "own", descriptors, env, program, settings("own", callers, link, admin)...)
	start(t, "target", 0, nil, program, "target", "--service", "booking", "--address", freeAddress(t), "--admin", admin, "--slots", "16", "--time", "5ms")
	ready, announce := freeAddress(t), freeAddress(t)
	platform := start(t, "platform", descriptors, env, program, append(settings("platform", freeAddress(t), freeAddress(t), freeAddress(t)),
		"--dialect", "platform", "--rates", "shared", "--ready", ready, "--announce", announce)...)
	ports := []*port{
		{name: "route", node: own, address: callers, method: "POST", path: "/open", large: "/open?size=900000", want: 200},
		{name: "no route", node: own, address: callers, method: "POST", path: "/none", large: "/none", want: 404},
		{name: "admin", node: own, address: admin, method: "PUT", path: "/v1/targets/booking/127.0.0.1:9", large: "/v1/events", want: 400},
		{name: "link", node: own, address: link, method: "GET", path: "/", large: "/"},
		{name: "readiness", node: platform, address: ready, method: "GET", path: "/api/ready", large: "/api/ready", want: 503},
		{name: "announcement", node: platform, address: announce, method: "PUT", path: "/api/instances/i", large: "/api/instances/i", want: 400},
	}
	for _, p := range ports {
		p.awaitAnswer(t, startLimit)
	}
	return ports
}

// adminPort is the index of the admin port among those of startFleet.
const adminPort = 2

func applyFleet(t *testing.T, store string) {
	f := declarer.Fleet{}.WithCentre(declarer.Centre{Name: "one", Region: "here"}).
		WithService(declarer.Service{Name: "booking", Slots: 16, Cold: 16, Floor: 0.5}).
		WithRoute(declarer.Route{Name: "open", Path: "/open", Service: "booking", Open: true, Deadline: 5000}).
		WithService(declarer.Service{Name: "broken", Slots: 64, Cold: 64, Floor: 0.5}).
		WithRoute(declarer.Route{Name: "broken", Path: "/broken", Service: "broken", Open: true, Deadline: 1000})
	var err error
	for end := time.Now().Add(startLimit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if _, err = configurer.Apply(t.Context(), storer.Dial("http://"+store, httpClient), 0, f, "clientload"); err == nil {
			return
		}
	}
	qt.Assert(t, err, qt.IsNil)
}
