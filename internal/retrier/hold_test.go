package retrier

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/zinniaproxy/zinniaproxy/pkg/coder"
)

// Guards against requests that are refused although they could still meet their
// objective, that wait beyond it or beyond their deadline, that the wait costs
// redirects or budget, that are hedged for the time of the wait, and against a
// change for fleets whose requests do not wait.
func TestRequestsWaitForTargets(t *testing.T) {
	const backoff, second = 30 * time.Millisecond, time.Second
	for _, row := range []struct {
		name          string
		backoff       time.Duration
		holdFor       time.Duration // 0 for no objective
		deadline      time.Duration
		nonIdempotent bool
		outcomes      []string
		code          coder.Code
		minAttempts   int
		maxAttempts   int
		minTime       time.Duration
		maxTime       time.Duration
	}{
		{"is answered after more refusals than redirects", backoff, second, 4 * second, true, []string{"suspect", "suspect", "suspect", "suspect", "suspect", "respond"}, 0, 6, 6, 400 * time.Millisecond, 700 * time.Millisecond},
		{"is refused soon after the wait", backoff, second, 4 * second, true, []string{"suspect"}, coder.Suspect, 10, 10, 850 * time.Millisecond, 1100 * time.Millisecond},
		{"is refused when only the deadline remains", backoff, 4 * second, second, true, []string{"suspect"}, coder.Suspect, 8, 12, 0, second},
		{"is not hedged for the time of the wait", backoff, second, 4 * second, false, []string{"suspect", "suspect", "suspect", "suspect", "suspect", "suspect", "respond"}, 0, 7, 7, 0, second},
		{"keeps its redirects where requests do not wait", 0, second, 4 * second, true, []string{"suspect", "suspect", "suspect", "respond"}, 0, 4, 4, 0, 200 * time.Millisecond},
		{"keeps its redirects without an objective", backoff, 0, 4 * second, true, []string{"suspect", "suspect", "suspect", "respond"}, 0, 4, 4, 0, 400 * time.Millisecond},
	} {
		t.Run(row.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := New()
				r.RedirectBackoff, r.InitialBudget = row.backoff, 5
				p := Policy{NonIdempotent: row.nonIdempotent, Deadline: time.Now().Add(row.deadline), ExpectedLatency: 300 * time.Millisecond}
				if row.holdFor > 0 {
					p.HoldUntil = time.Now().Add(row.holdFor)
				}
				attempts, took, err := runRequest(t, r, p, row.outcomes...)
				code := coder.OK
				if err != nil {
					code = coder.Of(err).Code
				}
				qt.Check(t, code, qt.Equals, row.code)
				qt.Check(t, attempts >= row.minAttempts && attempts <= row.maxAttempts, qt.IsTrue, qt.Commentf("%d attempts", attempts))
				qt.Check(t, took >= row.minTime && took <= row.maxTime, qt.IsTrue, qt.Commentf("%v", took))
				qt.Check(t, r.Counts().Hedges, qt.Equals, int64(0))
				qt.Check(t, r.Budget() >= 5, qt.IsTrue)
			})
		})
	}
}
