package prober

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/zinniaproxy/zinniaproxy/internal/messenger"
	"github.com/zinniaproxy/zinniaproxy/internal/storer"
)

// NodePrefix is the prefix of the store keys of node records.
const NodePrefix = "node/"

const (
	// recordLease is long because records serve to find the fleet, not to tell
	// who is alive.
	recordLease = 20 * time.Minute
	// renewInterval and readInterval keep a fleet of hundreds at a few calls a second.
	renewInterval = 5 * time.Minute
	readInterval  = 10 * time.Minute
	// firstWriteSpread and firstReadSpread bound the random delay of the first
	// calls, for a fleet whose nodes start at the same time.
	firstWriteSpread = 20 * time.Second
	firstReadSpread  = time.Second
	// storeOnlyWriteSpread and storeOnlyRetryInterval apply when
	// StoreOnlyDiscovery is set: the former bounds the random delay of the first
	// write, the latter is the mean time until the next try.
	storeOnlyWriteSpread   = 150 * time.Millisecond
	storeOnlyRetryInterval = time.Second
	// rewriteSpread bounds the random delay after a restoration of the store, of
	// which all nodes hear at the same time.
	rewriteSpread = 5 * time.Second
	// retryInterval is the mean time until a failed call is tried again.
	retryInterval = 15 * time.Second
	// callTimeout bounds a write or read of records, removeTimeout the removal
	// at the end.
	callTimeout   = 5 * time.Second
	removeTimeout = time.Second
)

// MemberRecorder keeps a record of this node in the store and reads those of all
// nodes. Set the fields before Run.
type MemberRecorder struct {
	// Store is the platform's store.
	Store *storer.Store
	// Prober receives the recorded nodes.
	Prober *Prober
	// Log receives failures of store calls.
	Log logr.Logger
	// StoreOnlyDiscovery is for a fleet whose nodes find each other by the store
	// alone: the node writes and reads records soon after its start, and retries
	// quickly until it has found another node.
	StoreOnlyDiscovery bool

	version uint64

	mu sync.Mutex
	// era is the highest era of the store that is known, 0 before there is one.
	era      uint64
	restored chan struct{}
}

// NoteEra records an era of the store. The record and the lease of an earlier one
// may be gone, so that Run writes the record anew. It does not block.
func (r *MemberRecorder) NoteEra(era uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	previous := r.era
	if r.era = max(previous, era); previous == 0 || era <= previous {
		return
	}
	select {
	case r.restoredSignal() <- struct{}{}:
	default:
	}
}

// restoredSignal returns the channel that signals a restoration. The caller holds
// mu.
func (r *MemberRecorder) restoredSignal() chan struct{} {
	if r.restored == nil {
		r.restored = make(chan struct{}, 1)
	}
	return r.restored
}

// Run keeps the record of this node until ctx ends, then removes it.
func (r *MemberRecorder) Run(ctx context.Context) error {
	first := rand.N(firstWriteSpread)
	if r.StoreOnlyDiscovery {
		first = rand.N(storeOnlyWriteSpread)
	}
	write := time.NewTimer(first)
	read := time.NewTimer(r.firstReadDelay())
	defer write.Stop()
	defer read.Stop()
	r.mu.Lock()
	restored := r.restoredSignal()
	r.mu.Unlock()
	for {
		select {
		case <-ctx.Done():
			r.remove(ctx)
			return nil
		case <-write.C:
			write.Reset(jitter(r.attempt(ctx, "write", r.write, renewInterval)))
		case <-restored:
			if r.version != 0 {
				write.Reset(rand.N(rewriteSpread))
			}
		case <-read.C:
			read.Reset(jitter(r.readOrPostpone(ctx)))
		}
	}
}

// firstReadDelay returns a random delay of the first read, for nodes that start
// at the same time. With StoreOnlyDiscovery it is long enough that most nodes
// have written their records.
func (r *MemberRecorder) firstReadDelay() time.Duration {
	if r.StoreOnlyDiscovery {
		return storeOnlyWriteSpread + rand.N(storeOnlyWriteSpread)
	}
	return rand.N(firstReadSpread)
}

// readOrPostpone reads the records, or postpones the first read if the node has
// just joined through its seeds. It returns the time until the next read.
func (r *MemberRecorder) readOrPostpone(ctx context.Context) time.Duration {
	p := r.Prober
	p.mu.Lock()
	postpone := !r.StoreOnlyDiscovery && p.joined && len(p.recorded) == 0 && time.Since(p.started) < retryInterval
	p.mu.Unlock()
	if postpone {
		return retryInterval
	}
	return r.attempt(ctx, "read", r.read, readInterval)
}

// attempt makes a call and returns the time until the next one.
func (r *MemberRecorder) attempt(ctx context.Context, name string, call func(context.Context) error, interval time.Duration) time.Duration {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := call(ctx); err != nil {
		r.Log.V(1).Info("node record failed", "call", name, "error", err.Error())
		if r.StoreOnlyDiscovery && !r.Prober.Joined() {
			return storeOnlyRetryInterval
		}
		return retryInterval
	}
	if alone := name == "read" && r.StoreOnlyDiscovery && len(r.Prober.Alive()) < 2; alone {
		return storeOnlyRetryInterval
	}
	return interval
}

func (r *MemberRecorder) read(ctx context.Context) error {
	entries, err := r.Store.List(ctx, NodePrefix)
	if err != nil {
		return err
	}
	nodes := make([]messenger.Node, 0, len(entries))
	for _, e := range entries {
		n, err := parseRecord(e)
		if err != nil {
			r.Log.Info("node record ignored", "key", e.Key, "error", err.Error())
			continue
		}
		nodes = append(nodes, n)
	}
	r.Prober.SetRecorded(nodes)
	return nil
}

// maxRecordBytes bounds a record, which every node sends on in one datagram.
const maxRecordBytes = maxUpdateBytes / 2

// parseRecord parses and checks a node record, which another writer may have
// left. Only a node itself has a record under its name.
func parseRecord(e storer.Entry) (n messenger.Node, err error) {
	if len(e.Value) > maxRecordBytes {
		return n, fmt.Errorf("prober: record has %d bytes, more than %d", len(e.Value), maxRecordBytes)
	}
	if err := messenger.Decode(e.Value, &n); err != nil {
		return n, fmt.Errorf("prober: record is not valid: %w", err)
	}
	if n.Name == "" || e.Key != NodePrefix+n.Name {
		return n, fmt.Errorf("prober: record is of node %q", n.Name)
	}
	_, port, err := net.SplitHostPort(n.Link)
	if err != nil {
		return n, fmt.Errorf("prober: link of a record: %w", err)
	}
	if number, err := strconv.ParseUint(port, 10, 16); err != nil || number == 0 {
		return n, fmt.Errorf("prober: port of link %q is not 1 to 65535", n.Link)
	}
	return n, nil
}

// LeaseName returns the name of the lease of a node's record.
func LeaseName(node string) string { return "node-" + node }

// write renews the lease and writes the record, unless the store has the version
// that this process wrote. The first write expects no record, since most
// processes have none; it costs a call more after a restart.
func (r *MemberRecorder) write(ctx context.Context) error {
	n := r.Prober.Node
	key, lease := NodePrefix+n.Name, LeaseName(n.Name)
	if err := r.Store.Lease(ctx, lease, recordLease); err != nil {
		return err
	}
	var present storer.Entry
	if r.version != 0 {
		var err error
		if present, err = r.Store.Get(ctx, key); err != nil || present.Version == r.version {
			return err
		}
	}
	v, err := r.Store.Swap(ctx, key, messenger.Encode(&n), present.Version, lease)
	if errors.Is(err, storer.ErrConflict) {
		v, err = r.Store.Swap(ctx, key, messenger.Encode(&n), v, lease)
	}
	if err == nil {
		r.version = v
	}
	return err
}

// remove deletes the record, unless a later process has written its own.
func (r *MemberRecorder) remove(ctx context.Context) {
	if r.version == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), removeTimeout)
	defer cancel()
	_, err := r.Store.Swap(ctx, NodePrefix+r.Prober.Node.Name, nil, r.version, "")
	if err != nil && !errors.Is(err, storer.ErrConflict) {
		r.Log.V(1).Info("node record not removed", "error", err.Error())
	}
}

// jitter returns a random time within a fifth of d either way.
func jitter(d time.Duration) time.Duration {
	return d*4/5 + rand.N(d*2/5)
}
