package node

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// After a request has crashed maxCrashes targets and crashDelay has passed, it may
// reach targets maxFurtherSends times more.
const (
	maxCrashes      = 3
	crashDelay      = 3 * time.Second
	maxFurtherSends = 3
)

const crashFleet = `{
  "centres": [{"name": "one", "region": "r"}, {"name": "two", "region": "r"}],
  "services": [{"name": "booking", "slots": 7, "cold": 7, "floor": 0.5}],
  "workspaces": [],
  "routes": [
    {"name": "read", "path": "/read", "service": "booking", "open": true, "aim": 1000, "deadline": 3000},
    {"name": "book", "path": "/book", "methods": ["POST"], "service": "booking", "once": true, "open": true, "aim": 1000, "deadline": 3000}
  ]
}`

// crashLoad is a fleet with a target on each node, under a fatal request that comes
// again and again, at one node after the other, and other requests.
type crashLoad struct {
	*testFleet
	running sync.WaitGroup

	mu sync.Mutex
	// served and all count the other requests.
	served, all int
}

func startCrashLoad(t *testing.T) *crashLoad {
	l := &crashLoad{testFleet: newTestFleet(t, "a", "b", "c", "d", "e", "f")}
	l.sharedRates = true
	l.configure(crashFleet)
	for i, name := range l.names {
		l.startNode(name, l.centreOf(name))
		l.startTarget("at-"+name, name, "booking", 9001+i, 7)
	}
	time.Sleep(5 * time.Second)
	return l
}

func (l *crashLoad) centreOf(node string) string {
	if slices.Index(l.names, node)%2 == 0 {
		return "one"
	}
	return "two"
}

// runFor sends the fatal request four times a second and forty others.
func (l *crashLoad) runFor(d time.Duration, fatal string) {
	for i := range int(d / (25 * time.Millisecond)) {
		node := l.names[i%len(l.names)]
		if i%10 == 0 {
			l.running.Go(func() { l.send(node, fatal) })
		}
		path := fmt.Sprintf("/read/%d", time.Now().UnixNano())
		l.running.Go(func() {
			status := l.send(node, path)
			l.mu.Lock()
			defer l.mu.Unlock()
			l.all++
			if status == "200" {
				l.served++
			}
		})
		time.Sleep(25 * time.Millisecond)
	}
}

func (l *crashLoad) send(node, path string) (status string) {
	c := l.client("caller")
	defer c.CloseIdleConnections()
	method := http.MethodGet
	if strings.HasPrefix(path, "/book") {
		method = http.MethodPost
	}
	return strings.Fields(l.call(c, node, method, path, "", ""))[0]
}

// shareServed returns the share of the other requests that were served since the
// last call.
func (l *crashLoad) shareServed() float64 {
	l.running.Wait()
	l.mu.Lock()
	defer l.mu.Unlock()
	share := float64(l.served) / float64(l.all)
	l.served, l.all = 0, 0
	return share
}

// crashCount returns how many targets have crashed.
func (l *crashLoad) crashCount() int {
	l.testFleet.mu.Lock()
	defer l.testFleet.mu.Unlock()
	return len(l.crashTimes)
}

// checkFurtherSends checks how often the fatal request reached targets after it
// had crashed maxCrashes of them and crashDelay had passed.
func (l *crashLoad) checkFurtherSends() {
	l.testFleet.mu.Lock()
	defer l.testFleet.mu.Unlock()
	qt.Assert(l.t, len(l.crashTimes) >= maxCrashes, qt.IsTrue)
	from := l.crashTimes[maxCrashes-1].Add(crashDelay)
	sends := 0
	for name, times := range l.arrivals {
		for i, arrived := range times {
			if arrived.After(from) && strings.Contains(l.requests[name][i], "/fatal ") {
				sends++
			}
		}
	}
	qt.Check(l.t, sends <= maxFurtherSends, qt.IsTrue, qt.Commentf("%d further sends, %d targets crashed in all", sends, len(l.crashTimes)))
}

func runCrashLoad(t *testing.T, test func(t *testing.T, l *crashLoad)) {
	synctest.Test(t, func(t *testing.T) {
		l := startCrashLoad(t)
		defer l.close()
		test(t, l)
	})
}

// Guards against a request that crashes each target that runs it: after the third
// it must be kept from the others, at every node, and the other requests served.
func TestFatalRequestIsKeptFromTargets(t *testing.T) {
	for _, path := range []string{"/read/fatal", "/book/fatal"} {
		t.Run(path, func(t *testing.T) {
			runCrashLoad(t, func(t *testing.T, l *crashLoad) {
				l.runFor(8*time.Second, path)
				l.shareServed()
				l.runFor(12*time.Second, path)
				share := l.shareServed()
				l.checkFurtherSends()
				qt.Check(t, share >= 0.95, qt.IsTrue, qt.Commentf("%.3f of the others served", share))
			})
		})
	}
}

// Guards against a fleet that forgets a fatal request when its nodes are restarted
// one after the other, or all at once.
func TestRestartsKeepFatalRequestFromTargets(t *testing.T) {
	t.Run("in turn", func(t *testing.T) {
		runCrashLoad(t, func(_ *testing.T, l *crashLoad) {
			l.runFor(5*time.Second, "/read/fatal")
			for _, name := range l.names {
				l.startNode(name, l.centreOf(name))
				l.runFor(2*time.Second, "/read/fatal")
			}
			l.shareServed()
			l.checkFurtherSends()
		})
	})
	t.Run("all at once", func(t *testing.T) {
		runCrashLoad(t, func(_ *testing.T, l *crashLoad) {
			l.runFor(8*time.Second, "/read/fatal")
			l.shareServed()
			for _, name := range l.names {
				l.kill(name)
			}
			time.Sleep(time.Second)
			for _, name := range l.names {
				l.startNode(name, l.centreOf(name))
			}
			time.Sleep(5 * time.Second)
			l.runFor(8*time.Second, "/read/fatal")
			l.shareServed()
			l.checkFurtherSends()
		})
	})
}

// Guards against a node that was cut off while a request became known as fatal and
// sends it on when it is back.
func TestNodeCutOffLearnsOfFatalRequest(t *testing.T) {
	runCrashLoad(t, func(_ *testing.T, l *crashLoad) {
		for _, name := range l.names[1:] {
			l.network.Block("a", name)
			l.network.Block(name, "a")
		}
		l.runFor(8*time.Second, "/read/fatal")
		l.shareServed()
		for _, name := range l.names[1:] {
			l.network.Unblock("a", name)
			l.network.Unblock(name, "a")
		}
		time.Sleep(crashDelay)
		before := l.crashCount()
		l.runFor(8*time.Second, "/read/fatal")
		l.shareServed()
		qt.Check(l.t, l.crashCount()-before <= maxFurtherSends, qt.IsTrue, qt.Commentf("%d targets crashed afterwards", l.crashCount()-before))
	})
}

// Guards against refusals of requests that were only in flight when targets
// crashed: one cause takes all targets of a data centre at once, again and again.
func TestRequestsInFlightAtCrashesAreNotRefused(t *testing.T) {
	runCrashLoad(t, func(t *testing.T, l *crashLoad) {
		var callers sync.WaitGroup
		stop := make(chan struct{})
		for _, node := range l.names {
			callers.Go(func() {
				for {
					select {
					case <-stop:
						return
					default:
						l.send(node, "/read/popular/slow")
					}
				}
			})
		}
		for range 4 {
			time.Sleep(5 * time.Second)
			for _, name := range []string{"at-a", "at-c", "at-e"} {
				l.testFleet.mu.Lock()
				crash := l.crash[name]
				l.testFleet.mu.Unlock()
				go crash()
			}
		}
		close(stop)
		callers.Wait()
		time.Sleep(2 * crashDowntime)
		qt.Check(t, l.send("a", "/read/popular/slow"), qt.Equals, "200")
		qt.Check(t, l.send("b", "/read/popular/slow"), qt.Equals, "200")
	})
}
