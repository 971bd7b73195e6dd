package limiter

import (
	"context"
	"sync"
	"time"

	"github.com/zinniaproxy/zinniaproxy/internal/assigner"
	"github.com/zinniaproxy/zinniaproxy/pkg/coder"
)

const (
	stripeCount = 64
	// balanceIdleTimeout is how long an unused balance is kept.
	balanceIdleTimeout = 10 * time.Second
	// minRetryDelay is the shortest time before a request asks again, and
	// holderRetryDelay the time if its holder could not be asked.
	minRetryDelay    = 20 * time.Millisecond
	holderRetryDelay = 50 * time.Millisecond
)

// client is the part of a limiter that gets tokens for the requests of this
// node.
type client struct {
	stripes [stripeCount]stripe

	mu          sync.Mutex
	batchers    map[string]*batcher
	holderHints map[int]holderHint
}

type holderHint struct {
	node             string
	assignmentNumber uint64
}

type stripe struct {
	mu       sync.Mutex
	balances map[string]*balance
}

// balance is this node's state of one workspace, guarded by the stripe's lock.
type balance struct {
	// prefetched tokens were granted before a request needed them.
	prefetched []tokenBatch
	// expired tokens, by share, are returned to that share with the next query.
	expired map[int]expiredTokens
	// nextTokenAt is when the next token is available, by the holder's last
	// refusal.
	nextTokenAt time.Time
	// usedThisSecond counts the requests since secondStart, usedLastSecond
	// those of the second before.
	usedThisSecond, usedLastSecond int
	secondStart                    time.Time
	// prefetching reports that a prefetch is pending.
	prefetching bool
	lastUsed    time.Time
}

type tokenBatch struct {
	share, count int
	expiresAt    time.Time
	tokenSource
}

// tokenSource identifies the process that granted a token, and when the token
// expires, counted from that process's start by its clock.
type tokenSource struct {
	process string
	expiry  time.Duration
}

// expiredTokens are unspent tokens of one process. The source is that of the
// token that expired first.
type expiredTokens struct {
	count int
	tokenSource
}

func (c *client) setup() {
	for i := range c.stripes {
		c.stripes[i].balances = map[string]*balance{}
	}
	c.batchers, c.holderHints = map[string]*batcher{}, map[int]holderHint{}
}

func (c *client) stripe(hash uint64) *stripe { return &c.stripes[hash>>32%stripeCount] }

func (s *stripe) balance(workspace string, now time.Time) *balance {
	b := s.balances[workspace]
	if b == nil {
		b = &balance{expired: map[int]expiredTokens{}, secondStart: now}
		s.balances[workspace] = b
	}
	b.lastUsed = now
	return b
}

// countRequest counts a request for the demand of the current second.
func (b *balance) countRequest(now time.Time) {
	if since := now.Sub(b.secondStart); since >= time.Second {
		b.usedLastSecond, b.usedThisSecond, b.secondStart = b.usedThisSecond, 0, now
		if since >= 2*time.Second {
			b.usedLastSecond = 0
		}
	}
	b.usedThisSecond++
}

// spend takes a valid prefetched token, if there is one.
func (b *balance) spend(now time.Time) bool {
	for len(b.prefetched) > 0 {
		t := &b.prefetched[0]
		if !now.Before(t.expiresAt) {
			b.expire(t.share, t.count, t.tokenSource)
			b.prefetched = b.prefetched[1:]
			continue
		}
		t.count--
		if t.count == 0 {
			b.prefetched = b.prefetched[1:]
		}
		return true
	}
	return false
}

// expire records unspent tokens of a share. It discards those recorded from
// another process before, since only the process that granted them can use
// them.
func (b *balance) expire(share, count int, source tokenSource) {
	if old, ok := b.expired[share]; ok && old.process == source.process {
		count, source.expiry = count+old.count, min(source.expiry, old.expiry)
	}
	b.expired[share] = expiredTokens{count, source}
}

func (b *balance) remaining() (n int) {
	for _, t := range b.prefetched {
		n += t.count
	}
	return n
}

// outcome is the result of one request's attempt to get a token.
type outcome struct {
	status Status
	// retryAfter is when to ask again, and interval the time between two
	// tokens.
	retryAfter, interval time.Duration
	// share granted the token, or has the next one. The token may be spent
	// between due and expiresAt.
	share          int
	due, expiresAt time.Time
	tokenSource
	movedTo string
}

// Take admits one request of a workspace, and waits up to MaxWait for a token.
// It returns nil, or a *coder.Error: RateExceeded with the time until the next
// token, or LimitUnavailable if no holder could be asked.
func (l *Limiter) Take(ctx context.Context, workspace string) error {
	l.setup()
	if _, _, ok := l.Workspace(workspace); !ok {
		return coder.New(coder.LimitUnavailable, "no workspace %s", workspace)
	}
	hash, first := firstShare(workspace)
	start, maxWait := l.now(), positiveOr(l.MaxWait, DefaultMaxWait)
	o, done := l.spendPrefetched(workspace, hash, maxWait)
	for !done {
		if o.retryAfter > 0 {
			sleep(ctx, o.retryAfter)
		}
		o = l.tryShares(ctx, workspace, hash, first)
		done = o.status == Granted || ctx.Err() != nil || l.now().Add(o.retryAfter).Sub(start) > maxWait
	}
	if o.status == Granted {
		return nil
	}
	return refusal(o)
}

func refusal(o outcome) error {
	if o.status == Insufficient {
		return coder.New(coder.RateExceeded, "").WithAfter(o.retryAfter)
	}
	return coder.New(coder.LimitUnavailable, "").WithAfter(time.Second)
}

// tryShares asks each share of the workspace once. Without a token, the outcome
// says when to ask again.
func (l *Limiter) tryShares(ctx context.Context, workspace string, hash uint64, first int) outcome {
	best, allInsufficient := outcome{status: NotReady}, true
	shares := l.candidateShares(hash, first)
	for _, share := range shares {
		o := l.takeFrom(ctx, requestKey{workspace, share, len(shares) == 1})
		if o.status == Granted {
			return o
		}
		allInsufficient = allInsufficient && o.status == Insufficient
		if best.status != Insufficient || o.status == Insufficient && o.retryAfter < best.retryAfter {
			best = o
			best.share = share
		}
	}
	if allInsufficient && len(shares) > 1 {
		// Only the share with the earliest token reserves one.
		best = l.takeFrom(ctx, requestKey{workspace, best.share, true})
	}
	switch {
	case best.status == Granted:
	case best.status == Insufficient && allInsufficient:
		best.retryAfter = max(best.retryAfter, minRetryDelay)
		l.setNextToken(workspace, hash, best.retryAfter)
	default:
		best.retryAfter = holderRetryDelay
	}
	return best
}

// spendPrefetched spends a prefetched token, or refuses at once if the next
// token is due too late. It returns true if the outcome is final.
func (l *Limiter) spendPrefetched(workspace string, hash uint64, maxWait time.Duration) (outcome, bool) {
	s := l.client.stripe(hash)
	s.mu.Lock()
	now := l.now()
	b := s.balance(workspace, now)
	b.countRequest(now)
	if b.spend(now) {
		share, count := l.prefetchDemand(b)
		s.mu.Unlock()
		if count > 0 {
			l.prefetch(workspace, share, count, nil)
		}
		return outcome{status: Granted}, true
	}
	defer s.mu.Unlock()
	if retryAfter := b.nextTokenAt.Sub(now); retryAfter > maxWait {
		return outcome{status: Insufficient, retryAfter: retryAfter}, true
	}
	return outcome{}, false
}

// prefetchDemand returns how many tokens to prefetch, and from which share: the
// one that granted the present ones.
func (l *Limiter) prefetchDemand(b *balance) (share, count int) {
	demand := max(b.usedLastSecond, b.usedThisSecond)
	if b.prefetching || len(b.prefetched) == 0 || b.remaining()*2 > demand {
		return 0, 0
	}
	b.prefetching = true
	return b.prefetched[0].share, demand - b.remaining()
}

// setNextToken records when the next token is available.
func (l *Limiter) setNextToken(workspace string, hash uint64, retryAfter time.Duration) {
	s := l.client.stripe(hash)
	s.mu.Lock()
	defer s.mu.Unlock()
	now := l.now()
	s.balance(workspace, now).nextTokenAt = now.Add(retryAfter)
}

// candidateShares returns the shares that may grant the workspace, those of
// this node first.
func (l *Limiter) candidateShares(hash uint64, first int) []int {
	assignment := l.assigner.Assignment()
	if assignment == nil || !assignment.IsWide(hash) {
		return []int{first}
	}
	out := make([]int, 0, assigner.SharesPerShard)
	offset := int(assigner.Hash(l.process) % assigner.SharesPerShard)
	for k := range assigner.SharesPerShard {
		share := first + (offset+k)%assigner.SharesPerShard
		if l.holdsShare(share) {
			out = append([]int{share}, out...)
			continue
		}
		out = append(out, share)
	}
	return out
}

func (l *Limiter) holdsShare(share int) bool {
	l.holder.mu.RLock()
	defer l.holder.mu.RUnlock()
	return l.holder.held[share] != nil
}

// takeFrom takes one token from a share.
func (l *Limiter) takeFrom(ctx context.Context, k requestKey) outcome {
	if l.holdsShare(k.share) {
		return l.takeLocal(ctx, k)
	}
	o := l.takeRemote(ctx, k, l.nodeForShare(k.share))
	if o.status == NotHolder && o.movedTo != "" && o.movedTo != l.Self.Name {
		l.client.setHint(k.share, o.movedTo, l.assignmentNumber())
		o = l.takeRemote(ctx, k, o.movedTo)
	}
	return o
}

func (l *Limiter) takeLocal(ctx context.Context, k requestKey) outcome {
	usableAt := l.now()
	g := l.grant(&TokenRequest{Workspace: k.workspace, Share: uint16(k.share), Count: 1, Reserve: k.reserve}, 0)
	o := outcome{status: g.Status, retryAfter: g.RetryAfter, interval: g.Interval}
	if len(g.DueIn) > 0 {
		o.due, usableAt = usableAt.Add(l.addDriftMargin(g.DueIn[0])), usableAt.Add(g.DueIn[0])
	}
	if g.Status == Granted && (!l.waitUntilDue(ctx, o) || elapsed(l.now(), usableAt) > minTokenTTL) {
		o.status = NotReady // request ended, or process paused since the grant
	}
	if g.Status == Insufficient && g.RetryAfter < 0 {
		o.status = NotReady
	}
	return o
}

func (l *Limiter) assignmentNumber() uint64 {
	if assignment := l.assigner.Assignment(); assignment != nil {
		return assignment.Number
	}
	return 0
}

// nodeForShare returns the node to ask for a share, or "" if none is known.
func (l *Limiter) nodeForShare(share int) string {
	assignment := l.assigner.Assignment()
	if assignment == nil {
		return ""
	}
	if node := l.client.hintedNode(share, assignment.Number); node != "" {
		return node
	}
	if node := l.holder.handedOverTo(share); node != "" {
		return node
	}
	if name := l.membership().alive[assignment.Holder(share)]; name != "" {
		return name
	}
	plan, _ := l.assigner.Planned()
	return l.membership().alive[plan[share]]
}

func (c *client) setHint(share int, node string, number uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.holderHints[share] = holderHint{node, number}
}

func (c *client) hintedNode(share int, number uint64) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	h, ok := c.holderHints[share]
	if ok && h.assignmentNumber != number {
		delete(c.holderHints, share)
		return ""
	}
	return h.node
}

func (c *client) sweep(now time.Time) {
	for i := range c.stripes {
		st := &c.stripes[i]
		st.mu.Lock()
		for name, b := range st.balances {
			if now.Sub(b.lastUsed) > balanceIdleTimeout && now.After(b.nextTokenAt) {
				delete(st.balances, name)
			}
		}
		st.mu.Unlock()
	}
}
