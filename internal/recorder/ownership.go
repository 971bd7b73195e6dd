package recorder

import (
	"context"
	"errors"
	"slices"
	"strings"
	"time"

	"github.com/zinniaproxy/zinniaproxy/internal/messenger"
	"github.com/zinniaproxy/zinniaproxy/internal/storer"
)

// loadedCallTimeout is how long a call whose intent was read from the store may
// still be in flight.
const loadedCallTimeout = time.Minute

// acquireTimeout bounds one attempt to become the owner.
const acquireTimeout = 5 * time.Second

// ensureOwner makes this node the owner of the shard if no other node is. It
// returns nil if this node is the owner.
func (s *shard) ensureOwner(ctx context.Context) *Reply {
	if s.serves() {
		return nil
	}
	if reply := s.handoverReply(); reply != nil {
		return reply
	}
	select {
	case s.acquiring <- struct{}{}:
		defer func() { <-s.acquiring }()
	case <-ctx.Done():
		return &Reply{Status: Unavailable, RetryAfter: unavailableRetryAfter}
	}
	s.mu.Lock()
	serves, knownOwner := s.role == roleOwner, s.likelyOwner()
	recentlyTried := time.Since(s.acquireTriedAt) < minAcquireInterval
	if !serves && !recentlyTried {
		s.acquireTriedAt = time.Now()
	}
	s.mu.Unlock()
	switch {
	case serves:
		return nil
	case s.recorder.releasing.Load():
		return s.handoverReply()
	case recentlyTried:
		return &Reply{Status: Unavailable, Owner: knownOwner, RetryAfter: unavailableRetryAfter}
	}
	ctx, stop := context.WithTimeout(context.WithoutCancel(ctx), acquireTimeout)
	defer stop()
	return s.acquire(ctx)
}

// handoverReply returns the reply to a call while the shard moves to this node or
// away from it, else nil.
func (s *shard) handoverReply() *Reply {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r := s.movingReply(); r.Status == Moving || s.recorder.releasing.Load() {
		return r
	}
	return nil
}

// acquireIfFirst makes this node the owner before any call arrives if it is the
// first candidate and no live owner is known, so that every shard has an owner
// when an outage begins. A node that gave the shard up, and that the others take
// for its owner, does so too.
func (s *shard) acquireIfFirst(ctx context.Context) {
	nodes := s.recorder.Nodes()
	s.mu.Lock()
	known := s.likelyOwner()
	s.mu.Unlock()
	if known != s.recorder.Node && (!s.isFirst(nodes) || slices.Contains(nodes, known)) {
		return
	}
	s.ensureOwner(ctx)
}

// isFirst reports whether this node has the highest rank of the nodes.
func (s *shard) isFirst(nodes []string) bool {
	own := nodeRank(s.number, s.recorder.Node)
	return slices.Contains(nodes, s.recorder.Node) &&
		!slices.ContainsFunc(nodes, func(n string) bool { return nodeRank(s.number, n) > own })
}

// headKey is the store key of the shard's head.
func (s *shard) headKey() string { return s.storePrefix() + "head" }

// readHead returns the shard's head and its version, 0 if there is none.
func (s *shard) readHead(ctx context.Context) (head, uint64, error) {
	ctx, stop := context.WithTimeout(ctx, storeTimeout)
	defer stop()
	var h head
	e, err := s.recorder.Store.Get(ctx, s.headKey())
	if err != nil || e.Version == 0 {
		return h, 0, err
	}
	return h, e.Version, messenger.Decode(e.Value, &h)
}

// swapHead replaces the shard's head by compare-and-swap on version.
func (s *shard) swapHead(ctx context.Context, h *head, version uint64) (uint64, error) {
	ctx, stop := context.WithTimeout(ctx, storeTimeout)
	defer stop()
	return s.recorder.Store.Swap(ctx, s.headKey(), messenger.Encode(h), version, "")
}

// acquire takes over the shard, unless it has a live owner.
func (s *shard) acquire(ctx context.Context) *Reply {
	unavailable := &Reply{Status: Unavailable, RetryAfter: unavailableRetryAfter}
	h, version, err := s.readHead(ctx)
	if err != nil {
		return unavailable
	}
	if node := s.liveOwner(ctx, &h); node != "" {
		return &Reply{Status: NotOwner, Owner: node}
	}
	before, lost := h, s.recorder.mayHaveLost(&h, version)
	before.Released = before.Released && !lost
	completeEra := max(h.era(), unknownEra)
	if !lost {
		completeEra = s.recorder.era()
	}
	h.Owner, h.Released = s.recorder.Node, false
	h.setCommit(0, completeEra)
	h.Epoch = OwnershipEpoch{Term: max(h.Epoch.Term, s.highestKnownTerm()) + 1, Nonce: s.recorder.Rand()}
	if version, err = s.swapHead(ctx, &h, version); err != nil {
		if errors.Is(err, storer.ErrConflict) {
			return unavailable
		}
		current, currentVersion, err := s.readHead(ctx)
		if err != nil || current.Epoch != h.Epoch {
			return unavailable
		}
		version = currentVersion
	}
	records, segments, err := s.loadRecords(ctx, &h, version)
	if err != nil {
		return unavailable
	}
	previous := before.Epoch
	if lost {
		previous.Term = max(previous.Term, 1) // there were owners before
	}
	res := s.requestVotes(ctx, &VoteRequest{Shard: s.number, Purpose: purposeAcquire, Owner: h.Owner, Epoch: h.Epoch, Previous: previous})
	s.observeTerm(res.maxTerm)
	if !res.majority && !before.Released && previous.Term != 0 {
		return unavailable
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.becomeOwner(h, version, records, segments, res)
	if lost {
		s.blockForLostRecords()
	}
	return nil
}

// becomeOwner installs the loaded state and makes this node the owner. The
// caller holds the lock.
func (s *shard) becomeOwner(h head, version uint64, records map[keyDigest]*record, segments []segment, res voteResult) {
	now := time.Now()
	s.role, s.epoch, s.version, s.previous = roleOwner, h.Epoch, version, OwnershipEpoch{}
	s.completeEra = h.era()
	s.commitNumber, s.segmentNumber = 0, 0
	s.records, s.segments, s.answerBytes = records, segments, 0
	s.dirty, s.headRecords = map[keyDigest]*record{}, map[keyDigest]*record{}
	for _, sr := range h.Records {
		if len(sr.KeyDigest) != keyDigestBytes {
			continue // addStored has left it out too
		}
		s.headRecords[keyDigest(sr.KeyDigest)] = records[keyDigest(sr.KeyDigest)]
	}
	s.outage, s.storedOutage = max(res.outage, h.StoredOutage), h.StoredOutage
	s.blockedUntil, s.memoryUntil, s.storeFailedAt, s.awaitsVotes = time.Time{}, time.Time{}, time.Time{}, false
	if s.outage > s.storedOutage {
		s.blockedUntil = now.Add(s.recorder.memoryRetention() - res.outageAgo)
	}
	s.committedAt, s.storeConfirmedAt, s.votersRefreshedAt = now, now, time.Time{}
	s.voter.recordOwner(&VoteRequest{Owner: s.recorder.Node, Epoch: h.Epoch})
	s.trace("shard-claimed", s.storePrefix())
	s.wakeUp()
}

// liveOwner returns the live node that owns the shard according to the store or
// to a later epoch that this node voted for, or "".
func (s *shard) liveOwner(ctx context.Context, h *head) string {
	s.mu.Lock()
	votedOwner := s.voter.owner
	if s.voter.epoch.Term <= h.Epoch.Term {
		votedOwner = ""
	}
	s.lastStoredOwner = h.Owner
	s.mu.Unlock()
	for _, node := range []string{votedOwner, h.Owner} {
		if node == "" || node == s.recorder.Node || (node == h.Owner && h.Released) {
			continue
		}
		if s.confirmsOwnership(ctx, node) {
			return node
		}
	}
	return ""
}

// confirmsOwnership reports whether a node says that it owns the shard. A node
// considered dead need not be queried: the store and the voters fence it.
func (s *shard) confirmsOwnership(ctx context.Context, node string) bool {
	if !s.recorder.Up(node) {
		return false
	}
	reply, err := s.recorder.query(ctx, node, &Query{Owner: &OwnerRequest{Shard: s.number}})
	return err == nil && reply.Yes
}

func (s *shard) highestKnownTerm() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(s.voter.epoch.Term, s.voter.highestSeenTerm)
}

// observeTerm keeps the next epoch's term above term.
func (s *shard) observeTerm(term uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.voter.highestSeenTerm = max(s.voter.highestSeenTerm, term)
}

// errHeadChanged means that a list has another head than the one just written.
var errHeadChanged = errors.New("recorder: the head changed while the records were read")

// loadRecords reads the records of a shard whose previous owner this node has
// just fenced by the head with a version.
func (s *shard) loadRecords(ctx context.Context, h *head, version uint64) (map[keyDigest]*record, []segment, error) {
	ctx, stop := context.WithTimeout(ctx, 2*storeTimeout)
	defer stop()
	list, err := s.recorder.Store.List(ctx, s.storePrefix())
	if err != nil {
		return nil, nil, err
	}
	if !slices.ContainsFunc(list, func(e storer.Entry) bool { return e.Key == s.headKey() && e.Version == version }) {
		return nil, nil, errHeadChanged
	}
	now := time.Now()
	records := map[keyDigest]*record{}
	var segments []segment
	for _, e := range list {
		if !strings.HasPrefix(e.Key, s.storePrefix()+segmentKeyPrefix) {
			continue
		}
		var stored []storedRecord
		if err := messenger.Decode(e.Value, &stored); err != nil {
			return nil, nil, err
		}
		s.addStored(records, stored, now)
		segments = append(segments, segment{key: e.Key, version: e.Version, expiresAt: now.Add(s.recorder.retention())})
	}
	s.addStored(records, h.Records, now)
	return records, segments, nil
}

// addStored adds stored records, replacing earlier ones of the same key.
func (s *shard) addStored(records map[keyDigest]*record, stored []storedRecord, now time.Time) {
	for _, sr := range stored {
		if len(sr.KeyDigest) != keyDigestBytes {
			continue
		}
		records[keyDigest(sr.KeyDigest)] = &record{
			requestDigest: sr.RequestDigest, runID: sr.RunID, state: sr.State, accepted: true,
			expiresAt: now.Add(s.recorder.retention()), runningUntil: now.Add(loadedCallTimeout),
		}
	}
}
