package detector

import (
	"math"
	"slices"
	"time"
)

// Parameters of the two sequential tests. Each is a cumulative sum of log
// likelihood ratios (CUSUM) that never falls below zero.
const (
	// failThreshold and slowThreshold are the sums at which a target is
	// suspected.
	failThreshold, slowThreshold = 12.0, 10.0
	// recoveringThreshold is the value of either sum at which a recovering
	// target is suspected.
	recoveringThreshold = 5.0
	// maxObservations bounds the observations kept per target.
	maxObservations = 64
	// maxReplyTimes bounds the times that a reply to a peer is based on.
	maxReplyTimes = 12
	// maxReplyOutcomes bounds the outcomes that its failure rate is based on.
	maxReplyOutcomes = 16
	// maxObservationAge is the age from which an observation is ignored.
	maxObservationAge = 30 * time.Second

	// minBaselineFailRate is the lowest failure rate expected of a sound
	// target.
	minBaselineFailRate = 0.02
	// maxBaselineFailRate bounds the failure rate expected of a sound target.
	maxBaselineFailRate = 0.8
	// excessFailRate is the fraction of the attempts beyond the baseline
	// failures that a sick target fails too.
	excessFailRate = 0.2
	// soundLateRate is the fraction of late attempts expected of a sound target.
	soundLateRate = 0.25
	// sickLateRate is the fraction of late attempts expected of a slow target.
	sickLateRate = 0.65
	// lateMedianFactor times the peers' median is late, unless their upper
	// quartile is higher.
	lateMedianFactor = 3
)

// reference describes the present behaviour of a service's other targets.
type reference struct {
	// peerCount is how many targets it is based on.
	peerCount int
	// median and upperQuartile are medians over the peers' values.
	median, upperQuartile time.Duration
	// failRate is the median over the peers' failure rates.
	failRate float64
	takenAt  time.Time
}

// lateThreshold returns the time beyond which an attempt is late, or 0 when it
// is unknown.
func (r reference) lateThreshold() time.Duration {
	return max(lateMedianFactor*r.median, r.upperQuartile)
}

// newReference returns the medians over the replies; nil and empty ones are
// skipped.
func newReference(replies []*Reply, now time.Time) reference {
	var medians, upperQuartiles []time.Duration
	var failRate []float64
	for _, r := range replies {
		if r == nil || r.Count == 0 {
			continue
		}
		medians = append(medians, r.Median)
		upperQuartiles = append(upperQuartiles, r.UpperQuartile)
		failRate = append(failRate, r.FailRate)
	}
	return reference{
		peerCount:     len(medians),
		median:        sortedMedian(medians),
		upperQuartile: sortedMedian(upperQuartiles),
		failRate:      sortedMedian(failRate),
		takenAt:       now,
	}
}

// sortedMedian sorts values and returns their median, or zero if there are
// none.
func sortedMedian[T float64 | time.Duration](values []T) (zero T) {
	if len(values) == 0 {
		return zero
	}
	slices.Sort(values)
	return values[len(values)/2]
}

// evidence holds a target's last observations and the two sums over them.
type evidence struct {
	reference    reference
	observations []observation
	// failSum and slowSum are from 0 to 2*failThreshold.
	failSum, slowSum float64
}

// add takes in one observation.
func (e *evidence) add(o observation) {
	if len(e.observations) == maxObservations {
		e.observations = append(e.observations[:0], e.observations[1:]...)
	}
	e.observations = append(e.observations, o)
	e.updateSums(o)
}

// reweigh sets the reference and recomputes both sums from the observations.
func (e *evidence) reweigh(r reference) {
	e.reference, e.failSum, e.slowSum = r, 0, 0
	for _, o := range e.observations {
		if r.takenAt.Sub(o.at) < maxObservationAge {
			e.updateSums(o)
		}
	}
}

// clear removes all observations.
func (e *evidence) clear() {
	e.observations, e.failSum, e.slowSum = e.observations[:0], 0, 0
}

func (e *evidence) updateSums(o observation) {
	if o.completed {
		baseline := min(max(minBaselineFailRate, 1.5*e.reference.failRate), maxBaselineFailRate)
		sick := baseline + (1-baseline)*excessFailRate
		e.failSum = clampSum(e.failSum + logLikelihoodRatio(o.failed, baseline, sick))
	}
	e.slowSum = clampSum(e.slowSum + e.lateLogRatio(o))
}

// lateLogRatio returns the log likelihood ratio of one attempt's time. An attempt
// that did not complete never counts in the target's favour, nor does a quick
// failure. One that ended between the median and the late threshold counts in
// proportion.
func (e *evidence) lateLogRatio(o observation) float64 {
	late, normal := e.reference.lateThreshold(), e.reference.median
	switch {
	case late == 0:
		return 0
	case o.elapsed > late:
		return logLikelihoodRatio(true, soundLateRate, sickLateRate)
	case o.completed && !o.failed:
		return logLikelihoodRatio(false, soundLateRate, sickLateRate)
	case o.completed || o.elapsed <= normal:
		return 0
	}
	fraction := float64(o.elapsed-normal) / float64(late-normal)
	return fraction * logLikelihoodRatio(true, soundLateRate, sickLateRate)
}

// logLikelihoodRatio returns the log likelihood ratio of an event that has
// probability soundProb at a sound target and sickProb at a sick one.
func logLikelihoodRatio(observed bool, soundProb, sickProb float64) float64 {
	if observed {
		return math.Log(sickProb / soundProb)
	}
	return math.Log((1 - sickProb) / (1 - soundProb))
}

func clampSum(sum float64) float64 {
	return min(max(sum, 0), 2*failThreshold)
}

// reply summarizes the last observations for a peer.
func (e *evidence) reply(now time.Time) *Reply {
	r := &Reply{}
	var times []time.Duration
	failed, completed := 0, 0
	for i := len(e.observations) - 1; i >= 0 && now.Sub(e.observations[i].at) < maxObservationAge; i-- {
		o := e.observations[i]
		if len(times) < maxReplyTimes && !o.failed {
			times = append(times, o.elapsed)
		}
		if o.completed && completed < maxReplyOutcomes {
			completed++
			failed += boolToInt(o.failed)
		}
	}
	if completed > 0 {
		r.FailRate = float64(failed) / float64(completed)
	}
	if r.Count = len(times); r.Count > 0 {
		r.Median = sortedMedian(times)
		r.UpperQuartile = times[len(times)*3/4]
	}
	return r
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}
