package assigner

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/zinniaproxy/zinniaproxy/internal/messenger"
	"github.com/zinniaproxy/zinniaproxy/internal/storer"
	"github.com/zinniaproxy/zinniaproxy/internal/tracer"
)

// Defaults of an Assigner.
const (
	// DefaultTick is how often the assigner looks around.
	DefaultTick = 500 * time.Millisecond
	// DefaultSettle is how long a fresh node waits for others before it writes
	// the first record.
	DefaultSettle = time.Second
	// DefaultDead is how long a holder must be missing before its shares are
	// given to others.
	DefaultDead = 6 * time.Second
	// DefaultTurn is how much longer each further node waits before it writes
	// a change that any node may write.
	DefaultTurn = 2 * time.Second
	// DefaultPoll is how often the record is read although no news came.
	DefaultPoll = 30 * time.Second
	// DefaultStale is the age of the newest stamp from which on the record is
	// read from the store instead.
	DefaultStale = 3 * time.Second

	storeTimeout = time.Second
	// claimers is about how many nodes may write claims in one tick.
	claimers = 8
)

// Assigner follows the record of shares and changes it. Set the exported
// fields before Run.
type Assigner struct {
	// Self is this process. Its epoch tells restarts apart.
	Self messenger.Node
	// Store is the platform's store.
	Store *storer.Store
	// Members returns the nodes that are believed alive and are not leaving,
	// this one among them unless it leaves.
	Members func() []messenger.Node
	// Quorum tells whether this node has two-way contact with at least half of
	// the roster. Without it no dead holder's share is moved. Nil means yes.
	Quorum func() bool
	// Wide returns the workspaces that all shares of their shard should grant,
	// the largest first, and the number of the configuration that says so. Nil
	// means none.
	Wide func() ([]string, uint64)
	// Stamp returns the newest known number of the record, and an upper bound
	// of how long ago the store was known to hold it.
	Stamp func() (number uint64, age time.Duration, ok bool)
	// Spread tells other nodes of a new number. It may be nil.
	Spread func(number uint64)
	// Peer asks some other node for its record. Nil means none.
	Peer func(ctx context.Context) (*Record, error)
	// Adopt takes a record that the store held at or after the given time, or
	// that a peer had, with the zero time. It is called with the same record
	// again when it was confirmed.
	Adopt func(r *Record, at time.Time)
	// Claims returns the shares that others handed to this process and that
	// the record does not yet assign to it, and the shares that it handed to a
	// process that has gone.
	Claims func() (mine, lost []int)
	// Now is the process's clock. Nil means time.Now.
	Now func() time.Time
	// Tick, Settle, Dead, Turn, Poll and Stale replace the defaults.
	Tick, Settle, Dead, Turn, Poll, Stale time.Duration
	// Tracer takes the events. It may be nil.
	Tracer *tracer.Tracer

	record  atomic.Pointer[Record]
	planned atomic.Pointer[planned]
	mu      sync.Mutex
	step    stepper
}

type planned struct {
	print   uint64
	holders []string
	since   time.Time
}

// stepper is the state of the loop.
type stepper struct {
	started, fetched time.Time
	// version and head are what the store held when it was last read.
	version uint64
	head    head
	// claiming tells that this step writes claims. In a large fleet few do at a
	// time.
	claiming  bool
	missing   map[string]time.Time
	wideSince time.Time
}

// Record returns the newest record, or nil.
func (a *Assigner) Record() *Record { return a.record.Load() }

// Planned returns who should hold each share by the members of now, and since
// when that has been so.
func (a *Assigner) Planned() ([]string, time.Time) {
	members := a.Members()
	sum := fingerprint(members)
	if p := a.planned.Load(); p != nil && p.print == sum {
		return p.holders, p.since
	}
	p := &planned{sum, Plan(members), a.now()}
	a.planned.Store(p)
	return p.holders, p.since
}

func (a *Assigner) now() time.Time {
	if a.Now != nil {
		return a.Now()
	}
	return time.Now()
}

func or(d, fallback time.Duration) time.Duration {
	if d > 0 {
		return d
	}
	return fallback
}

// Run follows and changes the record until the context ends.
func (a *Assigner) Run(ctx context.Context) {
	tick := or(a.Tick, DefaultTick)
	for ctx.Err() == nil {
		a.Step(ctx)
		select {
		case <-ctx.Done():
		case <-time.After(tick/2 + rand.N(tick)):
		}
	}
}

// Step reads the record where there is news, and writes one change where one
// is due.
func (a *Assigner) Step(ctx context.Context) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.step.started.IsZero() {
		a.step = stepper{started: a.now(), missing: map[string]time.Time{}}
	}
	if a.outdated() {
		a.fetch(ctx)
	}
	r := a.Record()
	if r == nil {
		return
	}
	a.step.claiming = rand.IntN(1+len(a.Members())/claimers) == 0
	if a.change(r) == nil {
		return
	}
	a.fetch(ctx) // a write that races with another is lost
	if a.Record().Number == r.Number && a.step.fetched.After(time.Time{}) {
		if next := a.change(r); next != nil {
			a.write(ctx, next)
		}
	}
}

func (a *Assigner) outdated() bool {
	r, since := a.Record(), a.now().Sub(a.step.fetched)
	if r == nil || since > or(a.Poll, DefaultPoll) {
		return true
	}
	number, age, ok := a.Stamp()
	return !ok || age > or(a.Stale, DefaultStale) || number > r.Number
}

func (a *Assigner) fetch(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	at := a.now()
	e, err := a.Store.Get(ctx, Key)
	if err != nil {
		a.askPeer(ctx)
		return
	}
	h, err := decodeHead(e)
	if err != nil {
		a.Tracer.Add(tracer.Event{Kind: "shares-unreadable", Detail: err.Error()})
		return
	}
	a.step.version, a.step.head = e.Version, h
	if e.Version == 0 {
		a.create(ctx)
		return
	}
	if r := a.body(ctx, h); r != nil {
		a.step.fetched = at
		a.adopt(r, at)
	}
}

// askPeer takes the record of a peer if it is newer, while the store does not
// answer. Every record that a node has was committed.
func (a *Assigner) askPeer(ctx context.Context) {
	own := a.Record()
	number, _, ok := a.Stamp()
	if a.Peer == nil || own != nil && (!ok || number <= own.Number) {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), storeTimeout)
	defer cancel()
	r, err := a.Peer(ctx)
	if err == nil && r != nil && (own == nil || r.Number > own.Number) {
		a.adopt(r, time.Time{})
	}
}

// body returns the record of a head, from the store if it is not the own one.
// It returns nil when it cannot be had, or is gone since there is a newer one.
func (a *Assigner) body(ctx context.Context, h head) *Record {
	if own := a.Record(); own != nil && h.Number <= own.Number {
		if h.Number < own.Number {
			return nil // the store went back; nothing is confirmed
		}
		return own
	}
	e, err := a.Store.Get(ctx, h.Body)
	if err != nil || e.Version == 0 {
		return nil
	}
	r, err := Decode(e.Value)
	if err != nil || r.Number != h.Number {
		a.Tracer.Add(tracer.Event{Kind: "shares-unreadable", Detail: h.Body})
		return nil
	}
	return r
}

func (a *Assigner) adopt(r *Record, at time.Time) {
	if own := a.Record(); own == nil || r.Number > own.Number {
		a.record.Store(r)
	} else if r.Number < own.Number {
		return
	}
	a.Adopt(a.Record(), at)
	if a.Spread != nil {
		a.Spread(r.Number)
	}
}

// create writes a record where there is none. A node that has seen a record
// goes on from its number, so that nobody takes the shares for unused.
func (a *Assigner) create(ctx context.Context) {
	members := a.Members()
	wait := or(a.Settle, DefaultSettle) + time.Duration(turn(members, a.Self.Name, Key))*a.tick()
	if a.now().Sub(a.step.started) < wait {
		return
	}
	if own := a.Record(); own != nil {
		a.write(ctx, own.With(nil, own.Wide, own.Config))
		return
	}
	wide, config := a.wide()
	a.write(ctx, Make(1, Plan(members), wide, config))
}

func (a *Assigner) tick() time.Duration { return or(a.Tick, DefaultTick) }

func (a *Assigner) write(ctx context.Context, r *Record) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	next := head{Number: r.Number, Body: fmt.Sprintf("%s/%d-%s-%d", Key, r.Number, Identity(a.Self), rand.Uint32())}
	at, last := a.now(), a.step.head
	a.step.fetched = time.Time{} // raced or lost: read what is there now
	body, err := a.Store.Swap(ctx, next.Body, messenger.Encode(r), 0, "")
	if err != nil {
		a.unwritten(err)
		return
	}
	version, err := a.Store.Swap(ctx, Key, messenger.Encode(next), a.step.version, "")
	if errors.Is(err, storer.ErrConflict) {
		a.drop(ctx, next.Body, body)
	}
	if err != nil {
		a.unwritten(err)
		return
	}
	a.step.version, a.step.head, a.step.fetched = version, next, at
	if last.Body != "" {
		a.drop(ctx, last.Body, 0)
	}
	a.Tracer.Add(tracer.Event{Kind: "shares-changed"})
	a.adopt(r, at)
}

// unwritten notes that a change is left to the next step: another node was
// first, or the store did not answer.
func (a *Assigner) unwritten(err error) {
	a.Tracer.Add(tracer.Event{Kind: "shares-unwritten", Detail: err.Error()})
}

// drop deletes a record that is no longer read. One that stays costs nothing
// but its room in the store.
func (a *Assigner) drop(ctx context.Context, key string, version uint64) {
	if version == 0 {
		e, err := a.Store.Get(ctx, key)
		if err != nil || e.Version == 0 {
			return
		}
		version = e.Version
	}
	_, _ = a.Store.Swap(ctx, key, nil, version, "")
}
