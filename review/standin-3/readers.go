package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["readers"] = readers }

const (
	readersMachines = 96
	// configApply and maxSkew are the bounds configApplyMs and maxSkewMs of the sheets.
	// The latter is what an unstable store adds to the former at most.
	configApply, maxSkew = 2 * time.Second, 5 * time.Second
	// askers is how many clients ask at a time.
	askers = 6
	// maxTurnedAway is the largest share of the machines that the store turns away
	// on our sites.
	maxTurnedAway = 0.35
	// longestWatch is longer than a watch takes.
	longestWatch = 15 * time.Second
	// turnedAwayFor is how long it does so there.
	turnedAwayFor = 9 * time.Second
)

// readers: the store turns some machines away, those that ask it for changes, and
// serves the others and the operator, who moves a route to another service and
// withdraws a key.
func readers(f *fleet, trouble bool) (string, error) {
	f.services = []string{"shop", "guides"}
	for i := range readersMachines {
		f.addNode("zone-a", f.services[i%2])
	}
	routes := func(moved string) []route {
		return []route{
			{Name: "r-move", Host: host, Prefix: "/move/", Kind: "idempotent", Timeout: 2000, Latency: 1200, Service: moved, MaxAttempts: 2, Public: true},
			{Name: "r-book", Host: host, Prefix: "/book/", Kind: "non_idempotent", Timeout: 2500, Latency: 1200, Service: "shop", MaxAttempts: 2},
		}
	}
	tenant := func(keys ...string) []any {
		return []any{map[string]any{"name": "acme", "apiKeys": keys, "priority": 1, wire["quota"]: 200.0, "burst": 200.0}}
	}
	f.configure(1, routes("shop"), tenant("key-1", "key-2"))
	if err := f.startAll("/move/1"); err != nil {
		return "", err
	}
	time.Sleep(20 * time.Second)
	away, served := f.readersOfStore()
	f.note("%d of %d machines ask the store for changes", len(away), len(f.nodes))
	if share := float64(len(away)) / float64(len(f.nodes)); share > maxTurnedAway {
		return "", fmt.Errorf("%.2f of the machines read the store, more than may be turned away", share)
	}
	begun := time.Now()
	if trouble {
		f.store.turnAway(away)
		f.note("the store turns %d machines away", len(away))
	}
	time.Sleep(300 * time.Millisecond)
	f.configure(2, routes("guides"), tenant("key-1"))
	acked := time.Now()
	time.Sleep(configApply + maxSkew + 100*time.Millisecond)
	var mu sync.Mutex
	var pairs []pair
	var wg sync.WaitGroup
	for k := range askers {
		wg.Go(func() {
			for i := k; time.Since(begun) < turnedAwayFor-300*time.Millisecond; i += askers {
				n := served[i%len(served)]
				sentAt := time.Since(acked).Round(time.Millisecond)
				p := pair{n.send(http.MethodGet, "/move/2", "", 2*time.Second), n.send(http.MethodPost, "/book/2", "key-2", 2*time.Second)}
				f.note("client: at %s, %v after the acknowledgement: GET /move/2 %s %d, POST /book/2 with the withdrawn key %s %d", n.name, sentAt, p.move.id, p.move.status, p.book.id, p.book.status)
				mu.Lock()
				pairs = append(pairs, p)
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	moved, keyed := 0, 0
	for _, n := range served {
		for _, r := range n.up.list() {
			for _, p := range pairs {
				switch {
				case r.id == p.move.id && n.service == "shop":
					f.note("%s ran at the old service, beside %s", r.id, n.name)
					moved++
				case r.id == p.book.id:
					f.note("%s ran with the withdrawn key, beside %s", r.id, n.name)
					keyed++
				}
			}
		}
	}
	if moved+keyed > 0 {
		return fmt.Sprintf("CONFIG: of %d pairs of requests, sent over %v after the acknowledgement of version 2 at machines that the store serves, %d were run by the service of version 1 and %d with a key that version 2 has withdrawn, each beside another such machine", len(pairs), configApply+maxSkew, moved, keyed), nil
	}
	return "", nil
}

// pair is a request on the moved route and one with the withdrawn key.
type pair struct{ move, book answer }

// readersOfStore returns the machines that ask the store for changes of the
// configuration, and the others.
func (f *fleet) readersOfStore() (asking, others []*node) {
	f.store.mu.Lock()
	defer f.store.mu.Unlock()
	for _, n := range f.nodes {
		if time.Since(f.store.watchedAt[n.name]) < longestWatch {
			asking = append(asking, n)
		} else {
			others = append(others, n)
		}
	}
	return asking, others
}
