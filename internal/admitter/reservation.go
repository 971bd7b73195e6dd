package admitter

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/zinniaproxy/zinniaproxy/internal/exithandler"
	"github.com/zinniaproxy/zinniaproxy/internal/queuer"
	"github.com/zinniaproxy/zinniaproxy/internal/tracer"
	"github.com/zinniaproxy/zinniaproxy/pkg/coder"
)

const (
	// HoldTime is how long a reserved slot is held for its call: long enough for a
	// round trip and a body between data centres.
	HoldTime = 250 * time.Millisecond
	// trialRisk is the risk above which the circuit breaker admits calls only as
	// trials, one after another. One slot is held at a time then, since the calls
	// of all others would be rejected with their bodies sent.
	trialRisk = 0.5
)

// reservationKey identifies a reservation: its entry node, which is empty for this
// node, and its ID.
type reservationKey struct{ entry, id string }

// Reservation is a slot that is held for a call.
type Reservation struct {
	admitter *Admitter
	key      reservationKey
	target   *targetState
	slot     queuer.Slot
	event    tracer.Event
	timer    *time.Timer
	// done is closed when the slot was taken by the call or released.
	done chan struct{}
}

// ReservationCounts are the reservations that ended in some way.
type ReservationCounts struct {
	// Granted are those that got a slot. Of these, Expired were not followed by
	// their call in time. Withdrawn are those that their entry node gave up, with a
	// slot or without.
	Granted, Expired, Withdrawn int64
}

type reservationCounters struct{ granted, expired, withdrawn atomic.Int64 }

// ReservationCounts returns the counts so far.
func (a *Admitter) ReservationCounts() ReservationCounts {
	c := &a.reservations
	return ReservationCounts{Granted: c.granted.Load(), Expired: c.expired.Load(), Withdrawn: c.withdrawn.Load()}
}

// Reserve waits for a slot of the job's target in the same queue as calls, and
// then holds it for HoldTime, for the call of the entry node with the reservation
// of the job's call. While the circuit breaker rejects the call or the target is
// stalled, the reservation waits on until its time has passed. The slot must be
// withdrawn when its entry node gives it up. Errors are *coder.Error: those of
// Acquire, or the cause of ctx if it has one. They prove that nothing has run.
func (a *Admitter) Reserve(ctx context.Context, entry string, j *exithandler.Job) (*Reservation, error) {
	r := &Reservation{admitter: a, key: reservationKey{entry, j.Call.Reservation}, done: make(chan struct{})}
	err := a.waitForReserved(ctx, r, j)
	r.event = tracer.Event{
		Kind: "reservation-granted", Attempt: j.Call.ID, Target: j.Target.Name, Workspace: j.Call.Workspace,
		Place: j.Place, Wait: tracer.Millis(j.Wait), Rank: j.Call.Rank, Detail: j.Call.Reservation, Routine: true,
	}
	if err != nil {
		var cause *coder.Error
		if errors.As(context.Cause(ctx), &cause) {
			err = cause
		}
		a.countRefusal(r, coder.Of(err))
		return nil, err
	}
	a.reservations.granted.Add(1)
	a.Tracer.Add(r.event)
	a.hold(r)
	return r, nil
}

// waitForReserved waits for the slot of a reservation.
func (a *Admitter) waitForReserved(ctx context.Context, r *Reservation, j *exithandler.Job) (err error) {
	if r.target = a.target(j.Target.Name); r.target == nil {
		return coder.New(coder.WrongTarget, "target %s is not on this node", j.Target.Name)
	}
	s := r.target
	a.AdoptStatement(j.Target.Name, j.Target.Epoch, j.Call.Statement)
	started := false
	t := s.ticket(j)
	t.Postpone = a.postponeCheck(s, j)
	t.Started = func() {
		started = true
		s.untaken.Add(1)
	}
	if r.slot, err = a.awaitSlot(ctx, s, j, t); err != nil {
		if started { // ctx ended right after the start
			s.untaken.Add(-1)
		}
		return err
	}
	if delay, refused := a.StartDelay(j.Target.Name); refused {
		s.untaken.Add(-1)
		r.slot.Cancel()
		return coder.New(coder.QueueTimeout, "the target's limit of calls per second is reached").WithAfter(delay)
	}
	return nil
}

// postponeCheck returns a function that reports why a reserved slot must not be
// given out now.
func (a *Admitter) postponeCheck(s *targetState, j *exithandler.Job) func() error {
	check := a.breakerCheck(j)
	if check == nil {
		return func() error { return nil }
	}
	return func() error {
		if err := check(); err != nil {
			return err
		}
		if risk := a.Risk(j.Target.Name); s.untaken.Load() > 0 && risk > trialRisk {
			return coder.New(coder.Suspect, "%s: risk %.2f of a fault episode, and a trial call is expected", j.Target.Name, risk).WithAfter(HoldTime)
		}
		return nil
	}
}

// hold keeps the slot of a reservation until its call takes it, its entry node
// withdraws it, or HoldTime has passed.
func (a *Admitter) hold(r *Reservation) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.held == nil {
		a.held = map[reservationKey]*Reservation{}
	}
	a.held[r.key] = r
	r.timer = time.AfterFunc(HoldTime, func() {
		if a.endHold(r) {
			r.slot.Cancel()
			a.reservations.expired.Add(1)
			e := r.event
			e.Kind, e.Routine = "reservation-expired", false
			a.Tracer.Add(e)
		}
	})
}

// endHold reports whether the slot of a reservation was held until now.
func (a *Admitter) endHold(r *Reservation) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	select {
	case <-r.done:
		return false
	default:
	}
	if a.held[r.key] == r {
		delete(a.held, r.key)
	}
	r.timer.Stop()
	r.target.untaken.Add(-1)
	close(r.done)
	return true
}

// takeReserved returns the slot that is held for a job's call, if there is one. It
// then belongs to the call.
func (a *Admitter) takeReserved(entry string, s *targetState, j *exithandler.Job) (queuer.Slot, bool) {
	if j.Call.Reservation == "" {
		return queuer.Slot{}, false
	}
	a.mu.Lock()
	r := a.held[reservationKey{entry, j.Call.Reservation}]
	a.mu.Unlock()
	if r == nil || r.target != s || !a.endHold(r) {
		return queuer.Slot{}, false
	}
	j.Place, j.Wait = r.slot.Place, r.slot.Waited
	return r.slot, true
}

// countRefusal counts and records a reservation that got no slot.
func (a *Admitter) countRefusal(r *Reservation, err *coder.Error) {
	e := r.event
	if err.Code == coder.Canceled {
		a.reservations.withdrawn.Add(1)
		return
	}
	e.Kind, e.Code, e.Detail, e.Routine = "reservation-refused", int(err.Code), err.Error(), false
	a.Tracer.Add(e)
}

// Done returns a channel that is closed when the call has taken the slot or the
// slot was released.
func (r *Reservation) Done() <-chan struct{} { return r.done }

// Withdraw releases the slot, unless that was taken or released before.
func (r *Reservation) Withdraw() {
	if r.admitter.endHold(r) {
		r.slot.Cancel()
		r.admitter.reservations.withdrawn.Add(1)
	}
}
