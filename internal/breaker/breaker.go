// Package breaker is a circuit breaker. On the exit node, it rejects calls to a
// target within a second after the target begins to hang or fail, without asking
// other nodes.
//
// Targets with gray failures have fault episodes: for some seconds they hang or
// fail most of their calls, then they are healthy again. For each target the
// package keeps its risk, the probability that it is in an episode, by a
// two-state hidden Markov model. Calls that take longer than the successful
// responses of their route raise the risk, and successful responses lower it.
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
	// StationaryRisk is the risk of a target of which nothing is known.
	StationaryRisk = float64(meanEpisodeDuration) / float64(meanEpisodeDuration+meanEpisodeInterval)
	// episodeFailureProbability is the fraction of calls that hang or fail
	// during an episode.
	episodeFailureProbability = 0.7
	// episodeErrorProbability is the fraction of calls that a target in an
	// episode answers with a failure, and of those whose connection breaks.
	episodeErrorProbability = episodeFailureProbability / 4
	// healthyErrorProbability is the fraction of calls that a healthy target
	// answers with a failure.
	healthyErrorProbability = 0.02
	// healthyTruncationProbability is the fraction of calls whose connection
	// breaks at a healthy target.
	healthyTruncationProbability = 0.01
	// objectiveOverMean is the assumed ratio of a route's latency objective to
	// its mean latency.
	objectiveOverMean = 3
	// defaultMeanLatency is assumed for routes without a latency objective.
	defaultMeanLatency = time.Second
)

// Parameters of admission.
const (
	// MaxNonIdempotentRisk is the highest risk at which a non-idempotent call
	// is admitted, MaxRelaxedNonIdempotentRisk the same after other targets
	// were worse.
	MaxNonIdempotentRisk        = 0.3
	MaxRelaxedNonIdempotentRisk = 0.6
	// maxIdempotentRisk is the highest risk at which all idempotent calls are
	// admitted. Above it one trial call is admitted each trialInterval, and those
	// for which other targets were worse.
	maxIdempotentRisk = 0.5
	trialInterval     = 400 * time.Millisecond
	// MaxIdleTime bounds how long a target goes without any call: after it, a
	// non-idempotent call is admitted too, whatever the risk.
	MaxIdleTime = 1800 * time.Millisecond
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
	// Insist tells that the call can wait for no other target: it is admitted at
	// any risk.
	Insist bool
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
	// lastAdmitted is when a call was last admitted, or when the state was
	// created if none was.
	lastAdmitted time.Time
	calibration  calibration
	latencies    map[string]*latencyDistribution
	inFlight     map[*AdmittedCall]struct{}
}

// AdmittedCall tracks a call from its admission to its end. Done must be called
// once.
type AdmittedCall struct {
	breaker      *Breaker
	target       *targetState
	latencies    *latencyDistribution
	start        time.Time
	headReceived bool
	// modelRisk is the model's risk when the call was admitted.
	modelRisk float64
	// pauses is how many times Pause was called without Resume, pausedAt when the
	// first of them was, and paused the sum of the earlier pauses.
	pauses   int
	pausedAt time.Time
	paused   time.Duration
}

// Pause stops the age of a call: its target waits for an answer to a request of
// its own, so that it does not hang. Calls of Pause nest.
func (a *AdmittedCall) Pause() {
	a.breaker.mu.Lock()
	defer a.breaker.mu.Unlock()
	if a.pauses == 0 {
		a.pausedAt = time.Now()
	}
	a.pauses++
}

// Resume ends one Pause.
func (a *AdmittedCall) Resume() {
	a.breaker.mu.Lock()
	defer a.breaker.mu.Unlock()
	if a.pauses--; a.pauses == 0 {
		a.paused += time.Since(a.pausedAt)
	}
}

// age returns how long the target has worked on the call, without pauses. The
// caller holds the lock.
func (a *AdmittedCall) age(now time.Time) time.Duration {
	age := now.Sub(a.start) - a.paused
	if a.pauses > 0 {
		age -= now.Sub(a.pausedAt)
	}
	return age
}

// Outcome tells how a call ended.
type Outcome uint8

// Outcomes of calls.
const (
	// Good is a successful response, Failed one that reports a failure, and
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
func (b *Breaker) Admit(c Call) (a *AdmittedCall, risk float64, err error) {
	now := time.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.state(c, now)
	risk = s.currentRisk(now)
	if !s.admits(c, risk, now) {
		return nil, risk, rejection(c, risk)
	}
	s.lastAdmitted = now
	a = &AdmittedCall{breaker: b, target: s, latencies: s.routeLatencies(c), start: now, modelRisk: s.modelRisk(now)}
	s.inFlight[a] = struct{}{}
	return a, risk, nil
}

// Check returns the error that Admit would return now, without admitting the
// call. It lets a call that waits for a target fail when the target begins to
// hang.
func (b *Breaker) Check(c Call) error {
	now := time.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.state(c, now)
	risk := s.currentRisk(now)
	if s.admits(c, risk, now) {
		return nil
	}
	return rejection(c, risk)
}

func rejection(c Call, risk float64) error {
	return coder.New(coder.Suspect, "%s: risk %.2f of a fault episode", c.Target, risk).WithAfter(retryAfter(risk))
}

// admits tells whether a call is admitted at a risk.
func (s *targetState) admits(c Call, risk float64, now time.Time) bool {
	idle := now.Sub(s.lastAdmitted)
	switch {
	case idle >= MaxIdleTime || c.Insist:
		return true
	case c.NonIdempotent && c.RelaxRiskLimit:
		return risk <= MaxRelaxedNonIdempotentRisk
	case c.NonIdempotent:
		return risk <= MaxNonIdempotentRisk
	case c.RelaxRiskLimit:
		return true // a refusal would be final, and a trial can be repeated
	}
	return risk <= maxIdempotentRisk || idle >= trialInterval
}

// retryAfter returns the time in which a risk decays to where non-idempotent
// calls are admitted again.
func retryAfter(risk float64) time.Duration {
	const stationary = StationaryRisk
	if risk <= MaxNonIdempotentRisk || MaxNonIdempotentRisk <= stationary {
		return trialInterval
	}
	seconds := math.Log((risk-stationary)/(MaxNonIdempotentRisk-stationary)) / riskDecayPerSecond()
	return min(max(time.Duration(seconds*float64(time.Second)), trialInterval), maxRetryAfter)
}

func riskDecayPerSecond() float64 {
	return 1/meanEpisodeInterval.Seconds() + 1/meanEpisodeDuration.Seconds()
}

// Risk returns the probability that a target is in a fault episode.
func (b *Breaker) Risk(name string) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s := b.targets[name]; s != nil {
		return s.currentRisk(time.Now())
	}
	return StationaryRisk
}

// IdleTime returns for how long a target has gone without any call, MaxIdleTime if
// it had none yet. After that time the next call is admitted whatever the risk.
func (b *Breaker) IdleTime(name string) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s := b.targets[name]; s != nil {
		return time.Since(s.lastAdmitted)
	}
	return MaxIdleTime
}

// state returns the state of a call's target. It creates one for a new epoch, and
// then drops the states of idle targets. The caller holds the lock.
func (b *Breaker) state(c Call, now time.Time) *targetState {
	if s := b.targets[c.Target]; s != nil && s.epoch == c.Epoch {
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
		epoch: c.Epoch, risk: StationaryRisk, riskTime: now, lastAdmitted: now,
		latencies: map[string]*latencyDistribution{}, inFlight: map[*AdmittedCall]struct{}{},
	}
	if old := b.targets[c.Target]; old != nil {
		s.latencies, s.calibration = old.latencies, old.calibration // a restart leaves the work the same
	}
	b.targets[c.Target] = s
	return s
}

func (s *targetState) routeLatencies(c Call) *latencyDistribution {
	ld := s.latencies[c.Route]
	if ld == nil {
		ld = &latencyDistribution{priorMean: defaultMeanLatency}
		if c.LatencyObjective > 0 {
			ld.priorMean = c.LatencyObjective / objectiveOverMean
		}
		s.latencies[c.Route] = ld
	}
	return ld
}

// decayRisk moves s.risk from riskTime to now: without calls it approaches the
// stationary risk.
func (s *targetState) decayRisk(now time.Time) {
	decay := math.Exp(-now.Sub(s.riskTime).Seconds() * riskDecayPerSecond())
	s.risk = StationaryRisk + (s.risk-StationaryRisk)*decay
	s.riskTime = now
}

// currentRisk returns the calibrated risk.
func (s *targetState) currentRisk(now time.Time) float64 {
	var bad [calibrationBins]float64
	for a := range s.inFlight {
		if !a.headReceived {
			bad[calibrationBin(a.modelRisk)] += a.lateness(now)
		}
	}
	return s.calibration.correct(s.modelRisk(now), &bad, now)
}

// modelRisk returns the risk from the ended calls and the calls in flight.
func (s *targetState) modelRisk(now time.Time) float64 {
	s.decayRisk(now)
	risk := s.risk
	for a := range s.inFlight {
		if !a.headReceived {
			risk = updateRisk(risk, a.runningLikelihoodRatio(now))
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
func (a *AdmittedCall) runningLikelihoodRatio(now time.Time) float64 {
	tail := a.latencies.tailProbability(a.age(now))
	return (episodeFailureProbability + (1-episodeFailureProbability)*tail) / tail
}

// lateness returns the fraction of the successful responses that come earlier than
// the age of the call.
func (a *AdmittedCall) lateness(now time.Time) float64 {
	return 1 - a.latencies.tailProbability(a.age(now))
}

// HeadReceived records that the head of the response has come. The time of the
// body also depends on its reader, so the call's age no longer counts.
func (a *AdmittedCall) HeadReceived() {
	a.breaker.mu.Lock()
	defer a.breaker.mu.Unlock()
	a.headReceived = true
	a.latencies.add(a.age(time.Now()))
}

// Done ends the call and updates the risk of its target.
func (a *AdmittedCall) Done(o Outcome) {
	now := time.Now()
	a.breaker.mu.Lock()
	defer a.breaker.mu.Unlock()
	s := a.target
	delete(s.inFlight, a)
	s.decayRisk(now)
	switch o {
	case Good:
		s.calibration.add(a.modelRisk, 0, now)
	case Failed, Truncated:
		s.calibration.add(a.modelRisk, 1, now)
	case Abandoned:
		if !a.headReceived {
			if late := a.lateness(now); late > 0.5 {
				s.calibration.add(a.modelRisk, late, now)
			}
		}
	}
	switch o {
	case Good:
		s.risk = updateRisk(s.risk, 1-episodeFailureProbability)
	case Failed:
		s.risk = updateRisk(s.risk, episodeErrorProbability/healthyErrorProbability)
	case Truncated:
		s.risk = updateRisk(s.risk, episodeErrorProbability/healthyTruncationProbability)
	case Abandoned:
		if !a.headReceived {
			s.risk = updateRisk(s.risk, a.runningLikelihoodRatio(now))
		}
	}
}
