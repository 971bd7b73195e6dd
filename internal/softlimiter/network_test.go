package softlimiter

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

const (
	// A member that no other reaches is taken off the member list after this
	// time, and is back on it sooner.
	networkSuspicion   = 3 * time.Second
	networkNewsSpread  = 400 * time.Millisecond
	networkStepLength  = 50 * time.Millisecond
	networkMaxLatency  = 8 * time.Millisecond
	networkCallTimeout = 2 * time.Second
)

// network is a set of soft limiters whose messages take time and get lost, and
// whose member lists follow what they reach.
type network struct {
	rate  float64
	burst int
	names []string
	// callers are the nodes that get the requests.
	callers []int
	stop    context.CancelFunc
	ctx     context.Context

	mu   sync.Mutex
	rand *rand.Rand
	// nodes are the running processes; nil is none.
	nodes []*Limiter
	// lost[i][j] tells that messages from i to j are lost.
	lost [][]bool
	// reachedAt is when i last reached j, directly or through a third node, and
	// sees is i's member list.
	reachedAt [][]time.Time
	sees      [][]bool
	granted   []time.Time
}

func newNetwork(ctx context.Context, seed uint64, size int, rate float64, burst int) *network {
	w := &network{rate: rate, burst: burst, rand: rand.New(rand.NewPCG(seed, 2)), nodes: make([]*Limiter, size)}
	w.ctx, w.stop = context.WithCancel(ctx)
	for i := range size {
		w.names, w.callers = append(w.names, nodeName(i)), append(w.callers, i)
		w.lost = append(w.lost, make([]bool, size))
		w.reachedAt = append(w.reachedAt, make([]time.Time, size))
		w.sees = append(w.sees, make([]bool, size))
	}
	for i := range size {
		w.start(i)
		for j := range size {
			w.sees[i][j], w.reachedAt[i][j] = true, time.Now()
		}
	}
	go w.followMembers()
	return w
}

// start starts a process without state, which knows itself only.
func (w *network) start(i int) {
	w.locked(func() {
		for j := range w.nodes {
			w.sees[i][j], w.reachedAt[i][j] = i == j, time.Time{}
		}
		n := &Limiter{
			Self: nodeName(i), Started: time.Now(),
			Alive:             func() []string { return w.members(i) },
			ReachableFraction: func() float64 { return float64(len(w.members(i))) / float64(len(w.nodes)) },
			Joined:            func() bool { return len(w.members(i)) > 1 },
			Limit:             func(string) (float64, int, bool) { return w.rate, w.burst, true },
			MaxInitialTokens:  func() float64 { return testExtraRequests / 2 },
		}
		n.SendQuery = func(ctx context.Context, node string, q *Query) (*Reply, error) { return w.send(ctx, n, i, node, q) }
		w.nodes[i] = n
	})
}

func (w *network) members(i int) (names []string) {
	w.locked(func() {
		for j, seen := range w.sees[i] {
			if seen {
				names = append(names, nodeName(j))
			}
		}
	})
	return names
}

// send delivers a query and its reply, or waits until the sender gives up.
func (w *network) send(ctx context.Context, sender *Limiter, i int, node string, q *Query) (*Reply, error) {
	j := slices.Index(w.names, node)
	time.Sleep(w.latency())
	receiver := w.process(j)
	if !w.delivers(sender, i, receiver, j) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	reply, err := receiver.Handle(ctx, nodeName(i), q)
	time.Sleep(w.latency())
	if !w.delivers(receiver, j, sender, i) || ctx.Err() != nil {
		<-ctx.Done()
		return nil, errors.New("lost")
	}
	return reply, err
}

// delivers reports whether a message gets from one process to another.
func (w *network) delivers(from *Limiter, i int, to *Limiter, j int) (ok bool) {
	w.locked(func() { ok = from != nil && to != nil && w.nodes[i] == from && w.nodes[j] == to && !w.lost[i][j] })
	return ok
}

func (w *network) latency() (d time.Duration) {
	w.locked(func() { d = time.Duration(w.rand.Int64N(int64(networkMaxLatency))) })
	return d
}

func (w *network) process(j int) (n *Limiter) {
	w.locked(func() { n = w.nodes[j] })
	return n
}

func (w *network) draw(n int) (drawn int) {
	w.locked(func() { drawn = w.rand.IntN(n) })
	return drawn
}

func (w *network) locked(f func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f()
}

// followMembers keeps the member lists. As the members ping each other through
// others too, one that is cut off from some only stays on the lists.
func (w *network) followMembers() {
	for ; w.ctx.Err() == nil; time.Sleep(networkStepLength) {
		w.locked(func() {
			now := time.Now()
			for i := range w.nodes {
				for j := range w.nodes {
					if reached := w.reaches(i, j); reached {
						w.reachedAt[i][j] = now
						if !w.sees[i][j] && w.rand.Int64N(int64(networkNewsSpread/networkStepLength)) < 2 {
							w.sees[i][j] = true
						}
					} else if now.Sub(w.reachedAt[i][j]) > networkSuspicion+time.Duration(w.rand.Int64N(int64(networkNewsSpread))) {
						w.sees[i][j] = i == j
					}
				}
			}
		})
	}
}

// reaches reports whether i gets an answer of j, directly or through a third
// node. The caller holds the lock.
func (w *network) reaches(i, j int) bool {
	if w.nodes[i] == nil || w.nodes[j] == nil {
		return false
	}
	direct := func(a, b int) bool { return w.nodes[a] != nil && w.nodes[b] != nil && !w.lost[a][b] && !w.lost[b][a] }
	if i == j || direct(i, j) {
		return true
	}
	for k := range w.nodes {
		if direct(i, k) && direct(k, j) {
			return true
		}
	}
	return false
}

// granting returns the index of the node that ranks first for the workspace.
func (w *network) granting() int { return slices.Index(w.names, firstRanked(w.names, "glide")) }

// request takes a token at a node. A process that has ended answers nobody.
func (w *network) request(i int) {
	n := w.process(i)
	if n == nil {
		return
	}
	ctx, cancel := context.WithTimeout(w.ctx, networkCallTimeout)
	defer cancel()
	err := n.Take(ctx, "glide")
	w.locked(func() {
		if err == nil && w.nodes[i] == n {
			w.granted = append(w.granted, time.Now())
		}
	})
}

// load sends requests at four times the rate for a time.
func (w *network) load(length time.Duration) {
	sent, started := 0, time.Now()
	for time.Since(started) < length {
		time.Sleep(5 * time.Millisecond)
		for due := int(time.Since(started).Seconds() * w.rate * 4); sent < due; sent++ {
			go w.request(w.callers[w.draw(len(w.callers))])
		}
	}
}

// replace ends the process of a node, and starts another one after a time.
func (w *network) replace(i int, after time.Duration) {
	w.locked(func() { w.nodes[i] = nil })
	time.AfterFunc(after, func() {
		if w.ctx.Err() == nil {
			w.start(i)
		}
	})
}

// third returns a third of the nodes, with the granting one.
func (w *network) third() []int {
	out := []int{w.granting()}
	w.locked(func() {
		for _, i := range w.rand.Perm(len(w.nodes)) {
			if i != out[0] && len(out) < len(w.nodes)/3 {
				out = append(out, i)
			}
		}
	})
	return out
}

// end stops the network and returns when tokens were granted.
func (w *network) end() (granted []time.Time) {
	w.stop()
	time.Sleep(networkCallTimeout)
	w.locked(func() { granted = w.granted })
	return granted
}

// mostIn returns the largest number of grants in any time of a length.
func mostIn(length time.Duration, granted []time.Time) int {
	most, first := 0, 0
	for last := range granted {
		for granted[last].Sub(granted[first]) >= length {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}

// fewestIn returns the smallest number of grants in any time of a length between
// two times.
func fewestIn(length time.Duration, granted []time.Time, from, to time.Time) int {
	fewest := len(granted)
	for start := from; !start.Add(length).After(to); start = start.Add(10 * time.Millisecond) {
		first, _ := slices.BinarySearchFunc(granted, start, time.Time.Compare)
		end, _ := slices.BinarySearchFunc(granted, start.Add(length), time.Time.Compare)
		fewest = min(fewest, end-first)
	}
	return fewest
}
