package exithandler

import (
	"sync"
	"time"
)

// maxRefusals bounds the requests that refusals holds.
const maxRefusals = 4096

// refusals holds the requests that a target has just refused. A faulty target may
// write a refusal once more on a kept connection, where it would be taken for the
// response to the next try of the same request. That gets a connection of its own.
type refusals struct {
	mu sync.Mutex
	// until holds when no kept connection can have a refusal of a request any more.
	until map[string]time.Time
}

func (r *refusals) add(request string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if len(r.until) >= maxRefusals {
		for id, until := range r.until {
			if now.After(until) {
				delete(r.until, id)
			}
		}
	}
	if r.until == nil || len(r.until) >= maxRefusals {
		r.until = map[string]time.Time{}
	}
	r.until[request] = now.Add(idleConnTimeout)
}

func (r *refusals) has(request string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Now().Before(r.until[request])
}
