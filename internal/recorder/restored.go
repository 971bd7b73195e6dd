package recorder

import (
	"context"
	"fmt"
	"time"

	"github.com/zinniaproxy/zinniaproxy/internal/storer"
)

// unknownEra is the era in a head of a shard of which no era is known in which the
// store had all records. It is below that of each restored store.
const unknownEra = 1

// NoteEra records an era of the store. After a restoration from an older copy the
// store may lack records and ownerships of this node, which it then writes again.
// It does not block.
func (r *Recorder) NoteEra(era uint64) {
	r.setupOnce.Do(r.setup)
	r.eraKnownSince(era)
	for _, s := range r.shards {
		s.mu.Lock()
		if s.role == roleOwner && s.version != 0 && storer.EraOf(s.version) < era {
			s.votersRefreshedAt = time.Time{} // a commit is due
			s.wakeUp()
		}
		s.mu.Unlock()
	}
}

// eraKnownSince returns since when this process has known that the store is in an
// era or a later one. The store was restored before.
func (r *Recorder) eraKnownSince(era uint64) time.Time {
	r.eraMu.Lock()
	defer r.eraMu.Unlock()
	if era > r.notedEra || r.eraNotedAt.IsZero() {
		r.notedEra, r.eraNotedAt = era, time.Now()
	}
	return r.eraNotedAt
}

// isFromOlderCopy reports whether a head is from before this node's ownership, or
// of it but from an older copy of the store.
func (s *shard) isFromOlderCopy(h *head, version uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if h.Epoch == s.epoch || s.previous != (OwnershipEpoch{}) && h.Epoch == s.previous {
		return s.version != 0 && storer.EraOf(version) != storer.EraOf(s.version)
	}
	return h.Epoch.Term < s.epoch.Term
}

// confirmOwnership reports whether a majority of the members know of no later
// owner, whose head the restored store may have lost. If the majority does not know
// of this owner, it gives the shard up.
func (s *shard) confirmOwnership(ctx context.Context, epoch OwnershipEpoch) bool {
	res := s.requestVotes(ctx, &VoteRequest{Shard: s.number, Purpose: purposeConfirm, Owner: s.recorder.Node, Epoch: epoch})
	if res.majority && res.maxTerm <= epoch.Term {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if res.answered && s.role == roleOwner && s.epoch == epoch {
		s.trace("shard-lost", fmt.Sprintf("%s: not confirmed after a restoration, the highest term is %d", s.storePrefix(), res.maxTerm))
		s.dropOwnership()
	}
	return false
}

// storeAllAgain has all records written anew over the head with a version. The
// caller holds the lock.
func (s *shard) storeAllAgain(version uint64) {
	s.trace("shard-restored", fmt.Sprintf("%s: %d records are written again", s.storePrefix(), len(s.records)))
	s.version, s.segments, s.headRecords = version, nil, map[keyDigest]*record{}
	for k, rec := range s.records {
		s.dirty[k] = rec
	}
	s.urgent = true
}

// era returns the highest known era of the store, or 0 if it does not tell it.
func (r *Recorder) era() uint64 {
	if r.Store.Eras == nil {
		return 0
	}
	return r.Store.Eras.Current()
}

// mayHaveLost reports whether the store may have lost records of a shard: it was
// restored from an older copy, and its head, if there is one, is from before.
func (r *Recorder) mayHaveLost(h *head, version uint64) bool {
	if version == 0 {
		return r.Store.Eras.Restored()
	}
	return h.era() != 0 && h.era() < storer.EraOf(version)
}

// blockForLostRecords refuses calls until all records have expired that a restored
// store may have lost: they are from before this process knew its era. The caller
// holds the lock.
func (s *shard) blockForLostRecords() {
	s.trace("shard-incomplete", fmt.Sprintf("%s was last complete in era %d", s.storePrefix(), s.completeEra))
	until := s.recorder.eraKnownSince(s.recorder.era()).Add(s.recorder.retention())
	if until.After(s.blockedUntil) {
		s.blockedUntil = until
	}
}
