package recorder

import (
	"context"
	"sync"
	"time"
)

// voterState is what this process, as a voter, knows of a shard's owners. It is
// lost with the process; Vote.Counted reports whether the loss can matter.
type voterState struct {
	// epoch is the latest known ownership, owner its node.
	epoch OwnershipEpoch
	owner string
	// highestSeenTerm is the highest term reported by voters; the next epoch
	// must be above it.
	highestSeenTerm uint64
	// completeSince is the term from which on this process knows of every vote
	// it granted that can still matter; 0 while it may not know them all.
	completeSince uint64
	// outage is the last outage in which an owner served from memory, outageAt
	// the time of its last vote request.
	outage   uint64
	outageAt time.Time
}

// recordOwner sets the latest known ownership.
func (v *voterState) recordOwner(req *VoteRequest) { v.epoch, v.owner = req.Epoch, req.Owner }

// vote answers a vote request.
func (s *shard) vote(req *VoteRequest) Vote {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	known, uptime := &s.voter, now.Sub(s.recorder.started)
	v := Vote{Term: known.epoch.Term, Outage: known.outage, OutageAgo: now.Sub(known.outageAt)}
	notSuperseded := req.Epoch.Term > known.epoch.Term || req.Epoch == known.epoch
	switch req.Purpose {
	case purposeRefresh:
		v.Granted = notSuperseded && uptime >= req.ConfirmedAgo+2*queryTimeout
		if v.Granted && known.completeSince == 0 {
			known.completeSince = req.Epoch.Term
		}
	case purposeServeFromMemory:
		v.Granted = req.Epoch == known.epoch
		v.Counted = v.Granted
		if v.Granted {
			known.outage, known.outageAt = max(known.outage, req.Outage), now
		}
	case purposeConfirm:
		v.Granted = req.Epoch == known.epoch
		v.Counted = v.Granted
	case purposeAcquire:
		v.Granted = notSuperseded
		v.Counted = notSuperseded && s.knowsOutages(req, uptime)
		if v.Counted && known.completeSince == 0 {
			known.completeSince = max(req.Previous.Term, 1)
		}
	}
	if v.Granted {
		known.recordOwner(req)
	}
	return v
}

// knowsOutages reports whether this process, as a voter, would know of every
// outage that can still matter and in which the owner of req.Previous or of an
// earlier epoch served from memory.
func (s *shard) knowsOutages(req *VoteRequest, uptime time.Duration) bool {
	known := &s.voter
	return req.Previous.Term == 0 || (known.completeSince > 0 && known.completeSince <= req.Previous.Term) || uptime >= s.recorder.memoryRetention()
}

// memoryRetention is how long calls accepted in memory can matter after the
// owner's last votes.
func (r *Recorder) memoryRetention() time.Duration {
	return r.retention() + r.retention()/10 + 2*r.VoteValidity
}

// voteResult sums up the members' votes.
type voteResult struct {
	// majority reports that more than half of the members granted a vote that
	// counts, answered that more than half answered.
	majority, answered bool
	// maxTerm is the highest term received, outage the last outage and
	// outageAgo the shortest time since one.
	maxTerm, outage uint64
	outageAgo       time.Duration
}

// requestVotes requests votes of all members, until a majority is counted.
func (s *shard) requestVotes(ctx context.Context, req *VoteRequest) voteResult {
	members := s.recorder.Members()
	votes := make(chan *Vote, len(members))
	ctx, stop := context.WithTimeout(ctx, queryTimeout)
	var requests sync.WaitGroup
	for _, node := range members {
		requests.Go(func() { votes <- s.requestVote(ctx, node, req) })
	}
	go func() {
		requests.Wait()
		stop()
	}()
	res, counted, answers := voteResult{outageAgo: s.recorder.memoryRetention()}, 0, 0
	for range members {
		v := <-votes
		if v == nil {
			continue
		}
		answers++
		res.answered = answers > len(members)/2
		res.maxTerm, res.outage = max(res.maxTerm, v.Term), max(res.outage, v.Outage)
		if v.Outage > 0 {
			res.outageAgo = min(res.outageAgo, v.OutageAgo)
		}
		if v.Granted && v.Counted {
			counted++
		}
		if res.majority = counted > len(members)/2; res.majority {
			break
		}
	}
	if req.Purpose == purposeServeFromMemory {
		stop() // the other members need not learn of this request
	}
	return res
}

// requestVote returns the vote of one node, nil if it does not answer.
func (s *shard) requestVote(ctx context.Context, node string, req *VoteRequest) *Vote {
	select {
	case s.recorder.voteSlots <- struct{}{}:
		defer func() { <-s.recorder.voteSlots }()
	case <-ctx.Done():
		return nil
	}
	reply, err := s.recorder.query(ctx, node, &Query{Vote: req})
	if err != nil {
		return nil
	}
	return &reply.Vote
}
