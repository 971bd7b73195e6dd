package ejector

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

var candidateGen = rapid.Custom(func(t *rapid.T) Candidate {
	slots := rapid.IntRange(1, 9).Draw(t, "slots")
	return Candidate{
		Slots:              float64(slots),
		Capacity:           float64(rapid.IntRange(1, slots).Draw(t, "capacity")),
		Available:          rapid.IntRange(0, 3).Draw(t, "available") > 0,
		Severity:           rapid.Float64Range(0, 20).Draw(t, "severity") * float64(rapid.IntRange(0, 1).Draw(t, "degraded")),
		ReducedWhenDropped: rapid.Bool().Draw(t, "reduced when dropped"),
	}
})

// Checks that the capacity of the full targets is never below the floor, unless
// all available targets are full, and that only degraded targets are dropped.
func TestCapacityIsNeverBelowTheFloor(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		floor := rapid.Float64Range(0, 1).Draw(t, "floor")
		candidates := rapid.SliceOfN(candidateGen, 1, 30).Draw(t, "candidates")
		announcedSlots, fullCapacity, availableCapacity, fullCount := 0.0, 0.0, 0.0, 0
		for i, tier := range Choose(floor, candidates) {
			announcedSlots += candidates[i].Slots
			if !candidates[i].Available {
				if tier != Unavailable {
					t.Fatalf("unavailable target in tier %d", tier)
				}
				continue
			}
			availableCapacity += candidates[i].Capacity
			if tier == Full {
				fullCapacity += candidates[i].Capacity
				fullCount++
			} else if candidates[i].Severity == 0 {
				t.Fatalf("a sound target is in tier %d", tier)
			}
		}
		if fullCapacity < min(floor*announcedSlots, availableCapacity) || availableCapacity > 0 && fullCount == 0 {
			t.Fatalf("%v of %v chosen, floor %v of %v", fullCapacity, availableCapacity, floor, announcedSlots)
		}
	})
}

func TestMostSevereIsDroppedFirst(t *testing.T) {
	candidates := []Candidate{
		{Name: "a", Slots: 6, Capacity: 6, Available: true, Severity: 11},
		{Name: "b", Slots: 6, Capacity: 6, Available: true, Severity: 14},
		{Name: "c", Slots: 6, Capacity: 6, Available: true},
		{Name: "d", Slots: 6, Capacity: 6, Available: true, Severity: 1, ReducedWhenDropped: true},
	}
	qt.Check(t, Choose(0.75, candidates), qt.DeepEquals, []Tier{Full, Ejected, Full, Full})
	qt.Check(t, Choose(0.5, candidates), qt.DeepEquals, []Tier{Ejected, Ejected, Full, Full})
	qt.Check(t, Choose(0, candidates), qt.DeepEquals, []Tier{Ejected, Ejected, Full, Reduced})
	candidates[2].Available = false // data centre out; its slots still count towards the floor
	qt.Check(t, Choose(0.75, candidates), qt.DeepEquals, []Tier{Full, Full, Unavailable, Full})
}
