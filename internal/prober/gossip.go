package prober

import (
	"cmp"
	"math/bits"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/zinniaproxy/zinniaproxy/internal/messenger"
)

// sendsPerDoubling is how often a gossip update is sent for each doubling of the
// number of members.
const sendsPerDoubling = 3

// remoteSends is how often a node sends an update about a running member of its
// own data centre to other ones. Those about members elsewhere it sends in its
// own data centre only.
const remoteSends = 2

// maxUnsortedUpdates is how many updates fit one datagram in any case, so that
// their order does not matter.
const maxUnsortedUpdates = 5

// queuedUpdate is an encoded gossip update with the number of sends left.
type queuedUpdate struct {
	data      msgpack.RawMessage
	sendsLeft int
	// remoteSendsLeft is how many of these may go to other data centres.
	remoteSendsLeft int
}

// queueUpdate adds a gossip update about a member of a data centre to the next
// datagrams, in place of an earlier one about the same member. The caller holds
// the lock.
func (p *Prober) queueUpdate(u update, centre string) {
	sends := sendsPerDoubling * bits.Len(uint(len(p.members)+1))
	queued := &queuedUpdate{data: messenger.Encode(&u), sendsLeft: sends, remoteSendsLeft: sends}
	switch {
	case u.State != Alive: // urgent, and the member must hear it to refute it
	case centre == p.self.Centre:
		queued.remoteSendsLeft = remoteSends
	default:
		queued.remoteSendsLeft = 0
	}
	p.updates[u.Name] = queued
}

// countDuplicate counts a received update that says what is known of a member: it
// takes the place of sendsPerDoubling sends, since others spread it too. The
// caller holds the lock.
func (p *Prober) countDuplicate(e *memberEntry, u update) {
	queued := p.updates[u.Name]
	if queued == nil || u.Epoch != e.Epoch || u.Incarnation != e.Incarnation || u.State != e.State {
		return
	}
	if queued.sendsLeft -= sendsPerDoubling; queued.sendsLeft <= 0 {
		delete(p.updates, u.Name)
	}
}

// nextUpdates returns the encoded gossip updates for one datagram to a node of a
// data centre: first, then the queued ones that fit, least sent first. The caller
// holds the lock.
func (p *Prober) nextUpdates(centre string, first ...update) []msgpack.RawMessage {
	var out []msgpack.RawMessage
	bytesLeft := maxUpdateBytes
	for _, u := range first {
		b := messenger.Encode(&u)
		out, bytesLeft = append(out, b), bytesLeft-len(b)
	}
	names := make([]string, 0, len(p.updates))
	isRemote := centre != p.self.Centre
	for n, queued := range p.updates {
		if !isRemote || queued.remoteSendsLeft > 0 {
			names = append(names, n)
		}
	}
	if len(names) > maxUnsortedUpdates {
		sortBy(names, func(a, b string) int {
			return cmp.Or(-cmp.Compare(p.updates[a].sendsLeft, p.updates[b].sendsLeft), cmp.Compare(a, b))
		})
	}
	for _, n := range names {
		queued := p.updates[n]
		if len(queued.data) > bytesLeft {
			continue
		}
		out, bytesLeft = append(out, queued.data), bytesLeft-len(queued.data)
		queued.sendsLeft--
		if isRemote {
			queued.remoteSendsLeft--
		}
		if queued.sendsLeft <= 0 {
			delete(p.updates, n)
		}
	}
	return out
}

// send fills in the common fields of a packet and queues it for the process
// toEpoch at addr, in a data centre that may be unknown. The caller holds the
// lock.
func (p *Prober) send(addr, centre string, toEpoch uint64, q *packet) {
	if addr == "" {
		return
	}
	p.sequence++
	q.From, q.FromEpoch, q.ToEpoch, q.Seq = p.self.Name, p.self.Epoch, toEpoch, p.sequence
	q.Clock = time.Since(p.started)
	q.Digest = p.digest()
	q.setNumbers(p.stamps.numbers)
	if q.Stamp == nil && q.Kind != censusRequest {
		q.Stamp = p.stamps.stampWithAge(p.stamps.newest)
	}
	p.sendQueue = append(p.sendQueue, datagram{to: addr, data: seal(p.Secret, q), crossing: centre != p.self.Centre})
}

// sendWithUpdates queues a packet with gossip updates for a member. The caller
// holds the lock.
func (p *Prober) sendWithUpdates(e *memberEntry, q *packet) {
	if q.Updates == nil {
		q.Updates = p.updatesFor(e)
	}
	p.send(e.Link, e.Centre, e.Epoch, q)
}

// updatesFor returns the gossip updates for a member. One that is suspect or dead
// is told so first, so that it can refute it; one that may not know this process
// is told of it, since it answers only members. The caller holds the lock.
func (p *Prober) updatesFor(e *memberEntry) []msgpack.RawMessage {
	if e.State == Suspect || e.State == Dead {
		return p.nextUpdates(e.Centre, e.update(), p.selfUpdate())
	}
	if e.digestDiffers || !e.knowsSelf {
		return p.nextUpdates(e.Centre, p.selfUpdate())
	}
	return p.nextUpdates(e.Centre)
}

// pushNumbers pushes raised numbers: at once, or with the first tick after
// pushInterval if there was a push before. The numbers of a fleet that starts are
// raised many times. The caller holds the lock.
func (p *Prober) pushNumbers(now time.Time) {
	p.pushPending = true
	p.pushChanged(now)
}

// pushChanged makes a push that is due. The caller holds the lock.
func (p *Prober) pushChanged(now time.Time) {
	if !p.pushPending || now.Sub(p.pushedAt) < pushInterval {
		return
	}
	p.pushPending, p.pushedAt = false, now
	p.pushUpdates()
}

// pushUpdates queues gossip for fanout members, most of them in the own data
// centre, without waiting for the next ping. The caller holds the lock.
func (p *Prober) pushUpdates() {
	for _, e := range p.pickNearby(p.memberList().peers, fanout) {
		p.sendWithUpdates(e, &packet{Kind: gossip})
	}
}
