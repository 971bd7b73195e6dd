// Package leaverecorder records which targets on a node's VM have announced that
// they leave. The record is kept in the platform's store and by a few other nodes,
// so that it outlasts the node's process: an announcement that arrives late at the
// next process would otherwise put a target that has left back into service.
package leaverecorder

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"golang.org/x/time/rate"

	"github.com/zinniaproxy/zinniaproxy/internal/sampler"
	"github.com/zinniaproxy/zinniaproxy/internal/storer"
	"github.com/zinniaproxy/zinniaproxy/internal/tracer"
	"github.com/zinniaproxy/zinniaproxy/pkg/coder"
)

const (
	// KeyPrefix is the prefix of the store's keys, one for each node.
	KeyPrefix = "leave/"
	// retention is how long a leave is kept after it was last announced.
	retention = 10 * time.Minute
	// maxLeaves bounds the leaves kept for one node: the targets of a node with
	// four restarts each.
	maxLeaves = 1024
	// recordTimeout bounds Record, since targets wait a second for an
	// acknowledgement.
	recordTimeout = 800 * time.Millisecond
	// storeTimeout is how long the store is waited for before the copies on other
	// nodes count in its place.
	storeTimeout = 400 * time.Millisecond
	// retryAfter is the retry-after of a leave that could not be recorded.
	retryAfter = 500 * time.Millisecond
)

// errNoCopies means that too few other nodes could be reached.
var errNoCopies = errors.New("leaverecorder: not enough other nodes hold the leave")

// Recorder records the leaves of the targets of one node, and holds those of a few
// others. Set the exported fields before Run.
type Recorder struct {
	// Node is this node's name.
	Node string
	// Sampler returns the other nodes of the fleet.
	Sampler *sampler.Sampler
	// SendQuery sends a query to another node and returns its reply.
	SendQuery func(ctx context.Context, node string, q *Query) (*Reply, error)
	// Store is the platform's store, Lease the name of the lease that the node's
	// key is written with.
	Store *storer.Store
	Lease string
	// OnLeave is called with each leave that was recorded by an earlier process of
	// this node.
	OnLeave func(l Leave)
	// Log receives failures, Tracer events; a nil Tracer drops them.
	Log    logr.Logger
	Tracer *tracer.Tracer

	// saving is held by the goroutine that writes to the store, and pace bounds how
	// often it does: whoever reaches the announcement port may withdraw anything.
	saving chan struct{}
	pace   *rate.Limiter
	// wake signals that a leave is not in the store.
	wake chan struct{}
	// loaded is closed once the leaves of earlier processes are known.
	loaded chan struct{}

	mu sync.Mutex
	// own holds the leaves of this node, held those of other nodes.
	own  ledger
	held map[string]ledger
	// change counts the changes of own, saved is the one that the store has.
	change, saved uint64
	// version is that of the node's key in the store.
	version uint64
	// era is the highest known era of the store, 0 before there is one.
	era uint64
	// storeTried is set once the store replied, failed or was silent for
	// storeTimeout, peerReplied once another node replied.
	storeTried, peerReplied bool
}

// init creates the maps and channels. The caller holds the lock.
func (r *Recorder) init() {
	if r.own != nil {
		return
	}
	r.own, r.held = ledger{}, map[string]ledger{}
	r.saving, r.wake, r.loaded = make(chan struct{}, 1), make(chan struct{}, 1), make(chan struct{})
	r.pace = rate.NewLimiter(maxWritesPerSecond, maxWriteBurst)
}

// Record records a leave. It returns nil once the store or, if that does not reply,
// enough other nodes have it, and a *coder.Error if neither is reached in time. The
// record is then still written later.
func (r *Recorder) Record(l Leave) error {
	r.mu.Lock()
	r.init()
	if r.own.add(l, time.Now()) {
		r.change++
	}
	leaves, durable, change := r.own.list(), r.own[l.Target].durable, r.change
	r.mu.Unlock()
	if durable {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
	stored, copied := make(chan error, 1), make(chan error, 1)
	var wg sync.WaitGroup
	wg.Go(func() { stored <- r.save(ctx, change) })
	wg.Go(func() { copied <- r.replicate(ctx, leaves) })
	go func() {
		wg.Wait()
		cancel()
	}()
	where, err := awaitCopies(stored, copied)
	if err != nil {
		r.Log.Info("leave of a target not recorded", "target", l.Target, "error", err.Error())
		return coder.New(coder.LeaveUnrecorded, "%v", err).WithAfter(retryAfter)
	}
	r.mu.Lock()
	r.own.markDurable(leaves)
	r.mu.Unlock()
	r.Tracer.Add(tracer.Event{Kind: "leave-recorded", Target: l.Target, Detail: where})
	return nil
}

// awaitCopies waits until the store has a leave, or other nodes have it and the
// store failed or did not reply within storeTimeout. It returns who has it.
func awaitCopies(stored, copied <-chan error) (string, error) {
	late, end := time.NewTimer(storeTimeout), time.NewTimer(recordTimeout)
	defer late.Stop()
	defer end.Stop()
	storeTried, hasCopies := false, false
	var failures []error
	for {
		select {
		case err := <-stored:
			if err == nil {
				return storeSource, nil
			}
			storeTried = true
			failures = append(failures, err)
		case err := <-copied:
			hasCopies = err == nil
			if err != nil {
				failures = append(failures, err)
			}
		case <-late.C:
			storeTried = true
		case <-end.C:
			return "", errors.Join(append(failures, context.DeadlineExceeded)...)
		}
		switch {
		case hasCopies && storeTried:
			return "nodes", nil
		case len(failures) == cap(stored)+cap(copied):
			return "", errors.Join(failures...)
		}
	}
}

// Await waits until the leaves that earlier processes of this node recorded are
// known, as far as the store or another node can be reached.
func (r *Recorder) Await() {
	r.mu.Lock()
	r.init()
	r.mu.Unlock()
	<-r.loaded
}

// storeSource is the source of leaves that were read from the store.
const storeSource = "store"

// merge records leaves that an earlier process of this node recorded, as the store
// or another node has them.
func (r *Recorder) merge(leaves []Leave, source string) {
	var added []Leave
	r.mu.Lock()
	now := time.Now()
	for _, l := range leaves {
		if l.Start > r.own[l.Target].start {
			r.own.add(l, now)
			added = append(added, l)
		}
	}
	if len(added) > 0 && source != storeSource {
		r.change++
		r.signal()
	}
	r.mu.Unlock()
	for _, l := range added {
		r.Tracer.Add(tracer.Event{Kind: "leave-restored", Target: l.Target, Detail: source})
		r.OnLeave(l)
	}
}

// Handle answers a query of another node: it holds that node's leaves and returns
// all that it holds for it.
func (r *Recorder) Handle(_ context.Context, from string, q *Query) (*Reply, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.init()
	now := time.Now()
	d := r.held[from]
	if d == nil && len(q.Leaves) == 0 {
		return &Reply{}, nil
	}
	if d == nil {
		d = ledger{}
		r.held[from] = d
	}
	for _, l := range q.Leaves {
		d.add(l, now)
	}
	d.prune(now)
	return &Reply{Leaves: d.list()}, nil
}

// NoteEra records an era of the store. After a restoration from an older copy the
// store may lack leaves, which Run writes again. It does not block.
func (r *Recorder) NoteEra(era uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.init()
	previous := r.era
	if r.era = max(previous, era); previous == 0 || era <= previous || len(r.own) == 0 {
		return
	}
	r.change++
	r.signal()
}

// signal wakes Run up to write to the store.
func (r *Recorder) signal() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}
