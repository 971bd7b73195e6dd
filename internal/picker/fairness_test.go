package picker_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// eightWorkspaces returns the workloads of two large workspaces and six small ones,
// which together use under half of the slots of targets with 7 each. Weights are
// proportional to rates, and rates to the number of targets.
func eightWorkspaces(targets int, end time.Duration) []workload {
	var workloads []workload
	for i := range 8 {
		w := workload{name: fmt.Sprint("w", i), rate: 3, weight: 1, start: rampEnd, end: end}
		if i < 2 {
			w.rate, w.weight = 12, 4
		}
		w.rate *= float64(targets)
		workloads = append(workloads, w)
	}
	return workloads
}

// rampEnd is when all targets have ramped up to their slots.
const rampEnd = 2 * time.Second

// overloadCase is one way for a workspace to crowd out others.
type overloadCase struct {
	name string
	// offender is the index of the workload that overload changes.
	offender int
	overload func(w *workload)
}

var overloadCases = []overloadCase{
	{"8 times its rate", 0, func(w *workload) { w.rate *= 8 }},
	{"small, 8 times its rate", 7, func(w *workload) { w.rate *= 8 }},
	{"20 times the service time, within its rate", 7, func(w *workload) { w.serviceTimeFactor, w.deadline = 20, 5*time.Second }},
	{"deferrable calls, 8 times the rate", 0, func(w *workload) { w.rate, w.deferrable, w.deadline = w.rate*8, true, 10*time.Second }},
}

func (c overloadCase) run(t *testing.T, seed uint64, overloaded, fcfs bool) (stats map[string]*callStats) {
	synctest.Test(t, func(*testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		targets, end := 10, 12*time.Second
		if *seeds > 0 {
			targets, end = 20, 30*time.Second
		}
		r := newRig(ctx, seed, targets, 7, 0.7)
		r.fcfs = fcfs
		workloads := eightWorkspaces(targets, end)
		if overloaded {
			c.overload(&workloads[c.offender])
		}
		ramp := workload{name: "ramp", rate: 20 * float64(targets), end: rampEnd}
		stats = r.run(append(workloads, ramp)...)
		cancel()
		time.Sleep(time.Second)
	})
	delete(stats, "ramp")
	return stats
}

// worstNeighbour returns the worst effect on the other workspaces, relative to a
// run without overload: the smallest ratio of their shares of good calls, and the
// largest ratio of their p99 latencies. Small workspaces are alike; a short run
// takes their p99 together.
func (c overloadCase) worstNeighbour(baseline, overloaded map[string]*callStats) (share, p99Ratio float64) {
	share = 1
	small, smallBaseline := &callStats{}, &callStats{}
	for i := range len(baseline) {
		name := fmt.Sprint("w", i)
		if i == c.offender {
			continue
		}
		share = min(share, overloaded[name].share()/baseline[name].share())
		if i >= 2 && *seeds == 0 {
			small.latencies = append(small.latencies, overloaded[name].latencies...)
			smallBaseline.latencies = append(smallBaseline.latencies, baseline[name].latencies...)
			continue
		}
		p99Ratio = max(p99Ratio, float64(overloaded[name].p99())/float64(baseline[name].p99()))
	}
	if *seeds == 0 {
		p99Ratio = max(p99Ratio, float64(small.p99())/float64(smallBaseline.p99()))
	}
	return share, p99Ratio
}

// TestMeasureFairness prints and checks the effect of an overload on the
// worst-served other workspace. With -seeds it also prints the effect with one
// first-come-first-served queue.
func TestMeasureFairness(t *testing.T) {
	for _, c := range overloadCases {
		for seed := range uint64(max(*seeds, 1)) {
			baseline := c.run(t, seed+1, false, false)
			overloaded := c.run(t, seed+1, true, false)
			share, p99Ratio := c.worstNeighbour(baseline, overloaded)
			qt.Check(t, share >= 0.95, qt.IsTrue, qt.Commentf("%s: %.3f", c.name, share))
			qt.Check(t, p99Ratio <= 1.5, qt.IsTrue, qt.Commentf("%s: %.2f", c.name, p99Ratio))
			offender := overloaded[fmt.Sprint("w", c.offender)]
			t.Logf("%s, seed %d: worst-served keeps %.1f%%, p99 %.2f times; offender: %d good of %d, %d failed",
				c.name, seed+1, 100*share, p99Ratio, offender.good, offender.sent, offender.failed)
			if *seeds > 0 {
				fcfs := c.run(t, seed+1, true, true)
				share, p99Ratio = c.worstNeighbour(baseline, fcfs)
				t.Logf("first come, first served: keeps %.1f%%, p99 %.2f times; offender: %d good",
					100*share, p99Ratio, fcfs[fmt.Sprint("w", c.offender)].good)
			}
		}
	}
}
