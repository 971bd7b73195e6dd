package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// run is one request that an upstream ran.
type run struct {
	id, path, method, caller, tenant string
	body                             string
	// at is when the run began, and planned and ended when it was to end and ended.
	at, planned, ended time.Time
}

// upstream is a stand-in for the application beside a node.
type upstream struct {
	node    *node
	id      string
	born    int64
	slots   int
	work    time.Duration
	server  *http.Server
	stopped chan struct{}

	mu       sync.Mutex
	running  int
	waiting  int
	free     chan struct{}
	runs     []run
	sequence int
	state    string
	leaving  bool
	rate     string
	// respond replaces the answer to a request that runs, unless it is nil or
	// returns false.
	respond func(u *upstream, w http.ResponseWriter, r *http.Request) bool
	beats   bool
}

func (n *node) startUpstream() error {
	u := &upstream{
		node: n, id: "i-" + newID()[:8], born: time.Now().UnixMilli(), slots: 7, state: "ready", beats: true, stopped: make(chan struct{}),
		work: 20 * time.Millisecond,
	}
	u.free = make(chan struct{}, u.slots)
	var ln net.Listener
	var err error
	for range 50 {
		if ln, err = net.Listen("tcp", n.address(portUpstream)); err == nil {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	if err != nil {
		return err
	}
	u.server = &http.Server{Handler: u, IdleTimeout: 10 * time.Second}
	n.up = u
	go func() { _ = u.server.Serve(ln) }()
	go u.beat()
	return nil
}

// crash ends the upstream at once.
func (u *upstream) crash() {
	u.mu.Lock()
	u.beats = false
	u.mu.Unlock()
	_ = u.server.Close()
}

// beat sends heartbeats.
func (u *upstream) beat() {
	for {
		u.mu.Lock()
		beats := u.beats
		u.mu.Unlock()
		if !beats {
			return
		}
		status := u.announce()
		pause := 1500 * time.Millisecond
		if status != http.StatusOK {
			pause = 300 * time.Millisecond
		}
		time.Sleep(pause)
	}
}

// announce sends one heartbeat and returns the status of its answer, 0 for none.
func (u *upstream) announce() int {
	u.mu.Lock()
	u.sequence++
	b, _ := json.Marshal(map[string]any{
		"address": u.node.address(portUpstream), "born": u.born,
		"info":   map[string]any{"service": u.node.service, "version": "v1", "zone": u.node.zone, "slots": u.slots},
		"status": map[string]any{"state": u.state, "sequence": u.sequence, wire["cold"]: 0},
	})
	u.mu.Unlock()
	return u.tell(http.MethodPut, b)
}

func (u *upstream) tell(method string, b []byte) int {
	req, _ := http.NewRequest(method, "http://"+u.node.address(portControl)+"/api/instances/"+u.id, bytes.NewReader(b))
	req.Header.Set("Content-Type", "application/json")
	c := http.Client{Timeout: time.Second}
	res, err := c.Do(req)
	if err != nil {
		return 0
	}
	defer res.Body.Close()
	_, _ = io.Copy(io.Discard, res.Body)
	return res.StatusCode
}

func (u *upstream) list() []run {
	u.mu.Lock()
	defer u.mu.Unlock()
	return append([]run(nil), u.runs...)
}

func (u *upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	u.mu.Lock()
	u.waiting++
	u.mu.Unlock()
	select {
	case u.free <- struct{}{}:
	case <-r.Context().Done():
		u.mu.Lock()
		u.waiting--
		u.mu.Unlock()
		return
	}
	defer func() { <-u.free }()
	u.mu.Lock()
	u.waiting--
	u.running++
	load := fmt.Sprintf("%d,%d,%d", u.running, u.waiting, u.slots)
	leaving, rate, respond := u.leaving, u.rate, u.respond
	u.mu.Unlock()
	defer func() {
		u.mu.Lock()
		u.running--
		u.mu.Unlock()
	}()
	h := w.Header()
	h.Set(wire["load"], load)
	h.Set("Instance-Id", u.id)
	if leaving {
		h.Set(wire["leaving"], "1")
	}
	if rate != "" {
		h.Set(wire["rate"], rate)
	}
	if r.URL.Path == "/health" {
		time.Sleep(25 * time.Millisecond)
		if leaving || u.state != "ready" {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	id := r.Header.Get(wire["id"])
	h.Set(wire["id"], id)
	if expected := r.Header.Get(wire["expect"]); expected != "" && expected != u.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, _ := io.ReadAll(r.Body)
	u.mu.Lock()
	work, number := u.work, len(u.runs)
	u.runs = append(u.runs, run{
		id: id, path: r.URL.RequestURI(), method: r.Method, caller: r.Header.Get(wire["caller"]), tenant: r.Header.Get("Tenant"),
		body: string(body), at: time.Now(), planned: time.Now().Add(work),
	})
	u.mu.Unlock()
	defer func() {
		u.mu.Lock()
		defer u.mu.Unlock()
		u.runs[number].ended = time.Now()
	}()
	u.node.fleet.note("upstream %s runs %s %s %s", u.id, id, r.Method, r.URL.RequestURI())
	if respond != nil && respond(u, w, r) {
		return
	}
	timer := time.NewTimer(work)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.Context().Done():
		u.node.fleet.note("upstream %s drops %s: its connection closed", u.id, id)
		return
	}
	text := "answer to " + id + " of " + strings.Repeat("x", 100)
	h.Set(wire["signature"], "sig."+id)
	h.Set("Content-Length", strconv.Itoa(len(text)))
	_, _ = io.WriteString(w, text)
}
