package prober

import (
	"cmp"
	"math/rand/v2"
	"time"

	"github.com/zinniaproxy/zinniaproxy/internal/messenger"
)

// handleDatagram verifies and handles one datagram. The caller holds the lock.
func (p *Prober) handleDatagram(b []byte, now time.Time) {
	p.checkPause(now)
	q, err := open(p.Secret, b)
	if err != nil || q.From == p.self.Name {
		p.counts.rejected.Add(1)
		return
	}
	e := p.members[q.From]
	if q.ToEpoch != p.self.Epoch {
		p.answerStalePing(q, e)
		p.pingBack(q, now)
		return
	}
	if e != nil && (q.FromEpoch < e.Epoch || q.FromEpoch == e.Epoch && !e.window.accept(q.Seq)) {
		p.counts.rejected.Add(1)
		if q.FromEpoch < e.Epoch && q.Kind == ping {
			p.answerStalePing(q, e)
		}
		return
	}
	incarnation := p.self.Incarnation
	p.applyUpdates(q, now)
	e = p.members[q.From]
	if e == nil || e.Epoch != q.FromEpoch {
		p.answerStalePing(q, e)
		return
	}
	e.window.accept(q.Seq)
	e.digestDiffers = q.Digest != p.digest()
	if p.self.Incarnation != incarnation {
		p.sendWithUpdates(e, &packet{Kind: gossip})
	}
	p.handlePacket(q, e, now)
	p.mergeNumbersAndStamp(e, q, now)
}

// applyUpdates applies the updates of a packet. Those from the member list of a
// node of the own data centre are not gossiped further: most others there have
// them.
func (p *Prober) applyUpdates(q *packet, now time.Time) {
	sender := p.members[q.From]
	isNear := sender != nil && sender.Centre == p.self.Centre
	spread := q.Kind != pageReply && (q.Kind != bucketReply || !isNear)
	for _, b := range q.Updates {
		var u update
		if err := messenger.Decode(b, &u); err != nil {
			p.counts.rejected.Add(1)
			return
		}
		p.applyUpdate(u, now, spread)
	}
}

// answerStalePing answers a ping that was meant for another process, or whose
// sender has an old epoch or is not a member, so that the sender learns the
// current epochs and does not suspect this node.
func (p *Prober) answerStalePing(q *packet, e *memberEntry) {
	if q.Kind != ping {
		return
	}
	updates := []update{p.selfUpdate()}
	if e != nil {
		updates = append(updates, e.update())
	}
	addr, centre := q.About, ""
	if e != nil {
		centre = e.Centre
		addr = cmp.Or(addr, e.Link)
	}
	p.send(addr, centre, q.FromEpoch, &packet{Kind: ack, Nonce: q.Nonce, Updates: p.nextUpdates(centre, updates...)})
}

// pingBack pings the sender of a ping that was meant for an earlier process of
// this node, until this process has joined. This lets it find the fleet without
// seeds or the store. The caller holds the lock.
func (p *Prober) pingBack(q *packet, now time.Time) {
	if !p.joined && q.Kind == ping && q.About != "" && len(p.probes.extraPings) < relayCount {
		p.pingAddress(q.About, "", q.FromEpoch, now)
	}
}

// handlePacket handles a verified packet by its kind. The caller holds the lock.
func (p *Prober) handlePacket(q *packet, e *memberEntry, now time.Time) {
	switch q.Kind {
	case ack:
		p.handleAck(q, e, now)
	case relayReport:
		p.handleRelayReport(q, now)
	case ping:
		p.sendWithUpdates(e, &packet{Kind: ack, Nonce: q.Nonce})
	case relayRequest:
		p.handleRelayRequest(q, now)
	case pageRequest:
		p.sendWithUpdates(e, &packet{Kind: pageReply, Nonce: q.Nonce, Updates: p.membersAfter(q.About)})
	case pageReply:
		p.handlePage(q, e, now)
	case bucketRequest:
		p.answerBuckets(q, e)
	case censusRequest:
		p.sendWithUpdates(e, p.censusReplyTo(q))
	case censusReply:
		p.handleCensusReply(q)
	}
}

// handleAck matches an ack to its ping, and joins the fleet on the first one.
func (p *Prober) handleAck(q *packet, e *memberEntry, now time.Time) {
	pingedAt, ok := p.matchPing(q)
	roundTrip := elapsed(pingedAt, now)
	if !ok || roundTrip > probeInterval {
		return
	}
	if p.isolated(now) {
		p.restartSuspicions(now)
	}
	p.probes.answeredAt, e.knowsSelf = now, true
	if roundTrip <= ackTimeout {
		e.offset.set(q.Clock, now.Sub(p.started))
	}
	if !p.joined {
		p.joined = true
		p.gossipSelf()
		p.pushUpdates()
	}
	p.syncOnJoin(e, q, now)
}

// matchPing matches an ack to an outstanding ping and records its success, or
// reports it to the requester of a relayed ping. It returns when the ping was
// first sent, and false if there is none.
func (p *Prober) matchPing(q *packet) (time.Time, bool) {
	s := &p.probes
	if r, ok := s.relayedPings[q.Nonce]; ok && r.member == q.From {
		delete(s.relayedPings, q.Nonce)
		p.sendRelayReport(r, true)
		return r.start, true
	}
	if pr := s.current; pr != nil && pr.nonce == q.Nonce && pr.name == q.From {
		pr.directAck = true
		return pr.start, true
	}
	at, ok := s.extraPings[q.Nonce]
	delete(s.extraPings, q.Nonce)
	return at, ok
}

// restartSuspicions gives all suspects the whole suspicionTimeout again.
func (p *Prober) restartSuspicions(now time.Time) {
	for _, e := range p.members {
		if e.State == Suspect {
			e.since = now
		}
	}
}

// handleRelayRequest pings a member on behalf of the sender.
func (p *Prober) handleRelayRequest(q *packet, now time.Time) {
	e := p.members[q.About]
	r := relayedPing{requester: q.From, nonce: q.Nonce, member: q.About, start: now}
	if e == nil {
		p.sendRelayReport(r, false)
		return
	}
	nonce := rand.Uint64()
	p.probes.relayedPings[nonce] = r
	p.sendWithUpdates(e, &packet{Kind: ping, Nonce: nonce})
}

// expireRelayedPings reports relayed pings that were not answered within
// ackTimeout.
func (p *Prober) expireRelayedPings(now time.Time) {
	for nonce, r := range p.probes.relayedPings {
		if now.Sub(r.start) >= ackTimeout {
			delete(p.probes.relayedPings, nonce)
			p.sendRelayReport(r, false)
		}
	}
}

func (p *Prober) sendRelayReport(r relayedPing, reached bool) {
	if e := p.members[r.requester]; e != nil {
		p.sendWithUpdates(e, &packet{Kind: relayReport, Nonce: r.nonce, About: r.member, Reached: reached})
	}
}

func (p *Prober) handleRelayReport(q *packet, now time.Time) {
	pr := p.probes.current
	if pr == nil || pr.nonce != q.Nonce || pr.name != q.About {
		return
	}
	pr.relayReports++
	pr.relayAck = pr.relayAck || q.Reached
	p.probes.answeredAt = now
}
