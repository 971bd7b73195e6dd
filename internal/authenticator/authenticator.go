// Package authenticator decides whether a node may accept keys. A withdrawn key
// must stop working within seconds even on a node that has not received the
// change, and keys must keep working when no node can reach the store.
package authenticator

import (
	"context"
	"sync"
	"time"

	"github.com/zinniaproxy/zinniaproxy/internal/indexer"
	"github.com/zinniaproxy/zinniaproxy/internal/prober"
)

const (
	// MaxConfirmationAge bounds the age of the last confirmation that the
	// configuration in force is the newest one.
	MaxConfirmationAge = prober.MaxStampAge
	// checkInterval is how often Run looks for a confirmation.
	checkInterval = 100 * time.Millisecond
)

// Authenticator tracks when the configuration in force was last confirmed to be
// the newest one. Set the exported fields before use.
type Authenticator struct {
	// Index returns the configuration in force, nil before there is one.
	Index func() *indexer.Index
	// AcceptUnconfirmed accepts keys by the configuration in force even while
	// nothing confirms that it is the newest one.
	AcceptUnconfirmed bool
	// NewestStamp returns the newest stamp, with the highest configuration
	// number received so far.
	NewestStamp func() prober.Stamp

	mu sync.Mutex
	// confirmedAt is the latest time at which a stamp confirmed that no
	// configuration had a higher number than the one in force.
	confirmedAt time.Time
}

// Run looks for confirmations until ctx ends, so that a node without requests
// also knows when its configuration was last confirmed.
func (a *Authenticator) Run(ctx context.Context) error {
	tick := time.NewTicker(checkInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
			a.MayAcceptKeys()
		}
	}
}

// MayAcceptKeys reports whether keys may be accepted: the configuration in force
// was confirmed as the newest one within MaxConfirmationAge, or
// AcceptUnconfirmed is set. A confirmation is a stamp from the store or, while
// no node reaches the store, from a majority of the fleet. Call it for each
// request, since a connection may outlive the confirmation.
func (a *Authenticator) MayAcceptKeys() bool {
	x, s, now := a.Index(), a.NewestStamp(), time.Now()
	if x == nil || a.AcceptUnconfirmed {
		return x != nil
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if at := now.Add(-s.Age); s.Age <= MaxConfirmationAge && x.Number >= s.Config && at.After(a.confirmedAt) {
		a.confirmedAt = at
	}
	return age(a.confirmedAt, now) <= MaxConfirmationAge
}

// age returns the time since at by the monotonic or the wall clock, whichever
// advanced more: the monotonic clock may stop while a VM is suspended.
func age(at, now time.Time) time.Duration {
	return max(now.Sub(at), now.Round(0).Sub(at.Round(0)))
}
