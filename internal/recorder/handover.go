package recorder

import (
	"context"
	"time"
)

// maxHandoverPartRecords bounds the records in one part of a handover.
const maxHandoverPartRecords = 4000

// Release releases the shards of this node, which is about to stop, and stops
// it from acquiring others. If the store responds, all records are written to
// it; otherwise they are handed over to another node.
func (r *Recorder) Release(ctx context.Context) {
	r.setupOnce.Do(r.setup)
	r.releasing.Store(true)
	for _, s := range r.shards {
		s.release(ctx)
	}
}

// release gives up one shard.
func (s *shard) release(ctx context.Context) {
	s.mu.Lock()
	if s.role != roleOwner || time.Now().Before(s.blockedUntil) {
		s.mu.Unlock()
		return
	}
	s.releasing = true // admit no more calls
	s.mu.Unlock()
	for range 3 {
		if !s.commit(ctx) {
			break
		}
		if !s.serves() || s.isReleased() {
			break
		}
	}
	s.handOver(ctx)
	s.mu.Lock()
	s.dropOwnership()
	s.releasing = false
	s.mu.Unlock()
}

// isReleased reports whether the store shows the release.
func (s *shard) isReleased() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.releaseStored
}

// handOver sends the shard to the most likely successor if its release could
// not be stored.
func (s *shard) handOver(ctx context.Context) {
	s.mu.Lock()
	if s.role != roleOwner || s.releaseStored {
		s.mu.Unlock()
		return
	}
	s.resolvePending(false)
	var records []storedRecord
	for k, rec := range s.records {
		records = append(records, rec.toStored(k))
	}
	h := HandoverRequest{Shard: s.number, Epoch: s.epoch, Version: s.version, Outage: s.outage, StoredOutage: s.storedOutage}
	s.role = roleOther // even if the handover fails
	s.mu.Unlock()
	for _, node := range s.ownerCandidates() {
		if node != s.recorder.Node && s.sendHandover(ctx, node, h, records) {
			s.mu.Lock()
			s.movedTo = node
			s.mu.Unlock()
			return
		}
	}
}

// sendHandover sends the records in parts and reports whether the node accepted
// all of them.
func (s *shard) sendHandover(ctx context.Context, node string, h HandoverRequest, records []storedRecord) bool {
	for {
		n := min(len(records), maxHandoverPartRecords)
		part := h
		part.Records, part.Last = records[:n], n == len(records)
		reply, err := s.recorder.query(ctx, node, &Query{Handover: &part})
		if err != nil || !reply.Yes {
			return false
		}
		if part.Last {
			return true
		}
		records = records[n:]
	}
}

// receiveHandover accepts one part of a handover, and starts to serve the shard
// after the last one.
func (s *shard) receiveHandover(h *HandoverRequest) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.role == roleOwner || s.recorder.releasing.Load() || h.Epoch.Term < s.voter.epoch.Term {
		return false
	}
	if s.handoverEpoch != h.Epoch {
		s.handoverEpoch, s.handoverRecords = h.Epoch, nil
	}
	s.handoverRecords = append(s.handoverRecords, h.Records...)
	if h.Last {
		s.receiving = true
		records := s.handoverRecords
		s.handoverEpoch, s.handoverRecords = OwnershipEpoch{}, nil
		go s.serveHandover(h, records)
	}
	return true
}

// serveHandover serves a handed-over shard once a majority of the members know
// of it. The store may be updated much later.
func (s *shard) serveHandover(h *HandoverRequest, stored []storedRecord) {
	defer s.endReceiving()
	ctx, stop := context.WithTimeout(context.Background(), 2*queryTimeout)
	defer stop()
	s.acquiring <- struct{}{}
	defer func() { <-s.acquiring }()
	epoch := OwnershipEpoch{Term: h.Epoch.Term + 1, Nonce: s.recorder.Rand()}
	res := s.requestVotes(ctx, &VoteRequest{Shard: s.number, Purpose: purposeAcquire, Owner: s.recorder.Node, Epoch: epoch, Previous: h.Epoch})
	if !res.majority || res.outage > h.Outage {
		return
	}
	records := map[keyDigest]*record{}
	s.addStored(records, stored, time.Now())
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.role == roleOwner || s.voter.epoch != epoch {
		return
	}
	s.becomeOwner(head{Owner: s.recorder.Node, Epoch: epoch, StoredOutage: h.StoredOutage}, h.Version, records, nil, voteResult{})
	s.previous, s.outage, s.blockedUntil = h.Epoch, h.Outage, time.Time{}
	for k, rec := range records {
		s.dirty[k] = rec
	}
}

func (s *shard) endReceiving() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.receiving = false
}
