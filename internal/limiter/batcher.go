package limiter

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/zinniaproxy/zinniaproxy/internal/assigner"
	"github.com/zinniaproxy/zinniaproxy/internal/messenger"
)

const (
	// maxRequestsPerQuery bounds the token requests of one query.
	maxRequestsPerQuery = 256
	// maxReservedTokens bounds the reserved tokens of one token request, so
	// that a reply stays far below the size of a frame.
	maxReservedTokens = 256
	// maxReplyTimeFactor is the ratio of the longest time expected for the next
	// reply to the time that the last one took.
	maxReplyTimeFactor = 8
	// minRelayTime and maxRelayTime bound how long a node that did not answer
	// is queried through a peer.
	minRelayTime = 2 * time.Second
	maxRelayTime = 16 * time.Second
)

// batcher batches the token requests to one node: one query is in flight at a
// time, and requests that arrive meanwhile go with the next.
type batcher struct {
	node string

	mu       sync.Mutex
	pending  map[requestKey]*pendingRequests
	order    []requestKey
	sending  bool
	sequence uint64
	// process is the process that answered last. Expired tokens are returned to
	// no other.
	process string
	// maxReplyTime is the longest time that a reply is expected to take.
	maxReplyTime time.Duration
	// relayUntil is when direct queries to the node are tried again, and
	// relayTime the length of the last relay period.
	relayUntil time.Time
	relayTime  time.Duration
}

type requestKey struct {
	workspace string
	share     int
	// reserve accepts a token that falls due within the maximum wait.
	reserve bool
}

type pendingRequests struct {
	waiting  []chan outcome
	prefetch int
}

func (c *client) batcher(node string) *batcher {
	c.mu.Lock()
	defer c.mu.Unlock()
	b := c.batchers[node]
	if b == nil {
		b = &batcher{node: node, maxReplyTime: maxTokenTTL, pending: map[requestKey]*pendingRequests{}}
		c.batchers[node] = b
	}
	return b
}

// takeRemote requests one token from a node and waits until it is granted and
// due.
func (l *Limiter) takeRemote(ctx context.Context, k requestKey, node string) outcome {
	if node == "" || node == l.Self.Name {
		return outcome{status: NotReady}
	}
	result := make(chan outcome, 1)
	l.submit(node, k, 0, result)
	select {
	case o := <-result:
		if o.status != Granted {
			return o
		}
		if l.waitUntilDue(ctx, o) && l.now().Before(o.expiresAt) {
			return o
		}
		l.expireToken(k.workspace, k.share, o.tokenSource)
	case <-ctx.Done():
	}
	return outcome{status: NotReady}
}

// waitUntilDue waits until a token is due. It returns false if the request
// ended first.
func (l *Limiter) waitUntilDue(ctx context.Context, o outcome) bool {
	remaining := o.due.Sub(l.now())
	for remaining > 0 && ctx.Err() == nil {
		sleep(ctx, remaining)
		remaining = o.due.Sub(l.now())
	}
	return remaining <= 0
}

// prefetch requests tokens in the background.
func (l *Limiter) prefetch(workspace string, share, count int, result chan outcome) {
	node := l.nodeForShare(share)
	if node == "" || node == l.Self.Name {
		l.prefetchEnded(workspace)
		return
	}
	l.submit(node, requestKey{workspace: workspace, share: share}, count, result)
}

func (l *Limiter) submit(node string, k requestKey, prefetch int, result chan outcome) {
	b := l.client.batcher(node)
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.pending[k]
	if p == nil {
		p = &pendingRequests{}
		b.pending[k] = p
		b.order = append(b.order, k)
	}
	p.prefetch = max(p.prefetch, prefetch)
	if result != nil {
		p.waiting = append(p.waiting, result)
	}
	if !b.sending {
		b.sending = true
		go l.sendQueries(b)
	}
}

// sendQueries sends queries until no token requests are pending.
func (l *Limiter) sendQueries(b *batcher) {
	for {
		keys, batch, sequence := b.nextBatch()
		if len(keys) == 0 {
			return
		}
		q := &Query{From: l.process, Sequence: sequence, ReturnTo: b.process, MaxTTL: b.maxReplyTime}
		for i, k := range keys {
			q.Requests = append(q.Requests, l.tokenRequest(k, batch[i], b.process))
		}
		sent := l.now()
		r, err := l.sendQuery(b, q)
		b.observeReply(r, l.now().Sub(sent))
		for i, k := range keys {
			g, from := Grant{Status: NotReady}, ""
			if err == nil && len(r.Grants) == len(keys) {
				g, from = r.Grants[i], r.From
			}
			l.deliver(k, batch[i], &g, sent, from)
		}
	}
}

// observeReply updates the expected reply time, which rises at once and falls
// slowly. A nil reply means that none came.
func (b *batcher) observeReply(r *Reply, took time.Duration) {
	if r == nil {
		b.maxReplyTime = maxTokenTTL
		return
	}
	b.process = r.From
	estimate := min(max(maxReplyTimeFactor*took, minTokenTTL), maxTokenTTL)
	b.maxReplyTime = max(estimate, b.maxReplyTime-b.maxReplyTime/8)
}

func (b *batcher) nextBatch() (keys []requestKey, batch []*pendingRequests, sequence uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := min(len(b.order), maxRequestsPerQuery)
	keys, b.order = b.order[:n:n], b.order[n:]
	for _, k := range keys {
		batch = append(batch, b.pending[k])
		delete(b.pending, k)
	}
	b.sending = n > 0
	b.sequence++
	return keys, batch, b.sequence
}

// tokenRequest builds the request for one workspace. Expired tokens are
// returned only to the process that granted them.
func (l *Limiter) tokenRequest(k requestKey, p *pendingRequests, process string) TokenRequest {
	hash, _ := firstShare(k.workspace)
	s := l.client.stripe(hash)
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.balance(k.workspace, l.now())
	r := TokenRequest{Workspace: k.workspace, Share: uint16(k.share), Count: clampUint16(len(p.waiting)), Reserve: k.reserve}
	if expired, ok := b.expired[k.share]; ok && expired.process == process {
		r.Returned, r.ReturnedExpiry = clampUint16(expired.count), expired.expiry
	}
	delete(b.expired, k.share)
	prefetch := max(p.prefetch, b.usedLastSecond-len(p.waiting))
	r.Prefetch = clampUint16(prefetch)
	return r
}

func clampUint16(n int) uint16 { return uint16(max(0, min(n, 1<<16-1))) }

// sendQuery queries the node, or a peer that relays the query if the node does
// not answer. A node that did not answer is queried through peers for a while,
// longer after each failure.
func (l *Limiter) sendQuery(b *batcher, q *Query) (*Reply, error) {
	if l.now().After(b.relayUntil) {
		r, err := l.query(context.Background(), b.node, q)
		if err == nil {
			b.relayTime = 0
			return r, nil
		}
		b.relayTime = min(max(2*b.relayTime, minRelayTime), maxRelayTime)
		b.relayUntil = l.now().Add(b.relayTime)
	}
	peer := l.randomPeer(b.node)
	if peer == "" {
		return nil, errNoPeer
	}
	relayed := *q
	relayed.RelayTo = b.node
	return l.query(context.Background(), peer, &relayed)
}

// randomPeer returns a random node other than the given one and this one, or ""
// if there is none.
func (l *Limiter) randomPeer(node string) string {
	names := l.membership().nodes
	for _, i := range rand.Perm(len(names)) {
		if names[i] != node && names[i] != l.Self.Name {
			return names[i]
		}
	}
	return ""
}

func (l *Limiter) query(ctx context.Context, node string, q *Query) (*Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, positiveOr(l.QueryTimeout, DefaultQueryTimeout))
	defer cancel()
	return l.SendQuery(ctx, node, q)
}

// deliver distributes the tokens of a grant to the waiting requests and stores
// the prefetched ones.
func (l *Limiter) deliver(k requestKey, p *pendingRequests, g *Grant, sent time.Time, process string) {
	// The node's clock may be slow and the holder's fast.
	expiry := func(d time.Duration) time.Time { return sent.Add(d - time.Duration(2*l.clockDrift()*float64(d))) }
	base := outcome{status: g.Status, retryAfter: g.RetryAfter, interval: g.Interval, share: k.share, movedTo: g.MovedTo}
	if g.Status == Insufficient && g.RetryAfter < 0 {
		base.status = NotReady
	}
	now, granted := l.now(), int(g.Count)+len(g.DueIn)
	for i, result := range p.waiting {
		o, due := base, time.Duration(0)
		if i >= int(g.Count) && i < granted {
			due = g.DueIn[i-int(g.Count)]
			o.due = now.Add(l.addDriftMargin(due))
		}
		if i < granted {
			o.status, o.expiresAt = Granted, expiry(due+g.TTL)
			o.tokenSource = tokenSource{process, g.GrantedAt + due + g.TTL}
		} else if base.status == Insufficient {
			o.retryAfter += time.Duration(i-granted) * g.Interval
		}
		result <- o
	}
	hash, _ := firstShare(k.workspace)
	s := l.client.stripe(hash)
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.balance(k.workspace, l.now())
	b.prefetching = false
	if g.Prefetched > 0 {
		b.prefetched = append(b.prefetched, tokenBatch{k.share, int(g.Prefetched), expiry(g.PrefetchTTL), tokenSource{process, g.GrantedAt + g.PrefetchTTL}})
	}
}

func (l *Limiter) expireToken(workspace string, share int, from tokenSource) {
	hash, _ := firstShare(workspace)
	s := l.client.stripe(hash)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.balance(workspace, l.now()).expire(share, 1, from)
}

func (l *Limiter) prefetchEnded(workspace string) {
	hash, _ := firstShare(workspace)
	s := l.client.stripe(hash)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.balance(workspace, l.now()).prefetching = false
}

// HandleQuery answers a query, or relays it to the holder that it names.
func (l *Limiter) HandleQuery(ctx context.Context, _ string, q *Query) (*Reply, error) {
	l.setup()
	if q.RelayTo != "" && q.RelayTo != l.Self.Name {
		direct := *q
		direct.RelayTo = ""
		return l.query(ctx, q.RelayTo, &direct)
	}
	if q.FetchAssignment {
		return l.assignmentReply(), nil
	}
	if q.MaxTTL <= 0 || q.MaxTTL > maxTokenTTL {
		q.MaxTTL = maxTokenTTL
	}
	if r, ok := l.holder.repeatedReply(q); ok {
		return r, nil
	}
	r := &Reply{From: l.process, Grants: make([]Grant, len(q.Requests))}
	for i := range q.Requests {
		req := q.Requests[i]
		if q.ReturnTo != l.process {
			req.Returned = 0
		}
		r.Grants[i] = l.grant(&req, q.MaxTTL)
	}
	l.holder.storeReply(q, r)
	return r, nil
}

// assignmentReply returns this node's share assignment, if it has one.
func (l *Limiter) assignmentReply() *Reply {
	r := &Reply{From: l.process}
	if assignment := l.assigner.Assignment(); assignment != nil {
		r.Assignment = messenger.Encode(assignment)
	}
	return r
}

// queryAssignment asks a random peer for its share assignment.
func (l *Limiter) queryAssignment(ctx context.Context) (*assigner.Assignment, error) {
	peer := l.randomPeer("")
	if peer == "" {
		return nil, errNoPeer
	}
	r, err := l.query(ctx, peer, &Query{From: l.process, FetchAssignment: true})
	if err != nil || len(r.Assignment) == 0 {
		return nil, err
	}
	return assigner.Decode(r.Assignment)
}

// repeatedReply returns the reply to a query that was received before: the
// stored one for a duplicate of the last query, and an empty one if the last
// query is still being answered or the query is older. It returns false for a
// new query.
func (h *holder) repeatedReply(q *Query) (*Reply, bool) {
	h.queriesMu.Lock()
	defer h.queriesMu.Unlock()
	last, ok := h.lastQueries[q.From]
	if ok && q.Sequence == last.sequence && last.reply != nil {
		return last.reply, true
	}
	if ok && q.Sequence <= last.sequence {
		return &Reply{}, true
	}
	if h.lastQueries == nil {
		h.lastQueries = map[string]answeredQuery{}
	}
	h.lastQueries[q.From] = answeredQuery{sequence: q.Sequence}
	return nil, false
}

func (h *holder) storeReply(q *Query, r *Reply) {
	h.queriesMu.Lock()
	defer h.queriesMu.Unlock()
	if h.lastQueries[q.From].sequence == q.Sequence {
		h.lastQueries[q.From] = answeredQuery{q.Sequence, r}
	}
}

// dropReplies drops the stored replies to processes that are no longer members.
// The sequence numbers stay, so that old queries are still detected.
func (h *holder) dropReplies(alive map[string]string) {
	h.queriesMu.Lock()
	defer h.queriesMu.Unlock()
	for identity, last := range h.lastQueries {
		if _, ok := alive[identity]; !ok {
			h.lastQueries[identity] = answeredQuery{sequence: last.sequence}
		}
	}
}
