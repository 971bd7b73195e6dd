package prober

import (
	"crypto/hmac"
	"crypto/sha256"
	"errors"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/zinniaproxy/zinniaproxy/internal/messenger"
)

const (
	// maxPacketBytes keeps a datagram within one unfragmented IP packet.
	maxPacketBytes = 1200
	// macBytes is the length of the truncated HMAC-SHA256 before the payload.
	macBytes = 16
	// maxUpdateBytes bounds the gossip updates of a packet, which leaves room
	// for its fixed fields.
	maxUpdateBytes = 850
)

// errUnauthenticated is returned for a datagram of a wrong length or without a
// valid MAC under the fleet's secret.
var errUnauthenticated = errors.New("prober: datagram has a wrong length or MAC")

type packetKind uint8

// Kinds of packets.
const (
	// ping requests an ack with the same nonce.
	ping packetKind = iota + 1
	ack
	// relayRequest asks the receiver to ping About; relayReport has the outcome.
	relayRequest
	relayReport
	// gossip carries only what every packet carries: updates, numbers, a stamp.
	gossip
	// pageRequest asks for the members whose names sort after About; pageReply
	// has as many of them as fit.
	pageRequest
	pageReply
	// censusRequest asks for the newest stamp from the store; censusReply has
	// it.
	censusRequest
	censusReply
	// bucketRequest asks for the members in the buckets whose digests differ;
	// each bucketReply has some of them.
	bucketRequest
	bucketReply
)

// packet is the payload of one datagram.
type packet struct {
	_msgpack struct{} `msgpack:",as_array"`

	Kind packetKind
	// From, FromEpoch and Seq identify the datagram; Seq grows by one with each
	// datagram of a process.
	From      string
	FromEpoch uint64
	Seq       uint64
	// ToEpoch is the epoch of the process that the datagram is for, or 0 if
	// unknown. A receiver with another epoch answers a ping, but does not use
	// the rest of the datagram.
	ToEpoch uint64
	// Clock is the sender's time since its start by the monotonic clock, from
	// which the receiver computes how long the datagram was delayed.
	Clock time.Duration
	// Nonce matches a reply to its request.
	Nonce uint64
	// About is the name of the member to ping or that was pinged for a relay,
	// the last name of the previous page in a pageRequest, and in a ping the
	// address of the sender, for a receiver that has restarted.
	About string
	// Reached is set in a relayReport if the member answered the ping.
	Reached bool
	// Digest is the digest of the sender's member list.
	Digest uint64
	// Numbers holds the highest numbers of the stamped kinds that the sender knows,
	// by Kind.
	Numbers [stampedKinds]uint64
	// Stamp is the sender's newest stamp, in a censusReply the newest from the
	// store if there is one. It is nil in a censusRequest and while the sender
	// has none.
	Stamp *Stamp
	// Updates holds encoded updates.
	Updates []msgpack.RawMessage
	// Extra holds further numbers, whose meaning depends on Kind: in a bucketRequest
	// the digests of the sender's member list, else the era of the store and the
	// overflow of the configuration's number, without trailing zeros. The number of fields is fixed, as processes of other versions reject
	// packets with more or fewer.
	Extra []uint64
}

// setNumbers sets the numbers that the sender knows.
func (q *packet) setNumbers(n Numbers) {
	copy(q.Numbers[:], n[:])
	era, overflow := n[EraNumber], n[ConfigOverflow]
	switch {
	case q.Kind == bucketRequest:
	case overflow != 0:
		q.Extra = []uint64{era, overflow}
	case era != 0:
		q.Extra = []uint64{era}
	}
}

// numbers returns the numbers that the sender knows.
func (q *packet) numbers() Numbers {
	n := Numbers{ConfigNumber: q.Numbers[ConfigNumber], SharesNumber: q.Numbers[SharesNumber]}
	if q.Kind != bucketRequest && len(q.Extra) > 0 {
		n[EraNumber] = q.Extra[0]
	}
	if q.Kind != bucketRequest && len(q.Extra) > 1 {
		n[ConfigOverflow] = q.Extra[1]
	}
	return n
}

// update is a gossip update about one member. It overrides what is known of the
// member if it is newer by epoch, then incarnation, then state.
type update struct {
	_msgpack struct{} `msgpack:",as_array"`

	Name        string
	Epoch       uint64
	Incarnation uint64
	State       State
	// Node is set at least while the member runs.
	Node *messenger.Node
}

// seal encodes a packet and puts its MAC before it.
func seal(secret []byte, q *packet) []byte {
	body := messenger.Encode(q)
	return append(mac(secret, body), body...)
}

func mac(secret, body []byte) []byte {
	h := hmac.New(sha256.New, secret)
	h.Write(body)
	return h.Sum(nil)[:macBytes]
}

// open verifies the MAC of a datagram before it decodes any of it.
func open(secret, b []byte) (*packet, error) {
	if len(b) <= macBytes || len(b) > maxPacketBytes {
		return nil, errUnauthenticated
	}
	if !hmac.Equal(b[:macBytes], mac(secret, b[macBytes:])) {
		return nil, errUnauthenticated
	}
	q := &packet{}
	if err := messenger.Decode(b[macBytes:], q); err != nil {
		return nil, err
	}
	return q, nil
}

// replayWindow remembers which sequence numbers of one sender were seen, so that
// each datagram is accepted at most once.
type replayWindow struct {
	highest uint64
	// seen has bit i set when highest-i was seen.
	seen uint64
}

// accept reports whether seq is new and within the window, and marks it as seen.
func (w *replayWindow) accept(seq uint64) bool {
	const bits = 64
	if seq > w.highest {
		w.seen = w.seen<<min(seq-w.highest, bits) | 1
		w.highest = seq
		return true
	}
	back := w.highest - seq
	if back >= bits || w.seen&(1<<back) != 0 {
		return false
	}
	w.seen |= 1 << back
	return true
}

// clockOffset estimates the difference between this node's clock and a sender's.
// The smallest difference seen belongs to datagrams that were not delayed.
type clockOffset struct {
	known      bool
	smallest   time.Duration
	measuredAt time.Duration // this node's clock when smallest was measured
}

// driftDivisor is the inverse of the assumed maximum drift between two clocks.
const driftDivisor = 2000

// maxOffsetDrop is by how much the offset may fall below the smallest one before
// the estimate is discarded.
const maxOffsetDrop = 50 * time.Millisecond

// set takes the offset from an ack that arrived within ackTimeout.
func (o *clockOffset) set(sent, now time.Duration) {
	o.known, o.smallest, o.measuredAt = true, now-sent, now
}

// delay returns how much longer a datagram took than the fastest one, and whether
// that is known.
func (o *clockOffset) delay(sent, now time.Duration) (time.Duration, bool) {
	if !o.known {
		return 0, false
	}
	delay := now - sent - o.smallest - (now-o.measuredAt)/driftDivisor
	if delay > 0 {
		return delay, true
	}
	if delay < -maxOffsetDrop {
		o.known = false // this node's clock stood still, as in a suspended VM
		return 0, false
	}
	o.smallest, o.measuredAt = now-sent, now
	return 0, true
}
