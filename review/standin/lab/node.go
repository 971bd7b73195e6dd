package lab

import (
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Bounds of the small deployments.
const (
	Grace     = 6 * time.Second
	Drain     = 2 * time.Second
	Evacuated = 5 * time.Second
	heartbeat = 1500 * time.Millisecond
)

// Node is one machine: a node of zinniaproxy as a process of its own, and the
// address of the upstream beside it.
type Node struct {
	Name, Zone, Service string
	// IP is the machine's address, Outbound where its clients send requests,
	// UpstreamAddress where its upstream listens.
	IP, Outbound, UpstreamAddress string

	lab            *Lab
	ready, control string
	link, admin    int
	settings       string

	mu      sync.Mutex
	process *exec.Cmd
	exited  chan struct{}
	// closed is set at the end of the run, when no process may start any more.
	closed bool
}

// AddNode adds a machine. StartNodes starts its process.
func (l *Lab) AddNode(zone, service string) (*Node, error) {
	n := &Node{Zone: zone, Service: service, lab: l, IP: fmt.Sprintf("127.0.1.%d", len(l.nodes)+1)}
	n.Name = fmt.Sprintf("sidecar-%s-%d", zone, len(l.nodes)+1)
	ports, err := freePorts(n.IP, 6)
	if err != nil {
		return nil, err
	}
	address := func(i int) string { return fmt.Sprintf("%s:%d", n.IP, ports[i]) }
	n.Outbound, n.ready, n.control, n.UpstreamAddress = address(0), address(1), address(2), address(3)
	n.link, n.admin = ports[4], ports[5]
	l.nodes = append(l.nodes, n)
	l.zones[zone] = "region-a"
	return n, nil
}

// StartNodes starts all machines and waits until they are ready.
func (l *Lab) StartNodes() error {
	for _, n := range l.nodes {
		if err := n.writeSettings(); err != nil {
			return err
		}
		if err := n.Start(); err != nil {
			return err
		}
	}
	for _, n := range l.nodes {
		if err := n.awaitReady(); err != nil {
			return err
		}
	}
	return nil
}

func (n *Node) writeSettings() error {
	template, err := os.ReadFile(filepath.Join(n.lab.root, "deploy", "settings.json"))
	if err != nil {
		return err
	}
	zones := map[string]any{}
	for zone, region := range n.lab.zones {
		zones[zone] = region
	}
	settings, err := render(string(template), map[string]any{
		"node": n.Name, "zone": n.Zone, "region": n.lab.zones[n.Zone], "ip": n.IP, "zones": zones,
		"listen":    map[string]any{"outbound": n.Outbound, "ready": n.ready, "control": n.control},
		"portRange": []any{n.link, n.admin},
		"service":   n.Service, "appAddr": n.UpstreamAddress,
		"platform":    map[string]any{"address": n.lab.Store.Address()},
		"heartbeatMs": heartbeat.Milliseconds(),
		"bounds":      map[string]any{"floorShare": 0.7, "graceS": Grace.Seconds(), "retrySlack": 62, "quotaSlack": 20},
	})
	if err != nil {
		return err
	}
	n.settings = filepath.Join(n.lab.dir, n.Name+".json")
	return os.WriteFile(n.settings, []byte(settings), 0o600)
}

// Start starts the node's process with the command of the deploy file.
func (n *Node) Start() error {
	log, err := os.OpenFile(filepath.Join(n.lab.dir, n.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	c := exec.Command(filepath.Join(n.lab.root, "target", "zinniaproxy"), "node", "-settings", n.settings)
	c.Dir, c.Stdout, c.Stderr = n.lab.root, log, log
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		return errors.New("the run has ended")
	}
	if err := c.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	n.process, n.exited = c, exited
	go func() {
		_ = c.Wait()
		n.lab.Logf("%s: process ended: %v", n.Name, c.ProcessState)
		close(exited)
	}()
	n.lab.Logf("%s: process started in %s for %s", n.Name, n.Zone, n.Service)
	return nil
}

// Signal sends a signal to the node's process.
func (n *Node) Signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.lab.Logf("%s: signal %v", n.Name, s)
	_ = n.process.Process.Signal(s)
}

// Stop stops the process as the platform does: SIGTERM, and SIGKILL after Grace
// unless it has ended.
func (n *Node) Stop() {
	n.Signal(syscall.SIGTERM)
	n.mu.Lock()
	exited := n.exited
	n.mu.Unlock()
	go func() {
		select {
		case <-exited:
		case <-time.After(Grace):
			n.Signal(syscall.SIGKILL)
		}
	}()
}

// restartDelay is how long after its end a process is started again.
const restartDelay = 200 * time.Millisecond

// StopAndStart stops the process, see Stop, and starts it again when it has ended.
func (n *Node) StopAndStart() {
	n.mu.Lock()
	exited := n.exited
	n.mu.Unlock()
	n.Stop()
	go func() {
		<-exited
		time.Sleep(restartDelay)
		if err := n.Start(); err != nil {
			n.lab.Logf("%s: not started again: %v", n.Name, err)
		}
	}()
}

// kill ends the process, stopped or not, for good.
func (n *Node) kill() {
	n.mu.Lock()
	n.closed = true
	process, exited := n.process, n.exited
	n.mu.Unlock()
	if process == nil {
		return
	}
	_ = process.Process.Kill()
	<-exited
}

// Ready reports whether the node answers the platform's question with 200.
func (n *Node) Ready() bool {
	c := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := c.Get("http://" + n.ready + names.ReadyPath)
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

const startTimeout = 15 * time.Second

func (n *Node) awaitReady() error {
	for end := time.Now().Add(startTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if n.Ready() {
			return nil
		}
	}
	return errors.New(n.Name + " is not ready")
}
