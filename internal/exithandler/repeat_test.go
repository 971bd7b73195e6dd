package exithandler

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/zinniaproxy/zinniaproxy/internal/messenger"
	"github.com/zinniaproxy/zinniaproxy/pkg/coder"
)

// Guards against a repeated run whose calls are beyond the budget of the services
// that they go to, and against first runs that are refused for that.
func TestRepeatsAreRefusedWithoutABudgetForTheirCalls(t *testing.T) {
	for _, tc := range []struct{ repeat, affords, sent bool }{{false, true, true}, {false, false, true}, {true, true, true}, {true, false, false}} {
		sent := false
		h := &Handler{
			Lookup:        func(string) (messenger.Target, bool) { return messenger.Target{Name: "t"}, true },
			Enter:         func(string) (func(), error) { return func() {}, nil },
			CheckLeaving:  func(string) error { return nil },
			Begin:         func(*messenger.Call, time.Time) (func() error, error) { return nil, nil },
			Acquire:       func(context.Context, *Job) (func(Outcome), error) { return func(Outcome) {}, nil },
			Load:          func(string) Load { return Load{} },
			Send:          func(context.Context, *Job) error { sent = true; return nil },
			AffordsRepeat: func() bool { return tc.affords },
		}
		err := h.Serve(t.Context(), &Job{Call: &messenger.Call{Target: "t", Repeat: tc.repeat}, Deadline: time.Now().Add(time.Second)})
		qt.Check(t, sent, qt.Equals, tc.sent, qt.Commentf("%+v", tc))
		if !tc.sent {
			qt.Check(t, coder.Of(err).Code, qt.Equals, coder.RepeatDenied)
			qt.Check(t, coder.Of(err).Ran(), qt.Equals, coder.RanNo)
		}
	}
}
