package node

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

const openFleetJSON = `{
  "centres": [{"name": "one", "region": "r"}, {"name": "two", "region": "r"}],
  "services": [{"name": "booking", "slots": 100, "cold": 100, "floor": 0.5}],
  "workspaces": [],
  "routes": [
    {"name": "stock", "path": "/stock", "service": "booking", "open": true, "deadline": 3000},
    {"name": "book", "path": "/book", "service": "booking", "open": true, "once": true, "deadline": 3000}
  ]
}`

// steadyLoad is a set of callers with persistent connections. Each sends one
// request at a time, with a pause in between.
type steadyLoad struct {
	*testFleet
	stop chan struct{}
	wg   sync.WaitGroup

	mu       sync.Mutex
	outcomes map[string]int
	// answeredOK tells for each path whether the response was 200.
	answeredOK map[string]bool
}

func startLoad(f *testFleet, callers int, nodes ...string) *steadyLoad {
	l := &steadyLoad{testFleet: f, stop: make(chan struct{}), outcomes: map[string]int{}, answeredOK: map[string]bool{}}
	for i := range callers {
		c := f.client(fmt.Sprintf("caller%d", i))
		l.wg.Go(func() { l.run(c, i, nodes) })
	}
	return l
}

func (l *steadyLoad) run(c *http.Client, caller int, nodes []string) {
	time.Sleep(time.Duration(caller) * 150 * time.Millisecond)
	for n := 0; ; n++ {
		select {
		case <-l.stop:
			return
		case <-time.After(time.Duration(20+caller) * time.Millisecond):
		}
		path := fmt.Sprintf("/%s/%d-%d/%s", [...]string{"stock", "book"}[n%2], caller, n, [...]string{"quick", "slow"}[n/2%2])
		outcome := l.send(c, nodes, caller+n/50, path)
		l.mu.Lock()
		l.outcomes[outcome]++
		l.answeredOK[path] = outcome == "200"
		l.mu.Unlock()
	}
}

// send tries the nodes in turn until one accepts the connection. It returns a
// short description of the outcome.
func (l *steadyLoad) send(c *http.Client, nodes []string, first int, path string) string {
	for i := range nodes {
		// The client cannot resend this body, so it cannot hide a lost connection by
		// a retry.
		body := io.NopCloser(strings.NewReader("body"))
		req, err := http.NewRequestWithContext(l.t.Context(), http.MethodPost, "http://"+nodes[(first+i)%len(nodes)]+":80"+path, body)
		if err != nil {
			return err.Error()
		}
		res, err := c.Do(req)
		if err != nil && strings.Contains(err.Error(), "connection refused") {
			continue
		}
		if err != nil {
			return "connection lost: " + err.Error()
		}
		_, err = io.Copy(io.Discard, res.Body)
		_ = res.Body.Close()
		switch {
		case err != nil:
			return "truncated response"
		case res.StatusCode != http.StatusOK:
			return "code " + res.Header.Get("Zinnia-Code")
		}
		return "200"
	}
	return "no node"
}

// finish stops the callers and returns the number of requests by outcome.
func (l *steadyLoad) finish() map[string]int {
	close(l.stop)
	l.wg.Wait()
	return l.outcomes
}

// countRuns returns how often targets ran each path with the prefix.
func (f *testFleet) countRuns(prefix string) map[string]int {
	f.mu.Lock()
	defer f.mu.Unlock()
	runs := map[string]int{}
	for _, requests := range f.requests {
		for _, request := range requests {
			if w := strings.Fields(request); strings.HasPrefix(w[1], prefix) {
				runs[w[1]]++
			}
		}
	}
	return runs
}

// TestRollingRestartLosesNoRequests stops and restarts every node in turn under
// load. Every request must succeed, and every booking must run exactly once.
func TestRollingRestartLosesNoRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := newTestFleet(t, "a", "b", "c", "d")
		defer f.close()
		f.configure(openFleetJSON)
		for i, name := range f.names {
			f.startNode(name, "one")
			f.startTarget("t"+name, name, "booking", 9000+i, 100)
		}
		time.Sleep(3 * time.Second)
		l := startLoad(f, 30, f.names...)
		for _, name := range f.names {
			time.Sleep(2 * time.Second)
			c.Check(f.nodes[name].stop(), qt.IsNil)
			time.Sleep(time.Second)
			f.startNode(name, "one")
			time.Sleep(3 * time.Second)
		}
		outcomes := l.finish()
		t.Logf("%v", outcomes)
		c.Check(outcomes, qt.DeepEquals, map[string]int{"200": outcomes["200"]})
		l.checkBookings(c)
	})
}

// checkBookings checks that no booking ran twice, and that each booking with a
// successful response ran.
func (l *steadyLoad) checkBookings(c *qt.C) {
	runs := l.countRuns("/book")
	for path, ok := range l.answeredOK {
		if !strings.HasPrefix(path, "/book") {
			continue
		}
		if n := runs[path]; n > 1 || (ok && n != 1) {
			c.Errorf("%s ran %d times, response 200: %v", path, n, ok)
		}
	}
}

// TestStoppingExitNodeFinishesCalls stops a node that gets calls only from another
// node. All of them must succeed, and the stop must take less than 6 s.
func TestStoppingExitNodeFinishesCalls(t *testing.T) {
	began, arrivals := checkStoppingExitNode(t, 0, 0, 0)
	qt.Assert(t, len(arrivals) > 0, qt.IsTrue)
	qt.Check(t, arrivals[len(arrivals)-1].Sub(began) < time.Second, qt.IsTrue)
}

// Guards against a target without calls for as long as the node beside it takes to
// stop: calls go on until shortly before the node ends, and all of them succeed.
func TestTargetOfStoppingNodeStaysInUse(t *testing.T) {
	began, arrivals := checkStoppingExitNode(t, 500, 2300, 1300)
	qt.Assert(t, len(arrivals) > 0, qt.IsTrue)
	last := arrivals[len(arrivals)-1].Sub(began)
	qt.Check(t, last >= 1200*time.Millisecond && last <= 1800*time.Millisecond, qt.IsTrue, qt.Commentf("last call %v after the stop began", last))
}

// checkStoppingExitNode stops one of two nodes under load at the other. It returns
// when that began, and when calls arrived at the stopped node's target.
func checkStoppingExitNode(t *testing.T, notice, linger, keep float64) (began time.Time, arrivals []time.Time) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := newTestFleet(t, "a", "b")
		defer f.close()
		f.notice, f.linger, f.keep = notice, linger, keep
		f.configure(openFleetJSON)
		for i, name := range f.names {
			f.startNode(name, "one")
			f.startTarget("t"+name, name, "booking", 9000+i, 100)
		}
		time.Sleep(3 * time.Second)
		l := startLoad(f, 60, "a")
		time.Sleep(4 * time.Second)
		began = time.Now()
		c.Check(f.nodes["b"].stop(), qt.IsNil)
		c.Check(time.Since(began) < 6*time.Second, qt.IsTrue)
		arrivals = f.arrivalsAt("tb")
		time.Sleep(2 * time.Second)
		outcomes := l.finish()
		t.Logf("%v", outcomes)
		c.Check(outcomes, qt.DeepEquals, map[string]int{"200": outcomes["200"]})
		l.checkBookings(c)
	})
	return began, arrivals
}

// arrivalsAt returns the times of the requests that a target received.
func (f *testFleet) arrivalsAt(target string) []time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.arrivals[target])
}
