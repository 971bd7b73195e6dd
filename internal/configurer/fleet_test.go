package configurer

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/zinniaproxy/zinniaproxy/internal/authenticator"
	"github.com/zinniaproxy/zinniaproxy/internal/faker"
	"github.com/zinniaproxy/zinniaproxy/internal/messenger"
	"github.com/zinniaproxy/zinniaproxy/internal/prober"
	"github.com/zinniaproxy/zinniaproxy/internal/storer"
	"github.com/zinniaproxy/zinniaproxy/internal/tracer"
	"github.com/zinniaproxy/zinniaproxy/pkg/declarer"
)

// testNode is a node with heartbeats, configuration and key checks.
type testNode struct {
	name   string
	prober *prober.Prober
	conf   *Configurer
	auth   *authenticator.Authenticator
	tracer *tracer.Tracer
	stop   context.CancelFunc
}

// acceptsKey reports whether the node would accept a request with the key.
func (tn *testNode) acceptsKey(key string) bool {
	return tn.auth.MayAcceptKeys() && tn.conf.Index().WorkspaceByKey(key) != nil
}

// testFleet is a set of nodes on an in-memory network and store.
type testFleet struct {
	*testing.T
	ctx      context.Context
	network  *faker.Network
	store    *faker.Store
	lossRate float64

	mu         sync.Mutex
	random     *rand.Rand
	nodes      map[string]*testNode
	noStore    map[string]bool    // nodes that cannot reach the store
	cutLinks   map[[2]string]bool // from, to: cut directions; to "links" cuts queries only
	queryBytes int
}

// runFleetTest runs f on an empty fleet in virtual time.
func runFleetTest(t *testing.T, f func(f *testFleet, c *qt.C)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f(&testFleet{
			T: t, ctx: ctx, network: faker.NewNetwork(time.Millisecond), store: faker.NewStore(),
			random: rand.New(rand.NewPCG(5, 6)), nodes: map[string]*testNode{},
			noStore: map[string]bool{}, cutLinks: map[[2]string]bool{},
		}, qt.New(t))
		cancel()
		time.Sleep(time.Minute)
	})
}

// withLock runs change under the lock.
func (f *testFleet) withLock(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

// setStoreReachable sets whether the nodes can reach the store.
func (f *testFleet) setStoreReachable(reachable bool, names ...string) {
	f.withLock(func() {
		for _, n := range names {
			f.noStore[n] = !reachable
		}
	})
}

func (f *testFleet) dropsDatagram() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.random.Float64() < f.lossRate
}

// storeClient returns a client that fails while the node cannot reach the store.
func (f *testFleet) storeClient(name string) *storer.Store {
	s := f.store.Client()
	checkReachable := func() error {
		f.mu.Lock()
		defer f.mu.Unlock()
		if f.noStore[name] {
			return errors.New("store not reachable")
		}
		return nil
	}
	get, watch := s.Get, s.Watch
	s.Get = func(ctx context.Context, key string) (storer.Entry, error) {
		if err := checkReachable(); err != nil {
			return storer.Entry{}, err
		}
		return get(ctx, key)
	}
	s.Watch = func(ctx context.Context, key string, version uint64, wait time.Duration) (storer.Entry, error) {
		if err := checkReachable(); err != nil {
			return storer.Entry{}, err
		}
		return watch(ctx, key, version, wait)
	}
	return s
}

func (f *testFleet) start(name string) *testNode {
	node := &testNode{name: name, tracer: &tracer.Tracer{Node: name, Size: 100}}
	link := name + ":81"
	d, err := f.network.ListenDatagrams(link)
	qt.Assert(f, err, qt.IsNil)
	send := func(to string, b []byte) error {
		if f.dropsDatagram() {
			return nil
		}
		return d.Send(to, b)
	}
	node.conf = &Configurer{Store: f.storeClient(name), Peers: func() []string { return f.peers(node) }, Tracer: node.tracer, ExpectPeers: true}
	node.conf.SendQuery = func(ctx context.Context, node string, q *Query) (*Reply, error) {
		return f.query(ctx, name, node, q)
	}
	node.prober = &prober.Prober{
		Node:   messenger.Node{Name: name, Epoch: uint64(time.Now().UnixNano()), Link: link},
		Secret: []byte("a secret of the fleet"), Seeds: []string{"vm-000:81", "vm-001:81"},
		Socket: &prober.Socket{Send: send, Receive: d.Receive, Close: d.Close},
		Confirm: func(ctx context.Context) (prober.Numbers, error) {
			n, err := node.conf.Confirm(ctx)
			return prober.Numbers{n}, err
		},
		OnNumber: func(k prober.Kind, n uint64) { node.conf.NoteNumber(n) },
	}
	node.conf.AnnounceNumber = func(n uint64) { node.prober.RaiseNumber(prober.ConfigNumber, n) }
	node.conf.Watching = node.prober.IsWatcher
	node.auth = &authenticator.Authenticator{Index: node.conf.Index, NewestStamp: node.prober.NewestStamp}
	ctx, cancel := context.WithCancel(f.ctx)
	node.stop = cancel
	f.mu.Lock()
	f.nodes[name] = node
	f.mu.Unlock()
	for _, run := range []func(context.Context) error{node.prober.Run, node.conf.Run, node.auth.Run} {
		go func() { _ = run(ctx) }()
	}
	return node
}

func (f *testFleet) peers(node *testNode) []string {
	return slices.DeleteFunc(slices.Clone(node.prober.Alive()), func(n string) bool { return n == node.name })
}

// setBlocked cuts or restores one direction for heartbeats and links. "*" stands
// for all other nodes.
func (f *testFleet) setBlocked(from, to string, blocked bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for a := range f.nodes {
		for b := range f.nodes {
			if a == b || from != "*" && a != from || to != "*" && b != to {
				continue
			}
			f.cutLinks[[2]string{a, b}] = blocked
			if blocked {
				f.network.Block(a, b)
			} else {
				f.network.Unblock(a, b)
			}
		}
	}
}

// query sends a query over a link, which needs both directions.
func (f *testFleet) query(ctx context.Context, from, to string, q *Query) (*Reply, error) {
	time.Sleep(2 * time.Millisecond)
	f.mu.Lock()
	node := f.nodes[to]
	cut := f.cutLinks[[2]string{from, to}] || f.cutLinks[[2]string{to, from}] || f.cutLinks[[2]string{from, "links"}]
	f.mu.Unlock()
	if node == nil || cut {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	r, err := node.conf.Handle(ctx, from, q)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.queryBytes += len(messenger.Encode(q)) + len(messenger.Encode(r))
	return r, err
}

func (f *testFleet) kill(name string) {
	f.mu.Lock()
	node := f.nodes[name]
	delete(f.nodes, name)
	f.mu.Unlock()
	f.network.Kill(name)
	f.network.Revive(name)
	node.stop()
}

// startNodes starts n nodes and returns when the first configuration is in force.
func (f *testFleet) startNodes(n int) {
	f.apply(0, fleetOf("one"))
	for i := range n {
		f.start(fmt.Sprintf("vm-%03d", i))
	}
	f.waitFor(time.Minute, func() bool { return f.allCurrent(1) })
	time.Sleep(2 * time.Second)
}

// fleetOf returns a small declaration with a workspace for each key.
func fleetOf(keys ...string) declarer.Fleet {
	f := declarer.Fleet{}.WithCentre(declarer.Centre{Name: "jos-a", Region: "ng-central"}).
		WithService(declarer.Service{Name: "booking", Slots: 7, Cold: 2})
	for _, k := range keys {
		f = f.WithWorkspace(declarer.Workspace{Name: k, Rate: 1, Burst: 1}.WithKey("key", k))
	}
	return f
}

func (f *testFleet) apply(parent uint64, d declarer.Fleet) {
	f.Helper()
	n, err := Apply(f.ctx, f.store.Client(), parent, d, fmt.Sprintf("change on %d", parent))
	qt.Assert(f, err, qt.IsNil)
	qt.Assert(f, n, qt.Equals, parent+1)
}

// allCurrent reports whether all nodes have the number in force and may accept
// keys.
func (f *testFleet) allCurrent(number uint64) bool {
	for _, node := range f.nodes {
		if node.conf.Number() != number || !node.auth.MayAcceptKeys() {
			return false
		}
	}
	return true
}

func (f *testFleet) waitFor(timeout time.Duration, condition func() bool) time.Duration {
	f.Helper()
	begin := time.Now()
	for !condition() {
		if time.Since(begin) > timeout {
			f.Fatalf("condition not met within %v", timeout)
		}
		time.Sleep(10 * time.Millisecond)
	}
	return time.Since(begin)
}

// lastAccepted polls all nodes for duration and returns when, since its start,
// any of them last accepted the key.
func (f *testFleet) lastAccepted(key string, duration time.Duration) time.Duration {
	begin, last := time.Now(), time.Duration(0)
	for time.Since(begin) < duration {
		for _, node := range f.nodes {
			if node.acceptsKey(key) {
				last = time.Since(begin)
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	return last
}

// countRejections polls the included nodes for duration and returns how often one
// would have rejected the key.
func (f *testFleet) countRejections(key string, duration time.Duration, include func(name string) bool) int {
	n := 0
	for begin := time.Now(); time.Since(begin) < duration; time.Sleep(20 * time.Millisecond) {
		for _, node := range f.nodes {
			if include(node.name) && !node.acceptsKey(key) {
				n++
			}
		}
	}
	return n
}

func allNodes(string) bool { return true }

// leaveGracefully stops a node after it announced that it leaves.
func (f *testFleet) leaveGracefully(name string) {
	f.mu.Lock()
	node := f.nodes[name]
	delete(f.nodes, name)
	f.mu.Unlock()
	node.prober.Leave()
	time.Sleep(time.Second)
	node.stop()
	time.Sleep(100 * time.Millisecond)
}
