package messenger

import "time"

// State is the state that a target announces for itself.
type State uint8

// States that a target announces.
const (
	// Warm targets run as many concurrent calls as they have slots.
	Warm State = iota
	// Cold targets run only as many concurrent calls as the service's cold limit.
	Cold
	// Draining targets finish their calls in flight and accept no new ones.
	Draining
)

// String returns the word used in announcements and on admin pages.
func (s State) String() string {
	switch s {
	case Cold:
		return "cold"
	case Draining:
		return "draining"
	}
	return "warm"
}

// ParseState is the inverse of State.String. It returns false for any other word.
func ParseState(s string) (State, bool) {
	for _, v := range []State{Warm, Cold, Draining} {
		if v.String() == s {
			return v, true
		}
	}
	return Warm, false
}

// Trust is the health verdict of the exit node on a target, from the outcomes of
// its calls.
type Trust uint8

// Health verdicts, from worst to best.
const (
	// Sick targets get only occasional trial calls.
	Sick Trust = iota
	// Recovering targets are in slow start.
	Recovering
	// Sound targets are chosen without restriction.
	Sound
)

// String returns the word used on admin pages.
func (t Trust) String() string {
	return [...]string{"sick", "recovering", "sound"}[min(t, Sound)]
}

// Target describes a target to the fleet. Only the exit node on the target's VM
// changes it.
type Target struct {
	_msgpack struct{} `msgpack:",as_array"`

	// Name is "SERVICE@ADDRESS", unique in the fleet.
	Name string
	// Service is the name of the service, Address the target's IP and port.
	Service, Address string
	// Node is the name of the exit node, Centre its data centre.
	Node, Centre string
	// Epoch increases each time the target is announced again after its removal,
	// which distinguishes a replacement at the same address.
	Epoch uint64
	// Instance is the name that the target announces for its process, if any.
	Instance string
	// Start is when the target's process started, as it announces, or 0. A process
	// may have the instance of an earlier one.
	Start uint64
	// Slots is the number of calls that it can run concurrently when warm.
	Slots int
	// State is announced by the target. Trust (the health verdict) and Limit
	// (the current limit of concurrent calls) are set by the exit node.
	State State
	Trust Trust
	Limit int
	// Rate is how many calls per second the target states that it accepts from
	// the whole fleet, 0 if it states none. It is set by the exit node.
	Rate float64
	// Score ranks sick targets: higher is worse. It is 0 for sound targets.
	Score float64
}

// Statement is what a target states about itself in a response.
type Statement struct {
	_msgpack struct{} `msgpack:",as_array"`

	// Limited means that the target accepts only Rate calls per second from the
	// whole fleet, until a later response states otherwise.
	Limited bool
	Rate    float64
	// Leaving means that the target ends soon and must get no new calls.
	Leaving bool
}

// AcceptsCalls reports whether the target accepts new calls: it is not draining.
func (t Target) AcceptsCalls() bool { return t.State != Draining }

// Node describes a node to the fleet. Only the node itself changes it.
type Node struct {
	_msgpack struct{} `msgpack:",as_array"`

	// Name is unique in the fleet and comes from the settings.
	Name string
	// Epoch is the wall clock at the start of the process, in nanoseconds, so
	// that a replacement process has a higher one.
	Epoch uint64
	// Incarnation increases each time the node refutes a suspicion of its failure.
	Incarnation uint64
	// Link is the IP and port for links and heartbeats, HTTP those for callers.
	Link, HTTP string
	// Centre and Region are the data centre and region of the VM.
	Centre, Region string
	// Leaving means that the node accepts no new calls.
	Leaving bool
	// Started is the wall clock at the start of the process.
	Started time.Time
	// Admin is the IP and port of the admin pages.
	Admin string
}
