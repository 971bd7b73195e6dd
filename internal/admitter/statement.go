package admitter

import (
	"strconv"
	"time"

	"github.com/zinniaproxy/zinniaproxy/internal/messenger"
	"github.com/zinniaproxy/zinniaproxy/internal/tracer"
)

// ObserveStatement records what a target states about itself in the response to
// a call sent at a time.
func (a *Admitter) ObserveStatement(t messenger.Target, _ time.Time, st messenger.Statement) {
	a.mu.Lock()
	defer a.mu.Unlock()
	s := a.targets[t.Name]
	if s == nil || s.epoch != t.Epoch || s.statement == st {
		return
	}
	a.traceStatement(t.Name, s.statement, st)
	s.statement = st
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
