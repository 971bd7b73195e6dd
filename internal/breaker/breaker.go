// Package breaker is a circuit breaker. On the exit node, it rejects calls to a
// target within a second after the target begins to hang or fail, without asking
// other nodes.
//
// Targets with gray failures have fault episodes: for some seconds they hang or
// fail most of their calls, then they are healthy again. For each target the
// package keeps its risk, the probability that it is in an episode, by a
// two-state hidden Markov model. Calls that take longer than the successful
// answers of their route raise the risk, and successful answers lower it.
// Non-idempotent calls are admitted only while the risk is low; idempotent ones
// also serve as trial calls to suspected targets.
package breaker

import (
	"math"
	"sync"
	"time"

	"github.com/zinniaproxy/zinniaproxy/pkg/coder"
)

// Parameters of the model, from the fault episodes that users describe: some
// seconds long, at one target after another.
const (
	// meanEpisodeInterval is the mean time a healthy target stays healthy,
	// meanEpisodeDuration the mean time that an episode lasts.
	meanEpisodeInterval = 30 * time.Second
	meanEpisodeDuration = 6 * time.Second
	// episodeFailureProbability is the fraction of calls that hang or fail
	// during an episode.
	episodeFailureProbability = 0.7
	// healthyErrorProbability is the fraction of calls that a healthy target
	// answers with a failure.
	healthyErrorProbability = 0.02
	// healthyCutProbability is the fraction of calls whose connection breaks at
	// a healthy target.
	healthyCutProbability = 0.01
	// objectiveOverMean is the assumed ratio of a route's latency objective to
	// its mean latency.
	objectiveOverMean = 3
	// defaultMeanLatency is assumed for routes without a latency objective.
	defaultMeanLatency = time.Second
)

// Parameters of admission.
const (
	// maxNonIdempotentRisk is the highest risk at which a non-idempotent call
	// is admitted, maxRelaxedNonIdempotentRisk the same after other targets
	// were worse.
	maxNonIdempotentRisk        = 0.3
	maxRelaxedNonIdempotentRisk = 0.6
	// maxIdempotentRisk is the highest risk at which all idempotent calls are
	// admitted. Above it one trial call is admitted each trialInterval.
	maxIdempotentRisk = 0.5
	trialInterval     = 400 * time.Millisecond
	// maxIdleTime bounds how long a target goes without any call: after it, a
	// non-idempotent call is admitted too, whatever the risk.
	maxIdleTime = 1800 * time.Millisecond
	// maxRetryAfter bounds the retry-after of rejected calls.
	maxRetryAfter = 2 * time.Second
	// idleTargetRetention is how long the state of a target without calls is
	// kept.
	idleTargetRetention = time.Minute
)

// Call describes a call that asks for admission.
type Call struct {
	// Target and Route are names. LatencyObjective is the latency objective of
	// the route, 0 if it has none.
	Target, Route    string
	Epoch            uint64
	LatencyObjective time.Duration
	// NonIdempotent tells that the call is non-idempotent, RelaxRiskLimit that
	// other targets were worse.
	NonIdempotent, RelaxRiskLimit bool
}

// Breaker holds the circuit breakers of the targets of one node. The zero value
// is ready for use.
type Breaker struct {
	mu      sync.Mutex
	targets map[string]*targetState
}

// targetState is the state of one target's circuit breaker.
type targetState struct {
	epoch uint64
	// risk is the probability of an episode at riskTime, from the calls that
	// have ended.
	risk     float64
	riskTime time.Time
	// lastAdmitted is when a call was last admitted, at first when the state
	// was created.
	lastAdmitted time.Time
	latencies    map[string]*latencyDistribution
	inFlight     map[*AdmittedCall]struct{}
}

// AdmittedCall is one admitted call. Done must be called once.
type AdmittedCall struct {
	breaker        *Breaker
	target         *targetState
	latencies      *latencyDistribution
	start          time.Time
	headerReceived bool
}

// Outcome tells how a call ended.
type Outcome uint8

// Outcomes of calls.
const (
	// Good is a successful answer, Failed an answer that reports a failure, and
	// Truncated a broken connection. Abandoned is a call that was given up, by
	// its timeout or by its caller.
	Good Outcome = iota
	Failed
	Truncated
	Abandoned
	// Inconclusive says nothing about the target: the call was not sent, or the
	// target shed it.
	Inconclusive
)

// Admit admits a call, or rejects it with a *coder.Error of code Suspect. It
// also returns the risk that decided.
func (b *Breaker) Admit(t Call) (f *AdmittedCall, risk float64, err error) {
	now := time.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.state(t, now)
	risk = s.currentRisk(now)
	if !s.admits(t, risk, now) {
		return nil, risk, rejection(t, risk)
	}
	s.lastAdmitted = now
	f = &AdmittedCall{breaker: b, target: s, latencies: s.routeLatencies(t), start: now}
	s.inFlight[f] = struct{}{}
	return f, risk, nil
}

// Check returns the error that Admit would return now, without admitting the
// call. It lets a call that waits for a target fail when the target begins to
// hang.
func (b *Breaker) Check(t Call) error {
	now := time.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.state(t, now)
	risk := s.currentRisk(now)
	if s.admits(t, risk, now) {
		return nil
	}
	return rejection(t, risk)
}

func rejection(t Call, risk float64) error {
	return coder.New(coder.Suspect, "%s: risk %.2f of a fault episode", t.Target, risk).WithAfter(retryAfter(risk))
}

// admits tells whether a call is admitted at a risk.
func (s *targetState) admits(t Call, risk float64, now time.Time) bool {
	idle := now.Sub(s.lastAdmitted)
	switch {
	case idle >= maxIdleTime:
		return true
	case t.NonIdempotent && t.RelaxRiskLimit:
		return risk <= maxRelaxedNonIdempotentRisk
	case t.NonIdempotent:
		return risk <= maxNonIdempotentRisk
	}
	return risk <= maxIdempotentRisk || idle >= trialInterval
}

// retryAfter returns the time in which a risk decays to where non-idempotent
// calls are admitted again.
func retryAfter(risk float64) time.Duration {
	stationary := stationaryRisk()
	if risk <= maxNonIdempotentRisk || maxNonIdempotentRisk <= stationary {
		return trialInterval
	}
	seconds := math.Log((risk-stationary)/(maxNonIdempotentRisk-stationary)) / riskDecayPerSecond()
	return min(max(time.Duration(seconds*float64(time.Second)), trialInterval), maxRetryAfter)
}

func riskDecayPerSecond() float64 {
	return 1/meanEpisodeInterval.Seconds() + 1/meanEpisodeDuration.Seconds()
}

func stationaryRisk() float64 { return 1 / meanEpisodeInterval.Seconds() / riskDecayPerSecond() }

// Risk returns the probability that a target is in a fault episode.
func (b *Breaker) Risk(name string) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s := b.targets[name]; s != nil {
		return s.currentRisk(time.Now())
	}
	return stationaryRisk()
}

func (b *Breaker) state(t Call, now time.Time) *targetState {
	if s := b.targets[t.Target]; s != nil && s.epoch == t.Epoch {
		return s
	}
	if b.targets == nil {
		b.targets = map[string]*targetState{}
	}
	for name, s := range b.targets {
		if len(s.inFlight) == 0 && now.Sub(s.lastAdmitted) > idleTargetRetention {
			delete(b.targets, name)
		}
	}
	s := &targetState{
		epoch: t.Epoch, risk: stationaryRisk(), riskTime: now, lastAdmitted: now,
		latencies: map[string]*latencyDistribution{}, inFlight: map[*AdmittedCall]struct{}{},
	}
	if old := b.targets[t.Target]; old != nil {
		s.latencies = old.latencies // a restart leaves the work the same
	}
	b.targets[t.Target] = s
	return s
}

func (s *targetState) routeLatencies(t Call) *latencyDistribution {
	ld := s.latencies[t.Route]
	if ld == nil {
		ld = &latencyDistribution{priorMean: defaultMeanLatency}
		if t.LatencyObjective > 0 {
			ld.priorMean = t.LatencyObjective / objectiveOverMean
		}
		s.latencies[t.Route] = ld
	}
	return ld
}

// decayRisk moves the risk from the ended calls forward to now.
func (s *targetState) decayRisk(now time.Time) {
	decay := math.Exp(-now.Sub(s.riskTime).Seconds() * riskDecayPerSecond())
	s.risk = stationaryRisk() + (s.risk-stationaryRisk())*decay
	s.riskTime = now
}

// currentRisk returns the risk from the ended calls and the calls in flight.
func (s *targetState) currentRisk(now time.Time) float64 {
	s.decayRisk(now)
	risk := s.risk
	for f := range s.inFlight {
		if !f.headerReceived {
			risk = updateRisk(risk, f.runningLikelihoodRatio(now))
		}
	}
	return risk
}

// updateRisk returns the risk after an observation, by Bayes' rule. The
// likelihood ratio is how many times as likely the observation is in an episode.
func updateRisk(risk, likelihoodRatio float64) float64 {
	odds := risk / (1 - risk) * likelihoodRatio
	return min(max(odds/(1+odds), 1e-4), 1-1e-4)
}

// runningLikelihoodRatio returns how many times as likely it is in an episode
// that the call still runs.
func (f *AdmittedCall) runningLikelihoodRatio(now time.Time) float64 {
	tail := f.latencies.tailProbability(now.Sub(f.start))
	return (episodeFailureProbability + (1-episodeFailureProbability)*tail) / tail
}

// HeadReceived records that the header of the answer has come. The time until
// the end of its body also depends on its reader, so it no longer counts.
func (f *AdmittedCall) HeadReceived() {
	f.breaker.mu.Lock()
	defer f.breaker.mu.Unlock()
	f.headerReceived = true
	f.latencies.add(time.Since(f.start))
}

// Done ends the call and updates the risk of its target.
func (f *AdmittedCall) Done(o Outcome) {
	now := time.Now()
	f.breaker.mu.Lock()
	defer f.breaker.mu.Unlock()
	s := f.target
	delete(s.inFlight, f)
	s.decayRisk(now)
	switch o {
	case Good:
		s.risk = updateRisk(s.risk, 1-episodeFailureProbability)
	case Failed:
		s.risk = updateRisk(s.risk, episodeFailureProbability/4/healthyErrorProbability)
	case Truncated:
		s.risk = updateRisk(s.risk, episodeFailureProbability/4/healthyCutProbability)
	case Abandoned:
		if !f.headerReceived {
			s.risk = updateRisk(s.risk, f.runningLikelihoodRatio(now))
		}
	}
}
