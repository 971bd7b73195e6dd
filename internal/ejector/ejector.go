// Package ejector decides which targets of a service an entry node may choose
// from. It drops the most severely degraded targets first, and never so many
// that the remaining capacity falls below the service's floor.
package ejector

import (
	"cmp"
	"slices"
)

// Tier is how much new work a target gets.
type Tier uint8

// Tiers of targets.
const (
	// Unavailable targets take no new work: they are draining, or their data
	// centre is out. They take none even if the floor is not reached.
	Unavailable Tier = iota
	// Ejected targets get no new work. A target is ejected only if the floor
	// holds without it.
	Ejected
	// Reduced targets get a small share of the work.
	Reduced
	// Full targets get their whole share.
	Full
)

// Candidate is one announced target of the service.
type Candidate struct {
	// Name breaks ties, so that all entry nodes decide alike.
	Name string
	// Slots is the announced capacity, in concurrent calls. The floor is
	// relative to the slots of all announced targets, including unavailable
	// ones.
	Slots float64
	// Capacity is how many concurrent calls the target can run now.
	Capacity float64
	// Available is whether the target may take new work.
	Available bool
	// Severity is how severely the target is degraded, 0 for not at all. Targets
	// are dropped from the highest value down.
	Severity float64
	// ReducedWhenDropped is whether the target still gets a small share once
	// dropped, which shows whether it has recovered.
	ReducedWhenDropped bool
}

// Choose returns the tier of each candidate. The capacity of the full targets
// is at least floor times the slots of all candidates, or else that of all
// available candidates. If any candidate is available, at least one is full.
// Floor is from 0 to 1.
func Choose(floor float64, candidates []Candidate) []Tier {
	tiers := make([]Tier, len(candidates))
	announcedSlots, capacity, fullCount := 0.0, 0.0, 0
	var droppable []int
	for i, c := range candidates {
		announcedSlots += c.Slots
		if !c.Available {
			continue
		}
		tiers[i] = Full
		capacity += c.Capacity
		fullCount++
		if c.Severity > 0 {
			droppable = append(droppable, i)
		}
	}
	slices.SortFunc(droppable, func(a, b int) int { return compareDropOrder(candidates[a], candidates[b]) })
	for _, i := range droppable {
		remaining := capacity - candidates[i].Capacity
		if remaining < floor*announcedSlots || fullCount == 1 {
			continue
		}
		tiers[i] = droppedTier(candidates[i])
		capacity = remaining
		fullCount--
	}
	return tiers
}

func compareDropOrder(a, b Candidate) int {
	return cmp.Or(cmp.Compare(b.Severity, a.Severity), cmp.Compare(a.Name, b.Name))
}

func droppedTier(c Candidate) Tier {
	if c.ReducedWhenDropped {
		return Reduced
	}
	return Ejected
}
