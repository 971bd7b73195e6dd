// Command stop stops the machines of a zone in turn, while clients use open
// connections that have been idle since before. What a node reads and passes on it
// has to answer.
package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"review/lab"
)

const (
	// stopGap is the time between the stops of two machines.
	stopGap = time.Second
	// Each connection sends one request: the first one firstSend after the stop of
	// its machine, and the others sendGap after each other.
	connections = 6
	firstSend   = 2920 * time.Millisecond
	sendGap     = 50 * time.Millisecond
	// excused is how long after the stop a request may be sent that may be cut
	// while its upstream works on it.
	excused = 3 * time.Second
	// timeout is that of the route, deadline that of the clients, and work the time
	// that an upstream takes.
	timeout  = 5 * time.Second
	deadline = 10 * time.Second
	work     = 2850 * time.Millisecond
)

func main() { lab.Main(run) }

// sent is one request after the stop of its node.
type sent struct {
	request lab.Request
	// after is when it was sent, counted from the stop.
	after  time.Duration
	at     time.Time
	answer lab.Answer
}

func run(l *lab.Lab) error {
	var fronts []*lab.Node
	for range 3 {
		n, err := l.AddNode("zone-a", "front")
		if err != nil {
			return err
		}
		fronts = append(fronts, n)
	}
	var backs []*lab.Node
	for range 3 {
		n, err := l.AddNode("zone-b", "flags")
		if err != nil {
			return err
		}
		backs = append(backs, n)
	}
	err := l.Declare([]string{"front", "flags"}, []lab.Route{
		{Name: "confirm", Prefix: "/confirm/", Service: "flags", Kind: lab.NonIdempotent, Timeout: int(timeout.Milliseconds()), Latency: 3000},
	})
	if err != nil {
		return err
	}
	if err := l.StartNodes(); err != nil {
		return err
	}
	var upstreams []*lab.Upstream
	for i, n := range backs {
		u := &lab.Upstream{ID: fmt.Sprintf("i-%d", i+1), Slots: 15, Size: 400, Work: workTime}
		if err := n.AddUpstream(u); err != nil {
			return err
		}
		upstreams = append(upstreams, u)
	}
	if err := lab.AwaitService("/confirm/short", fronts...); err != nil {
		return err
	}
	requests, err := roll(l, fronts)
	if err != nil {
		return err
	}
	return judge(l, upstreams, requests)
}

// workTime returns how long a request takes: those before the stop are short.
func workTime(r *http.Request) time.Duration {
	if r.URL.Path == "/confirm/short" {
		return 900 * time.Millisecond
	}
	return work
}

// roll stops the machines in turn and returns what their clients sent.
func roll(l *lab.Lab, fronts []*lab.Node) ([]*sent, error) {
	conns := map[*lab.Node][]*lab.Client{}
	for i, n := range fronts {
		for k := range connections {
			c, err := n.Dial()
			if err != nil {
				return nil, err
			}
			defer c.Close()
			conns[n] = append(conns[n], c)
			go c.Do(lab.Request{Method: http.MethodPost, Path: "/confirm/short", ID: fmt.Sprintf("warm-%d-%d", i+1, k), Deadline: deadline, Body: "{}"})
		}
		time.Sleep(time.Second)
	}
	entries := lab.WatchReadiness(fronts)
	time.Sleep(2 * time.Second)
	var wg sync.WaitGroup
	var mu sync.Mutex
	var requests []*sent
	for i, n := range fronts {
		stopped := time.Now()
		if l.Trouble {
			n.StopAndStart()
		}
		for k, c := range conns[n] {
			wg.Go(func() {
				s := &sent{after: firstSend + time.Duration(k)*sendGap, request: lab.Request{
					Method: http.MethodPost, Path: "/confirm/long", ID: fmt.Sprintf("confirm-%d-%d", i+1, k), Deadline: deadline, Body: "{}",
				}}
				time.Sleep(time.Until(stopped.Add(s.after)))
				if !entries.GivesWork(n) {
					l.Logf("client: gets no work for %s", s.request.ID)
					return
				}
				s.at = time.Now()
				s.after = s.at.Sub(stopped)
				s.answer = c.Do(s.request)
				mu.Lock()
				requests = append(requests, s)
				mu.Unlock()
			})
		}
		time.Sleep(stopGap)
	}
	wg.Wait()
	return requests, nil
}

func judge(l *lab.Lab, upstreams []*lab.Upstream, requests []*sent) error {
	ran := map[string]bool{}
	for _, u := range upstreams {
		for _, r := range u.Runs() {
			ran[r.ID] = true
		}
	}
	lost := 0
	for _, s := range requests {
		ended := s.after + s.answer.At.Sub(s.at)
		inTime := s.answer.At.Before(s.at.Add(timeout)) && ended < lab.Grace+time.Second
		// An answer of the node's own takes the place of that of an upstream which
		// was at work.
		if s.answer.Signed || !inTime || !ran[s.request.ID] || s.after <= excused {
			continue
		}
		lost++
		l.Logf("judge: %s was sent %.3f s after the stop and passed on, and was broken off %.3f s after the stop: %v",
			s.request.ID, s.after.Seconds(), ended.Seconds(), s.answer)
	}
	l.Logf("judge: %d requests sent, %d lost", len(requests), lost)
	if lost > 0 {
		return lab.Breachf("LOST: %d requests that a stopping node had read and passed on were broken off while their upstream was at work", lost)
	}
	return nil
}
