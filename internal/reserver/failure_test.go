package reserver

import (
	"context"
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/zinniaproxy/zinniaproxy/internal/admitter"
	"github.com/zinniaproxy/zinniaproxy/internal/exithandler"
	"github.com/zinniaproxy/zinniaproxy/internal/linker"
	"github.com/zinniaproxy/zinniaproxy/internal/messenger"
	"github.com/zinniaproxy/zinniaproxy/pkg/coder"
)

// booking returns a non-idempotent call with a latency objective.
func booking(id string) *messenger.Call {
	return &messenger.Call{ID: id, Rank: 2, Once: true, RelaxRiskLimit: true, Aim: 4 * time.Second, Timeout: 10 * time.Second}
}

// Guards against a slot that leaks, or a place that stays in the queue, when the
// entry node terminates or the link is reset, before the grant and after it.
func TestEntryNodeTerminates(t *testing.T) {
	runFleet(t, 2, 1, func(c *qt.C, f *fleet) {
		full, free := f.exits[0], f.exits[1]
		f.fill(full, 300*ms)
		_ = f.acquire(requests(booking("a"), full))
		time.Sleep(50 * ms)
		c.Assert((<-f.acquire(requests(booking("b"), free))).err, qt.IsNil)
		c.Assert([]int{full.load().Queue, free.load().InFlight}, qt.DeepEquals, []int{1, 1})
		f.network.Kill("entry")
		time.Sleep(5 * ms)
		c.Check([]int{full.load().Queue, free.load().InFlight}, qt.DeepEquals, []int{0, 0})
		c.Check(full.admitter.ReservationCounts().Withdrawn+free.admitter.ReservationCounts().Withdrawn, qt.Equals, int64(2))
		c.Check(full.runCount("a")+free.runCount("b"), qt.Equals, 0)
	})
}

// Guards against a slot that stays idle for a paused entry node, against a late
// call that is run beyond the limit, and against one that runs twice.
func TestEntryNodePausesAfterGrant(t *testing.T) {
	runFleet(t, 1, 1, func(c *qt.C, f *fleet) {
		x := f.exits[0]
		call := booking("a")
		got := <-f.acquire(requests(call, x))
		c.Assert(got.err, qt.IsNil)
		time.Sleep(240 * ms)
		c.Check(x.load().InFlight, qt.Equals, 1)
		time.Sleep(20 * ms)
		c.Check(x.load().InFlight, qt.Equals, 0)
		expired := x.event("reservation-expired")
		c.Check(expired.Attempt, qt.Equals, "a")
		c.Check(expired.Rank, qt.Equals, 2)
		time.Sleep(20 * time.Second)
		f.fill(x, 300*ms)
		call.Reservation = got.id
		begin := time.Now()
		c.Assert(f.call(f.t.Context(), x, *call), qt.IsNil)
		c.Check(time.Since(begin) > 380*ms, qt.IsTrue, qt.Commentf("it did not queue: %v", time.Since(begin)))
		c.Check(coder.Of(f.call(f.t.Context(), x, *call)).Code, qt.Equals, coder.Repeated)
		c.Check(x.event("call-sent").Wait > 280, qt.IsTrue)
	})
}

// Guards against a request that fails, or is told that it may have run, when one of
// the exit nodes that it waits at terminates.
func TestExitNodeTerminates(t *testing.T) {
	runFleet(t, 2, 1, func(c *qt.C, f *fleet) {
		f.fill(f.exits[0], 500*ms)
		f.fill(f.exits[1], 500*ms)
		both, single := f.acquire(requests(booking("a"), f.exits...)), f.acquire(requests(booking("b"), f.exits[0]))
		time.Sleep(50 * ms)
		f.network.Kill("x0")
		lost := <-single
		c.Check(linker.IsLinkLost(lost.err), qt.IsTrue)
		c.Check(coder.Of(lost.err).Ran(), qt.Equals, coder.RanNo)
		got := <-both
		c.Assert(got.err, qt.IsNil)
		c.Check(got.granted.Target.Node, qt.Equals, "x1")
		c.Check(f.exits[0].runCount("b")+f.exits[0].runCount("a"), qt.Equals, 0)
	})
}

// Guards against a reservation that waits for a target which leaves.
func TestTargetLeaves(t *testing.T) {
	runFleet(t, 3, 1, func(c *qt.C, f *fleet) {
		for _, x := range f.exits {
			f.fill(x, time.Second)
		}
		elsewhere, single := f.acquire(requests(booking("a"), f.exits...)), f.acquire(requests(booking("b"), f.exits[0]))
		time.Sleep(50 * ms)
		c.Check(f.exits[2].load().Queue, qt.Equals, 0)
		for _, x := range f.exits[:2] {
			x.leave(coder.New(coder.TargetLeaving, "").WithAfter(time.Second))
		}
		refused := <-single
		c.Check(coder.Of(refused.err).Code, qt.Equals, coder.TargetLeaving)
		c.Check(refused.took < 200*ms, qt.IsTrue, qt.Commentf("%v", refused.took))
		c.Check(f.exits[0].event("reservation-refused").Code, qt.Equals, int(coder.TargetLeaving))
		got := <-elsewhere
		c.Assert(got.err, qt.IsNil)
		c.Check(got.granted.Target.Node, qt.Equals, "x2")
	})
}

// Guards against a reservation that is refused as soon as the circuit breaker
// opens, while it can still meet its objective, and against one that waits beyond
// it. A call that is pushed is refused at once.
func TestBreakerOpens(t *testing.T) {
	runFleet(t, 1, 50, func(c *qt.C, f *fleet) {
		x := f.exits[0]
		send := func(id string) error {
			return f.call(f.t.Context(), x, messenger.Call{ID: id, RelaxRiskLimit: true, Timeout: time.Minute})
		}
		for i := range 20 {
			c.Assert(send("before-"+strconv.Itoa(i)), qt.IsNil)
		}
		x.setWork(func(context.Context) { time.Sleep(time.Hour) })
		for i := range 16 { // trial calls keep the target from being idle
			time.AfterFunc(time.Duration(i/4)*1600*ms, func() { _ = send("hangs-" + strconv.Itoa(i)) })
		}
		time.Sleep(time.Second)
		c.Assert(x.admitter.Risk(x.target.Name) > breakerOpenRisk, qt.IsTrue)
		begin := time.Now()
		c.Check(coder.Of(f.call(f.t.Context(), x, *booking("pushed"))).Code, qt.Equals, coder.Suspect)
		c.Check(time.Since(begin) < 10*ms, qt.IsTrue)
		got := <-f.acquire(requests(booking("a"), x))
		c.Check(coder.Of(got.err).Code, qt.Equals, coder.Suspect)
		c.Check(coder.Of(got.err).Ran(), qt.Equals, coder.RanNo)
		c.Check(got.took > 3*time.Second && got.took < 4200*ms, qt.IsTrue, qt.Commentf("%v", got.took))
		refused := x.event("reservation-refused")
		c.Check(refused.Code, qt.Equals, int(coder.Suspect))
		c.Check(refused.Wait > 3000 && refused.Rank == 2, qt.IsTrue, qt.Commentf("%+v", refused))
		c.Check(x.runCount("a"), qt.Equals, 0)
		time.Sleep(time.Hour)
	})
}

// breakerOpenRisk is a risk at which no non-idempotent call is admitted.
const breakerOpenRisk = 0.7

// Guards against a grant that is lost with its link, and keeps its slot or makes
// the entry node believe that the request has run.
func TestGrantIsLost(t *testing.T) {
	runFleet(t, 1, 1, func(c *qt.C, f *fleet) {
		x := f.exits[0]
		f.fill(x, 300*ms)
		lost := f.acquire(requests(booking("a"), x))
		time.Sleep(50 * ms)
		f.network.Silence("entry", "x0")
		time.Sleep(300 * ms)
		c.Check(x.load().InFlight, qt.Equals, 1) // granted
		time.Sleep(250 * ms)
		c.Check(x.load().InFlight, qt.Equals, 0)
		got := <-lost
		c.Check(linker.IsLinkLost(got.err), qt.IsTrue)
		c.Check(coder.Of(got.err).Ran(), qt.Equals, coder.RanNo)
		c.Check(x.runCount("a"), qt.Equals, 0)
	})
}

// Guards against a second slot that is kept when both exit nodes grant, and against
// one that is asked for although a target has a free slot.
func TestBothExitNodesGrant(t *testing.T) {
	runFleet(t, 2, 1, func(c *qt.C, f *fleet) {
		call := booking("a")
		got := <-f.acquire(requests(call, f.exits...))
		c.Assert(got.err, qt.IsNil)
		time.Sleep(4 * linkDelay)
		c.Check(f.exits[0].load().InFlight+f.exits[1].load().InFlight, qt.Equals, 1)
		x, other := f.exits[0], f.exits[1]
		if got.granted.Target.Node == "x1" {
			x, other = other, x
		}
		time.Sleep(200 * ms)
		call.Reservation = got.id
		x.setWork(func(context.Context) { time.Sleep(time.Second) })
		ended := make(chan error, 1)
		go func() { ended <- f.call(f.t.Context(), x, *call) }()
		time.Sleep(500 * ms) // beyond the time for which the slot was held
		c.Check(x.load().InFlight, qt.Equals, 1)
		c.Assert(<-ended, qt.IsNil)
		c.Check([]int{x.runCount("a"), other.runCount("a")}, qt.DeepEquals, []int{1, 0})
		free := requests(booking("b"), x, other)
		free[1].FreeSlot = true
		c.Check((<-f.acquire(free)).granted.Target.Name, qt.Equals, other.target.Name)
		c.Check(x.admitter.ReservationCounts().Granted+other.admitter.ReservationCounts().Granted, qt.Equals, int64(3))
	})
}

// Guards against a second slot that is kept because its grant arrived before the
// withdrawal.
func TestSecondGrantIsWithdrawn(t *testing.T) {
	runFleet(t, 1, 2, func(c *qt.C, f *fleet) {
		x := f.exits[0]
		late := *x.server
		late.Reserve = func(ctx context.Context, entry string, j *exithandler.Job) (*admitter.Reservation, error) {
			time.Sleep(10 * ms)
			return x.admitter.Reserve(context.WithoutCancel(ctx), entry, j)
		}
		local := &Client{Self: "x0", Local: &late}
		_, _, err := local.Acquire(f.t.Context(), requests(booking("a"), x, x))
		c.Assert(err, qt.IsNil)
		time.Sleep(ms)
		c.Check(x.admitter.ReservationCounts().Granted, qt.Equals, int64(2))
		c.Check(x.load().InFlight, qt.Equals, 1)
	})
}

// Guards against a call that takes the slot of another entry node's reservation,
// and against one of the exit node itself that does not get its own.
func TestReservationBelongsToItsEntryNode(t *testing.T) {
	runFleet(t, 1, 1, func(c *qt.C, f *fleet) {
		x, call := f.exits[0], booking("own")
		local := &Client{Self: "x0", Local: x.server}
		_, id, err := local.Acquire(f.t.Context(), requests(call, x))
		c.Assert(err, qt.IsNil)
		foreign := booking("foreign")
		foreign.Reservation, call.Reservation = id, id
		ended := make(chan error, 1)
		go func() { ended <- f.call(f.t.Context(), x, *foreign) }()
		time.Sleep(50 * ms)
		c.Check(x.load().Queue, qt.Equals, 1)
		call.Target, call.Epoch = x.target.Name, x.target.Epoch
		response := (&exithandler.Local{Serve: x.handler.Serve}).Open(f.t.Context(), call)
		defer response.Close()
		_, _, _, err = response.Recv(f.t.Context())
		c.Check(err, qt.IsNil)
		c.Check(<-ended, qt.IsNil)
		c.Check(x.admitter.ReservationCounts().Expired, qt.Equals, int64(0))
	})
}
