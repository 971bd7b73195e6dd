// Package requestrunner forwards a request from the entry node: it records calls
// with idempotency keys, makes the attempts, and fences attempts whose link
// broke.
package requestrunner

import (
	"context"
	"strconv"
	"time"

	"github.com/zinniaproxy/zinniaproxy/internal/attemptsender"
	"github.com/zinniaproxy/zinniaproxy/internal/entryhandler"
	"github.com/zinniaproxy/zinniaproxy/internal/messenger"
	"github.com/zinniaproxy/zinniaproxy/internal/recorder"
	"github.com/zinniaproxy/zinniaproxy/internal/retrier"
)

// fenceTimeout bounds one query to an exit node about a fenced attempt.
const fenceTimeout = 500 * time.Millisecond

// expectedLatencyPercent is the share of a route's latency objective within which
// most good responses are expected before any was measured: operators set the
// objective so that even slow responses meet it.
const expectedLatencyPercent = 60

// holdLatencyQuantile is the share of good responses of a route that must still
// meet the objective after a wait for a target.
const holdLatencyQuantile = 0.75

// Runner makes the attempts of requests. Set the fields before the first
// request.
type Runner struct {
	// Attempt makes one attempt.
	Attempt func(ctx context.Context, c messenger.Call, attempts *attemptsender.Attempts) (*attemptsender.Response, error)
	// Admit returns a refusal for a call whose request crashes targets. It may be
	// nil.
	Admit func(c *messenger.Call) error
	// Fence asks an exit node whether it received an attempt whose link broke.
	Fence func(ctx context.Context, node string, q *messenger.Fence) (*messenger.FenceReply, error)
	// Retrier decides what may follow a failed attempt.
	Retrier *retrier.Retrier
	// Record writes the intent of a call with an idempotency key. It returns nil
	// when the call may run, the stored response of the first call, or a refusal.
	Record func(ctx context.Context, in recorder.Intent) ([]byte, error)
	// Finish records how a call with an idempotency key ended.
	Finish func(ctx context.Context, in recorder.Intent, o recorder.Outcome)
	// Rand returns a random number to identify a run.
	Rand func() uint64
}

// runAttempts sends a request to targets until the retrier ends it.
func (r *Runner) runAttempts(ctx context.Context, x *entryhandler.Exchange) (*attemptsender.Response, error) {
	call := x.Call()
	holdUntil := r.holdUntil(&call)
	attempts := &attemptsender.Attempts{}
	arrivals := &arrivals{}
	p := retrier.Policy{
		Service: call.Service, Route: call.Route, Inner: call.Inner, Repeat: call.Repeat, NonIdempotent: call.Once, MaxTargets: x.Route.Tries, ExpectedLatency: expectedLatencyPercent * call.Aim / 100, Deadline: x.Deadline, HoldUntil: holdUntil,
		ProveNotRun: func(ctx context.Context, try int) bool { return r.confirmNotSeen(ctx, attempts, attemptID(x.ID, try)) },
	}
	return retrier.Do(ctx, r.Retrier, p, retrier.AttemptFuncs[*attemptsender.Response]{
		Try: func(ctx context.Context, try int) (*attemptsender.Response, error) {
			c := call
			c.ID = attemptID(x.ID, try)
			c.Insist = !holdUntil.IsZero() && !time.Now().Before(holdUntil)
			if r.Admit != nil {
				if err := r.Admit(&c); err != nil {
					return nil, err
				}
			}
			c.Repeat = call.Repeat || arrivals.any()
			arrivals.begin()
			response, err := r.Attempt(ctx, c, attempts)
			arrivals.end(err)
			return response, err
		},
		IsFailure: (*attemptsender.Response).Failed,
		Discard:   (*attemptsender.Response).Close,
	})
}

// holdUntil returns until when a request may wait for a target and still be
// answered within the latency objective of its route. It is zero for a route
// without one.
func (r *Runner) holdUntil(c *messenger.Call) time.Time {
	if c.Aim == 0 {
		return time.Time{}
	}
	latency := r.Retrier.TypicalLatency(c.Service, c.Route, holdLatencyQuantile, expectedLatencyPercent*c.Aim/100)
	return time.Now().Add(max(c.Aim-latency, 0))
}

func attemptID(request string, try int) string {
	return request + "/" + strconv.Itoa(try)
}

// confirmNotSeen asks the exit node of an attempt whose link broke, and reports
// whether the attempt certainly did not arrive. Only a reply of the process that
// the attempt was sent to is proof, so the query carries its epoch.
func (r *Runner) confirmNotSeen(ctx context.Context, attempts *attemptsender.Attempts, id string) bool {
	attempt, ok := attempts.Find(id)
	if !ok || attempt.Epoch == 0 {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, fenceTimeout)
	defer cancel()
	reply, err := r.Fence(ctx, attempt.Node, &messenger.Fence{ID: id, Epoch: attempt.Epoch, SinceSent: time.Since(attempt.Sent)})
	return err == nil && reply.NotSeen
}
