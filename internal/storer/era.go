package storer

import (
	"errors"
	"fmt"
	"sync"
)

// ErrOutdatedReply is returned for a reply from before the store's last known
// restoration. What it says no longer holds.
var ErrOutdatedReply = errors.New("storer: reply is from before the store was restored")

// EraTracker follows the era of the store, which rises each time the store is
// restored from an older copy. Set the exported field before the first call.
type EraTracker struct {
	// OnAdvance is called with each higher era that a reply has, the first one
	// included. It must not block. It may be nil.
	OnAdvance func(previous, era uint64)

	mu      sync.Mutex
	current uint64
}

// Current returns the highest era seen in a reply, or 0 if none had one.
func (t *EraTracker) Current() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.current
}

// Observe records the era of a reply; 0 means that the reply has none. It returns
// ErrOutdatedReply if a reply of a higher era came before.
func (t *EraTracker) Observe(era uint64) error {
	t.mu.Lock()
	previous := t.current
	t.current = max(t.current, era)
	t.mu.Unlock()
	switch {
	case era != 0 && era < previous:
		return fmt.Errorf("%w: era %d, known %d", ErrOutdatedReply, era, previous)
	case era > previous && t.OnAdvance != nil:
		t.OnAdvance(previous, era)
	}
	return nil
}
