package softlimiter

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// fallbackFraction is the fraction of the rate that a node grants in place of
	// another if it is unclear whether that one still grants. fallbackKeySuffix
	// separates that bucket from the node's own.
	fallbackFraction  = 0.1
	fallbackKeySuffix = "\ninstead"
	// probeTimeout bounds one probe, and witnessDelay is how long the direct probe
	// may take before witnesses are asked. A witness takes a probe and a round
	// trip.
	probeTimeout   = 75 * time.Millisecond
	witnessDelay   = 25 * time.Millisecond
	witnessTimeout = probeTimeout + 50*time.Millisecond
	// maxWitnesses bounds the messages of one check. Beyond it witnesses are drawn
	// at random.
	maxWitnesses = 128
	// recheckInterval is the interval at which a node is checked while others are
	// asked in its place, and observationValidity how long a result is used.
	recheckInterval     = time.Second
	observationValidity = 2 * time.Second
	// maxCheckWait is how long a request waits for a check: less than hedgeDelay,
	// or the asking node would ask a further node.
	maxCheckWait = 35 * time.Millisecond
	// maxFallbackAttempts is how often a query is passed on, or waits for a check,
	// before it is refused.
	maxFallbackAttempts = 2
	// minSilence is how long ago a node must have answered last so that another
	// grants in its place before the first check has ended. It keeps repeated
	// disturbances from adding up in the window of 5 s that counts.
	minSilence = 5 * time.Second
)

// state is what a check found out about a node.
type state int

const (
	unchecked state = iota
	// answering means that it answered this node or a witness.
	answering
	// unclear means that it answered neither this node nor a witness, but that too
	// few witnesses replied.
	unclear
	// gone means that it answered none of more than half of the nodes.
	gone
)

// observation is what is known about a node in whose place this one is asked.
type observation struct {
	state state
	// via is the witness that the node answered, or "" if it answered this one.
	via string
	// checkedAt is when the last check ended, and answeredAt when the node last
	// answered a check. claimedAt is when it last claimed a workspace.
	checkedAt, answeredAt, claimedAt time.Time
	// checking is closed when the check in progress has ended. It is nil while
	// there is none.
	checking chan struct{}
}

// grantAsFallback answers a query in place of the granting node: it passes the query
// on to the first superior that answers, or else grants itself.
func (l *Limiter) grantAsFallback(ctx context.Context, q *Query) *Reply {
	reply := &Reply{RetryAfter: witnessTimeout}
	for range maxFallbackAttempts {
		s := l.observeSuperiors(q.Workspace, time.Now())
		switch {
		case s.answering != "":
			if relayed := l.relay(ctx, s.answering, s.via, q); relayed != nil {
				return relayed
			}
		case s.state == gone:
			return l.grantWholeAsFallback(q.Workspace, time.Now())
		case s.state == unclear:
			l.drop(q.Workspace)
			return l.grantPart(q.Workspace, fallbackKeySuffix, fallbackFraction, time.Now())
		default:
			if q.Fallback && s.silent {
				if reply = l.grantWholeAsFallback(q.Workspace, time.Now()); reply.Granted {
					return reply
				}
			}
			awaitAny(ctx, s.checking)
		}
	}
	return reply
}

// superiors is what is known about the nodes in whose place this one is asked.
type superiors struct {
	// answering is the first one that answers, reached through via unless empty.
	answering, via string
	// state is the state of all if none answers: gone only if all are.
	state state
	// silent is set if none has answered for minSilence.
	silent bool
	// checking are the checks in progress.
	checking []chan struct{}
}

// observeSuperiors returns what is known about the superiors of this node for a
// workspace: the running nodes that outrank it, and the granting node. It starts
// the checks that are due.
func (l *Limiter) observeSuperiors(workspace string, now time.Time) superiors {
	names := []string{}
	granting := l.grantingNode(workspace, now)
	for _, name := range byRank(l.Alive(), workspace) {
		if name != l.Self && outranks(name, l.Self, workspace) {
			names = append(names, name)
		}
	}
	if !slices.Contains(names, granting) && granting != l.Self {
		names = append([]string{granting}, names...)
	}
	out := superiors{state: gone, silent: true}
	for _, name := range names {
		o := l.observe(name, now)
		if o.state == answering && out.answering == "" {
			out.answering, out.via = name, o.via
		}
		out.state = min(out.state, o.state)
		out.silent = out.silent && now.Sub(o.answeredAt) > minSilence
		if o.checking != nil {
			out.checking = append(out.checking, o.checking)
		}
	}
	return out
}

// observe returns what is known about a node, and starts a check if that is due.
func (l *Limiter) observe(node string, now time.Time) observation {
	l.mu.Lock()
	defer l.mu.Unlock()
	o := l.observation(node)
	if o.checking == nil && now.Sub(o.checkedAt) >= recheckInterval {
		o.checking = make(chan struct{})
		go l.check(node)
	}
	out := *o
	if now.Sub(o.checkedAt) > observationValidity {
		out.state = unchecked
	}
	return out
}

// observation returns the entry of a node. The caller holds the lock.
func (l *Limiter) observation(node string) *observation {
	o := l.observations[node]
	if o == nil {
		if l.observations == nil {
			l.observations = map[string]*observation{}
		}
		for name, old := range l.observations {
			if old.checking == nil && time.Since(old.checkedAt) > bucketIdleTimeout {
				delete(l.observations, name)
			}
		}
		o = &observation{}
		l.observations[node] = o
	}
	return o
}

// awaitAny waits for one of the checks, for at most maxCheckWait.
func awaitAny(ctx context.Context, checks []chan struct{}) {
	if len(checks) == 0 {
		return
	}
	timer := time.NewTimer(maxCheckWait)
	defer timer.Stop()
	select {
	case <-checks[0]:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// relay passes a query on to a superior, through a witness unless via is empty.
// It returns nil if no reply came.
func (l *Limiter) relay(ctx context.Context, node, via string, q *Query) *Reply {
	relayed, receiver := &Query{Workspace: q.Workspace, Relayed: true}, node
	if via != "" {
		relayed.Target, receiver = node, via
	}
	ctx, cancel := context.WithTimeout(ctx, witnessTimeout)
	defer cancel()
	reply, err := l.SendQuery(ctx, receiver, relayed)
	if err != nil || reply.Unanswered {
		l.mu.Lock()
		defer l.mu.Unlock()
		if o := l.observation(node); o.state == answering {
			o.state, o.checkedAt = unchecked, time.Time{}
		}
		return nil
	}
	if reply.Declined {
		return l.grantOwned(ctx, q.Workspace)
	}
	l.drop(q.Workspace)
	return reply
}

// passOn passes a query on to its target for a node that does not reach it.
func (l *Limiter) passOn(ctx context.Context, q *Query) *Reply {
	passed := *q
	passed.Target = ""
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	reply, err := l.SendQuery(ctx, q.Target, &passed)
	if err != nil {
		return &Reply{Unanswered: true}
	}
	return reply
}

// check finds out whether a node answers this one or any witness.
func (l *Limiter) check(node string) {
	started := time.Now()
	found, via := l.findPath(node)
	l.mu.Lock()
	defer l.mu.Unlock()
	o := l.observation(node)
	now := time.Now()
	close(o.checking)
	o.checking = nil
	switch {
	case found == answering:
		o.answeredAt = now
	case o.claimedAt.After(started):
		found, now = unchecked, time.Time{}
	}
	o.state, o.via, o.checkedAt = found, via, now
}

// findPath probes a node directly and, if that takes long or fails, through the
// other running nodes.
func (l *Limiter) findPath(node string) (found state, via string) {
	ctx, cancel := context.WithTimeout(context.Background(), witnessDelay+witnessTimeout)
	defer cancel()
	witnesses := l.witnesses(node)
	replies := make(chan probeReply, len(witnesses)+1)
	go func() { replies <- l.probe(ctx, "", node) }()
	disconfirmed, pending := 0, 1
	timer := time.NewTimer(witnessDelay)
	defer timer.Stop()
	select {
	case r := <-replies:
		if r.answered {
			return answering, ""
		}
		disconfirmed, pending = 1, 0
	case <-timer.C:
	}
	for _, w := range witnesses {
		go func() { replies <- l.probe(ctx, w, node) }()
	}
	for range pending + len(witnesses) {
		r := <-replies
		if r.answered {
			return answering, r.via
		}
		if r.unanswered {
			disconfirmed++
		}
	}
	if 2*disconfirmed > len(witnesses)+2 {
		return gone, ""
	}
	return unclear, ""
}

// witnesses returns the running nodes that may reach a node for this one.
func (l *Limiter) witnesses(node string) []string {
	names := slices.DeleteFunc(slices.Clone(l.Alive()), func(name string) bool { return name == node || name == l.Self })
	rand.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	return names[:min(len(names), maxWitnesses)]
}

// probeReply is the result of a probe through a witness, or of this node.
type probeReply struct {
	via string
	// replied is set if the queried node replied at all.
	replied bool
	// answered reports that the probed node may grant, and unanswered that it does
	// not. Neither is set if the witness did not reply.
	answered, unanswered bool
}

func (l *Limiter) probe(ctx context.Context, via, node string) probeReply {
	q, receiver := &Query{Probe: true, Relayed: true}, node
	if via != "" {
		q.Target, receiver = node, via
	} else {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, probeTimeout)
		defer cancel()
	}
	reply, err := l.SendQuery(ctx, receiver, q)
	if err != nil {
		return probeReply{via: via, unanswered: via == ""}
	}
	return probeReply{via: via, replied: true, answered: !reply.Unanswered, unanswered: reply.Unanswered}
}

// grantWholeAsFallback grants from the whole rate in place of superiors that are gone,
// from a bucket that starts without tokens. After a time without requests, in
// which a superior may have granted, the bucket has one token at most.
func (l *Limiter) grantWholeAsFallback(workspace string, now time.Time) *Reply {
	rate, _, ok := l.limits(workspace)
	if !ok {
		return &Reply{RetryAfter: time.Second}
	}
	s := l.shardOf(workspace)
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.buckets[workspace]
	switch {
	case b == nil:
		b = s.add(workspace, &bucket{updatedAt: now, claimedAt: now, claiming: true})
		go l.takeOver(workspace, b)
	case now.Sub(b.updatedAt) > observationValidity:
		b.refill(now, rate, 1)
	}
	return l.grantFrom(workspace, b, now)
}

// takeOver claims a workspace from fallbacks that rank lower, and adds the tokens
// that they hand over.
func (l *Limiter) takeOver(workspace string, b *bucket) {
	r := l.claim(workspace, "", false)
	l.endClaim(workspace, b, r, func() { b.tokens += r.tokens })
}

// drop removes the bucket of a workspace that another node grants.
func (l *Limiter) drop(workspace string) {
	s := l.shardOf(workspace)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.buckets, workspace)
}
