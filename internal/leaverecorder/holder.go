package leaverecorder

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// holderCount is how many other nodes hold the leaves of a node, and minCopies
	// how many of them must have a leave that is not in the store. The nodes of
	// the own data centre that remain reachable in a partition come first.
	holderCount, minCopies = 3, 2
	// queryTimeout bounds one query to another node.
	queryTimeout = 500 * time.Millisecond
	// askInterval is the time between two looks for holders after the start, and
	// askPeriod how long a started node looks for them. A node that neither the
	// store nor a holder answers in this time goes on without.
	askInterval = 100 * time.Millisecond
	askPeriod   = 3 * time.Second
	// sweepInterval is the time between two sweeps for expired leaves.
	sweepInterval = time.Minute
)

// Run reads what earlier processes of this node recorded, and writes to the store
// what could not be written at once, until ctx ends.
func (r *Recorder) Run(ctx context.Context) error {
	r.mu.Lock()
	r.init()
	r.mu.Unlock()
	var wg sync.WaitGroup
	wg.Go(func() { r.loadFirst(ctx) })
	wg.Go(func() { r.askHolders(ctx) })
	wg.Go(func() { r.saveFailed(ctx) })
	tick := time.NewTicker(sweepInterval)
	defer tick.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case now := <-tick.C:
			r.sweep(now)
		}
	}
	r.markLoaded()
	wg.Wait()
	return nil
}

func (r *Recorder) sweep(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for node, d := range r.held {
		if d.prune(now); len(d) == 0 {
			delete(r.held, node)
		}
	}
}

// holders returns the nodes that hold the leaves of this one. They follow from the
// names, so that the next process asks the same nodes.
func (r *Recorder) holders() []string {
	near, _ := r.Sampler.Peers()
	rank := func(name string) uint64 { return xxhash.Sum64String(r.Node + "/" + name) }
	slices.SortFunc(near, func(a, b string) int { return cmp.Compare(rank(b), rank(a)) })
	return near[:min(len(near), holderCount)]
}

// replicate sends leaves to the holders. It returns nil once minCopies of them, or
// all if there are fewer, have replied.
func (r *Recorder) replicate(ctx context.Context, leaves []Leave) error {
	names := r.holders()
	replies := make(chan error, len(names))
	for _, name := range names {
		go func() { replies <- r.query(ctx, name, leaves) }()
	}
	copies := 0
	for range names {
		if err := <-replies; err != nil {
			continue
		}
		if copies++; copies >= min(minCopies, len(names)) {
			return nil
		}
	}
	return errNoCopies
}

// query sends leaves to a holder and merges those that it holds.
func (r *Recorder) query(ctx context.Context, node string, leaves []Leave) error {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	reply, err := r.SendQuery(ctx, node, &Query{Leaves: leaves})
	if err != nil {
		return err
	}
	r.merge(reply.Leaves, node)
	return nil
}

// askHolders asks each holder, as they become known, what it holds for this node.
func (r *Recorder) askHolders(ctx context.Context) {
	started, asked := time.Now(), map[string]bool{}
	for ctx.Err() == nil && time.Since(started) < askPeriod {
		for _, name := range r.holders() {
			if asked[name] || r.query(ctx, name, nil) != nil {
				continue
			}
			asked[name] = true
			r.note(func() { r.peerReplied = true })
		}
		sleep(ctx, askInterval)
	}
	r.markLoaded()
}

// note records what a starting node has learned, and whether that is enough.
func (r *Recorder) note(learn func()) {
	r.mu.Lock()
	learn()
	enough := r.storeTried && r.peerReplied
	r.mu.Unlock()
	if enough {
		r.markLoaded()
	}
}

// markLoaded ends Await.
func (r *Recorder) markLoaded() {
	r.mu.Lock()
	defer r.mu.Unlock()
	select {
	case <-r.loaded:
	default:
		close(r.loaded)
	}
}
