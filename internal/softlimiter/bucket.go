package softlimiter

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// bucketIdleTimeout is how long the bucket of a workspace without requests
	// is kept.
	bucketIdleTimeout = time.Minute
	// maxRetryAfter bounds the retry-after of a refused request.
	maxRetryAfter = 5 * time.Second
	shardCount    = 16
)

type shard struct {
	mu      sync.Mutex
	buckets map[string]*bucket
}

// bucket holds the tokens of one workspace at a node that grants them.
type bucket struct {
	// tokens is the token count at updatedAt, at most the burst. It starts
	// below zero if another node may still be granting.
	tokens    float64
	updatedAt time.Time
	// pendingRetries is the estimated number of refused requests that were
	// given a retry-after and have not retried yet.
	pendingRetries float64
	// opened is closed once tokens is known. Nil means that it is.
	opened chan struct{}
	// claimedAt is when this node last claimed the workspace, and claiming is set
	// while it does so. limited is set while another node may have taken over;
	// isolated then holds the tokens of the part that this node grants.
	claimedAt time.Time
	claiming  bool
	limited   bool
	isolated  *bucket
}

func (l *Limiter) shardOf(key string) *shard { return &l.shards[xxhash.Sum64String(key)%shardCount] }

// add adds a bucket, and removes idle ones. The caller holds the lock.
func (s *shard) add(key string, b *bucket) *bucket {
	if s.buckets == nil {
		s.buckets = map[string]*bucket{}
	}
	for idle, old := range s.buckets {
		if b.updatedAt.Sub(old.updatedAt) > bucketIdleTimeout {
			delete(s.buckets, idle)
		}
	}
	s.buckets[key] = b
	return b
}

// limits returns the rate and burst of a workspace by which this node grants.
func (l *Limiter) limits(workspace string) (rate, burst float64, ok bool) {
	rate, tokens, ok := l.Limit(workspace)
	fraction := l.fraction(time.Now())
	return rate * fraction, float64(tokens) * fraction, ok
}

// fraction returns the fraction of the rate that this node's side may grant. One
// that has just started goes by the node that it took over from, since it does not
// know which members were running.
func (l *Limiter) fraction(now time.Time) float64 {
	own := l.ReachableFraction()
	if now.Sub(l.Started) >= membershipSettleTime {
		return own
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return max(own, l.lentFraction)
}

// grantPart takes a token from the bucket of a workspace with the suffix, which
// has a part of the rate and burst and starts with one token at most.
func (l *Limiter) grantPart(workspace, suffix string, part float64, now time.Time) *Reply {
	rate, burst, ok := l.limits(workspace)
	if !ok {
		return &Reply{RetryAfter: time.Second}
	}
	key := workspace + suffix
	s := l.shardOf(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.buckets[key]
	if b == nil {
		b = s.add(key, &bucket{tokens: min(1, burst*part), updatedAt: now})
	}
	return b.take(now, rate*part, burst*part)
}

// take refills the bucket and takes a token.
func (b *bucket) take(now time.Time, rate, burst float64) *Reply {
	b.refill(now, rate, max(burst, 1))
	if b.tokens >= 1 {
		b.tokens--
		return &Reply{Granted: true}
	}
	return &Reply{RetryAfter: b.scheduleRetry(rate)}
}

func (b *bucket) refill(now time.Time, rate, burst float64) {
	added := max(now.Sub(b.updatedAt).Seconds(), 0) * rate
	b.tokens = min(b.tokens+added, burst)
	b.pendingRetries = max(b.pendingRetries-added, 0)
	b.updatedAt = now
}

// scheduleRetry returns the retry-after of a refused request. Each one is
// queued after those refused before, so that they do not all retry at once.
func (b *bucket) scheduleRetry(rate float64) time.Duration {
	b.pendingRetries++
	seconds := (b.pendingRetries + 1 - b.tokens) / max(rate, 1e-3) * (0.9 + 0.2*rand.Float64())
	return min(time.Duration(seconds*float64(time.Second)), maxRetryAfter)
}
