// Package retrier decides at the entry node whether a request is tried again
// or hedged. A request that may not be repeated is tried again only after a
// proof that it did not run.
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
	// DefaultRatio is how many extra attempts each request pays for.
	DefaultRatio = 0.19
	// DefaultReserve is how many extra attempts a service starts with.
	DefaultReserve = 10
	// DefaultLimit is how many extra attempts a service may save up.
	DefaultLimit = 50
	// DefaultTries bounds the attempts of one request.
	DefaultTries = 3
	// DefaultRedirects bounds the redirected attempts of one request.
	DefaultRedirects = 3
	// DefaultQuantile is the share of answers that are not hedged.
	DefaultQuantile = 0.9
	// DefaultLeast is how many answers the quantile needs.
	DefaultLeast = 20
	// DefaultPeriod is half of the time that latencies are kept for.
	DefaultPeriod = 30 * time.Second
	// DefaultMinHedge is the shortest delay of a hedge.
	DefaultMinHedge = time.Millisecond
	// DefaultBackoff is the mean pause before the second repeat. It doubles
	// with each further one.
	DefaultBackoff = 10 * time.Millisecond

	// settleTime is how long attempts in flight may take to tell how they
	// ended, after the end of the request.
	settleTime = 10 * time.Millisecond
	shardCount = 32
)

// service is what is kept of one service.
type service struct {
	budget budget

	mu sync.Mutex
	// routes holds the latencies by route.
	routes map[string]*latency
}

// latency returns what is kept of a route.
func (s *service) latency(route string) *latency {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.routes[route]
	if l == nil {
		if s.routes == nil {
			s.routes = map[string]*latency{}
		}
		l = &latency{}
		s.routes[route] = l
	}
	return l
}

type shard struct {
	mu       sync.Mutex
	services map[string]*service
}

// Counts are totals since the start.
type Counts struct {
	// Requests, Attempts, Hedges and Redirects count what was begun.
	Requests, Attempts, Hedges, Redirects int64
	// Denied counts extra attempts that the budget did not pay for.
	Denied int64
}

// Retrier holds the budgets and latencies of all services at one entry node.
type Retrier struct {
	// Ratio is how many extra attempts each request pays for, Reserve how many
	// a service starts with, and Limit how many it saves up.
	Ratio, Reserve, Limit float64
	// Earn returns how many extra attempts each request pays for now. It takes
	// the place of Ratio, unless nil.
	Earn func() float64
	// Share returns this node's part of the extra attempts that a service may
	// have over the fleet. It takes the place of Reserve and Limit, unless nil.
	Share func() float64
	// Tries bounds the attempts of a request, Redirects those that a leaving
	// target or node sent elsewhere.
	Tries, Redirects int
	// Quantile of the latency is the delay of a hedge, once there are Least
	// answers; 0 turns hedging off. It is never below MinHedge.
	Quantile float64
	Least    int
	MinHedge time.Duration
	// Period is half of the time that latencies are kept for.
	Period time.Duration
	// Backoff is the mean pause before the second repeat; it doubles.
	Backoff time.Duration
	// Busy tells that the targets of a service are nearly full, so that a hedge
	// would take a slot from another request. Nil means never.
	Busy func(service string) bool
	// Settle is the pause after the first refusal for want of room or of a
	// sound target; each further one is longer by as much. 0 is none.
	Settle time.Duration
	// Rand returns a number in [0, 1).
	Rand func() float64

	seed                                             maphash.Seed
	shards                                           [shardCount]shard
	requests, attempts, hedges, redirections, denied atomic.Int64
}

// New returns a retrier with the defaults.
func New() *Retrier {
	return &Retrier{
		Ratio: DefaultRatio, Reserve: DefaultReserve, Limit: DefaultLimit,
		Tries: DefaultTries, Redirects: DefaultRedirects,
		Quantile: DefaultQuantile, Least: DefaultLeast, MinHedge: DefaultMinHedge,
		Period: DefaultPeriod, Backoff: DefaultBackoff, Rand: rand.Float64,
		seed: maphash.MakeSeed(),
	}
}

// Counts returns the totals.
func (r *Retrier) Counts() Counts {
	return Counts{
		Requests: r.requests.Load(), Attempts: r.attempts.Load(), Hedges: r.hedges.Load(),
		Redirects: r.redirections.Load(), Denied: r.denied.Load(),
	}
}

// Left returns how many extra attempts the budgets of all services pay for now.
func (r *Retrier) Left() (tokens float64) {
	for i := range r.shards {
		s := &r.shards[i]
		s.mu.Lock()
		for _, v := range s.services {
			tokens += v.budget.left()
		}
		s.mu.Unlock()
	}
	return tokens
}

// Attempts is how a request is tried.
type Attempts[R any] struct {
	// Try makes one attempt; tries are numbered from 0.
	Try func(ctx context.Context, try int) (R, error)
	// Discard closes an answer that nobody will read.
	Discard func(R)
	// Weak tells whether an answer reports a failure, so that another attempt
	// at an idempotent request is worth its cost. Nil means that none does.
	Weak func(R) bool
}

// Do makes the attempts of one request until one answers, the policy or the
// budget ends them, or ctx or the deadline does. The context of the attempt
// whose answer is returned stays in force until ctx ends, so that its body can
// be read; the other attempts are cancelled and their answers discarded. The
// error is a *coder.Error, and it says "not run" only when none of the
// attempts may have run.
func Do[R any](ctx context.Context, r *Retrier, p Policy, a Attempts[R]) (R, error) {
	r.requests.Add(1)
	ctx, cancel := context.WithDeadline(ctx, p.Deadline)
	f := &flight[R]{
		retrier: r, policy: p, service: r.service(p.Service), ctx: ctx, cancel: cancel, attempts: a,
		latency: r.service(p.Service).latency(p.Route),
		results: make(chan result[R], r.Tries+r.Redirects+1),
	}
	f.service.budget.earn(r.ratio(), r.limit())
	return f.run()
}

// ratio returns how many extra attempts each request pays for.
func (r *Retrier) ratio() float64 {
	if r.Earn != nil {
		return r.Earn()
	}
	return r.Ratio
}

func (r *Retrier) busy(service string) bool { return r.Busy != nil && r.Busy(service) }

// limit returns how many extra attempts a service may save up.
func (r *Retrier) limit() float64 {
	if r.Share != nil {
		return r.Share()
	}
	return r.Limit
}

func (r *Retrier) service(name string) *service {
	s := &r.shards[maphash.String(r.seed, name)%shardCount]
	s.mu.Lock()
	defer s.mu.Unlock()
	v, ok := s.services[name]
	if ok {
		return v
	}
	if s.services == nil {
		s.services = map[string]*service{}
	}
	v = &service{budget: budget{tokens: min(r.Reserve, r.limit())}}
	s.services[name] = v
	return v
}

// hedgeAfter returns the delay of a hedge, or false when there is to be none.
func (r *Retrier) hedgeAfter(l *latency, usual time.Duration) (time.Duration, bool) {
	if r.Quantile == 0 {
		return 0, false
	}
	d, ok := l.quantile(r.Quantile, r.Least)
	if !ok && usual > 0 {
		d, ok = usual, true
	}
	return max(d, r.MinHedge), ok
}

// pause returns the backoff before the repeat of that number. The first repeat
// goes to another target at once.
func (r *Retrier) pause(repeat int) time.Duration {
	if repeat < 2 {
		return 0
	}
	mean := r.Backoff << min(repeat-2, 10)
	return time.Duration(2 * r.Rand() * float64(mean))
}
