package prober

import (
	"flag"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var (
	measure = flag.Bool("measure", false, "measure at 10, 30 and 100 nodes")
	large   = flag.Bool("large", false, "measure at the planned size of 680 nodes")
)

func fleetSizes() []int {
	if *large {
		return []int{680}
	}
	if *measure {
		return []int{10, 30, 100}
	}
	return []int{10}
}

func sumCounts(nodes []*testNode) (c Counts) {
	for _, node := range nodes {
		n := node.Counts()
		c.Sent += n.Sent
		c.SentBytes += n.SentBytes
		c.CrossingBytes += n.CrossingBytes
		c.Suspicions += n.Suspicions
	}
	return c
}

// TestMeasureIdleTraffic logs the traffic and store calls of a fleet in which
// nothing changes, with the store up and down.
func TestMeasureIdleTraffic(t *testing.T) {
	for _, n := range fleetSizes() {
		for _, down := range []bool{false, true} {
			inVirtualTime(t, func(t *testing.T, _ *qt.C, nw *fakeNetwork) {
				store := &fakeStore{}
				nodes := startFleet(t, nw, n, func(p *Prober) { p.Confirm = store.confirm })
				time.Sleep(time.Minute)
				store.down.Store(down)
				time.Sleep(10 * time.Second)
				store.calls.Store(0)
				before := sumCounts(nodes)
				time.Sleep(time.Minute)
				after := sumCounts(nodes)
				nodeSeconds := 60 * float64(n)
				t.Logf("%d nodes, store down %v: a node sends %.0f B/s in %.1f datagrams/s; store calls %.2f/s",
					n, down, float64(after.SentBytes-before.SentBytes)/nodeSeconds, float64(after.Sent-before.Sent)/nodeSeconds, float64(store.calls.Load())/60)
			})
		}
	}
}

// TestMeasureDetection logs the median and worst time until all nodes know that a
// killed one is dead, and checks that the worst is below 10 s.
func TestMeasureDetection(t *testing.T) {
	kills := 3
	if *measure {
		kills = 15
	}
	for _, n := range fleetSizes() {
		inVirtualTime(t, func(t *testing.T, c *qt.C, nw *fakeNetwork) {
			nodes := startFleet(t, nw, n, nil)
			var took []time.Duration
			for range kills {
				i := 2 + rand.IntN(n-2)
				nodes[i].kill()
				others := slices.Delete(slices.Clone(nodes), i, i+1)
				took = append(took, waitUntil(t, 20*time.Second, func() bool { return allSeeAlive(others, n-1) }))
				nodes[i] = startNode(t, nw, i, nil)
				waitUntil(t, 20*time.Second, func() bool { return allSeeAlive(nodes, n) })
			}
			slices.Sort(took)
			c.Check(took[len(took)-1] < 10*time.Second, qt.IsTrue)
			t.Logf("%d nodes: dead everywhere after %v median, %v worst of %d", n, took[len(took)/2], took[len(took)-1], len(took))
		})
	}
}

// TestMeasureSuspicions logs the false suspicions under datagram loss.
func TestMeasureSuspicions(t *testing.T) {
	period := time.Minute
	if *measure {
		period = 10 * time.Minute
	}
	for _, n := range fleetSizes() {
		for _, loss := range []float64{0.01, 0.1} {
			inVirtualTime(t, func(t *testing.T, _ *qt.C, nw *fakeNetwork) {
				nw.loss = loss
				nodes := startFleet(t, nw, n, nil)
				before := sumCounts(nodes)
				time.Sleep(period)
				dead := 0
				for _, node := range nodes {
					for _, m := range node.Members() {
						if m.State == Dead {
							dead++
						}
					}
				}
				t.Logf("%d nodes, loss %v: %d suspicions and %d members marked dead in %v (%d pings)",
					n, loss, sumCounts(nodes).Suspicions-before.Suspicions, dead, period, int(period.Seconds())*n)
			})
		}
	}
}
