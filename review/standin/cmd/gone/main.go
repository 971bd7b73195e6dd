// Command gone lets clients leave while their requests wait for a slot. The bodies
// of the requests are sent in chunks.
package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"review/lab"
)

const (
	clients = 16
	rounds  = 10
	// leavesOneIn is how many clients there are for each one that leaves.
	leavesOneIn = 4
	// patience is how long a client waits before it leaves, grace how long after
	// that its request may still reach an upstream.
	patience = 300 * time.Millisecond
	grace    = 500 * time.Millisecond
	// pause is the time between two rounds.
	pause = time.Second
	work  = 300 * time.Millisecond
	slots = 3
	// allowed is how many requests may reach an upstream later than that.
	allowed = 5
)

func main() { lab.Main(run) }

func run(l *lab.Lab) error {
	front, err := l.AddNode("zone-a", "front")
	if err != nil {
		return err
	}
	back, err := l.AddNode("zone-a", "books")
	if err != nil {
		return err
	}
	err = l.Declare([]string{"front", "books"}, []lab.Route{
		{Name: "book", Prefix: "/book/", Service: "books", Kind: lab.NonIdempotent, Timeout: 2500, Latency: 1200},
	})
	if err != nil {
		return err
	}
	if err := l.StartNodes(); err != nil {
		return err
	}
	u := &lab.Upstream{ID: "i-1", Slots: slots, Size: 5000, Work: func(*http.Request) time.Duration { return work }}
	if err := back.AddUpstream(u); err != nil {
		return err
	}
	if err := lab.AwaitService("/book/1", front); err != nil {
		return err
	}
	left := send(l, front)
	late := 0
	for _, r := range u.Runs() {
		if at, ok := left[r.ID]; ok && r.At.Sub(at) > grace {
			late++
			l.Logf("judge: %s reached the upstream %.3f s after its client had left", r.ID, r.At.Sub(at).Seconds())
		}
	}
	l.Logf("judge: %d clients left, %d of their requests reached the upstream over %v later", len(left), late, grace)
	if late > allowed {
		return lab.Breachf("GONE: %d requests reached an upstream over %v after their clients had left", late, grace)
	}
	return nil
}

// send sends requests in rounds, some of whose clients leave after a while, and returns when
// they left by ID.
func send(l *lab.Lab, n *lab.Node) map[string]time.Time {
	var mu sync.Mutex
	left := map[string]time.Time{}
	for k := range rounds {
		var wg sync.WaitGroup
		for i := range clients {
			wg.Go(func() {
				c, err := n.Dial()
				if err != nil {
					return
				}
				r := lab.Request{Method: http.MethodPost, Path: "/book/1", ID: fmt.Sprintf("book-%d-%d", k, i), Deadline: 5 * time.Second, Body: "{}", Chunked: true}
				defer c.Close()
				if err := c.Send(r); err != nil {
					return
				}
				if l.Trouble && i%leavesOneIn == 0 {
					time.Sleep(patience)
					c.Close()
					mu.Lock()
					left[r.ID] = time.Now()
					mu.Unlock()
					l.Logf("client: %s leaves", r.ID)
					return
				}
				c.Receive(r)
			})
		}
		wg.Wait()
		time.Sleep(pause)
	}
	return left
}
