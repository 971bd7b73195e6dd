package breaker

import (
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/tools/txtar"
)

// scenario runs one file of testdata/scenarios.txtar.
type scenario struct {
	t       *testing.T
	breaker Breaker
	// running are the calls that were started and not yet given up.
	running []*AdmittedCall
}

func newCall(nonIdempotent, othersWorse bool) Call {
	return Call{Target: "t", Route: "r", LatencyObjective: 900 * time.Millisecond, NonIdempotent: nonIdempotent, RelaxRiskLimit: othersWorse}
}

// forceAdmit admits a call whatever the risk, like one sent before it rose.
func (s *scenario) forceAdmit() *AdmittedCall {
	s.breaker.mu.Lock()
	defer s.breaker.mu.Unlock()
	now := time.Now()
	state := s.breaker.state(newCall(false, false), now)
	state.lastAdmitted = now
	a := &AdmittedCall{breaker: &s.breaker, target: state, latencies: state.routeLatencies(newCall(false, false)), start: now}
	state.inFlight[a] = struct{}{}
	return a
}

func (s *scenario) admitEach(n string, act func(a *AdmittedCall)) {
	count, err := strconv.Atoi(n)
	qt.Assert(s.t, err, qt.IsNil)
	for range count {
		act(s.forceAdmit())
	}
}

func (s *scenario) endCalls(n string, latency time.Duration, o Outcome) {
	s.admitEach(n, func(a *AdmittedCall) {
		time.Sleep(latency)
		if o != Truncated {
			a.HeadReceived()
		}
		a.Done(o)
	})
}

func (s *scenario) run(line string) {
	fields := strings.Fields(line)
	duration := func(i int) time.Duration {
		d, err := time.ParseDuration(fields[i])
		qt.Assert(s.t, err, qt.IsNil)
		return d
	}
	check := func(c Call) {
		qt.Check(s.t, s.breaker.Check(c) == nil, qt.Equals, fields[1] == "yes", qt.Commentf("%s, risk %.2f", line, s.breaker.Risk("t")))
	}
	switch fields[0] {
	case "answer":
		s.endCalls(fields[1], duration(2), Good)
	case "fail":
		s.endCalls(fields[1], 50*time.Millisecond, Failed)
	case "truncate":
		s.endCalls(fields[1], 50*time.Millisecond, Truncated)
	case "start":
		s.admitEach(fields[1], func(a *AdmittedCall) { s.running = append(s.running, a) })
	case "abandon":
		for _, a := range s.running {
			a.Done(Abandoned)
		}
		s.running = nil
	case "trial":
		s.forceAdmit().Done(Inconclusive)
	case "wait":
		time.Sleep(duration(1))
	case "non-idempotent":
		check(newCall(true, false))
	case "relaxed":
		check(newCall(true, true))
	case "idempotent":
		check(newCall(false, false))
	default:
		s.t.Fatalf("unknown command: %s", line)
	}
}

// Guards against admitting calls to a target that hangs or fails, and against
// rejecting calls to a healthy one.
func TestCircuitBreaker(t *testing.T) {
	archive, err := txtar.ParseFile("testdata/scenarios.txtar")
	qt.Assert(t, err, qt.IsNil)
	for _, f := range archive.Files {
		t.Run(f.Name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &scenario{t: t}
				for line := range strings.Lines(string(f.Data)) {
					s.run(strings.TrimSpace(line))
				}
			})
		})
	}
}

// A target that never had a call counts as idle, so that it is tried like one
// that had none for long.
func TestIdleTimeOfNewTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := &Breaker{}
		qt.Check(t, b.IdleTime("t"), qt.Equals, MaxIdleTime)
		a, _, err := b.Admit(newCall(false, false))
		qt.Assert(t, err, qt.IsNil)
		a.Done(Good)
		time.Sleep(time.Second)
		qt.Check(t, b.IdleTime("t"), qt.Equals, time.Second)
	})
}
