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
	// DefaultStepInterval is the mean time between two steps.
	DefaultStepInterval = 500 * time.Millisecond
	// DefaultSettleDelay is how long a started node waits to learn of other
	// members before it creates the share assignment, and how long a change of
	// the wide workspaces must last before it is written.
	DefaultSettleDelay = time.Second
	// DefaultHolderTimeout is how long a holder must be missing before its
	// shares are reassigned.
	DefaultHolderTimeout = 6 * time.Second
	// DefaultWriteStagger is the additional delay of each further node in the
	// write order of a change that any node may write.
	DefaultWriteStagger = 2 * time.Second
	// DefaultPollInterval is how often the share assignment is read even if no
	// update was announced.
	DefaultPollInterval = 30 * time.Second
	// DefaultMaxStampAge is the stamp age above which the share assignment is
	// read from the store.
	DefaultMaxStampAge = 3 * time.Second

	storeTimeout = time.Second
	// claimWritersPerStep is the approximate number of nodes that write claims
	// in one step interval.
	claimWritersPerStep = 8
)

// Assigner tracks the share assignment in the store and writes changes to it.
// Set the exported fields before Run.
type Assigner struct {
	// Self is this process. Its epoch distinguishes restarts.
	Self messenger.Node
	// Store is the platform's store.
	Store *storer.Store
	// Members returns the nodes that are believed alive and are not leaving,
	// including this one unless it leaves.
	Members func() []messenger.Node
	// Quorum reports whether this node has two-way contact with at least half
	// of the membership. Without it, shares of missing holders are not
	// reassigned. Nil means always true.
	Quorum func() bool
	// WideWorkspaces returns the workspaces that all shares of their shard
	// should grant, the largest first, and the number of the configuration they
	// come from. Nil means none.
	WideWorkspaces func() ([]string, uint64)
	// NewestNumber returns the newest known number of the share assignment, and
	// an upper bound on the time since the store was known to hold it.
	NewestNumber func() (number uint64, age time.Duration, ok bool)
	// GossipNumber gossips a new number to other nodes. It may be nil.
	GossipNumber func(number uint64)
	// Peer asks another node for its share assignment. Nil means none.
	Peer func(ctx context.Context) (*Assignment, error)
	// Adopt is called with an assignment that the store held at or after the
	// given time, or with the zero time if a peer sent it. It is called again
	// with the same assignment when the store confirms it.
	Adopt func(r *Assignment, at time.Time)
	// Claims returns the shares that were handed over to this process but that
	// the assignment does not yet give it, and the shares that it handed over
	// to a process that has since stopped.
	Claims func() (claimed, lost []int)
	// Now is the process's clock. Nil means time.Now.
	Now func() time.Time
	// These replace the defaults if they are positive.
	StepInterval, SettleDelay, HolderTimeout, WriteStagger, PollInterval, MaxStampAge time.Duration
	// Tracer records events. It may be nil.
	Tracer *tracer.Tracer

	// notedEra is the highest known era of the store.
	notedEra atomic.Uint64

	current atomic.Pointer[Assignment]
	plan    atomic.Pointer[cachedPlan]
	mu      sync.Mutex
	state   loopState
}

type cachedPlan struct {
	membersDigest uint64
	holders       []string
	computedAt    time.Time
}

// loopState is what Step keeps between calls.
type loopState struct {
	startedAt, fetchedAt time.Time
	// headVersion and head are what the store held when it was last read, and
	// readEra is the era that was known then.
	headVersion uint64
	head        head
	readEra     uint64
	// adoptedBody is the store key of the current assignment, or empty if a peer
	// sent it. outdatedSince is when the store was found to hold an older one, and
	// outdatedNumber the newest number known then.
	adoptedBody    string
	outdatedSince  time.Time
	outdatedNumber uint64
	// writesClaims reports whether this step writes claims. In a large fleet
	// only a few nodes do so at a time.
	writesClaims     bool
	missingSince     map[string]time.Time
	wideChangedSince time.Time
}

// Assignment returns the newest known share assignment, or nil.
func (a *Assigner) Assignment() *Assignment { return a.current.Load() }

// Planned returns the planned holder of each share for the current members, and
// when that plan was computed. Until the members change it stays the same.
func (a *Assigner) Planned() ([]string, time.Time) {
	members := a.Members()
	digest := membersDigest(members)
	if p := a.plan.Load(); p != nil && p.membersDigest == digest {
		return p.holders, p.computedAt
	}
	p := &cachedPlan{digest, Plan(members), a.now()}
	a.plan.Store(p)
	return p.holders, p.computedAt
}

func (a *Assigner) now() time.Time {
	if a.Now != nil {
		return a.Now()
	}
	return time.Now()
}

func orDefault(d, fallback time.Duration) time.Duration {
	if d > 0 {
		return d
	}
	return fallback
}

// Run calls Step at random intervals until the context ends.
func (a *Assigner) Run(ctx context.Context) {
	interval := orDefault(a.StepInterval, DefaultStepInterval)
	for ctx.Err() == nil {
		a.Step(ctx)
		select {
		case <-ctx.Done():
		case <-time.After(interval/2 + rand.N(interval)):
		}
	}
}

// Step reads the share assignment if it may be outdated, creates it if the store
// has none, and writes a change if one is due.
func (a *Assigner) Step(ctx context.Context) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.state.startedAt.IsZero() {
		a.state = loopState{startedAt: a.now(), missingSince: map[string]time.Time{}}
	}
	if a.isOutdated() && !a.awaitsTurn() {
		a.fetch(ctx)
	}
	assignment := a.Assignment()
	if assignment == nil || !a.state.outdatedSince.IsZero() {
		return
	}
	a.state.writesClaims = rand.IntN(1+len(a.Members())/claimWritersPerStep) == 0
	if a.nextAssignment(assignment) == nil {
		return
	}
	a.fetch(ctx) // a change based on an outdated version would not be written
	if a.Assignment().Number == assignment.Number && a.state.fetchedAt.After(time.Time{}) {
		if next := a.nextAssignment(assignment); next != nil {
			a.write(ctx, next)
		}
	}
}

func (a *Assigner) isOutdated() bool {
	if a.notedEra.Load() > a.state.readEra {
		return true
	}
	assignment, sinceFetch := a.Assignment(), a.now().Sub(a.state.fetchedAt)
	if assignment == nil || sinceFetch > orDefault(a.PollInterval, DefaultPollInterval) {
		return true
	}
	number, age, ok := a.NewestNumber()
	return !ok || age > orDefault(a.MaxStampAge, DefaultMaxStampAge) || number > assignment.Number
}

func (a *Assigner) fetch(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	at, era := a.now(), a.notedEra.Load()
	newest, _, _ := a.NewestNumber()
	e, err := a.Store.Get(ctx, Key)
	if err != nil {
		a.fetchFromPeer(ctx)
		return
	}
	h, err := decodeHead(e)
	if err != nil {
		a.Tracer.Add(tracer.Event{Kind: "shares-unreadable", Detail: err.Error()})
		return
	}
	a.state.headVersion, a.state.head = e.Version, h
	if a.isFromOlderCopy(h, newest) {
		a.state.fetchedAt = time.Time{}
		a.fetchFromPeer(ctx)
		a.writeAgain(ctx)
		return
	}
	a.state.outdatedSince = time.Time{}
	if e.Version == 0 {
		a.create(ctx)
		return
	}
	if assignment := a.loadBody(ctx, h); assignment != nil {
		a.state.fetchedAt, a.state.readEra, a.state.adoptedBody = at, era, h.Body
		a.adopt(assignment, at)
	}
}

// fetchFromPeer adopts a peer's assignment if it is newer, while the store does
// not answer. This is safe since every assignment that a node has was
// committed.
func (a *Assigner) fetchFromPeer(ctx context.Context) {
	own := a.Assignment()
	number, _, ok := a.NewestNumber()
	if a.Peer == nil || own != nil && (!ok || number <= own.Number) {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), storeTimeout)
	defer cancel()
	assignment, err := a.Peer(ctx)
	if err == nil && assignment != nil && (own == nil || assignment.Number > own.Number) {
		a.state.adoptedBody = ""
		a.adopt(assignment, time.Time{})
	}
}

// loadBody returns the assignment that a head refers to, from the store unless
// this node has it, or nil.
func (a *Assigner) loadBody(ctx context.Context, h head) *Assignment {
	if own := a.Assignment(); own != nil && h.Number == own.Number {
		return own
	}
	return a.readBody(ctx, h)
}

// readBody reads the assignment that a head refers to from the store. It returns
// nil if the store does not return it, or if a newer one has replaced it.
func (a *Assigner) readBody(ctx context.Context, h head) *Assignment {
	e, err := a.Store.Get(ctx, h.Body)
	if err != nil || e.Version == 0 {
		return nil
	}
	assignment, err := Decode(e.Value)
	if err != nil || assignment.Number != h.Number {
		a.Tracer.Add(tracer.Event{Kind: "shares-unreadable", Detail: h.Body})
		return nil
	}
	return assignment
}

func (a *Assigner) adopt(assignment *Assignment, at time.Time) {
	if own := a.Assignment(); own == nil || assignment.Number > own.Number {
		a.current.Store(assignment)
	} else if assignment.Number < own.Number {
		return
	}
	a.Adopt(a.Assignment(), at)
	if a.GossipNumber != nil {
		a.GossipNumber(assignment.Number)
	}
}

// create writes an assignment to a store that has none. Number 1 means that the
// shares were never used, which a restored store cannot tell.
func (a *Assigner) create(ctx context.Context) {
	members := a.Members()
	delay := orDefault(a.SettleDelay, DefaultSettleDelay) + time.Duration(writePosition(members, a.Self.Name, Key))*a.stepInterval()
	if a.now().Sub(a.state.startedAt) < delay {
		return
	}
	number := uint64(1)
	if a.Store.Eras.Restored() {
		number++
	}
	wide, config := a.wideHashes()
	a.write(ctx, New(number, Plan(members), wide, config))
}

func (a *Assigner) stepInterval() time.Duration {
	return orDefault(a.StepInterval, DefaultStepInterval)
}

func (a *Assigner) write(ctx context.Context, assignment *Assignment) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	next := head{Number: assignment.Number, Body: fmt.Sprintf("%s/%d-%s-%d", Key, assignment.Number, Identity(a.Self), rand.Uint32())}
	at, replaced := a.now(), a.state.head
	a.state.fetchedAt = time.Time{} // if the write fails, the store must be read again
	bodyVersion, err := a.Store.Swap(ctx, next.Body, messenger.Encode(assignment), 0, "")
	if err != nil {
		a.traceWriteFailure(err)
		return
	}
	version, err := a.Store.Swap(ctx, Key, messenger.Encode(next), a.state.headVersion, "")
	if errors.Is(err, storer.ErrConflict) {
		a.deleteBody(ctx, next.Body, bodyVersion)
	}
	if err != nil {
		a.traceWriteFailure(err)
		return
	}
	a.state.headVersion, a.state.head, a.state.fetchedAt, a.state.adoptedBody = version, next, at, next.Body
	if replaced.Body != "" {
		a.deleteBody(ctx, replaced.Body, 0)
	}
	a.Tracer.Add(tracer.Event{Kind: "shares-changed"})
	a.adopt(assignment, at)
}

// traceWriteFailure records that a change is left to the next step: another
// node wrote first, or the store did not answer.
func (a *Assigner) traceWriteFailure(err error) {
	a.Tracer.Add(tracer.Event{Kind: "shares-unwritten", Detail: err.Error()})
}

// deleteBody deletes an assignment that is no longer read. Failures are
// ignored, since a remaining one only takes space in the store.
func (a *Assigner) deleteBody(ctx context.Context, key string, version uint64) {
	if version == 0 {
		e, err := a.Store.Get(ctx, key)
		if err != nil || e.Version == 0 {
			return
		}
		version = e.Version
	}
	_, _ = a.Store.Swap(ctx, key, nil, version, "")
}
