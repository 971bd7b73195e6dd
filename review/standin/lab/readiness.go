package lab

import (
	"sync"
	"time"
)

// Readiness is what the platform knows of the machines of a zone: it asks each once
// a second, and gives a machine's clients no new work after two misses in a row,
// unless fewer than half of the zone's machines are in.
type Readiness struct {
	mu     sync.Mutex
	misses map[*Node]int
}

// WatchReadiness starts to ask the machines of a zone.
func WatchReadiness(nodes []*Node) *Readiness {
	r := &Readiness{misses: map[*Node]int{}}
	for _, n := range nodes {
		r.misses[n] = 0
		go func() {
			for ; ; time.Sleep(time.Second) {
				ready := n.Ready()
				r.mu.Lock()
				r.misses[n]++
				if ready {
					r.misses[n] = 0
				}
				r.mu.Unlock()
			}
		}()
	}
	return r
}

// maxMisses is how many misses in a row take a machine out.
const maxMisses = 2

// GivesWork reports whether the clients of a machine get new work.
func (r *Readiness) GivesWork(n *Node) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	in := 0
	for _, misses := range r.misses {
		if misses < maxMisses {
			in++
		}
	}
	return r.misses[n] < maxMisses || 2*in < len(r.misses)
}
