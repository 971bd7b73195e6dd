package retrier

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/zinniaproxy/zinniaproxy/pkg/coder"
)

// innerRepeats makes requests to an outer service whose runs make calls to an inner
// one, and returns how many repeats the inner one gets, of how many requests. The
// calls that a repeated run makes are repeats.
func innerRepeats(t *testing.T, r *Retrier, requests, callsPerRun int, failureRate float64) (innerRepeats, innerRequests int) {
	rnd := newLockedRand()
	var arrivals, sent atomic.Int64 // attempts may run beside each other
	callInner := func(ctx context.Context, repeat bool) error {
		if !repeat {
			sent.Add(1)
		}
		p := Policy{Service: "inner", Deadline: time.Now().Add(time.Second), Inner: true, Repeat: repeat}
		_, err := Do(ctx, r, p, AttemptFuncs[int]{Discard: ignore, Try: func(context.Context, int) (int, error) {
			arrivals.Add(1)
			if rnd.next() < failureRate/2 {
				return 0, coder.New(coder.Cut, "")
			}
			return 0, nil
		}})
		return err
	}
	for range requests {
		p := Policy{Service: "outer", Deadline: time.Now().Add(time.Second)}
		_, _ = Do(t.Context(), r, p, AttemptFuncs[int]{Discard: ignore, Try: func(ctx context.Context, attempt int) (int, error) {
			if attempt > 0 && !r.AffordsRepeat() {
				return 0, coder.New(coder.RepeatDenied, "")
			}
			for range callsPerRun {
				if err := callInner(ctx, attempt > 0); err != nil {
					return 0, coder.New(coder.Cut, "")
				}
			}
			if rnd.next() < failureRate {
				return 0, coder.New(coder.Cut, "")
			}
			return 0, nil
		}})
	}
	return int(arrivals.Load() - sent.Load()), int(sent.Load())
}

// checkInnerRepeats checks that the inner service gets no more repeats than the ratio
// of its requests and the slack, as many requests fail.
func checkInnerRepeats(t *testing.T, callsPerRun int) {
	const ratio, slack, requests = 0.2, 5, 2000
	for _, failureRate := range []float64{0.2, 0.5, 0.9} {
		synctest.Test(t, func(t *testing.T) {
			r := New()
			r.Ratio, r.InitialBudget, r.MaxBudget = ratio, 0, slack
			repeats, sent := innerRepeats(t, r, requests, callsPerRun, failureRate)
			allowed := ratio*float64(sent) + slack
			t.Logf("%.0f%% fail: %d repeats of %d requests, allowed %.0f", 100*failureRate, repeats, sent, allowed)
			qt.Check(t, float64(repeats) <= allowed, qt.IsTrue, qt.Commentf("%d repeats, allowed %.0f", repeats, allowed))
		})
	}
}

// Guards against a service that gets more repeats than its budget allows, since the
// calls which repeated runs of another service make there are counted as requests:
// they raised the budget instead of using it.
func TestCallsOfRepeatedRunsUseTheBudget(t *testing.T) { checkInnerRepeats(t, 1) }

// The same where each run makes several calls, so that each repeat of the outer
// request is worth several at the inner service.
func TestSeveralCallsOfRepeatedRunsStayWithinTheBudget(t *testing.T) { checkInnerRepeats(t, 3) }

// A service's debt is at most as large as its budget, so that it is not without
// retries for long after repeated runs.
func TestDebtOfRepeatedRunsIsBounded(t *testing.T) {
	var b budget
	b.deposit(1, 5)
	for range 100 {
		b.charge(-5)
	}
	qt.Check(t, b.balance(), qt.Equals, -5.0)
	b.charge(-3) // the bound has shrunk
	qt.Check(t, b.balance(), qt.Equals, -5.0)
}

// Only the services that the target of this VM calls decide whether it may repeat.
func TestRepeatsDependOnCalledServices(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := New()
		r.InitialBudget = 0.5
		request := func(p Policy) {
			p.Deadline = time.Now().Add(time.Second)
			_, _ = Do(t.Context(), r, p, AttemptFuncs[int]{Discard: ignore, Try: func(context.Context, int) (int, error) { return 0, nil }})
		}
		request(Policy{Service: "own", Repeat: true})
		request(Policy{Service: "own", Repeat: true})
		qt.Check(t, r.AffordsRepeat(), qt.IsTrue)
		request(Policy{Service: "called", Inner: true})
		qt.Check(t, r.AffordsRepeat(), qt.IsTrue)
		request(Policy{Service: "called", Inner: true, Repeat: true})
		qt.Check(t, r.AffordsRepeat(), qt.IsFalse)
		time.Sleep(2 * callMemory)
		qt.Check(t, r.AffordsRepeat(), qt.IsTrue)
	})
}
