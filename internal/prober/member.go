package prober

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/zinniaproxy/zinniaproxy/internal/messenger"
)

// State is the liveness of a member as the fleet sees it.
type State uint8

// States of a member. Within one incarnation a later one overrides an earlier.
const (
	// Alive members answer pings.
	Alive State = iota
	// Suspect members answered neither directly nor through relays, and have
	// suspicionTimeout to refute it. They still count as running.
	Suspect
	// Dead members did not refute a suspicion in time.
	Dead
	// Left members said that they stopped. It is final for the process.
	Left
)

// String returns the name that the admin pages show.
func (s State) String() string {
	return [...]string{"alive", "suspect", "dead", "left"}[min(s, Left)]
}

// Member is one node of the member list.
type Member struct {
	messenger.Node
	// State is the fleet's view of it.
	State State
	// Direct is false when the member is reachable only through relays: the
	// path between it and this node is cut in at least one direction.
	Direct bool
}

// Up reports whether the member counts as running.
func (m Member) Up() bool { return m.State == Alive || m.State == Suspect }

// memberEntry is a member with this node's own state about it.
type memberEntry struct {
	Member
	// since is when State began, by this node's clock.
	since time.Time
	// digestDiffers is set when the last packet of the member had another
	// digest of the member list than this node.
	digestDiffers bool
	// knowsSelf is set once the member has acknowledged a ping of this process,
	// which carried this node's own update.
	knowsSelf bool
	window    replayWindow
	offset    clockOffset
}

func (e *memberEntry) update() update {
	u := update{Name: e.Name, Epoch: e.Epoch, Incarnation: e.Incarnation, State: e.State}
	if e.Up() {
		n := e.Node
		u.Node = &n
	}
	return u
}

// overriddenBy reports whether u is newer than e.
func (e *memberEntry) overriddenBy(u update) bool {
	if u.Epoch != e.Epoch {
		return u.Epoch > e.Epoch
	}
	if e.State == Left || u.State == Left {
		return e.State != Left
	}
	if u.Incarnation != e.Incarnation {
		return u.Incarnation > e.Incarnation
	}
	return u.State > e.State
}

// applyUpdate merges one gossip update into the member list. If it changed the
// list and spread is set, the update is gossiped further. The caller holds the
// lock.
func (p *Prober) applyUpdate(u update, now time.Time, spread bool) {
	if u.Name == p.self.Name {
		p.refute(u)
		return
	}
	e := p.members[u.Name]
	if e == nil {
		if u.State > Suspect || u.Node == nil {
			return
		}
		e = &memberEntry{Member: Member{Direct: true, State: Dead}}
		p.members[u.Name] = e
	} else if !e.overriddenBy(u) {
		p.countDuplicate(e, u)
		return
	}
	p.toggleDigest(e.Member)
	replaced := u.Epoch != e.Epoch
	if replaced {
		e.window, e.offset = replayWindow{}, clockOffset{}
		e.Direct, e.knowsSelf = true, false
	}
	if u.Node != nil {
		e.Node = *u.Node
	}
	e.Name, e.Epoch, e.Incarnation = u.Name, u.Epoch, u.Incarnation
	if e.State != u.State || replaced {
		e.since = now
	}
	e.State = u.State
	p.toggleDigest(e.Member)
	p.addChange(e.Member)
	if !spread {
		return
	}
	p.queueUpdate(e.update(), e.Centre)
	if replaced || !e.Up() {
		p.pushPending = true
	}
}

// startedTogether reports whether a recorded process started at about the same
// time as this one.
func (p *Prober) startedTogether(n messenger.Node) bool {
	return p.started.Sub(n.Started).Abs() <= maxStartDifference
}

// addStartedTogether makes recorded nodes whose process started at about the same
// time as this one members, without gossip: they read the same records. A record
// may be of a process that has ended; that is found out as for any other member.
// The caller holds the lock.
func (p *Prober) addStartedTogether(now time.Time) {
	for name, n := range p.recorded {
		if name == p.self.Name || !p.startedTogether(n) {
			continue
		}
		e := p.members[name]
		if e != nil && e.Epoch >= n.Epoch {
			continue
		}
		if e != nil {
			p.toggleDigest(e.Member)
		}
		e = &memberEntry{Member: Member{Node: n, Direct: true, State: Alive}, since: now}
		p.members[name] = e
		p.toggleDigest(e.Member)
		p.addChange(e.Member)
	}
}

// refute handles a gossip update about this node: it raises the incarnation to
// override a wrong state, and notes when a later process has its name. The
// caller holds the lock.
func (p *Prober) refute(u update) {
	switch {
	case u.Epoch > p.self.Epoch && !p.joined:
		// The epoch is taken from the wall clock, and that of this VM is behind
		// the clock of the VM that it replaces.
		p.self.Epoch = u.Epoch + 1
	case u.Epoch > p.self.Epoch:
		p.replaced = true
		return
	case u.Epoch < p.self.Epoch, u.State == Alive, u.Incarnation < p.self.Incarnation:
		return
	default:
		p.self.Incarnation = u.Incarnation + 1
	}
	p.gossipSelf()
}

// gossipSelf queues an update about this node. The caller holds the lock.
func (p *Prober) gossipSelf() {
	p.snapshot = nil
	p.queueUpdate(p.selfUpdate(), p.self.Centre)
}

// selfUpdate returns the gossip update about this node. The caller holds the
// lock.
func (p *Prober) selfUpdate() update {
	n := p.self
	return update{Name: n.Name, Epoch: n.Epoch, Incarnation: n.Incarnation, State: p.selfState, Node: &n}
}

// addChange queues a change for OnChange and invalidates the snapshot. The
// caller holds the lock.
func (p *Prober) addChange(m Member) {
	p.snapshot = nil
	p.changes = append(p.changes, m)
}

// digest is a hash over the processes that count as running. Two nodes with the
// same view have the same digest. The caller holds the lock.
func (p *Prober) digest() uint64 {
	return p.peersDigest ^ Member{Node: p.self, State: p.selfState}.hash()
}

// toggleDigest adds another member to the digests, or takes it out again. The
// caller holds the lock.
func (p *Prober) toggleDigest(m Member) {
	h := m.hash()
	p.peersDigest ^= h
	p.bucketDigests[bucketOf(m.Name)] ^= h
}

// hash returns the member's part of the digest, 0 if it does not run.
func (m Member) hash() uint64 {
	if !m.Up() {
		return 0
	}
	return xxhash.Sum64String(m.Name) + m.Epoch
}

const (
	// startupPeriod is how long after its start a process also pings and counts
	// recorded nodes that are not members yet: the whole fleet may just have
	// started.
	startupPeriod = 3 * time.Second
	// unjoinedFraction is the result of RunningFraction before any other node is
	// known.
	unjoinedFraction = 0.05
)

// Joined reports whether another node has answered this process.
func (p *Prober) Joined() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.joined
}

// RunningFraction returns the fraction of known nodes that run, above 0 and at
// most 1. Dead members count as known for the time deadRetained.
func (p *Prober) RunningFraction(deadRetained time.Duration) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.init()
	up, total, now := 1, 1, time.Now()
	if now.Sub(p.started) < startupPeriod {
		if !p.joined && len(p.recorded) == 0 {
			return unjoinedFraction
		}
		for name := range p.recorded {
			if p.members[name] == nil && name != p.self.Name {
				total++
			}
		}
	}
	for _, e := range p.members {
		switch {
		case e.Up():
			up, total = up+1, total+1
		case e.State == Dead && now.Sub(e.since) < deadRetained:
			total++
		}
	}
	return float64(up) / float64(total)
}
