// Package storer defines the interface to the platform's key-value store and an
// HTTP client for the fake store. Apart from that fake, no other package uses the
// protocol.
package storer

import (
	"context"
	"errors"
	"time"
)

// MaxValueBytes is the largest value that the platform's store accepts, in
// bytes.
const MaxValueBytes = 1 << 20

// Errors of a Store. After any other error it is unknown whether a write took
// effect.
var (
	// ErrConflict is returned by Swap if the key is not at the given version.
	ErrConflict = errors.New("storer: version conflict")
	// ErrNoLease is returned if the named lease has expired.
	ErrNoLease = errors.New("storer: no such lease")
)

// Entry is one key with its value and version.
type Entry struct {
	// Key is a path such as "config/head".
	Key string
	// Value has at most MaxValueBytes bytes. It is shared: do not modify it.
	Value []byte
	// Version increases with each write of the key; 0 means that the key does
	// not exist. After a restoration of the store it is above all earlier ones.
	Version uint64
}

// Store is a client of the platform's store. Its fields can be replaced: an HTTP
// client sets them, and tests wrap them to drop, delay or reject calls.
type Store struct {
	// Get returns the entry of a key, with version 0 if it does not exist.
	Get func(ctx context.Context, key string) (Entry, error)
	// Swap writes value if the key is at version (0: does not exist) and returns
	// the new version, or the present one with ErrConflict. A nil value deletes
	// the key. A key with a lease other than "" is deleted when the lease expires.
	Swap func(ctx context.Context, key string, value []byte, version uint64, lease string) (uint64, error)
	// List returns all entries below a prefix, sorted by key.
	List func(ctx context.Context, prefix string) ([]Entry, error)
	// Watch waits until the key's version differs from version and returns the
	// entry. After wait it returns the unchanged entry.
	Watch func(ctx context.Context, key string, version uint64, wait time.Duration) (Entry, error)
	// Lease grants or renews a lease. The store deletes the keys of an expired
	// lease.
	Lease func(ctx context.Context, id string, ttl time.Duration) error
	// Eras follows the restorations of the store from an older copy.
	Eras *EraTracker
}
