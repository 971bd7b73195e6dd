package prober

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func alwaysConfirm(n uint64) func(context.Context) (Numbers, error) {
	return func(context.Context) (Numbers, error) { return Numbers{ConfigNumber: n, SharesNumber: 1}, nil }
}

// fakeStore answers Confirm in place of the store.
type fakeStore struct {
	number atomic.Uint64
	down   atomic.Bool
	calls  atomic.Int64
}

func (s *fakeStore) confirm(context.Context) (Numbers, error) {
	s.calls.Add(1)
	if s.down.Load() {
		return Numbers{}, errors.New("down")
	}
	return Numbers{ConfigNumber: s.number.Load(), SharesNumber: 1}, nil
}

// oldestStampAge returns the greatest age of any node's newest stamp over a
// period.
func oldestStampAge(nodes []*testNode, period time.Duration) time.Duration {
	var oldest time.Duration
	for range period / (50 * time.Millisecond) {
		for _, node := range nodes {
			oldest = max(oldest, node.NewestStamp().Age)
		}
		time.Sleep(50 * time.Millisecond)
	}
	return oldest
}

func TestStampsReachAllNodesWithFewStoreCalls(t *testing.T) {
	for _, n := range []int{10, 40} {
		inVirtualTime(t, func(t *testing.T, c *qt.C, nw *fakeNetwork) {
			store := &fakeStore{}
			store.number.Store(4)
			nodes := startFleet(t, nw, n, func(p *Prober) { p.Confirm = store.confirm })
			time.Sleep(5 * time.Second)
			store.calls.Store(0)
			c.Check(oldestStampAge(nodes, time.Minute) < MaxStampAge, qt.IsTrue)
			c.Check(store.calls.Load() <= 150, qt.IsTrue, qt.Commentf("%d calls", store.calls.Load()))
			store.number.Store(5)
			took := waitUntil(t, 3*time.Second, func() bool {
				for _, node := range nodes {
					if node.NewestStamp().Config != 5 {
						return false
					}
				}
				return true
			})
			t.Logf("%d nodes: number known everywhere after %v, %d store calls a minute", n, took, store.calls.Load())
		})
	}
}

func TestCensusKeepsStampsFreshWhenNoNodeReachesTheStore(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, c *qt.C, nw *fakeNetwork) {
		store := &fakeStore{}
		store.number.Store(4)
		nodes := startFleet(t, nw, 12, func(p *Prober) { p.Confirm = store.confirm })
		time.Sleep(5 * time.Second)
		store.down.Store(true)
		c.Check(oldestStampAge(nodes, time.Minute) < MaxStampAge, qt.IsTrue)
		store.calls.Store(0)
		nw.mu.Lock()
		nw.loss = 0.1
		nw.mu.Unlock()
		c.Check(oldestStampAge(nodes, time.Minute) < MaxStampAge, qt.IsTrue)
		c.Check(nodes[0].NewestStamp().Census, qt.IsTrue)
		t.Logf("%d store tries in a minute of outage", store.calls.Load())
	})
}

func TestIsolatedNodeHasNoFreshStamp(t *testing.T) {
	for name, isolate := range map[string]func(nw *fakeNetwork){
		"both ways":        func(nw *fakeNetwork) { nw.block("*", addressOf(5), true); nw.block(addressOf(5), "*", true) },
		"receives nothing": func(nw *fakeNetwork) { nw.block("*", addressOf(5), true) },
	} {
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T, c *qt.C, nw *fakeNetwork) {
				store := &fakeStore{}
				nodes := startFleet(t, nw, 10, func(p *Prober) {
					if p.Node.Name != nameOf(5) { // node 5 has no store
						p.Confirm = store.confirm
					}
				})
				time.Sleep(5 * time.Second)
				isolate(nw)
				time.Sleep(MaxStampAge)
				c.Check(nodes[5].NewestStamp().Age >= MaxStampAge-ackTimeout, qt.IsTrue)
				others := append(nodes[:5:5], nodes[6:]...)
				time.Sleep(time.Second)
				c.Check(nodes[5].NewestStamp().Age > MaxStampAge, qt.IsTrue)
				c.Check(oldestStampAge(others, 20*time.Second) < MaxStampAge, qt.IsTrue)
			})
		})
	}
}

func TestPartitionHalfWithoutStoreHasNoFreshStamp(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, c *qt.C, nw *fakeNetwork) {
		store := &fakeStore{}
		nodes := startFleet(t, nw, 10, func(p *Prober) {
			if p.Node.Name < nameOf(5) {
				p.Confirm = store.confirm
			}
		})
		for i := range 5 {
			for j := 5; j < 10; j++ {
				nw.block(addressOf(i), addressOf(j), true)
				nw.block(addressOf(j), addressOf(i), true)
			}
		}
		time.Sleep(MaxStampAge + time.Second)
		c.Check(oldestStampAge(nodes[:5], 20*time.Second) < MaxStampAge, qt.IsTrue)
		for _, node := range nodes[5:] {
			c.Check(node.NewestStamp().Age > MaxStampAge, qt.IsTrue)
		}
	})
}

func TestResumedNodeIgnoresStampsReceivedWhilePaused(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, c *qt.C, nw *fakeNetwork) {
		store := &fakeStore{}
		store.number.Store(4)
		nodes := startFleet(t, nw, 6, func(p *Prober) {
			if p.Node.Name != nameOf(5) {
				p.Confirm = store.confirm
			}
		})
		time.Sleep(time.Minute) // long enough to measure the others' clock offsets
		resume := nodes[5].socket.pause()
		time.Sleep(20 * time.Second)
		c.Check(nodes[5].NewestStamp().Age > 19*time.Second, qt.IsTrue)
		// The node resumes with a socket full of old stamps and stays isolated.
		nw.block("*", addressOf(5), true)
		nw.block(addressOf(5), "*", true)
		time.Sleep(4 * time.Second)
		resume()
		for range 40 {
			c.Assert(nodes[5].NewestStamp().Age > MaxStampAge, qt.IsTrue)
			time.Sleep(50 * time.Millisecond)
		}
		c.Check(stateOf(nodes[5], nameOf(0)), qt.Not(qt.Equals), Dead)
	})
}

func TestDelayedStampsAreStale(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, c *qt.C, nw *fakeNetwork) {
		store := &fakeStore{}
		nodes := startFleet(t, nw, 6, func(p *Prober) {
			if p.Node.Name != nameOf(5) {
				p.Confirm = store.confirm
			}
		})
		time.Sleep(time.Minute)
		nw.mu.Lock()
		nw.extraDelay[addressOf(5)] = 20 * time.Second // all stamps that it receives are old
		nw.mu.Unlock()
		time.Sleep(MaxStampAge)
		for range 600 {
			c.Assert(nodes[5].NewestStamp().Age > MaxStampAge, qt.IsTrue)
			time.Sleep(50 * time.Millisecond)
		}
	})
}

// An overflow belongs to its configuration's number: one of an earlier number must
// not be taken for one of a later number, for which nodes would search in vain.
func TestOverflowBelongsToItsNumber(t *testing.T) {
	var s stampState
	qt.Check(t, s.raiseNumbers(Numbers{ConfigNumber: 5, ConfigOverflow: 900}), qt.IsTrue)
	qt.Check(t, s.raiseNumbers(Numbers{ConfigNumber: 5, ConfigOverflow: 800}), qt.IsFalse)
	qt.Check(t, s.raiseNumbers(Numbers{ConfigNumber: 6}), qt.IsTrue)
	qt.Check(t, s.raiseNumbers(Numbers{ConfigNumber: 5, ConfigOverflow: 901}), qt.IsFalse)
	qt.Check(t, s.numbers, qt.Equals, Numbers{ConfigNumber: 6})
	qt.Assert(t, s.raised, qt.HasLen, 3)
	qt.Check(t, s.raised[1], qt.Equals, raisedNumber{ConfigOverflow, 5, 900})
}
