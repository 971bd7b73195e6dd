package softlimiter

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cespare/xxhash/v2"
	qt "github.com/frankban/quicktest"

	"github.com/zinniaproxy/zinniaproxy/pkg/coder"
)

const (
	testRate  = 60
	testBurst = 60
	testNodes = 9
	// At most a tenth above rate and burst, and a few requests more, is allowed
	// in any window of this length, whatever faults occur.
	testWindow            = 5 * time.Second
	testMaxExcessFraction = 0.1
	testExtraRequests     = 20
)

// cluster is a set of soft limiters with simulated faults. Nodes learn of each
// other's state with a delay.
type cluster struct {
	rand *rand.Rand
	// burst is that of the workspace.
	burst int
	// mu guards the fields below.
	mu      sync.Mutex
	nodes   []*Limiter
	running []bool
	// isolated marks the nodes of one side of a partition.
	isolated []bool
	// sees[i][j] reports whether node i believes node j to be alive.
	sees [testNodes][testNodes]bool
	// suspects[i][j] reports whether node i believes that no member reaches node j.
	suspects [testNodes][testNodes]bool
	granted  []time.Time
	refused  int
}

func nodeName(i int) string { return fmt.Sprintf("n%d", i) }

func newCluster(seed uint64) *cluster {
	c := &cluster{burst: testBurst, rand: rand.New(rand.NewPCG(seed, 1)), running: make([]bool, testNodes), isolated: make([]bool, testNodes)}
	for i := range testNodes {
		c.running[i] = true
		for j := range testNodes {
			c.sees[i][j] = true
		}
	}
	for i := range testNodes {
		c.nodes = append(c.nodes, c.newNode(i))
	}
	return c
}

func (c *cluster) newNode(i int) *Limiter {
	return &Limiter{
		Self: nodeName(i), Started: time.Now(),
		Alive: func() (out []string) {
			c.mu.Lock()
			defer c.mu.Unlock()
			for j := range testNodes {
				if c.sees[i][j] {
					out = append(out, nodeName(j))
				}
			}
			return out
		},
		ReachableFraction: func() float64 {
			c.mu.Lock()
			defer c.mu.Unlock()
			n := 0
			for j := range testNodes {
				if c.sees[i][j] {
					n++
				}
			}
			return float64(n) / testNodes
		},
		Limit:            func(string) (float64, int, bool) { return testRate, c.burst, true },
		MaxInitialTokens: func() float64 { return testExtraRequests / 2 },
		SendQuery: func(ctx context.Context, node string, q *Query) (*Reply, error) {
			for j := range testNodes {
				if nodeName(j) != node {
					continue
				}
				if c.unreachable(i, j) {
					<-ctx.Done()
					return nil, ctx.Err()
				}
				return c.nodeAt(j).Handle(ctx, nodeName(i), q)
			}
			return nil, errors.New("no such node")
		},
	}
}

// unreachable reports whether node i cannot reach node j.
func (c *cluster) unreachable(i, j int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.running[j] || c.isolated[i] != c.isolated[j]
}

func (c *cluster) nodeAt(j int) *Limiter {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.nodes[j]
}

// locked calls f with the lock held.
func (c *cluster) locked(f func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f()
}

// propagate updates, after a delay, what the other nodes believe of node j.
func (c *cluster) propagate(j int) {
	for i := range testNodes {
		delay := time.Duration(c.draw(400)) * time.Millisecond
		if c.unreachable(i, j) {
			delay += 3 * time.Second // a suspicion must time out first
		}
		time.AfterFunc(delay, func() {
			reachable := i == j || !c.unreachable(i, j)
			c.locked(func() { c.sees[i][j] = reachable })
		})
	}
}

func (c *cluster) take(i int) {
	if c.unreachable(i, i) {
		return
	}
	err := c.nodeAt(i).Take(context.Background(), "glide")
	c.locked(func() {
		if err == nil {
			c.granted = append(c.granted, time.Now())
		} else if coder.Of(err).Code == coder.RateExceeded {
			c.refused++
		}
	})
}

// draw returns a random number below n. Delayed faults draw while the test does.
func (c *cluster) draw(n int) (drawn int) {
	c.locked(func() { drawn = c.rand.IntN(n) })
	return drawn
}

// maxGrantsInWindow returns the largest number of grants in any window. The caller
// holds the lock.
func (c *cluster) maxGrantsInWindow() int {
	most, first := 0, 0
	for last := range c.granted {
		for c.granted[last].Sub(c.granted[first]) >= testWindow {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}

// Guards against excess grants when one workspace sends several times its rate
// while nodes restart without state, stop, or are partitioned.
func TestGrantsStayNearRateAndBurstDuringFaults(t *testing.T) {
	for seed := range uint64(12) {
		synctest.Test(t, func(t *testing.T) {
			c := newCluster(seed)
			time.Sleep(10 * time.Second) // longer than the settle time after the start
			for step := range 600 {
				for range 12 { // four times the rate
					go c.take(c.draw(testNodes))
				}
				time.Sleep(50 * time.Millisecond)
				synctest.Wait()
				if step%100 == 60 {
					c.injectFault(step / 100)
				}
			}
			time.Sleep(5 * time.Second)
			allowed := int((testRate*testWindow.Seconds()+testBurst)*(1+testMaxExcessFraction)) + testExtraRequests
			c.locked(func() {
				t.Logf("seed %d: at most %d in a window, allowed %d, granted %d, refused %d", seed, c.maxGrantsInWindow(), allowed, len(c.granted), c.refused)
				qt.Check(t, c.maxGrantsInWindow() <= allowed, qt.IsTrue)
				// On average at least four fifths of the rate must be granted.
				qt.Check(t, float64(len(c.granted)) >= 0.8*testRate*30, qt.IsTrue)
			})
		})
	}
}

// injectFault injects the fault with the given number: it restarts a node
// without state, stops one for a while, or partitions the cluster for a while.
func (c *cluster) injectFault(number int) {
	j := c.draw(testNodes)
	switch number % 3 {
	case 0: // a restart: the new process has no record of its grants
		c.locked(func() { c.nodes[j] = c.newNode(j) })
	case 1: // a stop, and a start two seconds later
		c.locked(func() { c.running[j] = false })
		c.propagate(j)
		time.AfterFunc(2*time.Second, func() {
			c.locked(func() { c.nodes[j], c.running[j] = c.newNode(j), true })
			c.propagate(j)
		})
	case 2: // a partition of a third of the nodes for three seconds
		c.setIsolated(true)
		time.AfterFunc(3*time.Second, func() { c.setIsolated(false) })
	}
}

// setIsolated starts or ends a partition that separates a third of the nodes
// from the others.
func (c *cluster) setIsolated(isolated bool) {
	c.locked(func() {
		for k := range testNodes / 3 {
			c.isolated[k] = isolated
		}
	})
	for k := range testNodes {
		c.propagate(k)
	}
}

// Guards against excess grants while a third of the nodes reaches neither the
// granting node of a hot workspace nor, in the second case, the next one: no
// member ends, so that the granting node goes on for the others.
func TestNodesCutOffFromGrantingNode(t *testing.T) {
	for cut := 1; cut <= 2; cut++ {
		synctest.Test(t, func(t *testing.T) {
			c := newCluster(uint64(cut))
			time.Sleep(10 * time.Second)
			unreached := map[string]bool{}
			for range cut {
				first, best := "", uint64(0)
				for j := range testNodes {
					if h := xxhash.Sum64String(nodeName(j) + "\nglide"); h > best && !unreached[nodeName(j)] {
						first, best = nodeName(j), h
					}
				}
				unreached[first] = true
			}
			cutOff := 0
			for i := 0; i < testNodes && cutOff < testNodes/3; i++ {
				if unreached[nodeName(i)] {
					continue
				}
				cutOff++
				send := c.nodes[i].SendQuery
				c.nodes[i].SendQuery = func(ctx context.Context, node string, q *Query) (*Reply, error) {
					if unreached[node] {
						<-ctx.Done()
						return nil, ctx.Err()
					}
					return send(ctx, node, q)
				}
			}
			for range 300 {
				for range 12 {
					go c.take(c.draw(testNodes))
				}
				time.Sleep(50 * time.Millisecond)
				synctest.Wait()
			}
			time.Sleep(5 * time.Second)
			allowed := int((testRate*testWindow.Seconds()+testBurst)*(1+testMaxExcessFraction)) + testExtraRequests
			c.locked(func() {
				t.Logf("%d nodes unreached: at most %d in a window, allowed %d", cut, c.maxGrantsInWindow(), allowed)
				qt.Check(t, c.maxGrantsInWindow() <= allowed, qt.IsTrue)
			})
		})
	}
}

// Guards against refused requests that all retry at once.
func TestRetryAfterIsSpreadOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(1)
		time.Sleep(10 * time.Second)
		var retryAfters []time.Duration
		for len(retryAfters) < 30 {
			if err := c.nodes[0].Take(t.Context(), "glide"); err != nil {
				retryAfters = append(retryAfters, coder.Of(err).After)
			}
		}
		qt.Check(t, retryAfters[29]-retryAfters[0] > 300*time.Millisecond, qt.IsTrue, qt.Commentf("%v", retryAfters))
		qt.Check(t, retryAfters[29] < 2*time.Second, qt.IsTrue)
	})
}

// Guards against double grants when the whole fleet restarts under load from
// one workspace: nodes that do not know of each other yet must not each grant.
func TestFleetRestartDoesNotGrantTwice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(3)
		time.Sleep(10 * time.Second)
		sendRequests := func(duration time.Duration) {
			for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
				for i := range testNodes {
					go c.take(i)
				}
			}
		}
		sendRequests(6 * time.Second)
		restarted := time.Now()
		for i := range testNodes {
			n := c.newNode(i)
			n.Joined = func() bool { return time.Since(restarted) > 400*time.Millisecond }
			n.ReachableFraction = func() float64 { return 1 }
			c.locked(func() {
				c.nodes[i] = n
				for j := range testNodes {
					c.sees[i][j] = i == j
				}
			})
		}
		time.AfterFunc(400*time.Millisecond, func() {
			for j := range testNodes {
				c.locked(func() {
					for i := range testNodes {
						c.sees[i][j] = true
					}
				})
			}
		})
		sendRequests(8 * time.Second)
		time.Sleep(2 * time.Second)
		allowed := int((testRate*testWindow.Seconds()+testBurst)*(1+testMaxExcessFraction)) + testExtraRequests
		synctest.Wait()
		c.locked(func() {
			qt.Check(t, c.maxGrantsInWindow() <= allowed, qt.IsTrue, qt.Commentf("%d grants in a window, allowed %d", c.maxGrantsInWindow(), allowed))
		})
	})
}
