// Command leaving restarts two of four upstreams under the ID that each had. They say
// in their answers that they leave.
package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"review/lab"
)

const (
	upstreams = 4
	restarts  = 2
	deadline  = 4 * time.Second
	work      = 400 * time.Millisecond
	// sendGap is the time between two requests, which is too short for two
	// upstreams.
	sendGap = 18 * time.Millisecond
	// soundAfter is how long after its start an upstream counts as sound, watchTime
	// how long it is watched then, in spans of window.
	soundAfter = 8 * time.Second
	watchTime  = 20 * time.Second
	window     = 2 * time.Second
	floorShare = 0.7
)

func main() { lab.Main(run) }

// sent is one request.
type sent struct {
	at     time.Time
	served bool
}

func run(l *lab.Lab) error {
	front, err := l.AddNode("zone-a", "front")
	if err != nil {
		return err
	}
	var backs []*lab.Node
	for range upstreams {
		n, err := l.AddNode("zone-a", "books")
		if err != nil {
			return err
		}
		backs = append(backs, n)
	}
	err = l.Declare([]string{"front", "books"}, []lab.Route{
		{Name: "read", Prefix: "/read/", Service: "books", Kind: lab.Idempotent, Timeout: 2500, Latency: 1200},
	})
	if err != nil {
		return err
	}
	if err := l.StartNodes(); err != nil {
		return err
	}
	var us []*lab.Upstream
	for i, n := range backs {
		u := &lab.Upstream{
			ID: fmt.Sprintf("i-%d", i+1), Slots: 7, Size: 400, KeepsID: true,
			Work: func(*http.Request) time.Duration { return work },
		}
		if err := n.AddUpstream(u); err != nil {
			return err
		}
		us = append(us, u)
	}
	if err := lab.AwaitService("/read/1", front); err != nil {
		return err
	}
	time.Sleep(4 * time.Second)
	end := make(chan struct{})
	requests := make(chan []sent, 1)
	go func() { requests <- send(front, end) }()
	time.Sleep(3 * time.Second)
	if l.Trouble {
		for _, u := range us[:restarts] {
			u.Restart()
		}
	}
	time.Sleep(soundAfter)
	watched := time.Now()
	time.Sleep(watchTime)
	close(end)
	return judge(l, us, <-requests, watched)
}

// send sends requests until end is closed.
func send(n *lab.Node, end chan struct{}) []sent {
	var wg sync.WaitGroup
	var mu sync.Mutex
	var all []sent
	for k := 0; ; k++ {
		select {
		case <-end:
			wg.Wait()
			return all
		case <-time.After(sendGap):
		}
		wg.Go(func() {
			s := sent{at: time.Now()}
			if c, err := n.Dial(); err == nil {
				defer c.Close()
				a := c.Do(lab.Request{Method: http.MethodGet, Path: "/read/1", ID: fmt.Sprintf("read-%d", k), Deadline: deadline})
				s.served = a.Status == http.StatusOK
			}
			mu.Lock()
			defer mu.Unlock()
			all = append(all, s)
		})
	}
}

func judge(l *lab.Lab, us []*lab.Upstream, requests []sent, watched time.Time) error {
	broken := 0
	for start := watched; start.Before(watched.Add(watchTime - window)); start = start.Add(window) {
		in := func(at time.Time) bool { return at.After(start) && at.Before(start.Add(window)) }
		used, count, unserved := 0, 0, 0
		for _, u := range us {
			for _, r := range u.Runs() {
				if in(r.At) {
					used++
					break
				}
			}
		}
		for _, s := range requests {
			if in(s.at) {
				count++
				if !s.served {
					unserved++
				}
			}
		}
		l.Logf("judge: %d of %d sound upstreams got requests in %v, while %d of %d requests were not served", used, len(us), window, unserved, count)
		if used > 0 && float64(used) < floorShare*float64(len(us)) && unserved*10 > count && unserved*2 < count {
			broken++
		}
	}
	if broken > 0 {
		return lab.Breachf("FLOOR: in %d spans of %v", broken, window)
	}
	return nil
}
