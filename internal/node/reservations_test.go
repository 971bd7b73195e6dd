package node

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/zinniaproxy/zinniaproxy/internal/admitter"
	"github.com/zinniaproxy/zinniaproxy/internal/attemptsender"
	"github.com/zinniaproxy/zinniaproxy/internal/detector"
	"github.com/zinniaproxy/zinniaproxy/internal/exithandler"
	"github.com/zinniaproxy/zinniaproxy/internal/indexer"
	"github.com/zinniaproxy/zinniaproxy/internal/loadprober"
	"github.com/zinniaproxy/zinniaproxy/internal/messenger"
	"github.com/zinniaproxy/zinniaproxy/internal/picker"
	"github.com/zinniaproxy/zinniaproxy/internal/reserver"
	"github.com/zinniaproxy/zinniaproxy/pkg/coder"
)

// reservingNode returns a pickFunc of a node with two targets of one slot, "full" and
// "idle". Their load probes return reports.
func reservingNode(reports map[string]loadprober.Report) (pick pickFunc, a *admitter.Admitter) {
	targets := []messenger.Target{{Name: "full", Service: "s", Node: "n", Epoch: 1, Slots: 1}, {Name: "idle", Service: "s", Node: "n", Epoch: 1, Slots: 1}}
	a = &admitter.Admitter{
		ColdLimit: func(string) int { return 1 }, CentreOut: func() bool { return false },
		Detector: &detector.Detector{}, RefreshVerdicts: func() {},
	}
	byName := map[string]messenger.Target{}
	for _, t := range targets {
		a.ApplyVerdict(t)
		byName[t.Name] = t
	}
	p := &picker.Picker{Targets: func(string) []messenger.Target { return targets }, Index: func() *indexer.Index { return nil }, Rand: func() float64 { return 0 }}
	lp := &loadprober.Prober{
		Self: "n", LocalReport: func(q *loadprober.Query) loadprober.Report { return reports[q.Target] },
		Candidates: func(_ string, tried []string, _ int, _ bool) []messenger.Target {
			return targets[:2-min(len(tried), 2)]
		},
	}
	rs := &reserver.Client{Self: "n", Local: &reserver.Server{
		Lookup: func(name string) (messenger.Target, bool) { t, ok := byName[name]; return t, ok },
		Enter:  func(string) (func(), error) { return func() {}, nil }, Reserve: a.Reserve,
	}}
	return pickByLoadProbe(p, lp, rs), a
}

// Guards against bodies that are sent to a full target, against a reservation where a
// slot is free, for a small body or for a deferrable call, which has none, against one
// that asks the best target only (the second best one has its slot first), and against
// a wait at targets that are likely to hang.
func TestCallsReserveWhereNoSlotIsFree(t *testing.T) {
	free := loadprober.Report{Limit: 1, Risk: 0.1}
	busy := loadprober.Report{Limit: 1, InFlight: 1, Risk: 0.1}
	busier := loadprober.Report{Limit: 1, InFlight: 1, Queue: 1, Risk: 0.1}
	risky := loadprober.Report{Limit: 1, Risk: 0.9}
	riskyBusy := loadprober.Report{Limit: 1, InFlight: 1, Risk: 0.9}
	body := make([]byte, minReservedBody)
	for _, row := range []struct {
		name       string
		full, idle loadprober.Report
		call       messenger.Call
		target     string // "" for a refusal as suspect
		reserved   bool
	}{
		{"free", free, busy, messenger.Call{Body: body}, "full", false},
		{"busy", busy, busier, messenger.Call{Body: body}, "idle", true},
		{"busy, small body", busy, busier, messenger.Call{Body: body[1:]}, "full", false},
		{"busy, deferrable", busy, busier, messenger.Call{Body: body, Wait: true}, "full", false},
		{"risky", risky, risky, messenger.Call{Body: body, Once: true}, "", false},
		{"risky, insists", riskyBusy, riskyBusy, messenger.Call{Body: body, Once: true, Insist: true}, "idle", true},
		{"risky, may be repeated", risky, risky, messenger.Call{Body: body}, "full", false},
	} {
		t.Run(row.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				pick, a := reservingNode(map[string]loadprober.Report{"full": row.full, "idle": row.idle})
				holder := &row.call
				holder.ID, holder.Service, holder.Timeout = "a", "s", time.Second
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				if row.reserved { // another call has the slot of the best target
					j := &exithandler.Job{Call: &messenger.Call{}, Target: messenger.Target{Name: "full", Epoch: 1}, Deadline: time.Now().Add(time.Minute)}
					release, err := a.Acquire(ctx, j)
					qt.Assert(t, err, qt.IsNil)
					defer release(exithandler.Outcome{})
				}
				target, done, err := pick(ctx, holder, nil)
				if row.target == "" {
					qt.Check(t, coder.Of(err).Code, qt.Equals, coder.Suspect)
					return
				}
				qt.Assert(t, err, qt.IsNil)
				defer done(attemptsender.Outcome{Status: http.StatusOK})
				qt.Check(t, target.Name, qt.Equals, row.target)
				qt.Check(t, holder.Reservation != "", qt.Equals, row.reserved)
				qt.Check(t, holder.RelaxRiskLimit, qt.IsTrue)
				qt.Check(t, a.Load("idle").InFlight == 1, qt.Equals, row.reserved)
				time.Sleep(time.Second)
				qt.Check(t, a.Load("idle").InFlight, qt.Equals, 0)
			})
		})
	}
}

// Guards against a service that counts as failing since hedges which lose, or callers
// that leave, end reservations, and against a canceled reservation that is reported as
// a service without targets.
func TestCanceledReservationsAreNoFailures(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pick, _ := reservingNode(map[string]loadprober.Report{
			"full": {Limit: 1, InFlight: 1, Risk: 0.1}, "idle": {Limit: 1, InFlight: 1, Queue: 3, Risk: 0.1, IdleTime: 1500 * time.Millisecond},
		})
		canceled, cancel := context.WithCancel(t.Context())
		cancel()
		for range 20 {
			_, _, err := pick(canceled, &messenger.Call{ID: "a", Service: "s", Timeout: time.Second, Body: make([]byte, minReservedBody)}, nil)
			qt.Assert(t, err, qt.IsNotNil)
			qt.Check(t, coder.Of(err).Code, qt.Equals, coder.Canceled)
		}
		c := &messenger.Call{ID: "b", Service: "s", Timeout: time.Second, Body: make([]byte, minReservedBody)}
		_, done, err := pick(t.Context(), c, nil)
		qt.Assert(t, err, qt.IsNil)
		done(attemptsender.Outcome{Status: http.StatusOK})
		qt.Check(t, c.Reservation != "", qt.IsTrue) // a failing service tries its idle target without one
		time.Sleep(time.Second)
	})
}
