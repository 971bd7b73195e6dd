package picker

import (
	"math"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against bytes that cross data centres while there is room in the own
// one: calls spill when they would wait for slots there, not before.
func TestCallsStayWhileDataCentreHasRoom(t *testing.T) {
	for load, want := range map[float64]float64{0: minRemoteFraction, 0.5: minRemoteFraction, 0.8: minRemoteFraction, 1.2: 1, 3: 1} {
		qt.Check(t, math.Abs(spillFraction(load, 0)-want) < 1e-9, qt.IsTrue, qt.Commentf("load %v", load))
	}
	qt.Check(t, spillFraction(1, 0) > 0.4, qt.IsTrue)
}

// Guards against calls that change places between data centres which are equally
// full: during a peak of all of them half of the calls crossed, and none waited
// less for it.
func TestCallsStayBetweenFullDataCentres(t *testing.T) {
	for _, load := range []float64{0.9, 1.5, 4} {
		qt.Check(t, spillFraction(load, load), qt.Equals, minRemoteFraction, qt.Commentf("load %v", load))
		qt.Check(t, spillFraction(load, load+1), qt.Equals, minRemoteFraction, qt.Commentf("load %v", load))
		qt.Check(t, spillFraction(load+0.5, load) >= 1-1e-9, qt.IsTrue, qt.Commentf("load %v", load))
	}
}
