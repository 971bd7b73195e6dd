package admitter

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/zinniaproxy/zinniaproxy/internal/detector"
	"github.com/zinniaproxy/zinniaproxy/internal/exithandler"
	"github.com/zinniaproxy/zinniaproxy/internal/messenger"
)

// newStatementAdmitter returns an admitter with one warm target of many slots.
func newStatementAdmitter() (*Admitter, messenger.Target) {
	target := messenger.Target{Name: "t", Service: "s", Epoch: 1, Slots: 50}
	a := &Admitter{ColdLimit: func(string) int { return 50 }, CentreOut: func() bool { return false }, Detector: &detector.Detector{}}
	a.RefreshVerdicts = func() { a.ApplyVerdict(target) }
	a.ApplyVerdict(target)
	return a, target
}

// countStarts returns how many calls a target gets in a duration, with one tried
// each 5 ms.
func countStarts(t *testing.T, a *Admitter, target messenger.Target, d time.Duration) (n int) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		j := &exithandler.Job{Call: &messenger.Call{}, Target: target, Deadline: time.Now().Add(time.Second)}
		if release, err := a.Acquire(t.Context(), j); err == nil {
			n++
			release(exithandler.Outcome{Result: exithandler.Good})
		}
	}
	return n
}

func limited(rate float64) messenger.Statement { return messenger.Statement{Limited: true, Rate: rate} }

// Guards against a burst at a limited target after a response that was on its way
// when the target stated its rate.
func TestEarlierResponseDoesNotLiftStatedRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, target := newStatementAdmitter()
		before := time.Now()
		time.Sleep(time.Second)
		a.ObserveStatement(target, time.Now(), limited(2))
		a.ObserveStatement(target, before, messenger.Statement{})
		n := countStarts(t, a, target, 4*time.Second)
		qt.Check(t, n >= 8 && n <= 10, qt.IsTrue, qt.Commentf("%d", n))
		a.ObserveStatement(target, time.Now(), messenger.Statement{})
		qt.Check(t, countStarts(t, a, target, time.Second), qt.Equals, 200)
	})
}

// A target that states that it accepts nothing gets a rare call, without which the
// node would not learn when it accepts calls again.
func TestTargetThatStatesZeroGetsTrialCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, target := newStatementAdmitter()
		a.ObserveStatement(target, time.Now(), limited(0))
		n := countStarts(t, a, target, 20*time.Second)
		qt.Check(t, n >= 4 && n <= 6, qt.IsTrue, qt.Commentf("%d", n))
	})
}

// The rate is published when it is stated, taken back or moves by a quarter. An
// observation of a target that was replaced changes nothing.
func TestStatedRateIsPublishedInSteps(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, target := newStatementAdmitter()
		var published []float64
		a.RefreshVerdicts = func() { published = append(published, a.ApplyVerdict(target).Rate) }
		for _, st := range []messenger.Statement{limited(4), limited(4.5), limited(3.5), limited(6), limited(0), {}, {}} {
			time.Sleep(time.Second)
			a.ObserveStatement(target, time.Now(), st)
		}
		replaced := target
		replaced.Epoch = 2
		a.ObserveStatement(replaced, time.Now(), limited(1))
		qt.Check(t, published, qt.DeepEquals, []float64{4, 6, minStatedRate, 0})
	})
}

// A node that has just started takes the lowest rate that entry nodes know, until
// a response of the target says what holds.
func TestStartedNodeAdoptsStatedRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, target := newStatementAdmitter()
		for _, rate := range []float64{3, 2, 4} {
			a.AdoptStatement(target.Name, target.Epoch, limited(rate))
		}
		a.AdoptStatement(target.Name, target.Epoch+1, limited(1))
		a.AdoptStatement(target.Name, target.Epoch, messenger.Statement{})
		n := countStarts(t, a, target, 4*time.Second)
		qt.Check(t, n >= 8 && n <= 10, qt.IsTrue, qt.Commentf("%d", n))
		a.ObserveStatement(target, time.Now(), messenger.Statement{})
		a.AdoptStatement(target.Name, target.Epoch, limited(1))
		qt.Check(t, countStarts(t, a, target, time.Second), qt.Equals, 200)
	})
}
