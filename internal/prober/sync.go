package prober

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/zinniaproxy/zinniaproxy/internal/messenger"
)

// digestBuckets is the number of buckets of members, each with one digest.
const digestBuckets = 64

// maxBucketReplies bounds the datagrams that answer one bucketRequest, and
// maxRemoteBucketReplies those to another data centre.
const (
	maxBucketReplies       = 16
	maxRemoteBucketReplies = 4
)

// remoteSyncProbability is how often member lists are compared with a node of
// another data centre if one of the own would do.
const remoteSyncProbability = 0.25

func bucketOf(name string) int { return int(xxhash.Sum64String(name) % digestBuckets) }

// syncMembers compares the member list with that of a random member whose digest
// differs, every syncInterval, and asks a random member again for a page that did
// not arrive. The caller holds the lock.
func (p *Prober) syncMembers(now time.Time) {
	s := &p.probes
	if s.pageRequested {
		if now.Sub(s.pageRequestedAt) > ackTimeout {
			for _, e := range p.pickNearby(p.memberList().peers, 1) {
				p.requestPage(e, s.pageAfter, now)
			}
		}
		return
	}
	if now.Sub(s.syncedAt) < syncInterval {
		return
	}
	s.syncedAt = now.Add(rand.N(syncInterval/2) - syncInterval/4)
	if e := p.differingMember(); e != nil {
		p.requestBuckets(e)
	}
}

// differingMember returns a random member whose digest differed when it was last
// heard of, most often one of the own data centre, or nil.
func (p *Prober) differingMember() *memberEntry {
	var near, remote []*memberEntry
	for _, e := range p.memberList().peers {
		switch {
		case !e.digestDiffers:
		case e.Centre == p.self.Centre:
			near = append(near, e)
		default:
			remote = append(remote, e)
		}
	}
	if len(near) == 0 || len(remote) > 0 && rand.Float64() < remoteSyncProbability {
		near = remote
	}
	if len(near) == 0 {
		return nil
	}
	return near[rand.IntN(len(near))]
}

// requestBuckets asks a member for the members in which the lists differ.
func (p *Prober) requestBuckets(e *memberEntry) {
	digests := p.digestsWithSelf()
	own := p.selfUpdate()
	p.sendWithUpdates(e, &packet{Kind: bucketRequest, Extra: digests[:], Updates: []msgpack.RawMessage{messenger.Encode(&own)}})
}

// digestsWithSelf returns the digests of the buckets, including this node.
func (p *Prober) digestsWithSelf() [digestBuckets]uint64 {
	digests := p.bucketDigests
	digests[bucketOf(p.self.Name)] ^= Member{Node: p.self, State: p.selfState}.hash()
	return digests
}

// answerBuckets sends the members in the buckets that differ from the requester's,
// as far as they fit the datagrams allowed. The order is random, so that further
// requests get to the rest.
func (p *Prober) answerBuckets(q *packet, e *memberEntry) {
	if len(q.Extra) != digestBuckets {
		return
	}
	own := p.digestsWithSelf()
	var differing []Member
	for _, m := range p.memberList().members {
		if i := bucketOf(m.Name); own[i] != q.Extra[i] {
			differing = append(differing, m)
		}
	}
	rand.Shuffle(len(differing), func(i, j int) { differing[i], differing[j] = differing[j], differing[i] })
	replies := maxBucketReplies
	if e.Centre != p.self.Centre {
		replies = maxRemoteBucketReplies
	}
	for ; replies > 0 && len(differing) > 0; replies-- {
		updates, count := encodeMembers(differing)
		p.sendWithUpdates(e, &packet{Kind: bucketReply, Updates: updates})
		differing = differing[count:]
	}
}

// syncOnJoin requests the member list of the first member that answers this
// process, at first only of one of the own data centre. If that has just started
// too, its list is not more complete than the records that this process has, and
// the regular comparisons do. The caller holds the lock.
func (p *Prober) syncOnJoin(e *memberEntry, q *packet, now time.Time) {
	if p.probes.joinSynced || e.Centre != p.self.Centre && now.Sub(p.started) < remotePingDelay {
		return
	}
	p.probes.joinSynced = true
	if q.Digest != p.digest() && (q.Clock >= startupPeriod || len(p.recorded) == 0) {
		p.requestPage(e, "", now)
	}
}

// requestPage asks a member for its members whose names sort after a name.
func (p *Prober) requestPage(e *memberEntry, after string, now time.Time) {
	s := &p.probes
	s.pageRequested, s.pageAfter, s.pageRequestedAt = true, after, now
	own := p.selfUpdate()
	p.sendWithUpdates(e, &packet{Kind: pageRequest, About: after, Updates: []msgpack.RawMessage{messenger.Encode(&own)}})
}

// membersAfter returns encoded updates about the members whose names sort after a
// name, as many as fit one datagram.
func (p *Prober) membersAfter(after string) []msgpack.RawMessage {
	members := p.memberList().members
	first, _ := slices.BinarySearchFunc(members, after, func(m Member, name string) int { return strings.Compare(m.Name, name) })
	for first < len(members) && members[first].Name <= after {
		first++
	}
	updates, _ := encodeMembers(members[first:])
	return updates
}

// encodeMembers returns encoded updates about the first members, as many as fit
// one datagram, and how many these are.
func encodeMembers(members []Member) (out []msgpack.RawMessage, count int) {
	bytesLeft := maxUpdateBytes
	for _, m := range members {
		e := memberEntry{Member: m}
		u := e.update()
		b := messenger.Encode(&u)
		if len(b) > bytesLeft {
			break
		}
		out, bytesLeft = append(out, b), bytesLeft-len(b)
	}
	return out, len(out)
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
