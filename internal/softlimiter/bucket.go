package softlimiter

import (
	"math/rand/v2"
	"sync"
	"time"
)

type shard struct {
	mu      sync.Mutex
	buckets map[string]*bucket
}

// bucket holds the tokens of one workspace at the node that grants them.
type bucket struct {
	// tokens is the token count at updatedAt, at most the burst. It starts
	// below zero if another node may still be granting.
	tokens    float64
	updatedAt time.Time
	// pendingRetries is the estimated number of refused requests that were
	// given a retry-after and have not retried yet.
	pendingRetries float64
}

func (s *shard) bucket(key string, initial float64, now time.Time) *bucket {
	if b := s.buckets[key]; b != nil {
		return b
	}
	if s.buckets == nil {
		s.buckets = map[string]*bucket{}
	}
	for idle, b := range s.buckets {
		if now.Sub(b.updatedAt) > bucketIdleTimeout {
			delete(s.buckets, idle)
		}
	}
	b := &bucket{tokens: initial, updatedAt: now}
	s.buckets[key] = b
	return b
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
