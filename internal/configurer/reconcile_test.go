package configurer

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/zinniaproxy/zinniaproxy/pkg/declarer"
)

// sourceModel is a source and nodes that read it or follow each other one step at
// a time, without a network.
type sourceModel struct {
	nodes   []*Configurer
	readers []*sourceReader
	era     uint64
	// revision counts the changes of the era, orders are those in the source, and
	// wanted those of the operators.
	revision       uint64
	orders, wanted []bool
	// history holds the orders at each revision of the era.
	history map[uint64]string
	copied  struct {
		revision uint64
		orders   []bool
	}
	failure string
}

func newSourceModel(nodes, centres int) *sourceModel {
	m := &sourceModel{era: 1, revision: 1, orders: make([]bool, centres), wanted: make([]bool, centres), history: map[uint64]string{}}
	m.nodes, m.readers = make([]*Configurer, nodes), make([]*sourceReader, nodes)
	for i := range m.nodes {
		m.start(i)
	}
	m.note()
	m.copy()
	return m
}

func (m *sourceModel) start(i int) {
	c := &Configurer{
		DeclarationSource: func(context.Context) (*Observation, error) { return nil, nil },
		Peers:             func() []string { return nil },
		SendQuery: func(ctx context.Context, node string, q *Query) (*Reply, error) {
			for j := range m.nodes {
				if node == fmt.Sprint(j) {
					return m.nodes[j].Handle(ctx, "", q)
				}
			}
			return nil, context.DeadlineExceeded
		},
	}
	c.init()
	m.nodes[i], m.readers[i] = c, &sourceReader{c: c}
}

func (m *sourceModel) note() { m.history[m.revision] = fmt.Sprint(m.orders) }

func (m *sourceModel) copy() {
	m.copied.revision, m.copied.orders = m.revision, slices.Clone(m.orders)
}

// order gives or takes back one order.
func (m *sourceModel) order(i int) {
	m.revision++
	m.wanted[i] = !m.wanted[i]
	m.orders[i] = m.wanted[i]
	m.note()
}

// restore brings the source back from its copy.
func (m *sourceModel) restore() {
	m.era, m.revision, m.orders = m.era+1, m.copied.revision, slices.Clone(m.copied.orders)
	m.history = map[uint64]string{}
	m.note()
}

// rewrite makes the operators write again what the restoration has lost.
func (m *sourceModel) rewrite() {
	m.revision++
	m.orders = slices.Clone(m.wanted)
	m.note()
}

func (m *sourceModel) read(i int) {
	o := &Observation{Version: 1, Era: m.era, Revision: m.revision, DeclaredAt: 0}
	for j, out := range m.orders {
		o.Fleet = o.Fleet.WithCentre(declarer.Centre{Name: fmt.Sprintf("c-%d", j), Region: "r", Out: out})
	}
	if err := m.readers[i].install(o); err != nil {
		m.failure = err.Error()
	}
}

// follow lets node i learn of what is in force on node j and catch up once.
func (m *sourceModel) follow(i, j int) {
	from, c := m.nodes[j], m.nodes[i]
	if i == j || from.Number() == 0 {
		return
	}
	c.NoteOverflow(from.Number(), from.overflow)
	c.Peers = func() []string { return []string{fmt.Sprint(j)} }
	if c.behind() {
		c.catchUp(context.Background(), time.Now())
	}
}

func (m *sourceModel) inForce(i int) string {
	if m.nodes[i].Index() == nil {
		return ""
	}
	var out []bool
	for _, c := range m.nodes[i].Index().Fleet().Centres {
		out = append(out, c.Out)
	}
	return fmt.Sprint(out)
}

// settle lets all nodes read the source once it has settled.
func (m *sourceModel) settle() {
	for range 2 {
		for i := range m.nodes {
			m.read(i)
		}
		time.Sleep(settleTime)
	}
}

// sourceStep is one step of a model: what happens, and the nodes, data centre and
// time that it concerns.
type sourceStep struct {
	kind                        string
	node, peer, centre, seconds int
}

func drawSourceSteps(r *rapid.T, kinds ...string) []sourceStep {
	return rapid.SliceOfN(rapid.Custom(func(r *rapid.T) sourceStep {
		return sourceStep{
			kind: rapid.SampledFrom(kinds).Draw(r, "kind"), node: rapid.IntRange(0, 3).Draw(r, "node"), peer: rapid.IntRange(0, 3).Draw(r, "peer"),
			centre: rapid.IntRange(0, 1).Draw(r, "centre"), seconds: rapid.IntRange(1, 6).Draw(r, "seconds"),
		}
	}), 10, 60).Draw(r, "steps")
}

func (m *sourceModel) runStep(s sourceStep) {
	switch s.kind {
	case "order":
		m.order(s.centre)
	case "read":
		m.read(s.node)
	case "follow":
		m.follow(s.node, s.peer)
	case "restart":
		m.start(s.node)
	case "rewrite":
		m.rewrite()
	case "wait":
		time.Sleep(time.Duration(s.seconds) * time.Second)
	}
}

// converge lets all nodes follow each other, and returns the revision that the
// latest reading is of.
func (m *sourceModel) converge() (latest uint64) {
	for range 2 * len(m.nodes) {
		for i := range m.nodes {
			for j := range m.nodes {
				m.follow(i, j)
			}
		}
	}
	for _, c := range m.nodes {
		latest = max(latest, c.revisionInForce())
	}
	return latest
}

// revisionInForce returns the revision at which the source was last known to hold
// what is in force.
func (c *Configurer) revisionInForce() uint64 { return c.validAt.decode().revision }

// checkModel runs a model on drawn steps in virtual time.
func checkModel(t *testing.T, run func(m *sourceModel, steps []sourceStep) string, kinds ...string) {
	rapid.Check(t, func(r *rapid.T) {
		steps := drawSourceSteps(r, kinds...)
		var violation string
		synctest.Test(t, func(*testing.T) { violation = run(newSourceModel(4, 2), steps) })
		if violation != "" {
			r.Fatal(violation)
		}
	})
}

// Guards against an order that comes back although it was taken back: the reader
// that saw neither changes nothing, and a node that was cut off in between has a
// later number than that reader has in force.
func TestOrderThatWasTakenBackStaysSo(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newSourceModel(2, 1)
		m.settle()
		m.order(0)
		m.read(0)
		m.order(0)
		m.read(1)
		m.follow(1, 0)
		qt.Check(t, m.inForce(1), qt.Equals, "[false]")
		m.follow(0, 1)
		qt.Check(t, m.inForce(0), qt.Equals, "[false]")
		qt.Check(t, m.failure, qt.Equals, "")
	})
}

// Guards against nodes that go back within an era: whoever reads, follows, starts
// and is cut off in whichever order, a node only has in force what the source held
// at its latest reading, and all agree on the latest once they hear of each other.
func TestNodesNeverGoBackWithinAnEra(t *testing.T) {
	checkModel(t, func(m *sourceModel, steps []sourceStep) string {
		m.settle()
		for _, s := range steps {
			before, nodes := make([]uint64, len(m.nodes)), slices.Clone(m.nodes)
			for i, c := range m.nodes {
				before[i] = c.revisionInForce()
			}
			m.runStep(s)
			for i, c := range m.nodes {
				revision := c.revisionInForce()
				if c == nodes[i] && revision < before[i] {
					return fmt.Sprintf("node %d went back from revision %d to %d", i, before[i], revision)
				}
				if c.Index() != nil && m.inForce(i) != m.history[revision] {
					return fmt.Sprintf("node %d has %s in force, the source had %s at revision %d", i, m.inForce(i), m.history[revision], revision)
				}
			}
		}
		latest := m.converge()
		for i, c := range m.nodes {
			if latest > 0 && m.inForce(i) != m.history[latest] {
				return fmt.Sprintf("node %d has %s (%v) in force, the latest reading at revision %d is %s", i, m.inForce(i), c.position(), latest, m.history[latest])
			}
		}
		return m.failure
	}, "order", "read", "read", "follow", "follow", "follow", "restart", "restart", "wait")
}

// Guards against an order that a restoration of the source ends while the operators
// still want it, and against one that nodes keep for good after it was taken back.
func TestNodesKeepOrdersThroughARestoration(t *testing.T) {
	checkModel(t, func(m *sourceModel, steps []sourceStep) string {
		half := len(steps) / 2
		for i, s := range steps[:half] {
			if m.order(s.centre); i == half/2 {
				m.copy()
			}
		}
		m.settle()
		before := slices.Clone(m.nodes)
		m.restore()
		for _, s := range steps[half:] {
			m.runStep(s)
			for i, c := range m.nodes {
				if c != before[i] {
					continue // it knows nothing of before the restoration
				}
				for j, centre := range c.Index().Fleet().Centres {
					if m.wanted[j] && !centre.Out {
						return fmt.Sprintf("node %d has lost the order for data centre %d", i, j)
					}
				}
			}
		}
		m.rewrite()
		m.settle()
		m.rewrite()
		m.read(0)
		m.converge()
		for i, c := range m.nodes {
			if got := m.inForce(i); got != fmt.Sprint(m.wanted) {
				return fmt.Sprintf("node %d has %s (%v) in force, want %v", i, got, c.position(), m.wanted)
			}
		}
		return m.failure
	}, "read", "follow", "follow", "restart", "rewrite")
}
