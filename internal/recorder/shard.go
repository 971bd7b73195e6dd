package recorder

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/zinniaproxy/zinniaproxy/internal/tracer"
)

// role is this node's role for a shard.
type role uint8

const (
	// roleOther: another node owns the shard, or none does.
	roleOther role = iota
	// roleOwner: this node owns the shard.
	roleOwner
)

// segment is a store value that holds records moved out of earlier heads.
type segment struct {
	key     string
	version uint64
	// expiresAt is when all its records have expired.
	expiresAt time.Time
}

// shard is this node's view of one shard of the keys.
type shard struct {
	recorder *Recorder
	number   int
	// wake makes run recompute when the next work is due; it holds at most one
	// token.
	wake chan struct{}
	// acquiring holds a token while this node tries to become the owner,
	// committing while it writes to the store as the owner.
	acquiring, committing chan struct{}

	mu    sync.Mutex
	voter voterState
	// lastStoredOwner is the owner in the last head read from the store.
	lastStoredOwner string

	// The fields up to releaseStored are valid while role is roleOwner.
	role  role
	epoch OwnershipEpoch
	// previous is the epoch that a handed-over shard was taken from; the store
	// may still show it. Zero if the shard was acquired in the store.
	previous OwnershipEpoch
	// version is that of the head in the store, and completeEra the store's era in
	// which all records were last known to be in the store.
	version, completeEra uint64
	// commitNumber and segmentNumber count the commits and segments of the
	// epoch.
	commitNumber, segmentNumber uint64
	// blockedUntil is the time until which calls are refused, since a previous
	// owner may have accepted calls in memory that are lost.
	blockedUntil time.Time
	// memoryUntil is the time until which calls are accepted without the store.
	// outage numbers the last store outage in which the shard was served from
	// memory, storedOutage the last one whose calls are all in the store.
	memoryUntil          time.Time
	outage, storedOutage uint64
	records              map[keyDigest]*record
	// dirty are the records not yet in the store. urgent reports that callers
	// wait for one of them.
	dirty  map[keyDigest]*record
	urgent bool
	// headRecords are the records in the head.
	headRecords map[keyDigest]*record
	segments    []segment
	answerBytes int
	// committedAt is when the last commit began, storeFailedAt when one last
	// failed, storeConfirmedAt when the store last confirmed this ownership.
	committedAt, storeFailedAt, storeConfirmedAt time.Time
	// awaitsVotes reports that a commit failed and the voters have not answered yet
	// whether calls are accepted without the store.
	awaitsVotes bool
	// votersRefreshedAt is when the voters were last notified, dirtySince when
	// dirty got its first record, expiryCheckedAt when expired records were
	// last dropped.
	votersRefreshedAt, dirtySince, expiryCheckedAt time.Time
	// releasing reports that no more calls are admitted, releaseStored that the
	// store shows the release.
	releasing, releaseStored bool

	// acquireTriedAt is when this node last tried to become the owner.
	acquireTriedAt time.Time
	// handoverRecords are the records received so far in the handover of
	// handoverEpoch.
	handoverEpoch   OwnershipEpoch
	handoverRecords []storedRecord
	// receiving reports that a handover to this node is under way, and movedTo is
	// the node that accepted one of this node.
	receiving bool
	movedTo   string
}

func newShard(r *Recorder, n int) *shard {
	return &shard{recorder: r, number: n, wake: make(chan struct{}, 1), acquiring: make(chan struct{}, 1), committing: make(chan struct{}, 1)}
}

func (s *shard) trace(kind, detail string) {
	s.recorder.Tracer.Add(tracer.Event{Kind: kind, Detail: detail})
}

func (s *shard) wakeUp() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// serves reports whether this node owns the shard and admits calls.
func (s *shard) serves() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.role == roleOwner && !s.releasing
}

// rankedNodes returns the live nodes in descending rank. All nodes agree on the
// order.
func (s *shard) rankedNodes() []string {
	nodes := slices.Clone(s.recorder.Nodes())
	slices.SortFunc(nodes, func(a, b string) int {
		x, y := nodeRank(s.number, a), nodeRank(s.number, b)
		switch {
		case x > y:
			return -1
		case x < y:
			return 1
		}
		return 0
	})
	return nodes
}

// ownerCandidates returns the nodes to query for the owner, most likely first.
func (s *shard) ownerCandidates() []string {
	nodes := s.rankedNodes()
	s.mu.Lock()
	known := s.likelyOwner()
	s.mu.Unlock()
	if i := slices.Index(nodes, known); i >= 0 {
		nodes = slices.Insert(slices.Delete(nodes, i, i+1), 0, known)
	}
	return nodes[:min(len(nodes), maxOwnerQueries-1)]
}

// likelyOwner returns the node that probably owns the shard. The caller holds
// the lock.
func (s *shard) likelyOwner() string {
	if s.voter.owner != "" {
		return s.voter.owner
	}
	return s.lastStoredOwner
}

// begin records an intent, if this node is the owner or can become it.
func (s *shard) begin(ctx context.Context, b *BeginRequest) *Reply {
	if reply := s.ensureOwner(ctx); reply != nil {
		return reply
	}
	recorded := make(chan Status, 1)
	s.mu.Lock()
	reply := s.admit(b, time.Now(), recorded)
	s.mu.Unlock()
	if reply != nil {
		return reply
	}
	s.wakeUp()
	select {
	case status := <-recorded:
		return &Reply{Status: status, RetryAfter: unavailableRetryAfter}
	case <-ctx.Done():
		return &Reply{Status: Unavailable, RetryAfter: unavailableRetryAfter}
	}
}

// movingReply replies to a call that this node does not admit. The caller holds the
// lock.
func (s *shard) movingReply() *Reply {
	switch {
	case s.receiving || s.releasing:
		return &Reply{Status: Moving}
	case s.recorder.releasing.Load():
		return &Reply{Status: NotOwner, Owner: s.movedTo}
	}
	return &Reply{Status: NotOwner}
}

// admit replies to an intent, or returns nil if the reply will be sent to
// recorded after a commit. The caller holds the lock.
func (s *shard) admit(b *BeginRequest, now time.Time, recorded chan Status) *Reply {
	switch {
	case s.role != roleOwner || s.releasing:
		return s.movingReply()
	case now.Before(s.blockedUntil):
		return &Reply{Status: Unavailable, RetryAfter: s.blockedUntil.Sub(now)}
	}
	key := keyDigest(b.KeyDigest)
	if rec := s.records[key]; rec != nil && !rec.replaceableBy(b, now) {
		if rec.runID != b.RunID || rec.requestDigest != b.RequestDigest || rec.state != stateIntended {
			return rec.replyToRepeat(b, now)
		}
		if rec.accepted {
			return &Reply{Status: MayRun}
		}
		rec.waiters = append(rec.waiters, recorded)
		return nil
	}
	inMemory := now.Before(s.memoryUntil)
	storeFails := !inMemory && s.storeFailedAt.After(s.storeConfirmedAt)
	if len(s.records) >= maxShardRecords || storeFails && !s.awaitsVotes {
		return &Reply{Status: Unavailable, RetryAfter: unavailableRetryAfter}
	}
	rec := &record{
		requestDigest: b.RequestDigest, runID: b.RunID, state: stateIntended, accepted: inMemory,
		expiresAt: now.Add(s.recorder.retention()), runningUntil: now.Add(b.Timeout),
	}
	s.putDirty(key, rec, now)
	if inMemory {
		return &Reply{Status: MayRun}
	}
	s.urgent = true
	rec.waiters = append(rec.waiters, recorded)
	return nil
}

// putDirty adds a record that is not yet in the store. The caller holds the
// lock.
func (s *shard) putDirty(key keyDigest, rec *record, now time.Time) {
	if old := s.records[key]; old != nil && old != rec {
		s.answerBytes -= len(old.answer)
	}
	if len(s.dirty) == 0 {
		s.dirtySince = now
	}
	s.records[key], s.dirty[key] = rec, rec
}

// finish records the outcome of a call.
func (s *shard) finish(_ context.Context, f *FinishRequest) *Reply {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.role != roleOwner {
		return &Reply{Status: NotOwner, Owner: s.likelyOwner()}
	}
	now, key := time.Now(), keyDigest(f.KeyDigest)
	rec := s.records[key]
	switch {
	case rec == nil:
		rec = &record{requestDigest: f.RequestDigest, runID: f.RunID, state: f.State, expiresAt: now.Add(s.recorder.retention()), accepted: true}
	case !rec.applyOutcome(f):
		return &Reply{Status: Ran}
	}
	if f.State == stateRan && len(f.Answer) > 0 && s.answerBytes+len(f.Answer) <= s.recorder.MaxShardAnswerBytes {
		rec.answer = f.Answer
		s.answerBytes += len(f.Answer)
	}
	if f.State == stateReleased {
		rec.notifyWaiters(Unavailable)
	}
	s.putDirty(key, rec, now)
	s.wakeUp()
	return &Reply{Status: Ran}
}

// dropOwnership ends this node's ownership. The caller holds the lock.
func (s *shard) dropOwnership() {
	for _, rec := range s.dirty {
		rec.notifyWaiters(NotOwner)
	}
	s.role, s.memoryUntil, s.blockedUntil, s.previous = roleOther, time.Time{}, time.Time{}, OwnershipEpoch{}
	s.records, s.dirty, s.headRecords, s.segments, s.answerBytes = nil, nil, nil, nil, 0
	s.urgent, s.awaitsVotes, s.releaseStored = false, false, false
}
