package prober

import (
	"math/rand/v2"
	"time"
)

// startCensus asks all running members for their last contact with the store,
// unless they are too few to be a majority. The caller holds the lock.
func (p *Prober) startCensus(now time.Time) {
	s := &p.stamps
	peers := p.memberList().peers
	if s.census != nil || !p.isMajority(len(peers)+1) {
		return
	}
	s.census = &censusRound{nonce: rand.Uint64(), start: now, answered: map[string]bool{}}
	for _, e := range peers {
		p.send(e.Link, e.Centre, e.Epoch, &packet{Kind: censusRequest, Nonce: s.census.nonce})
	}
	p.finishCensus()
}

// isMajority reports whether n nodes are more than half of all that may be
// running: the recorded nodes and the known members, except those that left.
func (p *Prober) isMajority(n int) bool {
	total := 1
	for _, e := range p.members {
		if e.State != Left {
			total++
		}
	}
	for name := range p.recorded {
		if p.members[name] == nil && name != p.self.Name {
			total++
		}
	}
	return 2*n > total
}

// censusReplyTo returns the reply to a census, which has this node's newest
// stamp from the store.
func (p *Prober) censusReplyTo(q *packet) *packet {
	return &packet{Kind: censusReply, Nonce: q.Nonce, Stamp: p.stamps.stampWithAge(p.stamps.newestFromStore)}
}

// handleCensusReply counts a reply. A reply with a recent stamp from the store
// cancels the census, as the store is reachable and its stamps will arrive.
func (p *Prober) handleCensusReply(q *packet) {
	c := p.stamps.census
	if c == nil || c.nonce != q.Nonce {
		return
	}
	if q.Stamp != nil && !q.Stamp.Census && q.Stamp.Age < recentStoreAge {
		p.stamps.census = nil
		return
	}
	c.answered[q.From] = true
	p.stamps.raiseNumbers(q.numbers())
	p.finishCensus()
}

// finishCensus issues a stamp once a majority has answered. The stamp is dated by
// the start of the census.
func (p *Prober) finishCensus() {
	c := p.stamps.census
	if !p.isMajority(len(c.answered) + 1) {
		return
	}
	p.stamps.census = nil
	p.issueStamp(p.stamps.numbers, c.start, true)
}
