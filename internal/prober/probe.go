package prober

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/zinniaproxy/zinniaproxy/internal/messenger"
)

// probing is the state of the heartbeats.
type probing struct {
	// current is the ping under way, if any.
	current *trial
	dueAt   time.Time
	relays  map[uint64]relayTrial
	// lastTick is the last step of the clock; answeredAt is when any member
	// last answered.
	lastTick, answeredAt  time.Time
	revivedAt, comparedAt time.Time
	// pulling tells that the page of the roster after a name was asked for.
	pulling  bool
	after    string
	pulledAt time.Time
	// pings are the nonces of pings to members that are not in current.
	pings map[uint64]time.Time
	// met is when a young process last pinged a node that it does not know.
	met map[string]time.Time
}

// trial is one ping of one member.
type trial struct {
	name  string
	nonce uint64
	start time.Time
	// sent is how many times it was sent directly.
	sent int
	// helped is how many others were asked, told how many of them answered.
	helped, told  int
	direct, other bool
}

// relayTrial is a ping made for another member.
type relayTrial struct {
	from  string
	nonce uint64
	about string
	start time.Time
}

func (s *probing) init(now time.Time) {
	s.current = nil
	s.relays = map[uint64]relayTrial{}
	s.pings = map[uint64]time.Time{}
	s.lastTick, s.answeredAt = now, now
	s.dueAt = now.Add(rand.N(probeEvery))
	s.revivedAt = now.Add(-rand.N(reviveEvery))
	s.comparedAt = now.Add(-rand.N(listEvery))
}

// paused tells whether much more time went by than one tick, by the monotonic
// clock or by the wall clock, which also counts while a VM is suspended.
func (s *probing) paused(now time.Time) bool {
	gap := elapsed(s.lastTick, now)
	s.lastTick = now
	return gap > pauseGap
}

// elapsed is the time from a to b by the clock that went further.
func elapsed(a, b time.Time) time.Duration {
	return max(b.Sub(a), b.Round(0).Sub(a.Round(0)))
}

// doubts tells whether nobody has answered this node for a while, so that the
// fault is likely its own. The caller holds the lock.
func (p *Prober) doubts(now time.Time) bool {
	return now.Sub(p.probing.answeredAt) > doubtAfter
}

// greet pings the seeds and a few nodes on record. The caller holds the lock.
func (p *Prober) greet(now time.Time) {
	for _, a := range p.Seeds {
		if a != p.self.Link {
			p.pingAddr(a, 0, now)
		}
	}
	n := fanOut
	for name, r := range p.recorded {
		if n == 0 {
			break
		}
		if name != p.self.Name {
			p.pingAddr(r.Link, 0, now)
			n--
		}
	}
}

// meet has a young process ping the nodes on record that it does not know: all
// of them may just have started, so that nobody can tell it of the others. The
// caller holds the lock.
func (p *Prober) meet(now time.Time) {
	if now.Sub(p.started) >= youngFor {
		p.probing.met = nil
		return
	}
	if p.probing.met == nil {
		p.probing.met = map[string]time.Time{}
	}
	n := meetAtOnce
	for name, r := range p.recorded {
		if n == 0 {
			return
		}
		if name == p.self.Name || p.members[name] != nil || now.Sub(p.probing.met[name]) < meetAgain {
			continue
		}
		p.probing.met[name] = now
		p.pingAddr(r.Link, 0, now)
		n--
	}
}

func (p *Prober) pingAddr(addr string, epoch uint64, now time.Time) {
	nonce := rand.Uint64()
	p.probing.pings[nonce] = now
	p.send(addr, epoch, &packet{Kind: ping, Nonce: nonce, About: p.self.Link})
}

// probe advances the ping under way and starts the next. The caller holds the
// lock.
func (p *Prober) probe(now time.Time) {
	s := &p.probing
	if t := s.current; t != nil {
		p.pursue(t, now)
	}
	if now.Before(s.dueAt) {
		return
	}
	if s.current != nil {
		p.conclude(s.current, now)
		s.current = nil
	}
	s.dueAt = now.Add(probeEvery)
	for nonce, at := range s.pings {
		if now.Sub(at) > probeEvery {
			delete(s.pings, nonce)
		}
	}
	if e := p.nextProbe(now); e != nil {
		s.current = &trial{name: e.Name, nonce: rand.Uint64(), start: now}
		p.pursue(s.current, now)
	}
}

// nextProbe returns the running member to ping now. All nodes step through the
// roster in the same order, each from its own place and with the time of day, so
// that every member is pinged by one other each second: with a random choice
// none of ten nodes pings a dead one for three seconds once in 25 times. Clocks
// that differ make it a fixed but still changing choice.
func (p *Prober) nextProbe(now time.Time) *entry {
	peers := p.current().peers
	if len(peers) == 0 {
		return nil
	}
	own, _ := slices.BinarySearchFunc(peers, p.self.Name, func(e *entry, name string) int {
		return strings.Compare(e.Name, name)
	})
	step := int(now.UnixNano()/int64(probeEvery)) % len(peers)
	return peers[(own+step)%len(peers)]
}

// pursue sends the ping again, and asks others, as long as no answer came.
func (p *Prober) pursue(t *trial, now time.Time) {
	e := p.members[t.name]
	if e == nil || t.direct || now.Sub(t.start) < time.Duration(t.sent)*directTimeout {
		return
	}
	t.sent++
	p.sendTo(e, &packet{Kind: ping, Nonce: t.nonce, About: p.self.Link})
	if t.sent != 2 {
		return
	}
	for _, h := range pick(p.current().peers, helpers, t.name) {
		t.helped++
		p.sendTo(h, &packet{Kind: relay, Nonce: t.nonce, About: t.name})
	}
}

// conclude judges a ping whose time is over.
func (p *Prober) conclude(t *trial, now time.Time) {
	e := p.members[t.name]
	if e == nil {
		return
	}
	if e.Direct != t.direct && (t.direct || t.other) {
		e.Direct = t.direct
		p.changed(e.Member)
	}
	if t.direct || t.other || !e.Up() {
		return
	}
	if t.helped > 0 && t.told == 0 {
		p.bury(e, now)
		return
	}
	if e.State == Suspect {
		return
	}
	p.counts.suspicions.Add(1)
	p.apply(rumour{Name: e.Name, Epoch: e.Epoch, Incarnation: e.Incarnation, State: Suspect, Node: &e.Node}, now)
}

// bury gives a member up without telling others, once nobody at all has
// answered this node for long: the fault may be this node's own.
func (p *Prober) bury(e *entry, now time.Time) {
	if now.Sub(p.probing.answeredAt) > aloneAfter {
		p.sum ^= e.hash()
		e.State, e.since = Dead, now
		p.changed(e.Member)
	}
}

// revive pings a member that is dead, or only on record, and the seeds while
// this node is alone. The caller holds the lock.
func (p *Prober) revive(now time.Time) {
	s := &p.probing
	if now.Sub(s.revivedAt) < reviveEvery {
		return
	}
	s.revivedAt = now
	if !p.joined || p.doubts(now) {
		p.greet(now)
	}
	var lost []messenger.Node
	for _, e := range p.members {
		if e.State == Dead {
			lost = append(lost, e.Node)
		}
	}
	for name, n := range p.recorded {
		if p.members[name] == nil && name != p.self.Name {
			lost = append(lost, n)
		}
	}
	if len(lost) == 0 {
		return
	}
	n := lost[rand.IntN(len(lost))]
	if e := p.members[n.Name]; e != nil {
		nonce := rand.Uint64()
		s.pings[nonce] = now
		p.sendTo(e, &packet{Kind: ping, Nonce: nonce, About: p.self.Link})
		return
	}
	p.pingAddr(n.Link, 0, now)
}
