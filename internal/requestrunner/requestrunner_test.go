package requestrunner

import (
	"context"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/zinniaproxy/zinniaproxy/internal/attemptsender"
	"github.com/zinniaproxy/zinniaproxy/internal/deduper"
	"github.com/zinniaproxy/zinniaproxy/internal/entryhandler"
	"github.com/zinniaproxy/zinniaproxy/internal/exithandler"
	"github.com/zinniaproxy/zinniaproxy/internal/faker"
	"github.com/zinniaproxy/zinniaproxy/internal/linker"
	"github.com/zinniaproxy/zinniaproxy/internal/messenger"
	"github.com/zinniaproxy/zinniaproxy/internal/retrier"
	"github.com/zinniaproxy/zinniaproxy/pkg/coder"
	"github.com/zinniaproxy/zinniaproxy/pkg/declarer"
)

const epoch = 1

// testFleet is a fleet of the entry node "a" and the exit nodes "b" and "c" with
// real links. It counts the calls that each node ran.
type testFleet struct {
	runs     map[string]int
	dedupers map[string]*deduper.Deduper
}

func (f *testFleet) startNode(t *testing.T, n *faker.Network, name string) *linker.Linker {
	resolve := func(node string) (string, bool) { return node + ":81", true }
	l := &linker.Linker{Node: name, Epoch: epoch, Secret: []byte("s"), Dial: n.Dialer(name), Resolve: resolve}
	d := deduper.New(epoch)
	f.dedupers[name] = d
	l.Handle(linker.MethodCall, func(ctx context.Context, q linker.Query, send func([]byte, bool) error) error {
		var c messenger.Call
		if err := messenger.Decode(q.Payload, &c); err != nil {
			return err
		}
		deadline, _ := ctx.Deadline()
		if _, err := d.Begin(c.ID, time.Until(deadline)); err != nil {
			return err
		}
		f.runs[name]++
		return send(messenger.Encode(&messenger.ResponseHead{Status: 200}), true)
	})
	linker.HandleTypedQuery(l, linker.MethodFence, func(_ context.Context, _ string, q *messenger.Fence) (*messenger.FenceReply, error) {
		return &messenger.FenceReply{NotSeen: d.Fence(q.ID, q.Epoch, q.SinceSent) == deduper.FenceNotSeen}, nil
	})
	ln, err := n.Listen(name + ":81")
	qt.Assert(t, err, qt.IsNil)
	go func() { _ = l.Run(t.Context(), ln) }()
	return l
}

// TestBrokenLink sends a non-idempotent request to an exit node whose link goes
// silent before or after the node received the call. It guards against a second
// run of the call and against a retry that is wrongly refused.
func TestBrokenLink(t *testing.T) {
	for _, tc := range []struct {
		name string
		// blockFrom cannot send to blockTo, so that the call or its response is
		// lost.
		blockFrom, blockTo string
		restart            bool
		want               coder.Code
		runsOnB, runsOnC   int
	}{
		{"the call is lost", "a", "b", false, coder.OK, 0, 1},
		{"the response is lost", "b", "a", false, coder.Cut, 1, 0},
		{"the call is lost and the exit node restarts", "a", "b", true, coder.Cut, 0, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				n := faker.NewNetwork(time.Millisecond)
				f := &testFleet{runs: map[string]int{}, dedupers: map[string]*deduper.Deduper{}}
				a, _, _ := f.startNode(t, n, "a"), f.startNode(t, n, "b"), f.startNode(t, n, "c")
				synctest.Wait()
				// Open the link from a to b.
				_, err := a.SendQuery(t.Context(), "b", linker.MethodFence, messenger.Encode(&messenger.Fence{}))
				c.Assert(err, qt.IsNil)
				n.Block(tc.blockFrom, tc.blockTo)
				time.AfterFunc(time.Second, func() {
					n.Silence("a", "b") // loses for good what the block held back
					n.Unblock(tc.blockFrom, tc.blockTo)
				})
				if tc.restart {
					f.dedupers["b"].Epoch = 7
				}
				_, err = newRunner(a).Forward(t.Context(), newExchange(t))
				code := coder.OK
				if err != nil {
					code = coder.Of(err).Code
				}
				c.Check(code, qt.Equals, tc.want)
				c.Check(f.runs, qt.DeepEquals, expectedRuns(tc.runsOnB, tc.runsOnC))
			})
		})
	}
}

func expectedRuns(runsOnB, runsOnC int) map[string]int {
	m := map[string]int{}
	if runsOnB > 0 {
		m["b"] = runsOnB
	}
	if runsOnC > 0 {
		m["c"] = runsOnC
	}
	return m
}

func newExchange(t *testing.T) *entryhandler.Exchange {
	dialect := exithandler.OwnDialect()
	return &entryhandler.Exchange{
		ID: "r", ExternalID: "r", Service: "booking", Dialect: &dialect, Request: httptest.NewRequestWithContext(t.Context(), "POST", "/book", nil),
		Route: &declarer.Route{Service: "booking", Once: true}, Deadline: time.Now().Add(5 * time.Second),
	}
}

// newRunner tries b first, then c.
func newRunner(l *linker.Linker) *Runner {
	s := &attemptsender.Sender{Node: "a", Open: l.Open, Pick: func(_ context.Context, _ *messenger.Call, tried []string) (messenger.Target, func(attemptsender.Outcome), error) {
		node := [...]string{"b", "c"}[len(tried)]
		return messenger.Target{Name: node, Node: node}, func(attemptsender.Outcome) {}, nil
	}}
	return &Runner{
		Attempt: s.Attempt, Retrier: retrier.New(),
		Fence: func(ctx context.Context, node string, q *messenger.Fence) (*messenger.FenceReply, error) {
			return linker.SendTypedQuery[messenger.Fence, messenger.FenceReply](ctx, l, node, linker.MethodFence, q)
		},
	}
}
