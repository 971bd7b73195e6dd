package lab

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

const healthPath = "/health"

// Run is one request that an upstream began to work on.
type Run struct {
	ID   string
	Path string
	At   time.Time
}

// Upstream is a sound upstream: it runs up to Slots requests at once and lets the
// others wait. Set the exported fields before Start.
type Upstream struct {
	// ID is the name of the process.
	ID string
	// Slots is how many requests it runs at once.
	Slots int
	// Work is how long a request takes, Size the bytes of an answer.
	Work func(r *http.Request) time.Duration
	Size int
	// Spoil returns the bytes that take the place of the sound answer to a request,
	// or "". Nil means that all answers are sound.
	Spoil func(id string) string
	// Crashes reports whether a request ends the process crashDelay after it began to
	// run. Nil means that none does. The upstream is back after crashTime.
	Crashes func(r *http.Request) bool
	// KeepsID tells that the upstream has the same ID after a restart.
	KeepsID bool

	node  *Node
	slots chan struct{}

	mu       sync.Mutex
	runs     []Run
	waiting  int
	sequence uint64
	starts   int
	leaving  bool
	// server and stopped are those of the present process.
	server  *http.Server
	stopped chan struct{}
}

const (
	// crashDelay is how long an upstream works on a request that crashes it.
	crashDelay = 10 * time.Millisecond
	// crashTime is how long an upstream is away after a crash.
	crashTime = 3 * time.Second
)

// AddUpstream starts an upstream on a machine and lets it send heartbeats.
func (n *Node) AddUpstream(u *Upstream) error {
	u.node = n
	return u.start()
}

// start starts a process of the upstream.
func (u *Upstream) start() error {
	ln, err := net.Listen("tcp", u.node.UpstreamAddress)
	if err != nil {
		return err
	}
	u.mu.Lock()
	u.starts++
	u.leaving = false
	u.sequence, u.slots = 0, make(chan struct{}, u.Slots)
	u.server, u.stopped = &http.Server{Handler: u}, make(chan struct{})
	server, stopped, id := u.server, u.stopped, u.processID()
	u.mu.Unlock()
	go func() { _ = server.Serve(ln) }()
	go u.beat(time.Now(), stopped)
	u.node.lab.Logf("%s: upstream %s of %s started, %d slots", u.node.Name, id, u.node.Service, u.Slots)
	return nil
}

// processID returns the ID of the present process. The caller holds the lock.
func (u *Upstream) processID() string {
	if u.starts <= 1 || u.KeepsID {
		return u.ID
	}
	return fmt.Sprintf("%s-%d", u.ID, u.starts)
}

// leaveTime is how long an upstream that leaves goes on to serve.
const leaveTime = 2 * time.Second

// Restart says in all answers that the upstream leaves, ends the process after
// leaveTime, and starts another one.
func (u *Upstream) Restart() {
	u.mu.Lock()
	u.leaving = true
	u.mu.Unlock()
	u.node.lab.Logf("%s: leaves", u.ID)
	time.Sleep(leaveTime)
	u.crash()
}

// crash ends the process without a word, and starts another one after crashTime.
func (u *Upstream) crash() {
	u.mu.Lock()
	server, stopped := u.server, u.stopped
	u.mu.Unlock()
	select {
	case <-stopped:
		return
	default:
	}
	close(stopped)
	_ = server.Close()
	u.node.lab.Logf("%s: process ends", u.ID)
	time.AfterFunc(crashTime, func() {
		if err := u.start(); err != nil {
			u.node.lab.Logf("%s: not started again: %v", u.ID, err)
		}
	})
}

func (u *Upstream) beat(born time.Time, stopped chan struct{}) {
	for {
		if err := u.announce(born); err != nil {
			u.node.lab.Logf("%s: heartbeat failed: %v", u.ID, err)
		}
		select {
		case <-stopped:
			return
		case <-time.After(heartbeat):
		}
	}
}

// announce sends one heartbeat.
func (u *Upstream) announce(born time.Time) error {
	u.mu.Lock()
	u.sequence++
	id, sequence := u.processID(), u.sequence
	u.mu.Unlock()
	b, err := json.Marshal(map[string]any{
		"address": u.node.UpstreamAddress, "born": born.UnixMilli(),
		"info":   map[string]any{"service": u.node.Service, "version": "v1", "zone": u.node.Zone, "slots": u.Slots},
		"status": map[string]any{"state": "ready", "sequence": sequence, names.ColdRemaining: 0},
	})
	if err != nil {
		return err
	}
	req, err := http.NewRequest(http.MethodPut, "http://"+u.node.control+names.InstancesPath+id, bytes.NewReader(b))
	if err != nil {
		return err
	}
	req.Header.Set("Content-Type", "application/json")
	res, err := (&http.Client{Timeout: time.Second}).Do(req)
	if err != nil {
		return err
	}
	return res.Body.Close()
}

// Runs returns the requests that the upstream began to work on.
func (u *Upstream) Runs() []Run {
	u.mu.Lock()
	defer u.mu.Unlock()
	return slices.Clone(u.runs)
}

// ServeHTTP serves a request of a node.
func (u *Upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		return
	}
	u.mu.Lock()
	id, slots := u.processID(), u.slots
	u.mu.Unlock()
	if expected := r.Header.Get(names.ExpectInstance); expected != "" && expected != id {
		w.Header().Set(names.InstanceID, id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if !u.acquire(r, slots) {
		return
	}
	defer func() { <-slots }()
	if r.URL.Path == healthPath {
		u.setState(w)
		w.Header().Set(names.InstanceID, id)
		return
	}
	u.run(w, r)
}

// acquire waits for a slot, or until the node closes the connection.
func (u *Upstream) acquire(r *http.Request, slots chan struct{}) bool {
	u.mu.Lock()
	u.waiting++
	u.mu.Unlock()
	defer func() {
		u.mu.Lock()
		defer u.mu.Unlock()
		u.waiting--
	}()
	select {
	case slots <- struct{}{}:
		return true
	case <-r.Context().Done():
		return false
	}
}

func (u *Upstream) setState(w http.ResponseWriter) {
	u.mu.Lock()
	defer u.mu.Unlock()
	w.Header().Set(names.Load, fmt.Sprintf("%d,%d,%d", len(u.slots), u.waiting, u.Slots))
	if u.leaving {
		w.Header().Set(names.Leaving, "1")
	}
}

// run works on a request until it is done or the node closes the connection.
func (u *Upstream) run(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(names.AttemptID)
	u.mu.Lock()
	u.runs = append(u.runs, Run{ID: id, Path: r.URL.Path, At: time.Now()})
	u.mu.Unlock()
	u.node.lab.Logf("%s: runs %s %s", u.ID, id, r.URL.Path)
	if u.Crashes != nil && u.Crashes(r) {
		time.AfterFunc(crashDelay, u.crash)
	}
	select {
	case <-time.After(u.Work(r)):
	case <-r.Context().Done():
		u.node.lab.Logf("%s: drops %s, the node closed the connection", u.ID, id)
		return
	}
	u.node.lab.Logf("%s: is done with %s", u.ID, id)
	if u.Spoil != nil {
		if spoiled := u.Spoil(id); spoiled != "" {
			u.node.lab.Logf("%s: answers %s with %q", u.ID, id, spoiled)
			writeRaw(w, spoiled)
			return
		}
	}
	u.setState(w)
	w.Header().Set(names.AttemptID, id)
	w.Header().Set(names.Signature, signature(id))
	_, _ = w.Write([]byte(Body(id, u.Size)))
}

// writeRaw writes bytes and keeps the connection open until the node closes it.
func writeRaw(w http.ResponseWriter, raw string) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	_, _ = conn.Write([]byte(raw))
	_, _ = io.Copy(io.Discard, conn)
}

// Spoiled returns a complete answer to a request with a status line of choice.
func Spoiled(statusLine, id string) string {
	return fmt.Sprintf("HTTP/1.1 %s\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", statusLine, names.AttemptID, id)
}

func signature(id string) string { return "signed-" + id }

// Body returns the body of the answer to a request.
func Body(id string, size int) string {
	return id + strings.Repeat(".", max(size-len(id), 0))
}
