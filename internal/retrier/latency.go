package retrier

import (
	"math/bits"
	"sync"
	"time"
)

const (
	// bucketsPerOctave splits each doubling of the latency, which bounds the
	// error of a quantile to one eighth.
	bucketsPerOctave = 8
	octaves          = 28 // 1 µs to over 4 minutes
	bucketCount      = octaves * bucketsPerOctave
)

// periodCounts counts the latencies of one period in exponential buckets.
type periodCounts struct {
	counts [bucketCount]uint32
	total  uint32
}

// latencyHistogram is a rolling histogram. Quantiles cover the current period
// and the one before it.
type latencyHistogram struct {
	mu                sync.Mutex
	current, previous periodCounts
	periodStart       time.Time
}

// bucketOf returns the index of the bucket for a latency.
func bucketOf(d time.Duration) int {
	us := uint64(max(d/time.Microsecond, 1))
	octave := bits.Len64(us) - 1
	subBucket := int((us<<3)>>octave) - bucketsPerOctave
	return min(octave*bucketsPerOctave+subBucket, bucketCount-1)
}

// upperBound returns the upper end of a bucket.
func upperBound(bucket int) time.Duration {
	octave, subBucket := bucket/bucketsPerOctave, bucket%bucketsPerOctave
	return time.Duration((bucketsPerOctave+subBucket+1)<<octave) * time.Microsecond / bucketsPerOctave
}

func (h *latencyHistogram) add(now time.Time, d, period time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.rotate(now, period)
	h.current.counts[bucketOf(d)]++
	h.current.total++
}

// rotate starts a new period when the current one is over.
func (h *latencyHistogram) rotate(now time.Time, period time.Duration) {
	age := now.Sub(h.periodStart)
	if age < period {
		return
	}
	if h.previous = h.current; age >= 2*period {
		h.previous = periodCounts{}
	}
	h.current, h.periodStart = periodCounts{}, now
}

// quantile returns the upper bound of the bucket that holds quantile q, or
// false when there are fewer than minSamples samples.
func (h *latencyHistogram) quantile(q float64, minSamples int) (time.Duration, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	total := h.current.total + h.previous.total
	if int(total) < minSamples {
		return 0, false
	}
	remaining := uint32(q * float64(total))
	for i := range h.current.counts {
		n := h.current.counts[i] + h.previous.counts[i]
		if remaining < n {
			return upperBound(i), true
		}
		remaining -= n
	}
	return upperBound(bucketCount - 1), true
}
