package prober

import (
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/zinniaproxy/zinniaproxy/internal/messenger"

	qt "github.com/frankban/quicktest"
)

func stateOf(node *testNode, name string) State {
	m, _ := node.Member(name)
	return m.State
}

func TestDeadNodeIsDetectedAndRestartedNodeHasNewEpoch(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, c *qt.C, nw *fakeNetwork) {
		nodes := startFleet(t, nw, 10, nil)
		nodes[3].kill()
		took := waitUntil(t, 8*time.Second, func() bool { return allSeeAlive(append(nodes[:3:3], nodes[4:]...), 9) })
		t.Logf("dead after %v", took)
		oldEpoch := nodes[3].Node.Epoch
		nodes[3] = startNode(t, nw, 3, nil)
		waitUntil(t, 5*time.Second, func() bool { return allSeeAlive(nodes, 10) })
		m, _ := nodes[7].Member(nameOf(3))
		c.Check(m.Epoch > oldEpoch, qt.IsTrue)
	})
}

func TestRestartedNodeWithSlowWallClockIsAccepted(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, c *qt.C, nw *fakeNetwork) {
		nodes := startFleet(t, nw, 4, nil)
		nodes[2].kill()
		oldEpoch := nodes[2].Node.Epoch
		nodes[2] = startNode(t, nw, 2, func(p *Prober) { p.Node.Epoch -= uint64(time.Hour) })
		waitUntil(t, 10*time.Second, func() bool {
			m, _ := nodes[3].Member(nameOf(2))
			return m.Epoch > oldEpoch && m.State == Alive
		})
		c.Check(nodes[2].Replaced(), qt.IsFalse)
		m, _ := nodes[3].Member(nameOf(2))
		time.Sleep(20 * time.Second)
		now, _ := nodes[3].Member(nameOf(2))
		c.Check(now.Epoch, qt.Equals, m.Epoch)
		c.Check(now.State, qt.Equals, Alive)
	})
}

func TestOneWayPartitionDoesNotChangeMembership(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, c *qt.C, nw *fakeNetwork) {
		var changes atomic.Int64
		nodes := startFleet(t, nw, 8, func(p *Prober) {
			p.OnChange = func(m Member) {
				if m.State != Alive {
					changes.Add(1)
				}
			}
		})
		nw.block(addressOf(4), addressOf(5), true)
		waitUntil(t, time.Minute, func() bool {
			m, _ := nodes[4].Member(nameOf(5))
			return !m.Direct
		})
		time.Sleep(2 * time.Minute)
		c.Check(changes.Load(), qt.Equals, int64(0))
		c.Check(allSeeAlive(nodes, 8), qt.IsTrue)
		nw.block(addressOf(4), addressOf(5), false)
		waitUntil(t, time.Minute, func() bool {
			m, _ := nodes[4].Member(nameOf(5))
			return m.Direct
		})
	})
}

func TestNodeThatReceivesNothingCausesNoFalseDeath(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, c *qt.C, nw *fakeNetwork) {
		nodes := startFleet(t, nw, 8, nil)
		nw.block("*", addressOf(4), true) // node 4 can send but not receive
		waitUntil(t, 10*time.Second, func() bool { return stateOf(nodes[0], nameOf(4)) == Dead })
		time.Sleep(2 * time.Minute)
		for i, node := range nodes {
			for j := range nodes {
				if i != 4 && j != 4 {
					m, _ := node.Member(nameOf(j))
					c.Check(m.State, qt.Equals, Alive)
					c.Check(m.Incarnation <= 1, qt.IsTrue)
				}
			}
		}
		c.Check(nodes[4].Counts().Suspicions <= 2, qt.IsTrue)
		nw.block("*", addressOf(4), false)
		waitUntil(t, 20*time.Second, func() bool { return allSeeAlive(nodes, 8) })
	})
}

func TestPartitionedFleetRejoins(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, _ *qt.C, nw *fakeNetwork) {
		nodes := startFleet(t, nw, 10, nil)
		split := func(blocked bool) {
			for i := range 10 {
				for j := range 10 {
					if i%2 != j%2 {
						nw.block(addressOf(i), addressOf(j), blocked)
					}
				}
			}
		}
		split(true)
		waitUntil(t, 30*time.Second, func() bool { return allSeeAlive(nodes, 5) })
		time.Sleep(10 * time.Minute)
		split(false)
		took := waitUntil(t, 30*time.Second, func() bool { return allSeeAlive(nodes, 10) })
		t.Logf("rejoined after %v", took)
	})
}

func TestLeaveIsGossipedAtOnce(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, c *qt.C, nw *fakeNetwork) {
		nodes := startFleet(t, nw, 10, nil)
		nodes[6].Leave()
		waitUntil(t, 3*time.Second, func() bool { return allSeeAlive(nodes, 9) })
		c.Check(stateOf(nodes[0], nameOf(6)), qt.Equals, Alive)
		nodes[6].stop()
		waitUntil(t, 3*time.Second, func() bool { return stateOf(nodes[0], nameOf(6)) == Left })
	})
}

func TestForeignForgedAndReplayedDatagramsAreRejected(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, c *qt.C, nw *fakeNetwork) {
		var captured []byte
		nw.onDeliver = func(from, to string, data []byte) {
			if from == addressOf(1) && to == addressOf(0) {
				captured = slices.Clone(data)
			}
		}
		nodes := startFleet(t, nw, 3, nil)
		time.Sleep(10 * time.Second)
		nw.mu.Lock()
		nw.onDeliver = nil
		replay := captured
		nw.mu.Unlock()
		deliverRejected := func(b []byte) {
			before := nodes[0].Counts()
			nw.mu.Lock()
			receiver := nw.sockets[addressOf(0)]
			nw.mu.Unlock()
			receiver.in <- b
			waitUntil(t, time.Second, func() bool { return nodes[0].Counts().Rejected == before.Rejected+1 })
		}
		deliverRejected(replay)
		forged := slices.Clone(replay)
		forged[len(forged)-1] ^= 1
		deliverRejected(forged)
		foreign := seal([]byte("another fleet's secret"), &packet{Kind: ping, From: nameOf(2)})
		deliverRejected(foreign)
		deliverRejected([]byte("short"))
		foreignNode := startNode(t, nw, 7, func(p *Prober) { p.Secret = []byte("another fleet's secret") })
		time.Sleep(10 * time.Second)
		c.Check(allSeeAlive(nodes, 3), qt.IsTrue)
		c.Check(foreignNode.Alive(), qt.HasLen, 1)
	})
}

func TestDatagramsReplayedToNewProcessHaveNoEffect(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, c *qt.C, nw *fakeNetwork) {
		var captured [][]byte
		nw.onDeliver = func(_, to string, data []byte) {
			if to == addressOf(0) {
				captured = append(captured, append([]byte(nil), data...))
			}
		}
		nodes := startFleet(t, nw, 3, func(p *Prober) { p.Confirm = alwaysConfirm(7) })
		time.Sleep(10 * time.Second)
		for _, node := range nodes {
			node.kill()
		}
		nw.mu.Lock()
		nw.onDeliver = nil
		replayed := captured
		nw.mu.Unlock()
		restarted := startNode(t, nw, 0, func(p *Prober) { p.Seeds = nil })
		for _, b := range replayed {
			restarted.socket.in <- b
		}
		time.Sleep(time.Second)
		c.Check(restarted.Alive(), qt.HasLen, 1)
		c.Check(restarted.NewestStamp().Config, qt.Equals, uint64(0))
	})
}

func TestLossCausesNoFalseDeath(t *testing.T) {
	for _, loss := range []float64{0.01, 0.1} {
		inVirtualTime(t, func(t *testing.T, c *qt.C, nw *fakeNetwork) {
			var deaths atomic.Int64
			nw.loss = loss
			nodes := startFleet(t, nw, 10, func(p *Prober) {
				p.OnChange = func(m Member) {
					if m.State == Dead {
						deaths.Add(1)
					}
				}
			})
			time.Sleep(5 * time.Minute)
			c.Check(deaths.Load(), qt.Equals, int64(0))
			c.Check(allSeeAlive(nodes, 10), qt.IsTrue)
		})
	}
}

func TestLoneNodeCanLeave(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, c *qt.C, nw *fakeNetwork) {
		node := startNode(t, nw, 0, nil)
		time.Sleep(MaxStampAge)
		c.Check(node.NewestStamp().Age < MaxStampAge, qt.IsTrue) // it is a majority of its fleet
		node.Leave()
		time.Sleep(5 * time.Second)
		c.Check(node.Alive(), qt.HasLen, 0)
	})
}

// TestRestartedProcessJoinsByPingsForItsPredecessor restarts a node without seeds
// or a store. It must join through the pings that other nodes still send to its
// predecessor.
func TestRestartedProcessJoinsByPingsForItsPredecessor(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, _ *qt.C, nw *fakeNetwork) {
		nodes := startFleet(t, nw, 6, nil)
		nodes[3].kill()
		nodes[3] = startNode(t, nw, 3, func(p *Prober) { p.Seeds = nil })
		waitUntil(t, 5*time.Second, func() bool { return allSeeAlive(nodes, 6) })
	})
}

// TestFleetStartedAtOnceDiscoversAllMembers restarts all nodes of a large fleet
// at the same time, with only the store's records of their predecessors to find
// each other.
func TestFleetStartedAtOnceDiscoversAllMembers(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, c *qt.C, nw *fakeNetwork) {
		const n = 80
		var nodes []*testNode
		var recorded []messenger.Node
		for i := range n {
			nodes = append(nodes, startNode(t, nw, i, func(p *Prober) { p.Seeds = nil }))
			recorded = append(recorded, messenger.Node{Name: nameOf(i), Epoch: 1, Link: addressOf(i)})
		}
		time.Sleep(200 * time.Millisecond)
		for _, node := range nodes {
			node.SetRecorded(recorded)
		}
		took := waitUntil(t, 30*time.Second, func() bool { return allSeeAlive(nodes, n) })
		t.Logf("%d nodes know each other %v after they received the records; %d bytes sent by each", n, took, sumCounts(nodes).SentBytes/n)
		c.Check(took < 1500*time.Millisecond, qt.IsTrue)
	})
}
