// Package picker chooses the target of an attempt at the entry node: it draws two
// targets at random, weighted by capacity, and takes the less loaded one. It
// prefers the own data centre while that has room, lets returning data centres
// and recovering targets start slowly, and avoids exit nodes that do not answer.
package picker

import (
	"sync"
	"time"

	"github.com/zinniaproxy/zinniaproxy/internal/ejector"
	"github.com/zinniaproxy/zinniaproxy/internal/indexer"
	"github.com/zinniaproxy/zinniaproxy/internal/messenger"
	"github.com/zinniaproxy/zinniaproxy/pkg/coder"
)

// Outcome is the result of one attempt as the entry node sees it.
type Outcome struct {
	// Answered tells that the exit node sent a head, of a response or of a
	// refusal.
	Answered bool
	// Lost tells that the attempt ended without any reply of the exit node, and
	// was not canceled by its caller.
	Lost bool
	// NotSent tells that a lost attempt could not be sent.
	NotSent bool
	// Head is the head that came.
	Head messenger.ResponseHead
}

// Picker chooses targets at one entry node. Its fields are set before use.
type Picker struct {
	// Centre is the node's own data centre.
	Centre string
	// Targets returns the known targets of a service.
	Targets func(service string) []messenger.Target
	// Index returns the configuration, nil as long as there is none.
	Index func() *indexer.Index
	// CompareCentres lets calls spill only to data centres that are less loaded than
	// the own one. Otherwise the load of the own one decides alone.
	CompareCentres bool
	// Down tells that a node is known to be unreachable. It may be nil.
	Down func(node string) bool
	// Rand returns a random number in [0, 1).
	Rand func() float64
	// Leaving reports whether a target stated to this node that it leaves. Nil
	// means never.
	Leaving func(t messenger.Target) bool
	// OnAvoid is called when the path to a node is newly avoided. It may be nil.
	OnAvoid func(node string)

	mu            sync.RWMutex
	services      map[string]*service
	paths         paths
	centreReturns centreReturns
}

// Pick chooses a target of the service for an attempt of a request that has
// already tried the named targets. The returned function must be called once,
// when the attempt has ended. The error is a *coder.Error with code NoTarget.
func (p *Picker) Pick(name string, tried []string) (messenger.Target, func(Outcome), error) {
	s, now := p.lockService(name)
	defer s.mu.Unlock()
	e, ok := s.pick(tried, now, p.Rand)
	if !ok {
		return messenger.Target{}, nil, coder.New(coder.NoTarget, "service %s has no eligible target", name)
	}
	e.load.inFlight++
	return e.target, p.doneFunc(s, e, now), nil
}

// lockService returns a service, locked, with weights that are at most
// rebuildInterval old.
func (p *Picker) lockService(name string) (*service, time.Time) {
	s, now := p.service(name), time.Now()
	s.mu.Lock()
	if now.Sub(s.rebuiltAt) >= rebuildInterval {
		p.rebuild(s, now)
	}
	return s, now
}

// Candidates returns up to n distinct targets of a service, drawn by weight,
// without those tried. If wide is set, the weights do not favour the own data
// centre.
func (p *Picker) Candidates(name string, tried []string, n int, wide bool) []messenger.Target {
	s, _ := p.lockService(name)
	defer s.mu.Unlock()
	return s.candidates(tried, n, wide, p.Rand)
}

// Begin records the start of an attempt at one of the candidates. Done must be
// called once, when the attempt has ended.
func (p *Picker) Begin(t messenger.Target) (done func(Outcome)) {
	s, now := p.lockService(t.Service)
	defer s.mu.Unlock()
	e := eligibleTarget{target: t, load: s.loads[t.Name]}
	if e.load == nil {
		e.load = &load{}
	}
	e.load.inFlight++
	return p.doneFunc(s, e, now)
}

// RecordLoad records the load of a target that its exit node reported.
func (p *Picker) RecordLoad(t messenger.Target, h messenger.ResponseHead) {
	s, now := p.lockService(t.Service)
	defer s.mu.Unlock()
	if l := s.loads[t.Name]; l != nil && h.Limit > 0 {
		l.update(h, now)
		s.meanLoad(t.Centre).update(h, now)
	}
}

// OwnCentreLoad returns the recent mean load of the own data centre's targets of
// a service, as a fraction of their concurrency limits.
func (p *Picker) OwnCentreLoad(name string) float64 {
	s, now := p.lockService(name)
	defer s.mu.Unlock()
	return (*load)(s.meanLoad(p.Centre)).current(now)
}

// RecordUnreachable records that a node could not be reached.
func (p *Picker) RecordUnreachable(node string) {
	if p.paths.recordLoss(node, true, time.Now(), p.Rand()) && p.OnAvoid != nil {
		p.OnAvoid(node)
	}
}

// doneFunc returns the function that ends an attempt.
func (p *Picker) doneFunc(s *service, e eligibleTarget, sent time.Time) func(Outcome) {
	var once sync.Once
	return func(o Outcome) {
		once.Do(func() { p.finish(s, e, sent, o) })
	}
}

func (p *Picker) finish(s *service, e eligibleTarget, sent time.Time, o Outcome) {
	now := time.Now()
	node := e.target.Node
	s.mu.Lock()
	e.load.inFlight--
	if o.Answered && o.Head.Limit > 0 {
		e.load.update(o.Head, now)
		s.meanLoad(e.target.Centre).update(o.Head, now)
	}
	s.mu.Unlock()
	if o.Answered {
		p.paths.recordAnswer(node, sent, now)
	}
	if !o.Lost || !p.paths.recordLoss(node, o.NotSent, now, p.Rand()) {
		return
	}
	s.mu.Lock()
	s.rebuiltAt = time.Time{}
	s.mu.Unlock()
	if p.OnAvoid != nil {
		p.OnAvoid(node)
	}
}

func (p *Picker) service(name string) *service {
	p.mu.RLock()
	s := p.services[name]
	p.mu.RUnlock()
	if s != nil {
		return s
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.services == nil {
		p.services = map[string]*service{}
	}
	if p.services[name] == nil {
		p.services[name] = &service{name: name, loads: map[string]*load{}, centreLoads: map[string]*load{}}
	}
	return p.services[name]
}

// rebuild updates the eligible targets of a service and their weights. The
// caller holds the service's lock.
func (p *Picker) rebuild(s *service, now time.Time) {
	index := p.Index()
	targets := p.Targets(s.name)
	p.centreReturns.observe(index, now)
	floor, coldLimit := 0.0, 1
	if index != nil && index.Service(s.name) != nil {
		floor, coldLimit = index.Service(s.name).Floor, index.Service(s.name).Cold
	}
	candidates := make([]ejector.Candidate, len(targets))
	for i, t := range targets {
		candidates[i] = p.candidate(t, index, coldLimit, now)
	}
	tiers := ejector.Choose(floor, candidates)
	s.rebuiltAt = now
	s.eligible = s.eligible[:0]
	for i, t := range targets {
		if tiers[i] >= ejector.Reduced {
			s.add(t, capacity(t, coldLimit), tiers[i])
		}
	}
	s.setWeights(p, now)
	s.pruneLoads(targets)
}

// Severities of ejector.Candidate. The score of a sick target is added to its
// severity.
const (
	recoveringSeverity  = 0.5
	unconfirmedSeverity = 1
	sickSeverity        = 10
	avoidedSeverity     = 1000
)

// candidate combines the exit node's health verdict on a target with the state
// of the path to that node.
func (p *Picker) candidate(t messenger.Target, index *indexer.Index, coldLimit int, now time.Time) ejector.Candidate {
	c := ejector.Candidate{
		Name:               t.Name,
		Slots:              float64(t.Slots),
		Capacity:           floorCapacity(t, coldLimit),
		Available:          t.AcceptsCalls() && !p.leaving(t) && !centreOut(index, t.Centre),
		ReducedWhenDropped: true,
	}
	switch t.Trust {
	case messenger.Sick:
		c.Severity, c.ReducedWhenDropped = sickSeverity+t.Score, false
	case messenger.Recovering:
		c.Severity = recoveringSeverity
	}
	switch p.pathState(t.Node, now) {
	case avoided:
		c.Severity, c.ReducedWhenDropped = c.Severity+avoidedSeverity, false
	case unconfirmed:
		c.Severity += unconfirmedSeverity
	}
	return c
}

func (p *Picker) leaving(t messenger.Target) bool { return p.Leaving != nil && p.Leaving(t) }

func (p *Picker) pathState(node string, now time.Time) pathState {
	if p.Down != nil && p.Down(node) {
		return avoided
	}
	return p.paths.state(node, now)
}

// assumedCallSeconds converts a target's stated rate to calls in flight.
const assumedCallSeconds = 1

// capacity returns how many calls a target can run at once now: the limit that
// its exit node reports, or the service's cold limit if there is none, but not
// more than the rate that the target states keeps busy.
func capacity(t messenger.Target, coldLimit int) float64 {
	n := t.Limit
	if n <= 0 {
		n = coldLimit
	}
	limit := float64(max(min(n, t.Slots), 1))
	if t.Rate > 0 {
		return min(limit, t.Rate*assumedCallSeconds)
	}
	return limit
}

// floorCapacity returns the capacity of a target that counts towards the floor:
// its slots, or the cold limit while it announces that it is cold. The current
// limit of a warm target depends on past traffic: with little traffic it never
// reaches the slots, so counting it would keep any target from being ejected.
func floorCapacity(t messenger.Target, coldLimit int) float64 {
	if t.State == messenger.Cold {
		return capacity(t, coldLimit)
	}
	return float64(max(t.Slots, 1))
}

func centreOut(index *indexer.Index, centre string) bool {
	if index == nil {
		return false
	}
	c, ok := index.Centre(centre)
	return ok && c.Out
}
