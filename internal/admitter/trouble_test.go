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
	"github.com/zinniaproxy/zinniaproxy/pkg/coder"
)

// newBreakerAdmitter returns an admitter with a circuit breaker and one target.
func newBreakerAdmitter() (*Admitter, messenger.Target) {
	target := messenger.Target{Name: "t", Service: "s", Epoch: 1, Slots: 8}
	a := &Admitter{
		ColdLimit: func(string) int { return 8 }, CentreOut: func() bool { return false },
		Detector: &detector.Detector{}, Breaker: &breaker.Breaker{}, RefreshVerdicts: func() {},
	}
	a.ApplyVerdict(target)
	return a, target
}

// TestServiceInTrouble has all targets of a service fail most of their calls. An
// idempotent call that found no better target is admitted, since a refusal would
// be final; a non-idempotent one is refused.
func TestServiceInTrouble(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, target := newBreakerAdmitter()
		acquire := func(once bool) (func(exithandler.Outcome), error) {
			call := &messenger.Call{Route: "r", Aim: time.Second, RelaxRiskLimit: true, Once: once}
			return a.Acquire(t.Context(), &exithandler.Job{Call: call, Target: target, Deadline: time.Now().Add(time.Second)})
		}
		for range 30 {
			release, err := acquire(false)
			qt.Assert(t, err, qt.IsNil)
			time.Sleep(10 * time.Millisecond)
			release(exithandler.Outcome{Result: exithandler.Failed})
		}
		_, err := acquire(true)
		qt.Assert(t, err, qt.IsNotNil)
		qt.Check(t, coder.Of(err).Code, qt.Equals, coder.Suspect)
	})
}
