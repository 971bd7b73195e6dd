package configurer

import (
	"context"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/zinniaproxy/zinniaproxy/internal/faker"
)

const (
	// maxPropagationTime bounds the time until a change is in force on all nodes,
	// and maxKeyWithdrawalTime the time for which a withdrawn key is accepted.
	maxPropagationTime   = 7 * time.Second
	maxKeyWithdrawalTime = 3 * time.Second
)

func TestChangePropagatesAndWithdrawnKeyIsRejected(t *testing.T) {
	for name, setFaults := range map[string]func(f *testFleet){
		"no faults":                 func(*testFleet) {},
		"datagram loss":             func(f *testFleet) { f.withLock(func() { f.lossRate = 0.1 }) },
		"watches miss changes":      func(f *testFleet) { f.store.SetFaults(faker.StoreFaults{Deaf: true}) },
		"link cut in one direction": func(f *testFleet) { f.setBlocked("vm-003", "vm-005", true) },
		"two nodes without store":   func(f *testFleet) { f.setStoreReachable(false, "vm-004", "vm-006") },
		"slow store":                func(f *testFleet) { f.store.SetFaults(faker.StoreFaults{Slow: 300 * time.Millisecond}) },
	} {
		t.Run(name, func(t *testing.T) {
			runFleetTest(t, func(f *testFleet, c *qt.C) {
				f.startNodes(12)
				setFaults(f)
				time.Sleep(time.Second)
				f.apply(1, fleetOf("two"))
				accepted := time.Now()
				last := f.lastAccepted("one", maxKeyWithdrawalTime+time.Second)
				c.Check(last <= maxKeyWithdrawalTime, qt.IsTrue, qt.Commentf("accepted for %v", last))
				f.waitFor(maxPropagationTime-time.Since(accepted), func() bool { return f.allCurrent(2) })
				t.Logf("withdrawn key last accepted after %v", last)
			})
		})
	}
}

func TestNodeWithoutTheChangeRejectsWithdrawnKey(t *testing.T) {
	for name, setFaults := range map[string]func(f *testFleet){
		"receives nothing":             func(f *testFleet) { f.setBlocked("*", "vm-005", true) },
		"cannot send":                  func(f *testFleet) { f.setBlocked("vm-005", "*", true) },
		"receives heartbeats only":     func(f *testFleet) { f.withLock(func() { f.cutLinks[[2]string{"vm-005", "links"}] = true }) },
		"receives from the store only": func(f *testFleet) { f.setBlocked("*", "vm-005", true); f.setStoreReachable(true, "vm-005") },
	} {
		t.Run(name, func(t *testing.T) {
			runFleetTest(t, func(f *testFleet, c *qt.C) {
				f.startNodes(9)
				f.setStoreReachable(false, "vm-005")
				setFaults(f)
				f.apply(1, fleetOf("two"))
				last := f.lastAccepted("one", maxKeyWithdrawalTime+5*time.Second)
				c.Check(last <= maxKeyWithdrawalTime, qt.IsTrue, qt.Commentf("accepted for %v", last))
				t.Logf("withdrawn key last accepted after %v", last)
			})
		})
	}
}

func TestKeysAreAcceptedDuringStoreOutage(t *testing.T) {
	runFleetTest(t, func(f *testFleet, c *qt.C) {
		f.startNodes(9)
		f.store.SetFaults(faker.StoreFaults{Down: true})
		c.Check(f.countRejections("one", time.Minute, allNodes), qt.Equals, 0)
		f.kill("vm-004")
		restarted := f.start("vm-004") // gets the configuration from its peers
		f.waitFor(5*time.Second, func() bool { return restarted.acceptsKey("one") })
		c.Check(f.countRejections("one", 20*time.Second, allNodes), qt.Equals, 0)
		f.store.SetFaults(faker.StoreFaults{})
		c.Check(f.countRejections("one", 10*time.Second, allNodes), qt.Equals, 0)
	})
}

func TestRegionCutOffFromStoreRejectsKeys(t *testing.T) {
	runFleetTest(t, func(f *testFleet, c *qt.C) {
		f.startNodes(10)
		far := func(name string) bool { return name >= "vm-005" }
		for a := range f.nodes {
			for b := range f.nodes {
				if far(a) != far(b) {
					f.setBlocked(a, b, true)
				}
			}
			f.setStoreReachable(!far(a), a)
		}
		f.apply(1, fleetOf("two"))
		c.Check(f.lastAccepted("one", 10*time.Second) <= maxKeyWithdrawalTime, qt.IsTrue)
		near := func(name string) bool { return !far(name) }
		c.Check(f.countRejections("two", 20*time.Second, near), qt.Equals, 0)
		f.setBlocked("*", "*", false)
		f.withLock(func() { clear(f.noStore) })
		took := f.waitFor(time.Minute, func() bool { return f.allCurrent(2) })
		t.Logf("all nodes have the change %v after the cut ended", took)
	})
}

// rollBack overwrites the head in the store with an earlier one; nil removes it.
func (f *testFleet) rollBack(c *qt.C, head []byte) {
	s := f.store.Client()
	e, err := s.Get(f.ctx, HeadKey)
	c.Assert(err, qt.IsNil)
	_, err = s.Swap(f.ctx, HeadKey, head, e.Version, "")
	c.Assert(err, qt.IsNil)
}

func (f *testFleet) head(c *qt.C) []byte {
	e, err := f.store.Client().Get(f.ctx, HeadKey)
	c.Assert(err, qt.IsNil)
	return e.Value
}

func TestRolledBackStoreIsRestored(t *testing.T) {
	runFleetTest(t, func(f *testFleet, c *qt.C) {
		f.startNodes(5)
		old := f.head(c)
		f.apply(1, fleetOf("two"))
		f.waitFor(maxPropagationTime, func() bool { return f.allCurrent(2) })
		f.rollBack(c, old)
		f.waitFor(10*time.Second, func() bool {
			h, err := StoredHead(f.ctx, f.store.Client())
			return err == nil && h.Number == 2
		})
		c.Check(f.allCurrent(2), qt.IsTrue)
		f.rollBack(c, nil) // the head is removed
		f.waitFor(10*time.Second, func() bool {
			_, n, err := Read(f.ctx, f.store.Client())
			return err == nil && n == 2
		})
		f.apply(2, fleetOf("three"))
		f.waitFor(maxPropagationTime, func() bool { return f.allCurrent(3) })
	})
}

func TestDivergedStoreIsReportedAndFixedByApplyAbove(t *testing.T) {
	runFleetTest(t, func(f *testFleet, c *qt.C) {
		f.startNodes(4)
		old := f.head(c)
		f.apply(1, fleetOf("two"))
		f.apply(2, fleetOf("three"))
		f.waitFor(maxPropagationTime, func() bool { return f.allCurrent(3) })
		for name := range f.nodes {
			f.setStoreReachable(false, name)
		}
		time.Sleep(20 * time.Second) // until the last watch ends
		f.rollBack(c, old)
		n, err := Apply(f.ctx, f.store.Client(), 1, fleetOf("other"), "made on the old state")
		c.Assert(err, qt.IsNil)
		c.Assert(n, qt.Equals, uint64(2))
		f.withLock(func() { clear(f.noStore) })
		time.Sleep(5 * time.Second)
		c.Check(f.allCurrent(3), qt.IsTrue) // the number in force never decreases
		reports := 0
		for _, node := range f.nodes {
			for _, e := range node.tracer.Events() {
				if e.Kind == "configuration-diverged" {
					reports++
				}
			}
		}
		c.Check(reports > 0, qt.IsTrue)
		n, err = ApplyAbove(f.ctx, f.store.Client(), 2, 3, fleetOf("other"), "resolves the divergence")
		c.Assert(err, qt.IsNil)
		f.waitFor(maxPropagationTime, func() bool { return f.allCurrent(n) })
	})
}

func TestSimultaneousStartWithSlowStore(t *testing.T) {
	runFleetTest(t, func(f *testFleet, c *qt.C) {
		f.apply(0, fleetOf("one"))
		f.store.SetFaults(faker.StoreFaults{Slow: 500 * time.Millisecond})
		before := f.store.Counts().Reads
		for i := range 30 {
			f.start(fmt.Sprintf("vm-%03d", i))
		}
		took := f.waitFor(20*time.Second, func() bool { return f.allCurrent(1) })
		calls := f.store.Counts().Reads - before
		c.Check(calls <= 2*30, qt.IsTrue, qt.Commentf("%d calls", calls))
		t.Logf("30 nodes in force after %v with %d store reads", took, calls)
	})
}

func TestSingleNodeStartsFromStore(t *testing.T) {
	runFleetTest(t, func(f *testFleet, c *qt.C) {
		f.apply(0, fleetOf("one"))
		f.start("vm-000")
		f.waitFor(5*time.Second, func() bool { return f.allCurrent(1) })
	})
}

func TestPartWithWrongHashIsRejected(t *testing.T) {
	c := qt.New(t)
	store := faker.NewStore()
	_, err := Apply(t.Context(), store.Client(), 0, fleetOf("one"), "first")
	c.Assert(err, qt.IsNil)
	h, err := StoredHead(t.Context(), store.Client())
	c.Assert(err, qt.IsNil)
	conf := &Configurer{Store: store.Client(), Peers: func() []string { return []string{"faulty"} }}
	conf.init()
	conf.SendQuery = func(context.Context, string, *Query) (*Reply, error) {
		return &Reply{Head: h, Parts: [][]byte{encode(&manifest{})}}, nil
	}
	c.Check(conf.fetchAndInstall(t.Context(), peerHead{Head: h, node: "faulty"}, false), qt.IsFalse)
	c.Check(conf.fetchAndInstall(t.Context(), peerHead{Head: h, node: "faulty"}, true), qt.IsTrue)
}

// TestNodeReplacementsDuringLongStoreOutage keeps the store down for 20 minutes,
// in which every node is replaced, half of them under new names, and one is killed.
func TestNodeReplacementsDuringLongStoreOutage(t *testing.T) {
	runFleetTest(t, func(f *testFleet, c *qt.C) {
		f.startNodes(6)
		f.store.SetFaults(faker.StoreFaults{Down: true})
		var newest string
		olderNodes := func(name string) bool { return name != newest }
		for i := range 6 {
			name := fmt.Sprintf("vm-%03d", i)
			f.leaveGracefully(name)
			if i%2 == 1 {
				name = fmt.Sprintf("vm-%03d", 10+i)
			}
			newest = name
			node := f.start(name)
			c.Check(f.countRejections("one", 10*time.Second, olderNodes), qt.Equals, 0)
			c.Check(node.acceptsKey("one"), qt.IsTrue)
			c.Check(f.countRejections("one", 3*time.Minute, allNodes), qt.Equals, 0)
		}
		f.kill("vm-000")
		c.Check(f.countRejections("one", 2*time.Minute, allNodes), qt.Equals, 0)
		f.store.SetFaults(faker.StoreFaults{})
		f.apply(1, fleetOf("two"))
		took := f.waitFor(maxPropagationTime, func() bool { return f.allCurrent(2) })
		t.Logf("a change after the outage is in force after %v", took)
	})
}
