package softlimiter

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// newSlowCluster returns a cluster of which the nodes learn of a partition or a
// stop as slowly as the prober does: a node is suspected after a second or more,
// each at another time, and held dead three seconds later. Its data centres are a
// third of the nodes each.
func newSlowCluster(seed uint64) *cluster {
	c := newCluster(seed)
	for i := range testNodes {
		c.nodes[i] = c.newSlowNode(i)
	}
	return c
}

func (c *cluster) newSlowNode(i int) *Limiter {
	n := c.newNode(i)
	n.Suspect = func(name string) bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		for j := range testNodes {
			if nodeName(j) == name {
				return c.suspects[i][j]
			}
		}
		return false
	}
	n.AliveByCentre = func() map[string][]string {
		out := map[string][]string{}
		for _, name := range n.Alive() {
			for j := range testNodes {
				if nodeName(j) == name {
					out[fmt.Sprint(j%3)] = append(out[fmt.Sprint(j%3)], name)
				}
			}
		}
		return out
	}
	return n
}

// setView sets whether node i believes node j to run, and that no member reaches it.
func (c *cluster) setView(i, j int, sees, suspects bool) {
	c.locked(func() { c.sees[i][j], c.suspects[i][j] = sees, suspects })
	c.nodeAt(i).NoteMembers()
}

// noticeSlowly updates what the nodes believe of node j after a change.
func (c *cluster) noticeSlowly(j int) {
	base := 700*time.Millisecond + time.Duration(c.draw(2500))*time.Millisecond
	for i := range testNodes {
		if i == j {
			continue
		}
		delay := time.Duration(c.draw(300)) * time.Millisecond
		if !c.unreachable(i, j) {
			time.AfterFunc(delay, func() {
				if reached := !c.unreachable(i, j); reached {
					c.setView(i, j, true, false)
				}
			})
			continue
		}
		time.AfterFunc(base+delay, func() {
			if c.unreachable(i, j) {
				c.setView(i, j, true, true)
			}
		})
		time.AfterFunc(base+delay+3*time.Second, func() {
			if c.unreachable(i, j) {
				c.setView(i, j, false, false)
			}
		})
	}
}

// cut starts or ends a partition between the nodes of a set and the others.
func (c *cluster) cut(nodes []int, isolated bool) {
	c.locked(func() {
		for _, j := range nodes {
			c.isolated[j] = isolated
		}
	})
	for j := range testNodes {
		c.noticeSlowly(j)
	}
}

// stop ends a node and starts it again without state after a while.
func (c *cluster) stop(j int, down time.Duration) {
	c.locked(func() { c.running[j] = false })
	c.noticeSlowly(j)
	time.AfterFunc(down, func() {
		c.locked(func() { c.nodes[j], c.running[j] = c.newSlowNode(j), true })
		for k := range testNodes {
			if k == j {
				continue
			}
			reached := !c.unreachable(j, k)
			c.locked(func() { c.sees[j][k], c.suspects[j][k] = reached, false })
		}
		c.noticeSlowly(j)
	})
}

// leave stops a node like stop, which the others learn at once.
func (c *cluster) leave(j int, down time.Duration) {
	c.stop(j, down)
	for i := range testNodes {
		time.AfterFunc(time.Duration(c.draw(300))*time.Millisecond, func() {
			if i != j && c.unreachable(i, j) {
				c.setView(i, j, false, false)
			}
		})
	}
}

// send sends four times the rate for a while, to all nodes.
func (c *cluster) send(duration time.Duration) {
	for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		for range 12 {
			go c.take(c.draw(testNodes))
		}
		synctest.Wait()
	}
}

// excess describes a window with more grants than are allowed.
func (c *cluster) excess() (violation string) {
	allowed := int((testRate*testWindow.Seconds()+float64(c.burst))*(1+testMaxExcessFraction)) + testExtraRequests
	c.locked(func() {
		slices.SortFunc(c.granted, time.Time.Compare)
		if most := c.maxGrantsInWindow(); most > allowed {
			violation = fmt.Sprintf("%d grants in a window, allowed %d", most, allowed)
		}
	})
	return violation
}

// rankedNodes returns the nodes by their rank for the workspace.
func rankedNodes() []int {
	ranked := make([]int, testNodes)
	for j := range ranked {
		ranked[j] = j
	}
	slices.SortFunc(ranked, func(a, b int) int {
		if rankOf(nodeName(a), "glide") > rankOf(nodeName(b), "glide") {
			return -1
		}
		return 1
	})
	return ranked
}

// centreOf returns the nodes of a node's data centre.
func centreOf(j int) (nodes []int) {
	for k := j % 3; k < testNodes; k += 3 {
		nodes = append(nodes, k)
	}
	return nodes
}

// Guards against two granting nodes while the data centre of the first one is cut
// off: it goes on for its own data centre, and the next one for the others.
func TestGrantsWhileADataCentreIsCutOff(t *testing.T) {
	for seed := range uint64(6) {
		for _, length := range []time.Duration{5 * time.Second, 12 * time.Second} {
			for _, before := range []time.Duration{-time.Second, time.Second, 4 * time.Second} {
				synctest.Test(t, func(t *testing.T) {
					c := newSlowCluster(seed)
					time.Sleep(10 * time.Second)
					nodes := centreOf(rankedNodes()[0])
					for range 3 {
						time.AfterFunc(max(before, 0), func() { c.cut(nodes, true) })
						if before < 0 {
							time.Sleep(-before)
						}
						time.AfterFunc(max(before, 0)+length, func() { c.cut(nodes, false) })
						c.send(length + before + 4*time.Second)
						time.Sleep(5 * time.Second)
					}
					qt.Check(t, c.excess(), qt.Equals, "", qt.Commentf("seed %d, cut for %v, load %v before it", seed, length, before))
				})
			}
		}
	}
}

// Guards against a node that grants a burst when the one before it stops for the
// second time: its bucket filled up while that one granted.
func TestGrantsWhenGrantingNodesStopAgain(t *testing.T) {
	for seed := range uint64(6) {
		synctest.Test(t, func(t *testing.T) {
			c := newSlowCluster(seed)
			c.burst = 3 * testRate
			time.Sleep(10 * time.Second)
			for i, j := range rankedNodes()[:3] { // so that four nodes grant in turn
				at := time.Duration(i+1) * 2 * time.Second
				time.AfterFunc(at, func() { c.leave(j, 12*time.Second-at) })
			}
			c.send(20 * time.Second)
			time.Sleep(6 * time.Second)
			for i, j := range rankedNodes()[:3] {
				time.AfterFunc(time.Duration(i+1)*500*time.Millisecond, func() { c.leave(j, 4*time.Second) })
			}
			c.send(8 * time.Second)
			time.Sleep(5 * time.Second)
			qt.Check(t, c.excess(), qt.Equals, "", qt.Commentf("seed %d", seed))
		})
	}
}

// fault is a drawn fault: a partition of a data centre or of some nodes, a crash,
// or a planned stop.
type fault struct {
	kind         string
	nodes        []int
	at, duration time.Duration
}

// Guards against more grants than rate, burst and the stated excess allow in any
// window, whoever is stopped, cut off and back again, in whatever order.
func TestGrantsStayBounded(t *testing.T) {
	seconds := func(low, high int) *rapid.Generator[time.Duration] {
		return rapid.Map(rapid.IntRange(low*10, high*10), func(n int) time.Duration { return time.Duration(n) * 100 * time.Millisecond })
	}
	faults := rapid.SliceOfN(rapid.Custom(func(r *rapid.T) fault {
		f := fault{kind: rapid.SampledFrom([]string{"centre", "nodes", "stop", "leave"}).Draw(r, "kind"), at: seconds(0, 12).Draw(r, "at"), duration: seconds(1, 10).Draw(r, "duration")}
		j := rapid.SampledFrom(rankedNodes()[:4]).Draw(r, "node")
		switch f.kind {
		case "centre":
			f.nodes = centreOf(j)
		case "nodes":
			f.nodes = append([]int{j}, rapid.SliceOfNDistinct(rapid.IntRange(0, testNodes-1), 0, 3, rapid.ID).Draw(r, "others")...)
		case "stop", "leave":
			f.nodes = []int{j}
		}
		return f
	}), 1, 2)
	rapid.Check(t, func(r *rapid.T) {
		drawn, seed := faults.Draw(r, "faults"), rapid.Uint64().Draw(r, "seed")
		var violation string
		synctest.Test(t, func(*testing.T) {
			c := newSlowCluster(seed)
			time.Sleep(10 * time.Second)
			end := time.Duration(0)
			for _, f := range drawn {
				f.at += end // one partition at a time
				end = f.at + f.duration
				switch f.kind {
				case "stop":
					time.AfterFunc(f.at, func() { c.stop(f.nodes[0], f.duration) })
				case "leave":
					time.AfterFunc(f.at, func() { c.leave(f.nodes[0], f.duration) })
				default:
					time.AfterFunc(f.at, func() { c.cut(f.nodes, true) })
					time.AfterFunc(end, func() { c.cut(f.nodes, false) })
				}
			}
			c.send(end + 5*time.Second)
			time.Sleep(5 * time.Second)
			violation = c.excess()
		})
		if violation != "" {
			r.Fatal(violation)
		}
	})
}
