// Package exithandler is the exit side of a node: it forwards calls to the
// targets on its own VM, through a chain of filters.
package exithandler

import (
	"context"
	"time"

	"github.com/zinniaproxy/zinniaproxy/internal/messenger"
	"github.com/zinniaproxy/zinniaproxy/internal/tracer"
	"github.com/zinniaproxy/zinniaproxy/pkg/coder"
)

// Result is how a call at a target ended.
type Result uint8

// Results of calls.
const (
	// NotSent: the call was refused, canceled or timed out before a byte was sent
	// to the target.
	NotSent Result = iota
	// Good: a complete response with a status below 500.
	Good
	// Failed: a complete response with status 500 or above.
	Failed
	// CutShort: the target was unreachable, the connection broke, or the response
	// is truncated or invalid.
	CutShort
	// TimedOut: the deadline passed after the call was sent.
	TimedOut
	// Shed: the target refused the call without running it.
	Shed
	// Canceled: the caller gave up.
	Canceled
)

// String returns the name used in events and metrics.
func (r Result) String() string {
	names := [...]string{"not sent", "good", "failed", "cut short", "timed out", "shed", "canceled"}
	return names[min(int(r), len(names)-1)]
}

// Outcome is what the exit node measured of one call.
type Outcome struct {
	Result Result
	// Latency is the time from the start of sending to the head of the response,
	// or to the end of the call when no head came.
	Latency time.Duration
	// ServiceTime is how long the call held its slot.
	ServiceTime time.Duration
}

// Load is a target's load, which its exit node reports to the entry node with
// each response.
type Load struct {
	// Queue is the number of waiting calls, InFlight the number of calls in
	// flight, and Limit the maximum of InFlight.
	Queue, InFlight, Limit int
}

// ResponseSink receives the response of a call. Head is called first and once.
// last is true for the final part of a complete response.
type ResponseSink struct {
	Head func(h messenger.ResponseHead, last bool) error
	Body func(b []byte, last bool) error
}

// Job is the state of one call, which the filters fill in one after another.
type Job struct {
	// Call is the entry node's message. Filters must not change it.
	Call *messenger.Call
	// Target is the target on this VM, set by the first filter.
	Target messenger.Target
	// Deadline is the caller's deadline by this node's clock.
	Deadline time.Time
	// ArrivedAt is when the call reached this node.
	ArrivedAt time.Time
	// CheckLeaving returns a refusal once the target, its data centre or the node
	// takes no new calls. It is called while the call waits for its slot, and
	// must not block. Nil means no check.
	CheckLeaving func() error
	// CheckBeforeSend is called right before the first byte of a non-idempotent
	// call is sent to the target. It returns a refusal when the deadline has
	// passed meanwhile. Nil means no check.
	CheckBeforeSend func() error
	// Response receives the response.
	Response ResponseSink
	// Outcome is set by the last filter.
	Outcome Outcome
	// Risk is the probability that the target was in a fault episode when the
	// circuit breaker admitted the call.
	Risk float64
	// Place is how many tickets were to be served before the call's when that
	// arrived in the target's queue, and Wait how long it was queued. For a call
	// with a reservation they are those of the reservation.
	Place int
	Wait  time.Duration
}

// Step runs the remaining filters on a job.
type Step func(ctx context.Context, j *Job) error

// Filter processes a job and calls next, or returns a refusal.
type Filter func(ctx context.Context, j *Job, next Step) error

// Handler forwards calls to targets. Set the fields before the first call.
type Handler struct {
	// Lookup returns a target on this VM by name.
	Lookup func(name string) (messenger.Target, bool)
	// Enter admits a call for a target, unless the target, its data centre or
	// the node is leaving. leave must be called when the call ends.
	Enter func(target string) (leave func(), err error)
	// CheckLeaving returns the refusal of Enter for a call that it has admitted, or
	// nil.
	CheckLeaving func(target string) error
	// Begin records the arrival of a call and refuses a duplicate. check becomes
	// the job's CheckBeforeSend.
	Begin func(c *messenger.Call, deadline time.Time) (check func() error, err error)
	// Acquire waits for a slot of the target. release must be called when the
	// call ends.
	Acquire func(ctx context.Context, j *Job) (release func(Outcome), err error)
	// Load returns a target's load.
	Load func(target string) Load
	// Send sends the call to the target.
	Send func(ctx context.Context, j *Job) error
	// Waited records how long a call waited for its slot, and Ended how it ended
	// at the target. Either may be nil.
	Waited func(d time.Duration)
	Ended  func(o Outcome)
	// Quarantine returns a refusal for a call whose request crashes targets, and
	// Completed records a call that its target responded to. Either may be nil.
	Quarantine func(c *messenger.Call) error
	Completed  func(c *messenger.Call)
	// AffordsRepeat reports whether targets of this VM may run a request once more.
	// Nil means always.
	AffordsRepeat func() bool
	// CallCut records a call that broke off after it was sent. It may be nil.
	CallCut func(t messenger.Target, request messenger.Fingerprint)
	// Tracer records events; nil drops them.
	Tracer *tracer.Tracer
}

// Filters returns the filters of a call in the order in which they run.
func (h *Handler) Filters() []Filter {
	return []Filter{h.findTarget, h.refuseIfLeaving, h.refuseDuplicate, h.refuseRepeat, h.acquireSlot, h.refuseQuarantined, h.send}
}

// Serve runs one call. An error is a refusal; after the head it means that the
// response is truncated.
func (h *Handler) Serve(ctx context.Context, j *Job) error {
	j.ArrivedAt = time.Now()
	return Chain(h.Filters())(ctx, j)
}

// Chain returns a step that runs the filters in order.
func Chain(filters []Filter) Step {
	if len(filters) == 0 {
		return func(context.Context, *Job) error { return nil }
	}
	next := Chain(filters[1:])
	return func(ctx context.Context, j *Job) error { return filters[0](ctx, j, next) }
}

// findTarget refuses a call whose target is not on this VM, or was replaced
// since the entry node chose it.
func (h *Handler) findTarget(ctx context.Context, j *Job, next Step) error {
	t, ok := h.Lookup(j.Call.Target)
	if !ok || t.Epoch != j.Call.Epoch {
		return coder.New(coder.WrongTarget, "%s", j.Call.Target)
	}
	j.Target = t
	return next(ctx, j)
}

// refuseIfLeaving refuses a call for a target, node or data centre that is
// leaving.
func (h *Handler) refuseIfLeaving(ctx context.Context, j *Job, next Step) error {
	leave, err := h.Enter(j.Target.Name)
	if err != nil {
		return err
	}
	defer leave()
	j.CheckLeaving = func() error { return h.CheckLeaving(j.Target.Name) }
	return next(ctx, j)
}

// refuseDuplicate refuses a call that arrived before.
func (h *Handler) refuseDuplicate(ctx context.Context, j *Job, next Step) error {
	check, err := h.Begin(j.Call, j.Deadline)
	if err != nil {
		return err
	}
	j.CheckBeforeSend = check
	return next(ctx, j)
}

// acquireSlot waits for a slot of the target and then checks again what may have
// changed meanwhile.
func (h *Handler) acquireSlot(ctx context.Context, j *Job, next Step) error {
	queuedAt := time.Now()
	release, err := h.Acquire(ctx, j)
	start := time.Now()
	if h.Waited != nil {
		h.Waited(max(start.Sub(queuedAt), j.Wait)) // a reservation has waited before the call came
	}
	if err != nil {
		return err
	}
	defer func() {
		j.Outcome.ServiceTime = time.Since(start)
		release(j.Outcome)
	}()
	if !start.Before(j.Deadline) || ctx.Err() != nil {
		return coder.New(coder.DeadlineBefore, "while waiting for a slot")
	}
	if err := h.checkTarget(j); err != nil {
		return err
	}
	return next(ctx, j)
}

// checkTarget returns a refusal if the target was replaced or takes no new calls.
func (h *Handler) checkTarget(j *Job) error {
	if t, ok := h.Lookup(j.Target.Name); !ok || t.Epoch != j.Target.Epoch {
		return coder.New(coder.WrongTarget, "%s", j.Target.Name)
	}
	return j.CheckLeaving()
}

// refuseRepeat refuses a call that repeats an earlier attempt if the calls that its
// target would make for it are beyond the budget for repeats.
func (h *Handler) refuseRepeat(ctx context.Context, j *Job, next Step) error {
	if j.Call.Repeat && h.AffordsRepeat != nil && !h.AffordsRepeat() {
		return coder.New(coder.RepeatDenied, "%s", j.Target.Name)
	}
	return next(ctx, j)
}

// refuseQuarantined refuses a call whose request crashes targets, also if that
// became known while it waited for its slot.
func (h *Handler) refuseQuarantined(ctx context.Context, j *Job, next Step) error {
	if h.Quarantine != nil {
		if err := h.Quarantine(j.Call); err != nil {
			return err
		}
	}
	return next(ctx, j)
}

func (h *Handler) send(ctx context.Context, j *Job, _ Step) error {
	load := h.Load(j.Target.Name)
	e := tracer.Event{
		Kind: "call-sent", Request: j.Call.Request, Target: j.Target.Name, Workspace: j.Call.Workspace, Attempt: j.Call.ID,
		Risk: j.Risk, Queue: load.Queue, InFlight: load.InFlight, Limit: load.Limit,
		Place: j.Place, Wait: tracer.Millis(j.Wait), Rank: j.Call.Rank,
	}
	h.Tracer.Add(e)
	start := time.Now()
	err := h.Send(ctx, j)
	e.Kind, e.Detail, e.Took = "call-ended", j.Outcome.Result.String(), tracer.Millis(time.Since(start))
	e.Routine = j.Outcome.Result == Good
	if err != nil && coder.Of(err).Code == coder.Cut {
		request := j.Call.Fingerprint()
		e.Fingerprint = request.String()
		if h.CallCut != nil {
			h.CallCut(j.Target, request)
		}
	}
	h.Tracer.Add(e)
	if answered := err == nil || coder.Of(err).Code == coder.MisleadingStatus; answered && h.Completed != nil {
		h.Completed(j.Call)
	}
	if h.Ended != nil {
		h.Ended(j.Outcome)
	}
	return err
}
