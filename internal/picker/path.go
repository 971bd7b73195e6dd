package picker

import (
	"sync"
	"time"
)

// Parameters of path avoidance.
const (
	// avoidAfterLostCalls is how many calls lost in a row make a path avoided.
	avoidAfterLostCalls = 2
	// minAvoidance is how long a path is avoided the first time. Each further
	// time doubles it.
	minAvoidance = 2 * time.Second
	// maxAvoidance bounds that time, before jitter.
	maxAvoidance = time.Minute
	// backoffDecayInterval is how long a path must be usable until its backoff
	// level falls by one.
	backoffDecayInterval = time.Minute
)

// pathState is the entry node's verdict on its path to an exit node.
type pathState uint8

const (
	usable pathState = iota
	// unconfirmed paths were avoided and have not answered since.
	unconfirmed
	avoided
)

// path is the history of the path from the entry node to one exit node.
type path struct {
	lostCalls    int
	backoffLevel int
	avoidedUntil time.Time
	// answered tells that an answer came since the path was last avoided.
	answered bool
}

// paths holds the paths to all exit nodes.
type paths struct {
	mu     sync.Mutex
	byNode map[string]*path
}

// state returns the state of the path to a node.
func (p *paths) state(node string, now time.Time) pathState {
	p.mu.Lock()
	defer p.mu.Unlock()
	pt := p.byNode[node]
	switch {
	case pt == nil || pt.backoffLevel == 0:
		return usable
	case now.Before(pt.avoidedUntil):
		return avoided
	case !pt.answered:
		return unconfirmed
	}
	return usable
}

// recordLoss records a call that got no answer from the node, or could not be
// sent if unreachable is set. It returns whether the path is newly avoided.
// Jitter, from 0 to 1, lengthens the avoidance by up to a quarter, so that the
// entry nodes do not all return at once.
func (p *paths) recordLoss(node string, unreachable bool, now time.Time, jitter float64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.byNode == nil {
		p.byNode = map[string]*path{}
	}
	pt := p.byNode[node]
	if pt == nil {
		pt = &path{answered: true}
		p.byNode[node] = pt
	}
	if now.Before(pt.avoidedUntil) {
		return false
	}
	pt.lostCalls++
	if pt.lostCalls < avoidAfterLostCalls && pt.answered && !unreachable {
		return false
	}
	pt.lowerBackoff(now)
	avoidance := min(minAvoidance<<min(pt.backoffLevel, 16), maxAvoidance)
	pt.avoidedUntil = now.Add(avoidance + time.Duration(jitter*float64(avoidance)/4))
	pt.backoffLevel++
	pt.lostCalls, pt.answered = 0, false
	return true
}

// recordAnswer records an answer of the node to a call sent at the given time.
func (p *paths) recordAnswer(node string, sent, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	pt := p.byNode[node]
	if pt == nil {
		return
	}
	pt.lostCalls = 0
	if !sent.Before(pt.avoidedUntil) {
		pt.answered = true
	}
	if pt.lowerBackoff(now); pt.backoffLevel == 0 && pt.answered {
		delete(p.byNode, node)
	}
}

// lowerBackoff lowers the backoff level by one for each backoffDecayInterval
// that the path was usable.
func (pt *path) lowerBackoff(now time.Time) {
	for pt.backoffLevel > 0 && pt.answered && now.Sub(pt.avoidedUntil) >= backoffDecayInterval {
		pt.backoffLevel--
		pt.avoidedUntil = pt.avoidedUntil.Add(backoffDecayInterval)
	}
}
