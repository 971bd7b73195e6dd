package linker

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/zinniaproxy/zinniaproxy/internal/faker"
)

// stalledListener accepts connections whose writes wait while stalled is true.
type stalledListener struct {
	net.Listener
	stalled *atomic.Bool
}

type stalledConn struct {
	net.Conn
	stalled *atomic.Bool
}

func (l stalledListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return stalledConn{c, l.stalled}, err
}

func (c stalledConn) Write(b []byte) (int, error) {
	for c.stalled.Load() {
		time.Sleep(10 * time.Millisecond)
	}
	return c.Conn.Write(b)
}

// Guards against a query that runs twice: replies that did not fit the queue of a
// link whose peer is frozen for a second were replaced by a refusal that says "not
// run".
func TestFullLinkRefusesNoQueryThatRan(t *testing.T) {
	const queries, replyBytes = 100, 250_000
	synctest.Test(t, func(t *testing.T) {
		f := &testFleet{t, faker.NewNetwork(networkDelay)}
		a := f.start("a", "s", handleEcho)
		b := &Linker{Node: "b", Epoch: 1, Secret: []byte("s"), Dial: f.network.Dialer("b"), Resolve: a.Resolve}
		b.HandleQuery(MethodStatus, func(context.Context, string, []byte) ([]byte, error) { return make([]byte, replyBytes), nil })
		var stalled atomic.Bool
		ln, err := f.network.Listen("b:1")
		qt.Assert(t, err, qt.IsNil)
		ctx, stop := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- b.Run(ctx, stalledListener{ln, &stalled}) }()
		synctest.Wait()
		_, err = sendQuery(t, a, "b", "opens the link")
		qt.Assert(t, err, qt.IsNil)
		stalled.Store(true)
		var wg sync.WaitGroup
		for range queries {
			wg.Go(func() {
				reply, err := sendQuery(t, a, "b", "")
				qt.Check(t, err, qt.IsNil)
				qt.Check(t, len(reply), qt.Equals, replyBytes)
			})
		}
		time.Sleep(1100 * time.Millisecond)
		stalled.Store(false)
		wg.Wait()
		stop()
		qt.Check(t, <-ended, qt.IsNil)
	})
}
