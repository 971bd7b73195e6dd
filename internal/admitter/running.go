package admitter

import (
	"slices"
	"sync"

	"github.com/zinniaproxy/zinniaproxy/internal/breaker"
)

// runningCalls holds the calls that run at the targets of this VM, by the ID of
// their request. Several calls have one ID when a request is hedged or when callers
// choose the same ID.
type runningCalls struct {
	mu        sync.Mutex
	byRequest map[string][]runningCall
}

// runningCall is a call that runs, and whether it repeats an earlier attempt.
type runningCall struct {
	*breaker.AdmittedCall
	repeat bool
}

// add records a call. A nil call, of a node without a circuit breaker, is ignored.
func (r *runningCalls) add(request string, c *breaker.AdmittedCall, repeat bool) {
	if c == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.byRequest == nil {
		r.byRequest = map[string][]runningCall{}
	}
	r.byRequest[request] = append(r.byRequest[request], runningCall{c, repeat})
}

// remove ends a call.
func (r *runningCalls) remove(request string, c *breaker.AdmittedCall) {
	r.mu.Lock()
	defer r.mu.Unlock()
	rest := slices.DeleteFunc(r.byRequest[request], func(o runningCall) bool { return o.AdmittedCall == c })
	if len(rest) == 0 {
		delete(r.byRequest, request)
		return
	}
	r.byRequest[request] = rest
}

// get returns the calls of a request.
func (r *runningCalls) get(request string) []runningCall {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.byRequest[request])
}

// BeginInner records that the target of a running request waits for an inner
// request of its own: meanwhile the outer one makes progress, however long it
// takes. If several calls run for the outer request, it is not known which of them
// waits, and all are paused. The returned function must be called when the inner
// request has ended. It is nil if no such request runs on this VM. Repeat reports
// whether one of the calls repeats an earlier attempt.
func (a *Admitter) BeginInner(outer string) (end func(), repeat bool) {
	calls := a.running.get(outer)
	if len(calls) == 0 {
		return nil, false
	}
	for _, c := range calls {
		c.Pause()
		repeat = repeat || c.repeat
	}
	return sync.OnceFunc(func() {
		for _, c := range calls {
			c.Resume()
		}
	}), repeat
}
