package retrier

import (
	"context"
	"errors"
	"time"

	"github.com/zinniaproxy/zinniaproxy/pkg/coder"
)

// Policy holds the properties of one request that decide on its retries.
type Policy struct {
	// Service and Route are names. Budgets are kept per service and latencies
	// per route, since one service may do both short and long work.
	Service, Route string
	// Inner marks a request of a target that runs another one.
	Inner bool
	// Repeat marks a request that a repeated attempt of another one made. It counts
	// as an extra attempt, and may run whatever the budget is.
	Repeat bool
	// NonIdempotent marks a non-idempotent request. It is retried only after
	// proof that it did not run, and never hedged.
	NonIdempotent bool
	// MaxTargets bounds the number of targets that the request may be sent to. 0
	// leaves the bound to the retrier.
	MaxTargets int
	// ExpectedLatency is the latency within which most successful responses of
	// the route are expected. It sets the hedge delay until there are enough
	// samples; 0 means unknown.
	ExpectedLatency time.Duration
	// Deadline is when the caller stops waiting. No attempt, backoff or hedge
	// extends beyond it.
	Deadline time.Time
	// HoldUntil is until when the request may wait for a target that has capacity
	// and is not suspected of hanging, and still meet its latency objective. Until
	// then such refusals do not count as redirects. Zero means not to wait.
	HoldUntil time.Time
	// ProveNotRun asks the exit node of a failed attempt whether the attempt
	// arrived. It returns true only if the attempt did not arrive and never
	// will. With a nil ProveNotRun there is never proof.
	ProveNotRun func(ctx context.Context, attempt int) bool
}

// maxTargets returns the request's bound of targets, or limit if that is lower
// or the request has none.
func (p Policy) maxTargets(limit int) int {
	if p.MaxTargets > 0 {
		return min(p.MaxTargets, limit)
	}
	return limit
}

// retryAction is what may follow a failed attempt.
type retryAction uint8

const (
	// giveUp returns the error to the caller at once.
	giveUp retryAction = iota
	// retry allows another attempt within the budget and the bound of targets.
	retry
	// redirect allows another attempt outside the budget: an exit node refused
	// or could not be reached, so no target did any work.
	redirect
	// redirectAfterPause is like redirect, for errors that may pass in a moment:
	// the target had no capacity or was suspected of hanging.
	redirectAfterPause
	// retryShed allows another attempt within the budget, but outside the bound
	// of targets: the target did the work of refusing, but did not run the
	// request.
	retryShed
)

// actionAfter returns what may follow an attempt that failed with err.
func (p Policy) actionAfter(ctx context.Context, attempt int, err error) retryAction {
	e := coder.Of(err)
	switch e.Code {
	case coder.TargetLeaving, coder.NodeLeaving, coder.WrongTarget, coder.NotSent, coder.RepeatDenied:
		return redirect
	case coder.Suspect, coder.QueueTimeout, coder.Overloaded:
		return redirectAfterPause
	case coder.Shed:
		return retryShed
	case coder.Cut, coder.Repeated:
		return p.actionAfterPossibleRun(ctx, attempt)
	}
	return giveUp
}

// actionAfterPossibleRun returns what may follow an attempt that may have run.
func (p Policy) actionAfterPossibleRun(ctx context.Context, attempt int) retryAction {
	if !p.NonIdempotent {
		return retry
	}
	if p.ProveNotRun != nil && p.ProveNotRun(ctx, attempt) {
		return retry
	}
	return giveUp
}

// contextError returns the error of a request whose context is done. notRun
// says that no attempt was started or each is proved not to have run.
func contextError(ctx context.Context, notRun bool) error {
	code := coder.DeadlineAfter
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		code = coder.Canceled
	case notRun:
		code = coder.DeadlineBefore
	}
	return coder.New(code, "%v", context.Cause(ctx))
}
