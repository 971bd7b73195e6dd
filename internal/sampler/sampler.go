// Package sampler draws random nodes for gossip and anti-entropy, mostly from the
// own data centre.
package sampler

import (
	"maps"
	"math/rand/v2"
	"slices"
)

// Sampler draws from the running nodes. Set the fields before the first call.
type Sampler struct {
	// Node is this node's name, Centre its data centre.
	Node, Centre string
	// Alive returns the names of the running nodes by their data centre. The
	// result is shared: it is not changed.
	Alive func() map[string][]string
}

// Peers returns the other running nodes: those of the own data centre, and the
// others by their data centre. A node that is alone in its data centre has all
// others as near peers.
func (s *Sampler) Peers() (near []string, remote map[string][]string) {
	remote = maps.Clone(s.Alive())
	near = slices.DeleteFunc(slices.Clone(remote[s.Centre]), func(name string) bool { return name == s.Node })
	delete(remote, s.Centre)
	if len(near) > 0 {
		return near, remote
	}
	for _, names := range remote {
		near = append(near, names...)
	}
	return near, nil
}

// Partner returns a random node of the own data centre or, with a probability, of
// another. It returns "" if there is none.
func (s *Sampler) Partner(remoteProbability float64) string {
	near, remote := s.Peers()
	if rand.Float64() < remoteProbability {
		if centres := slices.Collect(maps.Keys(remote)); len(centres) > 0 {
			near = remote[centres[rand.IntN(len(centres))]]
		}
	}
	if len(near) == 0 {
		return ""
	}
	return near[rand.IntN(len(near))]
}

// Sample returns up to n random names.
func Sample(names []string, n int) []string {
	if len(names) <= n {
		return names
	}
	out := make([]string, 0, n)
	for len(out) < n {
		if name := names[rand.IntN(len(names))]; !slices.Contains(out, name) {
			out = append(out, name)
		}
	}
	return out
}
