package breaker

import (
	"math"
	"time"
)

const (
	// bucketsPerOctave is the number of buckets for each doubling of the latency.
	bucketsPerOctave = 4
	octaves          = 17 // 1 ms to 2 minutes
	latencyBuckets   = octaves * bucketsPerOctave
	// priorWeight is the number of responses that priorMean counts for.
	priorWeight = 6
	// halfLifeResponses is the number of responses after which earlier ones
	// count half, so that the distribution follows a service whose work changes.
	halfLifeResponses = 100
	// minTailProbability bounds how rare a late response is taken to be.
	minTailProbability = 0.02
)

// latencyDistribution is a decaying histogram of the latencies of one route's
// responses, until their head.
type latencyDistribution struct {
	// priorMean is the expected latency before any response.
	priorMean time.Duration
	counts    [latencyBuckets]float64
	total     float64
}

func bucketIndex(d time.Duration) int {
	ms := float64(d) / float64(time.Millisecond)
	if ms <= 1 {
		return 0
	}
	return min(int(math.Log2(ms)*bucketsPerOctave), latencyBuckets-1)
}

// add records a response.
func (ld *latencyDistribution) add(d time.Duration) {
	decay := 1 - math.Ln2/halfLifeResponses
	for i := range ld.counts {
		ld.counts[i] *= decay
	}
	ld.total = ld.total*decay + 1
	ld.counts[bucketIndex(d)]++
}

// tailProbability returns the fraction of responses that take longer than d.
func (ld *latencyDistribution) tailProbability(d time.Duration) float64 {
	longer := 0.0
	for i := bucketIndex(d) + 1; i < latencyBuckets; i++ {
		longer += ld.counts[i]
	}
	// Half of the responses in d's own bucket count as longer.
	longer += ld.counts[bucketIndex(d)] / 2
	prior := math.Exp(-float64(d) / float64(max(ld.priorMean, time.Millisecond)))
	return max((longer+priorWeight*prior)/(ld.total+priorWeight), minTailProbability)
}
