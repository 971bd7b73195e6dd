// Package coder defines the numbered result codes of the fleet. Every refusal
// that a caller, target or operator can receive has one number, one HTTP status
// and one statement of whether the request ran.
package coder

import "net/http"

// Ran states whether a request reached its target's handler.
type Ran string

// Values of Ran.
const (
	// RanNo means that the request did not run. It requires proof: no byte was
	// sent to a target, or the target itself responded that it did not run it.
	RanNo Ran = "no"
	// RanYes means that a complete response of the target was received.
	RanYes Ran = "yes"
	// RanUnknown means that bytes were sent and no complete response was
	// received.
	RanUnknown Ran = "unknown"
)

// Code is the number of a result. A number is never reused for another result.
type Code int

// Result codes. 1xx: the caller's request; 2xx: limits and load; 3xx: targets
// and forwarding; 4xx: duplicates and idempotency keys; 5xx: the node itself;
// 6xx: announcements; 7xx: configuration changes and settings.
const (
	// OK marks a complete response of a target.
	OK Code = 0
	// BadRequest marks a request that cannot be parsed.
	BadRequest Code = 100
	// NoRoute marks a request that no route of the configuration matches.
	NoRoute Code = 101
	// NoKey marks a request without a key on a route that requires one.
	NoKey Code = 102
	// BadKey marks an unknown or revoked key.
	BadKey Code = 103
	// WrongWorkspace marks a key whose workspace may not use the route.
	WrongWorkspace Code = 104
	// BodyTooLarge marks a request body above the size limit.
	BodyTooLarge Code = 105
	// BadDeadline marks a deadline header that cannot be parsed.
	BadDeadline Code = 106
	// BadIdempotencyKey marks an idempotency key that is too long or empty.
	BadIdempotencyKey Code = 107
	// RateExceeded marks a workspace above its fleet-wide rate and burst.
	RateExceeded Code = 200
	// LimitUnavailable marks a request whose rate limit could not be checked.
	LimitUnavailable Code = 201
	// QueueTimeout marks a request that got no free slot in time.
	QueueTimeout Code = 202
	// Shed marks a request that the target refused without running it.
	Shed Code = 203
	// NoTarget marks a service without a selectable target.
	NoTarget Code = 300
	// NotSent marks a request that could not be forwarded; no byte was sent.
	NotSent Code = 301
	// Cut marks a truncated or missing response.
	Cut Code = 302
	// DeadlineBefore marks a deadline exceeded before any byte was sent.
	DeadlineBefore Code = 303
	// DeadlineAfter marks a deadline exceeded after bytes were sent.
	DeadlineAfter Code = 304
	// Canceled marks a request that the caller canceled.
	Canceled Code = 305
	// WrongTarget marks a target that is not on the addressed exit node.
	WrongTarget Code = 306
	// TargetLeaving marks a target or data centre that accepts no new requests.
	TargetLeaving Code = 307
	// AnswerTooLarge marks a response header above the size limit.
	AnswerTooLarge Code = 308
	// Suspect marks a target that currently appears to hang or fail.
	Suspect Code = 309
	// Quarantined marks a request that crashed each of several targets that ran
	// it.
	Quarantined Code = 310
	// MisleadingStatus marks a response with a status that tells the caller that
	// the request did not run, which the target does not state.
	MisleadingStatus Code = 311
	// RepeatDenied marks an attempt that was not run because it repeats an earlier
	// one, and the calls that its target makes for it are beyond their budget.
	RepeatDenied Code = 312
	// Repeated marks a duplicate delivery of the same call.
	Repeated Code = 400
	// RepeatRunning marks a duplicate whose first call is still running.
	RepeatRunning Code = 401
	// RepeatUnknown marks a duplicate whose first call has an unknown outcome.
	RepeatUnknown Code = 402
	// RepeatMismatch marks an idempotency key reused for another request.
	RepeatMismatch Code = 403
	// RecordUnavailable marks a call with an idempotency key whose intent could
	// not be recorded.
	RecordUnavailable Code = 404
	// RepeatRan marks a duplicate whose first call ran and whose response is no
	// longer stored.
	RepeatRan Code = 405
	// Isolated marks a node that is cut off and cannot verify that a key is
	// still valid.
	Isolated Code = 500
	// NodeLeaving marks a node that is shutting down.
	NodeLeaving Code = 501
	// NoConfiguration marks a node that has no configuration yet.
	NoConfiguration Code = 502
	// Overloaded marks a node that has reached its limit of pending work.
	Overloaded Code = 503
	// BadAnnouncement marks an announcement that cannot be parsed or is not
	// allowed.
	BadAnnouncement Code = 600
	// UnknownService marks an announcement for a service that is not in the
	// configuration.
	UnknownService Code = 601
	// ForeignAddress marks an announced address that is not on the node's VM.
	ForeignAddress Code = 602
	// LeaveUnrecorded marks an announcement that a target leaves which neither the
	// store nor other nodes could record.
	LeaveUnrecorded Code = 603
	// BadDeclaration marks an invalid declaration.
	BadDeclaration Code = 700
	// Raced marks a change whose parent is no longer the current configuration.
	Raced Code = 701
	// StoreUnavailable marks a store that did not respond.
	StoreUnavailable Code = 702
	// BadSettings marks invalid settings, flags or arguments of a process.
	BadSettings Code = 703
)

// Result describes one code.
type Result struct {
	// Code is the number in the Zinnia-Code header.
	Code Code
	// Name is a short name in kebab case.
	Name string
	// Status is the HTTP status sent with the code.
	Status int
	// Ran states whether the request ran.
	Ran Ran
	// Retry reports whether the same request can succeed later.
	Retry bool
	// Text is one sentence that says what happened.
	Text string
}

var results = []Result{
	{OK, "ok", http.StatusOK, RanYes, false, "A whole answer of the target."},
	{BadRequest, "bad-request", http.StatusBadRequest, RanNo, false, "The request cannot be read."},
	{NoRoute, "no-route", http.StatusNotFound, RanNo, false, "No route matches the host, path and method."},
	{NoKey, "no-key", http.StatusUnauthorized, RanNo, false, "The route needs a key and none came."},
	{BadKey, "bad-key", http.StatusUnauthorized, RanNo, false, "The key is unknown or withdrawn."},
	{WrongWorkspace, "wrong-workspace", http.StatusForbidden, RanNo, false, "The key's workspace may not use the route."},
	{BodyTooLarge, "body-too-large", http.StatusRequestEntityTooLarge, RanNo, false, "The request body is beyond the bound."},
	{BadDeadline, "bad-deadline", http.StatusBadRequest, RanNo, false, "The Zinnia-Timeout header is not a number of milliseconds."},
	{BadIdempotencyKey, "bad-idempotency-key", http.StatusBadRequest, RanNo, false, "The Idempotency-Key header is too long or empty."},
	{RateExceeded, "rate-exceeded", http.StatusTooManyRequests, RanNo, true, "The workspace is beyond its rate and burst."},
	{LimitUnavailable, "limit-unavailable", http.StatusServiceUnavailable, RanNo, true, "The workspace's limit cannot be asked for just now."},
	{QueueTimeout, "queue-timeout", http.StatusServiceUnavailable, RanNo, true, "No slot of a target came free in time."},
	{Shed, "shed", http.StatusServiceUnavailable, RanNo, true, "The target refused the request unrun."},
	{NoTarget, "no-target", http.StatusServiceUnavailable, RanNo, true, "The service has no target that may be chosen."},
	{NotSent, "not-sent", http.StatusBadGateway, RanNo, true, "The request could not be passed on; no byte of it was sent."},
	{Cut, "cut", http.StatusBadGateway, RanUnknown, false, "The answer broke off or never came."},
	{DeadlineBefore, "deadline-before", http.StatusGatewayTimeout, RanNo, true, "The deadline ended before the request was sent."},
	{DeadlineAfter, "deadline-after", http.StatusGatewayTimeout, RanUnknown, false, "The deadline ended while the target had the request."},
	{Canceled, "canceled", 499, RanUnknown, false, "The caller gave the request up."},
	{WrongTarget, "wrong-target", http.StatusBadGateway, RanNo, true, "The target is not on the node that was asked."},
	{TargetLeaving, "target-leaving", http.StatusServiceUnavailable, RanNo, true, "The target takes no new work."},
	{AnswerTooLarge, "answer-too-large", http.StatusBadGateway, RanUnknown, false, "The head of the answer is beyond the bound."},
	{Suspect, "suspect", http.StatusServiceUnavailable, RanNo, true, "The targets seem to hang just now; the request was not sent."},
	{Quarantined, "quarantined", http.StatusServiceUnavailable, RanNo, true, "Targets crashed whenever they ran this request; it is kept from the others."},
	{MisleadingStatus, "misleading-status", http.StatusBadGateway, RanUnknown, false, "The target failed the request with a status by which callers take it for not run."},
	{RepeatDenied, "repeat-denied", http.StatusServiceUnavailable, RanNo, true, "The request was not repeated: the calls that its target makes for it have no budget for repeats left."},
	{Repeated, "repeated", http.StatusConflict, RanUnknown, false, "This arrival of the call is a duplicate and was not run; the first may have."},
	{RepeatRunning, "repeat-running", http.StatusConflict, RanUnknown, true, "The first call with this idempotency key has not ended."},
	{RepeatUnknown, "repeat-unknown", http.StatusConflict, RanUnknown, false, "The first call with this idempotency key has no known outcome."},
	{RepeatMismatch, "repeat-mismatch", http.StatusUnprocessableEntity, RanNo, false, "The idempotency key was used for another request."},
	{RecordUnavailable, "record-unavailable", http.StatusServiceUnavailable, RanNo, true, "The intent of the call could not be recorded."},
	{RepeatRan, "repeat-ran", http.StatusConflict, RanYes, false, "The first call with this idempotency key ran; its answer is no longer kept."},
	{Isolated, "isolated", http.StatusServiceUnavailable, RanNo, true, "The node is cut off and cannot tell whether the key holds."},
	{NodeLeaving, "node-leaving", http.StatusServiceUnavailable, RanNo, true, "The node is stopping."},
	{NoConfiguration, "no-configuration", http.StatusServiceUnavailable, RanNo, true, "The node has no configuration yet."},
	{Overloaded, "overloaded", http.StatusServiceUnavailable, RanNo, true, "The node holds as much work as it may."},
	{BadAnnouncement, "bad-announcement", http.StatusBadRequest, RanNo, false, "The announcement cannot be read or is not allowed."},
	{UnknownService, "unknown-service", http.StatusNotFound, RanNo, true, "The configuration has no such service."},
	{ForeignAddress, "foreign-address", http.StatusForbidden, RanNo, false, "The announced address is not on this VM."},
	{LeaveUnrecorded, "leave-unrecorded", http.StatusServiceUnavailable, RanNo, true, "The leave of the target could not be recorded."},
	{BadDeclaration, "bad-declaration", http.StatusBadRequest, RanNo, false, "The declaration breaks a rule."},
	{Raced, "raced", http.StatusConflict, RanNo, false, "Another operator's change came first."},
	{StoreUnavailable, "store-unavailable", http.StatusServiceUnavailable, RanUnknown, true, "The store did not answer."},
	{BadSettings, "bad-settings", http.StatusBadRequest, RanNo, false, "A setting, flag or argument breaks a rule."},
}

var byCode = indexByCode(results)

func indexByCode(rs []Result) map[Code]Result {
	m := make(map[Code]Result, len(rs))
	for _, r := range rs {
		m[r.Code] = r
	}
	return m
}

// All returns all results, sorted by code.
func All() []Result {
	return append([]Result(nil), results...)
}

// Lookup returns the result of a code. For an unknown code, such as one from a
// newer peer, it returns Cut, which guarantees nothing.
func Lookup(c Code) Result {
	if r, ok := byCode[c]; ok {
		return r
	}
	return byCode[Cut]
}
