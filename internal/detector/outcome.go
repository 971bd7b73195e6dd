package detector

import "time"

// Outcome is how an attempt at a target ended, as seen by its exit node.
type Outcome uint8

// Outcomes of attempts.
const (
	// Good is a whole response without an error status.
	Good Outcome = iota
	// Failed is a whole response with an error status of the target (5xx).
	Failed
	// Truncated is a response that broke off, or a connection that broke before
	// any response.
	Truncated
	// Refused is a connection that the target did not accept.
	Refused
	// Shed is the target's own refusal of an attempt that it did not run.
	Shed
	// Timeout is an attempt that ran into its deadline. The deadline is the
	// caller's choice, so only the attempt's age says something about the
	// target.
	Timeout
	// Canceled is an attempt ended by the caller, or by a hedge that won. Only
	// its age says something about the target.
	Canceled
)

// Query queries a peer's node for the recent attempts at one of its targets.
type Query struct {
	_msgpack struct{} `msgpack:",as_array"`

	// Target is the name of a target on the peer's VM.
	Target string
}

// Reply summarizes the last attempts at a target.
type Reply struct {
	_msgpack struct{} `msgpack:",as_array"`

	// Count is how many attempt times the reply is based on; the times are
	// valid only if it is above 0.
	Count int
	// Median and UpperQuartile are percentiles 50 and 75 of the attempts'
	// times, including the ages of late attempts in flight.
	Median, UpperQuartile time.Duration
	// FailRate is the fraction of the completed attempts that failed.
	FailRate float64
}

// observation is what one attempt shows about its target.
type observation struct {
	at time.Time
	// elapsed is the time that the target took, or the attempt's age if it did
	// not complete.
	elapsed time.Duration
	// completed is false if the caller, a deadline or a hedge ended the
	// attempt, or if it is still in flight.
	completed bool
	// failed is whether a completed attempt failed.
	failed bool
}
