package attemptsender

import (
	"sync"
	"time"

	"github.com/zinniaproxy/zinniaproxy/internal/messenger"
	"github.com/zinniaproxy/zinniaproxy/internal/retrier"
	"github.com/zinniaproxy/zinniaproxy/pkg/coder"
)

// Attempt is one attempt of a request.
type Attempt struct {
	// ID identifies the attempt.
	ID string
	// Target is the name of the chosen target, Node that of its exit node.
	Target, Node string
	// Epoch identifies the process of Node that the call was sent to. It is 0 if
	// the call was not sent over a link.
	Epoch uint64
	// Sent is when the call was queued on the link.
	Sent time.Time
}

// Attempts are the attempts of one request, which may run concurrently.
type Attempts struct {
	mu   sync.Mutex
	list []Attempt
}

// pick chooses a target other than the ones tried so far, and adds the attempt. If
// there is no other, it chooses among all: the link may have failed rather than the
// target.
func (a *Attempts) pick(id string, choose func(tried []string) (messenger.Target, error)) (messenger.Target, error) {
	tried := a.triedTargets()
	t, err := choose(tried)
	if err != nil && len(tried) > 0 && coder.Of(err).Code == coder.NoTarget {
		t, err = choose(nil)
	}
	if err == nil {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.list = append(a.list, Attempt{ID: id, Target: t.Name, Node: t.Node})
	}
	return t, err
}

// maxTried bounds the targets that the next attempt avoids: a request that waits
// for capacity asks a target again after some others. It is the number of attempts
// that a request which does not wait can have made before its last one.
const maxTried = retrier.DefaultMaxAttempts + retrier.DefaultMaxRedirects - 1

// triedTargets returns the names of the targets tried last.
func (a *Attempts) triedTargets() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	recent := a.list[max(len(a.list)-maxTried, 0):]
	tried := make([]string, len(recent))
	for i := range recent {
		tried[i] = recent[i].Target
	}
	return tried
}

// markSent records the process that an attempt was sent to, and the time.
func (a *Attempts) markSent(id string, epoch uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for i := range a.list {
		if a.list[i].ID == id {
			a.list[i].Epoch, a.list[i].Sent = epoch, time.Now()
		}
	}
}

// Find returns the attempt with the given ID.
func (a *Attempts) Find(id string) (Attempt, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, attempt := range a.list {
		if attempt.ID == id {
			return attempt, true
		}
	}
	return Attempt{}, false
}
