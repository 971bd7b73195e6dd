// Command deadly sends a request that crashes each upstream which runs it, at all
// machines at the same moment, again and again.
package main

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"review/lab"
)

const (
	machines = 12
	// The request comes at all machines in each round, roundGap after the round
	// before.
	rounds   = 4
	roundGap = 5 * time.Second
	deadly   = "/book/deadly"
	deadline = 5 * time.Second
	work     = 400 * time.Millisecond
	// Of the sends later than contact after the third crash, at most allowedRetries
	// may reach an upstream.
	contact        = 3 * time.Second
	allowedRetries = 3
	// sendGap is the time between two of the other requests at a machine.
	sendGap = 400 * time.Millisecond
)

func main() { lab.Main(run) }

func run(l *lab.Lab) error {
	var nodes []*lab.Node
	for i := range machines {
		n, err := l.AddNode(fmt.Sprintf("zone-%c", 'a'+i%3), "books")
		if err != nil {
			return err
		}
		nodes = append(nodes, n)
	}
	err := l.Declare([]string{"books"}, []lab.Route{
		{Name: "book", Prefix: "/book/", Service: "books", Kind: lab.NonIdempotent, Timeout: 2500, Latency: 1200},
	})
	if err != nil {
		return err
	}
	if err := l.StartNodes(); err != nil {
		return err
	}
	var upstreams []*lab.Upstream
	for i, n := range nodes {
		u := &lab.Upstream{
			ID: fmt.Sprintf("i-%d", i+1), Slots: 7, Size: 5000,
			Work:    func(*http.Request) time.Duration { return work },
			Crashes: func(r *http.Request) bool { return r.URL.Path == deadly },
		}
		if err := n.AddUpstream(u); err != nil {
			return err
		}
		upstreams = append(upstreams, u)
	}
	if err := lab.AwaitService("/book/1", nodes...); err != nil {
		return err
	}
	return judge(l, upstreams, send(l, nodes))
}

// send sends bookings at all machines and, with the disruption, the deadly request
// too. It returns the answers to the bookings by ID.
func send(l *lab.Lab, nodes []*lab.Node) map[string]lab.Answer {
	var wg sync.WaitGroup
	var mu sync.Mutex
	answers := map[string]lab.Answer{}
	end := time.Now().Add((rounds + 1) * roundGap)
	for i, n := range nodes {
		wg.Go(func() {
			for k := 0; time.Now().Before(end); k++ {
				wg.Go(func() {
					r := lab.Request{Method: http.MethodPost, Path: "/book/1", ID: fmt.Sprintf("book-%d-%d", i, k), Deadline: deadline, Body: fmt.Sprint(i, k)}
					a := sendOne(n, r)
					mu.Lock()
					defer mu.Unlock()
					answers[r.ID] = a
				})
				time.Sleep(sendGap)
			}
		})
	}
	for round := range rounds {
		time.Sleep(roundGap)
		if !l.Trouble {
			continue
		}
		for i, n := range nodes {
			wg.Go(func() {
				sendOne(n, lab.Request{Method: http.MethodPost, Path: deadly, ID: fmt.Sprintf("deadly-%d-%d", round, i), Deadline: deadline, Body: "{}"})
			})
		}
	}
	wg.Wait()
	return answers
}

func sendOne(n *lab.Node, r lab.Request) lab.Answer {
	c, err := n.Dial()
	if err != nil {
		return lab.Answer{Err: err}
	}
	defer c.Close()
	return c.Do(r)
}

func judge(l *lab.Lab, upstreams []*lab.Upstream, answers map[string]lab.Answer) error {
	var crashes []time.Time
	ran := map[string]bool{}
	for _, u := range upstreams {
		for _, r := range u.Runs() {
			ran[r.ID] = true
			if r.Path == deadly {
				crashes = append(crashes, r.At)
			}
		}
	}
	slices.SortFunc(crashes, time.Time.Compare)
	late := 0
	for i, at := range crashes {
		if i >= 3 && at.Sub(crashes[2]) > contact {
			late++
		}
	}
	lost := 0
	for id, a := range answers {
		if ran[id] && !a.Signed {
			lost++
		}
	}
	l.Logf("judge: the request reached upstreams %d times, %d of them later than %v after its third crash; %d of %d bookings had run and got no answer of their upstream",
		len(crashes), late, contact, lost, len(answers))
	if late > allowedRetries {
		return lab.Breachf("BUDGET: %d retries of a request that crashes upstreams reached them later than %v after its third crash", late, contact)
	}
	return nil
}
