package requestrunner

import (
	"sync"

	"github.com/zinniaproxy/zinniaproxy/pkg/coder"
)

// arrivals counts the attempts of a request that may have reached a target, so
// that a later one is known to repeat them.
type arrivals struct {
	mu sync.Mutex
	// inFlight counts attempts that have not ended, arrived those that ended and
	// may have reached a target.
	inFlight, arrived int
}

func (a *arrivals) begin() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.inFlight++
}

// end records how an attempt ended. One that was not run has reached no target,
// unless that refused it itself.
func (a *arrivals) end(err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.inFlight--
	if err == nil || coder.Of(err).Ran() != coder.RanNo || coder.Of(err).Code == coder.Shed {
		a.arrived++
	}
}

// any reports whether an attempt may have reached a target.
func (a *arrivals) any() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.inFlight+a.arrived > 0
}
