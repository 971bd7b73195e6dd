package recorder

import "time"

// keyDigestBytes is the size of the digest of a workspace and its idempotency
// key.
const keyDigestBytes = 16

// keyDigest identifies a keyed call within the fleet.
type keyDigest [keyDigestBytes]byte

// Query is a query from one node to another. Exactly one field is set.
type Query struct {
	_msgpack struct{} `msgpack:",as_array"`

	Begin    *BeginRequest
	Finish   *FinishRequest
	Vote     *VoteRequest
	Owner    *OwnerRequest
	Handover *HandoverRequest
}

// Reply answers a Query.
type Reply struct {
	_msgpack struct{} `msgpack:",as_array"`

	// Status answers Begin and Finish.
	Status Status
	// Answer is the answer of the first call; set with Answered.
	Answer []byte
	// Owner is the node to query instead, or empty; set with NotOwner.
	Owner string
	// RetryAfter is the time to wait before a retry; set with Running and
	// Unavailable.
	RetryAfter time.Duration
	// Vote answers a VoteRequest.
	Vote Vote
	// Yes answers Owner and Handover.
	Yes bool
}

// Status is a shard owner's reply about a keyed call.
type Status uint8

// Statuses.
const (
	// NotOwner: this node does not own the key's shard.
	NotOwner Status = iota
	// MayRun: the intent is recorded; the call may run.
	MayRun
	// Answered: the first call ran; its answer is attached.
	Answered
	// Ran: the first call ran; its answer is no longer kept. It also acknowledges
	// Finish.
	Ran
	// Running: the first call has not ended.
	Running
	// OutcomeUnknown: the outcome of the first call is unknown.
	OutcomeUnknown
	// Mismatch: the key was used for a different request.
	Mismatch
	// Unavailable: the intent could not be recorded.
	Unavailable
	// Moving: the shard is being handed over; another node will own it soon.
	Moving
)

// BeginRequest asks the owner of a shard to record the intent of a call.
type BeginRequest struct {
	_msgpack struct{} `msgpack:",as_array"`

	// KeyDigest is the digest of workspace and idempotency key, RequestDigest
	// that of the request.
	KeyDigest     []byte
	RequestDigest uint64
	// RunID identifies this arrival of the request. Retransmissions of the
	// message carry the same ID.
	RunID uint64
	// Timeout is the maximum run time of the call.
	Timeout time.Duration
}

// FinishRequest reports the outcome of a call to the owner.
type FinishRequest struct {
	_msgpack struct{} `msgpack:",as_array"`

	KeyDigest            []byte
	RequestDigest, RunID uint64
	// State is stateRan, stateReleased or stateUnknown.
	State callState
	// Answer is returned to repeats. Set when State is stateRan and the answer
	// is small.
	Answer []byte
}

// OwnershipEpoch identifies one node's ownership of a shard.
type OwnershipEpoch struct {
	_msgpack struct{} `msgpack:",as_array"`

	// Term increases with each new owner of the shard.
	Term uint64
	// Nonce distinguishes nodes that tried to acquire the same term.
	Nonce uint64
}

// VotePurpose is why a vote is requested.
type VotePurpose uint8

// Purposes of vote requests.
const (
	// purposeAcquire: a new owner wants to serve.
	purposeAcquire VotePurpose = iota + 1
	// purposeRefresh: the owner has just confirmed its ownership in the store.
	purposeRefresh
	// purposeServeFromMemory: the owner wants to serve from memory, as the
	// store does not respond.
	purposeServeFromMemory
	// purposeConfirm: the owner wants to serve on, as the store was restored from
	// an older copy, which no longer shows its ownership.
	purposeConfirm
)

// VoteRequest asks a node to vote for the owner of a shard.
type VoteRequest struct {
	_msgpack struct{} `msgpack:",as_array"`

	Shard   int
	Purpose VotePurpose
	Owner   string
	Epoch   OwnershipEpoch
	// Previous is the epoch that Epoch follows, with purposeAcquire.
	Previous OwnershipEpoch
	// Outage numbers the store outage, with purposeServeFromMemory.
	Outage uint64
	// ConfirmedAgo is the time since the store confirmed the ownership, with
	// purposeRefresh.
	ConfirmedAgo time.Duration
}

// Vote answers a VoteRequest.
type Vote struct {
	_msgpack struct{} `msgpack:",as_array"`

	// Granted reports that the voter knows of no later owner.
	Granted bool
	// Counted reports that the vote counts towards a majority: the voter would
	// know of a later owner, and of all outages in which the previous owner
	// served from memory.
	Counted bool
	// Term is the highest one known to the voter.
	Term uint64
	// Outage is the last one for which a vote was requested, OutageAgo the time
	// since.
	Outage    uint64
	OutageAgo time.Duration
}

// OwnerRequest asks a node whether it owns a shard.
type OwnerRequest struct {
	_msgpack struct{} `msgpack:",as_array"`

	Shard int
}

// HandoverRequest transfers a shard to a successor while the store does not
// respond. It is sent in parts; Last is set in the final one.
type HandoverRequest struct {
	_msgpack struct{} `msgpack:",as_array"`

	Shard   int
	Epoch   OwnershipEpoch
	Version uint64
	// Outage is the last one in which the sender served from memory,
	// StoredOutage the last one whose calls are all in the store.
	Outage, StoredOutage uint64
	Records              []storedRecord
	Last                 bool
}

// head is the value of a shard in the store. Each commit replaces it with a
// compare-and-swap, which is the fence: if two nodes consider themselves the
// owner, one of them fails.
type head struct {
	_msgpack struct{} `msgpack:",as_array"`

	Owner string
	Epoch OwnershipEpoch
	// Released reports that the owner released the shard with all its records
	// in the store.
	Released bool
	// StoredOutage is the last outage whose calls are all in the store.
	StoredOutage uint64
	// CommitNumber numbers the commits of an epoch, so that a commit whose
	// reply was lost can be recognised. Its upper bits hold the era: processes of
	// other versions reject a head with more fields.
	CommitNumber uint64
	// Records are those written since the last segment.
	Records []storedRecord
}

// Parts of head.CommitNumber.
const (
	headEraShift = 44
	maxCommit    = 1<<headEraShift - 1
)

// era returns the era of the store in which the owner last knew all records to be
// in the store, or 0 if a process of an earlier version wrote the head. In a later
// era some may be lost.
func (h *head) era() uint64 { return h.CommitNumber >> headEraShift }

// setCommit sets the number of the commit and the era.
func (h *head) setCommit(number, era uint64) { h.CommitNumber = era<<headEraShift | number&maxCommit }

// storedRecord is the stored form of a record.
type storedRecord struct {
	_msgpack struct{} `msgpack:",as_array"`

	KeyDigest            []byte
	RequestDigest, RunID uint64
	State                callState
}

// callState is the progress of a keyed call.
type callState uint8

const (
	// stateIntended: the intent is recorded; the call may be in flight.
	stateIntended callState = iota + 1
	// stateRan: a complete answer was received.
	stateRan
	// stateReleased: the call did not run; the key may be used again.
	stateReleased
	// stateUnknown: the call may have run.
	stateUnknown
)
