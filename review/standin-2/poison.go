package main

import (
	"fmt"
	"sync"
	"time"
)

// Times of poisonCase.
const (
	restartTime    = 1500 * time.Millisecond
	poisonInterval = 4 * time.Second
	poisonRepeats  = 8
	maxRetries     = 3
	crashesBefore  = 3
)

func init() { cases["poison"] = poisonCase }

// poisonCase: an idempotent request crashes each upstream that begins to run it, and
// comes again at intervals. Its service is quiet otherwise.
func poisonCase(f *fleet) (bool, error) {
	const service = "reads"
	for i := range 4 {
		f.addMachine(fmt.Sprintf("sidecar-%d", i+1), "zone-a", service)
	}
	tenants := []tenant{{"club", "key-of-the-club", 200, 200}}
	f.configure([]route{{"read", "/read/", service, "idempotent", 4 * time.Second, 1200 * time.Millisecond, 3, false}}, tenants, 0)
	var mu sync.Mutex
	var arrivals, crashes []time.Time
	for i, m := range f.machines {
		if err := m.start(); err != nil {
			return false, err
		}
		m.crash = func(u *upstream) {
			mu.Lock()
			arrivals = append(arrivals, time.Now())
			crashes = append(crashes, time.Now())
			n := len(crashes)
			mu.Unlock()
			u.stop()
			f.record.add("crash %d: upstream %s", n, u.id)
			time.AfterFunc(restartTime, func() {
				if _, err := m.startUpstream(fmt.Sprintf("i-%d-%d", i+1, n), 4, 30*time.Millisecond); err != nil {
					f.record.add("not started: %v", err)
				}
			})
		}
		if _, err := m.startUpstream(fmt.Sprintf("i-%d", i+1), 4, 30*time.Millisecond); err != nil {
			return false, err
		}
	}
	if err := f.ready(10 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(contactTime + 2*time.Second)
	for _, m := range f.machines {
		m.send(request{"GET", "/read/1", tenants[0].key, nil, 4 * time.Second})
	}
	for i := range poisonRepeats {
		path := poisonPath
		if !f.trouble {
			path = "/read/2"
		}
		f.machines[i%len(f.machines)].send(request{"GET", path, tenants[0].key, nil, 4 * time.Second})
		time.Sleep(poisonInterval)
	}
	mu.Lock()
	defer mu.Unlock()
	late := 0
	for _, at := range arrivals {
		if len(crashes) >= crashesBefore && at.Sub(crashes[crashesBefore-1]) > contactTime {
			late++
		}
	}
	f.record.add("%d crashes; the request reached an upstream %d times later than %v after the third", len(crashes), late, contactTime)
	fmt.Printf("%d crashes, %d retries that reached an upstream\n", len(crashes), late)
	return late > maxRetries, nil
}
