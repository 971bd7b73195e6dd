// Package softlimiter keeps each workspace near its rate and burst over the
// whole fleet without coordination: the running node with the highest hash for a
// workspace grants all its tokens, from memory.
//
// It is for fleets whose operators allow a bounded excess. During a network
// partition each side grants the fraction of the rate that matches the members
// that its granting node reaches, which that checks while tokens are scarce. A
// node that takes over granting starts with at most MaxInitialTokens tokens
// instead of a full burst. Package limiter is for fleets that allow no excess.
package softlimiter

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/zinniaproxy/zinniaproxy/pkg/coder"
)

const (
	// DefaultQueryTimeout bounds a query to the granting node. It allows for
	// several round trips within a region.
	DefaultQueryTimeout = 200 * time.Millisecond
	// maxNodesQueried is how many nodes are queried in turn, and
	// maxQueriesPerNode how often each of them if its link breaks.
	maxNodesQueried   = 2
	maxQueriesPerNode = 2
	// fallbackFraction is the fraction of the rate that a node grants in place of
	// another that other members reach. fallbackKeySuffix separates that bucket,
	// and the one for a node that no member reaches, from the node's own. It holds
	// one token after fallbackIdleTimeout without a query, since the other node has
	// granted meanwhile.
	fallbackFraction    = 0.1
	fallbackKeySuffix   = "\ninstead"
	fallbackIdleTimeout = time.Second
	// lastResortKeySuffix separates the bucket for the last resort, and
	// lastResortDivisor divides the part of the rate, by the number of nodes,
	// that a node grants to itself if it reaches no granting node.
	lastResortKeySuffix = "\nalone"
	lastResortDivisor   = 2
	// maxGrantOverlap is how long two nodes may both grant for a workspace that
	// moves between them. membershipSettleTime is how long after a membership
	// change a workspace may be moving.
	maxGrantOverlap      = 500 * time.Millisecond
	membershipSettleTime = 3 * time.Second
	// maxJoinWait is how long after its start a node delays requests until it
	// knows other members, which takes a read from the store and a round trip.
	maxJoinWait      = time.Second
	joinPollInterval = 10 * time.Millisecond
	// avoidDuration is how long a node that did not answer is not queried.
	avoidDuration = time.Second
	// bucketIdleTimeout is how long the bucket of a workspace without requests
	// is kept.
	bucketIdleTimeout = time.Minute
	// maxRetryAfter bounds the retry-after of a refused request.
	maxRetryAfter = 5 * time.Second
	// unlimitedRate is the rate in tokens per second at and above which a
	// workspace is not limited.
	unlimitedRate = 1_000_000
	shardCount    = 16
)

// Query asks for one token of a workspace.
type Query struct {
	_msgpack struct{} `msgpack:",as_array"`

	// Workspace is empty for a query that only checks whether the node is reached.
	Workspace string
}

// Reply answers a Query.
type Reply struct {
	_msgpack struct{} `msgpack:",as_array"`

	Granted bool
	// RetryAfter is when a token is expected, for a request that got none.
	RetryAfter time.Duration
}

// Limiter limits the request rates of workspaces. Set the exported fields
// before the first call.
type Limiter struct {
	// Self is the name of this node.
	Self string
	// Alive returns the names of the running nodes, including this one. It returns
	// another slice when they change.
	Alive func() []string
	// ReachableFraction returns the fraction of the membership that this node
	// knows to be running, 0 to 1.
	ReachableFraction func() float64
	// AliveByCentre returns the nodes of Alive by their data centre. Nil means that
	// all are in one.
	AliveByCentre func() map[string][]string
	// Suspect reports whether no member reaches a running node. Nil means that
	// this is never known.
	Suspect func(node string) bool
	// Limit returns the current rate, in tokens per second, and burst of a
	// workspace.
	Limit func(workspace string) (rate float64, burst int, ok bool)
	// SendQuery sends a query to another node.
	SendQuery func(ctx context.Context, node string, q *Query) (*Reply, error)
	// MaxInitialTokens returns the maximum number of tokens that a new bucket
	// starts with.
	MaxInitialTokens func() float64
	// Started is when this process started.
	Started time.Time
	// Joined reports whether this node knows other members. Until then requests
	// wait for up to maxJoinWait, since nodes that know no others would each
	// grant the whole rate. Nil means always true.
	Joined func() bool
	// QueryTimeout replaces DefaultQueryTimeout unless it is 0.
	QueryTimeout time.Duration

	shards [shardCount]shard
	mu     sync.Mutex
	// members are the running nodes when last seen, membersDigest is a digest of
	// them, and membersChangedAt is when that last changed.
	members          []string
	membersDigest    uint64
	membersChangedAt time.Time
	// lastAlive maps nodes that no longer run to when they were last seen running,
	// for bucketIdleTimeout.
	lastAlive map[string]time.Time
	// avoidedUntil maps nodes that did not answer to the time until which they
	// are not queried.
	avoidedUntil map[string]time.Time

	contacts contacts
}

// Take takes one token of a workspace. The error is a *coder.Error.
func (l *Limiter) Take(ctx context.Context, workspace string) error {
	rate, _, ok := l.Limit(workspace)
	if !ok {
		return coder.New(coder.LimitUnavailable, "%s", workspace).WithAfter(time.Second)
	}
	if rate >= unlimitedRate {
		return nil
	}
	l.awaitMembers(ctx)
	reply := l.query(ctx, workspace)
	if reply.Granted {
		return nil
	}
	return coder.New(coder.RateExceeded, "%s", workspace).WithAfter(reply.RetryAfter)
}

// awaitMembers waits until the node knows other members, for at most
// maxJoinWait after its start.
func (l *Limiter) awaitMembers(ctx context.Context) {
	for l.Joined != nil && time.Since(l.Started) < maxJoinWait && ctx.Err() == nil && !l.Joined() {
		time.Sleep(joinPollInterval)
	}
}

// query queries the node that grants a workspace's tokens, or the next one if
// that does not answer.
func (l *Limiter) query(ctx context.Context, workspace string) *Reply {
	q := &Query{Workspace: workspace}
	for range maxNodesQueried {
		node := l.grantingNode(workspace, time.Now())
		if node == l.Self || node == "" {
			break
		}
		if reply := l.queryNode(ctx, node, q); reply != nil {
			return reply
		}
		l.avoid(node, time.Now())
	}
	return l.grantSelf(q, time.Now())
}

// grantSelf grants to this node's own requests: as the granting node, or else a
// part of the rate as small as this node's part of the fleet.
func (l *Limiter) grantSelf(q *Query, now time.Time) *Reply {
	if l.grantingNode(q.Workspace, now) == l.Self {
		return l.grant(q, now)
	}
	return l.grantFrom(q.Workspace, lastResortKeySuffix, 1/float64(lastResortDivisor*max(len(l.Alive()), 1)), now)
}

// queryNode queries one node, and retries at once if the link broke, since a new
// link may work. It returns nil if no reply came.
func (l *Limiter) queryNode(ctx context.Context, node string, q *Query) *Reply {
	timeout := l.QueryTimeout
	if timeout == 0 {
		timeout = DefaultQueryTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	for range maxQueriesPerNode {
		reply, err := l.SendQuery(ctx, node, q)
		if err == nil {
			l.contacts.note(node, time.Now())
			return reply
		}
		if ctx.Err() != nil {
			return nil
		}
	}
	return nil
}

// Handle answers a query of another node.
func (l *Limiter) Handle(_ context.Context, from string, q *Query) (*Reply, error) {
	now := time.Now()
	l.contacts.note(from, now)
	if q.Workspace == "" {
		return &Reply{}, nil // only checks that this node is reached
	}
	return l.grant(q, now), nil
}

// grant takes a token from this node's own bucket if it is the first running node
// for the workspace. In place of the first one, which may still be granting, it
// grants the part of the members that it reaches if no member reaches any node
// before it, and a small fraction otherwise.
func (l *Limiter) grant(q *Query, now time.Time) *Reply {
	own, part, suffix := rankOf(l.Self, q.Workspace), l.contactFraction(now), ""
	for _, name := range l.Alive() {
		if name == l.Self || rankOf(name, q.Workspace) <= own {
			continue
		}
		suffix, part = fallbackKeySuffix, max(l.answeredFraction(now), fallbackFraction)
		if l.Suspect == nil || !l.Suspect(name) {
			part = fallbackFraction
			break
		}
	}
	return l.grantFrom(q.Workspace, suffix, part, now)
}

// grantFrom takes a token from the bucket of a workspace with the suffix, which
// has a part of the rate and burst, if that part of the members is running.
func (l *Limiter) grantFrom(workspace, suffix string, part float64, now time.Time) *Reply {
	rate, burst, ok := l.Limit(workspace)
	if !ok {
		return &Reply{RetryAfter: time.Second}
	}
	fraction, key := min(l.ReachableFraction(), part), workspace+suffix
	initial := l.initialTokens(suffix, rate*fraction, float64(burst)*fraction, now)
	var outrankedUntil time.Time
	if suffix == "" {
		outrankedUntil = l.outrankedUntil(workspace)
	}
	s := &l.shards[xxhash.Sum64String(key)%shardCount]
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.bucket(key, initial, now)
	if b.updatedAt.Before(outrankedUntil) || now.Sub(b.updatedAt) > bucketIdleTimeout {
		*b = bucket{tokens: min(b.tokens, initial), updatedAt: now}
	}
	limit := max(float64(burst)*fraction, 1)
	if suffix == fallbackKeySuffix && now.Sub(b.updatedAt) > fallbackIdleTimeout {
		limit = 1
	}
	b.refill(now, rate*fraction, limit)
	if b.tokens < scarceFraction*float64(burst)*fraction {
		l.checkContacts(now)
	}
	if b.tokens >= 1 {
		b.tokens--
		return &Reply{Granted: true}
	}
	return &Reply{RetryAfter: b.scheduleRetry(rate * fraction)}
}

// initialTokens returns what a new bucket with a rate and burst starts with.
func (l *Limiter) initialTokens(suffix string, rate, burst float64, now time.Time) float64 {
	changing := l.membershipChanging(now)
	if suffix == fallbackKeySuffix {
		return 1
	}
	most := 1.0
	if suffix == "" {
		most = l.MaxInitialTokens()
	}
	initial := min(most, burst)
	if changing {
		initial -= rate * maxGrantOverlap.Seconds()
	}
	return initial
}
