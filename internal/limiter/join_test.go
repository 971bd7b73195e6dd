package limiter

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestJoiningBoundsStoreWrites lets many nodes join one that has all shares,
// and bounds the number of writes to the store.
func TestJoiningBoundsStoreWrites(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, f := qt.New(t), newFleet(t, 1)
		f.setLimit("jos", 50, 100)
		f.start(0, 1, nil)
		time.Sleep(10 * time.Second)
		for i := range 39 {
			f.start(i+1, 1, nil)
		}
		before := f.store.Counts().Writes
		for range 120 {
			time.Sleep(time.Second)
			f.request(f.runningNodes()[7], "jos")
		}
		writes := f.store.Counts().Writes - before
		t.Logf("%d writes", writes)
		c.Check(f.refused["jos"], qt.Equals, 0)
		c.Check(writes < 4*40, qt.IsTrue)
		f.close()
	})
}

// TestGiverAsksWhereItsSharesWent has a node join while the store accepts no
// writes, so that the share assignment cannot name it. The nodes that handed
// shares over to it must still admit requests, by asking it.
func TestGiverAsksWhereItsSharesWent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, f := qt.New(t), newFleet(t, 2)
		var names []string
		for i := range 30 {
			names = append(names, fmt.Sprint("w", i))
			f.setLimit(names[i], 10, 20)
		}
		for i := range 3 {
			f.start(i, 1, nil)
		}
		time.Sleep(30 * time.Second)
		f.start(3, 1, nil)
		for _, n := range f.runningNodes() {
			n.mu.Lock()
			n.storeReadOnly = true
			n.mu.Unlock()
		}
		time.Sleep(30 * time.Second)
		for _, n := range f.runningNodes() {
			for _, w := range names {
				f.request(n, w)
			}
		}
		c.Check(f.refused, qt.HasLen, 0)
		c.Check(f.runningNodes()[3].holdsShares(), qt.IsTrue, qt.Commentf("nothing was handed over"))
		f.close()
	})
}
