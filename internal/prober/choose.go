package prober

import "math/rand/v2"

// pickNearby returns up to n random members of list: all but one of them, and the
// only one, of this node's data centre as far as there are enough.
func (p *Prober) pickNearby(list []*memberEntry, n int) []*memberEntry {
	var near, remote []*memberEntry
	for _, e := range pickRandom(list, len(list), "") {
		if e.Centre == p.self.Centre {
			near = append(near, e)
		} else {
			remote = append(remote, e)
		}
	}
	return mostlyNear(near, remote, n)
}

// mostlyNear returns up to n elements: all but one of them, and the only one, from
// near as far as there are enough.
func mostlyNear[T any](near, remote []T, n int) []T {
	nearCount := min(max(n-1, n-len(remote), 1), len(near))
	return append(near[:nearCount], remote[:min(n-nearCount, len(remote))]...)
}

// pickRandom returns up to n random members of list other than the one named
// skip.
func pickRandom(list []*memberEntry, n int, skip string) []*memberEntry {
	var out []*memberEntry
	for _, i := range rand.Perm(len(list)) {
		if len(out) == n {
			break
		}
		if list[i].Name != skip {
			out = append(out, list[i])
		}
	}
	return out
}
