// Package admitter controls, at an exit node, which calls may start at the
// targets of its VM. For each target it keeps a queue for its slots, a limit of
// calls in flight and, while the target is cold or states a rate, a limit of calls
// per second. It reports the outcomes of calls to the outlier detector and the
// circuit breaker.
package admitter

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/zinniaproxy/zinniaproxy/internal/breaker"
	"github.com/zinniaproxy/zinniaproxy/internal/detector"
	"github.com/zinniaproxy/zinniaproxy/internal/exithandler"
	"github.com/zinniaproxy/zinniaproxy/internal/messenger"
	"github.com/zinniaproxy/zinniaproxy/internal/queuer"
	"github.com/zinniaproxy/zinniaproxy/internal/ramper"
	"github.com/zinniaproxy/zinniaproxy/internal/tracer"
	"github.com/zinniaproxy/zinniaproxy/pkg/coder"
)

const (
	// limitCheckInterval is the time between checks for changed limits.
	limitCheckInterval = 500 * time.Millisecond
	// limitStepDivisor sets the smallest change of a limit that is published: the
	// number of slots divided by it.
	limitStepDivisor = 4
	// targetRetention is how long a target is kept after its last announcement.
	targetRetention = time.Minute
)

// targetState is the state of one target.
type targetState struct {
	queue queuer.Queuer
	ramp  ramper.Ramper

	// coldPacer limits the calls that start per second while the target is cold,
	// statedPacer while it states a rate.
	coldPacer, statedPacer pacer

	// untaken is how many slots are held by reservations.
	untaken atomic.Int64

	// The fields below are guarded by Admitter.mu.
	epoch   uint64
	service string
	slots   int
	// coldLimit is the service's cold limit that the ramp was last given. A
	// target may announce itself before this node has a configuration.
	coldLimit int
	// publishedLimit is the limit that was last published to the fleet.
	publishedLimit int
	// statement is what the target last stated about itself in a response, and
	// limitedAt when a response last stated a rate. hasResponse is set once this
	// process has received a response of the target.
	statement   messenger.Statement
	limitedAt   time.Time
	hasResponse bool
	// publishedRate is the stated rate that was last published to the fleet, 0
	// for none.
	publishedRate float64
	// verdictAppliedAt is the time of the last call of ApplyVerdict.
	verdictAppliedAt time.Time
}

// Admitter admits calls to the targets of one VM. Set the fields before the
// first call.
type Admitter struct {
	// ColdLimit returns how many calls a cold target of a service can run at
	// once.
	ColdLimit func(service string) int
	// ColdRate returns how many calls per second may start at a cold target of a
	// service; 0 means no limit. A nil ColdRate sets no limit for any service.
	ColdRate func(service string) float64
	// CentreOut reports whether the configuration takes this node's data centre
	// out of service.
	CentreOut func() bool
	// Detector determines the health verdicts of the targets. Its OnVerdict must
	// be set to HandleVerdict.
	Detector *detector.Detector
	// Breaker is the circuit breaker: it rejects calls to targets that are
	// likely to hang. Nil rejects none.
	Breaker *breaker.Breaker
	// RefreshVerdicts publishes the targets again after a health verdict or a
	// limit has changed.
	RefreshVerdicts func()
	// Tracer records events; nil drops them.
	Tracer *tracer.Tracer

	running runningCalls
	// granted counts the slots given out, by rank.
	granted [Ranks]atomic.Int64
	// reservations counts how reservations ended.
	reservations reservationCounters

	mu      sync.Mutex
	targets map[string]*targetState
	// held are the reservations with a slot that no call has taken.
	held map[reservationKey]*Reservation
	// wasOut is the result of CentreOut at the last check.
	wasOut bool
}

// ApplyVerdict returns the target with its health verdict, limits and score set,
// and as draining if its responses say that it leaves, whatever it announces.
// It resets the state of a target whose epoch has changed.
func (a *Admitter) ApplyVerdict(t messenger.Target) messenger.Target {
	cold := a.ColdLimit(t.Service)
	a.mu.Lock()
	defer a.mu.Unlock()
	s := a.targets[t.Name]
	if s == nil || s.epoch != t.Epoch {
		s = &targetState{epoch: t.Epoch, service: t.Service}
		s.queue.Limit = s.ramp.Limit
		if a.targets == nil {
			a.targets = map[string]*targetState{}
		}
		a.targets[t.Name] = s
	}
	s.slots, s.coldLimit, s.verdictAppliedAt = t.Slots, cold, time.Now()
	s.coldPacer.setRate(a.coldRate(t))
	s.ramp.Announce(t.State, t.Slots, cold)
	a.Detector.Watch(t, cold)
	if s.limitChanged() {
		s.publishedLimit = s.ramp.Limit()
	}
	if s.rateChanged() {
		s.publishedRate = s.statedRate()
	}
	t.Limit, t.Rate = s.publishedLimit, s.publishedRate
	t.Trust, t.Score = a.Detector.Trust(t.Name)
	if s.statement.Leaving {
		t.State = messenger.Draining
	}
	return t
}

// coldRate returns how many calls per second may start at a target, 0 for no
// limit.
func (a *Admitter) coldRate(t messenger.Target) float64 {
	if t.State != messenger.Cold || a.ColdRate == nil {
		return 0
	}
	return a.ColdRate(t.Service)
}

// limitChanged reports whether the limit must be published again: it moved by
// at least one step, or reached the number of slots.
func (s *targetState) limitChanged() bool {
	n := s.ramp.Limit()
	return max(n-s.publishedLimit, s.publishedLimit-n)*limitStepDivisor >= s.slots || n == s.slots && n != s.publishedLimit
}

// HandleVerdict handles a change of a target's health verdict. A recovering
// target goes back to its cold limit.
func (a *Admitter) HandleVerdict(target string, trust messenger.Trust, score float64) {
	a.Tracer.Add(tracer.Event{Kind: "target-" + trust.String(), Target: target})
	if trust == messenger.Recovering {
		if s := a.target(target); s != nil {
			s.ramp.Restart()
		}
	}
	a.RefreshVerdicts()
}

// Run publishes the targets again whenever a limit has changed, and resets their
// limits when the data centre returns to service. It ends with ctx.
func (a *Admitter) Run(ctx context.Context) error {
	ticker := time.NewTicker(limitCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			if a.checkLimits(now) {
				a.RefreshVerdicts()
			}
		}
	}
}

// checkLimits reports whether any limit must be published again. It also drops
// targets past targetRetention.
func (a *Admitter) checkLimits(now time.Time) bool {
	out := a.CentreOut()
	a.mu.Lock()
	defer a.mu.Unlock()
	returned := a.wasOut && !out
	a.wasOut = out
	changed := false
	for name, s := range a.targets {
		if returned {
			s.ramp.Restart()
		}
		if now.Sub(s.verdictAppliedAt) > targetRetention {
			delete(a.targets, name)
			a.Detector.Drop(name)
		}
		changed = changed || s.limitChanged() || s.rateChanged() || s.coldLimit != a.ColdLimit(s.service)
	}
	return changed
}

// target returns the state of a target, or nil if it is not known.
func (a *Admitter) target(name string) *targetState {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.targets[name]
}

// Load returns the load of a target, or a zero Load if the target is not known.
func (a *Admitter) Load(target string) exithandler.Load {
	s := a.target(target)
	if s == nil {
		return exithandler.Load{}
	}
	l := s.queue.State()
	return exithandler.Load{Queue: l.Queue, InFlight: l.InFlight, Limit: l.Limit}
}

// Loads returns the sum of the loads of all targets.
func (a *Admitter) Loads() (sum exithandler.Load) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, s := range a.targets {
		l := s.queue.State()
		sum.Queue, sum.InFlight, sum.Limit = sum.Queue+l.Queue, sum.InFlight+l.InFlight, sum.Limit+l.Limit
	}
	return sum
}

// Risk returns the probability that a target is in a fault episode now, or 0
// without a circuit breaker.
func (a *Admitter) Risk(target string) float64 {
	if a.Breaker == nil {
		return 0
	}
	return a.Breaker.Risk(target)
}

// IdleTime returns for how long a target has gone without any call, or 0 if that
// is not known or there is no circuit breaker.
func (a *Admitter) IdleTime(target string) time.Duration {
	if a.Breaker == nil {
		return 0
	}
	return a.Breaker.IdleTime(target)
}

// Acquire waits for a slot of the job's target, or takes the slot that the call
// has reserved, and starts to track the call. On success the returned function must be called once with the outcome of the
// call; it releases the slot. Errors are *coder.Error.
func (a *Admitter) Acquire(ctx context.Context, j *exithandler.Job) (func(exithandler.Outcome), error) {
	s := a.target(j.Target.Name)
	if s == nil {
		return nil, coder.New(coder.WrongTarget, "target %s is not on this node", j.Target.Name)
	}
	a.AdoptStatement(j.Target.Name, j.Target.Epoch, j.Call.Statement)
	slot, err := a.acquireSlot(ctx, s, j)
	if err != nil {
		return nil, err
	}
	if err := awaitStart(ctx, a.breakerCheck(j), &s.coldPacer, &s.statedPacer); err != nil {
		slot.Cancel()
		return nil, err
	}
	admittedCall, err := a.passBreaker(j)
	if err != nil {
		slot.Cancel()
		return nil, err
	}
	attempt := a.Detector.Start(j.Target.Name)
	observeHead(j, attempt, admittedCall)
	a.running.add(j.Call.Request, admittedCall, j.Call.Repeat)
	return func(o exithandler.Outcome) {
		a.running.remove(j.Call.Request, admittedCall)
		class := resultClasses[o.Result]
		s.ramp.Done(class.detector, attempt.Done(class.detector), s.queue.State().InFlight)
		if admittedCall != nil {
			admittedCall.Done(class.breaker)
		}
		slot.Release()
	}, nil
}

// breakerCheck returns a function that reports, while a call is queued, whether
// the circuit breaker would reject it now. It is nil without a circuit breaker.
func (a *Admitter) breakerCheck(j *exithandler.Job) func() error {
	if a.Breaker == nil {
		return nil
	}
	c := callToAdmit(j)
	return func() error { return a.Breaker.Check(c) }
}

// callToAdmit describes a job's call to the circuit breaker.
func callToAdmit(j *exithandler.Job) breaker.Call {
	c := j.Call
	return breaker.Call{
		Target: j.Target.Name, Epoch: j.Target.Epoch, Route: c.Route, LatencyObjective: c.Aim, NonIdempotent: c.Once, RelaxRiskLimit: c.RelaxRiskLimit,
		Insist: c.Insist,
	}
}

// passBreaker asks the circuit breaker to admit a call, and records the risk in
// the job. Without a circuit breaker it returns nil, nil.
func (a *Admitter) passBreaker(j *exithandler.Job) (*breaker.AdmittedCall, error) {
	if a.Breaker == nil {
		return nil, nil
	}
	admittedCall, risk, err := a.Breaker.Admit(callToAdmit(j))
	j.Risk = risk
	return admittedCall, err
}

// resultClass is how the detector and the circuit breaker classify the result of a
// call.
type resultClass struct {
	detector detector.Outcome
	breaker  breaker.Outcome
}

var resultClasses = map[exithandler.Result]resultClass{
	exithandler.NotSent:  {detector.Canceled, breaker.Inconclusive},
	exithandler.Good:     {detector.Good, breaker.Good},
	exithandler.Failed:   {detector.Failed, breaker.Failed},
	exithandler.CutShort: {detector.Truncated, breaker.Truncated},
	exithandler.TimedOut: {detector.Timeout, breaker.Abandoned},
	exithandler.Shed:     {detector.Shed, breaker.Inconclusive},
	// The circuit breaker itself weighs how long a canceled call ran.
	exithandler.Canceled: {detector.Canceled, breaker.Abandoned},
}

// observeHead tells the detector and the circuit breaker when the response head
// arrives. The time of the body is excluded, since it also depends on the
// caller.
func observeHead(j *exithandler.Job, attempt *detector.Attempt, admittedCall *breaker.AdmittedCall) {
	head := j.Response.Head
	j.Response.Head = func(h messenger.ResponseHead, last bool) error {
		attempt.HeadReceived()
		if admittedCall != nil {
			admittedCall.HeadReceived()
		}
		return head(h, last)
	}
}
