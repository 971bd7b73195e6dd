package picker

import (
	"math"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against bytes that cross data centres while there is room in the own
// one: calls spill when they would wait for slots there, not before.
func TestCallsStayWhileDataCentreHasRoom(t *testing.T) {
	s := &service{}
	for load, want := range map[float64]float64{0: minRemoteFraction, 0.5: minRemoteFraction, 0.8: minRemoteFraction, 1.2: 1, 3: 1} {
		qt.Check(t, math.Abs(s.spillFraction(load)-want) < 1e-9, qt.IsTrue, qt.Commentf("load %v", load))
	}
	qt.Check(t, s.spillFraction(1) > 0.4, qt.IsTrue)
}
