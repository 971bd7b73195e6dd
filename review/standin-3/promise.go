package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["promise"] = promise }

const (
	// promiseNodes machines, of which one has an upstream that fails failShare of its
	// requests for failFor.
	promiseNodes = 7
	failShare    = 0.4
	failFor      = 6500 * time.Millisecond
)

// promise: one upstream fails a part of the bookings that it has made, with a 503
// that doesn't say that it has not run them.
func promise(f *fleet, trouble bool) (string, error) {
	f.services = []string{"shop"}
	for range promiseNodes {
		f.addNode("zone-a", "shop")
	}
	f.configure(1, []route{
		{Name: "r-open", Host: host, Prefix: "/open/", Kind: "idempotent", Timeout: 2000, Latency: 1200, Service: "shop", MaxAttempts: 2, Public: true},
		{Name: "r-book", Host: host, Prefix: "/book/", Kind: "non_idempotent", Timeout: 2500, Latency: 1200, Service: "shop", MaxAttempts: 2, Public: true},
	}, nil)
	if err := f.startAll("/open/1"); err != nil {
		return "", err
	}
	if trouble {
		u := f.nodes[0].up
		failed, asked := 0, 0
		u.mu.Lock()
		u.respond = func(u *upstream, w http.ResponseWriter, r *http.Request) bool {
			u.mu.Lock()
			asked++
			fails := float64(failed) < failShare*float64(asked)
			if fails {
				failed++
			}
			u.mu.Unlock()
			if !fails {
				return false
			}
			time.Sleep(u.work)
			id := r.Header.Get(wire["id"])
			w.Header().Set(wire["signature"], "sig."+id)
			f.note("upstream %s has run %s and fails: 503", u.id, id)
			w.WriteHeader(http.StatusServiceUnavailable)
			return true
		}
		u.mu.Unlock()
		f.note("from here on upstream %s fails %.1f of its requests", u.id, failShare)
	}
	var mu sync.Mutex
	statuses := map[string]int{}
	// book makes a booking as the clients of the pages do: once more after a promise
	// that it has not run.
	book := func(n *node, number int) {
		for range 2 {
			a := n.send(http.MethodPost, fmt.Sprintf("/book/%d", number), "", 4*time.Second)
			f.note("client: %s POST /book/%d at %s answered %d", a.id, number, n.name, a.status)
			mu.Lock()
			statuses[a.id] = a.status
			mu.Unlock()
			if !promises(a.status) {
				return
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	var wg sync.WaitGroup
	begun := time.Now()
	for i := 0; time.Since(begun) < failFor; i++ {
		n := f.nodes[i%len(f.nodes)]
		wg.Go(func() { book(n, i) })
		time.Sleep(25 * time.Millisecond)
	}
	wg.Wait()
	refused, byPath := 0, map[string]int{}
	for _, n := range f.nodes {
		for _, r := range n.up.list() {
			if _, ok := statuses[r.id]; ok {
				byPath[r.path]++
			}
			if promises(statuses[r.id]) {
				f.note("%s was answered %d and has run at %s", r.id, statuses[r.id], n.up.id)
				refused++
			}
		}
	}
	twice := 0
	for path, n := range byPath {
		if n > 1 {
			f.note("the booking %s was made %d times", path, n)
			twice++
		}
	}
	if refused > 0 {
		return fmt.Sprintf("REFUSED: %d of %d requests that aren't idempotent were answered 429, 503, 408 or 421 and have run; %d bookings were made twice", refused, len(statuses), twice), nil
	}
	return "", nil
}

// promises reports whether a status promises that the request has not run.
func promises(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests || status == http.StatusRequestTimeout || status == http.StatusMisdirectedRequest
}
