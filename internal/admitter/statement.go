package admitter

import (
	"strconv"
	"time"

	"github.com/zinniaproxy/zinniaproxy/internal/messenger"
	"github.com/zinniaproxy/zinniaproxy/internal/tracer"
)

const (
	// minStatedRate is the least rate, in calls per second, that a stated rate is
	// taken for. Without any call, the node would not learn that the target
	// states another rate.
	minStatedRate = 0.25
	// rateStepDivisor sets the smallest change of a stated rate that is
	// published: the published rate divided by it.
	rateStepDivisor = 4
)

// ObserveStatement applies what a target states about itself in the response to a
// call sent at a time. A response that states no rate lifts an earlier rate only
// if its call was sent after that was stated, since responses overtake each
// other. A process that leaves never returns. The result is what holds now.
func (a *Admitter) ObserveStatement(t messenger.Target, sent time.Time, st messenger.Statement) messenger.Statement {
	a.mu.Lock()
	s := a.targets[t.Name]
	if s == nil || s.epoch != t.Epoch {
		a.mu.Unlock()
		return st
	}
	s.hasResponse = true
	switch {
	case st.Limited:
		s.limitedAt = time.Now()
	case s.statement.Limited && !sent.After(s.limitedAt):
		st.Limited, st.Rate = true, s.statement.Rate
	}
	st.Leaving = st.Leaving || s.statement.Leaving
	publish := a.setStatement(t.Name, s, st)
	a.mu.Unlock()
	if publish {
		a.RefreshVerdicts()
	}
	return st
}

// AdoptStatement applies what a target stated to an entry node, until this node
// has a response of its own: after a restart it does not know what the entry
// nodes that received the responses know. The lowest rate holds.
func (a *Admitter) AdoptStatement(target string, epoch uint64, st messenger.Statement) {
	if !st.Limited {
		return
	}
	a.mu.Lock()
	s := a.targets[target]
	if s == nil || s.epoch != epoch || s.hasResponse || s.statement.Limited && s.statement.Rate <= st.Rate {
		a.mu.Unlock()
		return
	}
	s.limitedAt = time.Now()
	publish := a.setStatement(target, s, messenger.Statement{Limited: true, Rate: st.Rate, Leaving: s.statement.Leaving})
	a.mu.Unlock()
	if publish {
		a.RefreshVerdicts()
	}
}

// setStatement reports whether the target must be published again. The caller
// holds the lock.
func (a *Admitter) setStatement(target string, s *targetState, st messenger.Statement) bool {
	if s.statement == st {
		return false
	}
	a.traceStatement(target, s.statement, st)
	beginsToLeave := st.Leaving && !s.statement.Leaving
	s.statement = st
	s.statedPacer.setRate(s.statedRate())
	return beginsToLeave || s.rateChanged()
}

// statedRate returns the calls per second that may start by the target's
// statement, 0 for no limit.
func (s *targetState) statedRate() float64 {
	if !s.statement.Limited {
		return 0
	}
	return max(s.statement.Rate, minStatedRate)
}

// rateChanged reports whether the stated rate must be published again.
func (s *targetState) rateChanged() bool {
	r := s.statedRate()
	if r == 0 || s.publishedRate == 0 {
		return r != s.publishedRate
	}
	return max(r-s.publishedRate, s.publishedRate-r)*rateStepDivisor >= s.publishedRate
}

// traceStatement records the events of a target that states something new.
func (a *Admitter) traceStatement(target string, old, st messenger.Statement) {
	switch {
	case st.Limited && (!old.Limited || st.Rate != old.Rate):
		a.Tracer.Add(tracer.Event{Kind: "target-limited", Target: target, Detail: strconv.FormatFloat(st.Rate, 'g', 4, 64) + " calls per second"})
	case old.Limited && !st.Limited:
		a.Tracer.Add(tracer.Event{Kind: "target-unlimited", Target: target})
	}
	if st.Leaving && !old.Leaving {
		a.Tracer.Add(tracer.Event{Kind: "target-leaving", Target: target})
	}
}

// StartDelay returns how long a call for a target that arrives now would wait for
// the target's limits of calls per second, and whether it would be refused.
func (a *Admitter) StartDelay(target string) (d time.Duration, refused bool) {
	s := a.target(target)
	if s == nil {
		return 0, false
	}
	d = max(s.coldPacer.delay(), s.statedPacer.delay())
	return d, d > maxPaceWait
}

// LimitedTargets returns how many targets state a rate.
func (a *Admitter) LimitedTargets() (n int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, s := range a.targets {
		if s.statement.Limited {
			n++
		}
	}
	return n
}
