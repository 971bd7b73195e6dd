package main

import (
	"fmt"
	"net/http"
	"time"
)

func init() { cases["readers"] = readers }

const (
	readersMachines = 96
	// configApply is the bound configApplyMs of the sheets.
	configApply = 2 * time.Second
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
	time.Sleep(500 * time.Millisecond)
	f.configure(2, routes("guides"), tenant("key-1"))
	acked := time.Now()
	time.Sleep(configApply + 500*time.Millisecond)
	moved, keyed, all := 0, 0, 0
	for i := 0; time.Since(begun) < turnedAwayFor-time.Second; i++ {
		n := served[i%len(served)]
		sentAt := time.Since(acked).Round(time.Millisecond)
		a := n.send(http.MethodGet, "/move/2", "", 2*time.Second)
		b := n.send(http.MethodPost, "/book/2", "key-2", 2*time.Second)
		f.note("client: at %s, %v after the acknowledgement: GET /move/2 %s %d, POST /book/2 with the withdrawn key %s %d", n.name, sentAt, a.id, a.status, b.id, b.status)
		all++
		for _, m := range served {
			for _, r := range m.up.list() {
				switch {
				case r.id == a.id && m.service == "shop":
					f.note("%s ran at the old service, beside %s", r.id, m.name)
					moved++
				case r.id == b.id:
					f.note("%s ran with the withdrawn key, beside %s", r.id, m.name)
					keyed++
				}
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	if moved+keyed > 0 {
		return fmt.Sprintf("CONFIG: of %d pairs of requests, sent over %v after the acknowledgement of version 2 at machines that the store serves, %d were run by the service of version 1 and %d with a key that version 2 has withdrawn, each beside another such machine", all, configApply, moved, keyed), nil
	}
	return "", nil
}

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
