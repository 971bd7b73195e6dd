package demonstrator

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/zinniaproxy/zinniaproxy/internal/faker"
	"github.com/zinniaproxy/zinniaproxy/internal/loadgenerator"
	"github.com/zinniaproxy/zinniaproxy/internal/viewer"
	"github.com/zinniaproxy/zinniaproxy/pkg/coder"
	"github.com/zinniaproxy/zinniaproxy/pkg/declarer"
)

// Load, step durations and faults of the demo.
const (
	requestsPerSecond = 240
	maxRunSeconds     = 60
	steadyTime        = 1500 * time.Millisecond
	faultTime         = 2500 * time.Millisecond
	coldTime          = 2 * time.Second
	observeTime       = time.Second
	centreBackTime    = 2 * time.Second
	settleTime        = 500 * time.Millisecond
	closeIdleInterval = 200 * time.Millisecond
	faultSlowdown     = 8
	faultFraction     = 0.3
	coldLimit         = 2
)

// scenario sends traffic to the fleet and runs the steps that change or break it.
type scenario struct {
	fleet      *fleet
	client     *http.Client
	guarantees guaranteeReport

	mu             sync.Mutex
	entryAddresses []string
	stepSummary    *loadgenerator.Summary
	// stepWithoutShop leaves out the shop, whose requests wait in the queue of
	// their own workspace.
	stepWithoutShop *loadgenerator.Summary
	allOutcomes     []loadgenerator.Outcome
	declared        declarer.Fleet
}

func newScenario(f *fleet) *scenario {
	s := &scenario{fleet: f, client: loadgenerator.NewClient(), stepSummary: loadgenerator.NewSummary(), stepWithoutShop: loadgenerator.NewSummary(), declared: declaration()}
	for _, v := range f.vms {
		s.entryAddresses = append(s.entryAddresses, v.settings.Callers)
	}
	return s
}

// run runs all steps under traffic and records the guarantees.
func (s *scenario) run(ctx context.Context) error {
	loadCtx, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	generator := s.newGenerator()
	reports, errs := make(chan *loadgenerator.Report, 1), make(chan error, 1)
	start := time.Now()
	go func() {
		r, err := generator.Run(loadCtx)
		reports <- r
		errs <- err
	}()
	for _, step := range []func(context.Context) error{s.runSteadyState, s.breakTarget, s.restartTargetCold, s.withdrawKey, s.takeCentreOut, s.bringCentreBack, s.stopNode} {
		if err := step(ctx); err != nil {
			return err
		}
	}
	stopLoad()
	report := <-reports
	if err := <-errs; err != nil {
		return err
	}
	s.checkGuarantees(report, time.Since(start))
	return nil
}

func (s *scenario) newGenerator() *loadgenerator.Generator {
	var targets []string
	for _, v := range s.fleet.vms {
		for _, t := range v.targets {
			targets = append(targets, t.address)
		}
	}
	return &loadgenerator.Generator{
		Client: s.client,
		Plan:   loadgenerator.Plan{Entries: s.entryAddresses, Targets: targets, Rate: requestsPerSecond, Seconds: maxRunSeconds, Calls: calls(), Seed: 1},
		Entry: func(i int) string {
			s.mu.Lock()
			defer s.mu.Unlock()
			return s.entryAddresses[i%len(s.entryAddresses)]
		},
		OnOutcome: func(o loadgenerator.Outcome) {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.stepSummary.Add(o)
			if o.CallIndex != shopCall {
				s.stepWithoutShop.Add(o)
			}
			s.allOutcomes = append(s.allOutcomes, o)
		},
	}
}

// printStep prints what callers saw since the previous step.
func (s *scenario) printStep(title string, args ...any) {
	s.mu.Lock()
	summary, withoutShop := s.stepSummary.WithLatencies(), s.stepWithoutShop.WithLatencies()
	s.stepSummary, s.stepWithoutShop = loadgenerator.NewSummary(), loadgenerator.NewSummary()
	s.mu.Unlock()
	var codes []string
	for _, name := range slices.Sorted(maps.Keys(summary.Codes)) {
		codes = append(codes, fmt.Sprintf("%d %s", summary.Codes[name], name))
	}
	refusalCodes := ""
	if len(codes) > 0 {
		refusalCodes = " (" + strings.Join(codes, ", ") + ")"
	}
	s.fleet.demo.printf(title+"\n", args...)
	s.fleet.demo.printf("    callers saw %d answers, %d of them errors; %d refusals%s; %d broken, %d cut, %d wrong; but for the shop p50 %.1f ms, p99 %.1f ms\n",
		summary.Answered, summary.Errors, summary.Refused, refusalCodes, summary.Broken, summary.Truncated, summary.Wrong, withoutShop.P50, withoutShop.P99)
}

func (s *scenario) runSteadyState(ctx context.Context) error {
	err := sleep(ctx, steadyTime)
	s.printStep("1. All is well. The shop sends several times its rate of %d requests a second.", shopRatePerSecond)
	return err
}

// breakTarget injects faults into one target that goes on reporting good health.
func (s *scenario) breakTarget(ctx context.Context) error {
	t := s.fleet.vms[0].targets[0]
	start := time.Now()
	t.SetFaults(faker.TargetFaults{Slow: faultSlowdown, Errors: faultFraction, Truncate: faultFraction, Mislead: true})
	err := sleep(ctx, faultTime)
	s.printStep("2. A target of booking turns slow, returns errors and truncated responses, and reports itself healthy.")
	s.fleet.demo.printf("    %s\n", s.describeDetection(ctx, t.Name, start))
	return err
}

// describeDetection returns a line that says when the fleet found the target
// sick, and how many other targets it has found sick.
func (s *scenario) describeDetection(ctx context.Context, name string, since time.Time) string {
	events, errs := s.fleet.viewer.Timeline(ctx, s.fleet.adminAddresses())
	if len(errs) > 0 {
		return fmt.Sprintf("the timeline is incomplete: %v", errs[0])
	}
	foundAfter, otherTargets := time.Duration(0), map[string]bool{}
	for _, e := range (viewer.Filter{Kind: "target-sick"}).Apply(events) {
		switch {
		case e.Target != name:
			otherTargets[e.Target] = true
		case foundAfter == 0 && e.Time.After(since):
			foundAfter = e.Time.Sub(since)
		}
	}
	if foundAfter == 0 {
		return fmt.Sprintf("it was not found sick; %d others were", len(otherTargets))
	}
	return fmt.Sprintf("it was found sick after %.2f s; %d others were", foundAfter.Seconds(), len(otherTargets))
}

// restartTargetCold withdraws the target and announces it again as cold, without
// the earlier faults.
func (s *scenario) restartTargetCold(ctx context.Context) error {
	t := s.fleet.vms[0].targets[0]
	t.stop()
	<-t.done
	t.SetFaults(faker.TargetFaults{Cold: coldLimit})
	t.done = make(chan struct{})
	t.announce(context.WithoutCancel(ctx))
	err := sleep(ctx, coldTime)
	counts := t.Counts()
	s.guarantees.add("a cold target gets no more than its cold limit", counts.Runs, counts.AboveColdLimit, "it bears %d at once", coldLimit)
	t.SetFaults(faker.TargetFaults{})
	s.printStep("3. The target is restarted and takes at most %d concurrent requests until it is warm.", coldLimit)
	return err
}

// withdrawKey removes a key that callers go on using.
func (s *scenario) withdrawKey(ctx context.Context) error {
	s.declared = s.declared.WithWorkspace(clubWorkspace().WithoutKey("old"))
	start := time.Now()
	took, err := s.fleet.apply(ctx, s.declared)
	if err != nil {
		return err
	}
	if err := sleep(ctx, time.Until(start.Add(changeGrace+observeTime))); err != nil {
		return err
	}
	s.printStep("4. A key is withdrawn. The change was in force on all nodes after %.2f s.", took.Seconds())
	used, violations := 0, 0
	for _, o := range s.outcomes() {
		if o.CallIndex == oldKeyCall && o.Due.After(start.Add(changeGrace)) {
			used++
			if o.Kind == loadgenerator.Answered {
				violations++
			}
		}
	}
	s.guarantees.add("a withdrawn key stops working", used, violations, "used %v and more after the change", changeGrace)
	return nil
}

// takeCentreOut takes a data centre out of service.
func (s *scenario) takeCentreOut(ctx context.Context) error {
	s.declared = s.declared.WithCentreOut(centreB, true)
	start := time.Now()
	took, err := s.fleet.apply(ctx, s.declared)
	if err != nil {
		return err
	}
	if err := sleep(ctx, time.Until(start.Add(changeGrace))); err != nil {
		return err
	}
	runsBeforeB, runsBeforeA := s.targetRuns(centreB), s.targetRuns(centreA)
	if err := sleep(ctx, observeTime); err != nil {
		return err
	}
	s.printStep("5. The data centre %s is taken out. The change was in force on all nodes after %.2f s.", centreB, took.Seconds())
	s.guarantees.add("a data centre taken out gets no new work", s.targetRuns(centreA)-runsBeforeA, s.targetRuns(centreB)-runsBeforeB,
		"counted at the other one, %v and more after the change", changeGrace)
	return nil
}

// bringCentreBack puts the data centre back in service.
func (s *scenario) bringCentreBack(ctx context.Context) error {
	s.declared = s.declared.WithCentreOut(centreB, false)
	runsBefore := s.targetRuns(centreB)
	if _, err := s.fleet.apply(ctx, s.declared); err != nil {
		return err
	}
	err := sleep(ctx, centreBackTime)
	s.printStep("6. The data centre %s is brought back.", centreB)
	s.guarantees.add("a data centre brought back gets work again", s.targetRuns(centreB)-runsBefore, 0, "")
	return err
}

// stopNode stops a node gracefully after its callers moved to other nodes.
func (s *scenario) stopNode(ctx context.Context) error {
	v := s.fleet.vms[len(s.fleet.vms)-1]
	s.mu.Lock()
	s.entryAddresses = s.entryAddresses[:len(s.entryAddresses)-1]
	s.mu.Unlock()
	if err := sleep(ctx, settleTime); err != nil {
		return err
	}
	defer s.closeIdleConnections(ctx)()
	start := time.Now()
	if err := s.fleet.stopVM(v); err != nil {
		return fmt.Errorf("node %s: %w", v.settings.Name, err)
	}
	took := time.Since(start)
	if err := sleep(ctx, settleTime); err != nil {
		return err
	}
	s.printStep("7. The node %s stops, which took %.1f s.", v.settings.Name, took.Seconds())
	requests, cut := 0, 0
	for _, o := range s.outcomes() {
		if o.Due.After(start.Add(-settleTime)) {
			requests++
			if o.Kind == loadgenerator.Broken || o.Code == coder.Cut {
				cut++
			}
		}
	}
	s.guarantees.add("a planned stop cuts no request", requests, cut, "")
	return nil
}

// closeIdleConnections closes idle connections at intervals, as callers that
// moved to other nodes do, until the returned function is called.
func (s *scenario) closeIdleConnections(ctx context.Context) context.CancelFunc {
	ctx, stop := context.WithCancel(ctx)
	go func() {
		for sleep(ctx, closeIdleInterval) == nil {
			s.client.CloseIdleConnections()
		}
	}()
	return stop
}

func (s *scenario) outcomes() []loadgenerator.Outcome {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.allOutcomes)
}

// targetRuns returns how many requests the targets of a data centre have run so
// far.
func (s *scenario) targetRuns(centre string) int {
	n := 0
	for _, v := range s.fleet.vms {
		if v.settings.Centre == centre {
			for _, t := range v.targets {
				n += t.Counts().Runs
			}
		}
	}
	return n
}
