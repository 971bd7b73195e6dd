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

// inRig runs f with a fleet of 20 targets of 6 slots and waits until it rests.
func inRig(t *testing.T, f func(c *qt.C, r *rig)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		f(qt.New(t), newRig(ctx, 1, 20, 6, 0.7))
		cancel()
		time.Sleep(time.Second)
	})
}

// holds returns how long the rig's target was out each time, in seconds.
func holds(r *rig) (out []float64) {
	from := 0.0
	for _, e := range r.events {
		var at float64
		var name, trust string
		_, _ = fmt.Sscan(e, &at, &name, &trust)
		switch trust {
		case messenger.Sick.String():
			from = at
		case messenger.Recovering.String():
			out = append(out, at-from)
		}
	}
	return out
}

// A target that stays sick is out longer each time, bounded, and one that is
// well again comes back, through a trickle of trials.
func TestReturnByTrickle(t *testing.T) {
	inRig(t, func(c *qt.C, r *rig) {
		n := r.nodes[3]
		well := 300 * time.Second
		n.fault = func() fault { return fault{hang: time.Since(r.start) < well} }
		r.run(work{name: "w", rate: 60, to: 460 * time.Second, deadline: time.Second})
		out := holds(r)
		want := []float64{5, 10, 20, 40, 80, 120, 120}
		c.Assert(len(out) >= 6 && len(out) <= len(want), qt.IsTrue, qt.Commentf("%v", out))
		for i := range out {
			c.Check(out[i] >= want[i]-0.2 && out[i] <= want[i]+0.2, qt.IsTrue, qt.Commentf("%d: %v", i, out[i]))
		}
		last := r.events[len(r.events)-1]
		c.Check(strings.HasSuffix(last, "sound"), qt.IsTrue, qt.Commentf("%v", r.events))
	})
}

// A target of a VM that hears nothing, though the fleet hears it, is avoided
// by the entries' own judgement, for longer each time.
func TestMeasureDeafNode(t *testing.T) {
	inRig(t, func(c *qt.C, r *rig) {
		n := r.nodes[3]
		avoided := map[int]time.Duration{}
		for i, e := range r.entries {
			e.Avoid = func(string) {
				if avoided[i] == 0 {
					avoided[i] = time.Since(r.start) - onset
				}
			}
		}
		n.fault = func() fault { return fault{deaf: time.Since(r.start) >= onset} }
		s := r.run(work{name: "w", rate: 260, to: 60 * time.Second})["w"]
		worst := time.Duration(0)
		for _, d := range avoided {
			worst = max(worst, d)
		}
		c.Check(r.events, qt.HasLen, 0) // no target is judged by it
		c.Check(len(avoided), qt.Equals, len(r.entries))
		c.Check(s.bad <= 5*len(r.entries), qt.IsTrue, qt.Commentf("%d lost", s.bad))
		t.Logf("deaf VM: all 20 entries avoid it within %v; %d of %d calls lost in 45 s", worst, s.bad, s.sent)
	})
}

// One silent link costs the calls that are on it and makes nobody sick.
func TestMeasureSilentLink(t *testing.T) {
	inRig(t, func(c *qt.C, r *rig) {
		r.silent = func(entry int, n *node) bool {
			since := time.Since(r.start) - onset
			return entry == 0 && n == r.nodes[3] && since >= 0 && since < silence
		}
		s := r.run(work{name: "w", rate: 260, to: 30 * time.Second})["w"]
		c.Check(r.events, qt.HasLen, 0)
		c.Check(s.bad <= 5, qt.IsTrue, qt.Commentf("%d lost", s.bad))
		t.Logf("silent link: %d of %d calls lost until it was replaced", s.bad, s.sent)
	})
}

// Fleets start at the cold limit, ramp up, and a target that turns cold without
// a word is back at its cold limit soon. No start is beyond the slots.
func TestMeasureCold(t *testing.T) {
	inRig(t, func(c *qt.C, r *rig) {
		n := r.nodes[3]
		var mu sync.Mutex
		var ramped, noticed time.Duration
		n.fault = func() fault {
			mu.Lock()
			defer mu.Unlock()
			since := time.Since(r.start)
			if n.ramp.Limit() == 6 && ramped == 0 {
				ramped = since
			}
			if since < onset || since > 2*onset {
				return fault{}
			}
			if n.ramp.Limit() <= 2 && noticed == 0 {
				noticed = since - onset
			}
			return fault{cold: true, slow: 3}
		}
		s := r.run(work{name: "w", rate: 900, to: 45 * time.Second})["w"]
		c.Check(noticed > 0 && noticed < 2*time.Second, qt.IsTrue, qt.Commentf("%v", noticed))
		c.Check(n.most <= 6, qt.IsTrue)
		c.Check(n.ramp.Limit(), qt.Equals, 6)
		t.Logf("cold: ramp to 6 slots at 45 calls a second in %v; turned cold: limit 2 after %v, %d starts beyond 2 in 15 s; good %.2f%%",
			ramped, noticed, n.over, 100*s.share())
	})
}

// Announced cold targets never have more in flight than the cold limit, over
// all entries together, however many calls come.
func TestColdLimitHoldsOverAllEntries(t *testing.T) {
	inRig(t, func(c *qt.C, r *rig) {
		for _, n := range r.nodes {
			n.ramp.Announce(messenger.Cold, 6, 2)
			n.fault = func() fault { return fault{cold: true} }
		}
		r.run(work{name: "w", rate: 2000, to: 3 * time.Second})
		for _, n := range r.nodes {
			c.Check(n.most, qt.Equals, 2)
		}
	})
}

// share returns the part of a second's choices that fall on a target, when all
// report a number of calls in flight.
func share(c *qt.C, p *picker.Picker, name string, flying int) float64 {
	n := 0
	for range 1000 {
		chosen, done, err := p.Pick("s", nil)
		c.Assert(err, qt.IsNil)
		if chosen.Name == name {
			n++
		}
		done(picker.Outcome{Heard: true, Head: messenger.Head{Flying: flying, Limit: 6}})
		time.Sleep(time.Millisecond)
	}
	return float64(n) / 1000
}

// A recovering target gets a tenth of its share, unless the floor needs it.
func TestRecoveringTargetsGetATrickle(t *testing.T) {
	inRig(t, func(c *qt.C, r *rig) {
		a, b := r.nodes[0].target, r.nodes[1].target
		a.Limit, b.Limit, b.Trust = 6, 6, messenger.Recovering
		p := r.entries[0]
		p.Targets = func(string) []messenger.Target { return []messenger.Target{a, b} }
		c.Check(share(c, p, b.Name, 0) > 0.4, qt.IsTrue) // the floor is 0.7
		r.index = indexer.New(2, r.index.Fleet().WithService(declarer.Service{Name: "s", Slots: 6, Cold: 2, Floor: 0.5}))
		time.Sleep(time.Second)
		got := share(c, p, b.Name, 0)
		c.Check(got > 0 && got < 0.2, qt.IsTrue, qt.Commentf("%v", got))
	})
}

// The choice stays near, spills over when the own data centre is busy, stays
// off what was tried, and brings a data centre back slowly.
func TestChoice(t *testing.T) {
	inRig(t, func(c *qt.C, r *rig) {
		near, far := r.nodes[0].target, r.nodes[1].target
		far.Centre = "b"
		out := messenger.Target{Name: "x", Service: "s", Centre: "c", Slots: 6, State: messenger.Draining}
		p := r.entries[0]
		p.Targets = func(string) []messenger.Target { return []messenger.Target{near, far, out} }
		c.Check(share(c, p, far.Name, 1) < 0.1, qt.IsTrue)
		c.Check(share(c, p, far.Name, 6) > 0.3, qt.IsTrue)
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

// A data centre that is out gets nothing, whatever the floor; one that is back
// gets a tenth of its share at first and all of it after 20 s.
func TestCentreComesBackSlowly(t *testing.T) {
	inRig(t, func(c *qt.C, r *rig) {
		a, b := r.nodes[0].target, r.nodes[1].target
		b.Centre = "b"
		p := r.entries[0]
		p.Centre = "elsewhere"
		p.Targets = func(string) []messenger.Target { return []messenger.Target{a, b} }
		fleet := r.index.Fleet().WithCentre(declarer.Centre{Name: "b"})
		set := func(number uint64, out bool) { r.index = indexer.New(number, fleet.WithCentreOut("b", out)) }
		ofB := func() float64 { return share(c, p, b.Name, 0) }
		set(2, true)
		ofB()
		c.Check(ofB(), qt.Equals, 0.0)
		set(3, false)
		first := ofB()
		c.Check(first > 0 && first < 0.2, qt.IsTrue, qt.Commentf("%v", first))
		time.Sleep(20 * time.Second)
		c.Check(ofB() > 0.4, qt.IsTrue)
	})
}
