// Package queuer gives out the slots of one target, at its exit node. Inner
// requests come first, then requests by rank, and deferrable ones last; each class
// keeps a minimum share. Within a class, slots are given out fairly among
// workspaces: by the time that their requests hold a slot, not by the number of
// requests. A request that is not expected to get its slot in time is refused at
// once.
package queuer

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/zinniaproxy/zinniaproxy/pkg/coder"
)

// Defaults of a queue.
const (
	// DefaultTimeout bounds the time in the queue, DefaultDeferrableTimeout
	// that of deferrable requests.
	DefaultTimeout           = 2 * time.Second
	DefaultDeferrableTimeout = 10 * time.Second
	// DefaultMaxTickets bounds the tickets in a queue, DefaultMaxBytes the
	// bytes of their requests.
	DefaultMaxTickets = 512
	DefaultMaxBytes   = 4 << 20
)

const (
	// minShareRatio is the slot time that a class gets at least for each unit of
	// slot time of more urgent ones, when both have requests queued.
	minShareRatio = 1.0 / 9
	// costSmoothing divides the step of a flow's moving mean cost.
	costSmoothing = 8
	// initialCostSeconds is the cost assumed before any was measured.
	initialCostSeconds = 0.01
	// creditRequests is how many requests of the mean cost a flow may run ahead
	// of its share.
	creditRequests = 8
	// idleFlowLifetime is how long an idle flow is kept.
	idleFlowLifetime = 10 * time.Second
	// quickSlotDeviations is how many square roots of the mean slots of quick
	// flows are reserved for them in addition to that mean.
	quickSlotDeviations = 1.5
	// activeWindow is how long after its last ticket a flow counts as active.
	// It is also the time constant of quickSlots.
	activeWindow = 2 * time.Second
	// slowCostFactor times the median cost makes a flow slow.
	slowCostFactor = 3
	// slowAgeFactor times the median cost is the age at which a running request
	// makes its flow slow.
	slowAgeFactor = 5
	// medianCostInterval is the least time between two updates of the median
	// cost.
	medianCostInterval = 100 * time.Millisecond
	// minPruneInterval is the least time between two prunes of the queue.
	minPruneInterval = 50 * time.Millisecond
	// A target with all slots taken is stalled after stallCostFactor times the
	// mean cost, and at least minStallTime, in which no slot was taken or
	// released.
	stallCostFactor = 10
	minStallTime    = time.Second
)

// Ticket is a request for a slot.
type Ticket struct {
	// Workspace is empty on open routes, which share one flow.
	Workspace string
	// Weight is the workspace's share relative to others, at least 1.
	Weight int
	// Rank is the priority of the request: 0 is the highest.
	Rank int
	// Inner is whether the request was sent by a target that is running another
	// request, which holds a slot meanwhile.
	Inner bool
	// Deferrable is whether the request yields to urgent ones.
	Deferrable bool
	// MaxWait bounds the time in the queue; 0 means the queue's Timeout, or
	// DeferrableTimeout for a deferrable ticket. It is checked when the queue is
	// pruned.
	MaxWait time.Duration
	// Deadline is when the response is no longer useful. Zero is never.
	Deadline time.Time
	// Refuse returns why the ticket must not wait any longer, or nil. It is
	// called on arrival and on each prune, with the queue's lock held. It may
	// be nil.
	Refuse func() error
	// Postpone returns why the ticket must not start now, or nil. The ticket stays
	// queued, also while the target is stalled, and is refused with this error
	// once its time has passed. It is called on arrival, on each prune and before
	// the start, with the queue's lock held. It may be nil.
	Postpone func() error
	// Started is called when the ticket gets its slot, with the queue's lock held.
	// It may be nil.
	Started func()
	// Bytes is the memory that the request holds while it is queued.
	Bytes int
}

// Queuer gives out the slots of one target. Its exported fields are set before
// use; all but Limit have defaults.
type Queuer struct {
	// Limit returns how many requests may hold a slot now. StartQueued must be
	// called when it has grown, so that queued requests start.
	Limit func() int
	// Timeout and DeferrableTimeout bound the time in the queue.
	Timeout, DeferrableTimeout time.Duration
	// MaxTickets and MaxBytes bound the memory of the queue.
	MaxTickets, MaxBytes int

	mu sync.Mutex
	// classes are sorted by priority, the most urgent first.
	classes     []*class
	inFlight    int
	queued      int
	queuedBytes int
	// meanCost is the moving mean of the cost in seconds over all requests; 0
	// if unknown.
	meanCost float64
	// medianCost is the median over the flows' costs in seconds; 0 if unknown.
	medianCost float64
	// quickSlots is the moving mean of the slots that quick flows hold.
	quickSlots float64
	// lastSlotChange is when a slot was last taken or released, lastPrune when
	// the queue was last pruned, and lastMedianUpdate when medianCost was last
	// set.
	lastSlotChange, lastPrune, lastMedianUpdate time.Time
}

// State is the load of a queue.
type State struct {
	// Queue is how many requests are queued, InFlight how many hold a slot, and
	// Limit how many may hold one.
	Queue, InFlight, Limit int
}

// State returns the present load.
func (q *Queuer) State() State {
	q.mu.Lock()
	defer q.mu.Unlock()
	return State{Queue: q.queued, InFlight: q.inFlight, Limit: q.Limit()}
}

// AddWaiting adds the number of queued tickets of each rank to a table. Ranks
// beyond its end count for the last entry.
func (q *Queuer) AddWaiting(byRank []int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, c := range q.classes {
		byRank[min(max(c.priority.rank, 0), len(byRank)-1)] += c.queued
	}
}

// MeanCost returns the mean time that the requests of a ticket's workspace and
// priority hold a slot, or that of all requests if it is not known.
func (q *Queuer) MeanCost(t Ticket) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	cost := q.expectedCost()
	for _, c := range q.classes {
		if f := c.flows[t.Workspace]; f != nil && c.priority == t.priority() {
			cost = f.costOr(cost)
		}
	}
	return seconds(cost)
}

// StartQueued starts the queued requests that a higher limit allows.
func (q *Queuer) StartQueued() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.setDefaults()
	q.dispatch(time.Now())
}

// Slot is a slot of the target that a ticket got.
type Slot struct {
	// Place is how many tickets were to be served before this one when it arrived,
	// and Waited how long it was queued.
	Place  int
	Waited time.Duration

	release func(used bool)
}

// Release releases the slot when the target is done with the request. Further
// calls of Release or Cancel do nothing.
func (s Slot) Release() { s.release(true) }

// Cancel releases a slot that no request used.
func (s Slot) Cancel() { s.release(false) }

// Acquire is like AcquireSlot, and returns the slot's Release.
func (q *Queuer) Acquire(ctx context.Context, t Ticket) (release func(), err error) {
	s, err := q.AcquireSlot(ctx, t)
	if err != nil {
		return nil, err
	}
	return s.Release, nil
}

// AcquireSlot waits for a slot, which must be released. The error is that of
// Ticket.Refuse or Ticket.Postpone, or a *coder.Error: QueueTimeout with the time
// after which a slot is likely, DeadlineBefore, or Canceled when ctx was canceled.
// With an error, Place and Waited are set too, and there is no slot to release.
func (q *Queuer) AcquireSlot(ctx context.Context, t Ticket) (Slot, error) {
	w, place, err := q.enqueue(t)
	s := Slot{Place: place}
	if err != nil {
		return s, err
	}
	err = q.await(ctx, w)
	s.Waited = time.Since(w.enqueued)
	if err == nil {
		s.release = q.release(w)
	}
	return s, err
}

// await waits for the result of a queued ticket.
func (q *Queuer) await(ctx context.Context, w *waiter) error {
	select {
	case err := <-w.result:
		return err
	default:
	}
	tick := time.NewTicker(minPruneInterval)
	defer tick.Stop()
	for {
		select {
		case err := <-w.result:
			return err
		case <-tick.C:
			q.prune()
		case <-ctx.Done():
			return q.abandon(ctx, w)
		}
	}
}

// enqueue queues a ticket, or refuses it when its slot is not expected in time.
func (q *Queuer) enqueue(t Ticket) (w *waiter, place int, err error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.setDefaults()
	now := time.Now()
	f := q.class(t.priority()).flow(t, now)
	place = q.place(f)
	w = &waiter{ticket: t, flow: f, enqueued: now, result: make(chan error, 1)}
	if err := q.checkWait(w, f.startable(), now); err != nil {
		return nil, place, err
	}
	if !q.makeRoom(w) {
		return nil, place, q.refusal("the queue is full", q.expectedWait(f, f.startable()))
	}
	w.flow.add(w)
	q.queued++
	q.queuedBytes += t.Bytes
	q.dispatch(now)
	return w, place, nil
}

// setDefaults sets the defaults on first use. The caller holds the lock.
func (q *Queuer) setDefaults() {
	if !q.lastSlotChange.IsZero() {
		return
	}
	q.lastSlotChange = time.Now()
	setDefault(&q.Timeout, DefaultTimeout)
	setDefault(&q.DeferrableTimeout, DefaultDeferrableTimeout)
	setDefault(&q.MaxTickets, DefaultMaxTickets)
	setDefault(&q.MaxBytes, DefaultMaxBytes)
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// abandon withdraws a ticket whose context has ended.
func (q *Queuer) abandon(ctx context.Context, w *waiter) error {
	q.mu.Lock()
	removed := q.remove(w)
	q.mu.Unlock()
	if !removed {
		if err := <-w.result; err != nil {
			return err
		}
		q.release(w)(false)
	}
	if ctx.Err() == context.DeadlineExceeded {
		return coder.New(coder.DeadlineBefore, "in the queue of the target")
	}
	return coder.New(coder.Canceled, "in the queue of the target")
}

// remove takes a waiter out of the queue, and reports whether it was queued.
// The caller holds the lock.
func (q *Queuer) remove(w *waiter) bool {
	if !w.flow.remove(w) {
		return false
	}
	q.queued--
	q.queuedBytes -= w.ticket.Bytes
	return true
}

// makeRoom reports whether the ticket fits, if need be after refusing others: the
// least urgent first, and of its own class the last tickets of flows with more
// work queued. The caller holds the lock.
func (q *Queuer) makeRoom(w *waiter) bool {
	if w.ticket.Bytes > q.MaxBytes {
		return false
	}
	for q.queued >= q.MaxTickets || q.queuedBytes+w.ticket.Bytes > q.MaxBytes {
		victim := q.victim(w, q.queued < q.MaxTickets)
		if victim == nil {
			return false
		}
		q.refuse(victim, "the queue is full", q.expectedWait(victim.flow, victim.flow.startable()))
	}
	return true
}

// victim returns the ticket to refuse for a new one, or nil if that must be
// refused itself. If needBytes is set, only tickets that hold bytes make room.
func (q *Queuer) victim(w *waiter, needBytes bool) *waiter {
	cost := q.expectedCost()
	for _, c := range slices.Backward(q.classes) {
		f := c.largestBacklog(needBytes, cost)
		switch order := c.priority.compare(w.flow.class.priority); {
		case order < 0:
			return nil
		case f == nil:
		case order > 0, f != w.flow && f.queuedWork(cost) > w.flow.queuedWork(cost)+w.flow.costOr(cost):
			return f.last(needBytes)
		}
	}
	return nil
}

// release returns the function that releases a slot.
func (q *Queuer) release(w *waiter) func(used bool) {
	start := time.Now()
	var once sync.Once
	return func(used bool) {
		once.Do(func() {
			q.mu.Lock()
			defer q.mu.Unlock()
			q.finish(w, time.Since(start).Seconds(), used)
			q.dispatch(time.Now())
		})
	}
}
