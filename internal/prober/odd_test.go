package prober

import (
	"bytes"
	"context"
	"fmt"
	"math"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"

	"github.com/zinniaproxy/zinniaproxy/internal/faker"
	"github.com/zinniaproxy/zinniaproxy/internal/messenger"
)

// oddRecords returns values that another writer may leave among the records of
// nodes, by key.
func oddRecords() map[string][]byte {
	node := func(change func(n *messenger.Node)) []byte {
		n := messenger.Node{Name: "odd", Epoch: 1, Link: "10.0.9.9:70", HTTP: "10.0.9.9:80", Centre: "jos-a", Region: "ng-central", Started: time.Now()}
		change(&n)
		return messenger.Encode(&n)
	}
	return map[string][]byte{
		"node/text":   []byte("{}"),
		"node/empty":  {},
		"node/nested": bytes.Repeat([]byte{0x91}, 1<<20),
		"node/port":   node(func(n *messenger.Node) { n.Name, n.Link = "port", "10.0.9.9:99999" }),
		"node/long":   node(func(n *messenger.Node) { n.Name = strings.Repeat("n", 5000) }),
		"node/centre": node(func(n *messenger.Node) { n.Name, n.Centre = "centre", strings.Repeat("c", 5000) }),
		"node/other":  node(func(n *messenger.Node) { n.Name, n.Epoch = nameOf(1), math.MaxUint64 }),
		"node/nobody": node(func(n *messenger.Node) { n.Name = "" }),
	}
}

// Guards against one odd entry among the records of nodes that ends the processes
// which read the list, or keeps them from finding each other: deeply nested, with a
// number that is too large, a port out of range, or the name of another node.
func TestOddRecordsAreIgnored(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, c *qt.C, nw *fakeNetwork) {
		store := faker.NewStore()
		for key, value := range oddRecords() {
			_, err := store.Client().Swap(t.Context(), key, value, 0, "")
			c.Assert(err, qt.IsNil)
		}
		ctx, cancel := context.WithCancel(t.Context())
		var mu sync.Mutex
		badAddresses := map[string]bool{}
		start := func(i int) *testNode {
			var p *Prober
			node := startNode(t, nw, i, func(configured *Prober) {
				p = configured
				p.Seeds = nil
				send := p.Socket.Send
				p.Socket.Send = func(to string, b []byte) error {
					if _, err := netip.ParseAddrPort(to); err != nil || len(b) > maxPacketBytes {
						mu.Lock()
						badAddresses[fmt.Sprintf("%.20s, %d bytes", to, len(b))] = true
						mu.Unlock()
					}
					return send(to, b)
				}
			})
			r := &MemberRecorder{Store: store.Client(), Prober: p, Log: logr.Discard(), StoreOnlyDiscovery: true}
			go func() { _ = r.Run(ctx) }()
			return node
		}
		var nodes []*testNode
		for i := range 6 {
			nodes = append(nodes, start(i))
		}
		time.Sleep(20 * time.Second)
		nodes = append(nodes, start(6))
		time.Sleep(20 * time.Second)
		for _, n := range nodes {
			c.Check(n.Alive(), qt.HasLen, len(nodes), qt.Commentf(n.Node.Name))
			c.Check(n.Replaced(), qt.IsFalse, qt.Commentf(n.Node.Name))
		}
		mu.Lock()
		defer mu.Unlock()
		c.Check(badAddresses, qt.HasLen, 0)
		cancel()
	})
}

// A host name must not be looked up, which would stop all heartbeats meanwhile.
func TestSocketSendsToIPsOnly(t *testing.T) {
	s, err := Listen("127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, s.Send("odd.example:70", []byte("x")), qt.ErrorMatches, ".*unable to parse IP.*|.*ParseAddr.*")
	qt.Check(t, s.Send("127.0.0.1:9", []byte("x")), qt.IsNil)
	qt.Check(t, s.Close(), qt.IsNil)
}
