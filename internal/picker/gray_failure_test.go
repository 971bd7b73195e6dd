package picker_test

import (
	"context"
	"flag"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

var seeds = flag.Int("seeds", 0, "number of seeds to measure in full; 0 for a short run of one")

// faultOnset is when faults begin, from the start of a run.
const faultOnset = 15 * time.Second

// grayFailure is one kind of partial failure of targets.
type grayFailure struct {
	name string
	// fault returns the fault of the failing targets at a time since faultOnset.
	fault func(since time.Duration) fault
	// all tells that all targets fail, so that none may be ejected.
	all bool
	// maxDetectionTime bounds the time until the failing target is ejected, 0 if
	// none may be. A hanging one must be ejected before the first deadline, 2 s.
	maxDetectionTime time.Duration
	loadSwings       bool
	// rate is the number of calls a second; 0 stands for 260, 13 per target.
	rate float64
}

func constantFault(f fault) func(time.Duration) fault {
	return func(time.Duration) fault { return f }
}

// flapping fails calls for the first five seconds of every ten.
func flapping(elapsed time.Duration) fault {
	if elapsed%(10*time.Second) < 5*time.Second {
		return fault{failShare: 0.8}
	}
	return fault{}
}

var grayFailures = []grayFailure{
	{name: "slow 5 times", fault: constantFault(fault{latencyFactor: 5}), maxDetectionTime: 5 * time.Second},
	{name: "slow 5 times, 4 calls a second", fault: constantFault(fault{latencyFactor: 5}), maxDetectionTime: 15 * time.Second, rate: 80},
	{name: "30% errors, 4 calls a second", fault: constantFault(fault{failShare: 0.3}), maxDetectionTime: 15 * time.Second, rate: 80},
	{name: "30% errors", fault: constantFault(fault{failShare: 0.3}), maxDetectionTime: 5 * time.Second},
	{name: "half of responses truncated", fault: constantFault(fault{truncateShare: 0.5}), maxDetectionTime: 5 * time.Second},
	{name: "hang", fault: constantFault(fault{hang: true}), maxDetectionTime: 2 * time.Second},
	{name: "flapping", fault: flapping, maxDetectionTime: 5 * time.Second},
	{name: "healthy", fault: constantFault(fault{})},
	{name: "healthy, load swings 5 times", fault: constantFault(fault{}), loadSwings: true},
	{name: "all slow 5 times", fault: constantFault(fault{latencyFactor: 5}), all: true},
	{name: "all 30% errors", fault: constantFault(fault{failShare: 0.3}), all: true},
}

// result holds the measurements of one run.
type result struct {
	detectionTime                        time.Duration // 0 if never
	falseEjections                       int           // ejections of healthy targets
	ejections                            int
	goodShare, p99Millis                 float64 // fraction, milliseconds
	baselineGoodShare, baselineP99Millis float64 // the same, by round robin without ejection
}

func (g grayFailure) run(t *testing.T, seed uint64, roundRobin bool) (rs result) {
	synctest.Test(t, func(*testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		r := newRig(ctx, seed, 20, 7, 0.7)
		r.roundRobin = roundRobin
		for i, n := range r.nodes {
			if i == 3 || g.all {
				n.fault = func() fault {
					if since := time.Since(r.start) - faultOnset; since >= 0 {
						return g.fault(since)
					}
					return fault{}
				}
			}
		}
		end := 25 * time.Second
		if *seeds > 0 {
			end = 45 * time.Second
		}
		rate := 260.0
		if g.rate > 0 {
			rate, end = g.rate, end+10*time.Second
		}
		workloads := []workload{{name: "w", rate: rate, end: end}}
		for i := 1; g.loadSwings && i < 3; i++ {
			start := time.Duration(i) * 10 * time.Second
			workloads = append(workloads, workload{name: fmt.Sprint(i), rate: 1040, start: start, end: start + 5*time.Second})
		}
		s := r.run(workloads...)["w"]
		rs.goodShare, rs.p99Millis = s.share(), float64(s.p99().Milliseconds())
		rs.countEjections(r, g)
		cancel()
		time.Sleep(time.Second)
	})
	return rs
}

// countEjections counts the ejections among the rig's events, and sets the time
// until the first one of the failing target.
func (rs *result) countEjections(r *rig, g grayFailure) {
	for _, e := range r.events {
		var at float64
		var name, trust string
		if _, err := fmt.Sscan(e, &at, &name, &trust); err != nil || trust != "sick" {
			continue
		}
		if name != "s@3" || at < faultOnset.Seconds() || g.all {
			rs.falseEjections++
			continue
		}
		if rs.ejections++; rs.detectionTime == 0 {
			rs.detectionTime = time.Duration(at*1000)*time.Millisecond - faultOnset
		}
	}
}

// TestMeasureGray prints a row for each gray failure and checks that it is
// detected in time and that no healthy target is ejected.
func TestMeasureGray(t *testing.T) {
	for _, g := range grayFailures {
		t.Run(strings.ReplaceAll(g.name, " ", "-"), func(t *testing.T) {
			var slowest, sum time.Duration
			var rs result
			runs := max(*seeds, 1)
			for seed := range uint64(runs) {
				rs = g.run(t, seed+1, false)
				if *seeds > 0 {
					baseline := g.run(t, seed+1, true)
					rs.baselineGoodShare, rs.baselineP99Millis = baseline.goodShare, baseline.p99Millis
				}
				slowest, sum = max(slowest, rs.detectionTime), sum+rs.detectionTime
				qt.Check(t, rs.falseEjections, qt.Equals, 0, qt.Commentf("seed %d", seed+1))
				qt.Check(t, rs.detectionTime <= g.maxDetectionTime, qt.IsTrue, qt.Commentf("%v", rs.detectionTime))
				qt.Check(t, rs.detectionTime > 0, qt.Equals, g.maxDetectionTime > 0)
			}
			t.Logf("%s: detected in %v on average, %v at most; good %.2f%% p99 %.0f ms; baseline (with -seeds) good %.2f%% p99 %.0f ms",
				g.name, sum/time.Duration(runs), slowest, 100*rs.goodShare, rs.p99Millis, 100*rs.baselineGoodShare, rs.baselineP99Millis)
		})
	}
}
