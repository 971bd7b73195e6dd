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

// These tests cover targets that hang at times, and exit nodes that refuse calls
// to targets suspected of hanging.

// runRequest makes one request whose attempts end as listed in outcomes: "hang",
// "respond", "suspect", "shed" or "cut". The last outcome repeats. It returns
// the number of attempts started, the time taken and the error.
func runRequest(t *testing.T, r *Retrier, p Policy, outcomes ...string) (attempts int, took time.Duration, err error) {
	startedAt := time.Now()
	var started atomic.Int64
	if p.Deadline.IsZero() {
		p.Deadline = startedAt.Add(2 * time.Second)
	}
	_, err = Do(t.Context(), r, p, AttemptFuncs[int]{Discard: ignore, Try: func(ctx context.Context, attempt int) (int, error) {
		started.Add(1)
		switch outcomes[min(attempt, len(outcomes)-1)] {
		case "hang":
			<-ctx.Done()
			return 0, coder.New(coder.DeadlineAfter, "")
		case "suspect":
			return 0, coder.New(coder.Suspect, "")
		case "shed":
			return 0, coder.New(coder.Shed, "")
		case "cut":
			return 0, coder.New(coder.Cut, "")
		}
		time.Sleep(100 * time.Millisecond)
		return 1, nil
	}})
	took = time.Since(startedAt)
	synctest.Wait()
	return int(started.Load()), took, err
}

func TestAttemptsAgainstHangingTargets(t *testing.T) {
	const expected = 300 * time.Millisecond
	for _, row := range []struct {
		name     string
		policy   Policy
		outcomes []string
		code     coder.Code // coder.OK for a response
		attempts int
		maxTime  time.Duration
	}{
		{"hedges after the expected latency without samples", Policy{ExpectedLatency: expected}, []string{"hang", "respond"}, 0, 2, 500 * time.Millisecond},
		{"redirects a refused hedge", Policy{ExpectedLatency: expected}, []string{"hang", "suspect", "suspect", "respond"}, 0, 4, 500 * time.Millisecond},
		{"does not hedge a non-idempotent request", Policy{ExpectedLatency: expected, NonIdempotent: true}, []string{"hang", "respond"}, coder.DeadlineAfter, 1, 3 * time.Second},
		{"redirects do not count towards the bound of targets", Policy{MaxTargets: 1, NonIdempotent: true}, []string{"suspect", "suspect", "respond"}, 0, 3, time.Second},
		{"stops at the route's bound of targets", Policy{MaxTargets: 2}, []string{"cut", "cut", "respond"}, coder.Cut, 2, time.Second},
		{"sheds do not count towards the bound of targets", Policy{MaxTargets: 1}, []string{"shed", "shed", "respond"}, 0, 3, time.Second},
		{"gives up after the redirects when all targets are suspect", Policy{NonIdempotent: true}, []string{"suspect"}, coder.Suspect, 4, time.Second},
	} {
		t.Run(row.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := New()
				r.RedirectBackoff = 10 * time.Millisecond
				attempts, took, err := runRequest(t, r, row.policy, row.outcomes...)
				code := coder.OK
				if err != nil {
					code = coder.Of(err).Code
				}
				qt.Check(t, code, qt.Equals, row.code)
				qt.Check(t, attempts, qt.Equals, row.attempts)
				qt.Check(t, took <= row.maxTime, qt.IsTrue, qt.Commentf("%v", took))
			})
		})
	}
}

// The extra attempts of a service over the whole fleet are bounded by a
// fixed slack and a ratio of its requests, however the requests are spread over
// the nodes.
func TestExtraAttemptsStayWithinFleetBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const nodes, slack, requests = 20, 60, 2000
		extra := 0
		for range nodes {
			r := New()
			r.Ratio = 0.15
			r.NodeBudget = func() float64 { return float64(slack) / nodes }
			for range requests / nodes {
				attempts, _, _ := runRequest(t, r, Policy{}, "cut", "cut", "cut")
				extra += attempts - 1
			}
		}
		qt.Check(t, extra <= slack+requests*20/100, qt.IsTrue, qt.Commentf("%d", extra))
	})
}
