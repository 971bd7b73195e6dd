package recorder

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/zinniaproxy/zinniaproxy/internal/faker"
	"github.com/zinniaproxy/zinniaproxy/internal/storer"
	"github.com/zinniaproxy/zinniaproxy/pkg/coder"
)

var errNetwork = errors.New("lost on the network")

// process is one process of a node, from its start to its end.
type process struct {
	*Recorder
	cluster *cluster
	stop    context.CancelFunc
	dead    bool
	// resumed is closed when the process is not paused.
	resumed chan struct{}
}

// execution is an entry in the target's log.
type execution struct {
	intent Intent
	// requestedAt is when the caller's request arrived, ranAt when the target
	// ran it.
	requestedAt, ranAt time.Time
}

// cluster is a set of nodes with their simulated network, store and target.
type cluster struct {
	mu        sync.Mutex
	rnd       *rand.Rand
	store     *faker.Store
	names     []string
	processes map[string]*process
	// blocked are the directions in which all messages are lost. loss is the
	// probability of losing or duplicating any other message.
	blocked    map[[2]string]bool
	loss       float64
	executions map[string][]execution
	violations []string
	lastRunID  uint64
	queries    int
	configure  func(*Recorder)
	// era is that of the store.
	era uint64
}

func newCluster(seed uint64, names ...string) *cluster {
	return &cluster{
		rnd: rand.New(rand.NewPCG(seed, 1)), store: faker.NewStore(), names: names,
		processes: map[string]*process{}, blocked: map[[2]string]bool{}, executions: map[string][]execution{},
		configure: func(*Recorder) {}, era: 1,
	}
}

func (cl *cluster) chance(p float64) bool {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	return cl.rnd.Float64() < p
}

// messageFault reports whether a message suffers a fault, with probability
// weight times the loss.
func (cl *cluster) messageFault(weight float64) bool {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	return cl.rnd.Float64() < weight*cl.loss
}

func (cl *cluster) randomDelay(limit time.Duration) time.Duration {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	return time.Duration(cl.rnd.Int64N(int64(limit)))
}

// start starts a new process of a node.
func (cl *cluster) start(name string) {
	p := &process{Recorder: New(name), cluster: cl, resumed: make(chan struct{})}
	close(p.resumed)
	p.ShardCount, p.KeyLifetime, p.MaxRequestTime, p.VoteValidity = 2, 30*time.Second, 5*time.Second, 3*time.Second
	p.Store = p.client()
	p.Members = func() []string { return cl.names }
	p.Nodes = cl.alive
	p.Up = func(node string) bool { return slices.Contains(cl.alive(), node) }
	p.SendQuery = func(ctx context.Context, to string, q *Query) (*Reply, error) { return cl.query(ctx, p, to, q) }
	cl.configure(p.Recorder)
	p.setupOnce.Do(p.setup)
	ctx, stop := context.WithCancel(context.Background())
	p.stop = stop
	if cl.process(name) != nil {
		cl.resume(name)
	}
	cl.mu.Lock()
	cl.processes[name] = p
	era := cl.era
	cl.mu.Unlock()
	p.NoteEra(era) // as heartbeats tell it
	go func() { _ = p.Run(ctx) }()
}

func (cl *cluster) process(name string) *process {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	return cl.processes[name]
}

func (cl *cluster) alive() []string {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	var out []string
	for _, n := range cl.names {
		if p := cl.processes[n]; p != nil && !p.dead {
			out = append(out, n)
		}
	}
	return out
}

// kill ends a process. Messages it has sent may still arrive.
func (cl *cluster) kill(name string) {
	cl.mu.Lock()
	p := cl.processes[name]
	p.dead = true
	cl.mu.Unlock()
	p.stop()
	cl.resume(name)
}

func (cl *cluster) pause(name string) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	p := cl.processes[name]
	select {
	case <-p.resumed:
		p.resumed = make(chan struct{})
	default:
	}
}

func (cl *cluster) resume(name string) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	p := cl.processes[name]
	select {
	case <-p.resumed:
	default:
		close(p.resumed)
	}
}

// awaitResume blocks while the process is paused, and reports whether it is
// alive.
func (p *process) awaitResume() bool {
	p.cluster.mu.Lock()
	resumed := p.resumed
	p.cluster.mu.Unlock()
	<-resumed
	p.cluster.mu.Lock()
	defer p.cluster.mu.Unlock()
	return !p.dead
}

// query delivers a query, which may be lost, duplicated or delayed.
func (cl *cluster) query(ctx context.Context, from *process, to string, q *Query) (*Reply, error) {
	cl.mu.Lock()
	cl.queries++
	cl.mu.Unlock()
	if !from.awaitResume() || cl.transmit(ctx, from.Node, to) {
		return nil, errNetwork
	}
	p := cl.process(to)
	if p == nil || !p.awaitResume() {
		return nil, errNetwork
	}
	if cl.messageFault(1) {
		go func() { _, _ = p.Handle(context.WithoutCancel(ctx), from.Node, q) }()
		time.Sleep(cl.randomDelay(100 * time.Millisecond))
	}
	reply, err := p.Handle(ctx, from.Node, q)
	if err != nil || !p.awaitResume() || cl.transmit(ctx, to, from.Node) || !from.awaitResume() || ctx.Err() != nil {
		return nil, errNetwork
	}
	return reply, nil
}

// transmit simulates the transfer of one message and reports whether it is
// lost.
func (cl *cluster) transmit(ctx context.Context, from, to string) bool {
	time.Sleep(time.Millisecond)
	if cl.messageFault(0.5) {
		time.Sleep(cl.randomDelay(3 * time.Second)) // may exceed the timeout of the query
	}
	cl.mu.Lock()
	blocked := cl.blocked[[2]string{from, to}]
	cl.mu.Unlock()
	if blocked || cl.messageFault(1) {
		<-ctx.Done()
		return true
	}
	return false
}

// client returns a process's client of the store. Its writes may take effect
// late or without a reply, even after the process died.
func (p *process) client() *storer.Store {
	cl, c := p.cluster, p.cluster.store.Client()
	send := func(ctx context.Context) error {
		if !p.awaitResume() || cl.transmit(ctx, p.Node, "store") {
			return errNetwork
		}
		return nil
	}
	receive := func(ctx context.Context) error {
		if !p.awaitResume() || cl.transmit(ctx, "store", p.Node) {
			return errNetwork
		}
		return ctx.Err()
	}
	return &storer.Store{
		Eras: c.Eras,
		Get: func(ctx context.Context, key string) (storer.Entry, error) {
			if err := send(ctx); err != nil {
				return storer.Entry{}, err
			}
			e, err := c.Get(context.WithoutCancel(ctx), key)
			return e, errors.Join(err, receive(ctx))
		},
		Swap: func(ctx context.Context, key string, value []byte, version uint64, lease string) (uint64, error) {
			if err := send(ctx); err != nil {
				return 0, err
			}
			v, err := c.Swap(context.WithoutCancel(ctx), key, value, version, lease)
			if lost := receive(ctx); lost != nil {
				return 0, lost
			}
			return v, err
		},
		List: func(ctx context.Context, prefix string) ([]storer.Entry, error) {
			if err := send(ctx); err != nil {
				return nil, err
			}
			e, err := c.List(context.WithoutCancel(ctx), prefix)
			return e, errors.Join(err, receive(ctx))
		},
	}
}

// call performs one caller's request through an entry node and returns what the
// caller receives.
func (cl *cluster) call(entryNode, key string, request uint64) error {
	p := cl.process(entryNode)
	cl.mu.Lock()
	cl.lastRunID++
	in := Intent{Workspace: "w", Key: key, RequestDigest: request, RunID: cl.lastRunID, Timeout: 5 * time.Second}
	cl.mu.Unlock()
	requestedAt := time.Now()
	ctx, stop := context.WithTimeout(context.Background(), in.Timeout)
	defer stop()
	answer, err := p.Begin(ctx, in)
	if err != nil {
		return err
	}
	if answer != nil {
		cl.checkAnswer(key, string(answer))
		return nil
	}
	time.Sleep(cl.randomDelay(500 * time.Millisecond))
	if !p.awaitResume() || ctx.Err() != nil {
		return coder.New(coder.Canceled, "")
	}
	if cl.chance(0.2) { // the target refuses the call before running it
		p.Finish(ctx, in, Outcome{Ran: coder.RanNo})
		return coder.New(coder.Shed, "")
	}
	cl.execute(in, requestedAt)
	time.Sleep(cl.randomDelay(500 * time.Millisecond))
	if cl.chance(0.2) { // the response is truncated
		p.Finish(ctx, in, Outcome{Ran: coder.RanUnknown})
		return coder.New(coder.Cut, "")
	}
	p.Finish(ctx, in, Outcome{Ran: coder.RanYes, Answer: fmt.Appendf(nil, "%s/%d", key, in.RunID)})
	return nil
}

// execute runs a call at the target, whose log must not show a key twice within
// the key's lifetime.
func (cl *cluster) execute(in Intent, requestedAt time.Time) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	now := time.Now()
	for _, e := range cl.executions[in.Key] {
		if requestedAt.Sub(e.requestedAt) < 30*time.Second {
			cl.violations = append(cl.violations, fmt.Sprintf("%s ran twice: run %d at %v, run %d at %v", in.Key, e.intent.RunID, e.ranAt, in.RunID, now))
		}
	}
	cl.executions[in.Key] = append(cl.executions[in.Key], execution{in, requestedAt, now})
}

// checkAnswer checks that the answer to a repeat is that of a logged execution.
func (cl *cluster) checkAnswer(key, answer string) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	for _, e := range cl.executions[key] {
		if answer == fmt.Sprintf("%s/%d", key, e.intent.RunID) {
			return
		}
	}
	cl.violations = append(cl.violations, "answer of no execution: "+answer)
}

func (cl *cluster) close() {
	cl.mu.Lock()
	ps := make([]*process, 0, len(cl.processes))
	for _, p := range cl.processes {
		ps = append(ps, p)
	}
	cl.mu.Unlock()
	for _, p := range ps {
		cl.kill(p.Node)
	}
	time.Sleep(time.Minute) // let messages and calls in flight end
}

// releaseContext returns the context of a planned stop, which is never
// canceled.
func (p *process) releaseContext() context.Context { return context.Background() }

// killProcess ends a process, and resumes the node unless a newer process has
// replaced it.
func (cl *cluster) killProcess(p *process) {
	cl.mu.Lock()
	current := cl.processes[p.Node] == p
	p.dead = true
	cl.mu.Unlock()
	p.stop()
	if current {
		cl.resume(p.Node)
	}
}
