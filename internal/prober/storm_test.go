package prober

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/zinniaproxy/zinniaproxy/internal/messenger"
)

// centreCount is the number of data centres that the fleets of the storm tests
// are spread over.
const centreCount = 5

// startStorming starts node i of a fleet without seeds, which nodes find by the
// records of the store only.
func startStorming(t *testing.T, nw *fakeNetwork, i int) *testNode {
	return startNode(t, nw, i, func(p *Prober) {
		p.Seeds, p.DisableStamps = nil, true
		p.Node.Centre, p.Node.Started = fmt.Sprintf("jos-%c", 'a'+i%centreCount), time.Now()
	})
}

// startAtOnce starts n nodes at once, which then read the records.
func startAtOnce(t *testing.T, nw *fakeNetwork, n int) (nodes []*testNode) {
	for i := range n {
		nodes = append(nodes, startStorming(t, nw, i))
	}
	time.Sleep(200 * time.Millisecond)
	for _, node := range nodes {
		node.SetRecorded(recordsOf(nodes))
	}
	return nodes
}

// lateRecords is at most how many nodes write their record after the others read
// the records.
const lateRecords = 15

// recordsOf returns the records of nodes, without those that come late.
func recordsOf(nodes []*testNode) []messenger.Node {
	var out []messenger.Node
	for i, node := range nodes {
		if late := i%max(len(nodes)/lateRecords, 5) == 0; !late {
			out = append(out, node.Node)
		}
	}
	return out
}

// TestStartStorm starts a fleet at once. Each node reads the records shortly
// after. The bytes between data centres must stay within a quarter of the budget
// of 9 KB a second and node at any size. With -large it also starts 1,231 nodes.
func TestStartStorm(t *testing.T) {
	sizes := []int{75, 355}
	if *large {
		sizes = append(sizes, 1231)
	}
	for _, n := range sizes {
		inVirtualTime(t, func(t *testing.T, c *qt.C, nw *fakeNetwork) {
			nodes := startAtOnce(t, nw, n)
			checkStorm(t, c, nodes, n, 4)
		})
	}
}

// TestRestartHerd kills three in five nodes of each data centre and starts them
// again a second later. The bytes between data centres must stay within half of the
// budget.
func TestRestartHerd(t *testing.T) {
	const n = 355
	restarts := func(i int) bool { return i/centreCount%5 < 3 }
	inVirtualTime(t, func(t *testing.T, c *qt.C, nw *fakeNetwork) {
		nodes := startAtOnce(t, nw, n)
		waitUntil(t, 30*time.Second, func() bool { return allSeeAlive(nodes, n) })
		time.Sleep(20 * time.Second)
		for i := range nodes {
			if restarts(i) {
				nodes[i].kill()
			}
		}
		time.Sleep(time.Second)
		for i := range nodes {
			if restarts(i) {
				nodes[i] = startStorming(t, nw, i)
			}
		}
		time.Sleep(200 * time.Millisecond)
		for i := range nodes {
			if restarts(i) {
				nodes[i].SetRecorded(recordsOf(nodes))
			}
		}
		checkStorm(t, c, nodes, n, 2)
	})
}

// checkStorm checks that most nodes soon know each other, and all when traffic
// begins, and that the bytes between data centres stay within the budget over
// budgetDivisor until then.
func checkStorm(t *testing.T, c *qt.C, nodes []*testNode, n int, budgetDivisor uint64) {
	const (
		period         = 10 * time.Second // from the start of the VMs to traffic
		maxBytesPerSec = 9_000            // of all control traffic of a node
	)
	before, start := sumCounts(nodes), time.Now()
	mostKnown := waitUntil(t, period, func() bool { return allSeeMost(nodes, n) })
	waitUntil(t, period, func() bool { return allSeeAlive(nodes, n) })
	took := time.Since(start)
	time.Sleep(period - took)
	sum := sumCounts(nodes)
	crossing, sent := (sum.CrossingBytes-before.CrossingBytes)/uint64(n), (sum.SentBytes-before.SentBytes)/uint64(n)
	t.Logf("%d nodes know nine in ten of each other after %v and all after %v; in %v a node sent %d B, %d B of them to other data centres", n, mostKnown, took, period, sent, crossing)
	c.Check(mostKnown <= 1500*time.Millisecond, qt.IsTrue, qt.Commentf("%v", mostKnown))
	c.Check(crossing <= maxBytesPerSec*uint64(period/time.Second)/budgetDivisor, qt.IsTrue, qt.Commentf("%d B", crossing))
}

// allSeeMost reports whether each node sees nine in ten of n nodes.
func allSeeMost(nodes []*testNode, n int) bool {
	for _, node := range nodes {
		if 10*len(node.Alive()) < 9*n {
			return false
		}
	}
	return true
}

// TestSourceReaders checks how many nodes read the operators' changes for the
// others: about the same number at any size, some in each data centre, and a node
// that reaches no other.
func TestSourceReaders(t *testing.T) {
	for _, n := range []int{27, 120, 355} {
		inVirtualTime(t, func(t *testing.T, c *qt.C, nw *fakeNetwork) {
			nodes := startAtOnce(t, nw, n)
			waitUntil(t, 10*time.Second, func() bool { return allSeeAlive(nodes, n) })
			byCentre := map[string]int{}
			for _, node := range nodes {
				if node.IsSourceReader() {
					byCentre[node.Node.Centre]++
				}
			}
			readers := 0
			for _, count := range byCentre {
				readers += count
			}
			c.Check(byCentre, qt.HasLen, centreCount)
			c.Check(readers >= min(n, sourceReaders) && readers < sourceReaders+centreCount, qt.IsTrue, qt.Commentf("%d nodes: %d readers", n, readers))
			last := nodes[n-1]
			nw.block("*", last.Node.Link, true)
			time.Sleep(2 * isolatedAfter)
			c.Check(last.IsSourceReader(), qt.IsTrue)
		})
	}
}
