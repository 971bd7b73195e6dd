package limiter

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestThreeNodesAdmitUpToLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, f := qt.New(t), newFleet(t, 1)
		f.setLimit("jos", 10, 20)
		f.setLimit("small", 0.1, 1)
		for i := range 3 {
			f.start(i, 1, nil)
		}
		time.Sleep(5 * time.Second)
		for range 300 {
			for _, n := range f.runningNodes() {
				go f.request(n, "jos")
				go f.request(n, "small")
			}
			time.Sleep(100 * time.Millisecond)
		}
		time.Sleep(2 * time.Second)
		c.Check(excess(f.admitted("jos"), f.limits["jos"]) < 1e-6, qt.IsTrue)
		c.Check(len(f.admitted("jos")) > 300, qt.IsTrue, qt.Commentf("%d", len(f.admitted("jos"))))
		c.Check(excess(f.admitted("small"), f.limits["small"]) < 1e-6, qt.IsTrue)
		c.Check(len(f.admitted("small")) >= 3, qt.IsTrue, qt.Commentf("%d", len(f.admitted("small"))))
		f.close()
	})
}

// fault is a fault in which a second process could grant the same share.
type fault struct {
	name   string
	inject func(f *fleet, holder *node)
}

// hideFromOthers makes all other nodes believe that a node is dead, or alive
// again.
func (f *fleet) hideFromOthers(n *node, hidden bool) {
	for _, m := range f.runningNodes() {
		m.mu.Lock()
		m.hiddenNodes[n.Self.Name] = hidden
		m.mu.Unlock()
	}
}

func (n *node) cutStore(on bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.noStore, n.noStamps = on, on
}

var faults = []fault{
	{"believed dead", func(f *fleet, n *node) { f.hideFromOthers(n, true) }},
	{"cut off from the store and its stamps", func(f *fleet, n *node) {
		f.hideFromOthers(n, true)
		n.cutStore(true)
	}},
	{"cut off, then back", func(f *fleet, n *node) {
		f.hideFromOthers(n, true)
		n.cutStore(true)
		time.Sleep(30 * time.Second)
		f.hideFromOthers(n, false)
		n.cutStore(false)
	}},
	{"paused beyond the fence", func(f *fleet, n *node) {
		f.hideFromOthers(n, true)
		n.pauseFor(40 * time.Second)
	}},
	{"restarted", func(f *fleet, n *node) {
		n.kill()
		f.start(n.number, n.clockSpeed, nil)
	}},
	{"all restarted", func(f *fleet, _ *node) {
		for _, m := range f.runningNodes() {
			m.kill()
			f.start(m.number, m.clockSpeed, nil)
		}
	}},
	{"wide and back", func(f *fleet, _ *node) {
		for range 3 {
			f.setWide("x")
			time.Sleep(11 * time.Second)
			f.setWide("hot")
			time.Sleep(11 * time.Second)
		}
	}},
	{"handed over twice", func(f *fleet, n *node) {
		f.mu.Lock()
		f.duplicateChance, f.maxDuplicateDelay = 1, 10*time.Second
		n.leaving = true
		f.mu.Unlock()
		n.Leave(f.t.Context())
		time.Sleep(time.Second)
		f.mu.Lock()
		n.leaving = false
		f.mu.Unlock()
	}},
}

// setWide makes name the only wide workspace.
func (f *fleet) setWide(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.config++
	f.wide = []string{name}
}

// TestNoShareIsGrantedTwice overloads one workspace at every node while its
// holder fails. A rate that is high relative to the burst reveals two holders
// that grant at the same time. A large burst reveals one burst that is granted
// twice.
func TestNoShareIsGrantedTwice(t *testing.T) {
	for _, x := range faults {
		for _, limit := range []rateLimit{{40, 8}, {1, 100}} {
			t.Run(fmt.Sprintf("%s/%v a second", x.name, limit.rate), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { x.run(t, limit) })
			})
		}
	}
}

func (x fault) run(t *testing.T, limit rateLimit) {
	c, f := qt.New(t), newFleet(t, 7)
	f.setLimit("hot", limit.rate, limit.burst)
	for i := range 4 {
		f.start(i, 1, func(l *Limiter) { l.HolderTimeout = time.Second })
	}
	time.Sleep(20 * time.Second)
	stop := make(chan struct{})
	go f.overload("hot", stop)
	time.Sleep(4 * time.Second)
	x.inject(f, f.node(f.runningNodes()[0].SoleHolder("hot")))
	time.Sleep(60 * time.Second)
	before := len(f.admitted("hot"))
	time.Sleep(10 * time.Second)
	close(stop)
	all := f.admitted("hot")
	c.Check(excess(all, limit) < 1e-6, qt.IsTrue, qt.Commentf("%.2f too many", excess(all, limit)))
	c.Check(float64(len(all)-before) > 2.5*limit.rate, qt.IsTrue, qt.Commentf("%d after the fault", len(all)-before))
	f.close()
}

// overload sends more than the rate at every node.
func (f *fleet) overload(workspace string, stop chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(25 * time.Millisecond):
		}
		for _, n := range f.runningNodes() {
			go f.request(n, workspace)
		}
	}
}

// TestPausedLocalGrantIsNotSpent pauses the process between a local grant and
// its use.
func TestPausedLocalGrantIsNotSpent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, f := qt.New(t), newFleet(t, 1)
		f.setLimit("jos", 10, 20)
		var jump time.Duration
		var jumping bool
		f.start(0, 1, func(l *Limiter) {
			l.Now = func() time.Time {
				if jumping {
					jump += time.Second
				}
				return time.Now().Add(jump)
			}
		})
		time.Sleep(5 * time.Second)
		n := f.runningNodes()[0]
		synctest.Wait()
		_, first := firstShare("jos")
		c.Check(n.takeLocal(t.Context(), requestKey{workspace: "jos", share: first}).status, qt.Equals, Granted)
		jumping = true
		c.Check(n.takeLocal(t.Context(), requestKey{workspace: "jos", share: first}).status, qt.Equals, NotReady)
		jumping = false
		f.close()
	})
}

// TestFullRestartBoundsStoreWrites restarts a whole fleet at once and counts
// the store's reads and writes while it recovers and for two minutes after.
func TestFullRestartBoundsStoreWrites(t *testing.T) {
	const nodes = 40
	synctest.Test(t, func(t *testing.T) {
		c, f := qt.New(t), newFleet(t, 1)
		f.setLimit("jos", 50, 100)
		for i := range nodes {
			f.start(i, 1, nil)
		}
		time.Sleep(30 * time.Second)
		before := f.store.Counts()
		for _, n := range f.runningNodes() {
			n.kill()
			f.start(n.number, 1, nil)
		}
		time.Sleep(20 * time.Second)
		f.request(f.runningNodes()[0], "jos")
		c.Check(f.admitted("jos"), qt.HasLen, 1)
		time.Sleep(2 * time.Minute)
		after := f.store.Counts()
		t.Logf("%d reads, %d writes", after.Reads-before.Reads, after.Writes-before.Writes)
		c.Check(after.Writes-before.Writes <= nodes, qt.IsTrue)
		f.close()
	})
}

// TestRequestsAreAdmittedInArrivalOrder sends requests that wait for a token at
// different nodes.
func TestRequestsAreAdmittedInArrivalOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, f := qt.New(t), newFleet(t, 4)
		f.setLimit("jos", 10, 20)
		for i := range 4 {
			f.start(i, 1, nil)
		}
		time.Sleep(10 * time.Second)
		for range 20 {
			c.Assert(f.runningNodes()[0].Take(t.Context(), "jos"), qt.IsNil)
		}
		var order []int
		var mu sync.Mutex
		for i := range 8 {
			go func() {
				if err := f.runningNodes()[i%4].Take(t.Context(), "jos"); err != nil {
					t.Error(err)
				}
				mu.Lock()
				defer mu.Unlock()
				order = append(order, i)
			}()
			time.Sleep(20 * time.Millisecond)
		}
		time.Sleep(2 * time.Second)
		mu.Lock()
		c.Check(order, qt.DeepEquals, []int{0, 1, 2, 3, 4, 5, 6, 7})
		mu.Unlock()
		f.close()
	})
}
