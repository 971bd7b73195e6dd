package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// fleet is a small deployment: nodes of the project as processes of their own,
// and stand-ins for the platform's store and for upstreams in this process.
type fleet struct {
	root, folder string
	record       *os.File
	recordMu     sync.Mutex
	started      time.Time
	store        *store
	nodes        []*node
	prefix       string
	ports        [6]int
	zones        map[string]any
	services     []string
}

// node is one process of the project and the upstream beside it.
type node struct {
	fleet    *fleet
	name, ip string
	zone     string
	service  string
	// store is where the node calls the store.
	store    string
	settings string
	cmd      *exec.Cmd
	exited   chan struct{}
	up       *upstream
}

// note writes one line of the record.
func (f *fleet) note(format string, args ...any) {
	f.recordMu.Lock()
	defer f.recordMu.Unlock()
	fmt.Fprintf(f.record, "%8.3f %s\n", time.Since(f.started).Seconds(), fmt.Sprintf(format, args...))
}

// repositoryRoot returns the folder above this program's that has a deploy file.
func repositoryRoot() (string, error) {
	folder, err := os.Getwd()
	for err == nil && folder != "/" {
		if _, e := os.Stat(filepath.Join(folder, "deploy", "settings.json")); e == nil {
			return folder, nil
		}
		folder = filepath.Dir(folder)
	}
	return "", fmt.Errorf("no deploy file above the present folder")
}

func newFleet(record string) (*fleet, error) {
	root, err := repositoryRoot()
	if err != nil {
		return nil, err
	}
	f := &fleet{root: root, started: time.Now(), store: newStore(), zones: map[string]any{}}
	if f.record, err = os.Create(record); err != nil {
		return nil, err
	}
	if f.folder, err = os.MkdirTemp("", "review-3-"); err != nil {
		return nil, err
	}
	f.prefix = fmt.Sprintf("127.%d.%d.", 10+rand.IntN(200), rand.IntN(250))
	if err := f.choosePorts(); err != nil {
		return nil, err
	}
	go f.store.expire()
	return f, nil
}

// choosePorts finds ports that are free at an address of the fleet's range, which
// nothing else uses. They are below those that the system gives to connections.
func (f *fleet) choosePorts() error {
	for range 100 {
		base := 20000 + rand.IntN(12000)
		free := true
		for i := range f.ports {
			f.ports[i] = base + i
			ln, err := net.Listen("tcp", f.prefix+"251:"+strconv.Itoa(base+i))
			if err != nil {
				free = false
				break
			}
			ln.Close()
		}
		if free {
			return nil
		}
	}
	return fmt.Errorf("no free ports")
}

// Indexes of fleet.ports.
const (
	portOutbound = iota
	portReady
	portControl
	portUpstream
	portLink
	portAdmin
)

func (n *node) address(port int) string {
	return net.JoinHostPort(n.ip, strconv.Itoa(n.fleet.ports[port]))
}

// addNode adds a machine with an upstream of a service.
func (f *fleet) addNode(zone, service string) *node {
	i := len(f.nodes) + 1
	n := &node{fleet: f, name: fmt.Sprintf("sidecar-%s-%d", zone, i), ip: f.prefix + strconv.Itoa(i), zone: zone, service: service}
	f.zones[zone] = "region-1"
	f.nodes = append(f.nodes, n)
	return n
}

// openStore listens for the node's calls to the store. Each machine has an address
// of its own for them, which tells the machines apart.
func (n *node) openStore() error {
	if n.store != "" {
		return nil
	}
	ln, err := net.Listen("tcp", n.ip+":0")
	if err != nil {
		return err
	}
	n.store = ln.Addr().String()
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { n.fleet.store.serve(n.name, w, r) })
	go func() { _ = http.Serve(ln, handler) }()
	return nil
}

// writeSettings renders the deploy file's template for a node.
func (n *node) writeSettings() error {
	f := n.fleet
	template, err := os.ReadFile(filepath.Join(f.root, "deploy", "settings.json"))
	if err != nil {
		return err
	}
	fields := map[string]any{
		"node": n.name, "role": "node", "ip": n.ip, "zone": n.zone, "region": "region-1", "zones": f.zones,
		"listen":    map[string]any{"outbound": n.address(portOutbound), "ready": n.address(portReady), "control": n.address(portControl)},
		"portRange": []any{float64(f.ports[portLink]), float64(f.ports[portAdmin])},
		"appAddr":   n.address(portUpstream), "service": n.service, "heartbeatMs": 1500.0,
		"platform": map[string]any{"address": n.store},
		"limits":   map[string]any{"memoryMb": 284.0, "maxFds": 4100.0},
		"bounds":   map[string]any{"floorShare": 0.7, "graceS": 6.0, "retrySlack": 62.0, "quotaSlack": 20.0},
	}
	n.settings = filepath.Join(f.folder, n.name+".json")
	return os.WriteFile(n.settings, []byte(render(string(template), fields)), 0o600)
}

// start starts the process with the command of the deploy file.
func (n *node) start() error {
	if err := n.openStore(); err != nil {
		return err
	}
	if err := n.writeSettings(); err != nil {
		return err
	}
	logFile, err := os.OpenFile(filepath.Join(n.fleet.folder, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer logFile.Close()
	n.cmd = exec.Command(filepath.Join(n.fleet.root, "target", "zinniaproxy"), "node", "-settings", n.settings)
	n.cmd.Dir = n.fleet.root
	n.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + n.fleet.folder}
	n.cmd.Stdout, n.cmd.Stderr = logFile, logFile
	n.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := n.cmd.Start(); err != nil {
		return err
	}
	n.fleet.note("node %s started, process %d", n.name, n.cmd.Process.Pid)
	cmd, exited := n.cmd, make(chan struct{})
	n.exited = exited
	go func() {
		err := cmd.Wait()
		n.fleet.note("node %s ended: %v", n.name, err)
		close(exited)
	}()
	return nil
}

func (n *node) hasEnded() bool {
	select {
	case <-n.exited:
		return true
	default:
		return false
	}
}

func (n *node) signal(s syscall.Signal) {
	n.fleet.note("node %s gets %v", n.name, s)
	_ = n.cmd.Process.Signal(s)
}

// restart stops a node as the platform does, with SIGTERM and after the grace
// SIGKILL, and starts it again.
func (n *node) restart() error {
	n.signal(syscall.SIGTERM)
	select {
	case <-n.exited:
	case <-time.After(6 * time.Second):
		n.signal(syscall.SIGKILL)
		<-n.exited
	}
	return n.start()
}

// killAndRestart kills a node and starts it again after a pause.
func (n *node) killAndRestart(pause time.Duration) error {
	n.signal(syscall.SIGKILL)
	<-n.exited
	time.Sleep(pause)
	return n.start()
}

// ready reports whether the node answers the readiness question with 200.
func (n *node) ready() bool {
	c := http.Client{Timeout: 500 * time.Millisecond}
	res, err := c.Get("http://" + n.address(portReady) + "/api/ready")
	if err != nil {
		return false
	}
	res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// startAll starts the nodes and the upstreams beside them, and waits until each
// node serves one request of each path.
func (f *fleet) startAll(paths ...string) error {
	for _, n := range f.nodes {
		if n.up == nil {
			if err := n.startUpstream(); err != nil {
				return err
			}
		}
		if err := n.start(); err != nil {
			return err
		}
	}
	deadline := time.Now().Add(20 * time.Second)
	for _, n := range f.nodes {
		for _, path := range paths {
			for {
				ready, status := n.ready(), n.send(http.MethodGet, path, "", 3*time.Second).status
				if ready && status == http.StatusOK {
					break
				}
				if time.Now().After(deadline) || n.hasEnded() {
					return fmt.Errorf("node %s does not serve %s: ready %v, status %d, ended %v", n.name, path, ready, status, n.hasEnded())
				}
				time.Sleep(100 * time.Millisecond)
			}
		}
	}
	time.Sleep(time.Second)
	f.note("the fleet is up")
	return nil
}

// stop ends all processes.
func (f *fleet) stop(keep bool) {
	for _, n := range f.nodes {
		if n.cmd != nil {
			_ = n.cmd.Process.Signal(syscall.SIGCONT)
			_ = n.cmd.Process.Kill()
			<-n.exited
		}
	}
	f.record.Close()
	if !keep {
		os.RemoveAll(f.folder)
	}
}

// route, tenant and configure build the configuration.
type route struct {
	Name        string `json:"name"`
	Host        string `json:"host"`
	Prefix      string `json:"pathPrefix"`
	Kind        string `json:"kind"`
	Timeout     int    `json:"timeoutMs"`
	Latency     int    `json:"targetLatencyMs"`
	Priority    int    `json:"priority"`
	Service     string `json:"service"`
	MaxAttempts int    `json:"maxAttempts"`
	Public      bool   `json:"public"`
}

const host = "shop.example"

func (f *fleet) configure(version int, routes []route, tenants []any) {
	services := []any{}
	for _, s := range f.services {
		services = append(services, map[string]any{"name": s, "healthPath": "/health", "maxConnections": 390, "protocol": "h1", "tls": false, "coldStartS": 3.0, "coldPerS": 27.0})
	}
	c := map[string]any{
		"version": fmt.Sprintf("%08x", version), "routes": routes, "services": services,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
	if len(tenants) > 0 {
		c["tenants"] = tenants
	}
	b, _ := json.Marshal(c)
	f.store.put(wire["config"], b)
	f.note("operator: configuration %d", version)
}

// newID returns an ID of a request.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// answer is what a client got.
type answer struct {
	id     string
	status int
	header http.Header
	body   string
	err    error
	took   time.Duration
}

var client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 200, DisableCompression: true}}

// send sends a request of a client on the node's machine.
func (n *node) send(method, path, key string, deadline time.Duration) answer {
	return n.sendBody(method, path, key, deadline, "")
}

func (n *node) sendBody(method, path, key string, deadline time.Duration, body string) answer {
	a := answer{id: newID()}
	ctx, cancel := context.WithTimeout(context.Background(), deadline+time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+n.address(portOutbound)+path, strings.NewReader(body))
	if err != nil {
		a.err = err
		return a
	}
	req.Host = host
	req.Header.Set(wire["id"], a.id)
	req.Header.Set(wire["deadline"], strconv.FormatInt(deadline.Milliseconds(), 10))
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	begun := time.Now()
	res, err := client.Do(req)
	if a.err = err; err == nil {
		var b []byte
		b, a.err = io.ReadAll(res.Body)
		res.Body.Close()
		a.status, a.header, a.body = res.StatusCode, res.Header, string(b)
	}
	a.took = time.Since(begun)
	return a
}
