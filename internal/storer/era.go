package storer

import (
	"errors"
	"fmt"
	"strconv"
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

// firstEra is the era of a store that was never restored.
const firstEra = 1

// Restored reports whether the store was ever restored, as far as replies tell. A
// nil tracker knows of no restoration.
func (t *EraTracker) Restored() bool { return t != nil && t.Current() > firstEra }

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

// ErrRestored is returned if the store was restored from an older copy during a
// call. It is unknown what the call did.
var ErrRestored = errors.New("storer: the store was restored during the call")

// revisionBits is how many bits of a Version hold the store's revision. The bits
// above hold the era, so that versions of different eras differ although the
// restored store gives out the same revisions again.
const revisionBits = 44

// Version returns the Version of a key that was last written at a revision of an
// era, or 0 for revision 0.
func Version(era, revision uint64) uint64 {
	if revision == 0 {
		return 0
	}
	return era<<revisionBits | revision
}

// EraOf returns the era in a Version, or 0 for version 0.
func EraOf(version uint64) uint64 {
	era, _ := splitVersion(version)
	return era
}

// Revision returns the store's revision in a Version.
func Revision(version uint64) uint64 {
	_, revision := splitVersion(version)
	return revision
}

func splitVersion(version uint64) (era, revision uint64) {
	return version >> revisionBits, version & (1<<revisionBits - 1)
}

// Swap makes a write under the condition that a key is at version, for a store
// that compares revisions only. write makes it with the revision and returns the
// era of the reply with the key's revision after the write or, with ErrConflict,
// at present. get returns the version at present; it takes the place of the write
// if version is of an earlier era.
func (t *EraTracker) Swap(version uint64, get func() (uint64, error), write func(revision uint64) (era, current uint64, err error)) (uint64, error) {
	era, revision := splitVersion(version)
	if version != 0 && era != t.Current() {
		current, err := get()
		if err == nil {
			err = ErrConflict
		}
		return current, err
	}
	replyEra, current, err := write(revision)
	if err == nil && version != 0 && replyEra != era {
		return 0, ErrRestored
	}
	return Version(replyEra, current), err
}

// ParseEra observes the era that a reply has as text and returns it. A reply
// without one is of the last known era.
func (t *EraTracker) ParseEra(text string) (uint64, error) {
	if text == "" {
		return t.Current(), nil
	}
	era, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, fmt.Errorf("storer: era of a reply: %w", err)
	}
	return era, t.Observe(era)
}
