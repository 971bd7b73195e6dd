package picker_test

import (
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/zinniaproxy/zinniaproxy/internal/detector"
	"github.com/zinniaproxy/zinniaproxy/internal/indexer"
	"github.com/zinniaproxy/zinniaproxy/internal/messenger"
	"github.com/zinniaproxy/zinniaproxy/internal/picker"
	"github.com/zinniaproxy/zinniaproxy/internal/queuer"
	"github.com/zinniaproxy/zinniaproxy/internal/ramper"
	"github.com/zinniaproxy/zinniaproxy/pkg/coder"
	"github.com/zinniaproxy/zinniaproxy/pkg/declarer"
)

const (
	hopLatency        = 500 * time.Microsecond
	gossipDelay       = 200 * time.Millisecond // until entry nodes know a health verdict
	silentLinkTimeout = time.Second            // until a silent link fails its calls
	baseServiceTime   = 50 * time.Millisecond
)

// fault changes how a target answers or how its node is reached.
type fault struct {
	latencyFactor               float64 // multiple of the usual latency; 0 is 1
	failShare, truncateShare    float64 // fractions of calls
	hang, receivesNothing, cold bool    // receivesNothing: no call reaches the node
}

// node is an exit node with one fake target.
type node struct {
	name                  string
	target                messenger.Target
	queue                 queuer.Queuer
	ramp                  ramper.Ramper
	fault                 func() fault
	inFlight, maxInFlight int
	overLimitStarts       int // calls started beyond the slots, or beyond the cold limit
}

// rig simulates a fleet with one service in virtual time.
type rig struct {
	mu         sync.Mutex
	seed       uint64
	rand       *rand.Rand // for the pickers, in the order of their calls
	peerRand   *rand.Rand // for the detector, whose draws must not change the pickers'
	ctx        context.Context
	start      time.Time
	index      *indexer.Index
	nodes      []*node
	detector   *detector.Detector
	entryNodes []*picker.Picker
	gossiped   map[string]messenger.Target // targets as known to the entry nodes
	events     []string
	fcfs       bool // one first-come-first-served queue for all workspaces
	roundRobin bool // choose by round robin without ejection
	nextNode   int
	linkSilent func(entry int, n *node) bool // whether the link to n has gone silent
}

func newRig(ctx context.Context, seed uint64, targets, slots int, floor float64) *rig {
	r := &rig{seed: seed, rand: rand.New(rand.NewPCG(seed, 1)), peerRand: rand.New(rand.NewPCG(seed, 2)), ctx: ctx, start: time.Now(), gossiped: map[string]messenger.Target{}}
	r.linkSilent = func(int, *node) bool { return false }
	r.index = indexer.New(1, declarer.Fleet{}.WithCentre(declarer.Centre{Name: "a"}).
		WithService(declarer.Service{Name: "s", Slots: slots, Cold: 2, Floor: floor}))
	r.detector = &detector.Detector{Peers: r.targets, OnVerdict: r.setTrust, Rand: r.randomPeer}
	for i := range targets {
		n := &node{name: fmt.Sprintf("n%d", i), fault: func() fault { return fault{} }}
		n.target = messenger.Target{Name: fmt.Sprintf("s@%d", i), Service: "s", Node: n.name, Centre: "a", Slots: slots, Trust: messenger.Sound}
		n.ramp.Announce(messenger.Warm, slots, 2)
		n.queue.Limit = n.ramp.Limit
		r.detector.Watch(n.target, 2)
		r.nodes, r.gossiped[n.target.Name] = append(r.nodes, n), n.target
		r.entryNodes = append(r.entryNodes, &picker.Picker{Centre: "a", Targets: r.targets, Rand: r.random, Index: func() *indexer.Index { return r.index }})
	}
	go r.detector.Run(ctx)
	return r
}

func (r *rig) random() float64 { r.mu.Lock(); defer r.mu.Unlock(); return r.rand.Float64() }

func (r *rig) randomPeer(n int) int { r.mu.Lock(); defer r.mu.Unlock(); return r.peerRand.IntN(n) }

func (r *rig) targets(string) []messenger.Target {
	r.mu.Lock()
	defer r.mu.Unlock()
	targets := make([]messenger.Target, len(r.nodes))
	for i, n := range r.nodes {
		targets[i] = r.gossiped[n.target.Name]
		targets[i].Limit = n.ramp.Limit()
	}
	return targets
}

func (r *rig) setTrust(name string, trust messenger.Trust, score float64) {
	r.mu.Lock()
	r.events = append(r.events, fmt.Sprintf("%.1f %s %s", time.Since(r.start).Seconds(), name, trust))
	r.mu.Unlock()
	time.AfterFunc(gossipDelay, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		t := r.gossiped[name]
		t.Trust, t.Score = trust, score
		r.gossiped[name] = t
	})
}

// workload describes the calls of one workspace.
type workload struct {
	name              string
	rate              float64 // calls a second
	serviceTimeFactor float64 // multiple of baseServiceTime; 0 is 1
	deferrable        bool
	weight            int
	deadline          time.Duration // 0 stands for 2 s
	start, end        time.Duration
	// draws holds the random draws of one call.
	draws callDraws
}

// callDraws holds the random draws of a call. Each workspace has its own random
// numbers, so its draws stay the same in runs that differ in other workspaces.
type callDraws struct {
	entryNode     int     // index of the entry node that receives the call
	latencyFactor float64 // multiple of the usual service time
	failurePoint  float64 // the call fails if this is below the target's failShare
}

func (r *rig) drawCall(rng *rand.Rand) callDraws {
	return callDraws{rng.IntN(len(r.entryNodes)), math.Exp(0.5 * rng.NormFloat64()), rng.Float64()}
}

// callStats counts the calls of a workspace by outcome.
type callStats struct {
	sent, good, rejected, failed int
	latencies                    []time.Duration
}

func (s *callStats) share() float64 { return float64(s.good) / float64(max(s.sent, 1)) }

func (s *callStats) p99() time.Duration {
	slices.Sort(s.latencies)
	return s.latencies[len(s.latencies)*99/100]
}

// run sends the calls of all workloads and returns their statistics by workspace
// when the last call has ended.
func (r *rig) run(workloads ...workload) map[string]*callStats {
	stats, wg := map[string]*callStats{}, sync.WaitGroup{}
	for i, w := range workloads {
		s := &callStats{}
		stats[w.name] = s
		wg.Go(func() {
			rng := rand.New(rand.NewPCG(r.seed, uint64(i)))
			time.Sleep(w.start)
			for time.Since(r.start) < w.end {
				time.Sleep(time.Duration(rng.ExpFloat64() / w.rate * float64(time.Second)))
				call := w
				call.draws = r.drawCall(rng)
				wg.Go(func() { r.request(call, s) })
			}
		})
	}
	wg.Wait()
	return stats
}

// request sends one call and records its outcome.
func (r *rig) request(w workload, s *callStats) {
	if w.deadline == 0 {
		w.deadline = 2 * time.Second
	}
	begin := time.Now()
	ctx, cancel := context.WithTimeout(r.ctx, w.deadline)
	defer cancel()
	err := r.attempt(ctx, w)
	r.mu.Lock()
	defer r.mu.Unlock()
	s.sent++
	s.latencies = append(s.latencies, time.Since(begin))
	switch {
	case err == nil:
		s.good++
	case coder.Of(err).Ran() == coder.RanNo:
		s.rejected++
	default:
		s.failed++
	}
}

func (r *rig) attempt(ctx context.Context, w workload) error {
	i := w.draws.entryNode
	if r.roundRobin {
		r.mu.Lock()
		r.nextNode++
		n := r.nodes[r.nextNode%len(r.nodes)]
		r.mu.Unlock()
		_, err := r.handleAtExit(ctx, n, w)
		return err
	}
	t, done, err := r.entryNodes[i].Pick("s", nil)
	if err != nil {
		return err
	}
	n := r.nodes[slices.IndexFunc(r.nodes, func(n *node) bool { return n.target.Name == t.Name })]
	if n.fault().receivesNothing || r.linkSilent(i, n) {
		time.Sleep(silentLinkTimeout)
		done(picker.Outcome{Lost: true})
		return errors.New("silent link")
	}
	time.Sleep(hopLatency)
	head, err := r.handleAtExit(ctx, n, w)
	time.Sleep(hopLatency)
	done(picker.Outcome{Answered: true, Head: head})
	return err
}

// handleAtExit does the work of the exit node: it queues the call, sends it to the
// target, and reports the outcome to the detector and the ramper.
func (r *rig) handleAtExit(ctx context.Context, n *node, w workload) (messenger.ResponseHead, error) {
	ticket := queuer.Ticket{Workspace: w.name, Weight: w.weight, Deferrable: w.deferrable}
	ticket.Deadline, _ = ctx.Deadline()
	if r.fcfs {
		ticket.Workspace, ticket.Deferrable = "", false
	}
	release, err := n.queue.Acquire(ctx, ticket)
	if err == nil {
		attempt := r.detector.Start(n.target.Name)
		outcome := r.serve(ctx, n, w)
		n.ramp.Done(outcome, attempt.Done(outcome), n.queue.State().InFlight)
		release()
		if outcome != detector.Good {
			err = fmt.Errorf("call failed with outcome %d", outcome)
		}
	}
	s := n.queue.State()
	return messenger.ResponseHead{Queue: s.Queue, InFlight: s.InFlight, Limit: s.Limit}, err
}

// serve is the fake target. It sheds calls beyond its slots, or beyond the cold
// limit of 2 while it is cold.
func (r *rig) serve(ctx context.Context, n *node, w workload) detector.Outcome {
	f := n.fault()
	r.mu.Lock()
	n.inFlight++
	n.maxInFlight = max(n.maxInFlight, n.inFlight)
	overLimit := n.inFlight > n.target.Slots || f.cold && n.inFlight > 2
	load := 1 + 0.5*float64(n.inFlight)/float64(n.target.Slots)
	if overLimit {
		n.overLimitStarts++
	}
	r.mu.Unlock()
	defer func() { r.mu.Lock(); n.inFlight--; r.mu.Unlock() }()
	if overLimit {
		return detector.Shed
	}
	serviceTime := baseServiceTime.Seconds() * max(w.serviceTimeFactor, 1) * max(f.latencyFactor, 1) * load * w.draws.latencyFactor
	timer := time.NewTimer(time.Duration(serviceTime * float64(time.Second)))
	if f.hang {
		timer.Stop()
	}
	select {
	case <-timer.C:
	case <-ctx.Done():
		return detector.Timeout
	}
	if w.draws.failurePoint < f.failShare {
		return detector.Failed
	}
	if w.draws.failurePoint < f.failShare+f.truncateShare {
		return detector.Truncated
	}
	return detector.Good
}
