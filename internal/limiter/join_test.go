package limiter

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestJoiningSparesTheStore lets many nodes join one that has all shares.
func TestJoiningSparesTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, f := qt.New(t), newFleet(t, 1)
		f.set("jos", 50, 100)
		f.start(0, 1, nil)
		time.Sleep(10 * time.Second)
		for i := range 39 {
			f.start(i+1, 1, nil)
		}
		before := f.store.Counts().Writes
		for range 120 {
			time.Sleep(time.Second)
			f.call(f.all()[7], "jos")
		}
		writes := f.store.Counts().Writes - before
		t.Logf("%d writes", writes)
		c.Check(f.refused["jos"], qt.Equals, 0)
		c.Check(writes < 4*40, qt.IsTrue)
		f.close()
	})
}

// TestGiverAsksWhereItsSharesWent has a node join while the store takes no
// writes, so that the record cannot name it: requests at the nodes that handed
// it shares must be admitted as those elsewhere.
func TestGiverAsksWhereItsSharesWent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, f := qt.New(t), newFleet(t, 2)
		var names []string
		for i := range 30 {
			names = append(names, fmt.Sprint("w", i))
			f.set(names[i], 10, 20)
		}
		for i := range 3 {
			f.start(i, 1, nil)
		}
		time.Sleep(30 * time.Second)
		f.start(3, 1, nil)
		for _, n := range f.all() {
			n.mu.Lock()
			n.nowrite = true
			n.mu.Unlock()
		}
		time.Sleep(30 * time.Second)
		for _, n := range f.all() {
			for _, w := range names {
				f.call(n, w)
			}
		}
		c.Check(f.refused, qt.HasLen, 0)
		c.Check(f.all()[3].holds(), qt.IsTrue, qt.Commentf("nothing was handed over"))
		f.close()
	})
}
