// Package faker provides fakes of what surrounds the fleet: the platform's
// store, targets and the network. Each can inject faults.
package faker

import (
	"context"
	"errors"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/zinniaproxy/zinniaproxy/internal/storer"
)

// ErrStoreDown is returned by calls while StoreFaults.Down is set.
var ErrStoreDown = errors.New("faker: store is down")

// ErrReplyLost is returned by writes that took effect while
// StoreFaults.LoseReplies is set.
var ErrReplyLost = errors.New("faker: reply lost")

// StoreFaults are the injected faults of a fake store.
type StoreFaults struct {
	// Down fails every call with ErrStoreDown.
	Down bool `json:"down"`
	// Slow is a delay added to every call; nanoseconds in JSON.
	Slow time.Duration `json:"slow"`
	// LoseReplies applies writes but fails them with ErrReplyLost.
	LoseReplies bool `json:"lose"`
	// Deaf makes watches return changes only at the end of their wait.
	Deaf bool `json:"deaf"`
}

// StoreCounts counts the calls to a store.
type StoreCounts struct {
	// Reads counts Get, List and Watch; Writes counts Swap and Lease.
	Reads, Writes int
}

type storedValue struct {
	value   []byte
	version uint64
	lease   string
}

// Store is an in-memory fake of the platform's store. Client returns a client
// for it.
type Store struct {
	mu            sync.Mutex
	values        map[string]storedValue
	leaseExpiries map[string]time.Time
	lastVersion   uint64
	faults        StoreFaults
	counts        StoreCounts
	changed       chan struct{}
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{values: map[string]storedValue{}, leaseExpiries: map[string]time.Time{}, changed: make(chan struct{})}
}

// SetFaults replaces the injected faults.
func (s *Store) SetFaults(f StoreFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.notifyWatchers()
}

// Faults returns the injected faults.
func (s *Store) Faults() StoreFaults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// Counts returns the number of calls so far.
func (s *Store) Counts() StoreCounts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// ExpireLease expires a lease at once, as if its holder had been paused.
func (s *Store) ExpireLease(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaseExpiries[id] = time.Time{}
	s.removeExpired()
}

// Client returns a store client that calls s directly.
func (s *Store) Client() *storer.Store {
	return &storer.Store{Get: s.get, Swap: s.swap, List: s.list, Watch: s.watch, Lease: s.lease}
}

func (s *Store) notifyWatchers() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// beginCall counts the call and applies the faults Slow and Down.
func (s *Store) beginCall(ctx context.Context, write bool) error {
	s.mu.Lock()
	if write {
		s.counts.Writes++
	} else {
		s.counts.Reads++
	}
	f := s.faults
	s.mu.Unlock()
	if f.Slow > 0 {
		select {
		case <-time.After(f.Slow):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	if f.Down {
		return ErrStoreDown
	}
	return ctx.Err()
}

// removeExpired removes the keys of expired leases. The caller holds mu.
func (s *Store) removeExpired() {
	now := time.Now()
	removed := false
	for k, v := range s.values {
		if v.lease != "" && !now.Before(s.leaseExpiries[v.lease]) {
			delete(s.values, k)
			removed = true
		}
	}
	if removed {
		s.notifyWatchers()
	}
}

func (s *Store) entry(key string) storer.Entry {
	v, ok := s.values[key]
	if !ok {
		return storer.Entry{Key: key}
	}
	return storer.Entry{Key: key, Value: v.value, Version: v.version}
}

func (s *Store) get(ctx context.Context, key string) (storer.Entry, error) {
	if err := s.beginCall(ctx, false); err != nil {
		return storer.Entry{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeExpired()
	return s.entry(key), nil
}

func (s *Store) swap(ctx context.Context, key string, value []byte, version uint64, lease string) (uint64, error) {
	if err := s.beginCall(ctx, true); err != nil {
		return 0, err
	}
	if len(value) > storer.MaxValueBytes {
		return 0, errors.New("faker: value exceeds storer.MaxValueBytes")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeExpired()
	if s.values[key].version != version {
		return s.values[key].version, storer.ErrConflict
	}
	if lease != "" && !time.Now().Before(s.leaseExpiries[lease]) {
		return 0, storer.ErrNoLease
	}
	s.lastVersion++
	if value == nil {
		delete(s.values, key)
	} else {
		s.values[key] = storedValue{value: append([]byte{}, value...), version: s.lastVersion, lease: lease}
	}
	s.notifyWatchers()
	if s.faults.LoseReplies {
		return 0, ErrReplyLost
	}
	return s.lastVersion, nil
}

func (s *Store) list(ctx context.Context, prefix string) ([]storer.Entry, error) {
	if err := s.beginCall(ctx, false); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeExpired()
	var out []storer.Entry
	for k := range s.values {
		if strings.HasPrefix(k, prefix) {
			out = append(out, s.entry(k))
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
	return out, nil
}

func (s *Store) watch(ctx context.Context, key string, version uint64, wait time.Duration) (storer.Entry, error) {
	if err := s.beginCall(ctx, false); err != nil {
		return storer.Entry{}, err
	}
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	for {
		s.mu.Lock()
		s.removeExpired()
		e, f, changed := s.entry(key), s.faults, s.changed
		s.mu.Unlock()
		if f.Down {
			return storer.Entry{}, ErrStoreDown
		}
		if e.Version != version && !f.Deaf {
			return e, nil
		}
		select {
		case <-changed:
		case <-timeout.C:
			return e, nil
		case <-ctx.Done():
			return storer.Entry{}, ctx.Err()
		}
	}
}

func (s *Store) lease(ctx context.Context, id string, ttl time.Duration) error {
	if err := s.beginCall(ctx, true); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeExpired()
	s.leaseExpiries[id] = time.Now().Add(ttl)
	if s.faults.LoseReplies {
		return ErrReplyLost
	}
	return nil
}
