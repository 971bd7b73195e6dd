package leaverecorder

import (
	"context"
	"errors"
	"time"

	"github.com/zinniaproxy/zinniaproxy/internal/messenger"
	"github.com/zinniaproxy/zinniaproxy/internal/storer"
)

const (
	// leaseTTL is the time to live of the lease, which the node renews with its
	// record.
	leaseTTL = 20 * time.Minute
	// loadTimeout bounds one read of the store.
	loadTimeout = time.Second
	// minRetryInterval and maxRetryInterval bound the time between two tries,
	// which doubles while they fail.
	minRetryInterval = 200 * time.Millisecond
	maxRetryInterval = 8 * time.Second
	// maxWritesPerSecond and maxWriteBurst bound the writes of one node. Each write
	// has all leaves, so that those that wait share the next one.
	maxWritesPerSecond, maxWriteBurst = 5, 5
	// maxSaveTries bounds the writes of one save: for the present version, a lease
	// that has ended, and both together.
	maxSaveTries = 4
)

// errContended means that the key changed with each try to write it.
var errContended = errors.New("leaverecorder: the key is written by another process")

func (r *Recorder) key() string { return KeyPrefix + r.Node }

// save writes the leaves of this node to the store, unless it has them as of a change.
func (r *Recorder) save(ctx context.Context, upTo uint64) error {
	select {
	case r.saving <- struct{}{}:
		defer func() { <-r.saving }()
	case <-ctx.Done():
		return ctx.Err()
	}
	err := r.write(ctx, upTo)
	if err != nil {
		r.signal()
	}
	return err
}

// write is save for the holder of r.saving.
func (r *Recorder) write(ctx context.Context, upTo uint64) error {
	for range maxSaveTries {
		r.mu.Lock()
		r.own.prune(time.Now())
		change, saved, version, leaves := r.change, r.saved, r.version, r.own.list()
		r.mu.Unlock()
		if saved >= upTo {
			return nil
		}
		if err := r.pace.Wait(ctx); err != nil {
			return err
		}
		version, err := r.Store.Swap(ctx, r.key(), messenger.Encode(leaves), version, r.Lease)
		switch {
		case err == nil:
			r.mu.Lock()
			r.version, r.saved = version, change
			r.own.markDurable(leaves)
			r.mu.Unlock()
			return nil
		case errors.Is(err, storer.ErrConflict):
			err = r.load(ctx)
		case errors.Is(err, storer.ErrNoLease):
			err = r.Store.Lease(ctx, r.Lease, leaseTTL)
		}
		if err != nil {
			return err
		}
	}
	return errContended
}

// load reads the leaves that earlier processes of this node wrote.
func (r *Recorder) load(ctx context.Context) error {
	e, err := r.Store.Get(ctx, r.key())
	if err != nil {
		return err
	}
	var leaves []Leave
	if len(e.Value) > 0 {
		if err := messenger.Decode(e.Value, &leaves); err != nil {
			r.Log.Error(err, "leaves in the store cannot be read", "key", e.Key)
			leaves = nil // the next save replaces them
		}
	}
	r.mu.Lock()
	r.version = e.Version
	r.mu.Unlock()
	r.merge(leaves, storeSource)
	return nil
}

// loadFirst reads the store until that succeeds or ctx ends.
func (r *Recorder) loadFirst(ctx context.Context) {
	for interval := minRetryInterval; ctx.Err() == nil; interval = min(2*interval, maxRetryInterval) {
		late := time.AfterFunc(storeTimeout, func() { r.note(func() { r.storeTried = true }) })
		err := r.tryLoad(ctx)
		late.Stop()
		if err == nil {
			r.markLoaded()
			return
		}
		r.Log.V(1).Info("leaves not read", "error", err.Error())
		r.note(func() { r.storeTried = true })
		sleep(ctx, interval)
	}
}

// tryLoad is load with a timeout, apart from a save.
func (r *Recorder) tryLoad(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	select {
	case r.saving <- struct{}{}:
		defer func() { <-r.saving }()
	case <-ctx.Done():
		return ctx.Err()
	}
	return r.load(ctx)
}

// saveFailed writes what could not be written at once, until ctx ends.
func (r *Recorder) saveFailed(ctx context.Context) {
	interval := minRetryInterval
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.wake:
		}
		sleep(ctx, interval)
		tryCtx, cancel := context.WithTimeout(ctx, loadTimeout)
		err := r.save(tryCtx, r.latestChange())
		cancel()
		if err == nil {
			interval = minRetryInterval
			continue
		}
		r.Log.V(1).Info("leaves not written", "error", err.Error())
		interval = min(2*interval, maxRetryInterval)
	}
}

func (r *Recorder) latestChange() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.change
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
