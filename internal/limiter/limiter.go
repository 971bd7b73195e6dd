// Package limiter keeps each workspace within its rate and burst across the
// whole fleet. The share assignment (package assigner) says which process, the
// holder, grants the tokens of each share. Every node sends token requests to
// the holders in batches, and busy nodes prefetch tokens. Whatever fails, two
// processes never grant the same share at the same time.
package limiter

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/zinniaproxy/zinniaproxy/internal/assigner"
	"github.com/zinniaproxy/zinniaproxy/internal/messenger"
	"github.com/zinniaproxy/zinniaproxy/internal/storer"
	"github.com/zinniaproxy/zinniaproxy/internal/tracer"
)

// Defaults of a Limiter.
const (
	// DefaultClockDrift is the largest relative error of a clock's speed.
	DefaultClockDrift = 0.001
	// DefaultFence is how long a process may use its shares after the last
	// moment at which they were known to be its own.
	DefaultFence = 6 * time.Second
	// DefaultMaxWait is the longest time that a request waits for a token.
	DefaultMaxWait = time.Second
	// DefaultQueryTimeout bounds one query.
	DefaultQueryTimeout = 250 * time.Millisecond

	// Bounds on how long a granted token stays valid: minTokenTTL and
	// maxTokenTTL for one granted to a waiting request, maxPrefetchTTL for a
	// prefetched one.
	minTokenTTL    = 30 * time.Millisecond
	maxTokenTTL    = 300 * time.Millisecond
	maxPrefetchTTL = 500 * time.Millisecond

	sweepInterval      = time.Second
	leaveRetryInterval = 50 * time.Millisecond
	maxMembershipAge   = 200 * time.Millisecond
	// receiverAgeMargin is how much longer than the fence a member must have
	// been seen before shares are handed over to it.
	receiverAgeMargin = 2 * time.Second
)

var (
	errNoPeer        = errors.New("limiter: no other member to query")
	errWrongProcess  = errors.New("limiter: handover for another process, or no share assignment here yet")
	errStaleHandover = errors.New("limiter: handover older than the last one received")
)

// Limiter admits requests. Set the exported fields before Run.
type Limiter struct {
	// Self is this process. Its epoch changes with each restart.
	Self messenger.Node
	// Store holds the share assignment.
	Store *storer.Store
	// Members returns the nodes that are believed to be alive and are not
	// leaving.
	Members func() []messenger.Node
	// Quorum reports whether this node has two-way contact with at least half
	// of the members. Nil means that it always has.
	Quorum func() bool
	// NewestNumber returns the newest known number of the share assignment, and
	// an upper bound on how long ago the store was known to hold it, including
	// the time in transit.
	NewestNumber func() (number uint64, age time.Duration, ok bool)
	// GossipNumber gossips a new number to other nodes. It may be nil.
	GossipNumber func(number uint64)
	// Workspace returns a workspace's rate in tokens per second and its burst,
	// as configured now.
	Workspace func(name string) (rate float64, burst int, ok bool)
	// WideWorkspaces returns the workspaces that are large enough to be split
	// over several holders, and the number of the configuration. Nil means none.
	WideWorkspaces func() ([]string, uint64)
	// SendQuery sends a query to a node, and SendHandover a handover.
	SendQuery    func(ctx context.Context, node string, q *Query) (*Reply, error)
	SendHandover func(ctx context.Context, node string, t *Handover) (*HandoverReply, error)
	// Now is the process's clock. Nil means time.Now.
	Now func() time.Time
	// ClockDrift, Fence, MaxWait and QueryTimeout replace the defaults if they
	// are positive.
	ClockDrift                   float64
	Fence, MaxWait, QueryTimeout time.Duration
	// HolderTimeout replaces assigner.DefaultHolderTimeout if it is positive.
	HolderTimeout time.Duration
	// Tracer receives the events. It may be nil.
	Tracer *tracer.Tracer

	once             sync.Once
	process          string
	started          time.Time // by Now; Grant.GrantedAt counts from here
	assigner         *assigner.Assigner
	holder           holder
	client           client
	cachedMembership atomic.Pointer[membership]

	// handoverLock has room for one element: only one handover runs at a time.
	handoverLock        chan struct{}
	handoverSequence    uint64
	unansweredHandovers map[string]*Handover
	firstSeen           map[string]time.Time // by process identity; only Run uses it
}

// membership is a cached copy of the member list.
type membership struct {
	readAt time.Time
	alive  map[string]string // node name by process identity
	nodes  []string
}

func (l *Limiter) setup() {
	l.once.Do(func() {
		l.process, l.started = assigner.Identity(l.Self), l.now()
		l.unansweredHandovers, l.firstSeen = map[string]*Handover{}, map[string]time.Time{}
		l.handoverLock = make(chan struct{}, 1)
		l.client.setup()
		l.assigner = &assigner.Assigner{
			Self: l.Self, Store: l.Store, Members: l.Members, Quorum: l.Quorum, WideWorkspaces: l.WideWorkspaces,
			NewestNumber: l.NewestNumber, GossipNumber: l.GossipNumber, Now: l.Now, HolderTimeout: l.HolderTimeout, Tracer: l.Tracer,
			Adopt: l.adopt, Claims: l.claims, Peer: l.queryAssignment,
		}
	})
}

// NoteEra records an era of the store, which rises each time that the store is
// restored from an older copy. It does not block.
func (l *Limiter) NoteEra(era uint64) {
	l.setup()
	l.assigner.NoteEra(era)
}

func (l *Limiter) now() time.Time {
	if l.Now != nil {
		return l.Now()
	}
	return time.Now()
}

func (l *Limiter) clockDrift() float64 {
	if l.ClockDrift > 0 {
		return l.ClockDrift
	}
	return DefaultClockDrift
}

func positiveOr(d, fallback time.Duration) time.Duration {
	if d > 0 {
		return d
	}
	return fallback
}

func (l *Limiter) fence() time.Duration { return positiveOr(l.Fence, DefaultFence) }

// membership returns a copy of the member list that is at most maxMembershipAge
// old.
func (l *Limiter) membership() *membership {
	now := l.now()
	if m := l.cachedMembership.Load(); m != nil && now.Sub(m.readAt) < maxMembershipAge {
		return m
	}
	m := &membership{readAt: now, alive: map[string]string{}}
	for _, node := range l.Members() {
		m.alive[assigner.Identity(node)] = node.Name
		m.nodes = append(m.nodes, node.Name)
	}
	l.cachedMembership.Store(m)
	return m
}

// Run follows the share assignment, hands shares over to the nodes that the
// plan names and drops idle state, until the context ends.
func (l *Limiter) Run(ctx context.Context) {
	l.setup()
	var wg sync.WaitGroup
	wg.Go(func() { l.assigner.Run(ctx) })
	for ctx.Err() == nil {
		sleep(ctx, sweepInterval)
		l.sweep()
		plan, _ := l.assigner.Planned()
		l.rebalance(ctx, plan, l.settledMembers())
	}
	wg.Wait()
}

// settledMembers returns a function that reports whether a member has been seen
// for long enough to accept shares.
func (l *Limiter) settledMembers() func(identity string) bool {
	now, alive := l.now(), l.membership().alive
	for identity := range l.firstSeen {
		if _, ok := alive[identity]; !ok {
			delete(l.firstSeen, identity)
		}
	}
	for identity := range alive {
		if _, ok := l.firstSeen[identity]; !ok {
			l.firstSeen[identity] = now
		}
	}
	return func(identity string) bool {
		seen, ok := l.firstSeen[identity]
		return ok && now.Sub(seen) > l.fence()+receiverAgeMargin
	}
}

// Leave hands all shares over to the other nodes. Call it when the node takes
// no more requests and the other nodes no longer list it as a member, but
// before its links close.
func (l *Limiter) Leave(ctx context.Context) {
	l.setup()
	l.handOverAll(ctx)
}

// SoleHolder returns the node that alone grants a workspace's tokens, or "" if
// there is no such node. Requests that enter at that node need no query.
func (l *Limiter) SoleHolder(workspace string) string {
	l.setup()
	hash, first := firstShare(workspace)
	if assignment := l.assigner.Assignment(); assignment == nil || assignment.IsWide(hash) {
		return ""
	}
	return l.nodeForShare(first)
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// sweep drops the state of idle workspaces.
func (l *Limiter) sweep() {
	now := l.now()
	l.holder.sweep(now)
	l.holder.dropReplies(l.membership().alive)
	l.client.sweep(now)
}

// sweep drops accounts that are full, since a workspace without an account
// counts as full once its share is old enough. An account must be full by the
// largest rate and burst that it had, because a limit that was lowered for a
// moment may rise again.
func (h *holder) sweep(now time.Time) {
	h.mu.RLock()
	defer h.mu.RUnlock()
	for _, s := range h.held {
		if s != nil {
			s.sweep(now)
		}
	}
}

func (s *heldShare) sweep(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, acc := range s.accounts {
		limit := acc.limit
		earned := now.Sub(acc.lastUsed).Seconds() * acc.minRate * (1 - limit.Drift)
		full := limit.Rate > 0 && acc.Full(now, limit) && earned >= acc.maxBurst
		if full && max(now.Sub(s.validFrom), 0).Seconds()*limit.Rate >= 2*limit.Burst {
			delete(s.accounts, name)
		}
	}
}
