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
	// priorWeight is the number of answers that priorMean counts for.
	priorWeight = 6
	// halfLifeAnswers is the number of answers after which earlier ones count
	// half, so that the distribution follows a service whose work changes.
	halfLifeAnswers = 100
	// minTailProbability bounds how rare a late answer is taken to be.
	minTailProbability = 0.02
)

// latencyDistribution is a decaying histogram of the latencies of one route's
// answers, until their head.
type latencyDistribution struct {
	// priorMean is the expected latency before any answer.
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

// add records an answer.
func (ld *latencyDistribution) add(d time.Duration) {
	decay := 1 - math.Ln2/halfLifeAnswers
	for i := range ld.counts {
		ld.counts[i] *= decay
	}
	ld.total = ld.total*decay + 1
	ld.counts[bucketIndex(d)]++
}

// tailProbability returns the fraction of answers that take longer than d.
func (ld *latencyDistribution) tailProbability(d time.Duration) float64 {
	longer := 0.0
	for i := bucketIndex(d) + 1; i < latencyBuckets; i++ {
		longer += ld.counts[i]
	}
	// Half of the answers in d's own bucket count as longer.
	longer += ld.counts[bucketIndex(d)] / 2
	prior := math.Exp(-float64(d) / float64(max(ld.priorMean, time.Millisecond)))
	return max((longer+priorWeight*prior)/(ld.total+priorWeight), minTailProbability)
}
