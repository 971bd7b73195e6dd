package breaker

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a circuit breaker that keeps a risk of which the outcomes show that
// it is far too high or too low, that learns from one range of risks about another, or
// that holds on to what a target did long ago.
func TestOutcomesCalibrateRisk(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var none [calibrationBins]float64
		outcomes := func(risk, bad float64) *calibration {
			c := &calibration{}
			for range 40 {
				c.add(risk, bad, time.Now())
			}
			return c
		}
		corrected := func(c *calibration, risk float64) float64 { return c.correct(risk, &none, time.Now()) }
		for _, risk := range []float64{0.01, 0.15, 0.5, 0.97} {
			got := corrected(&calibration{}, risk)
			qt.Check(t, got > risk-1e-9 && got < risk+1e-9, qt.IsTrue, qt.Commentf("%v without outcomes", got))
		}
		good, bad := outcomes(0.8, 0), outcomes(0.15, 1)
		qt.Check(t, corrected(good, 0.8) < MaxNonIdempotentRisk, qt.IsTrue)
		qt.Check(t, corrected(bad, 0.15) > MaxRelaxedNonIdempotentRisk, qt.IsTrue)
		qt.Check(t, corrected(good, 0.97) > 0.96, qt.IsTrue) // another range
		var running [calibrationBins]float64
		running[calibrationBin(0.8)] = 20
		qt.Check(t, good.correct(0.8, &running, time.Now()) > 0.4, qt.IsTrue)
		time.Sleep(10 * calibrationTime)
		qt.Check(t, corrected(good, 0.8) > 0.75, qt.IsTrue)
		qt.Check(t, corrected(bad, 0.15) < 0.2, qt.IsTrue)
	})
}

// Guards against a target that counts as hanging while it waits for others: pauses
// nest, the time in them counts for no latency, and the call ages again after them.
func TestPausedCallDoesNotAge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := &Breaker{}
		a, _, err := b.Admit(newCall(true, false))
		qt.Assert(t, err, qt.IsNil)
		time.Sleep(100 * time.Millisecond)
		a.Pause()
		time.Sleep(5 * time.Second)
		a.Pause()
		time.Sleep(5 * time.Second)
		a.Resume()
		time.Sleep(5 * time.Second)
		qt.Check(t, a.age(time.Now()), qt.Equals, 100*time.Millisecond)
		qt.Check(t, b.Risk("t") < MaxNonIdempotentRisk, qt.IsTrue, qt.Commentf("%.2f", b.Risk("t")))
		a.Resume()
		time.Sleep(100 * time.Millisecond)
		a.Pause()
		time.Sleep(time.Second)
		a.Resume()
		qt.Check(t, a.age(time.Now()), qt.Equals, 200*time.Millisecond)
		time.Sleep(5 * time.Second)
		qt.Check(t, b.Risk("t") > 0.5, qt.IsTrue, qt.Commentf("%.2f", b.Risk("t")))
		a.Pause()
		a.Done(Good) // the inner request ends after its outer one
		a.Resume()
		qt.Check(t, b.targets["t"].inFlight, qt.HasLen, 0)
	})
}
