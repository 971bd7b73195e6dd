package node

import (
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/zinniaproxy/zinniaproxy/internal/httpserver"
	"github.com/zinniaproxy/zinniaproxy/internal/linker"
)

// refusalLogInterval is the least time between two log lines about clients that
// were refused in the same way.
const refusalLogInterval = time.Second

// refusalLog counts the clients that were refused or disconnected, and logs them at
// a bounded rate.
type refusalLog struct {
	count func(kind string)
	log   func(kind string, total int64)

	mu     sync.Mutex
	totals map[string]int64
	limits map[string]*rate.Sometimes
}

// add counts a refusal of a kind.
func (r *refusalLog) add(kind string) {
	r.count(kind)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.limits == nil {
		r.totals, r.limits = map[string]int64{}, map[string]*rate.Sometimes{}
	}
	if r.limits[kind] == nil {
		r.limits[kind] = &rate.Sometimes{Interval: refusalLogInterval}
	}
	r.totals[kind]++
	r.limits[kind].Do(func() { r.log(kind, r.totals[kind]) })
}

// refusalKinds returns all kinds of refusals of the servers and the link address.
func refusalKinds() []string {
	out := []string{linker.RefusedStranger, linker.RefusedHandshake}
	for _, kind := range httpserver.RefusalKinds() {
		out = append(out, kind, auxPrefix+kind)
	}
	return out
}

// auxPrefix begins the kinds of refusals of the auxiliary servers.
const auxPrefix = "aux-"
