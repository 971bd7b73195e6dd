package recorder

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/zinniaproxy/zinniaproxy/internal/messenger"
	"github.com/zinniaproxy/zinniaproxy/internal/storer"
)

const (
	// segmentKeyPrefix begins the keys of segments, after the shard's prefix.
	segmentKeyPrefix = "s-"
	// maxStoredRecordBytes is the maximum size of one encoded record.
	maxStoredRecordBytes = 40
	// acquireCheckInterval is how often a node checks for shards without an
	// owner.
	acquireCheckInterval = 2 * time.Second
	// maxCommitAttempts bounds the writes of one commit.
	maxCommitAttempts = 3
	// expiryInterval is the minimum time between two scans for expired records.
	expiryInterval = 10 * time.Second
)

// storePrefix is the prefix of the shard's keys in the store.
func (s *shard) storePrefix() string { return fmt.Sprintf("once/%03d/", s.number) }

// run commits dirty records while this node owns the shard, and otherwise checks
// whether it should become the owner, until ctx ends.
func (s *shard) run(ctx context.Context) {
	timer := time.NewTimer(acquireCheckInterval)
	defer timer.Stop()
	for {
		timer.Reset(max(s.untilNextWork(time.Now()), 0))
		select {
		case <-ctx.Done():
			s.mu.Lock()
			s.dropOwnership()
			s.mu.Unlock()
			return
		case <-s.wake:
		case <-timer.C:
			if s.isOwner() {
				s.commitAndRefresh(ctx)
			} else {
				s.acquireIfFirst(ctx)
			}
		}
	}
}

// untilNextWork returns the time until the shard next needs work.
func (s *shard) untilNextWork(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.role != roleOwner {
		return acquireCheckInterval
	}
	next := s.votersRefreshedAt.Add(voterRefreshInterval)
	switch {
	case s.storeFailedAt.After(s.storeConfirmedAt):
		next = s.storeFailedAt.Add(storeProbeInterval)
	case s.urgent:
		next = s.committedAt.Add(s.recorder.MinCommitInterval)
	case len(s.dirty) > 0:
		next = earlier(next, s.dirtySince.Add(maxOutcomeDelay))
	}
	return next.Sub(now)
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// commitAndRefresh commits dirty records, or confirms the ownership if there
// are none, and refreshes the voters.
func (s *shard) commitAndRefresh(ctx context.Context) {
	if !s.commit(ctx) {
		s.extendMemoryMode(ctx)
		return
	}
	s.expireRecords(ctx)
	s.refreshVoters(ctx)
}

// isOwner reports whether this node owns the shard, including while it releases
// it.
func (s *shard) isOwner() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.role == roleOwner
}

// batch is the content of one commit.
type batch struct {
	head head
	// version is the version of the head in the store.
	version uint64
	// spilled are records for segments, as there are too many for the head.
	spilled []storedRecord
	// records are the dirty records that the batch stores.
	records []*record
}

// commit writes dirty records. It returns false if the store does not respond.
func (s *shard) commit(ctx context.Context) bool {
	s.committing <- struct{}{}
	defer func() { <-s.committing }()
	if s.storeFailing() {
		if _, _, err := s.readHead(ctx); err != nil {
			s.markStoreFailed()
			return false
		}
	}
	for range maxCommitAttempts {
		if !s.isOwner() || ctx.Err() != nil {
			return true
		}
		b := s.collectBatch()
		if s.writeBatch(ctx, b) == nil {
			s.batchWritten(b)
			return true
		}
		retry, storeAnswered := s.resolveFailedWrite(ctx, b)
		if !retry {
			return storeAnswered
		}
	}
	s.markStoreFailed()
	return false
}

// storeFailing reports whether the last store access failed.
func (s *shard) storeFailing() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.storeFailedAt.After(s.storeConfirmedAt)
}

func (s *shard) markStoreFailed() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.storeFailedAt, s.awaitsVotes = time.Now(), true
}

// collectBatch moves the dirty records into a batch.
func (s *shard) collectBatch() *batch {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.committedAt, s.urgent = now, false
	b := &batch{version: s.version}
	s.commitNumber++
	if !now.Before(s.blockedUntil) {
		if s.completeEra = storer.EraOf(s.version); s.version == 0 {
			s.completeEra = s.recorder.era()
		}
	}
	b.head = head{Owner: s.recorder.Node, Epoch: s.epoch, StoredOutage: s.storedOutage}
	b.head.setCommit(s.commitNumber, s.completeEra)
	if !now.Before(s.blockedUntil) && s.memoryUntil.IsZero() {
		b.head.StoredOutage = s.outage // this batch stores all calls of the outage that have not expired
	}
	if s.releasing && b.head.StoredOutage == s.outage {
		b.head.Released = true
	}
	for k, rec := range s.dirty {
		b.records = append(b.records, rec)
		s.headRecords[k] = rec
	}
	var records []storedRecord
	for k, rec := range s.headRecords {
		records = append(records, rec.toStored(k))
	}
	s.dirty = map[keyDigest]*record{}
	if len(records)*maxStoredRecordBytes > maxHeadRecordBytes {
		b.spilled = records
		return b
	}
	b.head.Records = records
	return b
}

// writeBatch writes a batch to the store: segments first, then the head, which
// alone makes the batch effective.
func (s *shard) writeBatch(ctx context.Context, b *batch) error {
	for len(b.spilled) > 0 {
		n := min(len(b.spilled), maxSegmentBytes/maxStoredRecordBytes)
		if err := s.writeSegment(ctx, b.spilled[:n]); err != nil {
			b.head.Records = nil
			return err
		}
		b.spilled = b.spilled[n:]
	}
	version, err := s.swapHead(ctx, &b.head, b.version)
	b.version = version
	return err
}

func (s *shard) writeSegment(ctx context.Context, records []storedRecord) error {
	s.mu.Lock()
	s.segmentNumber++
	key := fmt.Sprintf("%s%s%012d-%012d", s.storePrefix(), segmentKeyPrefix, s.epoch.Term, s.segmentNumber)
	s.mu.Unlock()
	ctx, stop := context.WithTimeout(ctx, storeTimeout)
	defer stop()
	version, err := s.recorder.Store.Swap(ctx, key, messenger.Encode(records), 0, "")
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.segments = append(s.segments, segment{key: key, version: version, expiresAt: time.Now().Add(s.recorder.retention())})
	return nil
}

// batchWritten updates the state after a successful write and notifies the
// waiting calls.
func (s *shard) batchWritten(b *batch) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.role != roleOwner || s.epoch != b.head.Epoch {
		return
	}
	s.version, s.storeConfirmedAt, s.previous = b.version, s.committedAt, OwnershipEpoch{}
	s.storedOutage, s.memoryUntil, s.releaseStored = b.head.StoredOutage, time.Time{}, b.head.Released
	if s.outage > s.storedOutage && !time.Now().Before(s.blockedUntil) {
		s.urgent = true // the next batch marks the outage as stored
	}
	if len(b.head.Records) == 0 {
		s.headRecords = map[keyDigest]*record{}
	}
	for _, rec := range b.records {
		rec.accepted = true
		rec.notifyWaiters(MayRun)
	}
}

// resolveFailedWrite reads the head after a failed write. retry requests
// another write; storeAnswered is false if the store does not respond.
func (s *shard) resolveFailedWrite(ctx context.Context, b *batch) (retry, storeAnswered bool) {
	h, version, err := s.readHead(ctx)
	restored := err == nil && s.isFromOlderCopy(&h, version)
	if err == nil && !restored && h.Epoch == b.head.Epoch && h.CommitNumber == b.head.CommitNumber {
		b.version = version
		s.batchWritten(b) // only the reply was lost
		return false, true
	}
	confirmed := restored && s.confirmOwnership(ctx, b.head.Epoch)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.role != roleOwner || s.epoch != b.head.Epoch {
		return false, true
	}
	s.restoreBatch(b)
	switch {
	case err != nil, restored && !confirmed:
		s.storeFailedAt, s.awaitsVotes = time.Now(), true
		return false, false
	case restored:
		s.storeAllAgain(version)
		return true, true
	case h.Epoch == s.epoch, s.previous != OwnershipEpoch{} && h.Epoch == s.previous:
		s.version = version
		return true, true
	}
	s.trace("shard-lost", s.storePrefix()+" to "+h.Owner)
	s.dropOwnership()
	return false, true
}

// restoreBatch marks the records of a failed batch dirty again. The caller
// holds the lock.
func (s *shard) restoreBatch(b *batch) {
	for k, rec := range s.headRecords {
		if s.records[k] == rec {
			s.dirty[k] = rec
		}
	}
	for _, rec := range b.records {
		s.urgent = s.urgent || len(rec.waiters) > 0
	}
}

// expireRecords drops expired records and deletes at most one expired segment.
func (s *shard) expireRecords(ctx context.Context) {
	now := time.Now()
	s.mu.Lock()
	if s.role != roleOwner {
		s.mu.Unlock()
		return
	}
	var expired segment
	if len(s.segments) > 0 && now.After(s.segments[0].expiresAt) {
		expired = s.segments[0]
		s.segments = s.segments[1:]
	}
	s.dropExpired(now)
	s.mu.Unlock()
	if expired.key == "" {
		return
	}
	ctx, stop := context.WithTimeout(ctx, storeTimeout)
	defer stop()
	if _, err := s.recorder.Store.Swap(ctx, expired.key, nil, expired.version, ""); err != nil && !errors.Is(err, storer.ErrConflict) {
		s.mu.Lock()
		s.segments = append(s.segments, expired)
		s.mu.Unlock()
	}
}

// dropExpired drops expired records, at most once per expiryInterval. The
// caller holds the lock.
func (s *shard) dropExpired(now time.Time) {
	if now.Sub(s.expiryCheckedAt) < expiryInterval {
		return
	}
	s.expiryCheckedAt = now
	for k, rec := range s.records {
		if now.After(rec.expiresAt) {
			s.answerBytes -= len(rec.answer)
			delete(s.records, k)
			delete(s.headRecords, k)
			delete(s.dirty, k)
		}
	}
}
