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
	// contested is whether the other class had requests queued at the start.
	contested bool
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
	// running holds the waiters that have a slot, oldest first.
	running []*waiter
	// lastTicket is when the last ticket arrived.
	lastTicket time.Time
}

// class holds the flows of all deferrable requests, or of all urgent ones.
type class struct {
	// virtualTime is the start tag of the flow that was last served. It never
	// decreases.
	virtualTime float64
	// credit is the work in seconds that a flow of weight 1 may run ahead of
	// its share.
	credit float64
	flows  map[string]*flow
}

// startTag returns the virtual time at which the flow's next work would start.
// A flow may run ahead of its share by a small credit, so that one within its
// share is not delayed for a short burst.
func (f *flow) startTag() float64 {
	return max(f.finishTag-f.class.credit/f.weight, f.class.virtualTime)
}

// backlog returns the work in seconds that the flow has queued.
func (f *flow) backlog(fallbackCost float64) float64 {
	return float64(len(f.queue)) * f.costOr(fallbackCost)
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

// remove takes a waiter out of the queue, and reports whether it was queued.
func (f *flow) remove(w *waiter) bool {
	i := slices.Index(f.queue, w)
	if i < 0 {
		return false
	}
	f.queue = slices.Delete(f.queue, i, i+1)
	return true
}

// flow returns the flow of a ticket's workspace, creating it if it is new.
func (c *class) flow(t Ticket, now time.Time) *flow {
	f := c.flows[t.Workspace]
	if f == nil {
		f = &flow{workspace: t.Workspace, class: c}
		c.flows[t.Workspace] = f
	}
	f.weight, f.lastTicket = float64(max(t.Weight, 1)), now
	return f
}

// next returns the flow with the lowest start tag among those that have
// requests queued and are eligible, or nil.
func (c *class) next(eligible func(*flow) bool) *flow {
	var best *flow
	for _, f := range c.flows {
		if len(f.queue) == 0 || !eligible(f) {
			continue
		}
		if best == nil || f.before(best) {
			best = f
		}
	}
	return best
}

// before orders flows with requests queued: by start tag, then by age of the
// first ticket, then by name.
func (f *flow) before(g *flow) bool {
	if f.startTag() != g.startTag() {
		return f.startTag() < g.startTag()
	}
	a, b := f.queue[0].enqueued, g.queue[0].enqueued
	if !a.Equal(b) {
		return a.Before(b)
	}
	return f.workspace < g.workspace
}

// workBefore returns the work in seconds that fair order serves before the flow
// has been served ownWork seconds, including these: each other flow counts with
// its backlog, but at most with what its weight entitles it to meanwhile.
func (c *class) workBefore(f *flow, ownWork, fallbackCost float64) float64 {
	work := ownWork
	for _, g := range c.flows {
		if g != f {
			work += min(g.backlog(fallbackCost), ownWork*g.weight/f.weight)
		}
	}
	return work
}

// backlog returns the work in seconds that the class has queued.
func (c *class) backlog(fallbackCost float64) float64 {
	work := 0.0
	for _, f := range c.flows {
		work += f.backlog(fallbackCost)
	}
	return work
}

// hasQueued reports whether any request of the class is queued.
func (c *class) hasQueued() bool {
	for _, f := range c.flows {
		if len(f.queue) > 0 {
			return true
		}
	}
	return false
}

// dropIdleFlows removes the flows that have been idle for longer than
// idleFlowLifetime.
func (c *class) dropIdleFlows(now time.Time) {
	for k, f := range c.flows {
		if len(f.queue) == 0 && len(f.running) == 0 && now.Sub(f.lastTicket) > idleFlowLifetime {
			delete(c.flows, k)
		}
	}
}
