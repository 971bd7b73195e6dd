package retrier

import "sync"

// budget is a token bucket that requests fill and extra attempts empty.
type budget struct {
	mu     sync.Mutex
	tokens float64
}

// earn adds the share of one request.
func (b *budget) earn(ratio, limit float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+ratio, limit)
}

// spend takes one extra attempt, if there is one left.
func (b *budget) spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

func (b *budget) left() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.tokens
}
