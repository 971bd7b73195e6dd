package loadprober

import (
	"math"
	"sync"
	"time"
)

const (
	// outcomeDecayTime is the time in which the weight of an outcome decays to
	// 1/e.
	outcomeDecayTime = 2 * time.Second
	// maxCalmFailures is the share of failed attempts above which a service is in
	// trouble.
	maxCalmFailures = 0.08
)

// services holds the recent outcomes of the attempts at each service.
type services struct {
	mu       sync.Mutex
	outcomes map[string]*outcomes
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

// RecordOutcome records whether an attempt at a service got a good answer.
func (p *Prober) RecordOutcome(service string, good bool) {
	s, now := &p.services, time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.outcomes[service]
	if o == nil {
		if s.outcomes == nil {
			s.outcomes = map[string]*outcomes{}
		}
		o = &outcomes{updatedAt: now}
		s.outcomes[service] = o
	}
	o.decay(now)
	if good {
		o.good++
	} else {
		o.failed++
	}
}

// inTrouble reports whether more than maxCalmFailures of the recent attempts at a
// service failed.
func (s *services) inTrouble(service string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.outcomes[service]
	if o == nil {
		return false
	}
	o.decay(time.Now())
	return o.failed > maxCalmFailures*(o.good+o.failed)
}
