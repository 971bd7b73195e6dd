package configurer

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/zinniaproxy/zinniaproxy/internal/faker"
	"github.com/zinniaproxy/zinniaproxy/internal/storer"
	"github.com/zinniaproxy/zinniaproxy/pkg/coder"
	"github.com/zinniaproxy/zinniaproxy/pkg/declarer"
)

func TestRacedErrorNamesBothChanges(t *testing.T) {
	c := qt.New(t)
	s := faker.NewStore().Client()
	_, err := Apply(t.Context(), s, 0, fleetOf("one"), "ada's")
	c.Assert(err, qt.IsNil)
	_, err = Apply(t.Context(), s, 0, fleetOf("two"), "bo's")
	c.Check(coder.Of(err).Code, qt.Equals, coder.Raced)
	c.Check(err, qt.ErrorMatches, `.*"bo's" is on configuration 0, but 1 is in force, made by change "ada's"`)
	n, err := Apply(t.Context(), s, 0, fleetOf("one"), "ada's") // retry with the same identity
	c.Check(err, qt.IsNil)
	c.Check(n, qt.Equals, uint64(1))
}

func TestBadDeclarationChangesNothing(t *testing.T) {
	c := qt.New(t)
	s := faker.NewStore().Client()
	_, err := Apply(t.Context(), s, 0, declarer.Fleet{}.WithWorkspace(declarer.Workspace{Name: "x"}), "bad")
	c.Check(coder.Of(err).Code, qt.Equals, coder.BadDeclaration)
	h, err := StoredHead(t.Context(), s)
	c.Check(err, qt.IsNil)
	c.Check(h, qt.Equals, Head{})
}

func TestOldPartsAreRemoved(t *testing.T) {
	c := qt.New(t)
	s := faker.NewStore().Client()
	for i := range 3 * droppedPartRetention {
		_, err := Apply(t.Context(), s, uint64(i), fleetOf(fmt.Sprintf("key%d", i%7)), fmt.Sprint(i))
		c.Assert(err, qt.IsNil)
		_, _, err = Read(t.Context(), s)
		c.Assert(err, qt.IsNil)
	}
	es, err := s.List(t.Context(), partPrefix)
	c.Assert(err, qt.IsNil)
	c.Check(len(es) <= 2*droppedPartRetention+10, qt.IsTrue, qt.Commentf("%d parts", len(es)))
}

// model is a fleet of nodes without heartbeats: numbers reach them in any order,
// or never.
type model struct {
	store  *faker.Store
	mu     sync.Mutex // guards nodes, accepted and violation
	nodes  []*Configurer
	seen   []uint64 // the highest number in force on each node since its start
	cancel []context.CancelFunc
	// accepted maps the numbers of accepted changes to their identities.
	accepted  map[uint64]string
	down      bool
	violation string
}

// flakyClient returns a client whose writes go through faults in a cycle: 1 loses
// the request, 2 the reply, other values delay the write by as many milliseconds.
func (m *model) flakyClient(faults []int) *storer.Store {
	s := m.store.Client()
	swap, i := s.Swap, 0
	s.Swap = func(ctx context.Context, key string, value []byte, version uint64, lease string) (uint64, error) {
		fault := faults[i%len(faults)]
		i++
		switch fault {
		case 1:
			return 0, errors.New("request lost")
		case 2:
			_, _ = swap(ctx, key, value, version, lease)
			return 0, errors.New("reply lost")
		}
		time.Sleep(time.Duration(fault) * time.Millisecond)
		return swap(ctx, key, value, version, lease)
	}
	return s
}

// applyChange reads the declaration, adds a workspace and applies it. With stale
// it names the parent before the current one.
func (m *model) applyChange(id string, stale bool, faults []int) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	f, parent, err := Read(ctx, m.store.Client())
	if err != nil {
		return
	}
	if stale && parent > 0 {
		parent--
	}
	f = f.WithWorkspace(declarer.Workspace{Name: id, Rate: 1, Burst: 1}.WithKey("key", id))
	n, err := Apply(ctx, m.flakyClient(faults), parent, f, id)
	if err != nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if other, ok := m.accepted[n]; ok && other != id {
		m.violation = fmt.Sprintf("%s and %s both have number %d", other, id, n)
	}
	m.accepted[n] = id
}

func (m *model) startNode(i int) {
	c := &Configurer{Store: m.store.Client(), Peers: func() []string { return m.others(i) }, ExpectPeers: true}
	c.SendQuery = func(ctx context.Context, node string, q *Query) (*Reply, error) {
		time.Sleep(time.Millisecond)
		var j int
		_, _ = fmt.Sscan(node, &j)
		m.mu.Lock()
		c := m.nodes[j]
		m.mu.Unlock()
		return c.Handle(ctx, "", q)
	}
	ctx, cancel := context.WithCancel(context.Background())
	c.mu.Lock()
	c.init()
	c.mu.Unlock()
	m.mu.Lock()
	m.nodes[i], m.seen[i], m.cancel[i] = c, 0, cancel
	m.mu.Unlock()
	go func() { _ = c.Run(ctx) }()
}

func (m *model) others(i int) []string {
	var out []string
	for j := range m.nodes {
		if j != i {
			out = append(out, fmt.Sprint(j))
		}
	}
	return out
}

// checkMonotonic describes a number that decreased on a node, or a number that
// two changes got. It is empty when there is none.
func (m *model) checkMonotonic() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	for i, c := range m.nodes {
		n := c.Number()
		if n < m.seen[i] {
			return fmt.Sprintf("number in force on node %d decreased from %d to %d", i, m.seen[i], n)
		}
		m.seen[i] = n
	}
	return m.violation
}

// step is a random action.
type step struct {
	kind, node int
	stale      bool
	faults     []int
	wait       time.Duration
}

func drawSteps(r *rapid.T) []step {
	return rapid.SliceOfN(rapid.Custom(func(r *rapid.T) step {
		return step{
			kind: rapid.IntRange(0, 6).Draw(r, "kind"), node: rapid.IntRange(0, 2).Draw(r, "node"),
			stale:  rapid.IntRange(0, 5).Draw(r, "stale") == 0,
			faults: rapid.SliceOfN(rapid.IntRange(0, 5), 1, 6).Draw(r, "faults"),
			wait:   time.Duration(rapid.IntRange(0, 1500).Draw(r, "wait")) * time.Millisecond,
		}
	}), 1, 25).Draw(r, "steps")
}

func (m *model) runStep(i int, s step) {
	switch s.kind {
	case 0, 1, 2: // concurrent changes
		go m.applyChange(fmt.Sprintf("change%d", i), s.stale, s.faults)
	case 3:
		_, _ = m.nodes[s.node].Confirm(context.Background())
	case 4: // a number may arrive before its configuration
		m.nodes[s.node].NoteNumber(m.nodes[(s.node+1)%3].Number())
	case 5:
		m.down = !m.down
		m.store.SetFaults(faker.StoreFaults{Down: m.down})
	case 6:
		m.cancel[s.node]()
		m.startNode(s.node)
	}
	time.Sleep(s.wait)
}

// TestNumbersNeverRevertAndAcceptedChangesAreNeverLost applies concurrent changes
// with lost requests and replies, store outages and node restarts.
func TestNumbersNeverRevertAndAcceptedChangesAreNeverLost(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		steps := drawSteps(r)
		var violation string
		synctest.Test(t, func(*testing.T) { violation = runModel(steps) })
		if violation != "" {
			r.Fatal(violation)
		}
	})
}

func runModel(steps []step) string {
	m := &model{
		store: faker.NewStore(), accepted: map[uint64]string{},
		nodes: make([]*Configurer, 3), seen: make([]uint64, 3), cancel: make([]context.CancelFunc, 3),
	}
	for i := range 3 {
		m.startNode(i)
	}
	var violations strings.Builder
	for i, s := range steps {
		m.runStep(i, s)
		violations.WriteString(m.checkMonotonic())
	}
	m.store.SetFaults(faker.StoreFaults{})
	time.Sleep(5 * time.Second) // until pending changes end
	for _, c := range m.nodes {
		_, _ = c.Confirm(context.Background())
	}
	time.Sleep(20 * time.Second)
	violations.WriteString(m.checkMonotonic() + m.checkFinal())
	for _, cancel := range m.cancel {
		cancel()
	}
	time.Sleep(time.Minute)
	return violations.String()
}

// checkFinal describes a node that has not converged with the store, or an
// accepted change that was lost.
func (m *model) checkFinal() string {
	f, n, err := Read(context.Background(), m.store.Client())
	if err != nil {
		return err.Error()
	}
	for i, c := range m.nodes {
		if c.Number() != n {
			return fmt.Sprintf("node %d has configuration %d, the store has %d", i, c.Number(), n)
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for number, id := range m.accepted {
		found := false
		for _, w := range f.Workspaces {
			found = found || w.Name == id
		}
		if !found || number > n {
			return fmt.Sprintf("accepted change %s, number %d, is lost", id, number)
		}
	}
	return ""
}

func TestApplySucceedsWhenAllRepliesAreLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		fake := faker.NewStore()
		fake.SetFaults(faker.StoreFaults{LoseReplies: true})
		n, err := Apply(t.Context(), fake.Client(), 0, fleetOf("one"), "first")
		c.Check(err, qt.IsNil)
		c.Check(n, qt.Equals, uint64(1))
	})
}
