package limiter

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestIdleStateIsNotDroppedUnderLoweredLimit spends the burst, lowers the limit
// until the workspace is full by it, and raises it again. It runs with and
// without a handover of the share in between.
func TestIdleStateIsNotDroppedUnderLoweredLimit(t *testing.T) {
	for _, handed := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			c, f := qt.New(t), newFleet(t, 1)
			f.setLimit("jos", 1, 30)
			for i := range 2 {
				f.start(i, 1, nil)
			}
			time.Sleep(time.Minute)
			n := f.node(f.runningNodes()[0].SoleHolder("jos"))
			f.sendRequests(n, 30)
			f.setLimit("jos", 1, 2)
			f.sendRequests(n, 1)
			if handed {
				n = f.leaveAndKill(n)
				f.sendRequests(n, 1)
			}
			time.Sleep(5 * time.Second)
			f.setLimit("jos", 1, 30)
			f.sendRequests(n, 30)
			admitted := f.admitted("jos")
			c.Check(len(admitted) > 30, qt.IsTrue)
			over := excess(admitted, rateLimit{1, 30})
			c.Check(over < 1e-6, qt.IsTrue, qt.Commentf("handed %v: %.1f too many", handed, over))
			time.Sleep(time.Minute)
			c.Check(n.accountCount("jos"), qt.Equals, 0)
			f.close()
		})
	}
}

// sendRequests sends count requests of one workspace.
func (f *fleet) sendRequests(n *node, count int) {
	for range count {
		f.request(n, "jos")
	}
}

// leaveAndKill makes one of two nodes leave, and returns the other.
func (f *fleet) leaveAndKill(n *node) *node {
	f.mu.Lock()
	n.leaving = true
	f.mu.Unlock()
	n.Leave(f.t.Context())
	n.kill()
	return f.runningNodes()[0]
}

// accountCount returns how many accounts the node keeps in a workspace's first
// share.
func (n *node) accountCount(workspace string) int {
	_, first := firstShare(workspace)
	n.holder.mu.RLock()
	defer n.holder.mu.RUnlock()
	s := n.holder.held[first]
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.accounts)
}
