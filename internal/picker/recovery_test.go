package picker_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/zinniaproxy/zinniaproxy/internal/indexer"
	"github.com/zinniaproxy/zinniaproxy/internal/messenger"
	"github.com/zinniaproxy/zinniaproxy/internal/picker"
	"github.com/zinniaproxy/zinniaproxy/pkg/declarer"
)

// withRig runs f with a fleet of 20 targets of 6 slots, then stops the fleet.
func withRig(t *testing.T, f func(c *qt.C, r *rig)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		f(qt.New(t), newRig(ctx, 1, 20, 6, 0.7))
		cancel()
		time.Sleep(time.Second)
	})
}

// ejectionSeconds returns the duration of each ejection of the failing target.
func ejectionSeconds(r *rig) (durations []float64) {
	ejectedAt := 0.0
	for _, e := range r.events {
		var at float64
		var name, trust string
		_, _ = fmt.Sscan(e, &at, &name, &trust)
		switch trust {
		case messenger.Sick.String():
			ejectedAt = at
		case messenger.Recovering.String():
			durations = append(durations, at-ejectedAt)
		}
	}
	return durations
}

// A target that keeps failing is ejected for longer each time, up to a bound. A
// recovered one returns through a few trial calls.
func TestEjectedTargetReturnsThroughTrialCalls(t *testing.T) {
	withRig(t, func(c *qt.C, r *rig) {
		n := r.nodes[3]
		recovery := 300 * time.Second
		n.fault = func() fault { return fault{hang: time.Since(r.start) < recovery} }
		r.run(workload{name: "w", rate: 60, end: 460 * time.Second, deadline: time.Second})
		durations := ejectionSeconds(r)
		want := []float64{5, 10, 20, 40, 80, 120, 120}
		c.Assert(len(durations) >= 6 && len(durations) <= len(want), qt.IsTrue, qt.Commentf("%v", durations))
		for i := range durations {
			c.Check(durations[i] >= want[i]-0.2 && durations[i] <= want[i]+0.2, qt.IsTrue, qt.Commentf("%d: %v", i, durations[i]))
		}
		last := r.events[len(r.events)-1]
		c.Check(strings.HasSuffix(last, "sound"), qt.IsTrue, qt.Commentf("%v", r.events))
	})
}

// A target on a VM that receives nothing, though its heartbeats reach the fleet,
// is avoided by each entry node after its own lost calls, longer each time.
func TestMeasureNodeThatReceivesNothing(t *testing.T) {
	withRig(t, func(c *qt.C, r *rig) {
		n := r.nodes[3]
		avoided := map[int]time.Duration{}
		for i, e := range r.entryNodes {
			e.OnAvoid = func(string) {
				if avoided[i] == 0 {
					avoided[i] = time.Since(r.start) - faultOnset
				}
			}
		}
		n.fault = func() fault { return fault{receivesNothing: time.Since(r.start) >= faultOnset} }
		s := r.run(workload{name: "w", rate: 260, end: 60 * time.Second})["w"]
		slowest := time.Duration(0)
		for _, d := range avoided {
			slowest = max(slowest, d)
		}
		c.Check(r.events, qt.HasLen, 0) // no health verdict changes
		c.Check(len(avoided), qt.Equals, len(r.entryNodes))
		c.Check(s.failed <= 5*len(r.entryNodes), qt.IsTrue, qt.Commentf("%d lost", s.failed))
		t.Logf("VM that receives nothing: all 20 entry nodes avoid it within %v; %d of %d calls lost in 45 s", slowest, s.failed, s.sent)
	})
}

// A link that goes silent loses the calls in flight on it and changes no health
// verdict.
func TestMeasureSilentLink(t *testing.T) {
	withRig(t, func(c *qt.C, r *rig) {
		r.linkSilent = func(entryNode int, n *node) bool {
			since := time.Since(r.start) - faultOnset
			return entryNode == 0 && n == r.nodes[3] && since >= 0 && since < silentLinkTimeout
		}
		s := r.run(workload{name: "w", rate: 260, end: 30 * time.Second})["w"]
		c.Check(r.events, qt.HasLen, 0)
		c.Check(s.failed <= 5, qt.IsTrue, qt.Commentf("%d lost", s.failed))
		t.Logf("silent link: %d of %d calls lost until it was replaced", s.failed, s.sent)
	})
}

// Targets ramp up from the cold limit to their slots and never run more calls than
// that. A target that turns cold without an announcement is soon back at its cold
// limit.
func TestMeasureCold(t *testing.T) {
	withRig(t, func(c *qt.C, r *rig) {
		n := r.nodes[3]
		var mu sync.Mutex
		var rampedAfter, noticedAfter time.Duration
		n.fault = func() fault {
			mu.Lock()
			defer mu.Unlock()
			since := time.Since(r.start)
			if n.ramp.Limit() == 6 && rampedAfter == 0 {
				rampedAfter = since
			}
			if since < faultOnset || since > 2*faultOnset {
				return fault{}
			}
			if n.ramp.Limit() <= 2 && noticedAfter == 0 {
				noticedAfter = since - faultOnset
			}
			return fault{cold: true, latencyFactor: 3}
		}
		s := r.run(workload{name: "w", rate: 900, end: 45 * time.Second})["w"]
		c.Check(noticedAfter > 0 && noticedAfter < 2*time.Second, qt.IsTrue, qt.Commentf("%v", noticedAfter))
		c.Check(n.maxInFlight <= 6, qt.IsTrue)
		c.Check(n.ramp.Limit(), qt.Equals, 6)
		t.Logf("cold: ramp to 6 slots at 45 calls a second in %v; turned cold: limit 2 after %v, %d calls beyond 2 in 15 s; good %.2f%%",
			rampedAfter, noticedAfter, n.overLimitStarts, 100*s.share())
	})
}

// Targets announced as cold never have more calls in flight than the cold limit,
// from all entry nodes together, however many calls come.
func TestColdLimitHoldsOverAllEntryNodes(t *testing.T) {
	withRig(t, func(c *qt.C, r *rig) {
		for _, n := range r.nodes {
			n.ramp.Announce(messenger.Cold, 6, 2)
			n.fault = func() fault { return fault{cold: true} }
		}
		r.run(workload{name: "w", rate: 2000, end: 3 * time.Second})
		for _, n := range r.nodes {
			c.Check(n.maxInFlight, qt.Equals, 2)
		}
	})
}

// chosenShare returns the fraction of 1000 picks, one each millisecond, that choose
// the named target while all targets report inFlight calls.
func chosenShare(c *qt.C, p *picker.Picker, name string, inFlight int) float64 {
	return chosenShareAtLoads(c, p, name, func(string) int { return inFlight })
}

// chosenShareAtLoads is chosenShare while each target reports its own number of
// calls in flight.
func chosenShareAtLoads(c *qt.C, p *picker.Picker, name string, inFlight func(target string) int) float64 {
	n := 0
	for range 1000 {
		chosen, done, err := p.Pick("s", nil)
		c.Assert(err, qt.IsNil)
		if chosen.Name == name {
			n++
		}
		done(picker.Outcome{Answered: true, Head: messenger.ResponseHead{InFlight: inFlight(chosen.Name), Limit: 6}})
		time.Sleep(time.Millisecond)
	}
	return float64(n) / 1000
}

// A recovering target gets a tenth of its share, unless its capacity is needed to
// hold the floor.
func TestRecoveringTargetsGetTenthOfShare(t *testing.T) {
	withRig(t, func(c *qt.C, r *rig) {
		a, b := r.nodes[0].target, r.nodes[1].target
		a.Limit, b.Limit, b.Trust = 6, 6, messenger.Recovering
		p := r.entryNodes[0]
		p.Targets = func(string) []messenger.Target { return []messenger.Target{a, b} }
		c.Check(chosenShare(c, p, b.Name, 0) > 0.4, qt.IsTrue) // the floor is 0.7
		r.index = indexer.New(2, r.index.Fleet().WithService(declarer.Service{Name: "s", Slots: 6, Cold: 2, Floor: 0.5}))
		time.Sleep(time.Second)
		got := chosenShare(c, p, b.Name, 0)
		c.Check(got > 0 && got < 0.2, qt.IsTrue, qt.Commentf("%v", got))
	})
}

// Pick prefers the own data centre, spills over to less busy ones when that is full,
// and avoids tried and draining targets.
func TestPickPrefersOwnCentreAndSpillsOver(t *testing.T) {
	withRig(t, func(c *qt.C, r *rig) {
		near, far := r.nodes[0].target, r.nodes[1].target
		far.Centre = "b"
		draining := messenger.Target{Name: "x", Service: "s", Centre: "c", Slots: 6, State: messenger.Draining}
		p := r.entryNodes[0]
		p.Targets = func(string) []messenger.Target { return []messenger.Target{near, far, draining} }
		c.Check(chosenShare(c, p, far.Name, 1) < 0.1, qt.IsTrue)
		c.Check(chosenShare(c, p, far.Name, 6) > 0.3, qt.IsTrue)
		p.CompareCentres = true
		time.Sleep(time.Minute)                                  // forgets the loads
		c.Check(chosenShare(c, p, far.Name, 6) < 0.1, qt.IsTrue) // both are full
		nearFull := func(target string) int {
			if target == near.Name {
				return 6
			}
			return 3
		}
		c.Check(chosenShareAtLoads(c, p, far.Name, nearFull) > 0.3, qt.IsTrue)
		for range 50 {
			chosen, done, err := p.Pick("s", []string{near.Name})
			c.Assert(err, qt.IsNil)
			c.Check(chosen.Name, qt.Equals, far.Name)
			done(picker.Outcome{})
		}
		_, _, err := p.Pick("s", []string{near.Name, far.Name})
		c.Check(err, qt.ErrorMatches, "300 no-target.*")
	})
}

// A data centre that is out gets no calls, whatever the floor. A returning one
// starts with a tenth of its share and has all of it after 20 s.
func TestReturningCentreRampsUp(t *testing.T) {
	withRig(t, func(c *qt.C, r *rig) {
		a, b := r.nodes[0].target, r.nodes[1].target
		b.Centre = "b"
		p := r.entryNodes[0]
		p.Centre = "elsewhere"
		p.Targets = func(string) []messenger.Target { return []messenger.Target{a, b} }
		fleet := r.index.Fleet().WithCentre(declarer.Centre{Name: "b"})
		setOut := func(number uint64, out bool) { r.index = indexer.New(number, fleet.WithCentreOut("b", out)) }
		shareOfB := func() float64 { return chosenShare(c, p, b.Name, 0) }
		setOut(2, true)
		shareOfB()
		c.Check(shareOfB(), qt.Equals, 0.0)
		setOut(3, false)
		first := shareOfB()
		c.Check(first > 0 && first < 0.2, qt.IsTrue, qt.Commentf("%v", first))
		time.Sleep(20 * time.Second)
		c.Check(shareOfB() > 0.4, qt.IsTrue)
	})
}
