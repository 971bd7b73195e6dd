package linker

import (
	"context"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/zinniaproxy/zinniaproxy/internal/accountant"
	"github.com/zinniaproxy/zinniaproxy/internal/faker"
	"github.com/zinniaproxy/zinniaproxy/pkg/coder"
)

// failingListener fails to accept some times, as without a free descriptor.
type failingListener struct {
	net.Listener
	failures atomic.Int32
}

func (l *failingListener) Accept() (net.Conn, error) {
	if l.failures.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	}
	return l.Listener.Accept()
}

// Guards against calls that a node takes on beyond its account, and against replies
// that never come since it is full: the query has run.
func TestFullAccountRefusesCallsAndSendsReplies(t *testing.T) {
	const replyBytes = 200_000
	runWithFleet(t, func(t *testing.T, f *testFleet) {
		a := f.start("a", "s", handleEcho)
		account := &accountant.Account{Limit: 1 << 20}
		f.start("b", "s", func(l *Linker) {
			l.Account = account
			l.HandleQuery(MethodCall, func(context.Context, string, []byte) ([]byte, error) {
				account.Charge(account.Group("workspace", 1), 1<<20)
				return make([]byte, replyBytes), nil
			})
		})
		ctx, stop := context.WithTimeout(t.Context(), 5*time.Second)
		defer stop()
		_, err := a.SendQuery(ctx, "b", MethodCall, make([]byte, 600_000))
		qt.Check(t, coder.Of(err).Code, qt.Equals, coder.Overloaded)
		reply, err := a.SendQuery(ctx, "b", MethodCall, make([]byte, 1000))
		qt.Check(t, err, qt.IsNil)
		qt.Check(t, len(reply), qt.Equals, replyBytes)
		synctest.Wait()
		qt.Check(t, account.Used(), qt.Equals, int64(1<<20))
	})
}

// Guards against strangers at the link address: each held a connection and memory
// until its handshake timed out, and without a free descriptor the node ended.
func TestCrowdOfStrangers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &testFleet{t, faker.NewNetwork(networkDelay)}
		var refused atomic.Int32
		b := &Linker{Node: "b", Epoch: 1, Secret: []byte("s"), MaxHandshakes: 4, Refused: func(string) { refused.Add(1) }}
		handleEcho(b)
		ln, err := f.network.Listen("b:1")
		qt.Assert(t, err, qt.IsNil)
		failing := &failingListener{Listener: ln}
		failing.failures.Store(3)
		ended := make(chan error, 1)
		go func() { ended <- b.Run(t.Context(), failing) }()
		dial := f.network.Dialer("stranger")
		for range 100 {
			c, err := dial(t.Context(), "b:1")
			qt.Assert(t, err, qt.IsNil)
			defer c.Close()
			synctest.Wait()
		}
		a := f.start("a", "s", handleEcho)
		reply, err := sendQuery(t, a, "b", "x")
		qt.Check(t, err, qt.IsNil)
		qt.Check(t, reply, qt.Not(qt.Equals), "")
		qt.Check(t, refused.Load() >= 96, qt.IsTrue)
		select {
		case err := <-ended:
			t.Errorf("the linker ended: %v", err)
		default:
		}
	})
}
