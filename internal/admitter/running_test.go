package admitter

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/zinniaproxy/zinniaproxy/internal/breaker"
	"github.com/zinniaproxy/zinniaproxy/internal/detector"
	"github.com/zinniaproxy/zinniaproxy/internal/exithandler"
	"github.com/zinniaproxy/zinniaproxy/internal/messenger"
)

// waitForInner runs calls at one target, the last of which ends after 100 ms, while
// an inner request of theirs is open for 5 s. It returns the risk after that, and
// after another 5 s without inner requests.
func waitForInner(t *testing.T, requests ...string) (open, ended float64) {
	target := messenger.Target{Name: "t", Service: "s", Epoch: 1, Slots: 8}
	a := &Admitter{
		ColdLimit: func(string) int { return 8 }, CentreOut: func() bool { return false },
		Detector: &detector.Detector{}, Breaker: &breaker.Breaker{}, RefreshVerdicts: func() {},
	}
	a.ApplyVerdict(target)
	var releases []func(exithandler.Outcome)
	for _, request := range requests {
		j := &exithandler.Job{Call: &messenger.Call{Request: request, Route: "r", Aim: time.Second}, Target: target, Deadline: time.Now().Add(time.Minute)}
		release, err := a.Acquire(t.Context(), j)
		qt.Assert(t, err, qt.IsNil)
		releases = append(releases, release)
	}
	time.Sleep(100 * time.Millisecond)
	if n := len(releases); n > 1 {
		releases[n-1](exithandler.Outcome{Result: exithandler.NotSent})
		releases = releases[:n-1]
	}
	earlier, _ := a.BeginInner("outer")
	earlier()
	earlier() // must not count against the next one
	end, repeat := a.BeginInner("outer")
	qt.Check(t, repeat, qt.IsFalse)
	qt.Assert(t, end, qt.IsNotNil)
	time.Sleep(5 * time.Second)
	open = a.Risk("t")
	end()
	time.Sleep(5 * time.Second)
	ended = a.Risk("t")
	for _, release := range releases {
		release(exithandler.Outcome{Result: exithandler.NotSent})
	}
	end, _ = a.BeginInner("outer")
	qt.Check(t, end, qt.IsNil)
	qt.Check(t, a.running.byRequest, qt.HasLen, 0)
	return open, ended
}

// Guards against a target that counts as hanging while it waits for its own inner
// requests, also when another attempt of the same request, or a request with the same
// ID, began later and ended first, and against one that never counts as hanging
// afterwards or a map that keeps ended requests.
func TestInnerRequestsPauseAllCallsOfTheOuterOne(t *testing.T) {
	for _, requests := range [][]string{{"outer"}, {"outer", "outer"}, {"outer", "outer", "outer"}} {
		synctest.Test(t, func(t *testing.T) {
			open, ended := waitForInner(t, requests...)
			qt.Check(t, open < 0.3, qt.IsTrue, qt.Commentf("risk %.2f with %d calls", open, len(requests)))
			qt.Check(t, ended > 0.5, qt.IsTrue, qt.Commentf("risk %.2f with %d calls", ended, len(requests)))
		})
	}
}

// Guards against calls of a repeated run that pass for calls of a first one.
func TestInnerRequestsOfARepeatAreKnown(t *testing.T) {
	for _, repeats := range [][]bool{{false}, {true}, {false, true}, {false, false}} {
		target := messenger.Target{Name: "t", Service: "s", Epoch: 1, Slots: 8}
		a := &Admitter{
			ColdLimit: func(string) int { return 8 }, CentreOut: func() bool { return false },
			Detector: &detector.Detector{}, Breaker: &breaker.Breaker{}, RefreshVerdicts: func() {},
		}
		a.ApplyVerdict(target)
		want := false
		for _, repeat := range repeats {
			j := &exithandler.Job{Call: &messenger.Call{Request: "outer", Route: "r", Aim: time.Second, Repeat: repeat}, Target: target, Deadline: time.Now().Add(time.Minute)}
			release, err := a.Acquire(t.Context(), j)
			qt.Assert(t, err, qt.IsNil)
			defer release(exithandler.Outcome{Result: exithandler.NotSent})
			want = want || repeat
		}
		end, repeat := a.BeginInner("outer")
		qt.Check(t, end, qt.IsNotNil)
		qt.Check(t, repeat, qt.Equals, want, qt.Commentf("%v", repeats))
	}
}
