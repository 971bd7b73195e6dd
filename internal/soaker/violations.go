package soaker

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/zinniaproxy/zinniaproxy/internal/faker"
	"github.com/zinniaproxy/zinniaproxy/internal/loadgenerator"
	"github.com/zinniaproxy/zinniaproxy/pkg/coder"
)

const (
	// maxWithdrawalDelay bounds how long a withdrawn key may still work: changes
	// must be in force within 7 s.
	maxWithdrawalDelay = 7 * time.Second
	// maxFaultEffectDelay bounds how long after an unplanned fault a connection
	// may still break because of it: a dead node is detected within 8 s, and a
	// request takes up to 2 s.
	maxFaultEffectDelay = 10 * time.Second
)

// Observations holds what a run recorded.
type Observations struct {
	// Start is when the load began. Steps are the steps that were run, with times
	// relative to Start.
	Start time.Time
	Steps []Step
	// Outcomes are the results of the requests, Runs and Counts the targets' logs.
	Outcomes []loadgenerator.Outcome
	Runs     []faker.Run
	Counts   []faker.TargetCounts
	// Withdrawn is when the old key was withdrawn, or zero.
	Withdrawn time.Time
	// RecoveryDeadline is when the fleet must have recovered from all faults.
	RecoveryDeadline time.Time
	// Reverts describes nodes that returned to an earlier configuration, Failures
	// the steps that failed, such as a node that did not stop.
	Reverts, Failures []string
	// Exits describes processes that ended without a signal of the soak.
	Exits []string
}

// Violations describes each violation of a safety guarantee, which must hold on
// any machine, and of an availability guarantee, which may fail on an overloaded
// machine.
func (ob *Observations) Violations() (safety, availability []string) {
	safety, availability = slices.Concat(ob.Reverts, ob.Exits), slices.Clone(ob.Failures)
	runs := map[string]int{}
	for _, r := range ob.Runs {
		runs[r.Token]++
	}
	for _, o := range ob.Outcomes {
		if why := ob.safetyViolation(o, runs[o.Token]); why != "" {
			safety = append(safety, ob.describe(why, o))
		} else if why := ob.availabilityViolation(o); why != "" {
			availability = append(availability, ob.describe(why, o))
		}
	}
	for _, c := range ob.Counts {
		if c.LeakedKeys > 0 {
			safety = append(safety, fmt.Sprintf("%d requests at a target held a key", c.LeakedKeys))
		}
		if c.AboveColdLimit > 0 {
			safety = append(safety, fmt.Sprintf("%d requests above the limit of a cold target", c.AboveColdLimit))
		}
	}
	if n := ob.shopExcess(); n > 0 {
		safety = append(safety, fmt.Sprintf("the shop was served %.1f requests beyond its rate and burst", n))
	}
	return safety, availability
}

func (ob *Observations) describe(why string, o loadgenerator.Outcome) string {
	return fmt.Sprintf("%s: %s request %s, due at %.2f s at %s, took %.2f s: %s %d %s %s", why, calls()[o.CallIndex].Name, o.Token,
		o.Due.Sub(ob.Start).Seconds(), o.Entry, o.Took.Seconds(), o.Kind, o.Status, coder.Lookup(o.Code).Name, o.Detail)
}

// safetyViolation describes the safety guarantee that a request violates, or
// returns "".
func (ob *Observations) safetyViolation(o loadgenerator.Outcome, runCount int) string {
	call := calls()[o.CallIndex]
	switch {
	case o.Status == unreachableStatus:
		return ""
	case o.Kind == loadgenerator.Wrong || o.Kind == loadgenerator.Truncated:
		return "not its own whole answer"
	case call.Once && runCount > 1:
		return fmt.Sprintf("ran %d times", runCount)
	case o.Kind == loadgenerator.Refused && o.Ran == coder.RanNo && runCount > 0:
		return "a refusal says not run, and it ran"
	case o.CallIndex == oldKeyCall && o.Kind == loadgenerator.Answered && !ob.Withdrawn.IsZero() && o.Due.Sub(ob.Withdrawn) > maxWithdrawalDelay:
		return "a withdrawn key was used"
	}
	return ""
}

// availabilityViolation describes the availability guarantee that a request
// violates, or returns "".
func (ob *Observations) availabilityViolation(o loadgenerator.Outcome) string {
	switch {
	case o.Status == unreachableStatus:
		return ""
	case o.Kind == loadgenerator.Broken && !ob.nearUnplannedFault(o):
		return "broken, with only planned steps near it"
	case !o.Due.Before(ob.RecoveryDeadline) && !ob.endedNormally(o):
		return "not served after the recovery deadline"
	}
	return ""
}

// nearUnplannedFault returns whether an unplanned fault may have affected a
// request.
func (ob *Observations) nearUnplannedFault(o loadgenerator.Outcome) bool {
	begin, end := o.Due.Sub(ob.Start), o.Due.Sub(ob.Start)+o.Took
	return slices.ContainsFunc(ob.Steps, func(st Step) bool {
		return !st.Kind.planned() && st.At < end && st.At+st.Duration+maxFaultEffectDelay > begin
	})
}

// endedNormally returns whether a request ended as it should in a healthy fleet.
func (ob *Observations) endedNormally(o loadgenerator.Outcome) bool {
	switch o.CallIndex {
	case shopCall:
		return o.Kind == loadgenerator.Answered || o.Code == coder.RateExceeded
	case oldKeyCall:
		return o.Kind == loadgenerator.Answered || !ob.Withdrawn.IsZero()
	}
	return o.Kind == loadgenerator.Answered && o.Status < 500
}

// shopExcess returns by how many requests the shop exceeded its rate and burst
// in the worst window. A request counts in the windows that contain all of it, as
// the time of its admission is not known.
func (ob *Observations) shopExcess() (maxExcess float64) {
	var served []interval
	for _, o := range ob.Outcomes {
		if o.CallIndex == shopCall && o.Kind == loadgenerator.Answered {
			served = append(served, interval{o.Due.Sub(ob.Start), o.Due.Sub(ob.Start) + o.Took})
		}
	}
	slices.SortFunc(served, func(a, b interval) int { return int(a.to - b.to) })
	for _, first := range served {
		requests := 0.0
		for _, e := range served {
			if e.from < first.from {
				continue
			}
			requests++
			maxExcess = max(maxExcess, requests-shopBurst-shopRatePerSecond*(e.to-first.from).Seconds())
		}
	}
	return maxExcess
}

type interval struct{ from, to time.Duration }

// unreachable is the kind of requests to a node whose process was not running.
const unreachable loadgenerator.Kind = "gone"

// outcomeKind returns o.Kind, or unreachable.
func outcomeKind(o loadgenerator.Outcome) loadgenerator.Kind {
	if o.Status == unreachableStatus {
		return unreachable
	}
	return o.Kind
}

// Summary counts the outcomes by kind.
func (ob *Observations) Summary() string {
	counts := map[loadgenerator.Kind]int{}
	for _, o := range ob.Outcomes {
		counts[outcomeKind(o)]++
	}
	var parts []string
	for _, k := range kindOrder {
		parts = append(parts, fmt.Sprintf("%s %d", k, counts[k]))
	}
	return strings.Join(parts, ", ")
}
