package prober

import (
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/zinniaproxy/zinniaproxy/internal/messenger"

	qt "github.com/frankban/quicktest"
)

func stateOf(r *running, name string) State {
	m, _ := r.Member(name)
	return m.State
}

func TestDeadNodeIsFoundAndReplacedOneIsNew(t *testing.T) {
	bubble(t, func(t *testing.T, c *qt.C, w *wire) {
		rs := fleet(t, w, 10, nil)
		rs[3].kill()
		took := await(t, 8*time.Second, func() bool { return allSee(append(rs[:3:3], rs[4:]...), 9) })
		t.Logf("dead after %v", took)
		old := rs[3].Node.Epoch
		rs[3] = start(t, w, 3, nil)
		await(t, 5*time.Second, func() bool { return allSee(rs, 10) })
		m, _ := rs[7].Member(nameOf(3))
		c.Check(m.Epoch > old, qt.IsTrue)
	})
}

func TestReplacementWithSlowWallClockIsTaken(t *testing.T) {
	bubble(t, func(t *testing.T, c *qt.C, w *wire) {
		rs := fleet(t, w, 4, nil)
		rs[2].kill()
		old := rs[2].Node.Epoch
		rs[2] = start(t, w, 2, func(p *Prober) { p.Node.Epoch -= uint64(time.Hour) })
		await(t, 10*time.Second, func() bool {
			m, _ := rs[3].Member(nameOf(2))
			return m.Epoch > old && m.State == Alive
		})
		c.Check(rs[2].Replaced(), qt.IsFalse)
		m, _ := rs[3].Member(nameOf(2))
		time.Sleep(20 * time.Second)
		now, _ := rs[3].Member(nameOf(2))
		c.Check(now.Epoch, qt.Equals, m.Epoch)
		c.Check(now.State, qt.Equals, Alive)
	})
}

func TestOneWayPartitionDoesNotFlapTheRoster(t *testing.T) {
	bubble(t, func(t *testing.T, c *qt.C, w *wire) {
		var changes atomic.Int64
		rs := fleet(t, w, 8, func(p *Prober) {
			p.OnChange = func(m Member) {
				if m.State != Alive {
					changes.Add(1)
				}
			}
		})
		w.block(hostOf(4), hostOf(5), true)
		await(t, time.Minute, func() bool {
			m, _ := rs[4].Member(nameOf(5))
			return !m.Direct
		})
		time.Sleep(2 * time.Minute)
		c.Check(changes.Load(), qt.Equals, int64(0))
		c.Check(allSee(rs, 8), qt.IsTrue)
		w.block(hostOf(4), hostOf(5), false)
		await(t, time.Minute, func() bool {
			m, _ := rs[4].Member(nameOf(5))
			return m.Direct
		})
	})
}

func TestDeafNodeAccusesNobody(t *testing.T) {
	bubble(t, func(t *testing.T, c *qt.C, w *wire) {
		rs := fleet(t, w, 8, nil)
		w.block("*", hostOf(4), true) // it is heard and hears nobody
		await(t, 10*time.Second, func() bool { return stateOf(rs[0], nameOf(4)) == Dead })
		time.Sleep(2 * time.Minute)
		for i, r := range rs {
			for j := range rs {
				if i != 4 && j != 4 {
					m, _ := r.Member(nameOf(j))
					c.Check(m.State, qt.Equals, Alive)
					c.Check(m.Incarnation <= 1, qt.IsTrue)
				}
			}
		}
		c.Check(rs[4].Counts().Suspicions <= 2, qt.IsTrue)
		w.block("*", hostOf(4), false)
		await(t, 20*time.Second, func() bool { return allSee(rs, 8) })
	})
}

func TestSplitFleetComesTogetherAgain(t *testing.T) {
	bubble(t, func(t *testing.T, _ *qt.C, w *wire) {
		rs := fleet(t, w, 10, nil)
		split := func(on bool) {
			for i := range 10 {
				for j := range 10 {
					if i%2 != j%2 {
						w.block(hostOf(i), hostOf(j), on)
					}
				}
			}
		}
		split(true)
		await(t, 30*time.Second, func() bool { return allSee(rs, 5) })
		time.Sleep(10 * time.Minute)
		split(false)
		took := await(t, 30*time.Second, func() bool { return allSee(rs, 10) })
		t.Logf("together again after %v", took)
	})
}

func TestLeavingIsToldAtOnce(t *testing.T) {
	bubble(t, func(t *testing.T, c *qt.C, w *wire) {
		rs := fleet(t, w, 10, nil)
		rs[6].Leave()
		await(t, 3*time.Second, func() bool { return allSee(rs, 9) })
		c.Check(stateOf(rs[0], nameOf(6)), qt.Equals, Alive)
		rs[6].stop()
		await(t, 3*time.Second, func() bool { return stateOf(rs[0], nameOf(6)) == Left })
	})
}

func TestForeignForgedAndReplayedDatagramsAreRejected(t *testing.T) {
	bubble(t, func(t *testing.T, c *qt.C, w *wire) {
		var kept []byte
		w.tap = func(from, to string, data []byte) {
			if from == hostOf(1) && to == hostOf(0) {
				kept = slices.Clone(data)
			}
		}
		rs := fleet(t, w, 3, nil)
		time.Sleep(10 * time.Second)
		w.mu.Lock()
		w.tap = nil
		replay := kept
		w.mu.Unlock()
		sent := func(b []byte) {
			before := rs[0].Counts()
			w.mu.Lock()
			x := w.ends[hostOf(0)]
			w.mu.Unlock()
			x.in <- b
			await(t, time.Second, func() bool { return rs[0].Counts().Rejected == before.Rejected+1 })
		}
		sent(replay)
		forged := slices.Clone(replay)
		forged[len(forged)-1] ^= 1
		sent(forged)
		foreign := seal([]byte("another fleet's secret"), &packet{Kind: ping, From: nameOf(2)})
		sent(foreign)
		sent([]byte("short"))
		stranger := start(t, w, 7, func(p *Prober) { p.Secret = []byte("another fleet's secret") })
		time.Sleep(10 * time.Second)
		c.Check(allSee(rs, 3), qt.IsTrue)
		c.Check(stranger.Alive(), qt.HasLen, 1)
	})
}

func TestReplayToANewProcessTellsNothing(t *testing.T) {
	bubble(t, func(t *testing.T, c *qt.C, w *wire) {
		var kept [][]byte
		w.tap = func(_, to string, data []byte) {
			if to == hostOf(0) {
				kept = append(kept, append([]byte(nil), data...))
			}
		}
		rs := fleet(t, w, 3, func(p *Prober) { p.Confirm = confirmed(7) })
		time.Sleep(10 * time.Second)
		for _, r := range rs {
			r.kill()
		}
		w.mu.Lock()
		w.tap = nil
		old := kept
		w.mu.Unlock()
		again := start(t, w, 0, func(p *Prober) { p.Seeds = nil })
		for _, b := range old {
			again.end.in <- b
		}
		time.Sleep(time.Second)
		c.Check(again.Alive(), qt.HasLen, 1)
		c.Check(again.Fresh().Config, qt.Equals, uint64(0))
	})
}

func TestNoFalseSuspicionEndsUnderLoss(t *testing.T) {
	for _, loss := range []float64{0.01, 0.1} {
		bubble(t, func(t *testing.T, c *qt.C, w *wire) {
			var deaths atomic.Int64
			w.loss = loss
			rs := fleet(t, w, 10, func(p *Prober) {
				p.OnChange = func(m Member) {
					if m.State == Dead {
						deaths.Add(1)
					}
				}
			})
			time.Sleep(5 * time.Minute)
			c.Check(deaths.Load(), qt.Equals, int64(0))
			c.Check(allSee(rs, 10), qt.IsTrue)
		})
	}
}

func TestLoneNodeCanLeave(t *testing.T) {
	bubble(t, func(t *testing.T, c *qt.C, w *wire) {
		r := start(t, w, 0, nil)
		time.Sleep(StampBound)
		c.Check(r.Fresh().Age < StampBound, qt.IsTrue) // it is all of its fleet
		r.Leave()
		time.Sleep(5 * time.Second)
		c.Check(r.Alive(), qt.HasLen, 0)
	})
}

// A process that starts anew with neither seeds nor a store joins by the pings
// that were meant for the one before it.
func TestFreshProcessJoinsByPingsForTheOneBefore(t *testing.T) {
	bubble(t, func(t *testing.T, _ *qt.C, w *wire) {
		rs := fleet(t, w, 6, nil)
		rs[3].kill()
		rs[3] = start(t, w, 3, func(p *Prober) { p.Seeds = nil })
		await(t, 5*time.Second, func() bool { return allSee(rs, 6) })
	})
}

// TestFleetThatStartsAtOnceKnowsItself has all nodes of a large fleet start
// anew at the same time, with nothing but the record of the ones before.
func TestFleetThatStartsAtOnceKnowsItself(t *testing.T) {
	bubble(t, func(t *testing.T, c *qt.C, w *wire) {
		const n = 80
		var rs []*running
		var record []messenger.Node
		for i := range n {
			rs = append(rs, start(t, w, i, func(p *Prober) { p.Seeds = nil }))
			record = append(record, messenger.Node{Name: nameOf(i), Epoch: 1, Link: hostOf(i)})
		}
		time.Sleep(200 * time.Millisecond)
		for _, r := range rs {
			r.Record(record)
		}
		took := await(t, 30*time.Second, func() bool { return allSee(rs, n) })
		t.Logf("%d nodes know each other %v after they read the record; %d bytes sent by each", n, took, totals(rs).SentBytes/n)
		c.Check(took < 1500*time.Millisecond, qt.IsTrue)
	})
}
