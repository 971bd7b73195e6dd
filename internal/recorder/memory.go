package recorder

import (
	"context"
	"time"
)

// extendMemoryMode lets the owner serve from memory while the store does not
// respond, as long as a majority of the members know of no later owner. Each of
// them then knows of the outage, and so will the next owner.
func (s *shard) extendMemoryMode(ctx context.Context) {
	s.mu.Lock()
	now := time.Now()
	if s.role != roleOwner || now.Before(s.blockedUntil) {
		s.resolvePending(false)
		s.mu.Unlock()
		return
	}
	s.dropExpired(now)
	if s.memoryUntil.Sub(now) > s.recorder.VoteValidity/2 {
		s.resolvePending(true)
		s.mu.Unlock()
		return
	}
	outage := max(s.outage, s.storedOutage+1)
	req := &VoteRequest{Shard: s.number, Purpose: purposeServeFromMemory, Owner: s.recorder.Node, Epoch: s.epoch, Outage: outage}
	s.mu.Unlock()
	res := s.requestVotes(ctx, req)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.role != roleOwner || s.epoch != req.Epoch {
		return
	}
	if res.majority {
		if s.memoryUntil.IsZero() {
			s.trace("shard-from-memory", s.storePrefix())
		}
		s.outage, s.memoryUntil = outage, now.Add(s.recorder.VoteValidity)
	}
	s.resolvePending(time.Now().Before(s.memoryUntil))
}

// resolvePending answers the calls that wait for a failed commit. The caller
// holds the lock.
func (s *shard) resolvePending(accepted bool) {
	s.urgent, s.awaitsVotes = false, false
	for k, rec := range s.dirty {
		switch {
		case rec.accepted:
		case accepted:
			rec.accepted = true
			rec.notifyWaiters(MayRun)
		default:
			rec.notifyWaiters(Unavailable)
			delete(s.dirty, k)
			if s.records[k] == rec {
				delete(s.records, k)
				delete(s.headRecords, k)
			}
		}
	}
}

// refreshVoters notifies the members, after a commit, that this node still owns
// the shard, so that votes of recently started nodes count.
func (s *shard) refreshVoters(ctx context.Context) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if s.role != roleOwner || now.Sub(s.votersRefreshedAt) < voterRefreshInterval {
		return
	}
	s.votersRefreshedAt = now
	if !s.memoryUntil.IsZero() || s.outage > s.storedOutage {
		return
	}
	req := &VoteRequest{
		Shard: s.number, Purpose: purposeRefresh, Owner: s.recorder.Node, Epoch: s.epoch, ConfirmedAgo: now.Sub(s.storeConfirmedAt),
	}
	go s.requestVotes(ctx, req)
}
