package admitter

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/zinniaproxy/zinniaproxy/internal/detector"
	"github.com/zinniaproxy/zinniaproxy/internal/exithandler"
	"github.com/zinniaproxy/zinniaproxy/internal/messenger"
	"github.com/zinniaproxy/zinniaproxy/pkg/coder"
)

// The limit of a target grows with its calls and is published in steps. It goes
// back to the cold limit for a new epoch and when the data centre returns to
// service.
func TestLimitGrowsAndResets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ctx, cancel := context.WithCancel(context.Background())
		var published atomic.Int64
		var out atomic.Bool
		target := messenger.Target{Name: "t", Service: "s", Epoch: 1, Slots: 8}
		a := &Admitter{
			ColdLimit: func(string) int { return 2 }, CentreOut: out.Load,
			Detector: &detector.Detector{},
		}
		a.RefreshVerdicts = func() { published.Add(1); a.ApplyVerdict(target) }
		go func() { _ = a.Run(ctx) }()
		makeCalls := func(n int) {
			for range n {
				j := &exithandler.Job{Call: &messenger.Call{}, Target: target, Deadline: time.Now().Add(time.Second)}
				release, err := a.Acquire(ctx, j)
				c.Assert(err, qt.IsNil)
				time.Sleep(50 * time.Millisecond)
				release(exithandler.Outcome{Result: exithandler.Good})
			}
		}
		c.Check(a.ApplyVerdict(target).Limit, qt.Equals, 2)
		makeCalls(100)
		time.Sleep(time.Second)
		c.Check(a.ApplyVerdict(target).Limit, qt.Equals, 8)
		n := published.Load()
		c.Check(n >= 2 && n <= 4, qt.IsTrue, qt.Commentf("%d", n))
		out.Store(true)
		time.Sleep(time.Second)
		out.Store(false)
		time.Sleep(time.Second)
		c.Check(a.Load("t"), qt.Equals, exithandler.Load{Limit: 2})
		makeCalls(100)
		replaced := target
		replaced.Epoch = 2
		c.Check(a.ApplyVerdict(replaced).Limit, qt.Equals, 2)
		cancel()
	})
}

// Guards against overload of the targets of a data centre that returns cold under
// full load: in no second more calls start at a cold target than half above its
// limit plus five, and a warm target has no such limit.
func TestColdTargetLimitsCallsPerSecond(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const perSecond = 27.0
		target := messenger.Target{Name: "t", Service: "s", Epoch: 1, Slots: 50, State: messenger.Cold}
		a := &Admitter{
			ColdLimit: func(string) int { return 50 }, CentreOut: func() bool { return false }, ColdRate: func(string) float64 { return perSecond },
			Detector: &detector.Detector{}, RefreshVerdicts: func() {},
		}
		a.ApplyVerdict(target)
		callFor := func(duration time.Duration) (startTimes []time.Time) {
			for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
				j := &exithandler.Job{Call: &messenger.Call{}, Target: target, Deadline: time.Now().Add(time.Second)}
				if release, err := a.Acquire(t.Context(), j); err == nil {
					startTimes = append(startTimes, time.Now())
					release(exithandler.Outcome{Result: exithandler.Good})
				}
			}
			return startTimes
		}
		startTimes, from, maxStarts := callFor(4*time.Second), 0, 0
		for to := range startTimes {
			for startTimes[to].Sub(startTimes[from]) >= time.Second {
				from++
			}
			maxStarts = max(maxStarts, to-from+1)
		}
		qt.Check(t, float64(maxStarts) <= 1.5*perSecond+5, qt.IsTrue, qt.Commentf("%d", maxStarts))
		qt.Check(t, float64(len(startTimes)) >= 3.5*perSecond, qt.IsTrue, qt.Commentf("%d", len(startTimes)))
		target.State = messenger.Warm
		a.ApplyVerdict(target)
		qt.Check(t, len(callFor(time.Second)), qt.Equals, 200)
	})
}

// TestColdFleetUnderLoad has calls arrive at random at half of a cold target's
// rate, as after a restart of all targets under load. They must be admitted, and
// soon, instead of being refused for coming close together.
func TestColdFleetUnderLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const perSecond, calls = 8.0, 400
		target := messenger.Target{Name: "t", Service: "s", Epoch: 1, Slots: 50, State: messenger.Cold}
		a := &Admitter{
			ColdLimit: func(string) int { return 50 }, CentreOut: func() bool { return false }, ColdRate: func(string) float64 { return perSecond },
			Detector: &detector.Detector{}, RefreshVerdicts: func() {},
		}
		a.ApplyVerdict(target)
		random := rand.New(rand.NewPCG(1, 2))
		var refused, late atomic.Int64
		var running sync.WaitGroup
		for range calls {
			time.Sleep(time.Duration(random.ExpFloat64() * 2 / perSecond * float64(time.Second)))
			running.Go(func() {
				arrived := time.Now()
				j := &exithandler.Job{Call: &messenger.Call{}, Target: target, Deadline: time.Now().Add(time.Second)}
				release, err := a.Acquire(t.Context(), j)
				if err != nil {
					refused.Add(1)
					return
				}
				if time.Since(arrived) > 100*time.Millisecond {
					late.Add(1)
				}
				release(exithandler.Outcome{Result: exithandler.Good})
			})
		}
		running.Wait()
		t.Logf("of %d calls %d refused, %d admitted after 100 ms", calls, refused.Load(), late.Load())
		qt.Check(t, refused.Load() <= calls/50, qt.IsTrue, qt.Commentf("%d refused", refused.Load()))
		qt.Check(t, late.Load() <= calls/20, qt.IsTrue, qt.Commentf("%d late", late.Load()))
	})
}

// A call whose deadline passes while it waits for the rate of a cold target has
// not run, and is told so.
func TestDeadlineWhileWaitingForColdRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		target := messenger.Target{Name: "t", Service: "s", Epoch: 1, Slots: 50, State: messenger.Cold}
		a := &Admitter{
			ColdLimit: func(string) int { return 50 }, CentreOut: func() bool { return false }, ColdRate: func(string) float64 { return 5 },
			Detector: &detector.Detector{}, RefreshVerdicts: func() {},
		}
		a.ApplyVerdict(target)
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		defer cancel()
		deadline, _ := ctx.Deadline()
		for {
			release, err := a.Acquire(ctx, &exithandler.Job{Call: &messenger.Call{}, Target: target, Deadline: deadline})
			if err != nil {
				qt.Check(t, coder.Of(err).Code, qt.Equals, coder.DeadlineBefore)
				qt.Check(t, coder.Of(err).Ran(), qt.Equals, coder.RanNo)
				return
			}
			release(exithandler.Outcome{Result: exithandler.Good})
		}
	})
}

// Guards against a call that is refused after the timeout of calls without a
// latency objective, although it can still meet its own, and against one that waits
// although it could not be done by its deadline.
func TestCallWaitsWithinItsObjective(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		target := messenger.Target{Name: "t", Service: "s", Epoch: 1, Slots: 1}
		a := &Admitter{
			ColdLimit: func(string) int { return 1 }, CentreOut: func() bool { return false },
			Detector: &detector.Detector{}, RefreshVerdicts: func() {},
		}
		a.ApplyVerdict(target)
		call := func(aim, timeout, hold time.Duration) (waited time.Duration, err error) {
			j := &exithandler.Job{Call: &messenger.Call{Aim: aim}, Target: target, Deadline: time.Now().Add(timeout)}
			release, err := a.Acquire(t.Context(), j)
			if err == nil {
				time.AfterFunc(hold, func() { release(exithandler.Outcome{Result: exithandler.Good}) })
			}
			return j.Wait, err
		}
		for _, tc := range []struct {
			aim, timeout time.Duration
			admitted     bool
		}{{0, 8 * time.Second, false}, {6 * time.Second, 8 * time.Second, true}, {6 * time.Second, 3 * time.Second, false}} {
			_, err := call(0, time.Minute, time.Second)
			qt.Assert(t, err, qt.IsNil)
			time.Sleep(time.Second) // the mean cost is a second
			_, err = call(0, time.Minute, 2500*time.Millisecond)
			qt.Assert(t, err, qt.IsNil)
			waited, err := call(tc.aim, tc.timeout, time.Second)
			qt.Check(t, err == nil, qt.Equals, tc.admitted, qt.Commentf("%+v: waited %v, %v", tc, waited, err))
			time.Sleep(10 * time.Second)
		}
	})
}

// Guards against calls that wait for a slot of a target that leaves, and reach it late:
// they are refused as not run while the slot is still taken, so that they go elsewhere
// at once.
func TestWaitingCallsOfALeavingTargetAreRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		target := messenger.Target{Name: "t", Service: "s", Epoch: 1, Slots: 1}
		a := &Admitter{
			ColdLimit: func(string) int { return 1 }, CentreOut: func() bool { return false },
			Detector: &detector.Detector{}, RefreshVerdicts: func() {},
		}
		a.ApplyVerdict(target)
		began := time.Now()
		newJob := func() *exithandler.Job {
			return &exithandler.Job{Call: &messenger.Call{Aim: 20 * time.Second}, Target: target, Deadline: began.Add(time.Minute), CheckLeaving: func() error {
				if time.Since(began) < time.Second {
					return nil
				}
				return coder.New(coder.TargetLeaving, "t")
			}}
		}
		release, err := a.Acquire(t.Context(), newJob())
		qt.Assert(t, err, qt.IsNil)
		var wg sync.WaitGroup
		for range 5 {
			wg.Go(func() {
				_, err := a.Acquire(t.Context(), newJob())
				qt.Check(t, coder.Of(err).Code, qt.Equals, coder.TargetLeaving)
				qt.Check(t, time.Since(began) < 1200*time.Millisecond, qt.IsTrue, qt.Commentf("%v", time.Since(began)))
			})
		}
		wg.Wait()
		release(exithandler.Outcome{Result: exithandler.Good})
	})
}
