package retrier

import (
	"sync"
	"time"
)

// budget is a token bucket: each request deposits a fraction of a token and
// each extra attempt withdraws a whole one.
type budget struct {
	mu     sync.Mutex
	tokens float64
	// refilledAt is when refill was last called.
	refilledAt time.Time
}

// refill adds the tokens of the time that has passed, up to maxTokens.
func (b *budget) refill(now time.Time, perSecond, maxTokens float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.refilledAt.IsZero() {
		b.tokens = min(b.tokens+perSecond*now.Sub(b.refilledAt).Seconds(), max(maxTokens, b.tokens))
	}
	b.refilledAt = now
}

// deposit adds the tokens of one request, up to maxTokens.
func (b *budget) deposit(ratio, maxTokens float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+ratio, maxTokens)
}

// withdraw takes the token for one extra attempt. It reports whether there was
// one.
func (b *budget) withdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

func (b *budget) balance() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.tokens
}
