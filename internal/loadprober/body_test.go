package loadprober

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/zinniaproxy/zinniaproxy/internal/messenger"
	"github.com/zinniaproxy/zinniaproxy/pkg/coder"
)

// Guards against large bodies that cross data centres for a small gain, against small
// ones that stay at a busy target, and against a large body that stays at a target
// which can't serve it: at a body of 1 MiB the cost of the transfer was above that of
// a target that refuses calls.
func TestBodyCrossesDataCentresForLargerGain(t *testing.T) {
	const large, largest = 60 << 10, 1 << 20
	for _, row := range []struct {
		name   string
		near   *Report // nil for no answer
		bytes  int
		chosen string
	}{
		{"small body, busy", &Report{InFlight: 7, Queue: 7, Limit: 7, Risk: 0.1}, 100, "far"},
		{"large body, busy", &Report{InFlight: 7, Queue: 7, Limit: 7, Risk: 0.1}, large, "near"},
		{"large body, queue of many rounds", &Report{InFlight: 7, Queue: 70, Limit: 7, Risk: 0.1}, large, "far"},
		{"largest body, busy", &Report{InFlight: 7, Queue: 7, Limit: 7, Risk: 0.1}, largest, "near"},
		{"largest body, no answer", nil, largest, "far"},
		{"largest body, refused", &Report{Limit: 7, StartDelay: time.Second, Exhausted: true}, largest, "far"},
		{"largest body, draining", &Report{Limit: 7, Unavailable: true}, largest, "far"},
	} {
		for _, wide := range []bool{false, true} { // whether only the wide draw finds the other data centre
			p := &Prober{
				Self: "entry", Centre: "own",
				Candidates: func(_ string, tried []string, _ int, _ bool) []messenger.Target {
					near, far := messenger.Target{Name: "near", Node: "near", Centre: "own"}, messenger.Target{Name: "far", Node: "far", Centre: "other"}
					other := messenger.Target{Name: "away", Node: "near", Centre: "own"}
					switch {
					case !wide:
						return []messenger.Target{near, far}
					case len(tried) == 0:
						return []messenger.Target{near, other}
					}
					return []messenger.Target{far, {Name: "gone", Node: "near", Centre: "other"}}
				},
				SendProbe: func(_ context.Context, node string, _ *Query) (*Report, error) {
					switch {
					case node == "far":
						return &Report{InFlight: 1, Limit: 7, Risk: 0.1}, nil
					case row.near == nil:
						return nil, coder.New(coder.NotSent, "")
					}
					return row.near, nil
				},
				OnReport: func(messenger.Target, Report) {}, OnProbeError: func(string, error) {},
			}
			choice, err := p.Choose(t.Context(), &messenger.Call{Service: "s", Body: make([]byte, row.bytes)}, nil)
			qt.Assert(t, err, qt.IsNil)
			chosen := choice.Target.Name
			if chosen == "away" {
				chosen = "near"
			}
			qt.Check(t, chosen, qt.Equals, row.chosen, qt.Commentf("%s, wide %v", row.name, wide))
		}
	}
}
