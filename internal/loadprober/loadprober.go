// Package loadprober chooses the target of an attempt by probing a few exit
// nodes in parallel for the load of their target and the risk that it hangs. The
// load reports that come with responses are out of date when a target has just
// begun to hang; the report of a probe is only as old as its network delay.
package loadprober

import (
	"context"
	"time"

	"github.com/zinniaproxy/zinniaproxy/internal/breaker"
	"github.com/zinniaproxy/zinniaproxy/internal/messenger"
	"github.com/zinniaproxy/zinniaproxy/pkg/coder"
)

const (
	// maxNonIdempotentProbes and maxIdempotentProbes bound how many exit nodes
	// are probed at once for a call.
	maxNonIdempotentProbes = 4
	maxIdempotentProbes    = 3
	// firstReportTimeout bounds the wait for the first load report.
	// furtherReportsTimeout bounds the wait for the others after it, and is a
	// few round trips between data centres.
	furtherReportsTimeout = 15 * time.Millisecond
	firstReportTimeout    = 250 * time.Millisecond
	// The score of a target is its risk and its load, each times its weight.
	nonIdempotentRiskWeight = 4
	idempotentRiskWeight    = 1.0
	loadWeight              = 0.5
	// maxPreferredLoad is the load above which targets of other data centres
	// are probed too: a call would queue for a slot.
	maxPreferredLoad = 1.2
	// suspectRetryAfter is the retry-after of a call for which all probed
	// targets were too risky. Fault episodes last seconds, and some end
	// meanwhile.
	suspectRetryAfter = 400 * time.Millisecond
	// maxPreferredRisk is the weighted risk above which targets of other data
	// centres are probed too.
	maxPreferredRisk = 0.8
	// remoteBodyBytes is the size of a body for which the score of a target of
	// another data centre must be lower by one: bytes between data centres cost
	// money, and a large body occupies a slow link for long.
	remoteBodyBytes = 16 << 10
	// maxBodyCost bounds what a body adds to the score. It is below unansweredScore:
	// a target that does not answer or refuses calls is worse than any transfer.
	maxBodyCost = 8.0
	// minRemoteGain is by how much the score of a target of the second, wide
	// draw must be lower: traffic between data centres costs money.
	minRemoteGain = 0.3
	// trialIdleTime is for how long a target goes without calls before it is
	// tried while calls of its service fail.
	trialIdleTime = 1200 * time.Millisecond
	// delayWeight is the score of a wait of one second for the target's limits of
	// calls per second.
	delayWeight = 2.0
	// Scores of targets whose exit node does not reply, of targets whose limit of
	// calls per second is reached, and of targets that accept no calls.
	unansweredScore  = 10
	exhaustedScore   = 50
	unavailableScore = 100
)

// Query is the query for the load report of a target. It is sent to the
// target's exit node.
type Query struct {
	_msgpack struct{} `msgpack:",as_array"`

	Target string
	Epoch  uint64
	// Statement is what the target stated about itself to the entry node.
	Statement messenger.Statement
}

// Report is the load report of a target.
type Report struct {
	_msgpack struct{} `msgpack:",as_array"`

	// Risk is the probability that the target is in a fault episode now.
	Risk float64
	// Queue is the number of calls that wait for the target, InFlight the number
	// in flight, and Limit the most that may be in flight.
	Queue, InFlight, Limit int
	// Unavailable tells that the target accepts no new calls.
	Unavailable bool
	// IdleTime is for how long the target has gone without any call.
	IdleTime time.Duration
	// StartDelay is how long a call would wait for the target's limits of calls
	// per second. If Exhausted, it would be refused instead.
	StartDelay time.Duration
	Exhausted  bool
}

// Prober chooses targets at one entry node. Its fields are set before use.
type Prober struct {
	// Self is the name of the own node, Centre its data centre.
	Self, Centre string
	// Candidates returns up to n distinct targets of a service, drawn by
	// weight, without those tried. If wide is set, the weights do not favour
	// the own data centre.
	Candidates func(service string, tried []string, n int, wide bool) []messenger.Target
	// LocalReport returns the load report of a target of the own node.
	LocalReport func(q *Query) Report
	// SendProbe probes a target of another node.
	SendProbe func(ctx context.Context, node string, q *Query) (*Report, error)
	// Statement returns what a target stated about itself to this node. Nil means
	// nothing.
	Statement func(t messenger.Target) messenger.Statement
	// OnReport is called with each load report of another node, OnProbeError
	// with each node whose probe failed while replies were still awaited.
	OnReport     func(t messenger.Target, r Report)
	OnProbeError func(node string, err error)

	troubles troubles
}

// candidate is a probed target with its score. The lowest score is best.
type candidate struct {
	target      messenger.Target
	score, risk float64
	// sufficient tells that no further targets need to be probed, and free that the
	// target has a free slot.
	sufficient, free bool
	// next is the second best target, with nextScore, or nil.
	next      *messenger.Target
	nextScore float64
	// idle is the probed target that has gone without calls for longest, and
	// soundIdle that of those which are not suspected.
	idle, soundIdle idleTarget
}

// consider takes another target into account as second best.
func (b *candidate) consider(t *messenger.Target, score float64) {
	if t != nil && t.Name != b.target.Name && (b.next == nil || score < b.nextScore) {
		b.next, b.nextScore = t, score
	}
}

// Choice is where an attempt may go.
type Choice struct {
	// Target is the best target.
	Target messenger.Target
	// Next is the second best one, or nil.
	Next *messenger.Target
	// Free tells that Target had a free slot when it was probed. Otherwise the call
	// should reserve one before its body is sent.
	Free bool
}

// idleTarget is a target that has gone without calls for a time, at least
// trialIdleTime. The zero value is none.
type idleTarget struct {
	target messenger.Target
	time   time.Duration
}

func longestIdle(a, b idleTarget) idleTarget {
	if a.time > b.time {
		return a
	}
	return b
}

// Choose returns where an attempt may go. While calls of the service or of the
// route fail, a target that has gone without calls is tried, so that none stays out
// for longer than its episode while callers are refused: any with an idempotent
// call, and one that is not suspected with a non-idempotent one. If all probed
// targets are likely to hang, a non-idempotent call that does not insist goes to one
// that is idle, or is refused at once: others may have become sound when it comes
// again, so that it should not wait at these. The error is a *coder.Error with code
// NoTarget or Suspect.
func (p *Prober) Choose(ctx context.Context, c *messenger.Call, tried []string) (Choice, error) {
	best, ok := p.chooseCandidate(ctx, c, tried)
	switch {
	case !ok:
		return Choice{}, coder.New(coder.NoTarget, "service %s has no eligible target", c.Service)
	case !c.Once && best.idle.time > 0 && p.troubles.include(c):
		return Choice{Target: best.idle.target, Free: true}, nil
	case c.Once && best.soundIdle.time > 0 && p.troubles.include(c):
		return Choice{Target: best.soundIdle.target, Free: true}, nil
	case c.Once && !c.Insist && best.risk > breaker.MaxRelaxedNonIdempotentRisk && best.idle.time >= breaker.MaxIdleTime:
		return Choice{Target: best.idle.target, Free: true}, nil
	case c.Once && !c.Insist && best.risk > breaker.MaxRelaxedNonIdempotentRisk:
		return Choice{}, coder.New(coder.Suspect, "all probed targets are likely to hang, the best with risk %.2f", best.risk).WithAfter(suspectRetryAfter)
	}
	return Choice{Target: best.target, Next: best.next, Free: best.free}, nil
}

func (p *Prober) chooseCandidate(ctx context.Context, c *messenger.Call, tried []string) (candidate, bool) {
	maxProbes := maxIdempotentProbes
	if c.Once {
		maxProbes = maxNonIdempotentProbes
	}
	preferred := p.Candidates(c.Service, tried, maxProbes, false)
	best, ok := p.bestCandidate(ctx, c, preferred)
	if !ok || best.sufficient || len(tried) > 0 && len(preferred) == maxProbes {
		return best, ok // a wide draw for each further attempt would cost too many probes
	}
	for _, t := range preferred {
		tried = append(tried[:len(tried):len(tried)], t.Name)
	}
	remote, ok := p.bestCandidate(ctx, c, p.Candidates(c.Service, tried, maxProbes, true))
	if !ok {
		return best, true
	}
	idle, soundIdle := longestIdle(best.idle, remote.idle), longestIdle(best.soundIdle, remote.soundIdle)
	if remote.score+minRemoteGain < best.score {
		best, remote = remote, best
	}
	best.consider(&remote.target, remote.score)
	best.idle, best.soundIdle = idle, soundIdle
	return best, true
}

// bestCandidate probes the targets and returns the best one. A single target of
// another node is returned without a probe.
func (p *Prober) bestCandidate(ctx context.Context, c *messenger.Call, targets []messenger.Target) (candidate, bool) {
	switch len(targets) {
	case 0:
		return candidate{}, false
	case 1:
		if targets[0].Node != p.Self {
			return candidate{target: targets[0], sufficient: true, free: true}, true
		}
	}
	var best candidate
	var idle, soundIdle idleTarget
	for i, report := range p.probeAll(ctx, targets) {
		if report != nil && !report.Unavailable && !report.Exhausted && report.IdleTime > trialIdleTime {
			it := idleTarget{targets[i], report.IdleTime}
			idle = longestIdle(idle, it)
			if report.Risk <= breaker.MaxNonIdempotentRisk {
				soundIdle = longestIdle(soundIdle, it)
			}
		}
		sc := score(c, report) + p.bodyCost(c, targets[i])
		if i > 0 && sc >= best.score {
			best.consider(&targets[i], sc)
		} else {
			former := best
			best = candidate{target: targets[i], score: sc, next: former.next, nextScore: former.nextScore}
			if i > 0 {
				best.consider(&former.target, former.score)
			}
			if report != nil {
				best.risk = report.Risk
				best.free = report.hasRoom()
				best.sufficient = !report.Unavailable && riskWeight(c)*report.Risk <= maxPreferredRisk && report.load() < maxPreferredLoad && report.StartDelay == 0
			}
		}
	}
	best.idle, best.soundIdle = idle, soundIdle
	return best, true
}

// score weighs a load report for a call. The report is nil if none came. For an
// idempotent call, a target that has just proven well counts no more than one of
// which nothing is known: otherwise the ones in use stay the only ones.
func score(c *messenger.Call, r *Report) float64 {
	switch {
	case r == nil:
		return unansweredScore
	case r.Unavailable:
		return unavailableScore
	case r.Exhausted:
		return exhaustedScore
	}
	risk := r.Risk
	if !c.Once {
		risk = max(risk, breaker.StationaryRisk)
	}
	return riskWeight(c)*risk + loadWeight*r.load() + delayWeight*r.StartDelay.Seconds()
}

// bodyCost is what the transfer of a call's body to a target adds to its score.
func (p *Prober) bodyCost(c *messenger.Call, t messenger.Target) float64 {
	if t.Centre == p.Centre {
		return 0
	}
	return min(float64(len(c.Body))/remoteBodyBytes, maxBodyCost)
}

func riskWeight(c *messenger.Call) float64 {
	if c.Once {
		return nonIdempotentRiskWeight
	}
	return idempotentRiskWeight
}

// load returns the calls at the target, queued and in flight, as a fraction of
// its concurrency limit.
func (r *Report) load() float64 {
	return float64(r.Queue+r.InFlight) / float64(max(r.Limit, 1))
}

// hasRoom reports whether a call could start at once at a target.
func (r *Report) hasRoom() bool {
	return r.Queue == 0 && r.InFlight < r.Limit && r.StartDelay == 0
}

// probeResult is the load report of the target at index, nil if its probe
// failed.
type probeResult struct {
	index  int
	report *Report
}

func (p *Prober) query(t messenger.Target) *Query {
	q := &Query{Target: t.Name, Epoch: t.Epoch}
	if p.Statement != nil {
		q.Statement = p.Statement(t)
	}
	return q
}

// probeAll returns the load reports of the targets in their order, nil for those
// that did not come in time.
func (p *Prober) probeAll(ctx context.Context, targets []messenger.Target) []*Report {
	ctx, cancel := context.WithTimeout(ctx, firstReportTimeout)
	results := make(chan probeResult, len(targets))
	for i, t := range targets {
		q := p.query(t)
		if t.Node == p.Self {
			local := p.LocalReport(q)
			results <- probeResult{i, &local}
			continue
		}
		go func() {
			report, err := p.SendProbe(ctx, t.Node, q)
			switch {
			case err == nil:
				p.OnReport(t, *report)
			case ctx.Err() == nil:
				p.OnProbeError(t.Node, err)
			}
			results <- probeResult{i, report}
		}()
	}
	reports, received := make([]*Report, len(targets)), false
	defer cancel()
	timer := time.NewTimer(firstReportTimeout)
	defer timer.Stop()
	for n := 0; n < len(targets); n++ {
		select {
		case result := <-results:
			reports[result.index] = result.report
			if result.report != nil && !received {
				received = true
				timer.Reset(furtherReportsTimeout)
			}
		case <-timer.C:
			return reports
		}
	}
	return reports
}
