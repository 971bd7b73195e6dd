// Package softlimiter keeps each workspace near its rate and burst over the
// whole fleet without coordination: the running node with the highest hash for a
// workspace, its granting node, grants all its tokens from memory.
//
// It is for fleets whose operators allow a bounded excess. If the granting node
// does not answer, the nodes next in the order of hashes are asked. Such a
// fallback passes queries on while anyone it reaches still reaches the granting
// node, and otherwise grants in its place. A granting node that reaches fewer
// than half of the nodes grants next to nothing, since another may have taken
// over. Once the member list has settled after a network partition, each side
// grants the fraction of the rate that matches its fraction of the membership.
// Package limiter is for fleets that allow no excess.
package softlimiter

import (
	"context"
	"sync"
	"time"

	"github.com/zinniaproxy/zinniaproxy/pkg/coder"
)

const (
	// DefaultQueryTimeout bounds a query to another node. It allows for several
	// round trips within a region. hedgeDelay is how long a node may take to
	// answer before the next one is asked as well: three silent nodes in a row
	// must cost a workspace less than a tenth of its rate in 2 s.
	DefaultQueryTimeout = 200 * time.Millisecond
	hedgeDelay          = 50 * time.Millisecond
	// maxNodesQueried is how many nodes are queried in turn, and
	// maxQueriesPerNode how often each of them if its link breaks.
	maxNodesQueried   = 3
	maxQueriesPerNode = 2
	// lastResortKeySuffix separates the bucket for the last resort, and
	// lastResortDivisor divides the part of the rate, by the number of nodes,
	// that a node grants to itself if no queried node answers.
	lastResortKeySuffix = "\nalone"
	lastResortDivisor   = 2
	// maxJoinWait is how long after its start a node delays requests until it
	// knows other members, which takes a read from the store and a round trip.
	maxJoinWait      = time.Second
	joinPollInterval = 10 * time.Millisecond
	// minQueryFraction and minGrantFraction are the fractions of the membership
	// that a node must reach before it queries others and before it grants, during
	// maxJoinWait.
	minQueryFraction = 0.5
	minGrantFraction = 0.9
	// unlimitedRate is the rate in tokens per second at and above which a
	// workspace is not limited.
	unlimitedRate = 1_000_000
)

// Query asks for one token of a workspace unless Probe or Claim is set.
type Query struct {
	_msgpack struct{} `msgpack:",as_array"`

	Workspace string
	// Fallback reports that the granting node did not answer the asking node.
	Fallback bool
	// Relayed reports that a fallback passes the query on.
	Relayed bool
	// Target is the node to which the receiver passes the query on, since the
	// sender does not reach it. Empty means that the query is for the receiver.
	Target string
	// Probe asks only whether the receiver, or Target, answers.
	Probe bool
	// Claim is the name of a node that grants the workspace's tokens. The receiver
	// stops granting and hands over its tokens.
	Claim string
}

// Reply answers a Query.
type Reply struct {
	_msgpack struct{} `msgpack:",as_array"`

	Granted bool
	// RetryAfter is when a token is expected, for a request that got none.
	RetryAfter time.Duration
	// Unanswered reports that the Target of the query did not answer, or that the
	// receiver has just started and does not grant yet.
	Unanswered bool
	// Declined reports that the receiver of a relayed query takes the sender for
	// the granting node, or the receiver of a claim itself.
	Declined bool
	// Held reports that the receiver of a claim has granted so far, Tokens is what
	// its bucket held, and Fraction the fraction of the membership that it reaches.
	Held             bool
	Tokens, Fraction float64
}

// Limiter limits the request rates of workspaces. Set the exported fields
// before the first call.
type Limiter struct {
	// Self is the name of this node.
	Self string
	// Alive returns the names of the running nodes, including this one unless it
	// is leaving. It returns another slice when they change.
	Alive func() []string
	// ReachableFraction returns the fraction of the membership that this node
	// reaches, 0 to 1.
	ReachableFraction func() float64
	// Limit returns the current rate, in tokens per second, and burst of a
	// workspace.
	Limit func(workspace string) (rate float64, burst int, ok bool)
	// SendQuery sends a query to another node.
	SendQuery func(ctx context.Context, node string, q *Query) (*Reply, error)
	// MaxInitialTokens returns the maximum number of tokens that a granting node
	// starts with if no other hands over its tokens.
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
	// membership is what is known about changes of the running nodes.
	membership membership
	// avoidedUntil maps nodes that did not answer to the time until which they
	// are not queried. A node is removed when it answers.
	avoidedUntil map[string]time.Time
	// claimants maps workspaces to the nodes that claimed them last.
	claimants map[string]claimant
	// observations maps nodes in whose place this one was asked to whether they
	// answer.
	observations map[string]*observation
	reach        reach
	// lentFraction is the highest fraction of the membership that another node
	// reached which handed over its tokens.
	lentFraction float64
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

// awaitMembers waits until the node knows enough members, for at most maxJoinWait
// after its start.
func (l *Limiter) awaitMembers(ctx context.Context) {
	for ctx.Err() == nil && l.knowsLess(minQueryFraction) {
		time.Sleep(joinPollInterval)
	}
}

// joining reports whether this process has just started and knows too few members
// to tell from whom it takes over. It grants nothing then, so that a fallback goes
// on.
func (l *Limiter) joining() bool { return l.knowsLess(minGrantFraction) }

// knowsLess reports whether this process has just started and reaches less than a
// fraction of the membership.
func (l *Limiter) knowsLess(fraction float64) bool {
	return time.Since(l.Started) < maxJoinWait && (l.Joined != nil && !l.Joined() || l.ReachableFraction() < fraction)
}

// query queries the granting node of a workspace and, as long as no reply comes,
// the next ones in rank as well.
func (l *Limiter) query(ctx context.Context, workspace string) *Reply {
	a := &attempts{l: l, results: make(chan result, maxNodesQueried)}
	for range maxNodesQueried {
		node, fallback := l.nextNode(workspace, time.Now())
		if node == "" {
			break
		}
		q := &Query{Workspace: workspace, Fallback: fallback}
		if node == l.Self {
			return l.answer(ctx, l.Self, q)
		}
		if reply := a.ask(ctx, node, q); reply != nil {
			return reply
		}
	}
	if reply := a.awaitLate(); reply != nil {
		return reply
	}
	part := 1 / float64(lastResortDivisor*max(len(l.Alive()), 1))
	return l.grantPart(workspace, lastResortKeySuffix, part, time.Now())
}

// attempts is the queries of one request to several nodes.
type attempts struct {
	l       *Limiter
	results chan result
	pending int
}

// result is the reply of a node, or nil.
type result struct {
	node  string
	reply *Reply
}

// ask queries a further node. It returns the first reply of any node, or nil if
// that node fails or takes longer than hedgeDelay; it is then avoided.
func (a *attempts) ask(ctx context.Context, node string, q *Query) *Reply {
	a.pending++
	go func() { a.results <- result{node, a.l.queryNode(ctx, node, q)} }()
	timer := time.NewTimer(hedgeDelay)
	defer timer.Stop()
	for {
		select {
		case r := <-a.results:
			a.pending--
			switch {
			case r.reply != nil:
				if r.node == node {
					a.l.noteAnswer(node)
				}
				return r.reply
			case r.node == node:
				a.l.avoid(node, time.Now())
				return nil
			}
		case <-timer.C:
			a.l.avoid(node, time.Now())
			return nil
		}
	}
}

// awaitLate returns the first reply to the queries that have not ended, or nil.
func (a *attempts) awaitLate() *Reply {
	for ; a.pending > 0; a.pending-- {
		if r := <-a.results; r.reply != nil {
			return r.reply
		}
	}
	return nil
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
		switch {
		case err == nil && !reply.Unanswered:
			return reply
		case err == nil, ctx.Err() != nil:
			return nil
		}
	}
	return nil
}

// Handle answers a query of another node.
func (l *Limiter) Handle(ctx context.Context, peer string, q *Query) (*Reply, error) {
	return l.answer(ctx, peer, q), nil
}

// answer answers a query of a peer, or of this node itself.
func (l *Limiter) answer(ctx context.Context, peer string, q *Query) *Reply {
	switch {
	case q.Target != "" && q.Target != l.Self:
		return l.passOn(ctx, q)
	case q.Probe:
		return &Reply{Unanswered: l.joining()}
	case q.Claim != "":
		return l.handleClaim(q.Claim, q.Workspace, time.Now())
	case l.joining():
		return &Reply{Unanswered: true}
	}
	switch granting := l.grantingNode(q.Workspace, time.Now()); {
	case granting == l.Self || granting == "":
		return l.grantOwned(ctx, q.Workspace)
	case granting == peer && q.Relayed:
		return &Reply{Declined: true}
	}
	return l.grantAsFallback(ctx, q)
}
