package queuer

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// priority orders the classes of a queue.
type priority struct {
	deferrable, outer bool
	rank              int
}

// priority returns the priority of a ticket. An inner ticket is never deferrable:
// while it waits, its outer request holds a slot.
func (t Ticket) priority() priority {
	return priority{deferrable: t.Deferrable && !t.Inner, outer: !t.Inner, rank: t.Rank}
}

// compare is negative if p is more urgent than other: deferrable tickets come
// last, inner ones first, and the others by ascending rank.
func (p priority) compare(other priority) int {
	return cmp.Or(compareBool(p.deferrable, other.deferrable), compareBool(p.outer, other.outer), cmp.Compare(p.rank, other.rank))
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// class holds the flows of all tickets of one priority.
type class struct {
	priority priority
	// virtualTime is the start tag of the flow that was last served. It never
	// decreases.
	virtualTime float64
	// credit is the work in seconds that a flow of weight 1 may run ahead of
	// its share.
	credit float64
	// debt is the slot time in seconds that is due to the class, since more urgent
	// classes were served while it had tickets queued. It is 0 when none is.
	debt  float64
	flows map[string]*flow
	// queued is how many tickets of the class are queued.
	queued int
}

// class returns the class of a priority, creating it if it is new.
func (q *Queuer) class(p priority) *class {
	i, found := slices.BinarySearchFunc(q.classes, p, func(c *class, p priority) int { return c.priority.compare(p) })
	if !found {
		q.classes = slices.Insert(q.classes, i, &class{priority: p, credit: creditRequests * q.meanCost, flows: map[string]*flow{}})
	}
	return q.classes[i]
}

// dropIdle removes the flows that have been idle for longer than
// idleFlowLifetime, and the classes without flows.
func (q *Queuer) dropIdle(now time.Time) {
	q.classes = slices.DeleteFunc(q.classes, func(c *class) bool {
		c.dropIdleFlows(now)
		return len(c.flows) == 0
	})
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

// next returns the flow with the lowest start tag among those that have a ticket
// which may start and are eligible, or nil.
func (c *class) next(eligible func(*flow) bool) *flow {
	var best *flow
	for _, f := range c.flows {
		if f.startable() == 0 || !eligible(f) {
			continue
		}
		if best == nil || f.before(best) {
			best = f
		}
	}
	return best
}

// before orders flows with tickets that may start: by start tag, then by age of
// the first such ticket, then by name.
func (f *flow) before(g *flow) bool {
	if f.startTag() != g.startTag() {
		return f.startTag() < g.startTag()
	}
	a, b := f.first().enqueued, g.first().enqueued
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

// ticketsBefore is workBefore in tickets, without the flow's own.
func (c *class) ticketsBefore(f *flow, ownWork, fallbackCost float64) (n int) {
	for _, g := range c.flows {
		if g != f {
			n += min(g.startable(), int(math.Ceil(ownWork*g.weight/f.weight/g.costOr(fallbackCost))))
		}
	}
	return n
}

// backlog returns the work in seconds that the class has queued.
func (c *class) backlog(fallbackCost float64) float64 {
	work := 0.0
	for _, f := range c.flows {
		work += f.backlog(fallbackCost)
	}
	return work
}

// startable returns how many queued tickets are not postponed.
func (c *class) startable() (n int) {
	for _, f := range c.flows {
		n += f.startable()
	}
	return n
}

// largestBacklog returns the flow with the most work queued of those with a
// ticket that holds bytes, or with any ticket unless needBytes is set.
func (c *class) largestBacklog(needBytes bool, fallbackCost float64) (largest *flow) {
	for _, f := range c.flows {
		if f.last(needBytes) != nil && (largest == nil || f.queuedWork(fallbackCost) > largest.queuedWork(fallbackCost)) {
			largest = f
		}
	}
	return largest
}

// queuedWork returns the work in seconds that the flow has queued, postponed
// tickets included.
func (f *flow) queuedWork(fallbackCost float64) float64 {
	return float64(len(f.queue)) * f.costOr(fallbackCost)
}

// last returns the flow's last ticket that holds bytes, or its last of all
// unless needBytes is set. It is nil if there is none.
func (f *flow) last(needBytes bool) *waiter {
	for _, w := range slices.Backward(f.queue) {
		if !needBytes || w.ticket.Bytes > 0 {
			return w
		}
	}
	return nil
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
