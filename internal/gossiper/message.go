package gossiper

import "github.com/zinniaproxy/zinniaproxy/internal/messenger"

// Kind is the kind of a Query.
type Kind uint8

// Kinds of queries.
const (
	// Gossip lists versions that the sender has; the receiver fetches the ones
	// that it lacks. The reply is empty.
	Gossip Kind = iota + 1
	// Fetch asks for the changes since the listed versions.
	Fetch
	// AntiEntropy asks for the versions in the buckets whose digests differ from
	// the sender's.
	AntiEntropy
)

// digestBuckets is the number of buckets of origins, each with one digest.
const digestBuckets = 64

// Version identifies a state of one origin's targets.
type Version struct {
	_msgpack struct{} `msgpack:",as_array"`

	// Origin is the node that the targets are on, Epoch identifies its process.
	Origin string
	Epoch  uint64
	// Sequence grows by one with each change that the process publishes.
	Sequence uint64
}

// newer reports whether v is later than o, which must be of the same origin.
func (v Version) newer(o Version) bool {
	if v.Epoch != o.Epoch {
		return v.Epoch > o.Epoch
	}
	return v.Sequence > o.Sequence
}

// Delta updates one origin from a version to a later one.
type Delta struct {
	_msgpack struct{} `msgpack:",as_array"`

	Version Version
	// Since is the sequence that the delta starts from, in the same epoch. 0
	// means that the delta is the whole state.
	Since uint64
	// Targets were added or changed, Removed are the names of removed targets.
	Targets []messenger.Target
	Removed []string
}

// Query is a query from one node's directory to another's.
type Query struct {
	_msgpack struct{} `msgpack:",as_array"`

	Kind     Kind
	Versions []Version
	Digests  []uint64
}

// Reply answers a Query.
type Reply struct {
	_msgpack struct{} `msgpack:",as_array"`

	// Deltas answer Fetch. They hold at most maxReplyTargets targets unless the
	// first delta alone has more.
	Deltas []Delta
	// Versions and Buckets answer AntiEntropy: the buckets whose digests differ
	// and the versions in them.
	Versions []Version
	Buckets  []int
}
