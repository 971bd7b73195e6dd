package main

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"
)

func init() { cases["quota"] = quota }

// quotaTenant is a tenant whose tokens the first of three machines grants, and the
// third one while the first is stopped.
const quotaTenant = "ember"

const (
	quotaRate, quotaBurst = 20.0, 200.0
	// usualPause lies between two requests of the tenant, at 12 a second, and hotPause
	// when it sends eight times as many.
	usualPause, hotPause = time.Second / 12, time.Second / 96
	hotTime              = 5500 * time.Millisecond
	quotaWindow          = 5 * time.Second
)

// sent is one request of a client that was answered with success.
type sent struct {
	id string
	at time.Time
}

// quota: a machine is stopped and started, and once more some time later, while a
// tenant sends more than its quota.
func quota(f *fleet, trouble bool) (string, error) {
	f.services = []string{"shop"}
	for range 3 {
		f.addNode("zone-a", "shop")
	}
	f.configure(1, []route{
		{Name: "r-open", Host: host, Prefix: "/open/", Kind: "idempotent", Timeout: 2000, Latency: 1200, Service: "shop", MaxAttempts: 2, Public: true},
		{Name: "r-book", Host: host, Prefix: "/book/", Kind: "non_idempotent", Timeout: 2500, Latency: 1200, Service: "shop", MaxAttempts: 2},
	}, []any{map[string]any{"name": quotaTenant, "apiKeys": []string{"key-1"}, "priority": 1, wire["quota"]: quotaRate, "burst": quotaBurst}})
	if err := f.startAll("/open/1"); err != nil {
		return "", err
	}
	first := f.nodes[0]
	var mu sync.Mutex
	times := map[string]time.Time{}
	var wg sync.WaitGroup
	ask := func(i int) {
		defer wg.Done()
		at := time.Now()
		a := f.nodes[1+i%2].send(http.MethodPost, "/book/1", "key-1", 2*time.Second)
		f.note("client: %s answered %d %v", a.id, a.status, a.err)
		mu.Lock()
		times[a.id] = at
		mu.Unlock()
	}
	// send sends requests, one in each pause, for a time.
	send := func(pause, d time.Duration) {
		begun := time.Now()
		for i := 0; time.Since(begun) < d; i++ {
			time.Sleep(time.Until(begun.Add(time.Duration(i) * pause)))
			wg.Add(1)
			go ask(i)
		}
	}
	if trouble {
		restarted := make(chan error, 1)
		go func() { restarted <- first.restart() }()
		send(usualPause, 8*time.Second)
		if err := <-restarted; err != nil {
			return "", err
		}
	}
	send(usualPause, 22*time.Second)
	f.note("the tenant sends eight times its usual")
	if trouble {
		time.AfterFunc(hotTime*4/9, func() { first.signal(syscall.SIGTERM) })
	}
	send(hotPause, hotTime)
	wg.Wait()
	return f.checkQuota(times), nil
}

// checkQuota returns a window with too many requests that were sent and run in it.
func (f *fleet) checkQuota(times map[string]time.Time) string {
	type event struct{ sent, ran time.Time }
	var events []event
	for _, n := range f.nodes {
		for _, r := range n.up.list() {
			if at, ok := times[r.id]; ok && r.tenant == quotaTenant {
				events = append(events, event{at, r.at})
			}
		}
	}
	slices.SortFunc(events, func(a, b event) int { return a.sent.Compare(b.sent) })
	bound := (quotaRate*quotaWindow.Seconds()+quotaBurst)*1.1 + 20
	most := 0
	for i, e := range events {
		n := 0
		for _, o := range events[i:] {
			if o.ran.Before(e.sent.Add(quotaWindow)) {
				n++
			}
		}
		most = max(most, n)
	}
	f.note("most requests sent and run in %v: %d, bound %.0f", quotaWindow, most, bound)
	if float64(most) > bound {
		return fmt.Sprintf("QUOTA: %d requests of %s in %v, bound %.0f", most, quotaTenant, quotaWindow, bound)
	}
	return ""
}
