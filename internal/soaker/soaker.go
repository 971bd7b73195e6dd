package soaker

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/zinniaproxy/zinniaproxy/internal/loadgenerator"
)

const (
	// requestsPerSecond is far below the capacity of the targets.
	requestsPerSecond = 60
	// startTimeout bounds the wait until all nodes serve requests. Rates are in
	// force some 15 s after the processes start.
	startTimeout = 60 * time.Second
	// recoveredLoadTime is how long the load goes on after the recovery deadline.
	recoveredLoadTime = 5 * time.Second
	// watchInterval is the interval between reads of the nodes' configuration
	// numbers.
	watchInterval     = 500 * time.Millisecond
	readyPollInterval = 250 * time.Millisecond
)

// Soaker executes one soak test run. Set the fields before Run.
type Soaker struct {
	// Program is the path of the zinniaproxy binary, Dir the directory for logs.
	Program, Dir string
	// AddressPrefix is the first two octets of the loopback addresses, such as
	// "127.80".
	AddressPrefix string
	Parameters    Parameters
	// Steps replaces the steps drawn from the seed, unless nil.
	Steps []Step

	fleet        *fleet
	mu           sync.Mutex
	observations Observations
	// stepLocks serialise the steps that affect the same component, by its name.
	stepLocks map[string]*sync.Mutex
}

// Run starts a fleet, runs the steps under load and returns the observations. An
// error means that the run itself failed.
func (s *Soaker) Run(ctx context.Context) (*Observations, error) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	if s.observations.Steps = s.Steps; s.Steps == nil {
		s.observations.Steps = DrawSteps(s.Parameters)
	}
	s.stepLocks = map[string]*sync.Mutex{}
	s.fleet = newFleet(s.Program, s.Dir, s.AddressPrefix, s.Parameters.Nodes)
	defer s.fleet.close()
	if err := s.fleet.start(ctx); err != nil {
		return nil, err
	}
	if err := s.waitUntilServing(ctx); err != nil {
		return nil, err
	}
	s.observations.Start = time.Now()
	s.observations.RecoveryDeadline = s.observations.Start.Add(s.Parameters.FaultPeriod + maxRandomStepTime + s.Parameters.RecoveryTime)
	go s.watchConfigurations(ctx)
	var wg sync.WaitGroup
	wg.Go(func() { s.runSteps(ctx) })
	err := s.sendLoad(ctx)
	wg.Wait()
	for _, v := range s.fleet.vms {
		err = errors.Join(err, s.fleet.collectTargetLog(ctx, v))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.observations.Runs, s.observations.Counts = s.fleet.runs, s.fleet.counts
	s.observations.Exits = s.fleet.unexpectedExits()
	return &s.observations, err
}

// waitUntilServing waits until each node serves a request with a key.
func (s *Soaker) waitUntilServing(ctx context.Context) error {
	ctx, stop := context.WithTimeout(ctx, startTimeout)
	defer stop()
	for _, v := range s.fleet.vms {
		for !s.serves(ctx, v) {
			select {
			case <-ctx.Done():
				return fmt.Errorf("soaker: %s does not serve %v after its start", v.node.name, startTimeout)
			case <-time.After(readyPollInterval):
			}
		}
	}
	return nil
}

func (s *Soaker) serves(ctx context.Context, v *vm) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+v.callersProxy.Listen+clubPath, nil)
	if err != nil {
		return false
	}
	req.Header.Set("Authorization", "Bearer "+clubKey)
	res, err := s.fleet.client.Do(req)
	if err != nil {
		return false
	}
	defer res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// sendLoad sends requests until recoveredLoadTime after the recovery deadline.
func (s *Soaker) sendLoad(ctx context.Context) error {
	plan := loadgenerator.Plan{Rate: requestsPerSecond, Seconds: (s.observations.RecoveryDeadline.Sub(s.observations.Start) + recoveredLoadTime).Seconds(), Calls: calls(), Seed: s.Parameters.Seed}
	for _, v := range s.fleet.vms {
		plan.Entries = append(plan.Entries, v.callersProxy.Listen)
	}
	g := &loadgenerator.Generator{Plan: plan, OnOutcome: func(o loadgenerator.Outcome) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.observations.Outcomes = append(s.observations.Outcomes, o)
	}}
	_, err := g.Run(ctx)
	return err
}

// runSteps starts each step at its time and waits until all have ended.
func (s *Soaker) runSteps(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for i, st := range s.observations.Steps {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(s.observations.Start.Add(st.At))):
		}
		s.stepLock(st)
		wg.Go(func() {
			lock := s.stepLock(st)
			lock.Lock()
			defer lock.Unlock()
			startedAt := time.Since(s.observations.Start)
			if err := s.runStep(ctx, st); err != nil && ctx.Err() == nil {
				s.addFailure(fmt.Sprintf("%s: %v", st, err))
			}
			s.mu.Lock()
			defer s.mu.Unlock()
			// The step may have started late, waiting for another at the same
			// component.
			s.observations.Steps[i].At, s.observations.Steps[i].Duration = startedAt, time.Since(s.observations.Start)-startedAt
		})
	}
}

// stepLock returns the lock of the component that a step affects.
func (s *Soaker) stepLock(st Step) *sync.Mutex {
	component := fmt.Sprint("node ", st.Node)
	switch st.Kind {
	case FaultyStore:
		component = string(st.Kind)
	case ChangeDeclaration, RestoreStore:
		component = string(ChangeDeclaration)
	case FaultyTarget, ReplaceTarget, CrashTarget:
		component = fmt.Sprint("target ", st.Node)
	case FaultyCallersPath, FaultyStorePath, FaultyTargetPath, Misbehave:
		component = fmt.Sprint(st.Kind, st.Node)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stepLocks[component] == nil {
		s.stepLocks[component] = &sync.Mutex{}
	}
	return s.stepLocks[component]
}

func (s *Soaker) addFailure(text string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.observations.Failures = append(s.observations.Failures, text)
}

// runStep runs one step to its end.
func (s *Soaker) runStep(ctx context.Context, st Step) error {
	v := s.fleet.vms[st.Node]
	switch st.Kind {
	case PauseNode:
		return runThenUndo(ctx, st.Duration, func() error { return v.node.signal(syscall.SIGSTOP) }, func() error { return v.node.signal(syscall.SIGCONT) })
	case KillNode:
		return runThenUndo(ctx, st.Duration, func() error { return v.node.terminate(syscall.SIGKILL, killTimeout) }, func() error { return v.node.start() })
	case StopNode:
		return runThenUndo(ctx, st.Duration, func() error { return v.node.terminate(syscall.SIGTERM, nodeStopTimeout) }, func() error { return v.node.start() })
	case ReloadNode:
		return v.node.signal(syscall.SIGHUP)
	case ChangeDeclaration:
		return s.applyChange(ctx)
	case ReplaceTarget, CrashTarget:
		return s.restartTarget(ctx, v, st)
	case FaultyTarget:
		url := fmt.Sprintf("http://%s:%d/v1/fake/faults", v.ip, targetPort)
		return s.withFaults(ctx, st, url, noTargetFaults)
	case RestoreStore:
		return s.fleet.restoreStore(ctx, st.Duration)
	case FaultyStore:
		return s.withFaults(ctx, st, "http://"+s.fleet.storeAddress()+"/v1/faults", noStoreFaults)
	case Misbehave:
		ctx, stop := context.WithTimeout(ctx, st.Duration)
		defer stop()
		st.Clients.run(ctx, fmt.Sprintf("%s:%d", v.ip, callersPort))
		return nil
	}
	proxy := map[StepKind]*FaultProxy{FaultyCallersPath: v.callersProxy, FaultyStorePath: v.storeProxy, FaultyTargetPath: v.targetProxy}[st.Kind]
	return runThenUndo(ctx, st.Duration, func() error { proxy.SetFault(st.PathFault); return nil }, func() error { proxy.SetFault(PathFault{}); return nil })
}

// runThenUndo calls action, waits for d or the end of ctx, and calls undo, also
// after an error of action.
func runThenUndo(ctx context.Context, d time.Duration, action, undo func() error) error {
	err := action()
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
	return errors.Join(err, undo())
}

// withFaults sets the step's faults at url for its duration, then noFaults.
func (s *Soaker) withFaults(ctx context.Context, st Step, url, noFaults string) error {
	return runThenUndo(ctx, st.Duration,
		func() error { return s.fleet.putFaults(ctx, url, st.FakeFaults) }, func() error { return s.fleet.putFaults(ctx, url, noFaults) })
}

// applyChange applies the next declaration. The first change withdraws the old
// key.
func (s *Soaker) applyChange(ctx context.Context) error {
	err := s.fleet.applyNextDeclaration(ctx)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err == nil && s.observations.Withdrawn.IsZero() {
		s.observations.Withdrawn = time.Now()
	}
	return err
}

// restartTarget stops or kills a target and restarts it cold. The target is warm
// after targetColdTime.
func (s *Soaker) restartTarget(ctx context.Context, v *vm, st Step) error {
	terminate := func() error { return v.target.terminate(syscall.SIGTERM, targetStopTimeout) }
	if st.Kind == CrashTarget {
		terminate = func() error { return v.target.terminate(syscall.SIGKILL, killTimeout) }
	}
	err := s.fleet.collectTargetLog(ctx, v)
	err = errors.Join(err, runThenUndo(ctx, st.Duration, terminate, func() error { return v.target.start("--faults", coldStartFaults) }))
	return errors.Join(err, runThenUndo(ctx, targetColdTime, func() error { return nil }, func() error {
		return s.fleet.putFaults(ctx, fmt.Sprintf("http://%s:%d/v1/fake/faults", v.ip, targetPort), noTargetFaults)
	}))
}

// watchConfigurations records nodes that return to an earlier configuration,
// until ctx ends.
func (s *Soaker) watchConfigurations(ctx context.Context) {
	highest := map[string]uint64{}
	for ctx.Err() == nil {
		for _, v := range s.fleet.vms {
			n, err := s.fleet.configurationNumber(ctx, v)
			if err != nil || n == 0 {
				continue // the node is down, or has no configuration yet
			}
			if n < highest[v.ip] {
				s.mu.Lock()
				s.observations.Reverts = append(s.observations.Reverts, fmt.Sprintf("%s went from configuration %d back to %d", v.node.name, highest[v.ip], n))
				s.mu.Unlock()
			}
			highest[v.ip] = max(highest[v.ip], n)
		}
		select {
		case <-ctx.Done():
		case <-time.After(watchInterval):
		}
	}
}
