package breaker

import (
	"math"
	"time"
)

// Parameters of the calibration.
const (
	// priorOutcomes is how many calls the model's own prediction counts for.
	priorOutcomes = 8
	// calibrationTime is the time in which the weight of an outcome decays to 1/e:
	// a few fault episodes.
	calibrationTime = 15 * time.Second
)

// calibrationEdges are the upper ends of the ranges of the model's risk, each of
// which is calibrated on its own. Low risks, between which the choice of a target
// lies on calm days, are told apart more finely.
var calibrationEdges = [...]float64{0.02, 0.05, 0.1, 0.2, 0.4, 0.7, 0.95, 1}

const calibrationBins = len(calibrationEdges)

// calibration corrects the model's risk by what became of the calls that were
// admitted at such a risk. The model takes running calls as independent, but they
// are late together when their target is slow or nearly full, so that it is far
// too sure of a fault episode.
type calibration struct {
	bins [calibrationBins]outcomeCounts
}

// outcomeCounts are decayed counts of calls as of updatedAt.
type outcomeCounts struct {
	good, bad float64
	updatedAt time.Time
}

func calibrationBin(risk float64) int {
	for i, edge := range calibrationEdges {
		if risk < edge {
			return i
		}
	}
	return calibrationBins - 1
}

func (o *outcomeCounts) decay(now time.Time) {
	if !o.updatedAt.IsZero() {
		factor := math.Exp(-float64(now.Sub(o.updatedAt)) / float64(calibrationTime))
		o.good, o.bad = o.good*factor, o.bad*factor
	}
	o.updatedAt = now
}

// add records the end of a call that was admitted at a risk. Bad, from 0 to 1, is
// how likely the call met a fault.
func (c *calibration) add(risk, bad float64, now time.Time) {
	o := &c.bins[calibrationBin(risk)]
	o.decay(now)
	o.good += 1 - bad
	o.bad += bad
}

// correct returns the calibrated risk. runningBad holds, by bin, how many of the
// calls that still run are likely to have met a fault.
func (c *calibration) correct(risk float64, runningBad *[calibrationBins]float64, now time.Time) float64 {
	i := calibrationBin(risk)
	o := &c.bins[i]
	o.decay(now)
	bad, total := o.bad+runningBad[i], o.good+o.bad+runningBad[i]
	predicted := risk * episodeFailureProbability
	failing := (bad + priorOutcomes*predicted) / (total + priorOutcomes)
	return min(failing/episodeFailureProbability, 1)
}
