package prober

import (
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/zinniaproxy/zinniaproxy/internal/messenger"
)

// syncMembers requests the member list of a random member whose digest differs,
// every syncInterval, and asks a random member again for a page that did not
// arrive. The caller holds the lock.
func (p *Prober) syncMembers(now time.Time) {
	s := &p.probes
	if s.pageRequested && now.Sub(s.pageRequestedAt) > ackTimeout {
		for _, e := range pickRandom(p.memberList().peers, 1, "") {
			p.requestPage(e, s.pageAfter, now)
		}
	}
	if now.Sub(s.syncedAt) < syncInterval {
		return
	}
	s.syncedAt = now
	for _, e := range pickRandom(p.memberList().peers, len(p.memberList().peers), "") {
		if e.digestDiffers {
			p.requestPage(e, "", now)
			return
		}
	}
}

// requestPage asks a member for its members whose names sort after a name.
func (p *Prober) requestPage(e *memberEntry, after string, now time.Time) {
	s := &p.probes
	s.pageRequested, s.pageAfter, s.pageRequestedAt = true, after, now
	p.sendWithUpdates(e, &packet{Kind: pageRequest, About: after})
}

// membersAfter returns encoded updates about the members whose names sort after a
// name, as many as fit one datagram.
func (p *Prober) membersAfter(after string) []msgpack.RawMessage {
	var out []msgpack.RawMessage
	bytesLeft := maxUpdateBytes
	for _, m := range p.memberList().members {
		if m.Name <= after {
			continue
		}
		e := memberEntry{Member: m}
		u := e.update()
		b := messenger.Encode(&u)
		if len(b) > bytesLeft {
			break
		}
		out, bytesLeft = append(out, b), bytesLeft-len(b)
	}
	return out
}

// handlePage requests the next page, unless the member lists agree or the page
// was the last. Its updates have been applied already.
func (p *Prober) handlePage(q *packet, e *memberEntry, now time.Time) {
	p.probes.pageRequested = false
	if len(q.Updates) == 0 || q.Digest == p.digest() {
		return
	}
	var last update
	err := messenger.Decode(q.Updates[len(q.Updates)-1], &last)
	if err == nil && last.Name > p.probes.pageAfter {
		p.requestPage(e, last.Name, now)
	}
}
