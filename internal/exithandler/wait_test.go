package exithandler

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/zinniaproxy/zinniaproxy/internal/messenger"
	"github.com/zinniaproxy/zinniaproxy/pkg/coder"
)

// Guards against a call that reaches its target although something changed while it
// waited for its slot. It must be refused as not run, so that it goes elsewhere.
func TestChangesDuringTheWaitForASlot(t *testing.T) {
	leaving := coder.New(coder.TargetLeaving, "t")
	for _, tc := range []struct {
		name   string
		change func(h *Handler, target *messenger.Target, cancel context.CancelFunc)
		want   coder.Code
	}{
		{"nothing", func(*Handler, *messenger.Target, context.CancelFunc) {}, coder.OK},
		{"the target, its data centre or its node leaves", func(h *Handler, _ *messenger.Target, _ context.CancelFunc) {
			h.CheckLeaving = func(string) error { return leaving }
		}, coder.TargetLeaving},
		{"the target was replaced", func(_ *Handler, target *messenger.Target, _ context.CancelFunc) { target.Epoch++ }, coder.WrongTarget},
		{"the target has withdrawn", func(h *Handler, _ *messenger.Target, _ context.CancelFunc) {
			h.Lookup = func(string) (messenger.Target, bool) { return messenger.Target{}, false }
		}, coder.WrongTarget},
		{"the deadline has passed", func(*Handler, *messenger.Target, context.CancelFunc) { time.Sleep(time.Minute) }, coder.DeadlineBefore},
		{"the caller has left", func(_ *Handler, _ *messenger.Target, cancel context.CancelFunc) { cancel() }, coder.DeadlineBefore},
		{"the request is in quarantine", func(h *Handler, _ *messenger.Target, _ context.CancelFunc) {
			h.Quarantine = func(*messenger.Call) error { return coder.New(coder.Quarantined, "") }
		}, coder.Quarantined},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				target := messenger.Target{Name: "t", Epoch: 1}
				sent := false
				h := &Handler{
					Lookup:       func(string) (messenger.Target, bool) { return target, true },
					Enter:        func(string) (func(), error) { return func() {}, nil },
					CheckLeaving: func(string) error { return nil },
					Begin:        func(*messenger.Call, time.Time) (func() error, error) { return nil, nil },
					Load:         func(string) Load { return Load{} },
					Send:         func(context.Context, *Job) error { sent = true; return nil },
				}
				h.Acquire = func(context.Context, *Job) (func(Outcome), error) {
					tc.change(h, &target, cancel)
					return func(Outcome) {}, nil
				}
				err := h.Serve(ctx, &Job{Call: &messenger.Call{Target: "t", Epoch: 1}, Deadline: time.Now().Add(10 * time.Second)})
				if tc.want == coder.OK {
					qt.Check(t, err, qt.IsNil)
					qt.Check(t, sent, qt.IsTrue)
					return
				}
				qt.Assert(t, err, qt.IsNotNil)
				qt.Check(t, coder.Of(err).Code, qt.Equals, tc.want)
				qt.Check(t, coder.Of(err).Ran(), qt.Equals, coder.RanNo)
				qt.Check(t, sent, qt.IsFalse)
			})
		})
	}
}
