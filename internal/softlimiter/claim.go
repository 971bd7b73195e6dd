package softlimiter

import (
	"context"
	"slices"
	"time"
)

const (
	// claimInterval is how often the granting node of a workspace in use claims
	// it. claimTimeout bounds one claim, and relayedClaimTimeout one that is then
	// sent through claimRelays other nodes. With the time for counting the nodes
	// that it reaches, this is how long it and a fallback may both grant the whole
	// rate after the network has separated them.
	claimInterval       = 150 * time.Millisecond
	claimTimeout        = 60 * time.Millisecond
	relayedClaimTimeout = 100 * time.Millisecond
	claimRelays         = 2
	// claimsPerRound is how many nodes a claim goes to: the next in rank, which
	// are the fallbacks of others.
	claimsPerRound = 2
	// maxClaimAge is the age of the last claim beyond which only one token is
	// granted before the next claim has been answered: this process may have been
	// paused, and another node have granted.
	maxClaimAge = time.Second
	// claimantMemory is how long a node grants nothing after a claim of another
	// that is not in its member list yet.
	claimantMemory = 3 * time.Second
	// isolatedFraction is the fraction of the rate that a granting node grants
	// which reaches fewer than half of the nodes, as long as its member list does
	// not show it.
	isolatedFraction = 0.02
	// maxGrantOverlap is how long two nodes may both grant for a workspace that
	// moves between them unknown to each other.
	maxGrantOverlap = 500 * time.Millisecond
)

// claimant is a node that claimed a workspace.
type claimant struct {
	node string
	at   time.Time
}

// grantingNode returns the node that grants a workspace's tokens as far as this
// one knows: the running node with the highest rank, or one with a higher rank
// that has claimed the workspace.
func (l *Limiter) grantingNode(workspace string, now time.Time) string {
	first := firstRanked(l.Alive(), workspace)
	l.mu.Lock()
	defer l.mu.Unlock()
	c, ok := l.claimants[workspace]
	if ok && now.Sub(c.at) < claimantMemory && c.node != first && outranks(c.node, first, workspace) {
		return c.node
	}
	return first
}

// grantOwned grants as the granting node.
func (l *Limiter) grantOwned(ctx context.Context, workspace string) *Reply {
	if _, _, ok := l.Limit(workspace); !ok {
		return &Reply{RetryAfter: time.Second}
	}
	l.open(ctx, workspace)
	s := l.shardOf(workspace)
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.buckets[workspace]
	if b == nil { // handed over meanwhile
		return &Reply{RetryAfter: claimTimeout}
	}
	return l.grantFrom(workspace, b, time.Now())
}

// grantFrom takes a token from the bucket for the whole rate, and claims the
// workspace again if that is due. The caller holds the lock of the shard.
func (l *Limiter) grantFrom(workspace string, b *bucket, now time.Time) *Reply {
	rate, burst, _ := l.limits(workspace)
	if age := now.Sub(b.claimedAt); !b.claiming && age >= claimInterval {
		b.claiming, b.claimedAt = true, now
		if age > maxClaimAge {
			b.opened = make(chan struct{})
		}
		go l.renew(workspace, b)
	}
	if b.limited {
		return b.isolated.take(now, rate*isolatedFraction, burst*isolatedFraction)
	}
	return b.take(now, rate, burst)
}

// open makes sure that there is a bucket of a workspace, and waits until its
// tokens are known.
func (l *Limiter) open(ctx context.Context, workspace string) {
	s := l.shardOf(workspace)
	s.mu.Lock()
	b := s.buckets[workspace]
	if b == nil {
		now := time.Now()
		b = s.add(workspace, &bucket{updatedAt: now, claimedAt: now, claiming: true, opened: make(chan struct{})})
		go l.fill(workspace, b)
	}
	opened := b.opened
	s.mu.Unlock()
	if opened == nil {
		return
	}
	select {
	case <-opened:
	case <-ctx.Done():
	}
}

// fill claims a workspace for the first time, and sets the tokens that its bucket
// starts with.
func (l *Limiter) fill(workspace string, b *bucket) {
	now := time.Now()
	m := l.noteMembers(now)
	r := l.claim(workspace, m.formerGrantingNode(l.Self, workspace), true)
	limited := !r.held && r.answered < r.asked && !l.reachesHalf()
	rate, burst, _ := l.limits(workspace)
	tokens := min(l.MaxInitialTokens(), burst)
	switch {
	case r.held:
		tokens = min(r.tokens, burst)
	case now.Sub(m.changedAt) >= membershipSettleTime:
	case now.Sub(l.Started) < membershipSettleTime, r.answered < r.asked:
		// The node that granted before may not have been asked.
		tokens -= rate * maxGrantOverlap.Seconds()
	}
	l.endClaim(workspace, b, r, func() {
		b.tokens, b.updatedAt = tokens, time.Now()
		b.limit(limited, 0)
	})
}

// renew claims a workspace again, and finds out whether this node may go on
// granting.
func (l *Limiter) renew(workspace string, b *bucket) {
	sampled := make(chan bool, 1)
	go func() { sampled <- l.reachesSample() }()
	r := l.claim(workspace, "", false)
	limited := (!<-sampled || r.answered < r.asked) && !l.reachesHalf()
	l.endClaim(workspace, b, r, func() {
		if r.held {
			// Another has granted while this node did, or was paused.
			b.tokens = min(b.tokens, r.tokens)
		}
		b.limit(limited, r.tokens)
	})
}

// endClaim ends a claim: it gives the bucket up if another node is the granting
// node, and otherwise calls update with the lock held.
func (l *Limiter) endClaim(workspace string, b *bucket, r claimResult, update func()) {
	s := l.shardOf(workspace)
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.declined && s.buckets[workspace] == b {
		delete(s.buckets, workspace)
	}
	update()
	b.claiming = false
	if b.opened != nil {
		close(b.opened)
		b.opened = nil
	}
}

// limit sets whether the bucket is limited. A bucket that is no longer limited
// goes on with the tokens that another node handed over.
func (b *bucket) limit(limited bool, tokens float64) {
	now := time.Now()
	switch {
	case limited && !b.limited:
		b.isolated = &bucket{updatedAt: now}
	case !limited && b.limited:
		b.tokens, b.updatedAt = tokens, now
	}
	b.limited = limited
}

// claimResult is what the nodes reply to the claims of a round.
type claimResult struct {
	asked, answered int
	// held is set if another node granted, and tokens is what it handed over.
	held   bool
	tokens float64
	// declined is set if another node is the granting node.
	declined bool
}

// claim tells the next nodes in rank, and the former granting node unless it is
// empty, that this node grants a workspace's tokens. With untilHeld it does not
// wait for the other replies once a node has handed over its tokens.
func (l *Limiter) claim(workspace, former string, untilHeld bool) (out claimResult) {
	below := slices.DeleteFunc(byRank(l.Alive(), workspace), func(name string) bool { return !outranks(l.Self, name, workspace) })
	receivers := below[:min(len(below), claimsPerRound)]
	out.asked = len(receivers)
	if former != "" {
		receivers = append([]string{former}, receivers...)
	}
	replies := make(chan result, len(receivers))
	for _, name := range receivers {
		go func() { replies <- result{name, l.sendClaim(name, workspace)} }()
	}
	for range receivers {
		out.add(l, workspace, <-replies, former)
		if out.held && untilHeld {
			break
		}
	}
	return out
}

// sendClaim sends a claim to a node, and through others if that does not answer. It
// returns nil if no reply came.
func (l *Limiter) sendClaim(node, workspace string) *Reply {
	ctx, cancel := context.WithTimeout(context.Background(), claimTimeout)
	defer cancel()
	if reply, err := l.SendQuery(ctx, node, &Query{Workspace: workspace, Claim: l.Self}); err == nil {
		return reply
	}
	relays := l.witnesses(node)
	relays = relays[:min(len(relays), claimRelays)]
	ctx, cancel = context.WithTimeout(context.Background(), relayedClaimTimeout)
	defer cancel()
	replies := make(chan *Reply, len(relays))
	for _, relay := range relays {
		go func() {
			reply, err := l.SendQuery(ctx, relay, &Query{Workspace: workspace, Claim: l.Self, Target: node})
			if err != nil || reply.Unanswered {
				reply = nil
			}
			replies <- reply
		}()
	}
	for range relays {
		if reply := <-replies; reply != nil {
			return reply
		}
	}
	return nil
}

// add takes in the reply of one node.
func (r *claimResult) add(l *Limiter, workspace string, got result, former string) {
	if got.reply == nil {
		return
	}
	if got.node != former {
		r.answered++
	}
	if got.reply.Declined {
		r.declined = true
		l.noteClaim(workspace, got.node, time.Now())
	}
	if got.reply.Held {
		r.held, r.tokens = true, max(r.tokens, got.reply.Tokens)
		l.borrowFraction(got.reply.Fraction)
	}
}

// noteClaim records that another node is the granting node of a workspace. It is
// then not gone, but may be soon.
func (l *Limiter) noteClaim(workspace, node string, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.claimants == nil {
		l.claimants = map[string]claimant{}
	}
	l.claimants[workspace] = claimant{node, now}
	o := l.observation(node)
	o.claimedAt = now
	if o.state != answering {
		o.state, o.checkedAt = unchecked, time.Time{}
	}
}

// handleClaim stops granting a workspace's tokens that another node claims, and
// hands over those left. A node that ranks higher declines.
func (l *Limiter) handleClaim(claimant, workspace string, now time.Time) *Reply {
	if outranks(l.Self, claimant, workspace) && l.grantingNode(workspace, now) == l.Self {
		return &Reply{Declined: true}
	}
	l.noteClaim(workspace, claimant, now)
	rate, burst, _ := l.limits(workspace)
	fraction := l.fraction(now)
	s := l.shardOf(workspace)
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.buckets[workspace]
	if b == nil {
		return &Reply{}
	}
	delete(s.buckets, workspace)
	b.refill(now, rate, max(burst, 1))
	return &Reply{Held: true, Tokens: b.tokens, Fraction: fraction}
}

// borrowFraction keeps the fraction of the membership that another node reaches.
func (l *Limiter) borrowFraction(fraction float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lentFraction = max(l.lentFraction, fraction)
}
