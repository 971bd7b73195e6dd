package recorder

import "time"

// record is the idempotency record of one keyed call, kept by the shard's
// owner.
type record struct {
	requestDigest, runID uint64
	state                callState
	// expiresAt is when the record may be dropped, runningUntil the latest time
	// at which the call may be in flight.
	expiresAt, runningUntil time.Time
	// answer is the encoded first answer, nil if it is not kept.
	answer []byte
	// waiters are told whether the intent was accepted; nil afterwards.
	waiters []chan Status
	// accepted reports that the intent is in the store or was accepted in
	// memory.
	accepted bool
}

// replyToRepeat returns the status of the first call for a repeat.
func (r *record) replyToRepeat(b *BeginRequest, now time.Time) *Reply {
	switch {
	case r.requestDigest != b.RequestDigest:
		return &Reply{Status: Mismatch}
	case r.state == stateRan && r.answer != nil:
		return &Reply{Status: Answered, Answer: r.answer}
	case r.state == stateRan:
		return &Reply{Status: Ran}
	case r.state == stateIntended && now.Before(r.runningUntil):
		return &Reply{Status: Running, RetryAfter: min(r.runningUntil.Sub(now), maxRunningRetryAfter)}
	}
	return &Reply{Status: OutcomeUnknown}
}

// replaceableBy reports whether a call may replace the record. The run that a
// released record is for may not: its caller was told that it does not run.
func (r *record) replaceableBy(b *BeginRequest, now time.Time) bool {
	return now.After(r.expiresAt) || (r.state == stateReleased && r.runID != b.RunID)
}

// applyOutcome sets the outcome if f belongs to the recorded run and changes
// its state.
func (r *record) applyOutcome(f *FinishRequest) bool {
	if r.runID != f.RunID || r.state == stateRan || r.state == f.State {
		return false
	}
	r.state = f.State
	return true
}

func (r *record) toStored(k keyDigest) storedRecord {
	return storedRecord{KeyDigest: k[:], RequestDigest: r.requestDigest, RunID: r.runID, State: r.state}
}

// notifyWaiters sends a status to the calls that wait for the intent.
func (r *record) notifyWaiters(status Status) {
	for _, w := range r.waiters {
		w <- status
	}
	r.waiters = nil
}
