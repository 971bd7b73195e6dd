package requester

import (
	"context"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/zinniaproxy/zinniaproxy/internal/deduper"
	"github.com/zinniaproxy/zinniaproxy/internal/dispatcher"
	"github.com/zinniaproxy/zinniaproxy/internal/faker"
	"github.com/zinniaproxy/zinniaproxy/internal/forwarder"
	"github.com/zinniaproxy/zinniaproxy/internal/linker"
	"github.com/zinniaproxy/zinniaproxy/internal/messenger"
	"github.com/zinniaproxy/zinniaproxy/internal/receiver"
	"github.com/zinniaproxy/zinniaproxy/internal/retrier"
	"github.com/zinniaproxy/zinniaproxy/pkg/coder"
	"github.com/zinniaproxy/zinniaproxy/pkg/declarer"
)

const epoch = 1

// exits is a fleet of one entry, "a", and two exits, "b" and "c", with real
// links. The exit b loses the first link after, or before, it has taken the
// call from it.
type exits struct {
	runs     map[string]int
	dedupers map[string]*deduper.Deduper
}

func (e *exits) start(t *testing.T, n *faker.Network, name string) *linker.Linker {
	resolve := func(node string) (string, bool) { return node + ":81", true }
	l := &linker.Linker{Node: name, Epoch: epoch, Secret: []byte("s"), Dial: n.Dialer(name), Resolve: resolve}
	d := deduper.New(epoch)
	e.dedupers[name] = d
	l.Handle(linker.MethodCall, func(ctx context.Context, q linker.Question, send func([]byte, bool) error) error {
		var c messenger.Call
		if err := messenger.Decode(q.Payload, &c); err != nil {
			return err
		}
		end, _ := ctx.Deadline()
		if _, err := d.Begin(c.ID, time.Until(end)); err != nil {
			return err
		}
		e.runs[name]++
		return send(messenger.Encode(&messenger.Head{Status: 200}), true)
	})
	linker.HandleMessage(l, linker.MethodFence, func(_ context.Context, _ string, q *messenger.Fence) (*messenger.Fenced, error) {
		return &messenger.Fenced{NotSeen: d.Fence(q.ID, q.Epoch, q.Ago) == deduper.NotSeen}, nil
	})
	ln, err := n.Listen(name + ":81")
	qt.Assert(t, err, qt.IsNil)
	go func() { _ = l.Run(t.Context(), ln) }()
	return l
}

// TestBrokenLink sends a request that may not be repeated to an exit whose link
// goes silent, and holds the outcome against what the exits ran.
func TestBrokenLink(t *testing.T) {
	for _, row := range []struct {
		name string
		// block is what b cannot send to, so that it takes the call and its
		// answer is lost, or what cannot send to b, so that the call is.
		from, to string
		restart  bool
		want     coder.Code
		b, c     int
	}{
		{"the call is lost", "a", "b", false, coder.OK, 0, 1},
		{"the answer is lost", "b", "a", false, coder.Cut, 1, 0},
		{"the call is lost and the exit restarts", "a", "b", true, coder.Cut, 0, 0},
	} {
		t.Run(row.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				n := faker.NewNetwork(time.Millisecond)
				e := &exits{runs: map[string]int{}, dedupers: map[string]*deduper.Deduper{}}
				a, _, _ := e.start(t, n, "a"), e.start(t, n, "b"), e.start(t, n, "c")
				synctest.Wait()
				_, err := a.Ask(t.Context(), "b", linker.MethodFence, messenger.Encode(&messenger.Fence{}))
				c.Assert(err, qt.IsNil) // so that there is a fresh link
				n.Block(row.from, row.to)
				time.AfterFunc(time.Second, func() {
					n.Silence("a", "b") // for good: what was under way is lost
					n.Unblock(row.from, row.to)
				})
				if row.restart {
					e.dedupers["b"].Epoch = 7
				}
				_, err = newRequester(a).Forward(t.Context(), exchange(t))
				code := coder.OK
				if err != nil {
					code = coder.Of(err).Code
				}
				c.Check(code, qt.Equals, row.want)
				c.Check(e.runs, qt.DeepEquals, nonZero(row.b, row.c))
			})
		})
	}
}

func nonZero(b, c int) map[string]int {
	m := map[string]int{}
	if b > 0 {
		m["b"] = b
	}
	if c > 0 {
		m["c"] = c
	}
	return m
}

func exchange(t *testing.T) *receiver.Exchange {
	own := dispatcher.OwnDialect()
	return &receiver.Exchange{
		ID: "r", ExternalID: "r", Service: "booking", Dialect: &own, Request: httptest.NewRequestWithContext(t.Context(), "POST", "/book", nil),
		Route: &declarer.Route{Service: "booking", Once: true}, Deadline: time.Now().Add(5 * time.Second),
	}
}

// newRequester tries b first, then c.
func newRequester(l *linker.Linker) *Requester {
	f := &forwarder.Forwarder{Node: "a", Open: l.Open, Pick: func(_ context.Context, _ *messenger.Call, tried []string) (messenger.Target, func(forwarder.Outcome), error) {
		node := [...]string{"b", "c"}[len(tried)]
		return messenger.Target{Name: node, Node: node}, func(forwarder.Outcome) {}, nil
	}}
	return &Requester{
		Attempt: f.Attempt, Retrier: retrier.New(),
		Fence: func(ctx context.Context, node string, q *messenger.Fence) (*messenger.Fenced, error) {
			return linker.AskMessage[messenger.Fence, messenger.Fenced](ctx, l, node, linker.MethodFence, q)
		},
	}
}
