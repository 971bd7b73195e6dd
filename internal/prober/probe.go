package prober

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/zinniaproxy/zinniaproxy/internal/messenger"
)

// probeState is the state of pings and of the sync of member lists.
type probeState struct {
	// current is the probe in progress, or nil.
	current      *probe
	nextProbeAt  time.Time
	relayedPings map[uint64]relayedPing
	// lastTick is when a pause was last checked for; answeredAt is when any
	// member last answered.
	lastTick, answeredAt    time.Time
	reconnectedAt, syncedAt time.Time
	// joinSynced is set once the member list of a member was compared with the
	// empty one of this process.
	joinSynced bool
	// pageRequested is set while the page of a member list after the name
	// pageAfter is awaited.
	pageRequested   bool
	pageAfter       string
	pageRequestedAt time.Time
	// extraPings holds when pings outside current and relayedPings were sent,
	// by nonce.
	extraPings map[uint64]time.Time
	// startupPingedAt is when a new process last pinged a node that is not a
	// member yet, by name.
	startupPingedAt map[string]time.Time
}

// probe is one check of a member, by direct and relayed pings.
type probe struct {
	name  string
	nonce uint64
	start time.Time
	// directPings counts the pings sent directly.
	directPings int
	// relaysAsked counts the members asked to relay the ping, relayReports
	// those that reported an outcome.
	relaysAsked, relayReports int
	directAck, relayAck       bool
}

// relayedPing is a ping made on behalf of another member.
type relayedPing struct {
	requester string
	nonce     uint64
	member    string
	start     time.Time
}

func (s *probeState) init(now time.Time) {
	s.current = nil
	s.relayedPings = map[uint64]relayedPing{}
	s.extraPings = map[uint64]time.Time{}
	s.lastTick, s.answeredAt = now, now
	s.nextProbeAt = now.Add(rand.N(probeInterval))
	s.reconnectedAt = now.Add(-rand.N(reconnectInterval))
	s.syncedAt = now.Add(-rand.N(syncInterval))
}

// paused reports whether more than pauseThreshold passed since its last call, by
// the monotonic clock or by the wall clock, which also runs on while a VM is
// suspended.
func (s *probeState) paused(now time.Time) bool {
	gap := elapsed(s.lastTick, now)
	s.lastTick = now
	return gap > pauseThreshold
}

// elapsed returns the time from a to b, by the monotonic clock or the wall
// clock, whichever advanced more.
func elapsed(a, b time.Time) time.Duration {
	return max(b.Sub(a), b.Round(0).Sub(a.Round(0)))
}

// isolated reports whether nobody has answered this node for isolatedAfter, so
// that the fault is likely its own. The caller holds the lock.
func (p *Prober) isolated(now time.Time) bool {
	return now.Sub(p.probes.answeredAt) > isolatedAfter
}

// contactFleet pings the seeds and a few recorded nodes. The caller holds the
// lock.
func (p *Prober) contactFleet(now time.Time) {
	for _, a := range p.Seeds {
		if a != p.self.Link {
			p.pingAddress(a, "", 0, now)
		}
	}
	var near, remote []messenger.Node
	for name, r := range p.recorded {
		switch {
		case name == p.self.Name:
		case r.Centre == p.self.Centre:
			near = append(near, r)
		default:
			remote = append(remote, r)
		}
	}
	for _, r := range mostlyNear(near, remote, fanout) {
		p.pingRecorded(r, now)
	}
}

// pingUnknownRecorded pings recorded nodes that are not members yet, for
// startupPeriod: when the whole fleet has just started, no node can tell this one
// of the others. It also makes this process known to the members of the own data
// centre that ran before it. The caller holds the lock.
func (p *Prober) pingUnknownRecorded(now time.Time) {
	if now.Sub(p.started) >= startupPeriod {
		p.probes.startupPingedAt = nil
		return
	}
	if p.probes.startupPingedAt == nil {
		p.probes.startupPingedAt = map[string]time.Time{}
	}
	pingsLeft := startupPingsPerTick
	for name, r := range p.recorded {
		if pingsLeft == 0 {
			return
		}
		isNear := r.Centre == p.self.Centre
		e := p.members[name]
		switch {
		case name == p.self.Name, now.Sub(p.probes.startupPingedAt[name]) < startupPingInterval:
			continue
		case e != nil && (e.knowsSelf || !isNear || p.startedTogether(r)):
			continue
		case !isNear && now.Sub(p.started) < remotePingDelay:
			continue
		}
		p.probes.startupPingedAt[name] = now
		p.pingRecorded(r, now)
		pingsLeft--
	}
}

func (p *Prober) pingAddress(addr, centre string, epoch uint64, now time.Time) {
	p.send(addr, centre, epoch, p.extraPing(now))
}

// pingRecorded pings a node on record and tells it of this one. If another
// process runs there by now, that only answers.
func (p *Prober) pingRecorded(r messenger.Node, now time.Time) {
	q, own := p.extraPing(now), p.selfUpdate()
	q.Updates = []msgpack.RawMessage{messenger.Encode(&own)}
	p.send(r.Link, r.Centre, r.Epoch, q)
}

// extraPing returns a ping outside of the regular ones.
func (p *Prober) extraPing(now time.Time) *packet {
	nonce := rand.Uint64()
	p.probes.extraPings[nonce] = now
	return &packet{Kind: ping, Nonce: nonce, About: p.self.Link}
}

// probe advances the probe in progress and starts the next when it is due. The
// caller holds the lock.
func (p *Prober) probe(now time.Time) {
	s := &p.probes
	if pr := s.current; pr != nil {
		p.sendProbe(pr, now)
	}
	if now.Before(s.nextProbeAt) {
		return
	}
	if s.current != nil {
		p.finishProbe(s.current, now)
		s.current = nil
	}
	s.nextProbeAt = now.Add(probeInterval)
	for nonce, at := range s.extraPings {
		if now.Sub(at) > probeInterval {
			delete(s.extraPings, nonce)
		}
	}
	if e := p.nextToProbe(now); e != nil {
		s.current = &probe{name: e.Name, nonce: rand.Uint64(), start: now}
		p.sendProbe(s.current, now)
	}
}

// nextToProbe returns the running member to ping now, or nil. All nodes step
// through the sorted members by the wall clock, each from its own position, so
// that each member is pinged by one other every second. With a random choice, in
// a fleet of ten nodes a dead one would in 1 of 25 cases get no ping for three
// seconds. Differences between the clocks weaken this, but each node still goes
// through all members.
func (p *Prober) nextToProbe(now time.Time) *memberEntry {
	peers := p.memberList().peers
	if len(peers) == 0 {
		return nil
	}
	start, _ := slices.BinarySearchFunc(peers, p.self.Name, func(e *memberEntry, name string) int {
		return strings.Compare(e.Name, name)
	})
	step := int(now.UnixNano()/int64(probeInterval)) % len(peers)
	return peers[(start+step)%len(peers)]
}

// sendProbe sends a direct ping every ackTimeout until one is acknowledged, and
// asks relays along with the second.
func (p *Prober) sendProbe(pr *probe, now time.Time) {
	e := p.members[pr.name]
	if e == nil || pr.directAck || now.Sub(pr.start) < time.Duration(pr.directPings)*ackTimeout {
		return
	}
	pr.directPings++
	p.sendWithUpdates(e, &packet{Kind: ping, Nonce: pr.nonce, About: p.self.Link})
	if pr.directPings != 2 {
		return
	}
	for _, relay := range pickRandom(p.memberList().peers, relayCount, pr.name) {
		pr.relaysAsked++
		p.sendWithUpdates(relay, &packet{Kind: relayRequest, Nonce: pr.nonce, About: pr.name})
	}
}

// finishProbe updates a member by the outcome of its probe, and raises a
// suspicion if neither it nor a relay confirmed that it runs.
func (p *Prober) finishProbe(pr *probe, now time.Time) {
	e := p.members[pr.name]
	if e == nil {
		return
	}
	if e.Direct != pr.directAck && (pr.directAck || pr.relayAck) {
		e.Direct = pr.directAck
		p.addChange(e.Member)
	}
	if pr.directAck || pr.relayAck || !e.Up() {
		return
	}
	if pr.relaysAsked > 0 && pr.relayReports == 0 {
		p.markDeadLocally(e, now)
		return
	}
	if e.State == Suspect {
		return
	}
	p.counts.suspicions.Add(1)
	p.applyUpdate(update{Name: e.Name, Epoch: e.Epoch, Incarnation: e.Incarnation, State: Suspect, Node: &e.Node}, now, true)
}

// markDeadLocally marks a member as dead without gossip once nobody has answered
// this node for localDeadAfter, as the fault may be this node's own.
func (p *Prober) markDeadLocally(e *memberEntry, now time.Time) {
	if now.Sub(p.probes.answeredAt) > localDeadAfter {
		p.toggleDigest(e.Member)
		e.State, e.since = Dead, now
		p.addChange(e.Member)
	}
}

// reconnect pings one random node that is dead or only recorded, and contacts the
// seeds while this node has not joined or is isolated. The caller holds the lock.
func (p *Prober) reconnect(now time.Time) {
	s := &p.probes
	if now.Sub(s.reconnectedAt) < reconnectInterval {
		return
	}
	s.reconnectedAt = now
	if !p.joined || p.isolated(now) {
		p.contactFleet(now)
	}
	var candidates []messenger.Node
	for _, e := range p.members {
		if e.State == Dead {
			candidates = append(candidates, e.Node)
		}
	}
	for name, n := range p.recorded {
		if p.members[name] == nil && name != p.self.Name {
			candidates = append(candidates, n)
		}
	}
	if len(candidates) == 0 {
		return
	}
	n := candidates[rand.IntN(len(candidates))]
	if e := p.members[n.Name]; e != nil {
		nonce := rand.Uint64()
		s.extraPings[nonce] = now
		p.sendWithUpdates(e, &packet{Kind: ping, Nonce: nonce, About: p.self.Link})
		return
	}
	p.pingRecorded(n, now)
}
