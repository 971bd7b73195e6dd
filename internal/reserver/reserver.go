// Package reserver reserves slots of targets for calls. A call gets its place in a
// target's queue without its body, and the body is sent to one exit node when a
// slot is held for it there. A reservation runs nothing: one that is refused or
// lost proves that its request has not run.
package reserver

import (
	"strings"
	"time"

	"github.com/zinniaproxy/zinniaproxy/internal/messenger"
)

// Query asks an exit node to reserve a slot of one of its targets.
type Query struct {
	_msgpack struct{} `msgpack:",as_array"`

	// ID identifies the reservation: the ID of the attempt, a slash and a number
	// that is unique on the entry node.
	ID string
	// Target is the name of the target, and Epoch its announcement epoch as known
	// to the entry node.
	Target string
	Epoch  uint64
	// The fields up to Aim are those of the call.
	Service, Workspace, Route string
	Weight, Rank              int
	Inner, Once               bool
	RelaxRiskLimit, Insist    bool
	Aim                       time.Duration
	// Timeout is the time that was left until the request's deadline when the
	// query was sent.
	Timeout time.Duration
	// Bytes is the size of the call's body. It takes no room in the queue, since
	// the body stays at the entry node.
	Bytes int
	// Statement is what the target stated about itself to the entry node.
	Statement messenger.Statement
}

// Grant says that a slot is held.
type Grant struct {
	_msgpack struct{} `msgpack:",as_array"`

	// ID is that of the query. The call must carry it.
	ID string
	// HeldFor is how long the slot is held from the grant on.
	HeldFor time.Duration
}

// idSeparator separates the attempt's ID from the number in Query.ID.
const idSeparator = "/"

// call returns the call that a query reserves a slot for, as far as it is known.
func (q *Query) call() *messenger.Call {
	attempt := q.ID
	if i := strings.LastIndex(q.ID, idSeparator); i >= 0 {
		attempt = q.ID[:i]
	}
	return &messenger.Call{
		ID: attempt, Target: q.Target, Epoch: q.Epoch, Service: q.Service, Workspace: q.Workspace, Route: q.Route,
		Weight: q.Weight, Rank: q.Rank, Inner: q.Inner, Once: q.Once, RelaxRiskLimit: q.RelaxRiskLimit, Insist: q.Insist, Aim: q.Aim,
		Timeout: q.Timeout, Statement: q.Statement, Reservation: q.ID,
	}
}
