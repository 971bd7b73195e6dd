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
	hop     = 500 * time.Microsecond
	rumour  = 200 * time.Millisecond // until entries know a judgement
	silence = time.Second            // until a silent link fails its calls
	base    = 50 * time.Millisecond
)

// fault changes how a target answers or how its node is reached.
type fault struct {
	slow             float64 // times the usual latency; 0 is 1
	fail, cut        float64 // shares
	hang, deaf, cold bool    // deaf: nothing reaches the node
}

// node is an exit with one stand-in target.
type node struct {
	name         string
	target       messenger.Target
	queue        queuer.Queuer
	ramp         ramper.Ramper
	fault        func() fault
	flying, most int
	over         int // starts beyond the slots, or beyond what a cold target bears
}

// rig is a fleet of one service in virtual time.
type rig struct {
	mu      sync.Mutex
	seed    uint64
	rand    *rand.Rand // the pickers', in the order of their calls
	peers   *rand.Rand // the detector's, so that its order changes no other draw
	ctx     context.Context
	start   time.Time
	index   *indexer.Index
	nodes   []*node
	judge   *detector.Detector
	entries []*picker.Picker
	told    map[string]messenger.Target
	events  []string
	fcfs    bool // one flow for all
	blind   bool // round robin without ejection
	turn    int
	silent  func(entry int, n *node) bool // a link that has gone silent
}

func newRig(ctx context.Context, seed uint64, targets, slots int, floor float64) *rig {
	r := &rig{seed: seed, rand: rand.New(rand.NewPCG(seed, 1)), peers: rand.New(rand.NewPCG(seed, 2)), ctx: ctx, start: time.Now(), told: map[string]messenger.Target{}}
	r.silent = func(int, *node) bool { return false }
	r.index = indexer.New(1, declarer.Fleet{}.WithCentre(declarer.Centre{Name: "a"}).
		WithService(declarer.Service{Name: "s", Slots: slots, Cold: 2, Floor: floor}))
	r.judge = &detector.Detector{Peers: r.targets, Change: r.change, Rand: r.peer}
	for i := range targets {
		n := &node{name: fmt.Sprintf("n%d", i), fault: func() fault { return fault{} }}
		n.target = messenger.Target{Name: fmt.Sprintf("s@%d", i), Service: "s", Node: n.name, Centre: "a", Slots: slots, Trust: messenger.Sound}
		n.ramp.Announce(messenger.Warm, slots, 2)
		n.queue.Limit = n.ramp.Limit
		r.judge.Watch(n.target, 2)
		r.nodes, r.told[n.target.Name] = append(r.nodes, n), n.target
		r.entries = append(r.entries, &picker.Picker{Centre: "a", Targets: r.targets, Rand: r.float, Index: func() *indexer.Index { return r.index }})
	}
	go r.judge.Run(ctx)
	return r
}

func (r *rig) float() float64 { r.mu.Lock(); defer r.mu.Unlock(); return r.rand.Float64() }

func (r *rig) peer(n int) int { r.mu.Lock(); defer r.mu.Unlock(); return r.peers.IntN(n) }

func (r *rig) targets(string) []messenger.Target {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]messenger.Target, len(r.nodes))
	for i, n := range r.nodes {
		out[i] = r.told[n.target.Name]
		out[i].Limit = n.ramp.Limit()
	}
	return out
}

func (r *rig) change(name string, trust messenger.Trust, score float64) {
	r.mu.Lock()
	r.events = append(r.events, fmt.Sprintf("%.1f %s %s", time.Since(r.start).Seconds(), name, trust))
	r.mu.Unlock()
	time.AfterFunc(rumour, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		t := r.told[name]
		t.Trust, t.Score = trust, score
		r.told[name] = t
	})
}

// work describes the calls of one workspace.
type work struct {
	name     string
	rate     float64 // a second
	times    float64 // service time, times base; 0 is 1
	wait     bool
	weight   int
	deadline time.Duration // 0 is 2 s
	from, to time.Duration
	// chance is what one of its calls meets.
	chance chance
}

// chance is drawn for each call when it is made, by workspace, so that the same
// calls meet the same in runs that differ in other workspaces.
type chance struct {
	entry int     // where the call comes in
	slow  float64 // its service time, times the usual
	dice  float64 // below the target's share of failures it fails
}

func (r *rig) chance(own *rand.Rand) chance {
	return chance{own.IntN(len(r.entries)), math.Exp(0.5 * own.NormFloat64()), own.Float64()}
}

// score is what a workspace got.
type score struct {
	sent, good, refused, bad int
	took                     []time.Duration
}

func (s *score) share() float64 { return float64(s.good) / float64(max(s.sent, 1)) }

func (s *score) p99() time.Duration {
	slices.Sort(s.took)
	return s.took[len(s.took)*99/100]
}

// run sends all works and returns their scores when the last call has ended.
func (r *rig) run(works ...work) map[string]*score {
	scores, wg := map[string]*score{}, sync.WaitGroup{}
	for i, w := range works {
		s := &score{}
		scores[w.name] = s
		wg.Go(func() {
			own := rand.New(rand.NewPCG(r.seed, uint64(i)))
			time.Sleep(w.from)
			for time.Since(r.start) < w.to {
				time.Sleep(time.Duration(own.ExpFloat64() / w.rate * float64(time.Second)))
				call := w
				call.chance = r.chance(own)
				wg.Go(func() { r.request(call, s) })
			}
		})
	}
	wg.Wait()
	return scores
}

// request sends one call, and once more elsewhere after a true "not run".
func (r *rig) request(w work, s *score) {
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
	s.took = append(s.took, time.Since(begin))
	switch {
	case err == nil:
		s.good++
	case coder.Of(err).Ran() == coder.RanNo:
		s.refused++
	default:
		s.bad++
	}
}

func (r *rig) attempt(ctx context.Context, w work) error {
	i := w.chance.entry
	if r.blind {
		r.mu.Lock()
		r.turn++
		n := r.nodes[r.turn%len(r.nodes)]
		r.mu.Unlock()
		_, err := r.exit(ctx, n, w)
		return err
	}
	t, done, err := r.entries[i].Pick("s", nil)
	if err != nil {
		return err
	}
	n := r.nodes[slices.IndexFunc(r.nodes, func(n *node) bool { return n.target.Name == t.Name })]
	if n.fault().deaf || r.silent(i, n) {
		time.Sleep(silence)
		done(picker.Outcome{Lost: true})
		return errors.New("silent link")
	}
	time.Sleep(hop)
	head, err := r.exit(ctx, n, w)
	time.Sleep(hop)
	done(picker.Outcome{Heard: true, Head: head})
	return err
}

// exit is the exit node's part: queue, target, judgement.
func (r *rig) exit(ctx context.Context, n *node, w work) (messenger.Head, error) {
	ticket := queuer.Ticket{Workspace: w.name, Weight: w.weight, Wait: w.wait}
	ticket.Deadline, _ = ctx.Deadline()
	if r.fcfs {
		ticket.Workspace, ticket.Wait = "", false
	}
	release, err := n.queue.Acquire(ctx, ticket)
	if err == nil {
		flight := r.judge.Start(n.target.Name)
		kind := r.serve(ctx, n, w)
		n.ramp.Done(kind, flight.Done(kind), n.queue.State().Flying)
		release()
		if kind != detector.Good {
			err = fmt.Errorf("kind %d", kind)
		}
	}
	s := n.queue.State()
	return messenger.Head{Queue: s.Queue, Flying: s.Flying, Limit: s.Limit}, err
}

// serve is the stand-in target. A cold one sheds beyond its bound.
func (r *rig) serve(ctx context.Context, n *node, w work) detector.Kind {
	f := n.fault()
	r.mu.Lock()
	n.flying++
	n.most = max(n.most, n.flying)
	over := n.flying > n.target.Slots || f.cold && n.flying > 2
	load := 1 + 0.5*float64(n.flying)/float64(n.target.Slots)
	if over {
		n.over++
	}
	r.mu.Unlock()
	defer func() { r.mu.Lock(); n.flying--; r.mu.Unlock() }()
	if over {
		return detector.Shed
	}
	took := base.Seconds() * max(w.times, 1) * max(f.slow, 1) * load * w.chance.slow
	wait := time.NewTimer(time.Duration(took * float64(time.Second)))
	if f.hang {
		wait.Stop()
	}
	select {
	case <-wait.C:
	case <-ctx.Done():
		return detector.Timeout
	}
	if w.chance.dice < f.fail {
		return detector.Failed
	}
	if w.chance.dice < f.fail+f.cut {
		return detector.Cut
	}
	return detector.Good
}
