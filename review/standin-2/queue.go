package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["queue"] = queueCase }

// queueCase: requests wait in a node's queue for a slot of its upstream when that
// reports that it leaves.
func queueCase(f *fleet) (bool, error) {
	const service, work, slots, requests = "bookings", 400 * time.Millisecond, 2, 36
	for i, zone := range []string{"zone-a", "zone-b"} {
		f.addMachine(fmt.Sprintf("sidecar-%d", i+1), zone, service)
	}
	tenants := []tenant{{"club", "key-of-the-club", 200, 200}}
	f.configure([]route{{"book", "/book/", service, "non_idempotent", 8 * time.Second, 4 * time.Second, 2, false}}, tenants, 0)
	for i, m := range f.machines {
		if err := m.start(); err != nil {
			return false, err
		}
		if _, err := m.startUpstream(fmt.Sprintf("i-%d", i+1), slots, work); err != nil {
			return false, err
		}
	}
	if err := f.ready(10 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(contactTime + 2*time.Second)
	// A few requests first, so that the nodes know how long they take.
	var wg sync.WaitGroup
	for range 3 {
		for _, m := range f.machines {
			wg.Go(func() { m.send(request{"POST", "/book/1", tenants[0].key, []byte("one"), 9 * time.Second}) })
		}
		time.Sleep(500 * time.Millisecond)
	}
	wg.Wait()
	var mu sync.Mutex
	var answers []answer
	for i := range requests {
		wg.Go(func() {
			a := f.machines[i%2].send(request{"POST", "/book/2", tenants[0].key, []byte("one"), 9 * time.Second})
			mu.Lock()
			defer mu.Unlock()
			answers = append(answers, a)
		})
		time.Sleep(5 * time.Millisecond)
	}
	time.Sleep(100 * time.Millisecond)
	u := f.machines[0].upstream
	var acknowledged time.Time
	if f.trouble {
		acknowledged = u.drain()
		time.Sleep(time.Until(acknowledged.Add(drainTime + time.Second)))
		u.leave()
		u.stop()
	}
	wg.Wait()
	return f.countLate(u, acknowledged, answers), nil
}

// countLate counts the requests that reached an upstream later than drainTime after
// it was acknowledged to leave.
func (f *fleet) countLate(u *upstream, acknowledged time.Time, answers []answer) bool {
	late, cut := 0, map[string]bool{}
	for _, r := range u.list() {
		if acknowledged.IsZero() || r.at.Sub(acknowledged) <= drainTime {
			continue
		}
		late++
		cut[r.id] = !r.done
		f.record.add("late: %s reached %s %v after the acknowledgement", r.id, u.id, r.at.Sub(acknowledged).Round(time.Millisecond))
	}
	lost := 0
	for _, a := range answers {
		if cut[a.id] && a.status/100 != 2 {
			lost++
		}
	}
	f.record.add("%d requests reached the leaving upstream too late, %d of them were cut and got no answer of an upstream", late, lost)
	fmt.Printf("%d late, %d of them lost\n", late, lost)
	return late > 0
}
