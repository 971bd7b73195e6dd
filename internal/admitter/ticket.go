package admitter

import (
	"context"
	"time"

	"github.com/zinniaproxy/zinniaproxy/internal/exithandler"
	"github.com/zinniaproxy/zinniaproxy/internal/queuer"
)

// Ranks is how many ranks are counted apart; the last one stands for all that are
// less urgent too.
const Ranks = 8

// minMaxWait is the waiting time of a call that is not expected to be done by its
// deadline even if it starts at once.
const minMaxWait = time.Millisecond

// ticket returns the ticket of a job's call.
func (s *targetState) ticket(j *exithandler.Job) queuer.Ticket {
	c := j.Call
	t := queuer.Ticket{
		Workspace: c.Workspace, Weight: c.Weight, Rank: c.Rank, Inner: c.Inner, Deferrable: c.Wait,
		Deadline: j.Deadline, Bytes: len(c.Body),
	}
	if c.Aim > 0 {
		t.MaxWait = maxWait(t, c.Aim, s.queue.MeanCost(t), time.Until(j.Deadline))
	}
	return t
}

// maxWait returns how long a call with a latency objective may wait so that it is
// expected to be done within the objective, or else for the timeout that calls
// without an objective have. It is always expected to be done by its deadline.
func maxWait(t queuer.Ticket, objective, meanCost, left time.Duration) time.Duration {
	timeout := queuer.DefaultTimeout
	if t.Deferrable {
		timeout = queuer.DefaultDeferrableTimeout
	}
	return max(min(max(objective-meanCost, timeout), left-meanCost), minMaxWait)
}

// acquireSlot takes the slot that a job's call has reserved, or waits for one.
func (a *Admitter) acquireSlot(ctx context.Context, s *targetState, j *exithandler.Job) (queuer.Slot, error) {
	if slot, ok := a.takeReserved(exithandler.EntryOf(ctx), s, j); ok {
		return slot, nil
	}
	t := s.ticket(j)
	t.Refuse = firstRefusal(j.CheckLeaving, a.breakerCheck(j))
	return a.awaitSlot(ctx, s, j, t)
}

// firstRefusal returns a function that returns the first error of the given checks, of
// which any may be nil.
func firstRefusal(checks ...func() error) func() error {
	return func() error {
		for _, check := range checks {
			if check == nil {
				continue
			}
			if err := check(); err != nil {
				return err
			}
		}
		return nil
	}
}

// awaitSlot waits for a slot with a ticket of a job, and records the ticket's place
// and wait in the job.
func (a *Admitter) awaitSlot(ctx context.Context, s *targetState, j *exithandler.Job, t queuer.Ticket) (queuer.Slot, error) {
	slot, err := s.queue.AcquireSlot(ctx, t)
	j.Place, j.Wait = slot.Place, slot.Waited
	if err == nil {
		a.granted[min(max(t.Rank, 0), Ranks-1)].Add(1)
	}
	return slot, err
}

// GrantedSlots returns how many slots were given out to tickets of a rank, below
// Ranks.
func (a *Admitter) GrantedSlots(rank int) int64 { return a.granted[rank].Load() }

// WaitingTickets returns how many tickets of each rank are queued now.
func (a *Admitter) WaitingTickets() (byRank [Ranks]int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, s := range a.targets {
		s.queue.AddWaiting(byRank[:])
	}
	return byRank
}
