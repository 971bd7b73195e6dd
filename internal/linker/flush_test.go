package linker

import (
	"context"
	"net"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/zinniaproxy/zinniaproxy/internal/faker"
)

// slowListener accepts connections whose writes take a while.
type slowListener struct{ net.Listener }

type slowConn struct{ net.Conn }

func (l slowListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return slowConn{c}, err
}

func (c slowConn) Write(b []byte) (int, error) {
	time.Sleep(30 * time.Millisecond)
	return c.Conn.Write(b)
}

// Guards against the loss of a reply whose handler has ended when the node stops,
// while the reply is still to be written to the link.
func TestFlushWritesQueuedReplies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &testFleet{t, faker.NewNetwork(networkDelay)}
		a := f.start("a", "s", handleEcho)
		b := &Linker{Node: "b", Epoch: 1, Secret: []byte("s"), Dial: f.network.Dialer("b"), Resolve: a.Resolve}
		replied := make(chan struct{}, 2)
		b.Handle(MethodStatus, func(_ context.Context, q Query, send func([]byte, bool) error) error {
			err := send(q.Payload, true)
			replied <- struct{}{}
			return err
		})
		ln, err := f.network.Listen("b:1")
		qt.Assert(t, err, qt.IsNil)
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		ended := make(chan error, 1)
		go func() { ended <- b.Run(ctx, slowListener{ln}) }()
		synctest.Wait()
		for _, text := range []string{"opens the link", "last"} {
			got := make(chan string, 1)
			go func() {
				reply, err := sendQuery(t, a, "b", text)
				qt.Check(t, err, qt.IsNil)
				got <- reply
			}()
			<-replied
			if text == "last" {
				qt.Check(t, b.Flush(t.Context()), qt.IsNil)
				stop()
				qt.Check(t, <-ended, qt.IsNil)
			}
			qt.Check(t, <-got, qt.Equals, text)
		}
	})
}
