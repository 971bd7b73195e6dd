package admitter

import (
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/zinniaproxy/zinniaproxy/pkg/coder"
)

const (
	// paceBurstSeconds is the burst of a pacer, in seconds of its rate.
	paceBurstSeconds = 0.5
	// maxPaceWait bounds how long a call waits until its start keeps the rate of
	// a pacer.
	maxPaceWait = 250 * time.Millisecond
)

// pacer limits how many calls start per second. The zero value sets no limit.
type pacer struct {
	mu sync.Mutex
	// limiter is nil without a limit.
	limiter *rate.Limiter
}

// setRate sets the limit of calls per second; 0 means none. The burst is half of
// a second's calls, so that no second exceeds the limit by more than half. A new
// limit starts with a single call: those that started before it count too.
func (p *pacer) setRate(perSecond float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if perSecond <= 0 {
		p.limiter = nil
		return
	}
	burst := max(int(perSecond*paceBurstSeconds), 1)
	if p.limiter == nil {
		p.limiter = rate.NewLimiter(rate.Limit(perSecond), burst)
		p.limiter.AllowN(time.Now(), burst-1)
		return
	}
	p.limiter.SetLimit(rate.Limit(perSecond))
	p.limiter.SetBurst(burst)
}

// current returns the limiter, or nil without a limit.
func (p *pacer) current() *rate.Limiter {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.limiter
}

// delay returns how long a call that arrives now would wait.
func (p *pacer) delay() time.Duration {
	l := p.current()
	if l == nil {
		return 0
	}
	missing := 1 - l.Tokens()
	return max(time.Duration(missing/float64(l.Limit())*float64(time.Second)), 0)
}

// awaitStart waits until a call may start by all pacers, for at most maxPaceWait.
// A call that check refuses takes nothing of their rates. Errors are *coder.Error.
func awaitStart(ctx context.Context, check func() error, pacers ...*pacer) error {
	limiters := currentLimiters(pacers)
	if len(limiters) == 0 {
		return nil
	}
	if check != nil {
		if err := check(); err != nil {
			return err
		}
	}
	var reservations []*rate.Reservation
	wait := time.Duration(0)
	for _, l := range limiters {
		r := l.Reserve()
		reservations, wait = append(reservations, r), max(wait, r.Delay())
	}
	err := sleepUntilStart(ctx, wait)
	if err != nil {
		for _, r := range reservations {
			r.Cancel()
		}
	}
	return err
}

// currentLimiters returns the limiters of the pacers that set a limit.
func currentLimiters(pacers []*pacer) (limiters []*rate.Limiter) {
	for _, p := range pacers {
		if l := p.current(); l != nil {
			limiters = append(limiters, l)
		}
	}
	return limiters
}

// sleepUntilStart waits, or returns why the call does not start.
func sleepUntilStart(ctx context.Context, wait time.Duration) error {
	switch {
	case wait == 0:
		return nil
	case wait > maxPaceWait:
		return coder.New(coder.QueueTimeout, "the target's limit of calls per second is reached").WithAfter(wait)
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		if ctx.Err() == context.DeadlineExceeded {
			return coder.New(coder.DeadlineBefore, "while waiting for the target's limit of calls per second")
		}
		return coder.New(coder.Canceled, "while waiting for the target's limit of calls per second")
	}
}
