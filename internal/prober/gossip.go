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

// maxUnsortedUpdates is how many updates fit one datagram in any case, so that
// their order does not matter.
const maxUnsortedUpdates = 5

// queuedUpdate is an encoded gossip update with the number of sends left.
type queuedUpdate struct {
	data      msgpack.RawMessage
	sendsLeft int
}

// queueUpdate adds a gossip update to the next datagrams, in place of an earlier
// one about the same member. The caller holds the lock.
func (p *Prober) queueUpdate(u update) {
	p.updates[u.Name] = &queuedUpdate{
		data:      messenger.Encode(&u),
		sendsLeft: sendsPerDoubling * bits.Len(uint(len(p.members)+1)),
	}
}

// nextUpdates returns the encoded gossip updates for one datagram: first, then
// the queued ones that fit, least sent first. The caller holds the lock.
func (p *Prober) nextUpdates(first ...update) []msgpack.RawMessage {
	var out []msgpack.RawMessage
	bytesLeft := maxUpdateBytes
	for _, u := range first {
		b := messenger.Encode(&u)
		out, bytesLeft = append(out, b), bytesLeft-len(b)
	}
	names := make([]string, 0, len(p.updates))
	for n := range p.updates {
		names = append(names, n)
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
	q.Numbers = p.stamps.numbers
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
// is told so first, so that it can refute it. The caller holds the lock.
func (p *Prober) updatesFor(e *memberEntry) []msgpack.RawMessage {
	if e.State == Suspect || e.State == Dead {
		return p.nextUpdates(e.update(), p.selfUpdate())
	}
	if e.digestDiffers {
		return p.nextUpdates(p.selfUpdate())
	}
	return p.nextUpdates()
}

// pushUpdates queues gossip for fanout random members, without waiting for the
// next ping. The caller holds the lock.
func (p *Prober) pushUpdates() {
	for _, e := range pickRandom(p.memberList().peers, fanout, "") {
		p.sendWithUpdates(e, &packet{Kind: gossip})
	}
}
