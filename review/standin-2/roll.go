package main

import (
	"fmt"
	"sort"
	"sync"
	"time"
)

// Figures of rollCase: the tenant's quota, and the bounds of the deployment.
const (
	rollRate, rollBurst = 45, 90
	quotaWindow         = 5 * time.Second
	quotaOverage        = 0.1
	quotaSlack          = 20
)

func init() { cases["roll"] = rollCase }

// rollCase: a node is stopped and started twice within a minute. A tenant sends more
// than its quota when it stops the second time.
func rollCase(f *fleet) (bool, error) {
	const service = "bookings"
	for i := range 3 {
		f.addMachine(fmt.Sprintf("sidecar-%d", i+1), "zone-a", service)
	}
	// The first in line to grant for the tenant is node 1, then node 3 (see softlimiter).
	tenants := []tenant{{"club", "key-of-the-club", rollRate, rollBurst}}
	f.configure([]route{{"read", "/read/", service, "idempotent", 4 * time.Second, 1200 * time.Millisecond, 2, false}}, tenants, 0)
	for i, m := range f.machines {
		if err := m.start(); err != nil {
			return false, err
		}
		if _, err := m.startUpstream(fmt.Sprintf("i-%d", i+1), 50, 20*time.Millisecond); err != nil {
			return false, err
		}
	}
	if err := f.ready(10 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(contactTime + 2*time.Second)
	var wg sync.WaitGroup
	var mu sync.Mutex
	perSecond := 10
	end := make(chan struct{})
	stopped := map[*machine]bool{}
	wg.Go(func() {
		for i := 0; ; i++ {
			mu.Lock()
			pause := time.Second / time.Duration(perSecond)
			mu.Unlock()
			select {
			case <-end:
				return
			case <-time.After(pause):
			}
			m := f.machines[i%len(f.machines)]
			mu.Lock()
			if stopped[m] {
				m = f.machines[len(f.machines)-1]
			}
			mu.Unlock()
			wg.Go(func() { m.send(request{"GET", "/read/1", tenants[0].key, nil, 4 * time.Second}) })
		}
	})
	set := func(n int) {
		mu.Lock()
		defer mu.Unlock()
		perSecond = n
	}
	restart := func(m *machine) error {
		mu.Lock()
		stopped[m] = true
		mu.Unlock()
		if f.trouble {
			m.stop()
		} else {
			time.Sleep(4 * time.Second)
		}
		time.Sleep(1500 * time.Millisecond)
		if f.trouble {
			if err := m.start(); err != nil {
				return err
			}
		}
		time.Sleep(1500 * time.Millisecond)
		mu.Lock()
		defer mu.Unlock()
		stopped[m] = false
		return nil
	}
	for _, m := range f.machines[:1] {
		if err := restart(m); err != nil {
			return false, err
		}
	}
	time.Sleep(8 * time.Second)
	set(250)
	time.Sleep(time.Second)
	for _, m := range f.machines[:1] {
		if err := restart(m); err != nil {
			return false, err
		}
	}
	time.Sleep(3 * time.Second)
	close(end)
	wg.Wait()
	var at []time.Time
	for _, m := range f.machines {
		for _, r := range m.upstream.list() {
			at = append(at, r.at)
		}
	}
	sort.Slice(at, func(i, j int) bool { return at[i].Before(at[j]) })
	most := 0
	for i, j := 0, 0; i < len(at); i++ {
		for at[i].Sub(at[j]) > quotaWindow {
			j++
		}
		most = max(most, i-j+1)
	}
	allowed := (rollRate*quotaWindow.Seconds()+rollBurst)*(1+quotaOverage) + quotaSlack
	f.record.add("at most %d requests of the tenant ran in a window of %v, allowed are %.0f", most, quotaWindow, allowed)
	fmt.Printf("%d requests ran in a window, allowed are %.0f\n", most, allowed)
	return float64(most) > allowed, nil
}
