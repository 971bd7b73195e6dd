package loadprober

import (
	"context"
	"math"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/zinniaproxy/zinniaproxy/internal/breaker"
	"github.com/zinniaproxy/zinniaproxy/internal/messenger"
)

// In the simulated service, each target has fault episodes of some seconds, in
// which it hangs most of its calls. All calls are non-idempotent, so each one
// that hangs is lost.
const (
	targetCount        = 18
	slotsPerTarget     = 7
	callsPerSecond     = 90
	runTime            = 40 * time.Second
	episodePeriod      = 9 * time.Second
	episodeProbability = 0.25
	hangProbability    = 0.75
	callTimeout        = 2500 * time.Millisecond
	meanCallTime       = 350 * time.Millisecond
)

// faultyTarget is a target behind the circuit breaker of its exit node.
type faultyTarget struct {
	target    messenger.Target
	breaker   breaker.Breaker
	rand      *rand.Rand
	inFlight  int
	inEpisode []bool // by period
}

// admit asks the circuit breaker, or a new one if outcomes are ignored.
func (ft *faultyTarget) admit(ignoreOutcomes bool) (*breaker.AdmittedCall, error) {
	b := &ft.breaker
	if ignoreOutcomes {
		b = &breaker.Breaker{}
	}
	admitted, _, err := b.Admit(breaker.Call{Target: ft.target.Name, Route: "book", LatencyObjective: 3 * meanCallTime, NonIdempotent: true, RelaxRiskLimit: true})
	return admitted, err
}

func (ft *faultyTarget) hangs(elapsed time.Duration) bool {
	return ft.inEpisode[int(elapsed/episodePeriod)] && ft.rand.Float64() < hangProbability
}

// workload is the calls to a service and the entry node's choice of targets.
type workload struct {
	targets   []*faultyTarget
	startTime time.Time
	prober    Prober
	// mu guards the fields below, and those of the targets except breaker.
	mu   sync.Mutex
	rand *rand.Rand
	// ignoreOutcomes gives each call a new circuit breaker, so that none learns
	// from earlier calls.
	ignoreOutcomes bool
	// Calls by outcome.
	succeeded, hung, rejected int
}

func newWorkload(seed uint64) *workload {
	w := &workload{startTime: time.Now(), rand: rand.New(rand.NewPCG(seed, 1))}
	for i := range targetCount {
		ft := &faultyTarget{
			target: messenger.Target{Name: string(rune('a' + i)), Node: string(rune('a' + i))},
			rand:   rand.New(rand.NewPCG(seed, uint64(i)+2)),
		}
		for range int(runTime/episodePeriod) + 2 {
			ft.inEpisode = append(ft.inEpisode, ft.rand.Float64() < episodeProbability)
		}
		w.targets = append(w.targets, ft)
	}
	w.prober = Prober{
		Candidates: w.candidates,
		SendProbe: func(_ context.Context, node string, _ *Query) (*Report, error) {
			ft := w.targets[node[0]-'a']
			w.mu.Lock()
			defer w.mu.Unlock()
			return &Report{Risk: ft.breaker.Risk(ft.target.Name), InFlight: ft.inFlight, Limit: slotsPerTarget}, nil
		},
		OnReport: func(messenger.Target, Report) {}, OnProbeError: func(string, error) {},
	}
	return w
}

func (w *workload) candidates(_ string, tried []string, n int, _ bool) []messenger.Target {
	w.mu.Lock()
	defer w.mu.Unlock()
	var drawn []messenger.Target
	for _, i := range w.rand.Perm(len(w.targets)) {
		t := w.targets[i].target
		skip := false
		for _, name := range tried {
			skip = skip || name == t.Name
		}
		if !skip && len(drawn) < n {
			drawn = append(drawn, t)
		}
	}
	return drawn
}

// call sends one call to the target that choose returns.
func (w *workload) call(choose func(c *messenger.Call) (messenger.Target, error)) {
	c := &messenger.Call{Once: true, RelaxRiskLimit: true, Route: "book"}
	t, err := choose(c)
	if err != nil {
		w.count(&w.rejected)
		return
	}
	ft := w.targets[t.Name[0]-'a']
	admitted, err := ft.admit(w.ignoreOutcomes)
	if err != nil {
		w.count(&w.rejected)
		return
	}
	hangs, took := w.startCall(ft)
	defer w.endCall(ft)
	if hangs {
		time.Sleep(callTimeout)
		admitted.Done(breaker.Abandoned)
		w.count(&w.hung)
		return
	}
	time.Sleep(took)
	admitted.HeadReceived()
	admitted.Done(breaker.Good)
	w.count(&w.succeeded)
}

func (w *workload) count(n *int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	*n++
}

// startCall takes a slot and draws how the call ends.
func (w *workload) startCall(ft *faultyTarget) (hangs bool, took time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	ft.inFlight++
	took = time.Duration(float64(meanCallTime) * math.Exp(0.6*ft.rand.NormFloat64()-0.18))
	return ft.hangs(time.Since(w.startTime)), took
}

func (w *workload) endCall(ft *faultyTarget) {
	w.mu.Lock()
	defer w.mu.Unlock()
	ft.inFlight--
}

// run sends calls for runTime and returns when all have ended.
func (w *workload) run(choose func(c *messenger.Call) (messenger.Target, error)) {
	for time.Since(w.startTime) < runTime {
		go w.call(choose)
		time.Sleep(time.Second / callsPerSecond)
		synctest.Wait() // one at a time, so that a seed always gives the same run
	}
	time.Sleep(2 * callTimeout)
	synctest.Wait()
}

// Probing a few exit nodes must keep most calls out of the fault episodes that
// a random choice runs into, without rejecting more calls than it saves.
func TestProbesKeepNonIdempotentCallsOutOfEpisodes(t *testing.T) {
	for seed := range uint64(4) {
		synctest.Test(t, func(t *testing.T) {
			baseline := newWorkload(seed)
			baseline.ignoreOutcomes = true
			baseline.run(func(*messenger.Call) (messenger.Target, error) {
				return baseline.candidates("", nil, 1, false)[0], nil
			})
			probed := newWorkload(seed)
			probed.run(func(c *messenger.Call) (messenger.Target, error) {
				choice, err := probed.prober.Choose(t.Context(), c, nil)
				return choice.Target, err
			})
			t.Logf("seed %d: random choice %d succeeded, %d hung; probes %d succeeded, %d hung, %d rejected",
				seed, baseline.succeeded, baseline.hung, probed.succeeded, probed.hung, probed.rejected)
			total := probed.succeeded + probed.hung + probed.rejected
			qt.Check(t, 3*probed.hung < baseline.hung, qt.IsTrue)
			qt.Check(t, 100*(probed.hung+probed.rejected) < 8*total, qt.IsTrue)
		})
	}
}
