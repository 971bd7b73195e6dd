package picker

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/zinniaproxy/zinniaproxy/internal/ejector"
	"github.com/zinniaproxy/zinniaproxy/internal/indexer"
	"github.com/zinniaproxy/zinniaproxy/internal/messenger"
)

// Parameters of the weights.
const (
	// rebuildInterval is how often the eligible targets and weights are updated.
	rebuildInterval = 100 * time.Millisecond
	// reducedFraction is the fraction of its weight that a reduced target gets.
	reducedFraction = 0.1
	// reportDecayTime is the time in which a reported load decays to 1/e.
	reportDecayTime = time.Second
	// minRemoteFraction is the fraction of its weight that a target of another
	// data centre gets while the own one has room.
	minRemoteFraction = 0.02
	// Above a load of spillStartLoad in the own data centre, where calls begin to
	// wait for slots, the weights of less loaded ones rise, up to their full weight
	// at a difference of spillRange.
	spillStartLoad, spillRange = 0.8, 0.4
	// minSpillDifference is by how much the load of another data centre must be
	// lower. Between equally full ones, calls would only change places.
	minSpillDifference = 0.1
	// meanLoadSmoothing divides the step by which a report moves the mean load
	// of its data centre.
	meanLoadSmoothing = 16
	// centreRampTime is how long a returning data centre ramps up,
	// centreRampStart the fraction of its weight that it starts with.
	centreRampTime  = 20 * time.Second
	centreRampStart = 0.1
)

// load is the load of a target or of a data centre.
type load struct {
	// inFlight is the number of this entry node's own calls.
	inFlight int
	// reported is the load reported at reportedAt, as a fraction of the
	// concurrency limit.
	reported   float64
	reportedAt time.Time
}

// update records a load report of the target.
func (l *load) update(h messenger.ResponseHead, now time.Time) {
	l.reported = float64(h.Queue+h.InFlight) / float64(h.Limit)
	l.reportedAt = now
}

// current returns the reported load, decayed by its age.
func (l *load) current(now time.Time) float64 {
	return l.reported * math.Exp(-float64(now.Sub(l.reportedAt))/float64(reportDecayTime))
}

// meanLoad is the mean load of a data centre.
type meanLoad load

// update moves the mean by the load report of one target.
func (m *meanLoad) update(h messenger.ResponseHead, now time.Time) {
	m.reported += (float64(h.Queue+h.InFlight)/float64(h.Limit) - m.reported) / meanLoadSmoothing
	m.reportedAt = now
}

// eligibleTarget is a target that may be chosen.
type eligibleTarget struct {
	target   messenger.Target
	capacity float64
	tier     ejector.Tier
	// weight is the relative probability of a draw, and evenWeight the same
	// without preference for the own data centre. They do not add up to 1.
	weight, evenWeight float64
	load               *load
}

// service is the state of one service. Its lock guards all fields.
type service struct {
	name        string
	mu          sync.Mutex
	rebuiltAt   time.Time
	eligible    []eligibleTarget
	loads       map[string]*load
	centreLoads map[string]*load
}

// add makes a target eligible.
func (s *service) add(t messenger.Target, capacity float64, tier ejector.Tier) {
	l := s.loads[t.Name]
	if l == nil {
		l = &load{}
		s.loads[t.Name] = l
	}
	s.eligible = append(s.eligible, eligibleTarget{target: t, capacity: capacity, tier: tier, load: l})
}

// pruneLoads deletes the loads of targets that no longer exist.
func (s *service) pruneLoads(targets []messenger.Target) {
	if len(s.loads) <= len(targets) {
		return
	}
	known := make(map[string]bool, len(targets))
	for _, t := range targets {
		known[t.Name] = true
	}
	for name := range s.loads {
		if !known[name] {
			delete(s.loads, name)
		}
	}
}

func (s *service) meanLoad(centre string) *meanLoad {
	l := s.centreLoads[centre]
	if l == nil {
		l = &load{}
		s.centreLoads[centre] = l
	}
	return (*meanLoad)(l)
}

// setWeights sets the weights of the eligible targets for a picker.
func (s *service) setWeights(p *Picker, now time.Time) {
	ownCentre, ownCapacity := p.Centre, 0.0
	for _, e := range s.eligible {
		if e.target.Centre == ownCentre && e.tier == ejector.Full {
			ownCapacity += e.capacity
		}
	}
	ownLoad := (*load)(s.meanLoad(ownCentre)).current(now)
	for i := range s.eligible {
		e := &s.eligible[i]
		e.weight = e.capacity * p.centreReturns.rampFraction(e.target.Centre, now)
		if e.tier == ejector.Reduced {
			e.weight *= reducedFraction
		}
		e.evenWeight = e.weight
		if e.target.Centre != ownCentre && ownCapacity > 0 {
			remoteLoad := 0.0
			if p.CompareCentres {
				remoteLoad = (*load)(s.meanLoad(e.target.Centre)).current(now)
			}
			e.weight *= spillFraction(ownLoad, remoteLoad)
		}
	}
}

// spillFraction returns the fraction of their weight that the targets of another
// data centre get at its load and that of the own one.
func spillFraction(ownLoad, load float64) float64 {
	fraction := (ownLoad - max(spillStartLoad, load+minSpillDifference)) / spillRange
	return minRemoteFraction + (1-minRemoteFraction)*min(max(fraction, 0), 1)
}

// pick draws two targets by weight and returns the less loaded one. It avoids the
// exit nodes of the tried targets or, if none remain, only the tried targets.
func (s *service) pick(tried []string, now time.Time, random func() float64) (eligibleTarget, bool) {
	nodes := s.exitNodes(tried)
	skips := []func(e *eligibleTarget) bool{
		func(e *eligibleTarget) bool { return slices.Contains(nodes, e.target.Node) },
		func(e *eligibleTarget) bool { return slices.Contains(tried, e.target.Name) },
	}
	for _, skip := range skips {
		a, b := s.draw(skip, byWeight, random()), s.draw(skip, byWeight, random())
		if a != nil && b != nil {
			return *lessLoaded(a, b, now), true
		}
	}
	return eligibleTarget{}, false
}

// candidates draws up to n distinct targets without those tried. If wide is set,
// the weights do not favour the own data centre.
func (s *service) candidates(tried []string, n int, wide bool, random func() float64) []messenger.Target {
	weight := byWeight
	if wide {
		weight = byEvenWeight
	}
	var drawn []messenger.Target
	excluded := slices.Clone(tried)
	for len(drawn) < n {
		e := s.draw(func(e *eligibleTarget) bool { return slices.Contains(excluded, e.target.Name) }, weight, random())
		if e == nil {
			break
		}
		drawn, excluded = append(drawn, e.target), append(excluded, e.target.Name)
	}
	return drawn
}

func byWeight(e *eligibleTarget) float64 { return e.weight }

func byEvenWeight(e *eligibleTarget) float64 { return e.evenWeight }

// exitNodes returns the exit nodes of the named targets.
func (s *service) exitNodes(names []string) (nodes []string) {
	if len(names) == 0 {
		return nil
	}
	for _, e := range s.eligible {
		if slices.Contains(names, e.target.Name) {
			nodes = append(nodes, e.target.Node)
		}
	}
	return nodes
}

func lessLoaded(a, b *eligibleTarget, now time.Time) *eligibleTarget {
	if b.relativeLoad(now) < a.relativeLoad(now) {
		return b
	}
	return a
}

// relativeLoad returns the load of a target as a fraction of its capacity.
func (e *eligibleTarget) relativeLoad(now time.Time) float64 {
	return float64(e.load.inFlight)/e.capacity + e.load.current(now)
}

// draw returns the target at a point, in [0, 1), of the cumulative weights of
// the targets not skipped. It returns nil if all are skipped.
func (s *service) draw(skip func(*eligibleTarget) bool, weight func(*eligibleTarget) float64, point float64) *eligibleTarget {
	total := 0.0
	for i := range s.eligible {
		if !skip(&s.eligible[i]) {
			total += weight(&s.eligible[i])
		}
	}
	point *= total
	var last *eligibleTarget
	for i := range s.eligible {
		e := &s.eligible[i]
		if skip(e) {
			continue
		}
		last = e
		if point -= weight(e); point < 0 {
			break
		}
	}
	return last
}

// centreReturns records when data centres that were out returned.
type centreReturns struct {
	mu         sync.Mutex
	lastIndex  *indexer.Index
	wasOut     map[string]bool
	returnedAt map[string]time.Time
}

// observe records which data centres returned to service since the configuration
// was last observed.
func (c *centreReturns) observe(index *indexer.Index, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if index == nil || index == c.lastIndex {
		return
	}
	if c.wasOut == nil {
		c.wasOut, c.returnedAt = map[string]bool{}, map[string]time.Time{}
	}
	for _, centre := range index.Fleet().Centres {
		if c.wasOut[centre.Name] && !centre.Out {
			c.returnedAt[centre.Name] = now
		}
		c.wasOut[centre.Name] = centre.Out
	}
	c.lastIndex = index
}

// rampFraction returns the fraction of its weight that a data centre gets: 1,
// or less for centreRampTime after its return.
func (c *centreReturns) rampFraction(centre string, now time.Time) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	returned, ok := c.returnedAt[centre]
	if !ok {
		return 1
	}
	fraction := float64(now.Sub(returned)) / float64(centreRampTime)
	if fraction >= 1 {
		delete(c.returnedAt, centre)
		return 1
	}
	return max(fraction, centreRampStart)
}
