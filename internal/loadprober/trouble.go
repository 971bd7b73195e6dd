package loadprober

import (
	"maps"
	"math"
	"sync"
	"time"

	"github.com/zinniaproxy/zinniaproxy/internal/messenger"
)

const (
	// outcomeDecayTime is the time in which the weight of an outcome decays to
	// 1/e. An entry node of a large fleet makes one or two attempts a second, and
	// needs several to tell.
	outcomeDecayTime = 5 * time.Second
	// maxCalmFailures is the share of failed attempts above which a service or a
	// route is in trouble.
	maxCalmFailures = 0.08
	// outcomeRetention is how long the outcomes of a service or a route without
	// attempts are kept.
	outcomeRetention = 30 * time.Second
)

// troubles holds the recent outcomes of the attempts at each service and of each
// route.
type troubles struct {
	mu               sync.Mutex
	services, routes map[string]*outcomes
	lastSweep        time.Time
}

// outcomes are decayed counts of attempts as of updatedAt.
type outcomes struct {
	good, failed float64
	updatedAt    time.Time
}

func (o *outcomes) decay(now time.Time) {
	factor := math.Exp(-float64(now.Sub(o.updatedAt)) / float64(outcomeDecayTime))
	o.good, o.failed, o.updatedAt = o.good*factor, o.failed*factor, now
}

// RecordOutcome records whether an attempt got a good answer.
func (p *Prober) RecordOutcome(c *messenger.Call, good bool) {
	t, now := &p.troubles, time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.services == nil {
		t.services, t.routes = map[string]*outcomes{}, map[string]*outcomes{}
	}
	record(t.services, c.Service, good, now)
	record(t.routes, c.Route, good, now)
	t.sweep(now)
}

// sweep drops old outcomes. The caller holds the lock.
func (t *troubles) sweep(now time.Time) {
	if now.Sub(t.lastSweep) < outcomeRetention {
		return
	}
	t.lastSweep = now
	for _, byName := range []map[string]*outcomes{t.services, t.routes} {
		maps.DeleteFunc(byName, func(_ string, o *outcomes) bool { return now.Sub(o.updatedAt) >= outcomeRetention })
	}
}

func record(byName map[string]*outcomes, name string, good bool, now time.Time) {
	o := byName[name]
	if o == nil {
		o = &outcomes{updatedAt: now}
		byName[name] = o
	}
	o.decay(now)
	if good {
		o.good++
	} else {
		o.failed++
	}
}

// include reports whether more than maxCalmFailures of the recent attempts at the
// call's service failed, or of those of its route, whose other services may be the
// ones that fail.
func (t *troubles) include(c *messenger.Call) bool {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.services[c.Service].inTrouble(now) || t.routes[c.Route].inTrouble(now)
}

func (o *outcomes) inTrouble(now time.Time) bool {
	if o == nil {
		return false
	}
	o.decay(now)
	return o.failed > maxCalmFailures*(o.good+o.failed)
}
