// Package detector runs outlier detection at an exit node, for the targets of
// its own VM, on the outcomes of their attempts. Two sequential tests that need
// few samples, one over failures and one over lateness, raise a suspicion.
// Before a target is ejected, it is compared with a few other targets of the
// service, so that none is ejected for lateness when all are slow.
package detector

import (
	"context"
	"sync"
	"time"

	"github.com/zinniaproxy/zinniaproxy/internal/messenger"
)

// Defaults of the detector.
const (
	// stepInterval is how often overdue attempts, ejections and references are
	// checked.
	stepInterval = 100 * time.Millisecond
	// refreshInterval is how often the reference of a sound target is renewed.
	refreshInterval = 30 * time.Second
	// maxPeersQueried bounds the targets that are queried for one reference.
	maxPeersQueried = 7
	// minPeerReplies is how many must reply before lateness is tested.
	minPeerReplies = 2
	// queryTimeout bounds one round of queries.
	queryTimeout = 500 * time.Millisecond
)

// Detector holds the health verdicts on the targets of one exit node. Its
// exported fields are set before Run.
type Detector struct {
	// Peers returns the known targets of a service in the fleet.
	Peers func(service string) []messenger.Target
	// SendQuery sends a query to a peer's node.
	SendQuery func(ctx context.Context, node string, q *Query) (*Reply, error)
	// OnVerdict is called on each change of a target's verdict, with its score and
	// without a lock held. It may be nil.
	OnVerdict func(target string, verdict messenger.Trust, score float64)
	// Rand returns a random number from 0 to n-1.
	Rand func(n int) int

	mu      sync.RWMutex
	tracked map[string]*trackedTarget
}

// Attempt is one attempt in flight.
type Attempt struct {
	target *trackedTarget
	d      *Detector
	start  time.Time
	// lastObservedAge is the age at which the attempt was last observed while
	// in flight; 0 before that.
	lastObservedAge time.Duration
	// timeToHead is the time to the head of the response; 0 before it came.
	timeToHead time.Duration
}

// Watch starts to track a target, or updates its announcement. A new epoch is a
// new target. coldLimit is how many attempts a cold target of the service can
// run at once.
func (d *Detector) Watch(announced messenger.Target, coldLimit int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.tracked == nil {
		d.tracked = map[string]*trackedTarget{}
	}
	t := d.tracked[announced.Name]
	if t == nil || t.announced.Epoch != announced.Epoch {
		d.tracked[announced.Name] = &trackedTarget{
			announced: announced, coldLimit: coldLimit, verdict: messenger.Sound,
			lastChange: time.Now(), inFlight: map[*Attempt]struct{}{},
		}
		return
	}
	t.mu.Lock()
	t.announced, t.coldLimit = announced, coldLimit
	t.mu.Unlock()
}

// Drop stops tracking a target.
func (d *Detector) Drop(name string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.tracked, name)
}

func (d *Detector) lookup(name string) *trackedTarget {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.tracked[name]
}

// Trust returns the health verdict on a target and its score. Targets that are
// not tracked are sound.
func (d *Detector) Trust(name string) (messenger.Trust, float64) {
	t := d.lookup(name)
	if t == nil {
		return messenger.Sound, 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.verdict, t.score
}

// Start records that an attempt is being sent to a target. Done must be called
// once on the result. An attempt at a target that is not tracked is not
// counted.
func (d *Detector) Start(name string) *Attempt {
	a := &Attempt{target: d.lookup(name), d: d, start: time.Now()}
	if a.target != nil {
		a.target.mu.Lock()
		a.target.inFlight[a] = struct{}{}
		a.target.mu.Unlock()
	}
	return a
}

// HeadReceived records that the head of the response came. Only the time until
// then is attributed to the target, since the time of the body depends on its
// reader too.
func (a *Attempt) HeadReceived() {
	if a.target == nil {
		return
	}
	a.target.mu.Lock()
	defer a.target.mu.Unlock()
	a.timeToHead = time.Since(a.start)
}

// Done ends an attempt and returns the time that the target took.
func (a *Attempt) Done(outcome Outcome) time.Duration {
	now := time.Now()
	elapsed := now.Sub(a.start)
	if a.target == nil {
		return elapsed
	}
	a.target.mu.Lock()
	defer a.target.mu.Unlock()
	inFlight := len(a.target.inFlight)
	delete(a.target.inFlight, a)
	if a.timeToHead > 0 {
		elapsed = a.timeToHead
	}
	if o, ok := a.toObservation(outcome, now, elapsed, inFlight); ok {
		a.target.observe(o)
	}
	return elapsed
}

// toObservation converts an ended attempt to an observation, and reports whether
// it counts. An attempt already observed as late is not counted as late again.
// A shed counts only if no more than the cold limit were in flight.
func (a *Attempt) toObservation(outcome Outcome, now time.Time, elapsed time.Duration, inFlight int) (observation, bool) {
	o := observation{at: now, elapsed: elapsed}
	switch outcome {
	case Good:
		o.completed = true
	case Failed, Truncated, Refused:
		o.completed, o.failed = true, true
	case Shed:
		o.completed, o.failed = true, true
		return o, inFlight <= a.target.coldLimit
	}
	if a.lastObservedAge > 0 && !o.failed {
		return o, false
	}
	return o, true
}

// Run steps all tracked targets every stepInterval until ctx ends.
func (d *Detector) Run(ctx context.Context) {
	t := time.NewTicker(stepInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			d.step(ctx)
		}
	}
}

func (d *Detector) step(ctx context.Context) {
	for _, t := range d.snapshot() {
		now := time.Now()
		t.mu.Lock()
		t.observeOverdue(now)
		changed := t.advance(now)
		refreshDue := now.Sub(t.evidence.reference.takenAt) >= d.maxReferenceAge(t)
		queryDue := t.takeQueryTurn(now) || refreshDue && t.verdict == messenger.Sound && now.Sub(t.lastQuery) >= minQueryInterval
		if queryDue {
			t.lastQuery = now
		}
		t.mu.Unlock()
		if changed {
			d.notifyVerdict(t)
		}
		if queryDue {
			go d.confirm(ctx, t)
		}
	}
}

// maxReferenceAge returns the age at which a reference is renewed, which is
// shorter while too few peers have replied. The caller holds the target's lock.
func (d *Detector) maxReferenceAge(t *trackedTarget) time.Duration {
	if t.evidence.reference.peerCount < minPeerReplies {
		return 2 * time.Second
	}
	return refreshInterval
}

func (d *Detector) snapshot() []*trackedTarget {
	d.mu.RLock()
	defer d.mu.RUnlock()
	targets := make([]*trackedTarget, 0, len(d.tracked))
	for _, t := range d.tracked {
		targets = append(targets, t)
	}
	return targets
}

// confirm queries peers, reweighs the target's observations by their replies,
// and ejects the target if the suspicion holds.
func (d *Detector) confirm(ctx context.Context, t *trackedTarget) {
	ref := newReference(d.queryPeers(ctx, t), time.Now())
	now := time.Now()
	t.mu.Lock()
	if ref.peerCount < minPeerReplies {
		ref.median, ref.upperQuartile = 0, 0
	}
	eject := t.confirmSuspicion(ref)
	if eject {
		t.eject(now)
	}
	t.mu.Unlock()
	if eject {
		d.notifyVerdict(t)
	}
}

// notifyVerdict calls OnVerdict with the target's present verdict.
func (d *Detector) notifyVerdict(t *trackedTarget) {
	t.mu.Lock()
	name, verdict, score := t.announced.Name, t.verdict, t.score
	t.mu.Unlock()
	if d.OnVerdict != nil {
		d.OnVerdict(name, verdict, score)
	}
}

// queryPeers returns the replies of a few other targets of the service, nil for
// each that failed.
func (d *Detector) queryPeers(ctx context.Context, t *trackedTarget) []*Reply {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	peers := d.selectPeers(t)
	replies := make([]*Reply, len(peers))
	var wg sync.WaitGroup
	for i, p := range peers {
		wg.Go(func() { replies[i] = d.queryPeer(ctx, p) })
	}
	wg.Wait()
	return replies
}

func (d *Detector) queryPeer(ctx context.Context, p messenger.Target) *Reply {
	if t := d.lookup(p.Name); t != nil {
		return t.reply()
	}
	r, err := d.SendQuery(ctx, p.Node, &Query{Target: p.Name})
	if err != nil {
		return nil
	}
	return r
}

// selectPeers returns up to maxPeersQueried random other targets of the service
// that are warm and sound.
func (d *Detector) selectPeers(t *trackedTarget) []messenger.Target {
	t.mu.Lock()
	own := t.announced
	t.mu.Unlock()
	var candidates []messenger.Target
	for _, p := range d.Peers(own.Service) {
		if p.Name != own.Name && p.State == messenger.Warm && p.Trust == messenger.Sound {
			candidates = append(candidates, p)
		}
	}
	n := min(maxPeersQueried, len(candidates))
	for i := range n {
		j := i + d.Rand(len(candidates)-i)
		candidates[i], candidates[j] = candidates[j], candidates[i]
	}
	return candidates[:n]
}

func (t *trackedTarget) reply() *Reply {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.evidence.reply(time.Now())
}

// Handle answers a peer's query about a target of this node. A target that is
// not tracked gets an empty reply.
func (d *Detector) Handle(_ context.Context, _ string, q *Query) (*Reply, error) {
	if t := d.lookup(q.Target); t != nil {
		return t.reply(), nil
	}
	return &Reply{}, nil
}
