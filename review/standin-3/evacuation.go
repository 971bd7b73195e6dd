package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { cases["evacuation"] = evacuation }

const (
	// cutFor is how long one of three machines is cut off from the store, and downFor
	// how long the two others are down meanwhile.
	cutFor, downFor = 12 * time.Second, 900 * time.Millisecond
	// evacuateWithin and contact are the bounds evacuateMs and contactMs of the sheets.
	evacuateWithin, contact = 5 * time.Second, 3 * time.Second
)

// evacuation: a machine is cut off from the store. The others are killed at the same
// moment and start again; while they are down the operator orders an evacuation.
func evacuation(f *fleet, trouble bool) (string, error) {
	f.services = []string{"shop"}
	first := f.addNode("zone-a", "shop")
	second, third := f.addNode("zone-a", "shop"), f.addNode("zone-b", "shop")
	f.configure(1, []route{
		{Name: "r-shop", Host: host, Prefix: "/shop/", Kind: "idempotent", Timeout: 2000, Latency: 1200, Service: "shop", MaxAttempts: 2, Public: true},
	}, nil)
	if err := f.startAll("/shop/1"); err != nil {
		return "", err
	}
	time.Sleep(12 * time.Second)
	begun := time.Now()
	if trouble {
		f.store.setCut(first, true)
		f.note("%s is cut off from the store", first.name)
		time.Sleep(300 * time.Millisecond)
		for _, n := range []*node{second, third} {
			n.signal(syscall.SIGKILL)
			<-n.exited
		}
	}
	time.Sleep(200 * time.Millisecond)
	f.store.put(wire["evacuate"]+"zone-b", []byte("{}"))
	acked := time.Now()
	f.note("operator: zone-b is to be evacuated, acknowledged")
	started := acked.Add(-time.Minute)
	if trouble {
		time.Sleep(downFor - 200*time.Millisecond)
		for _, n := range []*node{second, third} {
			if err := n.start(); err != nil {
				return "", err
			}
		}
		started = time.Now()
	}
	var mu sync.Mutex
	sent := map[string]time.Time{}
	var wg sync.WaitGroup
	for _, n := range []*node{second, third} {
		wg.Go(func() {
			for time.Since(begun) < cutFor-200*time.Millisecond {
				at := time.Now()
				a := n.send(http.MethodGet, "/shop/2", "", 2*time.Second)
				f.note("client: %s at %s answered %d", a.id, n.name, a.status)
				mu.Lock()
				sent[a.id] = at
				mu.Unlock()
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	wg.Wait()
	late := 0
	for _, r := range third.up.list() {
		at, ok := sent[r.id]
		if ok && r.at.After(acked.Add(evacuateWithin)) && at.After(started.Add(contact)) {
			f.note("%s reached the upstream in zone-b %v after the acknowledgement, from a machine that has run for %v", r.id, r.at.Sub(acked).Round(time.Millisecond), at.Sub(started).Round(time.Millisecond))
			late++
		}
	}
	f.store.setCut(first, false)
	if late > 0 {
		return fmt.Sprintf("EVAC: %d requests reached an upstream in the evacuated zone over %v after the acknowledgement, from machines in touch", late, evacuateWithin), nil
	}
	return "", nil
}
