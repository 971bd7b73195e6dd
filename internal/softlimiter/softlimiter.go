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
	"math/rand/v2"
	"slices"
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

	Workspace string
	// Fallback reports that the node which should grant did not answer.
	Fallback bool
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

type shard struct {
	mu      sync.Mutex
	buckets map[string]*bucket
}

// bucket holds the tokens of one workspace at the node that grants them.
type bucket struct {
	// tokens is the token count at updatedAt, at most the burst. It starts
	// below zero if another node may still be granting.
	tokens    float64
	updatedAt time.Time
	// pendingRetries is the estimated number of refused requests that were
	// given a retry-after and have not retried yet.
	pendingRetries float64
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
		node, fallback := l.grantingNode(workspace, time.Now())
		q.Fallback = fallback
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
	if node, _ := l.grantingNode(q.Workspace, now); node == l.Self {
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

// grantingNode returns the running node with the highest rank for the workspace,
// leaving out nodes that recently did not answer. Fallback reports whether the
// first one was left out.
func (l *Limiter) grantingNode(workspace string, now time.Time) (node string, fallback bool) {
	names := l.Alive()
	first := firstRanked(names, workspace)
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.avoids(first, now) {
		return first, false
	}
	answering := slices.DeleteFunc(slices.Clone(names), func(name string) bool { return l.avoids(name, now) })
	return firstRanked(answering, workspace), true
}

// avoids reports whether a node did not answer recently. The caller holds the lock.
func (l *Limiter) avoids(node string, now time.Time) bool {
	until, ok := l.avoidedUntil[node]
	return ok && now.Before(until)
}

// firstRanked returns the name with the highest rank for the workspace, or "".
func firstRanked(names []string, workspace string) (first string) {
	highest := uint64(0)
	for _, name := range names {
		if rank := rankOf(name, workspace); first == "" || rank > highest {
			first, highest = name, rank
		}
	}
	return first
}

// rankOf orders the nodes for a workspace. It builds no string, since it is called
// for each running node.
func rankOf(node, workspace string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(node)
	_, _ = d.WriteString("\n")
	_, _ = d.WriteString(workspace)
	return d.Sum64()
}

func (l *Limiter) avoid(node string, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.avoidedUntil == nil {
		l.avoidedUntil = map[string]time.Time{}
	}
	for name, until := range l.avoidedUntil {
		if now.After(until) {
			delete(l.avoidedUntil, name)
		}
	}
	l.avoidedUntil[node] = now.Add(avoidDuration)
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
	fraction, maxInitial, key := min(l.ReachableFraction(), part), l.MaxInitialTokens(), workspace+suffix
	if suffix != "" {
		maxInitial = 1
	}
	initial := min(maxInitial, float64(burst)*fraction)
	if l.membershipChanging(now) {
		initial -= rate * fraction * maxGrantOverlap.Seconds()
	}
	if suffix == fallbackKeySuffix {
		initial = 1
	}
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

// outrankedUntil returns when a running node last ranked before this one for a
// workspace, or the zero time. Until then that node has granted, so that tokens
// which a bucket of this node has gained meanwhile were granted already.
func (l *Limiter) outrankedUntil(workspace string) (last time.Time) {
	own := rankOf(l.Self, workspace)
	l.mu.Lock()
	defer l.mu.Unlock()
	for name, at := range l.lastAlive {
		if at.After(last) && rankOf(name, workspace) > own {
			last = at
		}
	}
	return last
}

// NoteMembers notes which nodes run. It is called after each change, so that none
// between two queries is missed.
func (l *Limiter) NoteMembers() { l.membershipChanging(time.Now()) }

// membershipChanging reports whether the running nodes changed recently. The
// previous granting node may then still grant to nodes that do not know of the
// change.
func (l *Limiter) membershipChanging(now time.Time) bool {
	names := l.Alive()
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(names) > 0 && len(names) == len(l.members) && &names[0] == &l.members[0] {
		return now.Sub(l.membersChangedAt) < membershipSettleTime
	}
	l.noteStopped(l.members, names, now)
	l.members = names
	digest := uint64(0)
	for _, name := range names {
		digest += xxhash.Sum64String(name)
	}
	if l.membersDigest == 0 {
		l.membersChangedAt = l.Started
	} else if digest != l.membersDigest {
		l.membersChangedAt = now
	}
	l.membersDigest = digest
	return now.Sub(l.membersChangedAt) < membershipSettleTime
}

// noteStopped records when nodes that no longer run were last seen running. The
// caller holds the lock.
func (l *Limiter) noteStopped(before, names []string, now time.Time) {
	if l.lastAlive == nil {
		l.lastAlive = map[string]time.Time{}
	}
	for name, at := range l.lastAlive {
		if now.Sub(at) > bucketIdleTimeout {
			delete(l.lastAlive, name)
		}
	}
	for _, name := range before {
		if name != l.Self && !slices.Contains(names, name) {
			l.lastAlive[name] = now
		}
	}
}

func (s *shard) bucket(key string, initial float64, now time.Time) *bucket {
	if b := s.buckets[key]; b != nil {
		return b
	}
	if s.buckets == nil {
		s.buckets = map[string]*bucket{}
	}
	for idle, b := range s.buckets {
		if now.Sub(b.updatedAt) > bucketIdleTimeout {
			delete(s.buckets, idle)
		}
	}
	b := &bucket{tokens: initial, updatedAt: now}
	s.buckets[key] = b
	return b
}

func (b *bucket) refill(now time.Time, rate, burst float64) {
	added := max(now.Sub(b.updatedAt).Seconds(), 0) * rate
	b.tokens = min(b.tokens+added, burst)
	b.pendingRetries = max(b.pendingRetries-added, 0)
	b.updatedAt = now
}

// scheduleRetry returns the retry-after of a refused request. Each one is
// queued after those refused before, so that they do not all retry at once.
func (b *bucket) scheduleRetry(rate float64) time.Duration {
	b.pendingRetries++
	seconds := (b.pendingRetries + 1 - b.tokens) / max(rate, 1e-3) * (0.9 + 0.2*rand.Float64())
	return min(time.Duration(seconds*float64(time.Second)), maxRetryAfter)
}
