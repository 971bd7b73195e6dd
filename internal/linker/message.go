package linker

import (
	"time"

	"github.com/zinniaproxy/zinniaproxy/pkg/coder"
)

// Kinds of frames.
const (
	kindHello uint8 = iota + 1
	kindProof
	kindOpen
	kindData
	kindCancel
	kindCredit
	kindPing
	kindPong
)

// Method identifies the type of a query.
type Method uint8

// Methods of queries. Numbers are never reused.
const (
	// MethodCall carries a caller's request to the exit node of a target.
	MethodCall Method = iota + 1
	// MethodFence asks whether a call has arrived, and has it refused from then
	// on if it has not.
	MethodFence
	// MethodLimit carries the limiter's messages.
	MethodLimit
	// MethodTargets carries the target directory.
	MethodTargets
	// MethodConfiguration carries configuration heads and parts.
	MethodConfiguration
	// MethodRecord carries the idempotency records of keyed calls.
	MethodRecord
	// MethodStatus asks for a node's status.
	MethodStatus
	// MethodReference carries services' reference latencies.
	MethodReference
	// MethodShares carries the handover of limits' shares.
	MethodShares
	// MethodLoadProbe is a load probe: it asks an exit node for the load and
	// risk of one of its targets.
	MethodLoadProbe
	// MethodSoftLimit carries the soft limiter's messages.
	MethodSoftLimit
	// MethodQuarantine carries reports of requests that crash targets.
	MethodQuarantine
	// MethodReserve reserves a slot of a target for a call.
	MethodReserve
	// MethodLeave carries the leaves of targets to the nodes that hold them.
	MethodLeave
)

// hello starts the handshake. Both sides send one.
type hello struct {
	_msgpack struct{} `msgpack:",as_array"`

	// Node and Epoch identify the sender's process.
	Node  string
	Epoch uint64
	// Nonce is a random value that the receiver's proof must cover.
	Nonce []byte
}

// proof ends the handshake. Both sides send one.
type proof struct {
	_msgpack struct{} `msgpack:",as_array"`

	// MAC is the HMAC-SHA256 keyed by the fleet's secret; see proofMAC.
	MAC []byte
}

// open starts a stream.
type open struct {
	_msgpack struct{} `msgpack:",as_array"`

	// ID is odd for streams of the dialing side, even for the others.
	ID     uint64
	Method Method
	// Sent is the sender's link clock, from which the receiver computes the delay.
	Sent time.Duration
	// Timeout is the time left until the sender's deadline.
	Timeout time.Duration
	Payload []byte
}

// data is one message of a reply.
type data struct {
	_msgpack struct{} `msgpack:",as_array"`

	ID      uint64
	Payload []byte
	// Sequence numbers the messages of the stream from 0, so that a lost or
	// duplicated one is detected.
	Sequence uint32
	// Last ends the stream.
	Last bool
	// Refusal means that the query failed; Code, Detail and RetryAfter describe
	// the failure.
	Refusal    bool
	Code       coder.Code
	Detail     string
	RetryAfter time.Duration
}

// cancel tells the replying side that the reply is no longer needed.
type cancel struct {
	_msgpack struct{} `msgpack:",as_array"`

	ID uint64
}

// credit allows the replying side to send more bytes on a stream.
type credit struct {
	_msgpack struct{} `msgpack:",as_array"`

	ID    uint64
	Bytes int
}

// ping requests a pong with the same content.
type ping struct {
	_msgpack struct{} `msgpack:",as_array"`

	Number uint64
	// Sent is the sender's link clock.
	Sent time.Duration
}
