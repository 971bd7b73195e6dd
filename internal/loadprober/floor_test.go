package loadprober

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/zinniaproxy/zinniaproxy/internal/messenger"
)

// TestIdleTargetsOfServiceInTrouble suspects four of ten targets, which are sound
// again. While calls of the service fail, each must be tried within two seconds,
// whatever its risk; while none fails, the others do.
func TestIdleTargetsOfServiceInTrouble(t *testing.T) {
	for _, tc := range []struct {
		name     string
		failures int // of ten calls
		tried    bool
	}{
		{"calm", 0, false},
		{"in trouble", 2, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const targetCount, suspects, floorWindow = 10, 4, 2 * time.Second
				random := rand.New(rand.NewPCG(1, 2))
				called := map[string]time.Time{}
				var targets []messenger.Target
				for i := range targetCount {
					name := fmt.Sprintf("t%d", i)
					targets = append(targets, messenger.Target{Name: name, Node: "n" + name})
					called[name] = time.Now()
				}
				longest := map[string]time.Duration{}
				p := &Prober{
					Candidates: func(_ string, tried []string, n int, _ bool) (out []messenger.Target) {
						for _, i := range random.Perm(targetCount)[:n] {
							out = append(out, targets[i])
						}
						return out
					},
					SendProbe: func(_ context.Context, _ string, q *Query) (*Report, error) {
						r := &Report{Risk: 0.1, Limit: 8, IdleTime: time.Since(called[q.Target])}
						if q.Target < fmt.Sprintf("t%d", suspects) {
							r.Risk = 0.95
						}
						return r, nil
					},
					OnReport: func(messenger.Target, Report) {},
				}
				for i := range 400 {
					time.Sleep(50 * time.Millisecond)
					target, err := p.Choose(t.Context(), &messenger.Call{Service: "s"}, nil)
					qt.Assert(t, err, qt.IsNil)
					called[target.Name] = time.Now()
					p.RecordOutcome("s", i%10 >= tc.failures)
					for name, at := range called {
						longest[name] = max(longest[name], time.Since(at))
					}
				}
				for i := range suspects {
					gap := longest[targets[i].Name]
					qt.Check(t, gap <= floorWindow, qt.Equals, tc.tried, qt.Commentf("%s went without calls for %v", targets[i].Name, gap))
				}
			})
		})
	}
}
