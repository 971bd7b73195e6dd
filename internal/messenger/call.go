// Package messenger defines and encodes the typed messages that nodes exchange.
// A message is a msgpack array with one element per field, and decoding requires
// exactly that length: changing a message's fields requires a new
// framer.Version.
package messenger

import (
	"bytes"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// Field is one HTTP header field.
type Field struct {
	_msgpack struct{} `msgpack:",as_array"`

	// Name is in canonical form.
	Name string
	// Value is a single value; a repeated header has one Field per value.
	Value string
}

// Call is one attempt of a request, sent from the entry node to the exit node
// of a target.
type Call struct {
	_msgpack struct{} `msgpack:",as_array"`

	// ID identifies this attempt and is unique over all nodes and time.
	ID string
	// Request identifies the caller's request; all its attempts share it.
	Request string
	// Target is the name of the target, and Epoch its announcement epoch as
	// known to the entry node when it chose the target.
	Target string
	Epoch  uint64
	// Service and Workspace are names; Workspace is empty on open routes.
	Service, Workspace string
	// Origin is the service on whose VM the request originated, if known.
	Origin string
	// Route is the name of the route, and Aim its latency objective.
	Route string
	Aim   time.Duration
	// RelaxRiskLimit means that the target had the best of several load reports,
	// so the exit node accepts a higher risk for a non-idempotent call.
	RelaxRiskLimit bool
	// Insist means that the request cannot wait any longer for a target that is
	// not suspected of hanging: it runs at the least risky one.
	Insist bool
	// Rank is the priority of the request: 0 is the highest.
	Rank int
	// Weight is the workspace's relative share of a busy target, at least 1.
	Weight int
	// Method and URI come from the request line; URI is the path and query.
	Method, URI, Host string
	// Header excludes the caller's key and hop-by-hop fields.
	Header []Field
	// Body is the whole request body.
	Body []byte
	// Timeout is the time that was left until the deadline when the call was
	// sent.
	Timeout time.Duration
	// Once means that the request is non-idempotent and runs at most once.
	Once bool
	// Statement is what the target stated about itself to the entry node, which
	// an exit node that has just started does not know.
	Statement Statement
	// Wait means that the request is deferrable: others are served first.
	Wait bool
	// Inner means that a target sent the request while it runs another one, which
	// holds a slot meanwhile.
	Inner bool
	// Reservation is the ID of the reservation whose slot the call takes, empty if
	// it has none.
	Reservation string
	// Repeat means that an earlier attempt of the request may have reached a
	// target, or that such an attempt of another request made this one.
	Repeat bool
}

// ResponseHead is the head of a response, or a refusal, sent from the exit node
// to the entry node.
type ResponseHead struct {
	_msgpack struct{} `msgpack:",as_array"`

	// Code is 0 for a response of the target, else the code of the refusal.
	Code int
	// Detail and RetryAfter are set for a refusal only.
	Detail     string
	RetryAfter time.Duration
	// Status and Header come from the target's response.
	Status int
	Header []Field
	// Length is the length of the response body in bytes, -1 if unknown.
	Length int64
	// Queue is the number of calls queued for the target, InFlight the number in
	// flight, and Limit its concurrency limit.
	Queue, InFlight, Limit int
	// ExitTime is the time from the call's arrival at the exit node to the start
	// of the response.
	ExitTime time.Duration
	// Statement is what the target states about itself.
	Statement Statement
	// Body is the first piece of the body. The link's message, not this
	// field, says whether it is also the last.
	Body []byte
}

// EndsRequest reports whether a response with the given status ends its request.
// Interim responses do not, and RFC 9110 defines no status from 600 on.
func EndsRequest(status int) bool { return status >= 200 && status < 600 }

// Fence asks an exit node whether an attempt has arrived. If it has not, the
// exit node refuses it from then on.
type Fence struct {
	_msgpack struct{} `msgpack:",as_array"`

	// ID identifies the attempt, Epoch the process that it was sent to.
	ID    string
	Epoch uint64
	// SinceSent is the time since the attempt was sent.
	SinceSent time.Duration
}

// FenceReply is the reply to a Fence.
type FenceReply struct {
	_msgpack struct{} `msgpack:",as_array"`

	// NotSeen guarantees that the attempt has not run and never will.
	NotSeen bool
}

// Encode returns the msgpack encoding of m, with integers in their shortest
// form. It panics if m cannot be encoded, which no value of the plain structs
// used as messages can cause.
func Encode(m any) []byte {
	var b bytes.Buffer
	e := msgpack.GetEncoder()
	defer msgpack.PutEncoder(e)
	e.Reset(&b)
	e.UseCompactInts(true)
	if err := e.Encode(m); err != nil {
		panic("messenger: " + err.Error())
	}
	return b.Bytes()
}
