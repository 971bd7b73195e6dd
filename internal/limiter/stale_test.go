package limiter

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/zinniaproxy/zinniaproxy/internal/assigner"
	"github.com/zinniaproxy/zinniaproxy/pkg/coder"
)

// TestGrantReceivedAfterExpiryIsNotUsed delays a reply until its tokens have
// expired.
func TestGrantReceivedAfterExpiryIsNotUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, f := qt.New(t), newFleet(t, 1)
		f.setLimit("jos", 10, 20)
		for i := range 2 {
			f.start(i, 1, nil)
		}
		time.Sleep(20 * time.Second)
		holder := f.node(f.runningNodes()[0].SoleHolder("jos"))
		other := f.runningNodes()[1-holder.number]
		c.Check(other.Take(t.Context(), "jos"), qt.IsNil)
		other.SendQuery = func(_ context.Context, _ string, q *Query) (*Reply, error) {
			time.Sleep(2 * maxTokenTTL)
			r := &Reply{Grants: make([]Grant, len(q.Requests))}
			for i := range q.Requests {
				r.Grants[i] = Grant{Count: q.Requests[i].Count, TTL: maxTokenTTL}
			}
			return r, nil
		}
		time.Sleep(2 * time.Second)
		err := other.Take(t.Context(), "jos")
		c.Assert(err, qt.IsNotNil)
		c.Check(coder.Of(err).Code, qt.Equals, coder.LimitUnavailable)
		f.close()
	})
}

// TestStaleHandoverIsRejected repeats a handover after the receiver has handed
// the shares over to another node.
func TestStaleHandoverIsRejected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, f := qt.New(t), newFleet(t, 1)
		for i := range 2 {
			f.start(i, 1, nil)
		}
		time.Sleep(3 * time.Second)
		a, b := f.runningNodes()[0], f.runningNodes()[1]
		var held []int
		for s := range assigner.ShareCount {
			if a.holdsShare(s) {
				held = append(held, s)
			}
		}
		first := a.detach(b.Self.Name, b.process(), held[:1])
		r, err := b.HandleHandover(t.Context(), a.Self.Name, first)
		c.Assert(err, qt.IsNil)
		c.Check(r.Accepted, qt.HasLen, 1)
		again, err := b.HandleHandover(t.Context(), a.Self.Name, first)
		c.Assert(err, qt.IsNil)
		c.Check(again.Accepted, qt.HasLen, 1)
		b.detach("elsewhere", "elsewhere#1", held[:1])
		_, err = b.HandleHandover(t.Context(), a.Self.Name, a.detach(b.Self.Name, b.process(), held[1:2]))
		c.Assert(err, qt.IsNil)
		_, err = b.HandleHandover(t.Context(), a.Self.Name, first)
		c.Check(err, qt.ErrorIs, errStaleHandover)
		c.Check(b.holdsShare(held[0]), qt.IsFalse)
		foreign := *first
		foreign.To, foreign.Sequence = "n1#0", 99
		_, err = b.HandleHandover(t.Context(), a.Self.Name, &foreign)
		c.Check(err, qt.ErrorIs, errWrongProcess)
		f.close()
	})
}

// TestUnrelatedChangeKeepsHandover changes the share assignment for another
// reason before the receiver of a handover can write that it has the shares.
// The sender must not use them again.
func TestUnrelatedChangeKeepsHandover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, f := qt.New(t), newFleet(t, 3)
		f.setLimit("hot", 40, 8)
		for i := range 3 {
			f.start(i, 1, nil)
		}
		time.Sleep(20 * time.Second)
		sender := f.node(f.runningNodes()[0].SoleHolder("hot"))
		for _, n := range f.runningNodes() {
			if n != sender {
				n.mu.Lock()
				n.storeReadOnly = true
				n.mu.Unlock()
			}
		}
		f.mu.Lock()
		sender.leaving = true
		f.mu.Unlock()
		sender.Leave(t.Context())
		f.setWide("other")
		stop := make(chan struct{})
		go f.overload("hot", stop)
		time.Sleep(20 * time.Second)
		close(stop)
		c.Check(excess(f.admitted("hot"), f.limits["hot"]) < 1e-6, qt.IsTrue, qt.Commentf("%.1f", excess(f.admitted("hot"), f.limits["hot"])))
		f.close()
	})
}

// TestSharesOfNewlyWideWorkspaceStartEmpty spends a whole burst and then makes
// the workspace wide. Its other shares were full when it was wide before.
func TestSharesOfNewlyWideWorkspaceStartEmpty(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, f := qt.New(t), newFleet(t, 3)
		f.setLimit("hot", 1, 100)
		f.setWide("hot")
		for i := range 4 {
			f.start(i, 1, nil)
		}
		time.Sleep(10 * time.Second)
		f.request(f.runningNodes()[0], "hot")
		for _, n := range f.runningNodes() {
			for k := range assigner.SharesPerShard {
				_, first := firstShare("hot")
				n.takeLocal(t.Context(), requestKey{workspace: "hot", share: first + k}) // creates an account in each share
			}
		}
		f.setWide("other")
		time.Sleep(150 * time.Second)
		stop := make(chan struct{})
		go f.overload("hot", stop)
		time.Sleep(3 * time.Second)
		f.setWide("hot")
		time.Sleep(20 * time.Second)
		close(stop)
		c.Check(excess(f.admitted("hot"), f.limits["hot"]) < 1e-6, qt.IsTrue, qt.Commentf("%.1f", excess(f.admitted("hot"), f.limits["hot"])))
		f.close()
	})
}

// TestStartedNodeGetsAssignmentFromPeer starts a node while no node can reach
// the store.
func TestStartedNodeGetsAssignmentFromPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, f := qt.New(t), newFleet(t, 1)
		f.setLimit("jos", 50, 100)
		for i := range 3 {
			f.start(i, 1, nil)
		}
		time.Sleep(20 * time.Second)
		storeDown(f)
		f.start(3, 1, func(l *Limiter) { l.Store.Get = f.node("n0").Store.Get })
		time.Sleep(5 * time.Second)
		f.request(f.node("n3"), "jos")
		c.Check(f.admitted("jos"), qt.HasLen, 1)
		f.close()
	})
}

// TestTokensAreReturnedOnce returns tokens to the wrong process, to the right
// one, and in a query that arrives twice.
func TestTokensAreReturnedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, f := qt.New(t), newFleet(t, 1)
		f.setLimit("jos", 0.001, 10)
		f.start(0, 1, nil)
		time.Sleep(5 * time.Second)
		n := f.runningNodes()[0]
		_, first := firstShare("jos")
		last, expiry := uint64(0), time.Duration(0)
		ask := func(to string, sequence uint64, count, returned uint16) int {
			if sequence != last {
				time.Sleep(time.Second)
			}
			last = sequence
			r, err := n.HandleQuery(t.Context(), "x", &Query{
				From: "x#1", Sequence: sequence, ReturnTo: to,
				Requests: []TokenRequest{{Workspace: "jos", Share: uint16(first), Count: count, Returned: returned, ReturnedExpiry: expiry}},
			})
			c.Assert(err, qt.IsNil)
			if len(r.Grants) == 0 {
				return -1
			}
			if returned == 0 && expiry == 0 {
				expiry = r.Grants[0].GrantedAt + r.Grants[0].TTL
			}
			return int(r.Grants[0].Count)
		}
		c.Check(ask("", 1, 10, 0), qt.Equals, 10)
		c.Check(ask("n0#before", 2, 5, 5), qt.Equals, 0)
		c.Check(ask(n.process(), 3, 5, 5), qt.Equals, 5)
		c.Check(ask(n.process(), 3, 5, 5), qt.Equals, 5) // duplicate, same reply
		c.Check(ask(n.process(), 4, 5, 0), qt.Equals, 0)
		c.Check(ask(n.process(), 3, 5, 5), qt.Equals, -1)
		f.close()
	})
}

// TestExpiredTokensReturnToTheirGranter lets tokens of two processes expire.
// Only those of the last process may be returned, only to it, and once.
func TestExpiredTokensReturnToTheirGranter(t *testing.T) {
	c, l := qt.New(t), &Limiter{}
	l.client.setup()
	expire := func() {
		l.expireToken("jos", 8, tokenSource{"n1#1", 5 * time.Second})
		l.expireToken("jos", 8, tokenSource{"n2#1", 9 * time.Second})
		l.expireToken("jos", 8, tokenSource{"n2#1", 7 * time.Second})
	}
	request := func(process string) TokenRequest {
		return l.tokenRequest(requestKey{workspace: "jos", share: 8}, &pendingRequests{}, process)
	}
	expire()
	c.Check(request("n1#1").Returned, qt.Equals, uint16(0))
	expire()
	r := request("n2#1")
	c.Check(r.Returned, qt.Equals, uint16(2))
	c.Check(r.ReturnedExpiry, qt.Equals, 7*time.Second)
	c.Check(request("n2#1").Returned, qt.Equals, uint16(0))
}

// TestQueryIsRelayed queries a holder through a peer while the direct path is
// cut.
func TestQueryIsRelayed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, f := qt.New(t), newFleet(t, 1)
		f.setLimit("jos", 50, 100)
		for i := range 4 {
			f.start(i, 1, nil)
		}
		time.Sleep(20 * time.Second)
		holder := f.node(f.runningNodes()[0].SoleHolder("jos"))
		other := f.runningNodes()[(holder.number+1)%4]
		f.mu.Lock()
		f.blocked[[2]string{holder.Self.Name, other.Self.Name}] = true
		f.mu.Unlock()
		for range 40 {
			f.request(other, "jos")
			time.Sleep(100 * time.Millisecond)
		}
		c.Check(f.refused["jos"], qt.Equals, 0)
		c.Check(len(f.admitted("jos")), qt.Equals, 40)
		f.close()
	})
}

// TestDriftMarginOutlastsFence compares the slowest clock of a holder with the
// fastest one of its successor.
func TestDriftMarginOutlastsFence(t *testing.T) {
	for _, drift := range []float64{DefaultClockDrift, testDrift} {
		l := &Limiter{ClockDrift: drift}
		stops := l.fence().Seconds() / (1 - drift)
		starts := l.addDriftMargin(l.fence()).Seconds() / (1 + drift)
		qt.Check(t, starts > stops, qt.IsTrue, qt.Commentf("%v: %v and %v", drift, starts, stops))
	}
}

// TestFreshProcessAcceptsNoShares hands a share over to a process that cannot
// know yet which workspaces became wide a moment ago.
func TestFreshProcessAcceptsNoShares(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, f := qt.New(t), newFleet(t, 1)
		f.start(0, 1, nil)
		time.Sleep(3 * time.Second)
		f.setWide("x") // later assignments than the first take effect after a delay
		time.Sleep(5 * time.Second)
		f.start(1, 1, nil)
		a, b := f.runningNodes()[0], f.runningNodes()[1]
		handOver := func(share int) int {
			m := a.detach(b.Self.Name, b.process(), []int{share})
			r, err := b.HandleHandover(t.Context(), a.Self.Name, m)
			c.Assert(err, qt.IsNil)
			a.restoreRejected(m, r)
			return len(r.Accepted)
		}
		time.Sleep(3 * time.Second)
		c.Check(handOver(8), qt.Equals, 0)
		c.Check(a.holdsShare(8), qt.IsTrue)
		time.Sleep(4 * time.Second)
		c.Check(handOver(8), qt.Equals, 1)
		c.Check(a.holdsShare(8), qt.IsFalse)
		f.close()
	})
}
