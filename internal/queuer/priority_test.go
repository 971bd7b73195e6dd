package queuer

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/zinniaproxy/zinniaproxy/pkg/coder"
)

// stream is one kind of requests of one workspace, which arrive at random.
type stream struct {
	ticket Ticket
	// perSecond is the mean rate.
	perSecond float64
	// maxWait bounds the time that any request waits for its slot; none is refused
	// then. A stream without maxWait is only load.
	maxWait time.Duration
}

// run sends the requests of a stream for a duration, which hold their slot for 50
// to 150 ms. It returns the requests, the refused ones and the longest wait.
func (s stream) run(q *Queuer, seed uint64, duration time.Duration) (sent, refused int, longest time.Duration) {
	random := rand.New(rand.NewPCG(seed, 1))
	var mu sync.Mutex
	var running sync.WaitGroup
	for end := time.Now().Add(duration); ; sent++ {
		time.Sleep(time.Duration(random.ExpFloat64() / s.perSecond * float64(time.Second)))
		if time.Now().After(end) {
			break
		}
		hold := 50*ms + time.Duration(random.Int64N(int64(100*ms)))
		running.Go(func() {
			begin, t := time.Now(), s.ticket
			t.Deadline = begin.Add(10 * time.Second)
			release, err := q.Acquire(context.Background(), t)
			wait := time.Since(begin)
			if err == nil {
				time.Sleep(hold)
				release()
			}
			mu.Lock()
			defer mu.Unlock()
			if longest = max(longest, wait); err != nil {
				refused++
			}
		})
	}
	running.Wait()
	return sent, refused, longest
}

// The target serves 40 requests per second. Guards against urgent and inner
// requests that wait as long as a burst of others, of the same workspace too, and
// against a workspace that pushes others of its rank aside.
func TestBurstDelaysOnlyLessUrgent(t *testing.T) {
	workspace := func(name string, rank int) Ticket { return Ticket{Workspace: name, Rank: rank} }
	inner := Ticket{Workspace: "a", Rank: 2, Inner: true}
	for name, streams := range map[string][]stream{
		"least urgent kind at 2.5 times its rate": {
			{ticket: workspace("a", 1), perSecond: 10, maxWait: 300 * ms},
			{ticket: workspace("a", 2), perSecond: 10, maxWait: 600 * ms},
			{ticket: workspace("a", 3), perSecond: 2.5 * 16},
		},
		"inner requests among twice as many outer ones as can be served": {
			{ticket: inner, perSecond: 12, maxWait: 300 * ms},
			{ticket: workspace("a", 2), perSecond: 80},
		},
		"one workspace at 8 times its rate": {
			{ticket: workspace("a", 1), perSecond: 4, maxWait: 300 * ms},
			{ticket: workspace("a", 3), perSecond: 8 * 10},
			{ticket: workspace("b", 2), perSecond: 8, maxWait: 300 * ms},
			{ticket: workspace("b", 3), perSecond: 4, maxWait: 1200 * ms},
		},
	} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(c *qt.C) {
				q := &Queuer{Limit: func() int { return 4 }}
				var running sync.WaitGroup
				for i, s := range streams {
					running.Go(func() {
						sent, refused, longest := s.run(q, uint64(i), time.Minute)
						c.Logf("rank %d of %s (inner %v): %d sent, %d refused, waited up to %v", s.ticket.Rank, s.ticket.Workspace, s.ticket.Inner, sent, refused, longest)
						if s.maxWait > 0 {
							c.Check(longest <= s.maxWait, qt.IsTrue)
							c.Check(refused, qt.Equals, 0)
						}
					})
				}
				running.Wait()
			})
		})
	}
}

// Each of three ranks sends twice what can be served. Guards against a rank that
// gets nothing while more urgent ones have requests waiting.
func TestLowerRankKeepsMinimumShare(t *testing.T) {
	inBubble(t, func(c *qt.C) {
		q := &Queuer{Limit: singleSlot}
		var good []int
		var sent []*tally
		for rank := range 3 {
			sent = append(sent, send(q, Ticket{Rank: rank, MaxWait: 5 * time.Second}, 1000, 10*ms, 20*ms, 8*time.Second))
		}
		advance(9900 * ms)
		for _, s := range sent {
			good = append(good, s.snapshot().good)
		}
		c.Check(good[1] >= 40 && good[2] >= 40 && good[0] >= 370, qt.IsTrue, qt.Commentf("%v of 495", good))
		advance(20 * time.Second)
	})
}

// A ticket counts only what is served before it, waits for its own time, and makes
// room by refusing the least urgent ones.
func TestUrgentTicketIgnoresLessUrgentOnes(t *testing.T) {
	inBubble(t, func(c *qt.C) {
		q := &Queuer{Limit: singleSlot, Timeout: 400 * ms, MaxTickets: 10}
		send(q, Ticket{}, 1, 0, 100*ms, time.Minute)
		advance(200 * ms) // the mean cost is known now
		low := send(q, Ticket{Rank: 3, MaxWait: 5 * time.Second}, 11, 0, 100*ms, time.Minute)
		advance(ms)
		c.Check(low.snapshot().refused, qt.Equals, 0)
		late := send(q, Ticket{Rank: 3}, 1, 0, 100*ms, time.Minute)
		advance(ms)
		c.Check(late.snapshot().err.Code, qt.Equals, coder.QueueTimeout)
		c.Check(late.snapshot().err.After, qt.Equals, 1000*ms)
		urgent := send(q, Ticket{Rank: 1}, 3, 0, 100*ms, time.Minute)
		advance(ms)
		c.Check([]int{low.snapshot().refused, urgent.snapshot().refused}, qt.DeepEquals, []int{3, 0})
		slot, err := q.AcquireSlot(c.Context(), Ticket{Rank: 2, Inner: true, MaxWait: 30 * ms})
		c.Assert(err, qt.IsNotNil)
		c.Check(slot.Place, qt.Equals, 0)
		c.Check(slot.Waited > 30*ms && slot.Waited <= 90*ms, qt.IsTrue, qt.Commentf("%v", slot.Waited))
		advance(300*ms - slot.Waited)
		c.Check([]int{low.snapshot().good, urgent.snapshot().good}, qt.DeepEquals, []int{1, 2})
		advance(5 * time.Second)
	})
}
