package queuer

import (
	"math"
	"slices"
	"time"

	"github.com/zinniaproxy/zinniaproxy/pkg/coder"
)

// dispatch gives out free slots in the order of the classes, and in fair order
// within each. The caller holds the lock, as for all functions of this file but
// prune.
func (q *Queuer) dispatch(now time.Time) {
	limit := q.Limit()
	for q.inFlight < limit {
		f := q.next(limit, now)
		if f == nil {
			return
		}
		w := f.first()
		if err := q.checkDeadline(w, 0, now); err != nil {
			q.remove(w)
			w.result <- err
			continue
		}
		if q.postpone(w) == nil {
			q.start(w, now)
		}
	}
}

// postpone asks a ticket whether it must not start now, and records the
// answer.
func (q *Queuer) postpone(w *waiter) (err error) {
	if w.ticket.Postpone != nil {
		err = w.ticket.Postpone()
		w.flow.setPostponed(w, err != nil)
	}
	return err
}

// next returns the flow to serve, or nil: of the most urgent class, unless the
// minimum share of a less urgent one is due.
func (q *Queuer) next(limit int, now time.Time) *flow {
	eligible := func(f *flow) bool { return q.mayStart(f, limit, now) }
	var first *flow
	for _, c := range q.classes {
		f := c.next(eligible)
		switch {
		case f == nil:
		case first == nil:
			first = f
		case c.debt >= f.costOr(q.expectedCost()):
			return f
		}
	}
	return first
}

// setCompetitors records the other classes with tickets that could start when a
// waiter does.
func (q *Queuer) setCompetitors(w *waiter) {
	for _, c := range q.classes {
		order := c.priority.compare(w.flow.class.priority)
		if order == 0 || c.startable() == 0 {
			continue
		}
		if order < 0 {
			w.contested = true
		} else {
			w.yielding = append(w.yielding, c)
		}
	}
}

// updateDebts accounts for slot time of one class while others had tickets queued
// too.
func (q *Queuer) updateDebts(w *waiter, work float64) {
	if w.contested {
		w.flow.class.debt -= work
	}
	for _, c := range w.yielding {
		c.debt += work * minShareRatio
	}
	for _, c := range q.classes {
		if c.queued == 0 {
			c.debt = 0
		}
	}
}

// mayStart reports whether a flow may start a request. A slot that is taken
// cannot be taken back, so while quick flows are active, slow flows leave them
// the slots that they use on average and some deviations of that. A slow flow
// always keeps its fair share.
func (q *Queuer) mayStart(f *flow, limit int, now time.Time) bool {
	if !q.isSlow(f, now) {
		return true
	}
	quickWeight := q.activeQuickWeight(f, now)
	if quickWeight == 0 {
		return true
	}
	fairSlots := math.Ceil(float64(limit) * f.weight / (f.weight + quickWeight))
	spareSlots := float64(limit) - math.Ceil(q.quickSlots+quickSlotDeviations*math.Sqrt(q.quickSlots))
	return float64(q.slowSlots(now)) < max(fairSlots, spareSlots)
}

// isSlow reports whether a flow's requests hold their slot for long, by its
// mean cost or by the age of one that runs.
func (q *Queuer) isSlow(f *flow, now time.Time) bool {
	if q.medianCost == 0 {
		return false
	}
	return f.meanCost > slowCostFactor*q.medianCost || f.oldestAge(now) > seconds(slowAgeFactor*q.medianCost)
}

// slowSlots returns how many slots slow flows hold.
func (q *Queuer) slowSlots(now time.Time) int {
	held := 0
	for _, c := range q.classes {
		for _, f := range c.flows {
			if q.isSlow(f, now) {
				held += len(f.running)
			}
		}
	}
	return held
}

// activeQuickWeight returns the sum of the weights of the other flows that are
// active and not slow. Flows of lower ranks are left out: no slots are reserved
// for them.
func (q *Queuer) activeQuickWeight(f *flow, now time.Time) float64 {
	sum := 0.0
	for _, c := range q.classes {
		if !c.priority.deferrable && c.priority.compare(f.class.priority) > 0 {
			break
		}
		for _, g := range c.flows {
			if g != f && now.Sub(g.lastTicket) < activeWindow && !q.isSlow(g, now) {
				sum += g.weight
			}
		}
	}
	return sum
}

// updateQuickSlots updates quickSlots and lastSlotChange. It is called before
// each change of the slots.
func (q *Queuer) updateQuickSlots(now time.Time) {
	fraction := 1 - math.Exp(-float64(now.Sub(q.lastSlotChange))/float64(activeWindow))
	q.quickSlots += (float64(q.inFlight-q.slowSlots(now)) - q.quickSlots) * fraction
	q.lastSlotChange = now
}

// start gives a waiter its slot and charges the expected cost to its flow.
func (q *Queuer) start(w *waiter, now time.Time) {
	f, c := w.flow, w.flow.class
	q.remove(w)
	q.updateQuickSlots(now)
	c.virtualTime = f.startTag()
	w.chargedCost = f.costOr(q.expectedCost())
	f.finishTag = max(f.finishTag, c.virtualTime) + w.chargedCost/f.weight
	q.setCompetitors(w)
	q.updateDebts(w, w.chargedCost)
	w.started = now
	f.running = append(f.running, w)
	q.inFlight++
	if w.ticket.Started != nil {
		w.ticket.Started()
	}
	w.result <- nil
}

// finish releases a slot and corrects the charge to the actual cost. The time of
// a slot that was not used says nothing about the cost of requests.
func (q *Queuer) finish(w *waiter, heldSeconds float64, used bool) {
	f := w.flow
	q.updateQuickSlots(time.Now())
	f.finishTag += (heldSeconds - w.chargedCost) / f.weight
	q.updateDebts(w, heldSeconds-w.chargedCost)
	f.running = slices.DeleteFunc(f.running, func(r *waiter) bool { return r == w })
	q.inFlight--
	if used {
		f.recordCost(heldSeconds)
		q.recordCost(heldSeconds)
	}
}

func (q *Queuer) recordCost(heldSeconds float64) {
	if q.meanCost == 0 {
		q.meanCost = heldSeconds
	}
	q.meanCost += (heldSeconds - q.meanCost) / (4 * costSmoothing)
	if now := time.Now(); q.medianCost == 0 || now.Sub(q.lastMedianUpdate) >= medianCostInterval {
		q.lastMedianUpdate = now
		q.updateMedianCost()
	}
}

// updateMedianCost updates medianCost and the credit of all classes.
func (q *Queuer) updateMedianCost() {
	var costs []float64
	for _, c := range q.classes {
		c.credit = creditRequests * q.meanCost
		for _, f := range c.flows {
			if f.meanCost > 0 {
				costs = append(costs, f.meanCost)
			}
		}
	}
	if len(costs) == 0 {
		return // no request has held a slot for any time yet
	}
	slices.Sort(costs)
	q.medianCost = costs[(len(costs)-1)/2]
}

// expectedCost returns the mean cost in seconds over all requests.
func (q *Queuer) expectedCost() float64 {
	if q.meanCost == 0 {
		return initialCostSeconds
	}
	return q.meanCost
}

// expectedWait returns how long a ticket with a number of tickets of its own flow
// before it will wait if no others arrive: the work that is served before it,
// divided by the slots. More urgent classes count with all of their work, but at
// most with what the minimum share of the ticket's class leaves them meanwhile.
func (q *Queuer) expectedWait(f *flow, position int) time.Duration {
	cost, limit := q.expectedCost(), q.Limit()
	if q.inFlight < limit && q.startable() == 0 {
		return 0
	}
	work := f.class.workBefore(f, float64(position)*f.costOr(cost), cost)
	urgentWork := 0.0
	for _, c := range q.moreUrgent(f.class) {
		urgentWork += c.backlog(cost)
	}
	work += min(urgentWork, (work+f.costOr(cost))/minShareRatio)
	return seconds(work / float64(limit))
}

// place returns how many tickets are served before a new ticket of a flow, if no
// others arrive. Minimum shares of less urgent classes are left out.
func (q *Queuer) place(f *flow) int {
	cost, position := q.expectedCost(), f.startable()
	n := position + f.class.ticketsBefore(f, float64(position)*f.costOr(cost), cost)
	for _, c := range q.moreUrgent(f.class) {
		n += c.startable()
	}
	return n
}

// moreUrgent returns the classes that are more urgent than one.
func (q *Queuer) moreUrgent(c *class) []*class {
	return q.classes[:slices.Index(q.classes, c)]
}

// startable returns how many queued tickets are not postponed.
func (q *Queuer) startable() (n int) {
	for _, c := range q.classes {
		n += c.startable()
	}
	return n
}

// checkWait returns the refusal of a ticket that must not wait or whose slot is
// not expected in time, or nil. A ticket that may be postponed waits for a target
// that hangs until its time has passed.
func (q *Queuer) checkWait(w *waiter, position int, now time.Time) error {
	if w.ticket.Refuse != nil {
		if err := w.ticket.Refuse(); err != nil {
			return err
		}
	}
	postponed := q.postpone(w)
	if w.ticket.Postpone == nil && q.stalled(now) {
		return q.refusal("the target is stalled", minStallTime)
	}
	wait := q.expectedWait(w.flow, position)
	if now.Sub(w.enqueued)+wait > q.maxWait(w.ticket) {
		if postponed != nil {
			return postponed
		}
		return q.refusal("the expected wait exceeds the queue timeout", wait)
	}
	return q.checkDeadline(w, wait, now)
}

// maxWait returns how long a ticket may wait.
func (q *Queuer) maxWait(t Ticket) time.Duration {
	switch {
	case t.MaxWait > 0:
		return t.MaxWait
	case t.Deferrable:
		return q.DeferrableTimeout
	}
	return q.Timeout
}

// checkDeadline returns the refusal of a ticket that would start too late to be
// done by its deadline, or nil. A request is expected to take up to twice the
// flow's mean; a ticket that has half of its time left at its start is never
// refused.
func (q *Queuer) checkDeadline(w *waiter, wait time.Duration, now time.Time) error {
	deadline := w.ticket.Deadline
	if deadline.IsZero() {
		return nil
	}
	if !now.Before(deadline) {
		return coder.New(coder.DeadlineBefore, "in the queue of the target")
	}
	required := min(seconds(2*w.flow.meanCost), deadline.Sub(w.enqueued)/2)
	if now.Add(wait + required).After(deadline) {
		return q.refusal("no slot is expected in time for the deadline", wait)
	}
	return nil
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}

// stalled reports whether all slots are taken and none was taken or released
// for long.
func (q *Queuer) stalled(now time.Time) bool {
	bound := seconds(stallCostFactor * q.expectedCost())
	return q.inFlight >= q.Limit() && now.Sub(q.lastSlotChange) > max(bound, minStallTime)
}

func (q *Queuer) refusal(reason string, retryAfter time.Duration) error {
	return coder.New(coder.QueueTimeout, "%s", reason).WithAfter(max(retryAfter, time.Millisecond))
}

func (q *Queuer) refuse(w *waiter, reason string, retryAfter time.Duration) {
	q.remove(w)
	w.result <- q.refusal(reason, retryAfter)
}

// prune refuses the queued tickets whose slot is no longer expected in time,
// for example because the limit shrank.
func (q *Queuer) prune() {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	if now.Sub(q.lastPrune) < minPruneInterval {
		return
	}
	q.lastPrune = now
	for _, c := range q.classes {
		for _, f := range c.flows {
			q.pruneFlow(f, now)
		}
	}
	q.dropIdle(now)
	q.dispatch(now)
}

func (q *Queuer) pruneFlow(f *flow, now time.Time) {
	position := 0
	for _, w := range slices.Clone(f.queue) {
		if err := q.checkWait(w, position, now); err != nil {
			q.remove(w)
			w.result <- err
			continue
		}
		if !w.postponed {
			position++
		}
	}
}
