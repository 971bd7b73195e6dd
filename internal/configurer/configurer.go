// Package configurer stores the operators' configuration in the platform's
// store and distributes it to every node.
//
// A configuration is a small head, written by compare-and-swap, that points to
// a manifest of content-addressed parts. Only a few nodes read the head from the
// store. Heartbeats carry its number, and nodes fetch heads and missing parts from
// other nodes first. The number in force on a node never decreases.
package configurer

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/zinniaproxy/zinniaproxy/internal/indexer"
	"github.com/zinniaproxy/zinniaproxy/internal/storer"
	"github.com/zinniaproxy/zinniaproxy/internal/tracer"
)

const (
	// catchUpInterval is the mean time between two rounds of queries of a node
	// that is behind.
	catchUpInterval = 100 * time.Millisecond
	// queryTimeout bounds one query to a node.
	queryTimeout = time.Second
	// peersPerRound is the number of nodes queried in a round, and
	// bootPeersPerRound the number that a node without a configuration queries.
	peersPerRound     = 2
	bootPeersPerRound = 5
	// minBootReplies is how many of bootPeersPerRound must return a
	// configuration, so that a single outdated node does not decide.
	minBootReplies = 3
	// peerDiscoveryWait is how long a node with seeds waits for peers before it
	// reads parts from the store.
	peerDiscoveryWait = 2 * time.Second
	// Of the nodes that cannot catch up from their peers for storeFallbackDelay,
	// one reads from the store in about storeFallbackInterval.
	storeFallbackDelay    = 2 * time.Second
	storeFallbackInterval = time.Second
	// storeTimeout bounds one call to the store.
	storeTimeout = 2 * time.Second
	// maxUnpacedReads bounds the parts read from the store without a pause;
	// pacedReadDelay precedes each further read.
	maxUnpacedReads = 16
	pacedReadDelay  = 10 * time.Millisecond
	// maxReplyBytes bounds the total size of the parts in one reply, except that
	// the first part is sent whatever its size.
	maxReplyBytes = 128 << 10
	// maxQueryParts bounds the parts asked for in one query.
	maxQueryParts = 600
	// watchTimeout bounds one watch of the head. watchCheckInterval is the
	// interval at which a node that does not watch checks whether it should.
	watchTimeout       = 10 * time.Second
	watchCheckInterval = time.Second
)

// Configurer keeps the configuration of one node current. Set the exported
// fields before Run.
type Configurer struct {
	// Store is the platform's store.
	Store *storer.Store
	// Peers returns the names of the other running nodes.
	Peers func() []string
	// SendQuery sends a query to another node.
	SendQuery func(ctx context.Context, node string, q *Query) (*Reply, error)
	// AnnounceNumber announces the number in force to other nodes. It must not
	// block.
	AnnounceNumber func(number uint64)
	// AnnounceOverflow is called after AnnounceNumber if the number in force has an
	// overflow. It must not block, and may be nil.
	AnnounceOverflow func(number, overflow uint64)
	// Watching reports whether this node is one of the few that watch the head
	// in the store. With nil it does not watch, but may read from the store like
	// those that do.
	Watching func() bool
	// ExpectPeers is true when other nodes should be discovered after the start.
	ExpectPeers bool
	// DeclarationSource waits for a change of what the operators declare and
	// returns what it holds then, or after a while nil if there was none. The
	// first call, and one after a call that failed or was canceled, does not wait.
	// It replaces the head and parts in the store where operators keep their
	// declaration elsewhere. Nil means the store.
	DeclarationSource func(ctx context.Context) (*Observation, error)
	// SourceReader reports whether this node reads changes from the source for
	// the others. Every node reads the first declaration itself. Nil means that
	// each reads all changes.
	SourceReader func() bool
	// NearPeers returns those of Peers that are asked first: the ones in the own
	// data centre. It may be nil.
	NearPeers func() []string
	// OnChange is called with each new configuration, in order.
	OnChange func(*indexer.Index)
	// Tracer records events.
	Tracer *tracer.Tracer

	index atomic.Pointer[indexer.Index]

	// installing serializes what is read from the source and what is taken from
	// other nodes. It is locked before mu.
	installing sync.Mutex

	mu sync.Mutex
	// head and manifest are in force, overflow comes after the number of head;
	// parts holds their blobs and those of the previous configuration.
	head     Head
	overflow uint64
	// validAt is the latest known position at which the source held what is in
	// force. It is at least the position in force.
	validAt  position
	manifest *manifest
	parts    map[Hash]cachedBlob
	// highestKnown is the highest position seen in the store, on a node or in a
	// heartbeat.
	highestKnown position
	// storeHead is the highest head that Confirm read from the store and that was
	// not in force then.
	storeHead Head
	restoring bool
	wake      chan struct{}
	started   time.Time
	turn      turn
}

func (c *Configurer) init() {
	if c.parts == nil {
		c.parts = map[Hash]cachedBlob{}
		c.manifest = &manifest{}
		c.wake = make(chan struct{}, 1)
		c.turn.wake = make(chan struct{}, 1)
		c.started = time.Now()
	}
}

// Index returns the configuration in force, or nil before there is one.
func (c *Configurer) Index() *indexer.Index { return c.index.Load() }

// Number returns the number in force, or 0.
func (c *Configurer) Number() uint64 {
	if index := c.Index(); index != nil {
		return index.Number
	}
	return 0
}

// Head returns the head in force.
func (c *Configurer) Head() Head {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.head
}

// position returns the position in force. The caller holds the lock.
func (c *Configurer) position() position { return position{c.head.Number, c.overflow} }

// raiseKnown raises the highest known position. The caller holds the lock.
func (c *Configurer) raiseKnown(known position) {
	if known.after(c.highestKnown) {
		c.highestKnown = known
	}
}

// NoteNumber records a number that another node knows and wakes Run if it is
// higher than those known so far.
func (c *Configurer) NoteNumber(number uint64) { c.NoteOverflow(number, 0) }

// NoteOverflow is like NoteNumber, for a number with an overflow.
func (c *Configurer) NoteOverflow(number, overflow uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.init()
	if known := (position{number, overflow}); known.after(c.highestKnown) && c.mayFollow(known, c.position()) {
		c.highestKnown = known
		c.wakeRun()
	}
}

// wakeRun makes Run check again whether this node is behind. The caller holds
// the lock.
func (c *Configurer) wakeRun() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// Confirm reads the current number from the store. Only the few nodes that
// watch the store call it, and nodes that expect no peers. If the store has a
// newer configuration, Run fetches it; if it has any other than the one in force,
// Confirm starts restore.
func (c *Configurer) Confirm(ctx context.Context) (uint64, error) {
	h, version, err := readHead(ctx, c.Store)
	if err != nil {
		return 0, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.init()
	switch {
	case h.Number > c.head.Number:
		if h.Number > c.storeHead.Number {
			c.storeHead = h
		}
		c.raiseKnown(position{h.Number, 0})
		c.wakeRun()
	case h != c.head && !c.restoring:
		c.restoring = true
		go c.restore(context.WithoutCancel(ctx), h, version)
	}
	return h.Number, nil
}

// watch calls Confirm when the head in the store changes, while this node is one
// of the few that watch it. Changes that a watch misses are found by the regular
// calls of Confirm.
func (c *Configurer) watch(ctx context.Context) {
	var version uint64
	for ctx.Err() == nil {
		select {
		case <-time.After(watchCheckInterval):
		case <-ctx.Done():
			return
		}
		for c.Watching != nil && c.Watching() {
			e, err := c.Store.Watch(ctx, HeadKey, version, watchTimeout)
			if err != nil {
				break
			}
			if e.Version != version {
				version = e.Version
				_, _ = c.Confirm(ctx)
			}
		}
	}
}

// Handle answers another node's query.
func (c *Configurer) Handle(_ context.Context, _ string, q *Query) (*Reply, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.init()
	r := &Reply{Head: c.head, Overflow: c.overflow, Reads: q.Read && c.takeTurn()}
	size := 0
	for _, h := range q.Parts {
		b := c.parts[h].data
		if b == nil {
			continue
		}
		if size += len(b); size > maxReplyBytes && len(r.Parts) > 0 {
			break
		}
		r.Parts = append(r.Parts, b)
	}
	return r, nil
}

// Run keeps the configuration current until ctx ends.
func (c *Configurer) Run(ctx context.Context) error {
	c.mu.Lock()
	c.init()
	c.mu.Unlock()
	if c.DeclarationSource != nil {
		go c.followSource(ctx)
	} else {
		go c.watch(ctx)
	}
	if !c.ExpectPeers && c.DeclarationSource == nil {
		_, _ = c.Confirm(ctx) // no peers to query
	}
	behindSince := time.Now()
	for {
		if !c.behind() {
			select {
			case <-ctx.Done():
				return nil
			case <-c.wake:
				behindSince = time.Now()
				continue
			}
		}
		if c.catchUp(ctx, behindSince) {
			behindSince = time.Now()
			continue
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(catchUpInterval/2 + rand.N(catchUpInterval)):
		}
	}
}

// behind reports whether a higher number than the one in force is known, or
// none is in force.
func (c *Configurer) behind() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.head.Number == 0 || c.highestKnown.after(c.position())
}

// install puts a complete configuration in force and reports true, unless one
// at the same or a higher position is in force.
func (c *Configurer) install(h Head, overflow uint64, manifestData []byte, m *manifest, fetched map[Hash]cachedBlob) bool {
	c.mu.Lock()
	next := position{h.Number, overflow}
	if !next.after(c.position()) {
		c.mu.Unlock()
		return false
	}
	parts := c.collectParts(m, fetched)
	index := indexer.New(h.Number, joinFleet(m, parts))
	parts[h.Manifest] = cachedBlob{data: manifestData}
	for _, old := range append(c.manifest.hashes(), c.head.Manifest) {
		if _, ok := parts[old]; !ok && old != (Hash{}) {
			parts[old] = cachedBlob{data: c.parts[old].data} // for nodes still fetching the previous configuration
		}
	}
	if h.Manifest != c.head.Manifest || !c.validAt.decode().readLater(next.decode()) {
		c.validAt = next
	}
	c.head, c.overflow, c.manifest, c.parts = h, overflow, m, parts
	c.raiseKnown(next)
	c.index.Store(index)
	c.mu.Unlock()
	c.Tracer.Add(tracer.Event{Kind: "configuration", Detail: c.describe(h, overflow)})
	if c.AnnounceNumber != nil {
		c.AnnounceNumber(h.Number)
	}
	if c.AnnounceOverflow != nil && overflow > 0 {
		c.AnnounceOverflow(h.Number, overflow)
	}
	if c.OnChange != nil {
		c.OnChange(index)
	}
	return true
}

// collectParts returns the parts of a manifest, of which the missing ones have been
// fetched. The caller holds the lock.
func (c *Configurer) collectParts(m *manifest, fetched map[Hash]cachedBlob) map[Hash]cachedBlob {
	parts := make(map[Hash]cachedBlob, len(m.Parts)+1)
	for _, hash := range m.hashes() {
		parts[hash] = c.parts[hash]
		if p, ok := fetched[hash]; ok {
			parts[hash] = p
		}
	}
	return parts
}
