package queuer

import (
	"slices"
	"time"
)

// waiter is one ticket in a queue. Its result is sent once, by whoever takes it
// out of the queue, unless its context has ended.
type waiter struct {
	ticket Ticket
	flow   *flow
	// enqueued is when the ticket arrived.
	enqueued time.Time
	// result receives nil for a slot, or the refusal. It has a buffer of one,
	// so that the sender never blocks.
	result chan error
	// chargedCost is the cost in seconds that the flow was charged at the
	// start.
	chargedCost float64
	// contested is whether a more urgent class had tickets that could start when
	// this one did, and yielding holds the less urgent classes that had.
	contested bool
	yielding  []*class
	// postponed is whether Ticket.Postpone kept the ticket from starting when it
	// was last asked.
	postponed bool
	// queued is whether the ticket is in its flow's queue.
	queued bool
	// started is when the ticket got its slot.
	started time.Time
}

// flow is one workspace's queue in one class.
type flow struct {
	workspace string
	class     *class
	weight    float64
	// finishTag is the virtual time at which the flow's charged work ends.
	finishTag float64
	// meanCost is the moving mean of the time in seconds that a request holds a
	// slot; 0 if unknown.
	meanCost float64
	queue    []*waiter
	// postponed is how many waiters in queue are postponed.
	postponed int
	// running holds the waiters that have a slot, oldest first.
	running []*waiter
	// lastTicket is when the last ticket arrived.
	lastTicket time.Time
}

// startTag returns the virtual time at which the flow's next work would start.
// A flow may run ahead of its share by a small credit, so that one within its
// share is not delayed for a short burst.
func (f *flow) startTag() float64 {
	return max(f.finishTag-f.class.credit/f.weight, f.class.virtualTime)
}

// backlog returns the work in seconds that the flow has queued, without
// postponed tickets.
func (f *flow) backlog(fallbackCost float64) float64 {
	return float64(f.startable()) * f.costOr(fallbackCost)
}

// startable returns how many queued tickets are not postponed.
func (f *flow) startable() int { return len(f.queue) - f.postponed }

// first returns the first queued waiter that is not postponed, or nil.
func (f *flow) first() *waiter {
	for _, w := range f.queue {
		if !w.postponed {
			return w
		}
	}
	return nil
}

// costOr returns the flow's mean cost, or fallback when it has none yet.
func (f *flow) costOr(fallback float64) float64 {
	if f.meanCost == 0 {
		return fallback
	}
	return f.meanCost
}

// oldestAge returns how long the flow's oldest running request has held its
// slot.
func (f *flow) oldestAge(now time.Time) time.Duration {
	if len(f.running) == 0 {
		return 0
	}
	return now.Sub(f.running[0].started)
}

// recordCost updates the mean cost with the time that a request held its slot.
func (f *flow) recordCost(heldSeconds float64) {
	if f.meanCost == 0 {
		f.meanCost = heldSeconds
		return
	}
	f.meanCost += (heldSeconds - f.meanCost) / costSmoothing
}

// add puts a waiter at the end of the queue.
func (f *flow) add(w *waiter) {
	f.queue = append(f.queue, w)
	f.class.queued++
	w.queued = true
	if w.postponed {
		f.postponed++
	}
}

// remove takes a waiter out of the queue, and reports whether it was queued.
func (f *flow) remove(w *waiter) bool {
	i := slices.Index(f.queue, w)
	if i < 0 {
		return false
	}
	f.queue = slices.Delete(f.queue, i, i+1)
	f.class.queued--
	w.queued = false
	if w.postponed {
		f.postponed--
	}
	return true
}

// setPostponed records whether a waiter of the flow is postponed.
func (f *flow) setPostponed(w *waiter, postponed bool) {
	switch {
	case !w.queued || w.postponed == postponed:
	case postponed:
		f.postponed++
	default:
		f.postponed--
	}
	w.postponed = postponed
}
