package loadprober

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/zinniaproxy/zinniaproxy/internal/breaker"
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
				const targetCount, suspects = 10, 4
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
					choice, err := p.Choose(t.Context(), &messenger.Call{Service: "s"}, nil)
					target := choice.Target
					qt.Assert(t, err, qt.IsNil)
					called[target.Name] = time.Now()
					p.RecordOutcome(&messenger.Call{Service: "s"}, i%10 >= tc.failures)
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

// floorShare is the share of a service's sound targets that must get a call in each
// floorWindow while callers fail.
const (
	floorShare  = 0.7
	floorWindow = 2 * time.Second
)

// Guards against sound targets left without a call while callers fail: calls that
// may not be repeated went on to the targets that had proven well last. The floor
// must hold, also where the calls of the route fail at another service. Suspected
// targets get none of these calls.
func TestFloorHoldsForNonIdempotentCalls(t *testing.T) {
	for _, tc := range []struct {
		name    string
		service string // whose calls fail, three in ten
	}{
		{"in trouble", "s"},
		{"in trouble at the other service of the route", "other"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newIdleFleet(18, 6)
				lowest := 1.0
				for i := range 400 {
					time.Sleep(50 * time.Millisecond)
					f.call(t, &messenger.Call{Service: "s", Route: "r", Once: true})
					f.prober.RecordOutcome(&messenger.Call{Service: "s", Route: "r"}, tc.service != "s" || i%10 >= 3)
					f.prober.RecordOutcome(&messenger.Call{Service: "other", Route: "r"}, tc.service == "s" || i%10 >= 3)
					lowest = min(lowest, f.soundShareCalled(floorWindow))
				}
				qt.Check(t, lowest >= floorShare, qt.IsTrue, qt.Commentf("%.2f of the sound targets", lowest))
				qt.Check(t, f.suspectCalls, qt.Equals, 0)
			})
		})
	}
}

// idleFleet has targets of which nothing is known but for a second after a call,
// in which they count as sound. Some are suspected.
type idleFleet struct {
	prober       *Prober
	targets      []messenger.Target
	suspects     map[string]bool
	called       map[string]time.Time
	suspectCalls int
}

func newIdleFleet(targetCount, suspectCount int) *idleFleet {
	random := rand.New(rand.NewPCG(1, 2))
	f := &idleFleet{suspects: map[string]bool{}, called: map[string]time.Time{}}
	for i := range targetCount {
		name := fmt.Sprintf("t%d", i)
		f.targets = append(f.targets, messenger.Target{Name: name, Node: "n" + name})
		f.called[name] = time.Now()
		if i < suspectCount {
			f.suspects[name] = true
		}
	}
	f.prober = &Prober{
		Candidates: func(_ string, _ []string, n int, _ bool) (out []messenger.Target) {
			for _, i := range random.Perm(targetCount)[:n] {
				out = append(out, f.targets[i])
			}
			return out
		},
		SendProbe: func(_ context.Context, _ string, q *Query) (*Report, error) {
			r := &Report{Risk: breaker.StationaryRisk, Limit: 8, IdleTime: time.Since(f.called[q.Target])}
			switch {
			case f.suspects[q.Target]:
				r.Risk = 0.95
			case r.IdleTime < time.Second:
				r.Risk = 0.02
			}
			return r, nil
		},
		OnReport: func(messenger.Target, Report) {},
	}
	return f
}

func (f *idleFleet) call(t *testing.T, c *messenger.Call) {
	choice, err := f.prober.Choose(t.Context(), c, nil)
	target := choice.Target
	qt.Assert(t, err, qt.IsNil)
	f.called[target.Name] = time.Now()
	if f.suspects[target.Name] {
		f.suspectCalls++
	}
}

// soundShareCalled returns the share of the targets without suspicion that got a
// call in the last window.
func (f *idleFleet) soundShareCalled(window time.Duration) float64 {
	called := 0
	for name, at := range f.called {
		if !f.suspects[name] && time.Since(at) < window {
			called++
		}
	}
	return float64(called) / float64(len(f.called)-len(f.suspects))
}
