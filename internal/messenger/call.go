// Package messenger holds the typed messages that nodes send each other and
// their encoding. Messages are msgpack arrays, whose length must be the number of
// fields: a changed message needs a new framer.Version.
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
	// Value is one value; a repeated header stands in several fields.
	Value string
}

// Call is one attempt of a request, sent from the entry node to the exit node
// of a target.
type Call struct {
	_msgpack struct{} `msgpack:",as_array"`

	// ID names this attempt; no other attempt of any node ever has it.
	ID string
	// Request names the caller's request; all its attempts share it.
	Request string
	// Target is the name of the target, and Epoch the announcement epoch that
	// the entry chose it by.
	Target string
	Epoch  uint64
	// Service and Workspace are names; Workspace is empty on open routes.
	Service, Workspace string
	// Origin is the service on whose VM the request began, if it is known.
	Origin string
	// Route is the name of the route, and Aim the time within which its answers
	// are worth the most.
	Route string
	Aim   time.Duration
	// Bold tells that the target was the best of several that were asked, so
	// that a higher risk is accepted.
	Bold bool
	// Rank is the importance of the request: 0 goes first.
	Rank int
	// Weight is the workspace's share of a busy target, at least 1.
	Weight int
	// Method and URI are the request line's; the URI has path and query.
	Method, URI, Host string
	// Header holds no key and no field that only concerns one connection.
	Header []Field
	// Body is the whole request body.
	Body []byte
	// Timeout is the time left when the call was sent.
	Timeout time.Duration
	// Once tells that the request may not be repeated.
	Once bool
	// Wait tells that the caller will wait, so that others go first.
	Wait bool
}

// Head is the head of an answer, or a refusal, sent from exit to entry.
type Head struct {
	_msgpack struct{} `msgpack:",as_array"`

	// Code is 0 for a target's answer, else the number of the refusal.
	Code int
	// Detail and After belong to a refusal.
	Detail string
	After  time.Duration
	// Status and Header are the target's.
	Status int
	Header []Field
	// Length is the answer's length in bytes, or -1 when it is not known.
	Length int64
	// Queue is how many calls wait for the target, Flying how many it runs,
	// and Limit how many it may run at once.
	Queue, Flying, Limit int
	// Spent is how long the call had been at its exit when the answer began.
	Spent time.Duration
	// Body is the first piece of the body; the link's marks tell whether it is
	// the last.
	Body []byte
}

// Fence asks an exit node whether an attempt arrived, and has it refused from
// then on if it did not.
type Fence struct {
	_msgpack struct{} `msgpack:",as_array"`

	// ID names the attempt, Epoch the process that it was sent to.
	ID    string
	Epoch uint64
	// Ago is the time since it was sent.
	Ago time.Duration
}

// Fenced answers a Fence.
type Fenced struct {
	_msgpack struct{} `msgpack:",as_array"`

	// NotSeen proves that the attempt did not run and never will.
	NotSeen bool
}

// Encode returns a message as bytes, with integers as short as their values
// allow. Messages are plain structs, so that it cannot fail on any value that
// the compiler lets through.
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

// Decode reads a message from a peer's bytes.
func Decode(b []byte, m any) error {
	return msgpack.Unmarshal(b, m)
}
