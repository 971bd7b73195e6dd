// Package ramper sets a target's concurrency limit. The limit starts at the
// cold limit of the service (slow start), grows with good responses up to the
// announced slots, shrinks when the target sheds or slows down, and returns to
// the cold limit when the target is cold, announced or not.
package ramper

import (
	"slices"
	"sync"
	"time"

	"github.com/zinniaproxy/zinniaproxy/internal/detector"
	"github.com/zinniaproxy/zinniaproxy/internal/messenger"
)

// Parameters of the concurrency limit.
const (
	// minStepInterval is the least time between two increases, or two decreases
	// on sheds.
	minStepInterval = 200 * time.Millisecond
	// minLatencyStepInterval is the least time between two decreases on latency
	// or reports.
	minLatencyStepInterval = time.Second
	// maxSamples bounds the attempts that latency and losses are measured over.
	maxSamples = 8
	// highLatencyFactor times the normal latency is high.
	highLatencyFactor = 2
	// shrinkLatencyFactor times the normal latency makes the limit shrink even
	// without lost attempts.
	shrinkLatencyFactor = 3
	// coldLossCount is how many lost attempts among the samples, together with
	// high latency, indicate a cold target. More sheds than that do so alone.
	coldLossCount = 2
	// nearStepDivisor and farStepDivisor divide the step of the normal latency
	// towards a latency that is not high, and towards one that is.
	nearStepDivisor, farStepDivisor = 16, 256
)

// sample is one ended attempt.
type sample struct {
	took time.Duration
	// lost is whether the attempt was shed or failed; shed is whether it was
	// shed.
	lost, shed bool
}

// Ramper holds the concurrency limit of one target. The zero value allows one
// attempt until Announce is called.
type Ramper struct {
	mu               sync.Mutex
	slots, coldLimit int
	state            messenger.State
	// limit is from 1 to slots, and at most coldLimit while the target
	// announces that it is cold; 0 before the first announcement.
	limit int
	// successes counts the good responses since the limit last changed.
	successes  int
	lastChange time.Time
	samples    []sample
	// normalLatency is the latency of a healthy target; 0 if unknown.
	normalLatency time.Duration
}

// Announce applies the target's announcement and the cold limit of its service.
// A target that is new or announces that it is cold starts at the cold limit.
// Announcing that it is warm does not raise the limit; only good responses do,
// and a higher cold limit: operators say that even a cold target bears that.
func (r *Ramper) Announce(state messenger.State, slots, coldLimit int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	slots = max(slots, 1)
	coldLimit = min(max(coldLimit, 1), slots)
	if r.slots == 0 {
		r.limit = coldLimit
	}
	if coldLimit > r.coldLimit {
		r.limit = max(r.limit, coldLimit)
	}
	becameCold := state == messenger.Cold && r.state != messenger.Cold
	r.state, r.slots, r.coldLimit = state, slots, coldLimit
	r.limit = min(r.limit, slots)
	if becameCold {
		r.resetToCold()
	}
	if state == messenger.Cold {
		r.limit = min(r.limit, coldLimit)
	}
}

// Restart returns to the cold limit, for a target that was replaced or that
// comes back with its data centre.
func (r *Ramper) Restart() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.resetToCold()
}

// Report applies a load or health report of how many attempts the target can
// run at once. Reports lag and mislead, so a lower one takes only a quarter off
// the limit, at most once per minLatencyStepInterval and not below the reported
// value, and a higher one changes nothing. Good responses raise the limit again.
func (r *Ramper) Report(reportedLimit int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if reportedLimit < r.limit {
		r.shrink(minLatencyStepInterval, max(reportedLimit, 1))
	}
}

// Limit returns how many attempts may now be in flight, from 1 to the announced
// slots. When the limit shrinks, attempts beyond it are not stopped; it applies
// to the next start.
func (r *Ramper) Limit() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return max(r.limit, 1)
}

// Done records the outcome of an attempt, the time that the target took, and
// how many attempts were in flight at its end, including itself. Latency
// shrinks the limit only while at least half of it is used: below that, a
// smaller limit would not help the target and would only withhold the attempts
// that show its state.
//
// Neither sheds nor latency shrink the limit of a target whose cold limit equals
// its slots: its operators say that it can always run what it announces, so it
// sheds for other reasons.
func (r *Ramper) Done(outcome detector.Outcome, took time.Duration, inFlight int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch outcome {
	case detector.Timeout, detector.Canceled:
		return
	case detector.Refused:
		r.resetToCold()
		return
	}
	r.addSample(sample{took: took, lost: outcome != detector.Good, shed: outcome == detector.Shed})
	switch {
	case r.looksCold():
		r.resetToCold()
	case outcome == detector.Shed && r.coldLimit < r.slots:
		r.shrink(minStepInterval, 1)
	case outcome != detector.Good:
	case r.latencyAbove(shrinkLatencyFactor):
		if 2*inFlight >= r.limit {
			r.shrink(minLatencyStepInterval, r.coldLimit)
		}
		r.updateNormalLatency(took)
	default:
		r.grow(took)
		r.updateNormalLatency(took)
	}
}

func (r *Ramper) addSample(s sample) {
	if len(r.samples) == maxSamples {
		r.samples = append(r.samples[:0], r.samples[1:]...)
	}
	r.samples = append(r.samples, s)
}

// looksCold reports whether the target seems to have turned cold unannounced:
// it sheds, or it loses attempts while its latency is high.
func (r *Ramper) looksCold() bool {
	lost, shed := 0, 0
	for _, s := range r.samples {
		lost += boolToInt(s.lost)
		shed += boolToInt(s.shed)
	}
	return shed > coldLossCount || lost >= coldLossCount && r.latencyAbove(highLatencyFactor)
}

// latencyAbove reports whether the samples are complete and the median latency
// of the responses among them is above factor times the normal latency.
func (r *Ramper) latencyAbove(factor time.Duration) bool {
	if len(r.samples) < maxSamples || r.normalLatency == 0 {
		return false
	}
	var latencies []time.Duration
	for _, s := range r.samples {
		if !s.lost {
			latencies = append(latencies, s.took)
		}
	}
	if len(latencies) == 0 {
		return false
	}
	slices.Sort(latencies)
	return latencies[len(latencies)/2] > factor*r.normalLatency
}

// resetToCold lowers the limit to the cold limit, if it is above, and drops the
// samples.
func (r *Ramper) resetToCold() {
	r.limit, r.successes, r.samples = min(r.limit, r.coldLimit), 0, r.samples[:0]
	r.lastChange = time.Now()
}

// shrink takes a quarter off the limit, but not below floor and at most once
// per minInterval.
func (r *Ramper) shrink(minInterval time.Duration, floor int) {
	r.successes = 0
	if time.Since(r.lastChange) < minInterval {
		return
	}
	r.lastChange = time.Now()
	r.limit = max(min(r.limit, floor), r.limit*3/4)
}

// grow adds one to the limit after as many good responses as the limit.
func (r *Ramper) grow(took time.Duration) {
	if r.normalLatency > 0 && took > highLatencyFactor*r.normalLatency {
		return
	}
	r.successes++
	maxLimit := r.slots
	if r.state == messenger.Cold {
		maxLimit = r.coldLimit
	}
	if r.successes < r.limit || r.limit >= maxLimit || time.Since(r.lastChange) < minStepInterval {
		return
	}
	r.limit, r.successes, r.lastChange = r.limit+1, 0, time.Now()
}

// updateNormalLatency moves the normal latency quickly towards latencies near
// it and slowly towards high ones, so that a lasting change of the work is
// accepted in the end.
func (r *Ramper) updateNormalLatency(took time.Duration) {
	switch {
	case r.normalLatency == 0:
		r.normalLatency = took
	case took > highLatencyFactor*r.normalLatency:
		r.normalLatency += (took - r.normalLatency) / farStepDivisor
	default:
		r.normalLatency += (took - r.normalLatency) / nearStepDivisor
	}
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}
