package softlimiter

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

var takeoverFaults = []string{
	"kill", "kill granting", "replace third", "cut one way", "cut one way", "cut granting from some", "cut granting from all", "restart all", "heal", "wait", "wait", "wait long",
}

// Guards against excess grants where nodes take over from each other: whichever
// nodes are killed, replaced or cut off in one direction, and whenever all restart.
func TestTakeoverStaysNearRateAndBurst(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		seed := rapid.Uint64().Draw(r, "seed")
		rate, burst := rapid.SampledFrom([]float64{5, 30, 120}).Draw(r, "rate"), rapid.SampledFrom([]int{10, 60, 200}).Draw(r, "burst")
		callers := rapid.SampledFrom([]int{1, 3, testNodes}).Draw(r, "callers")
		// Each fault may cost some of the excess, so that there are not many at once.
		faults := rapid.SliceOfN(rapid.SampledFrom(takeoverFaults), 2, 6).Draw(r, "faults")
		synctest.Test(t, func(t *testing.T) {
			w := newNetwork(t.Context(), seed, testNodes, rate, burst)
			w.locked(func() { w.callers = w.rand.Perm(testNodes)[:callers] })
			time.Sleep(2 * networkSuspicion)
			w.load(2 * time.Second)
			for _, fault := range faults {
				w.inject(fault)
				w.load(time.Duration(100+w.draw(1500)) * time.Millisecond)
			}
			w.load(2 * time.Second)
			most := mostIn(testWindow, w.end())
			allowed := (rate*testWindow.Seconds()+float64(burst))*(1+testMaxExcessFraction) + testExtraRequests
			if float64(most) > allowed {
				r.Errorf("%d grants in %v, allowed %.0f", most, testWindow, allowed)
			}
		})
	})
}

// inject injects a fault, or waits under load.
func (w *network) inject(fault string) {
	some := time.Duration(20+w.draw(4000)) * time.Millisecond
	switch fault {
	case "kill":
		w.replace(w.draw(testNodes), some)
	case "kill granting":
		w.replace(w.granting(), some)
	case "replace third":
		for _, i := range w.third() {
			w.replace(i, time.Duration(20+w.draw(4000))*time.Millisecond)
		}
	case "restart all":
		for i := range w.nodes {
			w.replace(i, time.Duration(20+w.draw(500))*time.Millisecond)
		}
	case "cut one way":
		w.cut(w.draw(testNodes), w.draw(testNodes), w.draw(2) == 0)
	case "cut granting from some":
		w.cut(w.granting(), 1+w.draw(testNodes-1), w.draw(2) == 0)
	case "cut granting from all":
		w.cut(w.granting(), testNodes, w.draw(2) == 0)
	case "heal":
		w.locked(func() {
			for i := range w.lost {
				clear(w.lost[i])
			}
		})
	case "wait":
		time.Sleep(some / 4)
	case "wait long":
		w.load(6 * time.Second)
	}
}

// cut loses the messages of a node to some others, or the other way round.
func (w *network) cut(node, others int, to bool) {
	w.locked(func() {
		for _, k := range w.rand.Perm(testNodes)[:others] {
			if to {
				w.lost[node][k] = node != k
			} else {
				w.lost[k][node] = node != k
			}
		}
	})
}

// Guards against a shortfall while nodes are replaced: requests that wait for
// silent nodes, and nodes that take over without the rate.
func TestReplacedNodesCostNoRate(t *testing.T) {
	for seed := range uint64(20) {
		checkRate(t, seed, 4*time.Second, func(w *network) {
			for _, i := range w.third() {
				w.replace(i, time.Duration(200+w.draw(2300))*time.Millisecond) // before they are off the member list
			}
		})
	}
}

// Guards against a shortfall at a node that does not reach the granting node while
// others do.
func TestUnreachedGrantingNodeCostsNoRate(t *testing.T) {
	for seed := range uint64(5) {
		checkRate(t, seed, 4*time.Second, func(w *network) {
			g := w.granting()
			w.callers = []int{(g + 1 + int(seed)) % testNodes}
			w.locked(func() { w.lost[w.callers[0]][g] = true })
		})
	}
}

// checkRate checks that a workspace that sends four times its rate gets nine
// tenths of it in any 2 s after a disturbance, and not more than is allowed.
func checkRate(t *testing.T, seed uint64, length time.Duration, disturb func(w *network)) {
	synctest.Test(t, func(t *testing.T) {
		w := newNetwork(t.Context(), seed, testNodes, testRate, testBurst)
		time.Sleep(2 * networkSuspicion)
		w.load(3 * time.Second)
		from := time.Now()
		disturb(w)
		w.load(length)
		to := time.Now()
		granted := w.end()
		fewest, most := fewestIn(2*time.Second, granted, from, to), mostIn(testWindow, granted)
		t.Logf("seed %d: %d grants or more in 2 s, at most %d in %v", seed, fewest, most, testWindow)
		qt.Check(t, fewest >= 0.9*2*testRate, qt.IsTrue)
		qt.Check(t, float64(most) <= (testRate*testWindow.Seconds()+testBurst)*(1+testMaxExcessFraction)+testExtraRequests, qt.IsTrue)
	})
}
