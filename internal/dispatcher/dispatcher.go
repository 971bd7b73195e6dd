// Package dispatcher is the exit side of a node: it passes calls to the targets
// on its own VM, through a chain of filters.
package dispatcher

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
	// NotSent: no byte went to the target.
	NotSent Result = iota
	// Good: a whole answer below status 500.
	Good
	// Failed: a whole answer with status 500 or above.
	Failed
	// CutShort: the answer broke off, or the connection did.
	CutShort
	// TimedOut: the deadline ended first.
	TimedOut
	// Shed: the target refused the call unrun.
	Shed
	// Canceled: the asker gave up.
	Canceled
)

// String returns the word that events use.
func (r Result) String() string {
	words := [...]string{"not sent", "good", "failed", "cut short", "timed out", "shed", "canceled"}
	return words[min(int(r), len(words)-1)]
}

// Outcome is what the exit learns from one call.
type Outcome struct {
	Result Result
	// Latency is the time from the first byte sent to the head of the answer,
	// or to the end of the call when no head came.
	Latency time.Duration
	// Service is the time that the call held its slot.
	Service time.Duration
}

// Load is what a target's exit tells the entry with each answer.
type Load struct {
	// Queue is how many calls wait, Flying how many run, Limit how many may.
	Queue, Flying, Limit int
}

// Out takes the answer of a call. Head comes first and once; last ends the
// answer whole.
type Out struct {
	Head func(h messenger.Head, last bool) error
	Body func(b []byte, last bool) error
}

// Job is one call on its way through the filters.
type Job struct {
	// Call is the entry's message; it is not changed.
	Call *messenger.Call
	// Target is the target on this VM, set by the first filter.
	Target messenger.Target
	// Deadline is when the caller stops waiting, by this node's clock.
	Deadline time.Time
	// Arrived is when the call came to this node.
	Arrived time.Time
	// Check is asked right before the first byte goes to the target, and
	// refuses when the deadline has passed meanwhile.
	Check func() error
	// Out takes the answer.
	Out Out
	// Outcome is set by the last filter.
	Outcome Outcome
	// Risk is the probability that the target hangs, as the call was let
	// through.
	Risk float64
}

// Step passes a job on.
type Step func(ctx context.Context, j *Job) error

// Filter does its part and passes the job to next, or refuses it.
type Filter func(ctx context.Context, j *Job, next Step) error

// Dispatcher passes calls to targets. Set the fields before the first call.
type Dispatcher struct {
	// Lookup returns a target on this VM by name.
	Lookup func(name string) (messenger.Target, bool)
	// Enter admits a call for a target, unless it, its data centre or the node
	// leaves. leave ends the call.
	Enter func(target string) (leave func(), err error)
	// Begin refuses a second arrival of a call. check is the job's.
	Begin func(c *messenger.Call, deadline time.Time) (check func() error, err error)
	// Acquire waits for a slot of the target. release gives it back.
	Acquire func(ctx context.Context, j *Job) (release func(Outcome), err error)
	// Load tells how busy a target is.
	Load func(target string) Load
	// Send passes the call to the target.
	Send func(ctx context.Context, j *Job) error
	// Waited takes how long a call waited for its slot, and Ended how it ended
	// at the target. Nil drops them.
	Waited func(d time.Duration)
	Ended  func(o Outcome)
	// Tracer takes events; nil drops them.
	Tracer *tracer.Tracer
}

// Filters returns the filters of a call in their order.
func (d *Dispatcher) Filters() []Filter {
	return []Filter{d.find, d.leaving, d.once, d.slot, d.send}
}

// Serve runs one call. An error is a refusal and comes only before the head.
func (d *Dispatcher) Serve(ctx context.Context, j *Job) error {
	j.Arrived = time.Now()
	return Chain(d.Filters())(ctx, j)
}

// Chain makes one step of filters.
func Chain(fs []Filter) Step {
	if len(fs) == 0 {
		return func(context.Context, *Job) error { return nil }
	}
	next := Chain(fs[1:])
	return func(ctx context.Context, j *Job) error { return fs[0](ctx, j, next) }
}

// find refuses calls for targets that are not here, or no longer the ones that
// the entry chose.
func (d *Dispatcher) find(ctx context.Context, j *Job, next Step) error {
	t, ok := d.Lookup(j.Call.Target)
	if !ok || t.Epoch != j.Call.Epoch {
		return coder.New(coder.WrongTarget, "%s", j.Call.Target)
	}
	j.Target = t
	return next(ctx, j)
}

// leaving refuses new work for a target, node or data centre that leaves.
func (d *Dispatcher) leaving(ctx context.Context, j *Job, next Step) error {
	leave, err := d.Enter(j.Target.Name)
	if err != nil {
		return err
	}
	defer leave()
	return next(ctx, j)
}

// once refuses a call that has arrived before.
func (d *Dispatcher) once(ctx context.Context, j *Job, next Step) error {
	check, err := d.Begin(j.Call, j.Deadline)
	if err != nil {
		return err
	}
	j.Check = check
	return next(ctx, j)
}

// slot waits for the target's turn and re-checks what may have changed while
// the call waited.
func (d *Dispatcher) slot(ctx context.Context, j *Job, next Step) error {
	begun := time.Now()
	release, err := d.Acquire(ctx, j)
	start := time.Now()
	if d.Waited != nil {
		d.Waited(start.Sub(begun))
	}
	if err != nil {
		return err
	}
	defer func() {
		j.Outcome.Service = time.Since(start)
		release(j.Outcome)
	}()
	if !start.Before(j.Deadline) || ctx.Err() != nil {
		return coder.New(coder.DeadlineBefore, "waited for a slot")
	}
	return next(ctx, j)
}

func (d *Dispatcher) send(ctx context.Context, j *Job, _ Step) error {
	load := d.Load(j.Target.Name)
	e := tracer.Event{
		Kind: "call-sent", Request: j.Call.Request, Target: j.Target.Name, Workspace: j.Call.Workspace, Attempt: j.Call.ID,
		Risk: j.Risk, Queue: load.Queue, Flying: load.Flying, Limit: load.Limit,
	}
	d.Tracer.Add(e)
	start := time.Now()
	err := d.Send(ctx, j)
	e.Kind, e.Detail, e.Took = "call-ended", j.Outcome.Result.String(), tracer.Millis(time.Since(start))
	e.Routine = j.Outcome.Result == Good
	d.Tracer.Add(e)
	if d.Ended != nil {
		d.Ended(j.Outcome)
	}
	return err
}
