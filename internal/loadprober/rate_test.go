package loadprober

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/zinniaproxy/zinniaproxy/internal/messenger"
)

// A target that has reached its limit of calls per second is passed over for any
// that has not, also while calls of its service fail and it has gone without calls.
func TestExhaustedTargetIsPassedOver(t *testing.T) {
	reports := map[string]Report{
		"exhausted": {StartDelay: time.Second, Exhausted: true, IdleTime: 2 * time.Second, Limit: 7},
		"waiting":   {StartDelay: 200 * time.Millisecond, Limit: 7},
		"busy":      {Queue: 6, InFlight: 7, Limit: 7},
	}
	p := &Prober{
		Candidates: func(string, []string, int, bool) []messenger.Target {
			return []messenger.Target{{Name: "exhausted", Node: "exhausted"}, {Name: "busy", Node: "busy"}, {Name: "waiting", Node: "waiting"}}
		},
		SendProbe: func(_ context.Context, node string, _ *Query) (*Report, error) {
			r := reports[node]
			return &r, nil
		},
		OnReport: func(messenger.Target, Report) {}, OnProbeError: func(string, error) {},
	}
	for range 50 {
		p.RecordOutcome(&messenger.Call{Service: "s"}, false)
	}
	for _, once := range []bool{false, true} {
		choice, err := p.Choose(t.Context(), &messenger.Call{Service: "s", Once: once}, nil)
		chosen := choice.Target
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, chosen.Name, qt.Equals, "waiting")
	}
}
