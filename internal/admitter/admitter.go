// Package admitter is what an exit node keeps for each target on its VM: the
// queue for its slots, the limit of calls in flight, and the judgement from
// the outcomes.
package admitter

import (
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/zinniaproxy/zinniaproxy/internal/detector"
	"github.com/zinniaproxy/zinniaproxy/internal/dispatcher"
	"github.com/zinniaproxy/zinniaproxy/internal/gater"
	"github.com/zinniaproxy/zinniaproxy/internal/messenger"
	"github.com/zinniaproxy/zinniaproxy/internal/queuer"
	"github.com/zinniaproxy/zinniaproxy/internal/ramper"
	"github.com/zinniaproxy/zinniaproxy/internal/tracer"
	"github.com/zinniaproxy/zinniaproxy/pkg/coder"
)

const (
	// lookEvery is how often changes of limits are looked for.
	lookEvery = 500 * time.Millisecond
	// coarse is the part of the slots by which a limit must have changed until
	// the fleet is told.
	coarse = 4
	// burstPart is the part of a second's calls that may start at once at a cold
	// target, and paceAfter when there is room for the next.
	burstPart = 0.25
	paceAfter = 100 * time.Millisecond
	// forget is how long a target is kept that is no longer announced.
	forget = time.Minute
)

// slot is what is kept for one target.
type slot struct {
	queue queuer.Queuer
	ramp  ramper.Ramper

	// pace bounds how many calls a second start while the target is cold.
	pace *rate.Limiter

	// The admitter's lock guards the rest.
	epoch uint64
	slots int
	// told is the limit that the fleet knows.
	told int
	// seen is when the target was last judged.
	seen time.Time
}

// Admitter admits calls to the targets of one VM. Set the fields before the
// first call.
type Admitter struct {
	// Cold returns how many calls a cold target of a service bears.
	Cold func(service string) int
	// Pace returns how many calls a second a cold target of a service bears, 0
	// for no bound. Nil sets none.
	Pace func(service string) float64
	// Out tells that this node's data centre is out.
	Out func() bool
	// Detector judges the targets. Its Change is set by Run's owner to Told.
	Detector *detector.Detector
	// Gater refuses calls for targets that seem to hang. Nil refuses none.
	Gater *gater.Gater
	// Rejudge publishes the targets anew when judgements have changed.
	Rejudge func()
	// Tracer takes events; nil drops them.
	Tracer *tracer.Tracer

	mu    sync.Mutex
	slots map[string]*slot
	out   bool
}

// Judge fills in the trust, the limit and the score of a target. A new epoch
// starts a target anew.
func (a *Admitter) Judge(t messenger.Target) messenger.Target {
	cold := a.Cold(t.Service)
	a.mu.Lock()
	defer a.mu.Unlock()
	s := a.slots[t.Name]
	if s == nil || s.epoch != t.Epoch {
		s = &slot{epoch: t.Epoch, pace: rate.NewLimiter(rate.Inf, 1)}
		s.queue.Limit = s.ramp.Limit
		if a.slots == nil {
			a.slots = map[string]*slot{}
		}
		a.slots[t.Name] = s
	}
	s.slots, s.seen = t.Slots, time.Now()
	s.setPace(a.pace(t))
	s.ramp.Announce(t.State, t.Slots, cold)
	a.Detector.Watch(t, cold)
	if s.changed() {
		s.told = s.ramp.Limit()
	}
	t.Limit = s.told
	t.Trust, t.Score = a.Detector.Trust(t.Name)
	return t
}

// pace returns how many calls a second may start at a target, 0 for any number.
func (a *Admitter) pace(t messenger.Target) float64 {
	if t.State != messenger.Cold || a.Pace == nil {
		return 0
	}
	return a.Pace(t.Service)
}

// setPace takes a new bound in. A burst is a quarter of a second's calls, so that
// no second has more than a quarter above the bound.
func (s *slot) setPace(pace float64) {
	if pace <= 0 {
		s.pace.SetLimit(rate.Inf)
		return
	}
	s.pace.SetLimit(rate.Limit(pace))
	s.pace.SetBurst(max(int(pace*burstPart), 1))
}

// changed tells whether the limit is to be told anew: it moved by a part of
// the slots, or reached all of them.
func (s *slot) changed() bool {
	n := s.ramp.Limit()
	return max(n-s.told, s.told-n)*coarse >= s.slots || n == s.slots && n != s.told
}

// Told takes the detector's changes of trust.
func (a *Admitter) Told(target string, trust messenger.Trust, score float64) {
	a.Tracer.Add(tracer.Event{Kind: "target-" + trust.String(), Target: target})
	if trust == messenger.Recovering {
		if s := a.slot(target); s != nil {
			s.ramp.Restart()
		}
	}
	a.Rejudge()
}

// Run looks for changes of limits, and for the return of the data centre,
// until ctx ends.
func (a *Admitter) Run(ctx context.Context) error {
	tick := time.NewTicker(lookEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-tick.C:
			if a.look(now) {
				a.Rejudge()
			}
		}
	}
}

// look tells whether any limit is to be told anew.
func (a *Admitter) look(now time.Time) bool {
	out := a.Out()
	a.mu.Lock()
	defer a.mu.Unlock()
	back := a.out && !out
	a.out = out
	changed := false
	for name, s := range a.slots {
		if back {
			s.ramp.Restart()
		}
		if now.Sub(s.seen) > forget {
			delete(a.slots, name)
			a.Detector.Drop(name)
		}
		changed = changed || s.changed()
	}
	return changed
}

func (a *Admitter) slot(target string) *slot {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.slots[target]
}

// Load tells how busy a target is.
func (a *Admitter) Load(target string) dispatcher.Load {
	s := a.slot(target)
	if s == nil {
		return dispatcher.Load{}
	}
	l := s.queue.State()
	return dispatcher.Load{Queue: l.Queue, Flying: l.Flying, Limit: l.Limit}
}

// Loads returns how busy all targets are together.
func (a *Admitter) Loads() (sum dispatcher.Load) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, s := range a.slots {
		l := s.queue.State()
		sum.Queue, sum.Flying, sum.Limit = sum.Queue+l.Queue, sum.Flying+l.Flying, sum.Limit+l.Limit
	}
	return sum
}

// Risk returns the probability that a target hangs just now, 0 without a gater.
func (a *Admitter) Risk(target string) float64 {
	if a.Gater == nil {
		return 0
	}
	return a.Gater.Risk(target)
}

// Acquire waits for a slot of the job's target, and watches the call from then
// on. Errors are *coder.Error.
func (a *Admitter) Acquire(ctx context.Context, j *dispatcher.Job) (func(dispatcher.Outcome), error) {
	s := a.slot(j.Target.Name)
	if s == nil {
		return nil, coder.New(coder.WrongTarget, "%s", j.Target.Name)
	}
	release, err := s.queue.Acquire(ctx, queuer.Ticket{
		Workspace: j.Call.Workspace, Weight: j.Call.Weight, Wait: j.Call.Wait,
		Deadline: j.Deadline, Bytes: len(j.Call.Body), Refuse: a.refuse(j),
	})
	if err != nil {
		return nil, err
	}
	if !s.pace.Allow() {
		release()
		return nil, coder.New(coder.QueueTimeout, "%s is cold", j.Target.Name).WithAfter(paceAfter)
	}
	gate, err := a.enter(j)
	if err != nil {
		release()
		return nil, err
	}
	f := a.Detector.Start(j.Target.Name)
	watchHead(j, f, gate)
	return func(o dispatcher.Outcome) {
		l := lessons[o.Result]
		s.ramp.Done(l.kind, f.Done(l.kind), s.queue.State().Flying)
		if gate != nil {
			gate.Done(l.gate)
		}
		release()
	}, nil
}

// refuse returns the gater's question for a call that waits, nil without one.
func (a *Admitter) refuse(j *dispatcher.Job) func() error {
	if a.Gater == nil {
		return nil
	}
	t := ticket(j)
	return func() error { return a.Gater.Peek(t) }
}

func ticket(j *dispatcher.Job) gater.Ticket {
	c := j.Call
	return gater.Ticket{
		Target: j.Target.Name, Epoch: j.Target.Epoch, Route: c.Route, Aim: c.Aim, Once: c.Once, Bold: c.Bold,
	}
}

// enter asks the gater, if there is one.
func (a *Admitter) enter(j *dispatcher.Job) (*gater.Flight, error) {
	if a.Gater == nil {
		return nil, nil
	}
	f, risk, err := a.Gater.Enter(ticket(j))
	j.Risk = risk
	return f, err
}

// lesson is what the outcome of a call tells of its target.
type lesson struct {
	kind detector.Kind
	gate gater.Outcome
}

var lessons = map[dispatcher.Result]lesson{
	dispatcher.NotSent:  {detector.Canceled, gater.Silent},
	dispatcher.Good:     {detector.Good, gater.Good},
	dispatcher.Failed:   {detector.Failed, gater.Failed},
	dispatcher.CutShort: {detector.Cut, gater.Cut},
	dispatcher.TimedOut: {detector.Timeout, gater.Late},
	dispatcher.Shed:     {detector.Shed, gater.Silent},
	// The gater weighs by itself how long a call ran that was given up.
	dispatcher.Canceled: {detector.Canceled, gater.Late},
}

// watchHead lets the flight know of the head of the answer: the time of the
// body is the caller's too.
func watchHead(j *dispatcher.Job, f *detector.Flight, gate *gater.Flight) {
	head := j.Out.Head
	j.Out.Head = func(h messenger.Head, last bool) error {
		f.Headed()
		if gate != nil {
			gate.Headed()
		}
		return head(h, last)
	}
}
