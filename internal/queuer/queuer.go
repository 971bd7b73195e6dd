// Package queuer gives out the slots of one target, at its exit node, fairly
// among workspaces: by the time that their requests hold a slot, not by the
// number of requests. Deferrable requests yield to urgent ones, but keep a
// minimum share. A request that is not expected to get its slot in time is
// refused at once.
package queuer

import (
	"context"
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
	// minDeferrableRatio is the slot time that deferrable requests get at least
	// for each unit of slot time of urgent ones, when both are queued.
	minDeferrableRatio = 1.0 / 9
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
	// Deferrable is whether the request yields to urgent ones.
	Deferrable bool
	// Deadline is when the response is no longer useful. Zero is never.
	Deadline time.Time
	// Refuse returns why the ticket must not wait any longer, or nil. It is
	// called on arrival and on each prune, with the queue's lock held. It may
	// be nil.
	Refuse func() error
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

	mu                 sync.Mutex
	urgent, deferrable class
	// deferrableDebt is the slot time in seconds that is due to deferrable
	// requests. It is 0 when none is queued.
	deferrableDebt float64
	inFlight       int
	queued         int
	queuedBytes    int
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

// StartQueued starts the queued requests that a higher limit allows.
func (q *Queuer) StartQueued() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.setDefaults()
	q.dispatch(time.Now())
}

// Acquire waits for a slot. On success, release must be called when the target
// is done with the request; further calls do nothing. The error is that of
// Ticket.Refuse or a *coder.Error: QueueTimeout with the time after which a
// slot is likely, DeadlineBefore, or Canceled when ctx was canceled.
func (q *Queuer) Acquire(ctx context.Context, t Ticket) (release func(), err error) {
	w, err := q.enqueue(t)
	if err != nil {
		return nil, err
	}
	select {
	case err := <-w.result:
		return q.outcome(w, err)
	default:
	}
	tick := time.NewTicker(minPruneInterval)
	defer tick.Stop()
	for {
		select {
		case err := <-w.result:
			return q.outcome(w, err)
		case <-tick.C:
			q.prune()
		case <-ctx.Done():
			return nil, q.abandon(ctx, w)
		}
	}
}

// enqueue queues a ticket, or refuses it when its slot is not expected in time.
func (q *Queuer) enqueue(t Ticket) (*waiter, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.setDefaults()
	now := time.Now()
	f := q.class(t.Deferrable).flow(t, now)
	w := &waiter{ticket: t, flow: f, enqueued: now, result: make(chan error, 1)}
	if err := q.checkWait(w, len(f.queue), now); err != nil {
		return nil, err
	}
	if !q.makeRoom(w) {
		return nil, q.refusal("the queue is full", q.expectedWait(f, len(f.queue)))
	}
	f.queue = append(f.queue, w)
	q.queued++
	q.queuedBytes += t.Bytes
	q.dispatch(now)
	return w, nil
}

// setDefaults sets the defaults on first use. The caller holds the lock.
func (q *Queuer) setDefaults() {
	if q.urgent.flows != nil {
		return
	}
	q.urgent = class{flows: map[string]*flow{}}
	q.deferrable = class{flows: map[string]*flow{}}
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

func (q *Queuer) classes() [2]*class { return [2]*class{&q.urgent, &q.deferrable} }

func (q *Queuer) class(deferrable bool) *class {
	if deferrable {
		return &q.deferrable
	}
	return &q.urgent
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
		q.release(w)()
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

// makeRoom reports whether the ticket fits, if need be after refusing the last
// tickets of flows with more work queued. The caller holds the lock.
func (q *Queuer) makeRoom(w *waiter) bool {
	for q.queued >= q.MaxTickets || q.queuedBytes+w.ticket.Bytes > q.MaxBytes {
		f := q.largestBacklog()
		if f == nil || f == w.flow || f.backlog(q.expectedCost()) <= w.flow.backlog(q.expectedCost())+w.flow.costOr(q.expectedCost()) {
			return false
		}
		last := f.queue[len(f.queue)-1]
		q.refuse(last, "the queue is full", q.expectedWait(f, len(f.queue)))
	}
	return true
}

func (q *Queuer) largestBacklog() *flow {
	var largest *flow
	for _, c := range q.classes() {
		for _, f := range c.flows {
			if largest == nil || f.backlog(q.expectedCost()) > largest.backlog(q.expectedCost()) {
				largest = f
			}
		}
	}
	if largest == nil || len(largest.queue) == 0 {
		return nil
	}
	return largest
}

// outcome converts a waiter's result to that of Acquire.
func (q *Queuer) outcome(w *waiter, err error) (func(), error) {
	if err != nil {
		return nil, err
	}
	return q.release(w), nil
}

// release returns the function that releases a slot.
func (q *Queuer) release(w *waiter) func() {
	start := time.Now()
	return sync.OnceFunc(func() {
		q.mu.Lock()
		defer q.mu.Unlock()
		q.finish(w, time.Since(start).Seconds())
		q.dispatch(time.Now())
	})
}
