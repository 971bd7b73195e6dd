package admitter

import (
	"sync"

	"github.com/zinniaproxy/zinniaproxy/internal/breaker"
)

// runningCalls holds the calls that run at the targets of this VM, by the ID of
// their request.
type runningCalls struct {
	mu        sync.Mutex
	byRequest map[string]*breaker.AdmittedCall
}

// add records a call. A nil call, of a node without a circuit breaker, is ignored.
func (r *runningCalls) add(request string, c *breaker.AdmittedCall) {
	if c == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.byRequest == nil {
		r.byRequest = map[string]*breaker.AdmittedCall{}
	}
	r.byRequest[request] = c
}

// remove ends a call, unless another one of the same request has replaced it.
func (r *runningCalls) remove(request string, c *breaker.AdmittedCall) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if c != nil && r.byRequest[request] == c {
		delete(r.byRequest, request)
	}
}

func (r *runningCalls) get(request string) *breaker.AdmittedCall {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.byRequest[request]
}

// BeginInner records that the target of a running request waits for an inner
// request of its own: meanwhile the outer one makes progress, however long it
// takes. The returned function must be called when the inner request has ended. It
// is nil if no such request runs on this VM.
func (a *Admitter) BeginInner(outer string) (end func()) {
	c := a.running.get(outer)
	if c == nil {
		return nil
	}
	c.Pause()
	return sync.OnceFunc(c.Resume)
}
