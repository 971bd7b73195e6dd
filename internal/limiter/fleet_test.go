package limiter

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/zinniaproxy/zinniaproxy/internal/assigner"
	"github.com/zinniaproxy/zinniaproxy/internal/faker"
	"github.com/zinniaproxy/zinniaproxy/internal/messenger"
	"github.com/zinniaproxy/zinniaproxy/internal/storer"
)

var errStoreUnreachable = errors.New("limiter: test store is unreachable")

// fleet runs several limiters over an in-memory network in one synctest bubble.
type fleet struct {
	t     *testing.T
	rand  *rand.Rand
	store *faker.Store

	mu     sync.Mutex
	nodes  []*node
	limits map[string]rateLimit
	// blocked contains the directions (from, to) in which no message arrives.
	blocked map[[2]string]bool
	// maxDelay bounds the time of a message in transit. duplicateChance is the
	// probability that a message arrives twice, and maxDuplicateDelay bounds
	// how much later.
	maxDelay, maxDuplicateDelay time.Duration
	duplicateChance             float64
	// lostWriteReplyChance is the probability that the store's reply to a write
	// is lost.
	lostWriteReplyChance float64
	admittedAt           map[string][]time.Time
	refused              map[string]int
	messages             int
	bytes                int
	// detectAfter is how long a dead node still counts as a member.
	detectAfter time.Duration
	wide        []string
	config      uint64
	// highestNumber is the highest number of a share assignment so far.
	highestNumber uint64
}

type rateLimit struct {
	rate  float64
	burst int
}

// node is one process, whose clock runs at its own speed.
type node struct {
	*Limiter
	f          *fleet
	number     int
	stop       context.CancelFunc
	done       chan struct{}
	clockSpeed float64

	mu sync.Mutex
	// running is closed while the process runs, and open while it is paused.
	running chan struct{}
	// stampNumber is the newest assignment number received, and stampAt the
	// true time at which the store held it.
	stampNumber   uint64
	stampAt       time.Time
	noStamps      bool
	noStore       bool
	storeReadOnly bool
	dead          bool
	diedAt        time.Time
	leaving       bool
	hiddenNodes   map[string]bool
}

func newFleet(t *testing.T, seed uint64) *fleet {
	f := &fleet{
		t: t, rand: rand.New(rand.NewPCG(seed, 1)), store: faker.NewStore(), limits: map[string]rateLimit{},
		blocked: map[[2]string]bool{}, maxDelay: time.Millisecond, admittedAt: map[string][]time.Time{}, refused: map[string]int{},
	}
	return f
}

func (f *fleet) chance(p float64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.rand.Float64() < p
}

func (f *fleet) randomDuration(d time.Duration) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Duration(f.rand.Float64() * float64(d))
}

// duplicates returns the chance that a message arrives twice, and how much later
// at most. A fault may change both while nodes exchange messages.
func (f *fleet) duplicates() (chance float64, maxDelay time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.duplicateChance, f.maxDuplicateDelay
}

// start adds a process. It replaces a dead one of the same number.
func (f *fleet) start(number int, clockSpeed float64, configure func(*Limiter)) {
	n := &node{f: f, number: number, clockSpeed: clockSpeed, running: make(chan struct{}), hiddenNodes: map[string]bool{}, done: make(chan struct{})}
	close(n.running)
	begin := time.Now()
	n.Limiter = &Limiter{
		Self: messenger.Node{
			Name: fmt.Sprint("n", number), Epoch: uint64(begin.UnixNano()), Centre: fmt.Sprint("c", number%3),
		},
		Store: n.storeClient(), Members: n.members, NewestNumber: n.stamp, Workspace: f.workspace, WideWorkspaces: f.wideWorkspaces,
		SendQuery: n.exchangeQuery, SendHandover: n.exchangeHandover,
		Now: func() time.Time { return begin.Add(time.Duration(clockSpeed * float64(time.Since(begin)))) },
	}
	if configure != nil {
		configure(n.Limiter)
	}
	f.mu.Lock()
	for len(f.nodes) <= number {
		f.nodes = append(f.nodes, nil)
	}
	f.nodes[number] = n
	f.mu.Unlock()
	ctx, cancel := context.WithCancel(f.t.Context())
	n.stop = cancel
	go func() { defer close(n.done); n.Run(ctx) }()
	go n.receiveStamps(ctx)
}

func (f *fleet) workspace(name string) (float64, int, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	limit, ok := f.limits[name]
	return limit.rate, limit.burst, ok
}

func (f *fleet) wideWorkspaces() ([]string, uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.wide, f.config
}

func (f *fleet) setLimit(name string, rate float64, burst int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.limits[name] = rateLimit{rate, burst}
}

func (f *fleet) node(name string) *node {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, n := range f.nodes {
		if n != nil && n.Self.Name == name && !n.dead {
			return n
		}
	}
	return nil
}

func (f *fleet) runningNodes() []*node {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []*node
	for _, n := range f.nodes {
		if n != nil && !n.dead {
			out = append(out, n)
		}
	}
	return out
}

// believedAlive returns the nodes whose death has not been detected.
func (f *fleet) believedAlive() []*node {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []*node
	for _, n := range f.nodes {
		if n != nil && (!n.dead || time.Since(n.diedAt) < f.detectAfter) {
			out = append(out, n)
		}
	}
	return out
}

func (f *fleet) isBlocked(from, to string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.blocked[[2]string{from, to}]
}

func (f *fleet) isLeaving(n *node) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return n.leaving
}

func (n *node) members() []messenger.Node {
	var out []messenger.Node
	for _, m := range n.f.believedAlive() {
		n.mu.Lock()
		hidden := n.hiddenNodes[m.Self.Name]
		n.mu.Unlock()
		if !n.f.isLeaving(m) && (m == n || !hidden) {
			out = append(out, m.Self)
		}
	}
	return out
}

// receiveStamps receives the store's assignment number at random intervals, as
// nodes do with heartbeats.
func (n *node) receiveStamps(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(n.f.randomDuration(time.Second))
		lag := n.f.randomDuration(500 * time.Millisecond)
		number, at := n.f.storedNumber(), time.Now()
		time.Sleep(lag)
		n.mu.Lock()
		if !n.noStamps && at.After(n.stampAt) {
			n.stampNumber, n.stampAt = number, at
		}
		n.mu.Unlock()
	}
}

// storedNumber returns the highest number that the store ever had, as heartbeats
// do: a restored store may have a lower one.
func (f *fleet) storedNumber() uint64 {
	number, err := assigner.Number(context.Background(), f.store.Client())
	if err != nil {
		f.t.Error(err)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.highestNumber = max(f.highestNumber, number)
	return f.highestNumber
}

func (n *node) stamp() (uint64, time.Duration, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.stampNumber, time.Duration(n.clockSpeed * float64(time.Since(n.stampAt))), !n.stampAt.IsZero()
}

// storeClient returns the store as this process reaches it.
func (n *node) storeClient() *storer.Store {
	c := n.f.store.Client()
	get, swap := c.Get, c.Swap
	c.Get = func(ctx context.Context, key string) (storer.Entry, error) {
		if err := n.reachStore(); err != nil {
			return storer.Entry{}, err
		}
		e, err := get(ctx, key)
		return e, errors.Join(err, n.reachStore())
	}
	c.Swap = func(ctx context.Context, key string, value []byte, version uint64, lease string) (uint64, error) {
		if err := n.reachStore(); err != nil {
			return 0, err
		}
		if n.writesFail() {
			return 0, errStoreUnreachable
		}
		v, err := swap(ctx, key, value, version, lease)
		if n.f.chance(n.f.lostWriteReplyChance) {
			err = errors.Join(err, errStoreUnreachable)
		}
		return v, errors.Join(err, n.reachStore())
	}
	return c
}

// reachStore delays a call to the store, and returns an error if the process
// cannot reach it.
func (n *node) reachStore() error {
	n.waitWhilePaused()
	time.Sleep(n.f.randomDuration(n.f.maxDelay))
	n.waitWhilePaused()
	n.f.mu.Lock()
	dead := n.dead
	n.f.mu.Unlock()
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.noStore || dead {
		return errStoreUnreachable
	}
	return nil
}

// process returns the identity of the node's process, for tests that do not
// wait for its limiter to start.
func (n *node) process() string { return assigner.Identity(n.Self) }

func (n *node) writesFail() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.storeReadOnly
}

func (n *node) waitWhilePaused() {
	n.mu.Lock()
	running := n.running
	n.mu.Unlock()
	<-running
}

func (n *node) pauseFor(d time.Duration) {
	running := make(chan struct{})
	n.mu.Lock()
	n.running = running
	n.mu.Unlock()
	time.AfterFunc(d, func() { close(running) })
}

func (n *node) kill() {
	n.f.mu.Lock()
	n.dead, n.diedAt = true, time.Now()
	n.f.mu.Unlock()
	n.stop()
}

// exchange delivers a message, perhaps twice, and returns the reply.
func exchange[Q, R any](ctx context.Context, n *node, to string, q *Q, handle func(*node, context.Context, *Q) (*R, error)) (*R, error) {
	type result struct {
		reply *R
		err   error
	}
	f, b := n.f, messenger.Encode(q)
	results := make(chan result, 2)
	deliver := func() {
		n.waitWhilePaused()
		time.Sleep(f.randomDuration(f.maxDelay))
		peer := f.node(to)
		if peer == nil || f.isBlocked(n.Self.Name, to) {
			return
		}
		peer.waitWhilePaused()
		var copied Q
		if err := messenger.Decode(b, &copied); err != nil {
			f.t.Error(err)
			return
		}
		reply, err := handle(peer, context.WithoutCancel(ctx), &copied)
		peer.waitWhilePaused()
		time.Sleep(f.randomDuration(f.maxDelay))
		if f.isBlocked(to, n.Self.Name) {
			return
		}
		n.waitWhilePaused()
		f.countMessages(len(b), reply)
		results <- result{reply, err}
	}
	go deliver()
	chance, maxDelay := f.duplicates()
	if f.chance(chance) {
		time.AfterFunc(f.randomDuration(maxDelay), deliver)
	}
	select {
	case r := <-results:
		return r.reply, r.err
	case <-ctx.Done():
		n.waitWhilePaused()
		return nil, ctx.Err()
	}
}

func (f *fleet) countMessages(sentBytes int, reply any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.messages += 2
	f.bytes += sentBytes + len(messenger.Encode(reply))
}

func (n *node) exchangeQuery(ctx context.Context, to string, q *Query) (*Reply, error) {
	return exchange(ctx, n, to, q, func(p *node, ctx context.Context, q *Query) (*Reply, error) {
		return p.HandleQuery(ctx, n.Self.Name, q)
	})
}

func (n *node) exchangeHandover(ctx context.Context, to string, m *Handover) (*HandoverReply, error) {
	return exchange(ctx, n, to, m, func(p *node, ctx context.Context, m *Handover) (*HandoverReply, error) {
		return p.HandleHandover(ctx, n.Self.Name, m)
	})
}

// request sends one request at a node and records its result.
func (f *fleet) request(n *node, workspace string) {
	n.waitWhilePaused()
	err := n.Take(f.t.Context(), workspace)
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	if err == nil {
		f.admittedAt[workspace] = append(f.admittedAt[workspace], now)
		return
	}
	f.refused[workspace]++
}

// admitted returns when requests of a workspace were admitted.
func (f *fleet) admitted(workspace string) []time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.admittedAt[workspace])
}

// excess returns the largest number of tokens by which any window exceeds the
// limit.
func excess(admitted []time.Time, limit rateLimit) float64 {
	level, worst := float64(limit.burst), 0.0
	for i, at := range admitted {
		if i > 0 {
			level = min(float64(limit.burst), level+at.Sub(admitted[i-1]).Seconds()*limit.rate)
		}
		level--
		worst = max(worst, -level)
	}
	return worst
}

func (f *fleet) close() {
	for _, n := range f.runningNodes() {
		n.stop()
	}
	time.Sleep(10 * time.Minute)
}
