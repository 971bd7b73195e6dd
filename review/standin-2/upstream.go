package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// poisonPath is the path of the request that crashes upstreams.
const poisonPath = "/read/poison"

// run is one request that an upstream got.
type run struct {
	id, instance string
	at           time.Time
	// done is set when the response was written whole.
	done bool
}

// upstream is a stand-in of an application upstream. It sends heartbeats to the
// node of its machine, and runs requests in slots with a queue before them.
type upstream struct {
	machine  *machine
	id       string
	born     int64
	work     time.Duration
	slots    int
	queue    int
	listener net.Listener
	server   *http.Server
	free     chan struct{}

	mu       sync.Mutex
	sequence int
	state    string
	waiting  int
	running  int
	runs     []*run
	// beats is false once no further heartbeat is sent.
	beats bool
	// limit and leaving are what the upstream states in its answers.
	limit   string
	leaving bool
	// garbled is the share of the large answers that break off.
	garbled float64
	// fileBytes is the size of the large answers.
	fileBytes int
}

// startUpstream starts an upstream beside a machine's node.
func (m *machine) startUpstream(id string, slots int, work time.Duration) (*upstream, error) {
	u := &upstream{machine: m, id: id, born: time.Now().UnixMilli(), work: work, slots: slots, queue: 72, state: "ready", beats: true, fileBytes: fileBytes, free: make(chan struct{}, slots)}
	ln, err := net.Listen("tcp", m.address(m.fleet.ports.app))
	if err != nil {
		return nil, err
	}
	u.listener, u.server = ln, &http.Server{Handler: u}
	go func() { _ = u.server.Serve(ln) }()
	go u.sendHeartbeats()
	m.upstream = u
	m.fleet.record.add("upstream %s at %s started", id, m.name)
	return u, nil
}

func (u *upstream) sendHeartbeats() {
	for {
		u.mu.Lock()
		beats := u.beats
		u.mu.Unlock()
		if !beats {
			return
		}
		interval := beatInterval
		if u.beat() != nil {
			interval /= 5
		}
		time.Sleep(interval)
	}
}

// beatBody returns the next heartbeat.
func (u *upstream) beatBody() []byte {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.sequence++
	m := u.machine
	status := map[string]any{"state": u.state, "sequence": u.sequence}
	status[m.fleet.wire.Cold] = 0
	b, _ := json.Marshal(map[string]any{
		"address": m.address(m.fleet.ports.app), "born": u.born,
		"info":   map[string]any{"service": u.machine.service, "version": "v1", "zone": m.zone, "slots": u.slots},
		"status": status,
	})
	return b
}

// beat sends one heartbeat and reports whether it was acknowledged.
func (u *upstream) beat() error { return u.call(http.MethodPut, u.beatBody()) }

func (u *upstream) call(method string, body []byte) error {
	m := u.machine
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	url := "http://" + m.address(m.fleet.ports.control) + m.fleet.wire.Instances + u.id
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	if len(body) > 0 {
		req.Header.Set("Content-Type", "application/json")
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := client.Do(req)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	_, _ = io.Copy(io.Discard, res.Body)
	if res.StatusCode/100 != 2 {
		return fmt.Errorf("status %d", res.StatusCode)
	}
	return nil
}

// setState changes what the upstream says of itself.
func (u *upstream) setState(state string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.state = state
}

// drain reports that the upstream leaves, until that is acknowledged, and returns
// when it was.
func (u *upstream) drain() time.Time {
	u.setState("draining")
	for u.beat() != nil {
		time.Sleep(50 * time.Millisecond)
	}
	at := time.Now()
	u.machine.fleet.record.add("upstream %s is draining, acknowledged", u.id)
	return at
}

// leave sends the call that says that the upstream is gone, until it is
// acknowledged, and ends its heartbeats.
func (u *upstream) leave() time.Time {
	u.mu.Lock()
	u.beats, u.state = false, "draining"
	body, _ := json.Marshal(map[string]any{"born": u.born})
	u.mu.Unlock()
	for u.call(http.MethodDelete, body) != nil {
		time.Sleep(50 * time.Millisecond)
	}
	at := time.Now()
	u.machine.fleet.record.add("upstream %s has left, acknowledged", u.id)
	return at
}

// stop ends the upstream: connections break.
func (u *upstream) stop() {
	u.mu.Lock()
	u.beats = false
	u.mu.Unlock()
	u.server.Close()
	u.machine.fleet.record.add("upstream %s ended", u.id)
}

// list returns the requests that ran so far.
func (u *upstream) list() []run {
	u.mu.Lock()
	defer u.mu.Unlock()
	out := make([]run, 0, len(u.runs))
	for _, r := range u.runs {
		out = append(out, *r)
	}
	return out
}

// ServeHTTP runs a request, or rejects it.
func (u *upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	n := u.machine.fleet.wire
	body, _ := io.ReadAll(r.Body)
	h := w.Header()
	u.mu.Lock()
	h.Set(n.Load, fmt.Sprintf("%d,%d,%d", u.running, u.waiting, u.slots))
	h.Set(n.Instance, u.id)
	if u.limit != "" {
		h.Set(n.Limit, u.limit)
	}
	if u.leaving {
		h.Set(n.Leaving, "1")
	}
	state, full := u.state, u.waiting >= u.queue
	u.mu.Unlock()
	if state != "ready" {
		h.Set("Connection", "close")
	}
	id := r.Header.Get(n.Attempt)
	h.Set(n.Attempt, id)
	reject := func(status int) {
		h.Set(n.Unrun, "1")
		w.WriteHeader(status)
	}
	switch want := r.Header.Get(n.Expect); {
	case want != "" && want != u.id:
		reject(http.StatusMisdirectedRequest)
		return
	case full:
		reject(http.StatusServiceUnavailable)
		return
	}
	if !u.acquire(r.Context()) {
		return
	}
	defer u.release()
	if r.URL.Path == "/health" {
		h.Del(n.Attempt)
		if state != "ready" {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	u.runRequest(w, r, id, body)
}

func (u *upstream) acquire(ctx context.Context) bool {
	u.mu.Lock()
	u.waiting++
	u.mu.Unlock()
	ok := true
	select {
	case u.free <- struct{}{}:
	case <-ctx.Done():
		ok = false
	}
	u.mu.Lock()
	u.waiting--
	if ok {
		u.running++
	}
	u.mu.Unlock()
	return ok
}

func (u *upstream) release() {
	u.mu.Lock()
	u.running--
	u.mu.Unlock()
	<-u.free
}

func (u *upstream) runRequest(w http.ResponseWriter, r *http.Request, id string, body []byte) {
	n := u.machine.fleet.wire
	x := &run{id: id, instance: u.id, at: time.Now()}
	u.mu.Lock()
	u.runs = append(u.runs, x)
	u.mu.Unlock()
	if crash := u.machine.crash; crash != nil && r.URL.Path == poisonPath {
		crash(u)
		return
	}
	u.machine.fleet.record.add("runs %s at %s, %s %s, tenant %q", id, u.id, r.Method, r.URL.Path, r.Header.Get(n.Tenant))
	select {
	case <-time.After(u.work):
	case <-r.Context().Done():
		u.machine.fleet.record.add("dropped %s at %s", id, u.id)
		return
	}
	w.Header().Set(n.Signature, "s."+id)
	if strings.HasPrefix(r.URL.Path, "/file/") {
		u.writeFile(w, id)
		return
	}
	_, _ = w.Write([]byte("answer of " + u.id + " to " + id + " with " + fmt.Sprint(len(body)) + " bytes\n"))
	u.mu.Lock()
	x.done = true
	u.mu.Unlock()
}

// writeFile writes a large answer, whole or broken off.
func (u *upstream) writeFile(w http.ResponseWriter, id string) {
	u.mu.Lock()
	broken := rand.Float64() < u.garbled
	u.mu.Unlock()
	w.Header().Set("Content-Length", strconv.Itoa(u.fileBytes))
	if !broken {
		_, _ = w.Write(make([]byte, u.fileBytes))
		return
	}
	u.machine.fleet.record.add("%s breaks off its answer to %s", u.id, id)
	_, _ = w.Write(make([]byte, truncatedAt))
	panic(http.ErrAbortHandler)
}
