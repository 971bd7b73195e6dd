package prober

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/zinniaproxy/zinniaproxy/internal/messenger"
)

// fakeNetwork is an in-memory datagram network that can lose, delay and block
// datagrams.
type fakeNetwork struct {
	mu         sync.Mutex
	sockets    map[string]*fakeSocket
	loss       float64
	delay      time.Duration
	extraDelay map[string]time.Duration // by destination
	blocked    map[[2]string]bool       // by sender and destination, either of which may be "*"
	random     *rand.Rand
	// onDeliver, if set, is called for every datagram that is delivered.
	onDeliver func(from, to string, data []byte)
}

// fakeSocket is one node's socket on a fakeNetwork.
type fakeSocket struct {
	network   *fakeNetwork
	address   string
	in        chan []byte
	resumed   chan struct{} // not nil while the process is paused; under network.mu
	closeOnce sync.Once
	done      chan struct{}
}

func newFakeNetwork() *fakeNetwork {
	return &fakeNetwork{
		sockets: map[string]*fakeSocket{}, extraDelay: map[string]time.Duration{}, blocked: map[[2]string]bool{}, delay: time.Millisecond,
		random: rand.New(rand.NewPCG(1, 2)),
	}
}

func (nw *fakeNetwork) listen(address string) *fakeSocket {
	s := &fakeSocket{network: nw, address: address, in: make(chan []byte, 4096), done: make(chan struct{})}
	nw.mu.Lock()
	defer nw.mu.Unlock()
	nw.sockets[address] = s
	return s
}

func (nw *fakeNetwork) block(from, to string, blocked bool) {
	nw.mu.Lock()
	defer nw.mu.Unlock()
	nw.blocked[[2]string{from, to}] = blocked
}

func (s *fakeSocket) waitWhilePaused() {
	s.network.mu.Lock()
	resumed := s.resumed
	s.network.mu.Unlock()
	if resumed != nil {
		<-resumed
	}
}

// pause makes send and receive block until the returned function is called.
func (s *fakeSocket) pause() (resume func()) {
	resumed := make(chan struct{})
	s.network.mu.Lock()
	s.resumed = resumed
	s.network.mu.Unlock()
	return func() {
		s.network.mu.Lock()
		s.resumed = nil
		s.network.mu.Unlock()
		close(resumed)
	}
}

func (s *fakeSocket) receive(b []byte) (int, error) {
	select {
	case d := <-s.in:
		s.waitWhilePaused()
		return copy(b, d), nil
	case <-s.done:
		return 0, net.ErrClosed
	}
}

func (s *fakeSocket) send(to string, b []byte) error {
	s.waitWhilePaused()
	nw, from := s.network, s.address
	nw.mu.Lock()
	defer nw.mu.Unlock()
	if nw.blocked[[2]string{from, to}] || nw.blocked[[2]string{from, "*"}] || nw.blocked[[2]string{"*", to}] {
		return nil
	}
	receiver := nw.sockets[to]
	if receiver == nil || nw.random.Float64() < nw.loss {
		return nil
	}
	if nw.onDeliver != nil {
		nw.onDeliver(from, to, b)
	}
	data := append([]byte(nil), b...)
	time.AfterFunc(nw.delay+nw.extraDelay[to], func() {
		select {
		case receiver.in <- data:
		case <-receiver.done:
		}
	})
	return nil
}

func (s *fakeSocket) shutDown() error {
	s.closeOnce.Do(func() { close(s.done) })
	return nil
}

const secret = "a secret of the whole fleet"

func addressOf(i int) string { return fmt.Sprintf("10.0.%d.%d:70", i/250, i%250+1) }
func nameOf(i int) string    { return fmt.Sprintf("vm-%03d", i) }

// testNode is a running Prober with its fake socket.
type testNode struct {
	*Prober
	socket *fakeSocket
	stop   context.CancelFunc
	done   chan struct{}
}

// kill ends a node without letting it tell the others that it left.
func (tn *testNode) kill() {
	tn.socket.network.block(tn.Node.Link, "*", true)
	tn.stop()
	<-tn.done
	tn.socket.network.block(tn.Node.Link, "*", false)
}

// startNode runs node i, with the first two nodes as its seeds.
func startNode(t *testing.T, nw *fakeNetwork, i int, configure func(*Prober)) *testNode {
	s := nw.listen(addressOf(i))
	p := &Prober{
		Node:   messenger.Node{Name: nameOf(i), Epoch: uint64(time.Now().UnixNano()), Link: addressOf(i), HTTP: addressOf(i), Centre: "jos-a", Region: "ng-central"},
		Secret: []byte(secret), Socket: &Socket{Send: s.send, Receive: s.receive, Close: s.shutDown}, Seeds: []string{addressOf(0), addressOf(1)},
	}
	if configure != nil {
		configure(p)
	}
	ctx, cancel := context.WithCancel(t.Context())
	node := &testNode{Prober: p, socket: s, stop: cancel, done: make(chan struct{})}
	go func() {
		_ = p.Run(ctx)
		close(node.done)
	}()
	return node
}

// startFleet runs n nodes until the test ends and waits until each sees all as
// alive.
func startFleet(t *testing.T, nw *fakeNetwork, n int, configure func(*Prober)) []*testNode {
	var nodes []*testNode
	for i := range n {
		nodes = append(nodes, startNode(t, nw, i, configure))
	}
	took := waitUntil(t, time.Minute, func() bool { return allSeeAlive(nodes, n) })
	t.Logf("%d nodes joined in %v", n, took)
	return nodes
}

func allSeeAlive(nodes []*testNode, n int) bool {
	for _, node := range nodes {
		if len(node.Alive()) != n {
			return false
		}
	}
	return true
}

// waitUntil waits until condition holds and returns how long that took.
func waitUntil(t *testing.T, timeout time.Duration, condition func() bool) time.Duration {
	t.Helper()
	start := time.Now()
	for !condition() {
		if time.Since(start) > timeout {
			t.Fatalf("condition not met within %v", timeout)
		}
		time.Sleep(20 * time.Millisecond)
	}
	return time.Since(start)
}

// inVirtualTime runs f with a new network in a synctest bubble.
func inVirtualTime(t *testing.T, f func(t *testing.T, c *qt.C, nw *fakeNetwork)) {
	synctest.Test(t, func(t *testing.T) { f(t, qt.New(t), newFakeNetwork()) })
}
