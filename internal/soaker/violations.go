package soaker

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/zinniaproxy/zinniaproxy/internal/faker"
	"github.com/zinniaproxy/zinniaproxy/internal/loader"
	"github.com/zinniaproxy/zinniaproxy/pkg/coder"
)

const (
	// withdrawnAfter is how long a withdrawn key may still be used: letter 1
	// has changes in force within 7 s.
	withdrawnAfter = 7 * time.Second
	// afterFault is how long after an unplanned fault a connection may still
	// break of it: the death of a node is noticed within 8 s, and a request
	// takes 2 s.
	afterFault = 10 * time.Second
)

// Seen is what a run saw.
type Seen struct {
	// Start is when the load began, Steps what was done, by times after it.
	Start time.Time
	Steps []Step
	// Outcomes are the requests' ends, Runs and Counts the targets' logs.
	Outcomes []loader.Outcome
	Runs     []faker.Run
	Counts   []faker.TargetCounts
	// Withdrawn is when the old key was withdrawn, zero if it was not.
	Withdrawn time.Time
	// Calm is from when on all must be well again.
	Calm time.Time
	// Reverts tell of nodes whose configuration went back, Trouble what went
	// wrong otherwise, such as a node that did not stop.
	Reverts, Trouble []string
}

// Judge returns the promises that were broken, each with a case: those that hold
// on any machine, and those of service, which a machine without time to spare
// breaks.
func (s *Seen) Judge() (safety, service []string) {
	safety, service = slices.Clone(s.Reverts), slices.Clone(s.Trouble)
	runs := map[string]int{}
	for _, r := range s.Runs {
		runs[r.Token]++
	}
	for _, o := range s.Outcomes {
		if why := s.wrong(o, runs[o.Token]); why != "" {
			safety = append(safety, s.describe(why, o))
		} else if why := s.unserved(o); why != "" {
			service = append(service, s.describe(why, o))
		}
	}
	for _, c := range s.Counts {
		if c.Keys > 0 {
			safety = append(safety, fmt.Sprintf("%d requests at a target held a key", c.Keys))
		}
		if c.Overcold > 0 {
			safety = append(safety, fmt.Sprintf("%d requests beyond what a cold target bears", c.Overcold))
		}
	}
	if n := s.excess(); n > 0 {
		safety = append(safety, fmt.Sprintf("the shop was served %.1f requests beyond its rate and burst", n))
	}
	return safety, service
}

func (s *Seen) describe(why string, o loader.Outcome) string {
	return fmt.Sprintf("%s: %s request %s, due at %.2f s at %s, took %.2f s: %s %d %s %s", why, calls()[o.Call].Name, o.Token,
		o.Due.Sub(s.Start).Seconds(), o.Entry, o.Took.Seconds(), o.Kind, o.Status, coder.Lookup(o.Code).Name, o.Detail)
}

// wrong tells which promise of safety a request shows broken, or "".
func (s *Seen) wrong(o loader.Outcome, ran int) string {
	call := calls()[o.Call]
	switch {
	case o.Status == goneStatus:
		return ""
	case o.Kind == loader.Wrong || o.Kind == loader.Cut:
		return "not its own whole answer"
	case call.Once && ran > 1:
		return fmt.Sprintf("ran %d times", ran)
	case o.Kind == loader.Refused && o.Ran == coder.RanNo && ran > 0:
		return "a refusal says not run, and it ran"
	case o.Call == oldCall && o.Kind == loader.Answered && !s.Withdrawn.IsZero() && o.Due.Sub(s.Withdrawn) > withdrawnAfter:
		return "a withdrawn key was used"
	}
	return ""
}

// unserved tells which promise of service a request shows broken, or "".
func (s *Seen) unserved(o loader.Outcome) string {
	switch {
	case o.Status == goneStatus:
		return ""
	case o.Kind == loader.Broken && !s.disturbed(o):
		return "broken, with only planned steps about"
	case !o.Due.Before(s.Calm) && !s.well(o):
		return "not served though all is well again"
	}
	return ""
}

// disturbed tells that an unplanned fault may have to do with a request.
func (s *Seen) disturbed(o loader.Outcome) bool {
	begin, end := o.Due.Sub(s.Start), o.Due.Sub(s.Start)+o.Took
	return slices.ContainsFunc(s.Steps, func(st Step) bool {
		return !st.Kind.planned() && st.At < end && st.At+st.For+afterFault > begin
	})
}

// well tells that a request ended as it should when nothing is wrong.
func (s *Seen) well(o loader.Outcome) bool {
	switch o.Call {
	case shopCall:
		return o.Kind == loader.Answered || o.Code == coder.RateExceeded
	case oldCall:
		return o.Kind == loader.Answered || !s.Withdrawn.IsZero()
	}
	return o.Kind == loader.Answered && o.Status < 500
}

// excess returns by how many requests the shop was served beyond its terms in
// the worst window. A request counts in windows that hold all of its time.
func (s *Seen) excess() (most float64) {
	var ends []span
	for _, o := range s.Outcomes {
		if o.Call == shopCall && o.Kind == loader.Answered {
			ends = append(ends, span{o.Due.Sub(s.Start), o.Due.Sub(s.Start) + o.Took})
		}
	}
	slices.SortFunc(ends, func(a, b span) int { return int(a.to - b.to) })
	for _, first := range ends {
		n := 0.0
		for _, e := range ends {
			if e.from < first.from {
				continue
			}
			n++
			most = max(most, n-shopBurst-shopRate*(e.to-first.from).Seconds())
		}
	}
	return most
}

type span struct{ from, to time.Duration }

// gone is the kind of requests that found no process.
const gone loader.Kind = "gone"

// kindOf returns how a request ended.
func kindOf(o loader.Outcome) loader.Kind {
	if o.Status == goneStatus {
		return gone
	}
	return o.Kind
}

// Summary counts the outcomes by kind.
func (s *Seen) Summary() string {
	counts := map[loader.Kind]int{}
	for _, o := range s.Outcomes {
		counts[kindOf(o)]++
	}
	var out []string
	for _, k := range shown {
		out = append(out, fmt.Sprintf("%s %d", k, counts[k]))
	}
	return strings.Join(out, ", ")
}
