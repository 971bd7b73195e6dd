// Package retrier decides at the entry node whether a request is retried or
// hedged. A non-idempotent request is retried only after proof that it did not
// run.
package retrier

import (
	"context"
	"hash/maphash"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"
)

// Defaults of a retrier.
const (
	// DefaultRatio is the budget that each request adds, in extra attempts.
	DefaultRatio = 0.19
	// callMemory is how long a target is expected to call a service that it has
	// called.
	callMemory = time.Minute
	// maxDebt bounds the debt of a service's budget, as a multiple of MaxBudget or
	// NodeBudget: calls of repeated runs are not refused where the budget is used up,
	// and the requests after them make up for it.
	maxDebt = 4
	// DefaultInitialBudget is the initial budget of a service, in extra attempts.
	DefaultInitialBudget = 10
	// DefaultMaxBudget bounds the budget of a service, in extra attempts.
	DefaultMaxBudget = 50
	// DefaultMaxAttempts bounds the attempts of one request, without redirects.
	DefaultMaxAttempts = 3
	// DefaultMaxRedirects bounds the redirects of one request.
	DefaultMaxRedirects = 3
	// DefaultHedgeQuantile is the latency quantile after which a request is
	// hedged.
	DefaultHedgeQuantile = 0.9
	// DefaultHedgeMinSamples is the number of latencies that the quantile needs.
	DefaultHedgeMinSamples = 20
	// DefaultHistogramPeriod is half of the time that latencies are kept for.
	DefaultHistogramPeriod = 30 * time.Second
	// DefaultMinHedgeDelay is the shortest delay of a hedge.
	DefaultMinHedgeDelay = time.Millisecond
	// DefaultBackoff is the mean pause before the second retry. It doubles with
	// each further one.
	DefaultBackoff = 10 * time.Millisecond

	// maxHoldPause bounds the pause between two attempts of a request that waits
	// for a target. Each attempt costs a few load probes.
	maxHoldPause = 150 * time.Millisecond
	// maxRedirectsAfterHold bounds the attempts for want of capacity after the
	// time in which a request may wait.
	maxRedirectsAfterHold = 1
	// cancelGracePeriod is how long attempts in flight have to report how they
	// ended, after the context of the request is done.
	cancelGracePeriod = 10 * time.Millisecond
	shardCount        = 32
)

// serviceState holds the budget of one service and the latencies of its routes.
type serviceState struct {
	budget budget
	// calledAt is when the target of this VM last called the service while it ran a
	// request, in Unix nanoseconds.
	calledAt atomic.Int64

	mu             sync.Mutex
	latencyByRoute map[string]*latencyHistogram
}

// latency returns the histogram of a route, and creates it if necessary.
func (s *serviceState) latency(route string) *latencyHistogram {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.latencyByRoute[route]
	if h == nil {
		if s.latencyByRoute == nil {
			s.latencyByRoute = map[string]*latencyHistogram{}
		}
		h = &latencyHistogram{}
		s.latencyByRoute[route] = h
	}
	return h
}

type shard struct {
	mu       sync.Mutex
	services map[string]*serviceState
}

// Counts holds totals since the start of the process.
type Counts struct {
	// Requests, Attempts, Hedges and Redirects count what was started.
	Requests, Attempts, Hedges, Redirects int64
	// Holds counts attempts after a wait for capacity or for a sound target.
	Holds int64
	// Denied counts extra attempts that the budget did not allow.
	Denied int64
}

// Retrier holds the budgets and latencies of all services at one entry node.
// The budget of a service is counted in extra attempts: retries and hedges, but
// not redirects. Set the fields before the first request.
type Retrier struct {
	// Ratio is what each request adds to the budget of its service,
	// InitialBudget what a service starts with, and MaxBudget the upper bound.
	Ratio, InitialBudget, MaxBudget float64
	// CurrentRatio, unless nil, returns the current ratio and replaces Ratio.
	CurrentRatio func() float64
	// NodeBudget, unless nil, returns this node's part of the budget that a
	// service has over the whole fleet. It replaces MaxBudget and, where it is
	// lower, InitialBudget.
	NodeBudget func() float64
	// MaxAttempts bounds the attempts of a request without redirects.
	// MaxRedirects bounds the attempts that follow one that reached no target.
	MaxAttempts, MaxRedirects int
	// HedgeQuantile is the latency quantile after which a request is hedged, once
	// there are HedgeMinSamples latencies; 0 turns hedging off. The delay is never
	// below MinHedgeDelay.
	HedgeQuantile   float64
	HedgeMinSamples int
	MinHedgeDelay   time.Duration
	// HistogramPeriod is half of the time that latencies are kept for.
	HistogramPeriod time.Duration
	// Backoff is the mean pause before the second retry. It doubles with each
	// further one.
	Backoff time.Duration
	// Busy reports whether the targets of a service are nearly full, so that a
	// hedge would take a slot from another request. Nil means never.
	Busy func(service string) bool
	// RedirectBackoff is the pause after the first refusal because a target has
	// no capacity or is suspected of hanging. It grows by as much with each
	// further redirect; 0 means no pause.
	RedirectBackoff time.Duration
	// Rand returns a number in [0, 1).
	Rand func() float64

	seed                                                 maphash.Seed
	shards                                               [shardCount]shard
	requests, attempts, hedges, redirects, holds, denied atomic.Int64
}

// New returns a retrier with the default settings.
func New() *Retrier {
	return &Retrier{
		Ratio: DefaultRatio, InitialBudget: DefaultInitialBudget, MaxBudget: DefaultMaxBudget,
		MaxAttempts: DefaultMaxAttempts, MaxRedirects: DefaultMaxRedirects,
		HedgeQuantile: DefaultHedgeQuantile, HedgeMinSamples: DefaultHedgeMinSamples, MinHedgeDelay: DefaultMinHedgeDelay,
		HistogramPeriod: DefaultHistogramPeriod, Backoff: DefaultBackoff, Rand: rand.Float64,
		seed: maphash.MakeSeed(),
	}
}

// Counts returns the current totals.
func (r *Retrier) Counts() Counts {
	return Counts{
		Requests: r.requests.Load(), Attempts: r.attempts.Load(), Hedges: r.hedges.Load(),
		Redirects: r.redirects.Load(), Holds: r.holds.Load(), Denied: r.denied.Load(),
	}
}

// Budget returns the sum of the budgets of all services, in extra attempts.
func (r *Retrier) Budget() (tokens float64) {
	for i := range r.shards {
		s := &r.shards[i]
		s.mu.Lock()
		for _, v := range s.services {
			tokens += v.budget.balance()
		}
		s.mu.Unlock()
	}
	return tokens
}

// AttemptFuncs holds the functions that make the attempts of a request and handle
// their responses.
type AttemptFuncs[R any] struct {
	// Try makes one attempt; attempts are numbered from 0.
	Try func(ctx context.Context, attempt int) (R, error)
	// Discard closes a response that will not be read.
	Discard func(R)
	// IsFailure reports whether a response is a failure, such as an HTTP 5xx
	// status, after which an idempotent request is retried. Nil means never.
	IsFailure func(R) bool
}

// Do makes attempts at one request until one succeeds, the policy or the budget
// allows no more, or ctx or the deadline ends. The context of the attempt whose
// response is returned stays valid until ctx ends, so that its body can be
// read; the other attempts are canceled and their responses discarded. The
// error is a *coder.Error. Its Ran is RanNo only if none of the attempts may
// have run.
func Do[R any](ctx context.Context, r *Retrier, p Policy, a AttemptFuncs[R]) (R, error) {
	r.requests.Add(1)
	ctx, cancel := context.WithDeadline(ctx, p.Deadline)
	x := &execution[R]{
		retrier: r, policy: p, service: r.service(p.Service), ctx: ctx, cancel: cancel, attempts: a,
		latency: r.service(p.Service).latency(p.Route),
		results: make(chan result[R], r.MaxAttempts+r.MaxRedirects+1),
	}
	if p.Inner {
		x.service.calledAt.Store(time.Now().UnixNano())
	}
	if p.Repeat {
		x.service.budget.charge(-maxDebt * r.maxBudget())
	} else {
		x.service.budget.deposit(r.ratio(), r.maxBudget())
	}
	return x.run()
}

// ratio returns what each request adds to the budget, in extra attempts.
func (r *Retrier) ratio() float64 {
	if r.CurrentRatio != nil {
		return r.CurrentRatio()
	}
	return r.Ratio
}

func (r *Retrier) busy(service string) bool { return r.Busy != nil && r.Busy(service) }

// maxBudget returns the upper bound of a service's budget, in extra attempts.
func (r *Retrier) maxBudget() float64 {
	if r.NodeBudget != nil {
		return r.NodeBudget()
	}
	return r.MaxBudget
}

// AffordsRepeat reports whether the target of this VM may run a request once more:
// no service that it calls meanwhile is in debt for the repeats which that makes of
// its calls.
func (r *Retrier) AffordsRepeat() bool {
	since := time.Now().Add(-callMemory).UnixNano()
	for i := range r.shards {
		s := &r.shards[i]
		s.mu.Lock()
		for _, v := range s.services {
			if v.calledAt.Load() > since && v.budget.balance() < 0 {
				s.mu.Unlock()
				return false
			}
		}
		s.mu.Unlock()
	}
	return true
}

// service returns the state of a service, and creates it if necessary.
func (r *Retrier) service(name string) *serviceState {
	s := &r.shards[maphash.String(r.seed, name)%shardCount]
	s.mu.Lock()
	defer s.mu.Unlock()
	v, ok := s.services[name]
	if ok {
		return v
	}
	if s.services == nil {
		s.services = map[string]*serviceState{}
	}
	v = &serviceState{budget: budget{tokens: min(r.InitialBudget, r.maxBudget())}}
	s.services[name] = v
	return v
}

// TypicalLatency returns the latency within which quantile of the recent
// successful responses of a route came, or fallback without enough of them.
func (r *Retrier) TypicalLatency(service, route string, quantile float64, fallback time.Duration) time.Duration {
	if d, ok := r.service(service).latency(route).quantile(quantile, r.HedgeMinSamples); ok {
		return d
	}
	return fallback
}

// hedgeDelay returns the delay before a hedge, or false for no hedge. Without
// enough samples the delay is the expected latency, if that is known.
func (r *Retrier) hedgeDelay(h *latencyHistogram, expected time.Duration) (time.Duration, bool) {
	if r.HedgeQuantile == 0 {
		return 0, false
	}
	d, ok := h.quantile(r.HedgeQuantile, r.HedgeMinSamples)
	if !ok && expected > 0 {
		d, ok = expected, true
	}
	return max(d, r.MinHedgeDelay), ok
}

// backoff returns the pause before a retry; retries are numbered from 1. The
// first one starts at once.
func (r *Retrier) backoff(retryNumber int) time.Duration {
	if retryNumber < 2 {
		return 0
	}
	mean := r.Backoff << min(retryNumber-2, 10)
	return time.Duration(2 * r.Rand() * float64(mean))
}
