// Command overflow freezes a node for a moment while another node has many
// answers for it. Each request may run once.
package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"

	"review/lab"
)

const (
	// clients is the number of connections on which requests are sent one after
	// the other, and loadTime for how long.
	clients  = 150
	loadTime = 5 * time.Second
	deadline = 8 * time.Second
	work     = 50 * time.Millisecond
	slots    = 8
	size     = 250 << 10
	// freezeAfter is when the node of the clients is frozen, after the first
	// request, and freezeTime for how long.
	freezeAfter = 3000 * time.Millisecond
	freezeTime  = 1100 * time.Millisecond
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
		{Name: "book", Prefix: "/book/", Service: "books", Kind: lab.NonIdempotent, Timeout: 8000, Latency: 1200},
	})
	if err != nil {
		return err
	}
	if err := l.StartNodes(); err != nil {
		return err
	}
	u := &lab.Upstream{ID: "i-1", Slots: slots, Size: size, Work: func(*http.Request) time.Duration { return work }}
	if err := back.AddUpstream(u); err != nil {
		return err
	}
	if err := lab.AwaitService("/book/1", front); err != nil {
		return err
	}
	answers, err := load(l, front)
	if err != nil {
		return err
	}
	return judge(l, u, answers)
}

// load sends requests on many connections and returns the answers by ID.
func load(l *lab.Lab, n *lab.Node) (map[string]lab.Answer, error) {
	if l.Trouble {
		time.AfterFunc(freezeAfter, func() { n.Signal(syscall.SIGSTOP) })
		time.AfterFunc(freezeAfter+freezeTime, func() { n.Signal(syscall.SIGCONT) })
	}
	end := time.Now().Add(loadTime)
	var wg sync.WaitGroup
	var mu sync.Mutex
	answers := map[string]lab.Answer{}
	for i := range clients {
		wg.Go(func() {
			time.Sleep(time.Duration(i) * 5 * time.Millisecond)
			var c *lab.Client
			for k := 0; time.Now().Before(end); k++ {
				if c == nil {
					var err error
					if c, err = n.Dial(); err != nil {
						c = nil
						continue
					}
				}
				r := lab.Request{Method: http.MethodPost, Path: "/book/1", ID: fmt.Sprintf("book-%d-%d", i, k), Deadline: deadline, Body: "{}"}
				a := c.Do(r)
				if a.Err != nil || a.Status != http.StatusOK {
					c.Close()
					c = nil
					time.Sleep(100 * time.Millisecond)
				}
				mu.Lock()
				answers[r.ID] = a
				mu.Unlock()
			}
			if c != nil {
				c.Close()
			}
		})
	}
	wg.Wait()
	return answers, nil
}

func judge(l *lab.Lab, u *lab.Upstream, answers map[string]lab.Answer) error {
	runs := map[string]int{}
	for _, r := range u.Runs() {
		runs[r.ID]++
	}
	statuses, twice, refused := map[int]int{}, 0, 0
	for id, a := range answers {
		statuses[a.Status]++
		if runs[id] > 1 {
			twice++
			l.Logf("judge: %s ran %d times, its client got: %v", id, runs[id], a)
		}
		if runs[id] > 0 && (a.Status == http.StatusServiceUnavailable || a.Status == http.StatusTooManyRequests) {
			refused++
			l.Logf("judge: %s ran %d times and was refused as not run: %v", id, runs[id], a)
		}
	}
	l.Logf("judge: answers by status (0: none): %v; ran more than once: %d; refused as not run though it ran: %d", statuses, twice, refused)
	if twice+refused > 0 {
		return lab.Breachf("TWICE: %d requests ran more than once; REFUSED: %d ran and were answered as not run", twice, refused)
	}
	return nil
}
