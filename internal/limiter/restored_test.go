package limiter

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against two processes that grant the same share, and against shares that
// nobody grants, after the store was restored from a copy that has an earlier share
// assignment. Processes start and end meanwhile.
func TestRestoredStoreMovesNoShares(t *testing.T) {
	for _, variant := range []string{"once", "again", "others cut off"} {
		t.Run(variant, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { checkRestoredStore(t, variant) })
		})
	}
}

// restoreStore restores the store, and tells the nodes the era as heartbeats do.
func (f *fleet) restoreStore(copied time.Time) {
	f.store.Restore(copied)
	client := f.store.Client()
	_, _ = client.Get(f.t.Context(), "any") // the reply tells the era
	for _, n := range f.runningNodes() {
		n.NoteEra(client.Eras.Current())
	}
}

func checkRestoredStore(t *testing.T, variant string) {
	c, f := qt.New(t), newFleet(t, 1)
	f.detectAfter = 3 * time.Second
	limits := map[string]rateLimit{}
	for i := range 8 {
		name := fmt.Sprint("w", i)
		limits[name] = rateLimit{20, 10}
		f.setLimit(name, 20, 10)
	}
	for i := range 4 {
		f.start(i, 1, nil)
	}
	time.Sleep(5 * time.Second)
	stop := time.Now().Add(100 * time.Second)
	for name := range limits {
		go func() {
			for i := 0; time.Now().Before(stop); i++ {
				nodes := f.runningNodes()
				go f.request(nodes[i%len(nodes)], name)
				time.Sleep(25 * time.Millisecond)
			}
		}()
	}
	time.Sleep(10 * time.Second)
	copied := time.Now()
	time.Sleep(time.Second)
	f.node("n1").kill() // its shares move
	time.Sleep(12 * time.Second)
	before := f.storedNumber()
	f.restoreStore(copied)
	if variant == "others cut off" {
		for _, n := range f.runningNodes() {
			n.mu.Lock()
			n.noStore = true // but it hears of stamps from others
			n.mu.Unlock()
		}
	}
	f.start(4, 1, nil)
	if variant == "again" {
		time.Sleep(4 * time.Second)
		f.restoreStore(copied)
		f.node("n2").kill()
		f.start(2, 1, nil)
	}
	time.Sleep(40 * time.Second)
	c.Check(f.storedNumber() > before, qt.IsTrue, qt.Commentf("the fleet wrote no assignment above %d", before))
	recent := map[string]int{}
	from := time.Now().Add(-20 * time.Second)
	time.Sleep(time.Until(stop) + 10*time.Second)
	for name, limit := range limits {
		admitted := f.admitted(name)
		c.Check(excess(admitted, limit) < 1e-6, qt.IsTrue, qt.Commentf("%s exceeds its limit by %.1f", name, excess(admitted, limit)))
		for _, at := range admitted {
			if at.After(from) && at.Before(from.Add(20*time.Second)) {
				recent[name]++
			}
		}
		c.Check(recent[name] > 300, qt.IsTrue, qt.Commentf("%s: %d of 400 requests admitted in 20 s", name, recent[name]))
	}
	f.close()
}
