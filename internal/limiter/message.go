package limiter

import (
	"time"

	"github.com/zinniaproxy/zinniaproxy/internal/assigner"
)

// Query asks a holder for tokens of many workspaces.
type Query struct {
	_msgpack struct{} `msgpack:",as_array"`

	// RelayTo names the holder's node when the query goes through a peer. It is
	// empty otherwise.
	RelayTo string
	// From is the asking process. Sequence grows with each of its queries to
	// one node; a duplicate gets the reply to the first arrival.
	From     string
	Sequence uint64
	// MaxTTL bounds how long tokens for waiting requests stay valid. It is the
	// longest time that the sender expects the reply to take.
	MaxTTL time.Duration
	// ReturnTo is the process that granted the returned tokens.
	ReturnTo string
	// Requests has one entry per workspace and share.
	Requests []TokenRequest
	// FetchAssignment asks for the share assignment instead of tokens.
	FetchAssignment bool
}

// TokenRequest asks for tokens of one workspace from one share.
type TokenRequest struct {
	_msgpack struct{} `msgpack:",as_array"`

	// Workspace is the workspace's name, Share the number of the share.
	Workspace string
	Share     uint16
	// Count is how many tokens requests wait for, Prefetch how many more are
	// expected to be needed in the next second, and Returned how many expired
	// unspent.
	Count, Prefetch, Returned uint16
	// ReturnedExpiry is when the first returned token expired, on the clock of
	// Grant.GrantedAt.
	ReturnedExpiry time.Duration
	// Reserve also asks for tokens that fall due soon.
	Reserve bool
}

// Reply answers a query.
type Reply struct {
	_msgpack struct{} `msgpack:",as_array"`

	// From is the process that replies.
	From string
	// Grants has one entry per token request, in their order.
	Grants []Grant
	// Assignment is the encoded share assignment, if the query asked for it.
	Assignment []byte
}

// Status is the result of a token request.
type Status uint8

// Statuses of a grant.
const (
	// Granted means that all tokens that requests wait for were granted.
	Granted Status = iota
	// Insufficient means that there were fewer tokens than requests.
	Insufficient
	// NotHolder means that the replying process does not hold the share.
	NotHolder
	// NotReady means that the holder may not use its shares now.
	NotReady
	// UnknownWorkspace means that the holder's configuration has no such
	// workspace.
	UnknownWorkspace
)

// Grant answers a token request.
type Grant struct {
	_msgpack struct{} `msgpack:",as_array"`

	// Status is the result.
	Status Status
	// Count tokens may be spent until TTL after the query was sent.
	Count uint16
	TTL   time.Duration
	// DueIn lists when the reserved tokens fall due, counted from the reply.
	// Each is valid for TTL from then.
	DueIn []time.Duration
	// Prefetched further tokens may be spent until PrefetchTTL after the query
	// was sent.
	Prefetched  uint16
	PrefetchTTL time.Duration
	// GrantedAt is when the tokens were granted, counted from the start of the
	// granting process by its own clock.
	GrantedAt time.Duration
	// RetryAfter is the time until the next token with Insufficient, negative
	// if there will be none, and Interval the time between two tokens.
	RetryAfter, Interval time.Duration
	// MovedTo names the node that the share was handed over to, with NotHolder.
	MovedTo string
}

// Handover hands shares over to another process, which holds them from then on.
// The sender stops using them before it sends the message.
type Handover struct {
	_msgpack struct{} `msgpack:",as_array"`

	// From and To are processes. A process other than To rejects the handover.
	From, To string
	// Sequence grows with each handover of the sender. A duplicate changes
	// nothing and gets the reply to the first arrival.
	Sequence uint64
	// AssignmentNumber is the number of the sender's share assignment.
	AssignmentNumber uint64
	// Shares are the shares that are handed over.
	Shares []HandedShare
}

// HandedShare is one share with the state of its workspaces.
type HandedShare struct {
	_msgpack struct{} `msgpack:",as_array"`

	// Share is its number, Holder the process that the share assignment names.
	Share  uint16
	Holder string
	// Age is the least time that has passed since the share was empty.
	// Workspaces that are not listed are full by now.
	Age time.Duration
	// Accounts are the workspaces that are not full.
	Accounts []AccountState
}

// AccountState is the token state of one workspace in a share.
type AccountState struct {
	_msgpack struct{} `msgpack:",as_array"`

	// Workspace is its name, Tokens the number of available tokens.
	Workspace string
	Tokens    float64
	// Outstanding tokens are granted and may still be spent until ExpiresIn has
	// passed.
	Outstanding float64
	ExpiresIn   time.Duration
	// MaxBurst and MinRate are the largest burst and the smallest rate that the
	// share applied since the account was last full.
	MaxBurst, MinRate float64
}

// HandoverReply answers a handover.
type HandoverReply struct {
	_msgpack struct{} `msgpack:",as_array"`

	// Accepted lists the shares that the receiver holds now. The sender takes
	// back the others.
	Accepted []uint16
}

func firstShare(workspace string) (hash uint64, share int) {
	hash = assigner.Hash(workspace)
	return hash, assigner.Shard(hash) * assigner.SharesPerShard
}
