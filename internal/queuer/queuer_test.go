package queuer

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/zinniaproxy/zinniaproxy/pkg/coder"
)

// tally collects the results of the requests of one send.
type tally struct {
	mu sync.Mutex
	counts
}

// counts are the results so far.
type counts struct {
	good, refused int
	// maxRefusalTime is the longest time from a ticket to its refusal.
	maxRefusalTime time.Duration
	err            *coder.Error
}

func (t *tally) snapshot() counts {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.counts
}

// send starts n requests, one each interval, that keep their slot for hold. It
// returns at once; the tally fills as virtual time passes.
func send(q *Queuer, t Ticket, n int, interval, hold, deadline time.Duration) *tally {
	r := &tally{}
	go func() {
		for range n {
			go func() {
				begin, t := time.Now(), t
				t.Deadline = begin.Add(deadline)
				release, err := q.Acquire(context.Background(), t)
				if err == nil {
					time.Sleep(hold)
					release()
				}
				r.mu.Lock()
				defer r.mu.Unlock()
				if err == nil {
					r.good++
					return
				}
				r.refused++
				r.err, r.maxRefusalTime = coder.Of(err), max(r.maxRefusalTime, time.Since(begin))
			}()
			time.Sleep(interval)
		}
	}()
	return r
}

func singleSlot() int { return 1 }

func inBubble(t *testing.T, f func(c *qt.C)) {
	synctest.Test(t, func(t *testing.T) { f(qt.New(t)) })
}

const ms = time.Millisecond

// advance lets virtual time pass until all goroutines are blocked.
func advance(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

// Each class sends twice as much work as the slot can serve: urgent requests
// get nine tenths, and deferrable ones do not starve.
func TestDeferrableYieldsWithoutStarving(t *testing.T) {
	inBubble(t, func(c *qt.C) {
		q := &Queuer{Limit: singleSlot}
		urgent := send(q, Ticket{Workspace: "a"}, 1000, 10*ms, 20*ms, time.Second)
		deferrable := send(q, Ticket{Workspace: "b", Deferrable: true}, 1000, 10*ms, 20*ms, 5*time.Second)
		advance(9900 * ms)
		c.Check(deferrable.snapshot().good >= 40 && deferrable.snapshot().good <= 60, qt.IsTrue, qt.Commentf("%d of 495", deferrable.snapshot().good))
		c.Check(urgent.snapshot().good >= 430, qt.IsTrue, qt.Commentf("%d of 495", urgent.snapshot().good))
		advance(20 * time.Second)
	})
}

func TestUrgentRunsBeforeQueuedDeferrable(t *testing.T) {
	inBubble(t, func(c *qt.C) {
		q := &Queuer{Limit: singleSlot}
		send(q, Ticket{}, 1, 0, 20*ms, time.Second)
		advance(ms)
		deferrable := send(q, Ticket{Workspace: "w", Deferrable: true}, 1, 0, 20*ms, time.Second)
		advance(ms)
		urgent := send(q, Ticket{Workspace: "u"}, 1, 0, 20*ms, time.Second)
		advance(45 * ms)
		c.Check([]int{urgent.snapshot().good, deferrable.snapshot().good}, qt.DeepEquals, []int{1, 0})
		advance(time.Second)
	})
}

// A ticket whose slot is not expected before its deadline is refused at once,
// with the time after which it would have had its slot.
func TestUnmeetableDeadlineIsRefusedAtOnce(t *testing.T) {
	inBubble(t, func(c *qt.C) {
		q := &Queuer{Limit: singleSlot, Timeout: time.Minute}
		send(q, Ticket{}, 1, 0, 100*ms, time.Minute)
		advance(200 * ms) // the mean cost is known now
		first := send(q, Ticket{}, 10, 0, 100*ms, time.Minute)
		advance(ms)
		late := send(q, Ticket{}, 1, 0, 100*ms, 500*ms)
		advance(ms)
		c.Assert(late.snapshot().refused, qt.Equals, 1)
		c.Check(late.snapshot().maxRefusalTime, qt.Equals, time.Duration(0))
		c.Check(late.snapshot().err.Code, qt.Equals, coder.QueueTimeout)
		c.Check(late.snapshot().err.After, qt.Equals, 900*ms)
		advance(late.snapshot().err.After + 200*ms)
		c.Check(first.snapshot().good, qt.Equals, 10)
		again := send(q, Ticket{}, 1, 0, 100*ms, 500*ms)
		advance(time.Second)
		c.Check(again.snapshot().good, qt.Equals, 1)
	})
}

// When the limit falls, queued tickets whose slot is no longer expected in time
// are refused then, not at their deadline.
func TestLowerLimitRefusesQueuedTickets(t *testing.T) {
	inBubble(t, func(c *qt.C) {
		var limit atomic.Int64
		limit.Store(4)
		q := &Queuer{Limit: func() int { return int(limit.Load()) }, Timeout: time.Minute}
		send(q, Ticket{}, 4, 0, 100*ms, time.Minute)
		advance(200 * ms)
		r := send(q, Ticket{}, 40, 0, 100*ms, 1200*ms)
		advance(ms)
		limit.Store(1)
		advance(200 * ms)
		c.Check(r.snapshot().refused >= 20, qt.IsTrue, qt.Commentf("%d", r.snapshot().refused))
		c.Check(r.snapshot().err.After > 0, qt.IsTrue)
		advance(5 * time.Second)
	})
}

func TestStalledTargetRefusesQueuedTickets(t *testing.T) {
	inBubble(t, func(c *qt.C) {
		q := &Queuer{Limit: singleSlot, Timeout: time.Minute}
		send(q, Ticket{}, 1, 0, time.Hour, time.Minute)
		advance(ms)
		r := send(q, Ticket{}, 1, 0, ms, 30*time.Second)
		advance(1200 * ms)
		c.Check(r.snapshot().refused, qt.Equals, 1)
		advance(2 * time.Hour)
	})
}

func TestQueueMemoryIsBounded(t *testing.T) {
	inBubble(t, func(c *qt.C) {
		q := &Queuer{Limit: singleSlot, MaxTickets: 10, MaxBytes: 100}
		big := send(q, Ticket{Workspace: "a", Bytes: 5}, 30, 0, 10*ms, time.Second)
		advance(ms)
		c.Check(q.State().Queue, qt.Equals, 10)
		c.Check(big.snapshot().refused, qt.Equals, 19)
		// A full queue makes room for a workspace that has less work queued.
		other := send(q, Ticket{Workspace: "b", Bytes: 5}, 1, 0, 10*ms, time.Second)
		advance(ms)
		c.Check([]int{other.snapshot().refused, big.snapshot().refused}, qt.DeepEquals, []int{0, 20})
		huge := send(q, Ticket{Workspace: "c", Bytes: 200}, 1, 0, ms, time.Second)
		advance(2 * time.Second)
		c.Check(huge.snapshot().refused, qt.Equals, 1)
		c.Check(q.State(), qt.Equals, State{Limit: 1})
	})
}

// Checks that no request starts beyond the limit or after its deadline while
// requests come, give up and the limit changes, and that all slots are released
// in the end.
func TestLimitIsNeverExceeded(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		synctest.Test(t, func(*testing.T) {
			var limit, inFlight atomic.Int64
			q := &Queuer{Limit: func() int { return int(limit.Load()) }}
			for range 60 {
				limit.Store(int64(rapid.IntRange(1, 4).Draw(rt, "limit")))
				q.StartQueued()
				ticket := Ticket{
					Workspace:  rapid.SampledFrom([]string{"a", "b", ""}).Draw(rt, "workspace"),
					Weight:     rapid.IntRange(0, 3).Draw(rt, "weight"),
					Deferrable: rapid.Bool().Draw(rt, "deferrable"),
					Deadline:   time.Now().Add(time.Duration(rapid.IntRange(1, 300).Draw(rt, "deadline")) * ms),
				}
				hold := time.Duration(rapid.IntRange(1, 200).Draw(rt, "hold")) * ms
				giveUp := time.Duration(rapid.IntRange(1, 200).Draw(rt, "give up")) * ms
				go func() {
					ctx, cancel := context.WithTimeout(context.Background(), giveUp)
					defer cancel()
					release, err := q.Acquire(ctx, ticket)
					if err != nil {
						return
					}
					if n := inFlight.Add(1); n > limit.Load() || !time.Now().Before(ticket.Deadline) {
						rt.Errorf("%d at limit %d", n, limit.Load())
					}
					time.Sleep(hold)
					inFlight.Add(-1)
					release()
				}()
				synctest.Wait()
				time.Sleep(time.Duration(rapid.IntRange(0, 30).Draw(rt, "pause")) * ms)
				synctest.Wait() // every request with a slot has counted itself
			}
			time.Sleep(time.Minute)
			if s := q.State(); s.Queue != 0 || s.InFlight != 0 {
				rt.Errorf("left over: %+v", s)
			}
		})
	})
}
