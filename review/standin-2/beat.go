package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { cases["beat"] = beatCase }

// beatCase: an upstream says that it is gone, the node that acknowledged it is
// killed and started again, and a heartbeat of before arrives late.
func beatCase(f *fleet) (bool, error) {
	const service = "bookings"
	for i := range 2 {
		f.addMachine(fmt.Sprintf("sidecar-%d", i+1), "zone-a", service)
	}
	tenants := []tenant{{"club", "key-of-the-club", 200, 200}}
	f.configure([]route{{"book", "/book/", service, "non_idempotent", 4 * time.Second, 1200 * time.Millisecond, 2, false}}, tenants, 0)
	for i, m := range f.machines {
		if err := m.start(); err != nil {
			return false, err
		}
		if _, err := m.startUpstream(fmt.Sprintf("i-%d", i+1), 4, 200*time.Millisecond); err != nil {
			return false, err
		}
	}
	if err := f.ready(10 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(contactTime + 2*time.Second)
	first, second := f.machines[0], f.machines[1]
	u := first.upstream
	end := make(chan struct{})
	var wg sync.WaitGroup
	var mu sync.Mutex
	answered := map[string]int{}
	wg.Go(func() {
		for {
			select {
			case <-end:
				return
			case <-time.After(30 * time.Millisecond):
				wg.Go(func() {
					a := second.send(request{"POST", "/book/1", tenants[0].key, []byte("one"), 5 * time.Second})
					mu.Lock()
					defer mu.Unlock()
					answered[a.id] = a.status
				})
			}
		}
	})
	time.Sleep(time.Second)
	u.mu.Lock()
	u.beats = false // the next heartbeat is the one that arrives late
	u.mu.Unlock()
	time.Sleep(beatInterval)
	late := u.beatBody()
	f.record.add("a heartbeat of %s is sent and held up", u.id)
	left := u.leave()
	started := left
	if f.trouble {
		first.signal(syscall.SIGKILL)
		<-first.exited
		time.Sleep(300 * time.Millisecond)
		if err := first.start(); err != nil {
			return false, err
		}
		started = time.Now()
	}
	time.Sleep(time.Until(left.Add(1500 * time.Millisecond)))
	err := u.call(http.MethodPut, late)
	f.record.add("the heartbeat of before arrives %v after the upstream has left, error: %v", time.Since(left).Round(time.Millisecond), err)
	time.Sleep(time.Until(left.Add(8 * time.Second)))
	u.stop()
	time.Sleep(300 * time.Millisecond)
	close(end)
	wg.Wait()
	inTouch := started.Add(contactTime)
	n, lost := 0, 0
	for _, r := range u.list() {
		if r.at.Sub(left) > drainTime && (!f.trouble || r.at.After(inTouch)) {
			n++
			if !r.done && answered[r.id]/100 != 2 {
				lost++
				f.record.add("lost: %s was under way at %s when that ended, its client got status %d", r.id, u.id, answered[r.id])
			}
		}
	}
	f.record.add("%d requests reached %s later than %v after its leaving was acknowledged, when both machines were in touch; %d of them are lost", n, u.id, drainTime, lost)
	fmt.Printf("%d requests reached the upstream that had left, %d of them are lost\n", n, lost)
	return n > 0, nil
}
