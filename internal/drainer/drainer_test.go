package drainer

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/zinniaproxy/zinniaproxy/internal/messenger"
	"github.com/zinniaproxy/zinniaproxy/pkg/coder"
)

// fixture is a drainer with two targets, "a" and "b"; tests set the state of
// "a" and of the data centre.
type fixture struct {
	*Drainer
	state atomic.Uint32 // of target "a"
	out   atomic.Bool
	// gone means that target "a" is not announced any more.
	gone          atomic.Bool
	peersNotified int
}

func newFixture(t *testing.T) *fixture {
	f := &fixture{}
	f.Drainer = &Drainer{
		Notice: DefaultNotice, FinishTimeout: DefaultFinishTimeout,
		Targets: func() []messenger.Target {
			if f.gone.Load() {
				return []messenger.Target{{Name: "b"}}
			}
			return []messenger.Target{{Name: "a", State: messenger.State(f.state.Load())}, {Name: "b"}}
		},
		CentreOut:   func() bool { return f.out.Load() },
		NotifyPeers: func(context.Context) { f.peersNotified++ }, WithdrawTargets: func() {},
	}
	go func() { _ = f.Run(t.Context()) }()
	return f
}

// lastAdmitted calls target every 10 ms for 5 s. It returns how long after the
// first call the last one was admitted, and the code of the last refusal.
func (f *fixture) lastAdmitted(target string) (last time.Duration, code coder.Code) {
	start := time.Now()
	for time.Since(start) < 5*time.Second {
		done, err := f.Enter(target)
		if err != nil {
			code = coder.Of(err).Code
		} else {
			last = time.Since(start)
			done()
		}
		time.Sleep(10 * time.Millisecond)
	}
	return last, code
}

func TestNoNewCallsAfterNotice(t *testing.T) {
	for _, tc := range []struct {
		name      string
		leave     func(f *fixture)
		code      coder.Code
		otherCode coder.Code
	}{
		{"target", func(f *fixture) { f.state.Store(uint32(messenger.Draining)) }, coder.TargetLeaving, coder.OK},
		{"data centre", func(f *fixture) { f.out.Store(true) }, coder.TargetLeaving, coder.TargetLeaving},
		{"node", func(f *fixture) { go f.Begin(context.Background()) }, coder.NodeLeaving, coder.NodeLeaving},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				f := newFixture(t)
				time.Sleep(time.Second)
				tc.leave(f)
				last, code := f.lastAdmitted("a")
				c.Check(code, qt.Equals, tc.code)
				c.Check(last >= time.Second, qt.IsTrue, qt.Commentf("%v", last))
				c.Check(last <= 3*time.Second, qt.IsTrue, qt.Commentf("%v", last))
				_, code = f.lastAdmitted("b")
				c.Check(code, qt.Equals, tc.otherCode)
			})
		})
	}
}

// Guards against targets without calls for as long as the node beside them takes to
// stop: they stay in use for a while, and leave only then.
func TestTargetsOfStoppingNodeStayInUse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := newFixture(t)
		f.Keep, f.Notice = 1300*time.Millisecond, 500*time.Millisecond
		var withdrawnAt time.Duration
		start := time.Now()
		f.WithdrawTargets = func() {
			withdrawnAt = time.Since(start)
			c.Check(f.TargetsLeave(), qt.IsTrue)
		}
		go f.Begin(context.Background())
		time.Sleep(f.Keep - time.Millisecond)
		c.Check(f.Leaving(), qt.IsTrue)
		c.Check(f.TargetsLeave(), qt.IsFalse)
		last, code := f.lastAdmitted("a")
		c.Check(withdrawnAt, qt.Equals, f.Keep)
		c.Check(last >= f.Notice-10*time.Millisecond && last <= f.Notice+10*time.Millisecond, qt.IsTrue, qt.Commentf("%v after", last))
		c.Check(code, qt.Equals, coder.NodeLeaving)
	})
}

func TestReturningCentreAdmitsCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := newFixture(t)
		f.out.Store(true)
		f.lastAdmitted("a")
		f.out.Store(false)
		time.Sleep(time.Second)
		_, code := f.lastAdmitted("a")
		c.Check(code, qt.Equals, coder.OK)
	})
}

func TestStopWaitsForCallsInFlight(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := newFixture(t)
		start := time.Now()
		done, err := f.Enter("a")
		c.Assert(err, qt.IsNil)
		time.AfterFunc(10*time.Second, done)
		f.Begin(context.Background())
		c.Check(f.Leaving(), qt.IsTrue)
		c.Check(f.InFlight("a"), qt.Equals, 1)
		c.Check(f.Finish(context.Background(), func() bool { return false }), qt.Equals, 0)
		c.Check(time.Since(start).Round(time.Second), qt.Equals, 10*time.Second)
		c.Check(f.peersNotified, qt.Equals, 1)
	})
}

func TestFinishTimesOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := newFixture(t)
		_, err := f.Enter("a")
		c.Assert(err, qt.IsNil)
		start := time.Now()
		c.Check(f.Finish(context.Background(), func() bool { return false }), qt.Equals, 1)
		c.Check(time.Since(start), qt.Equals, DefaultFinishTimeout)
	})
}

// Guards against a call that was admitted, waits and starts at a target that leaves
// meanwhile, also at one that withdraws without a notice.
func TestAdmittedCallsDoNotStartAfterNotice(t *testing.T) {
	for _, tc := range []struct {
		name  string
		leave func(f *fixture)
	}{
		{"draining", func(f *fixture) { f.state.Store(uint32(messenger.Draining)) }},
		{"withdrawn", func(f *fixture) { f.gone.Store(true) }},
		{"data centre out", func(f *fixture) { f.out.Store(true) }},
		{"node stopping", func(f *fixture) { go f.Begin(context.Background()) }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t)
				done, err := f.Enter("a")
				qt.Assert(t, err, qt.IsNil)
				time.Sleep(time.Second)
				qt.Check(t, f.Check("a"), qt.IsNil)
				tc.leave(f)
				time.Sleep(f.Notice / 2)
				qt.Check(t, f.Check("a"), qt.IsNil)
				time.Sleep(f.Notice/2 + 2*observeInterval)
				qt.Check(t, f.Check("a"), qt.IsNotNil)
				done()
			})
		})
	}
}
