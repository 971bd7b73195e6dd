package retrier

import "sync"

// budget is a token bucket: each request deposits a fraction of a token and
// each extra attempt withdraws a whole one.
type budget struct {
	mu     sync.Mutex
	tokens float64
}

// deposit adds the tokens of one request, up to maxTokens.
func (b *budget) deposit(ratio, maxTokens float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+ratio, maxTokens)
}

// charge takes the token of an extra attempt that was not decided here, down to
// minTokens.
func (b *budget) charge(minTokens float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = max(b.tokens-1, min(b.tokens, minTokens))
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
