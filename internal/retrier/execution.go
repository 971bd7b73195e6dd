package retrier

import (
	"context"
	"time"

	"github.com/zinniaproxy/zinniaproxy/pkg/coder"
)

// result is the outcome of one attempt.
type result[R any] struct {
	attempt   int
	startedAt time.Time
	response  R
	err       error
}

// execution is the state of one request and its attempts. Only the goroutine
// of run accesses its fields.
type execution[R any] struct {
	retrier *Retrier
	policy  Policy
	service *serviceState
	latency *latencyHistogram
	ctx     context.Context
	// cancel cancels ctx; it is called only when the request fails.
	cancel   context.CancelFunc
	attempts AttemptFuncs[R]
	// results has capacity for every attempt, so that a losing attempt never
	// blocks on its send.
	results chan result[R]
	// cancels holds the cancel function of each attempt, or nil where the
	// response is still in use.
	cancels []context.CancelFunc
	// inFlight counts the attempts that have not ended.
	inFlight int
	// started counts all attempts, budgeted those that the budget paid for, and
	// targetRetries the budgeted ones that count towards the bound of targets:
	// hedges, and retries of attempts that reached a target or may have.
	// redirects counts the attempts outside the budget.
	started, targetRetries, budgeted, redirects int
	// holds counts the attempts that were made because the request could still
	// wait.
	holds int
	// mayHaveRun tells whether an ended attempt may have run.
	mayHaveRun bool
	// failedResponse is the last response that reported a failure. It is
	// returned when no attempt succeeds.
	failedResponse *R
	// lastErr is the last error of an attempt. A NoTarget error does not replace
	// an earlier one.
	lastErr error
}

func (x *execution[R]) run() (R, error) {
	x.startAttempt()
	hedge := x.newHedgeTimer()
	defer hedge.Stop()
	for {
		select {
		case res := <-x.results:
			x.inFlight--
			if x.succeeded(res) {
				return x.succeed(res), nil
			}
			action := x.recordFailure(res)
			if x.inFlight > 0 {
				// Another attempt may still succeed, but a hedge that no target
				// accepted is redirected.
				if (action == redirect || action == redirectAfterPause) && x.takeRedirect() {
					x.startAttempt()
				}
				continue
			}
			holds := x.holds
			if !x.prepareRetry(action) {
				return x.fail(x.lastErr)
			}
			x.startAttempt()
			if x.holds > holds {
				hedge.Reset(x.hedgeInterval()) // no attempt was in flight during the wait
			}
		case <-hedge.C:
			x.startHedge()
		case <-x.ctx.Done():
			return x.fail(x.interruptionError())
		}
	}
}

func (x *execution[R]) startAttempt() {
	ctx, cancel := context.WithCancel(x.ctx)
	attempt := x.started
	x.started++
	x.inFlight++
	x.cancels = append(x.cancels, cancel)
	x.retrier.attempts.Add(1)
	go func() {
		startedAt := time.Now()
		response, err := x.attempts.Try(ctx, attempt)
		x.results <- result[R]{attempt, startedAt, response, err}
	}()
}

// succeeded reports whether the result is a response for the caller. A
// non-idempotent request returns any response, since it must not run again.
func (x *execution[R]) succeeded(res result[R]) bool {
	isFailure := x.attempts.IsFailure
	return res.err == nil && (x.policy.NonIdempotent || isFailure == nil || !isFailure(res.response))
}

// recordFailure stores how an attempt failed, and returns what may follow.
func (x *execution[R]) recordFailure(res result[R]) retryAction {
	if res.err == nil {
		x.cancels[res.attempt] = nil
		x.discardFailedResponse()
		x.failedResponse = &res.response
		return retry
	}
	x.cancels[res.attempt]()
	e := coder.Of(res.err)
	if e.Code == coder.NoTarget && x.lastErr != nil {
		return giveUp // no other target; the previous error says more
	}
	action := x.policy.actionAfter(x.ctx, res.attempt, e)
	switch {
	case e.Ran() == coder.RanNo:
	case x.policy.NonIdempotent && action == retry:
		e = coder.New(coder.NotSent, "a fence proved that the attempt did not run; its error: %v", e)
	default:
		x.mayHaveRun = true
	}
	x.lastErr = e
	return action
}

// interruptionError returns the error of a request whose context is done.
// Attempts in flight end with the context; it waits up to cancelGracePeriod for
// them to report whether they were sent.
func (x *execution[R]) interruptionError() error {
	grace := time.NewTimer(cancelGracePeriod)
	defer grace.Stop()
	for x.inFlight > 0 {
		select {
		case res := <-x.results:
			x.inFlight--
			x.recordFailure(res)
		case <-grace.C:
			return contextError(x.ctx, false)
		}
	}
	if x.lastErr != nil && !x.mayHaveRun {
		return x.lastErr // says more exactly why the request was not sent
	}
	return contextError(x.ctx, !x.mayHaveRun)
}

// prepareRetry waits out the backoff and reports whether another attempt may
// start.
func (x *execution[R]) prepareRetry(action retryAction) bool {
	switch action {
	case redirect:
		return x.takeRedirect()
	case redirectAfterPause:
		if x.hold() {
			return true
		}
		if x.mayHold() && x.redirects >= maxRedirectsAfterHold {
			return false // the request has waited for as long as it could
		}
		return x.takeRedirect() && x.sleep(time.Duration(x.redirects)*x.retrier.RedirectBackoff)
	case retry:
		return x.takeTargetRetry() && x.sleep(x.retrier.backoff(x.targetRetries))
	case retryShed:
		return x.takeBudget() && x.sleep(x.retrier.backoff(x.budgeted))
	}
	return false
}

// mayHold reports whether requests such as this one wait for a target at all.
func (x *execution[R]) mayHold() bool {
	return x.retrier.RedirectBackoff > 0 && !x.policy.HoldUntil.IsZero()
}

// hold pauses before the next attempt of a request that may still wait, and
// reports whether it did.
func (x *execution[R]) hold() bool {
	pause := min(x.retrier.RedirectBackoff*time.Duration(x.holds+1), maxHoldPause)
	if !x.mayHold() || time.Until(x.policy.HoldUntil) < pause || !x.sleep(pause) {
		return false
	}
	x.holds++
	x.retrier.holds.Add(1)
	return true
}

// takeRedirect counts one more attempt outside the budget. It reports whether
// that is allowed.
func (x *execution[R]) takeRedirect() bool {
	if x.redirects >= x.retrier.MaxRedirects || x.ctx.Err() != nil {
		return false
	}
	x.redirects++
	x.retrier.redirects.Add(1)
	return true
}

// takeTargetRetry takes one more attempt from the request's bound of targets
// and the budget of the service. It reports whether both allow it.
func (x *execution[R]) takeTargetRetry() bool {
	if x.targetRetries+1 >= x.policy.maxTargets(x.retrier.MaxAttempts) || !x.takeBudget() {
		return false
	}
	x.targetRetries++
	return true
}

// takeBudget takes one more attempt from the budget of the service. It reports
// whether that is allowed.
func (x *execution[R]) takeBudget() bool {
	if x.budgeted+1 >= x.retrier.MaxAttempts || x.ctx.Err() != nil {
		return false
	}
	if !x.service.budget.withdraw() {
		x.retrier.denied.Add(1)
		return false
	}
	x.budgeted++
	return true
}

// sleep pauses for d. It returns false at once if the deadline would pass
// meanwhile, and false if the context ends first.
func (x *execution[R]) sleep(d time.Duration) bool {
	if time.Until(x.policy.Deadline) <= d {
		return false
	}
	if d == 0 {
		return true
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-x.ctx.Done():
		return false
	}
}

// newHedgeTimer returns a timer that fires when the first attempt has stalled.
func (x *execution[R]) newHedgeTimer() *time.Timer { return time.NewTimer(x.hedgeInterval()) }

// hedgeInterval returns after which time an attempt counts as stalled. Without
// hedging it lies long after the deadline.
func (x *execution[R]) hedgeInterval() time.Duration {
	d, ok := x.retrier.hedgeDelay(x.latency, x.policy.ExpectedLatency)
	if x.policy.NonIdempotent || !ok {
		return time.Until(x.policy.Deadline) + time.Hour
	}
	return d
}

// startHedge starts a second attempt alongside one that stalled, if allowed.
func (x *execution[R]) startHedge() {
	if x.policy.NonIdempotent || x.inFlight != 1 || x.retrier.busy(x.policy.Service) || !x.takeTargetRetry() {
		return
	}
	x.retrier.hedges.Add(1)
	x.startAttempt()
}

func (x *execution[R]) recordLatency(startedAt time.Time) {
	now := time.Now()
	x.latency.add(now, now.Sub(startedAt), x.retrier.HistogramPeriod)
}

// cancelInFlight cancels the attempts in flight and discards their responses.
// Their latencies are not recorded: most of these attempts hang, which says
// nothing about successful responses.
func (x *execution[R]) cancelInFlight() {
	n := x.inFlight
	if n == 0 {
		return
	}
	for _, cancel := range x.cancels {
		if cancel != nil {
			cancel()
		}
	}
	go func() {
		for range n {
			res := <-x.results
			if res.err == nil {
				x.attempts.Discard(res.response)
			}
		}
	}()
}

// succeed ends the request and returns the response.
func (x *execution[R]) succeed(res result[R]) R {
	x.cancels[res.attempt] = nil
	x.recordLatency(res.startedAt)
	x.cancelInFlight()
	x.discardFailedResponse()
	return res.response
}

// fail ends the request and returns the failed response if there is one, else
// an error. If an earlier attempt may have run, the error says so, even when
// the last attempt did not run.
func (x *execution[R]) fail(err error) (R, error) {
	x.cancelInFlight()
	if x.failedResponse != nil {
		return *x.failedResponse, nil
	}
	x.cancel()
	if e := coder.Of(err); x.mayHaveRun && e.Ran() == coder.RanNo {
		err = coder.New(coder.Cut, "an earlier attempt may have run; last error: %v", e).WithAfter(e.After)
	}
	var zero R
	return zero, err
}

func (x *execution[R]) discardFailedResponse() {
	if x.failedResponse != nil {
		x.attempts.Discard(*x.failedResponse)
		x.failedResponse = nil
	}
}
