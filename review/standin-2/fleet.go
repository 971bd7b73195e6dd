package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// Bounds of a small deployment, as its settings give them.
const (
	beatInterval = 1500 * time.Millisecond
	contactTime  = 3 * time.Second
	drainTime    = 2 * time.Second
)

// fleet is a small deployment on loopback addresses: a store, machines with a node
// and an upstream each, and clients beside them.
type fleet struct {
	wire     wire
	record   *record
	binary   string
	template string
	folder   string
	trouble  bool
	net      string // the first three numbers of the addresses
	ports    ports
	store    *store
	machines []*machine
	version  int
	zones    map[string]any
	// memory is that of each machine in MB.
	memory int
}

type ports struct{ link, admin, outbound, inbound, ready, control, app, store int }

// machine is one machine of the deployment.
type machine struct {
	fleet    *fleet
	name     string
	ip, zone string
	service  string
	cmd      *exec.Cmd
	exited   chan struct{}
	log      *os.File
	upstream *upstream
	// crash ends the upstream that begins to run a request which crashes it.
	crash func(u *upstream)
}

// newFleet starts the store. Its addresses were free when it was called.
func newFleet(o options) (*fleet, error) {
	f := &fleet{wire: o.wire, record: o.record, binary: o.binary, folder: o.folder, trouble: o.trouble, zones: map[string]any{}, memory: 284}
	b, err := os.ReadFile(o.template)
	if err != nil {
		return nil, err
	}
	f.template = string(b)
	f.net = fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), 1+rand.IntN(250))
	base := 20000 + 20*rand.IntN(400)
	f.ports = ports{base, base + 1, base + 2, base + 3, base + 4, base + 5, base + 6, base + 7}
	f.store = newStore(o.wire)
	ln, err := net.Listen("tcp", f.storeAddress())
	if err != nil {
		return nil, err
	}
	go func() { _ = http.Serve(ln, f.store) }()
	return f, nil
}

func (f *fleet) storeAddress() string { return fmt.Sprintf("%s.1:%d", f.net, f.ports.store) }

// addMachine adds a machine of a zone, with the service of its upstream.
func (f *fleet) addMachine(name, zone, service string) *machine {
	m := &machine{fleet: f, name: name, ip: fmt.Sprintf("%s.%d", f.net, 11+len(f.machines)), zone: zone, service: service}
	f.zones[zone] = "region-1"
	f.machines = append(f.machines, m)
	return m
}

func (m *machine) address(port int) string { return fmt.Sprintf("%s:%d", m.ip, port) }

// settings returns what the platform fills the template with.
func (m *machine) settings() map[string]any {
	p := m.fleet.ports
	return map[string]any{
		"node": m.name, "zone": m.zone, "region": "region-1", "ip": m.ip, "zones": m.fleet.zones,
		"listen": map[string]any{
			"inbound": m.address(p.inbound), "outbound": m.address(p.outbound), "ready": m.address(p.ready), "control": m.address(p.control),
		},
		"portRange": []any{p.link, p.admin}, "heartbeatMs": beatInterval.Milliseconds(),
		"limits":  map[string]any{"memoryMb": m.fleet.memory, "maxFds": 4100},
		"bounds":  map[string]any{"floorShare": 0.7, "graceS": 6, "retrySlack": 62, "quotaSlack": 20},
		"appAddr": m.address(p.app), "service": m.service,
		"platform": map[string]any{"address": m.fleet.storeAddress()},
	}
}

// start starts the node's process with the run line of the deploy file.
func (m *machine) start() error {
	path := filepath.Join(m.fleet.folder, m.name+".json")
	if err := os.WriteFile(path, []byte(render(m.fleet.template, m.settings())), 0o600); err != nil {
		return err
	}
	if m.log == nil {
		f, err := os.Create(filepath.Join(m.fleet.folder, m.name+".log"))
		if err != nil {
			return err
		}
		m.log = f
	}
	cmd := exec.Command(m.fleet.binary, "node", "-settings", path)
	cmd.Stdout, cmd.Stderr = m.log, m.log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	m.cmd, m.exited = cmd, make(chan struct{})
	exited := m.exited
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	m.fleet.record.add("node %s started, process %d", m.name, cmd.Process.Pid)
	return nil
}

// signal sends a signal to the node's process.
func (m *machine) signal(s syscall.Signal) {
	m.fleet.record.add("node %s gets signal %v", m.name, s)
	_ = m.cmd.Process.Signal(s)
}

// stop sends SIGTERM, and SIGKILL after the grace time, and waits for the end.
func (m *machine) stop() {
	m.signal(syscall.SIGTERM)
	select {
	case <-m.exited:
	case <-time.After(6 * time.Second):
		m.signal(syscall.SIGKILL)
		<-m.exited
	}
	m.fleet.record.add("node %s ended", m.name)
}

// kill ends the process at once.
func (m *machine) kill() {
	m.signal(syscall.SIGKILL)
	<-m.exited
}

// close ends all processes.
func (f *fleet) close() {
	for _, m := range f.machines {
		if m.cmd != nil {
			_ = m.cmd.Process.Kill()
			<-m.exited
		}
	}
}

// ready waits until all nodes answer the platform's question with 200.
func (f *fleet) ready(timeout time.Duration) error {
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(timeout); ; time.Sleep(50 * time.Millisecond) {
		n := 0
		for _, m := range f.machines {
			if res, err := client.Get("http://" + m.address(f.ports.ready) + f.wire.Ready); err == nil {
				res.Body.Close()
				if res.StatusCode == http.StatusOK {
					n++
				}
			}
		}
		if n == len(f.machines) {
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("%d of %d nodes are ready", n, len(f.machines))
		}
	}
}

// route is a route of the configuration.
type route struct {
	name, prefix, service, kind string
	timeout, aim                time.Duration
	attempts                    int
	public                      bool
}

// tenant is a tenant of the configuration, with one key.
type tenant struct {
	name, key   string
	rate, burst int
}

const host = "shop.example"

// configure writes a version of the configuration. coldPace is the calls a second of
// a cold upstream.
func (f *fleet) configure(routes []route, tenants []tenant, coldPace float64) {
	f.version += 3
	var rs, ss, ts []any
	services := map[string]bool{}
	for _, r := range routes {
		rs = append(rs, map[string]any{
			"name": r.name, "host": host, "pathPrefix": r.prefix, "kind": r.kind, "timeoutMs": r.timeout.Milliseconds(),
			"targetLatencyMs": r.aim.Milliseconds(), "priority": 1, "service": r.service, "maxAttempts": r.attempts, "public": r.public,
		})
		if !services[r.service] {
			services[r.service] = true
			ss = append(ss, map[string]any{
				"name": r.service, "healthPath": "/health", "maxConnections": 390, "protocol": "h1", "tls": false, "coldStartS": 3.0, f.wire.ColdPace: coldPace,
			})
		}
	}
	for _, t := range tenants {
		entry := map[string]any{"name": t.name, "apiKeys": []any{t.key}, "priority": 1, "burst": t.burst}
		entry[f.wire.Rate] = t.rate
		ts = append(ts, entry)
	}
	doc := map[string]any{
		"version": fmt.Sprintf("%08x", f.version), "routes": rs, "services": ss, "tenants": ts,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 1 << 20, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
	b, _ := json.Marshal(doc)
	f.store.put(f.wire.Config, b)
	f.record.add("configuration %08x written", f.version)
}

// answer is what a client got for one attempt.
type answer struct {
	id        string
	status    int
	signature string
	err       error
	sent      time.Time
	took      time.Duration
	leaving   bool
}

// request is one client attempt.
type request struct {
	method, path, key string
	body              []byte
	deadline          time.Duration
}

// send sends one request to the node of a machine, on a connection of its own.
func (m *machine) send(q request) answer {
	f := m.fleet
	a := answer{id: fmt.Sprintf("%016x", rand.Uint64()), sent: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), q.deadline+time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, q.method, "http://"+m.address(f.ports.outbound)+q.path, bytes.NewReader(q.body))
	if err != nil {
		a.err = err
		return a
	}
	req.Host = host
	req.Header.Set(f.wire.Attempt, a.id)
	req.Header.Set(f.wire.Deadline, fmt.Sprint(q.deadline.Milliseconds()))
	if q.key != "" {
		req.Header.Set("Authorization", "Bearer "+q.key)
	}
	f.record.add("sent %s %s %s at %s", a.id, q.method, q.path, m.name)
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}}
	res, err := client.Do(req)
	if err != nil {
		a.err = err
	} else {
		var b bytes.Buffer
		_, a.err = b.ReadFrom(res.Body)
		res.Body.Close()
		a.status, a.signature, a.leaving = res.StatusCode, res.Header.Get(f.wire.Signature), res.Header.Get(f.wire.Leaving) != ""
	}
	a.took = time.Since(a.sent)
	what := fmt.Sprintf("status %d", a.status)
	if a.err != nil {
		what += ", " + strings.ReplaceAll(a.err.Error(), "\n", " ")
	}
	f.record.add("answered %s with %s after %v", a.id, what, a.took.Round(time.Millisecond))
	return a
}
