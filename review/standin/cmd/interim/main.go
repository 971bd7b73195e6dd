// Command interim lets one of two upstreams spoil a few of its answers: their
// status line has a status that ends no request.
package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"review/lab"
)

const (
	connections = 20
	rounds      = 20
	deadline    = 4 * time.Second
	work        = 30 * time.Millisecond
	// spoiledOneIn is how many answers of the upstream there are for each spoiled
	// one: it spoils 2% of them.
	spoiledOneIn = 50
)

// statusLines are those of the spoiled answers: one that only an upgrade may get,
// and one that is below the range.
var statusLines = []string{"101 Switching Protocols", "099 Unknown"}

func main() { lab.Main(run) }

func run(l *lab.Lab) error {
	front, err := l.AddNode("zone-a", "front")
	if err != nil {
		return err
	}
	var backs []*lab.Node
	for range 2 {
		n, err := l.AddNode("zone-a", "catalogue")
		if err != nil {
			return err
		}
		backs = append(backs, n)
	}
	err = l.Declare([]string{"front", "catalogue"}, []lab.Route{
		{Name: "read", Prefix: "/read/", Service: "catalogue", Kind: lab.Idempotent, Timeout: 2000, Latency: 1200},
	})
	if err != nil {
		return err
	}
	if err := l.StartNodes(); err != nil {
		return err
	}
	for i, n := range backs {
		u := &lab.Upstream{ID: fmt.Sprintf("i-%d", i+1), Slots: 7, Size: 1500, Work: func(*http.Request) time.Duration { return work }}
		if l.Trouble && i == 0 {
			u.Spoil = spoiler()
		}
		if err := n.AddUpstream(u); err != nil {
			return err
		}
	}
	if err := lab.AwaitService("/read/1", front); err != nil {
		return err
	}
	return judge(l, send(l, front))
}

// spoiler returns a function that spoils one answer in spoiledOneIn.
func spoiler() func(id string) string {
	var mu sync.Mutex
	answers := 0
	return func(id string) string {
		mu.Lock()
		defer mu.Unlock()
		answers++
		if answers%spoiledOneIn != 0 {
			return ""
		}
		return lab.Spoiled(statusLines[answers/spoiledOneIn%len(statusLines)], id)
	}
}

// send sends pairs of requests, the second before the first is answered, and
// returns the answers by ID.
func send(l *lab.Lab, n *lab.Node) map[string]lab.Answer {
	var wg sync.WaitGroup
	var mu sync.Mutex
	answers := map[string]lab.Answer{}
	for i := range connections {
		wg.Go(func() {
			for k := range rounds {
				pair := sendPair(l, n, fmt.Sprintf("read-%d-%d", i, k))
				mu.Lock()
				for id, a := range pair {
					answers[id] = a
				}
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	return answers
}

func sendPair(l *lab.Lab, n *lab.Node, name string) map[string]lab.Answer {
	answers := map[string]lab.Answer{}
	c, err := n.Dial()
	if err != nil {
		l.Logf("client: %v", err)
		return answers
	}
	defer c.Close()
	var requests []lab.Request
	for _, part := range []string{"a", "b"} {
		r := lab.Request{Method: http.MethodGet, Path: "/read/1", ID: name + part, Deadline: deadline}
		requests = append(requests, r)
		if err := c.Send(r); err != nil {
			l.Logf("client: %v", err)
			return answers
		}
	}
	for _, r := range requests {
		a := c.Receive(r)
		answers[r.ID] = a
		if a.Err != nil {
			break
		}
	}
	return answers
}

func judge(l *lab.Lab, answers map[string]lab.Answer) error {
	foreign, malformed := 0, 0
	for id, a := range answers {
		switch {
		case a.Malformed:
			malformed++
			l.Logf("judge: %s got bytes that are no answer: %v", id, a.Err)
		case a.Err == nil && a.ID != id:
			foreign++
			l.Logf("judge: %s got the answer to %s: %v", id, a.ID, a)
		}
	}
	l.Logf("judge: %d requests, %d got the answer to another one, %d got bytes that are no answer", len(answers), foreign, malformed)
	if foreign+malformed > 0 {
		return lab.Breachf("MIXED: %d requests got the answer to another one, %d got bytes that are no answer", foreign, malformed)
	}
	return nil
}
