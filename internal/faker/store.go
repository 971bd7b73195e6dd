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
	// era rises with each restoration; undo holds what reverts the latest changes,
	// oldest first.
	era  uint64
	undo []undoStep
}

// undoStep reverts one change of a store.
type undoStep struct {
	at     time.Time
	revert func(s *Store)
}

// maxCopyAge bounds the age of the copies that a store can be restored from.
const maxCopyAge = time.Minute

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{values: map[string]storedValue{}, leaseExpiries: map[string]time.Time{}, changed: make(chan struct{}), era: 1}
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

// Restore replaces the content by that of an earlier time, at most maxCopyAge ago.
// Later writes and leases are gone, their versions are given out again, and the
// era rises.
func (s *Store) Restore(copied time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.undo) > 0 && !s.undo[len(s.undo)-1].at.Before(copied) {
		s.undo[len(s.undo)-1].revert(s)
		s.undo = s.undo[:len(s.undo)-1]
	}
	s.undo = nil // a later restoration has no copy from before this one
	s.era++
	s.notifyWatchers()
}

// rememberKey keeps what reverts the next change of a key. The caller holds mu.
func (s *Store) rememberKey(key string) {
	version := s.lastVersion
	before, existed := s.values[key]
	if !existed {
		s.remember(func(s *Store) { delete(s.values, key); s.lastVersion = version })
		return
	}
	s.remember(func(s *Store) { s.values[key], s.lastVersion = before, version })
}

// rememberLease keeps what reverts the next change of a lease. The caller holds mu.
func (s *Store) rememberLease(id string) {
	before, existed := s.leaseExpiries[id]
	s.remember(func(s *Store) {
		if s.leaseExpiries[id] = before; !existed {
			delete(s.leaseExpiries, id)
		}
	})
}

func (s *Store) remember(revert func(s *Store)) {
	now := time.Now()
	for len(s.undo) > 0 && now.Sub(s.undo[0].at) > maxCopyAge {
		s.undo = s.undo[1:]
	}
	s.undo = append(s.undo, undoStep{now, revert})
}

// Client returns a store client that calls s directly.
func (s *Store) Client() *storer.Store {
	c := &storeClient{Store: s}
	return &storer.Store{Get: c.get, Swap: c.swap, List: c.list, Watch: c.watch, Lease: c.lease, Eras: &c.eras}
}

// storeClient is one client of a store. Like that of a real store it learns of a
// restoration by the replies.
type storeClient struct {
	*Store
	eras storer.EraTracker
}

func (c *storeClient) get(ctx context.Context, key string) (storer.Entry, error) {
	e, era, err := c.Store.get(ctx, key)
	return c.withVersion(e, era), c.observe(era, err)
}

// observe returns err, or the error of a reply of an earlier era.
func (c *storeClient) observe(era uint64, err error) error {
	if observed := c.eras.Observe(era); err == nil {
		return observed
	}
	return err
}

func (c *storeClient) withVersion(e storer.Entry, era uint64) storer.Entry {
	e.Version = storer.Version(era, e.Version)
	return e
}

func (c *storeClient) swap(ctx context.Context, key string, value []byte, version uint64, lease string) (uint64, error) {
	get := func() (uint64, error) {
		e, err := c.get(ctx, key)
		return e.Version, err
	}
	return c.eras.Swap(version, get, func(revision uint64) (uint64, uint64, error) {
		era, current, err := c.Store.swap(ctx, key, value, revision, lease)
		return era, current, c.observe(era, err)
	})
}

func (c *storeClient) list(ctx context.Context, prefix string) ([]storer.Entry, error) {
	entries, era, err := c.Store.list(ctx, prefix)
	for i := range entries {
		entries[i] = c.withVersion(entries[i], era)
	}
	return entries, c.observe(era, err)
}

func (c *storeClient) watch(ctx context.Context, key string, version uint64, wait time.Duration) (storer.Entry, error) {
	if e := storer.Version(c.eras.Current(), storer.Revision(version)); e != version {
		return c.get(ctx, key)
	}
	e, era, err := c.Store.watch(ctx, key, storer.Revision(version), wait)
	return c.withVersion(e, era), c.observe(era, err)
}

func (c *storeClient) lease(ctx context.Context, id string, ttl time.Duration) error {
	era, err := c.Store.lease(ctx, id, ttl)
	return c.observe(era, err)
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
			s.rememberKey(k)
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

func (s *Store) get(ctx context.Context, key string) (storer.Entry, uint64, error) {
	if err := s.beginCall(ctx, false); err != nil {
		return storer.Entry{}, 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeExpired()
	return s.entry(key), s.era, nil
}

func (s *Store) swap(ctx context.Context, key string, value []byte, version uint64, lease string) (era, current uint64, err error) {
	if err := s.beginCall(ctx, true); err != nil {
		return 0, 0, err
	}
	if len(value) > storer.MaxValueBytes {
		return 0, 0, errors.New("faker: value exceeds storer.MaxValueBytes")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeExpired()
	if s.values[key].version != version {
		return s.era, s.values[key].version, storer.ErrConflict
	}
	if lease != "" && !time.Now().Before(s.leaseExpiries[lease]) {
		return s.era, 0, storer.ErrNoLease
	}
	s.rememberKey(key)
	s.lastVersion++
	if value == nil {
		delete(s.values, key)
	} else {
		s.values[key] = storedValue{value: append([]byte{}, value...), version: s.lastVersion, lease: lease}
	}
	s.notifyWatchers()
	if s.faults.LoseReplies {
		return 0, 0, ErrReplyLost
	}
	return s.era, s.lastVersion, nil
}

func (s *Store) list(ctx context.Context, prefix string) ([]storer.Entry, uint64, error) {
	if err := s.beginCall(ctx, false); err != nil {
		return nil, 0, err
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
	return out, s.era, nil
}

func (s *Store) watch(ctx context.Context, key string, version uint64, wait time.Duration) (storer.Entry, uint64, error) {
	if err := s.beginCall(ctx, false); err != nil {
		return storer.Entry{}, 0, err
	}
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	s.mu.Lock()
	firstEra := s.era
	s.mu.Unlock()
	for {
		s.mu.Lock()
		s.removeExpired()
		e, f, changed, era := s.entry(key), s.faults, s.changed, s.era
		s.mu.Unlock()
		if f.Down {
			return storer.Entry{}, 0, ErrStoreDown
		}
		if era != firstEra || e.Version != version && !f.Deaf {
			return e, era, nil
		}
		select {
		case <-changed:
		case <-timeout.C:
			return e, era, nil
		case <-ctx.Done():
			return storer.Entry{}, 0, ctx.Err()
		}
	}
}

func (s *Store) lease(ctx context.Context, id string, ttl time.Duration) (uint64, error) {
	if err := s.beginCall(ctx, true); err != nil {
		return 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeExpired()
	s.rememberLease(id)
	s.leaseExpiries[id] = time.Now().Add(ttl)
	if s.faults.LoseReplies {
		return 0, ErrReplyLost
	}
	return s.era, nil
}
