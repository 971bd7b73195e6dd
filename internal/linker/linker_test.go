package linker

import (
	"bytes"
	"context"
	"errors"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/zinniaproxy/zinniaproxy/internal/faker"
	"github.com/zinniaproxy/zinniaproxy/internal/framer"
	"github.com/zinniaproxy/zinniaproxy/pkg/coder"
)

const networkDelay = 500 * time.Microsecond

type testFleet struct {
	t       *testing.T
	network *faker.Network
}

func (f *testFleet) start(name, secret string, configure func(*Linker)) *Linker {
	l := &Linker{
		Node: name, Epoch: 1, Secret: []byte(secret), Dial: f.network.Dialer(name),
		Resolve: func(node string) (string, bool) { return node + ":1", true },
	}
	configure(l)
	ln, err := f.network.Listen(name + ":1")
	qt.Assert(f.t, err, qt.IsNil)
	ctx, stop := context.WithCancel(f.t.Context())
	done := make(chan error, 1)
	go func() { done <- l.Run(ctx, ln) }()
	f.t.Cleanup(func() {
		stop()
		qt.Check(f.t, <-done, qt.IsNil)
	})
	synctest.Wait()
	return l
}

func handleEcho(l *Linker) {
	l.HandleQuery(MethodStatus, func(_ context.Context, _ string, b []byte) ([]byte, error) { return b, nil })
}

func runWithFleet(t *testing.T, test func(t *testing.T, f *testFleet)) {
	synctest.Test(t, func(t *testing.T) {
		test(t, &testFleet{t, faker.NewNetwork(networkDelay)})
	})
}

func sendQuery(t *testing.T, l *Linker, node, text string) (string, error) {
	ctx, stop := context.WithTimeout(t.Context(), 5*time.Second)
	defer stop()
	b, err := l.SendQuery(ctx, node, MethodStatus, []byte(text))
	return string(b), err
}

func TestBothNodesQueryOverOneLink(t *testing.T) {
	runWithFleet(t, func(t *testing.T, f *testFleet) {
		a, b := f.start("a", "s", handleEcho), f.start("b", "s", handleEcho)
		got, err := sendQuery(t, a, "b", "there")
		qt.Check(t, err, qt.IsNil)
		qt.Check(t, got, qt.Equals, "there")
		got, err = sendQuery(t, b, "a", "back")
		qt.Check(t, err, qt.IsNil)
		qt.Check(t, got, qt.Equals, "back")
		qt.Check(t, len(a.openLinks())+len(b.openLinks()), qt.Equals, 2)
	})
}

func TestWrongSecretIsRejectedBeforeQuery(t *testing.T) {
	runWithFleet(t, func(t *testing.T, f *testFleet) {
		var ran atomic.Bool
		a := f.start("a", "right", handleEcho)
		f.start("b", "wrong", func(l *Linker) {
			l.HandleQuery(MethodStatus, func(context.Context, string, []byte) ([]byte, error) { ran.Store(true); return nil, nil })
		})
		_, err := sendQuery(t, a, "b", "x")
		qt.Check(t, coder.Of(err).Code, qt.Equals, coder.NotSent)
		qt.Check(t, ran.Load(), qt.IsFalse)
	})
}

func TestSilentLinkIsReplaced(t *testing.T) {
	runWithFleet(t, func(t *testing.T, f *testFleet) {
		a := f.start("a", "s", handleEcho)
		f.start("b", "s", handleEcho)
		_, err := sendQuery(t, a, "b", "x")
		qt.Assert(t, err, qt.IsNil)
		f.network.Silence("a", "b")
		start := time.Now()
		_, err = sendQuery(t, a, "b", "lost")
		qt.Check(t, coder.Of(err).Code, qt.Equals, coder.Cut)
		qt.Check(t, time.Since(start) <= SilenceTimeout+2*checkInterval, qt.IsTrue)
		got, err := sendQuery(t, a, "b", "again")
		qt.Check(t, err, qt.IsNil)
		qt.Check(t, got, qt.Equals, "again")
	})
}

// TestNonIdempotentQueryConfirmsSilentLink guards against sending a non-idempotent
// query on a link that failed unnoticed, which would leave its outcome unknown.
func TestNonIdempotentQueryConfirmsSilentLink(t *testing.T) {
	runWithFleet(t, func(t *testing.T, f *testFleet) {
		var runs atomic.Int64
		a := f.start("a", "s", handleEcho)
		f.start("b", "s", func(l *Linker) {
			l.HandleQuery(MethodStatus, func(context.Context, string, []byte) ([]byte, error) { runs.Add(1); return nil, nil })
		})
		_, err := sendQuery(t, a, "b", "x")
		qt.Assert(t, err, qt.IsNil)
		time.Sleep(ConfirmAfter + time.Millisecond)
		f.network.Silence("a", "b")
		s, err := a.Open(t.Context(), QueryOptions{Node: "b", Method: MethodStatus, NonIdempotent: true})
		qt.Assert(t, err, qt.IsNil)
		_, _, err = s.Recv(t.Context())
		qt.Check(t, err, qt.IsNil)
		qt.Check(t, runs.Load(), qt.Equals, int64(2))
	})
}

func TestCancelAndDeadlineReachTheHandler(t *testing.T) {
	runWithFleet(t, func(t *testing.T, f *testFleet) {
		ended := make(chan error, 1)
		a := f.start("a", "s", handleEcho)
		f.start("b", "s", func(l *Linker) {
			l.Handle(MethodCall, func(ctx context.Context, _ Query, _ func([]byte, bool) error) error {
				<-ctx.Done()
				ended <- ctx.Err()
				return ctx.Err()
			})
		})
		s, err := a.Open(t.Context(), QueryOptions{Node: "b", Method: MethodCall})
		qt.Assert(t, err, qt.IsNil)
		time.Sleep(10 * time.Millisecond)
		s.Close()
		qt.Check(t, <-ended, qt.ErrorIs, context.Canceled)
		ctx, stop := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer stop()
		s, err = a.Open(ctx, QueryOptions{Node: "b", Method: MethodCall})
		qt.Assert(t, err, qt.IsNil)
		_, _, err = s.Recv(ctx)
		qt.Check(t, coder.Of(err).Code, qt.Equals, coder.DeadlineAfter)
		qt.Check(t, <-ended, qt.ErrorIs, context.DeadlineExceeded)
	})
}

// TestSlowReaderBlocksSender guards against unbounded memory for a stream: a
// handler that sends faster than the querying side reads must block once the window
// is full.
func TestSlowReaderBlocksSender(t *testing.T) {
	runWithFleet(t, func(t *testing.T, f *testFleet) {
		const pieceBytes, pieces = 32 << 10, 64
		var sent atomic.Int64
		a := f.start("a", "s", handleEcho)
		f.start("b", "s", func(l *Linker) {
			l.Handle(MethodCall, func(_ context.Context, _ Query, send func([]byte, bool) error) error {
				for i := range pieces {
					if err := send(bytes.Repeat([]byte{byte(i)}, pieceBytes), i == pieces-1); err != nil {
						return err
					}
					sent.Add(pieceBytes)
				}
				return nil
			})
		})
		s, err := a.Open(t.Context(), QueryOptions{Node: "b", Method: MethodCall})
		qt.Assert(t, err, qt.IsNil)
		time.Sleep(time.Second)
		qt.Check(t, sent.Load() <= streamWindowBytes+pieceBytes, qt.IsTrue, qt.Commentf("%d bytes sent before the first read", sent.Load()))
		for i := range pieces {
			b, last, err := s.Recv(t.Context())
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, bytes.Equal(b, bytes.Repeat([]byte{byte(i)}, pieceBytes)), qt.IsTrue)
			qt.Assert(t, last, qt.Equals, i == pieces-1)
		}
	})
}

// TestExpiredQueryIsNotRun guards against running a query whose deadline passed
// while the link was blocked: it must not reach the handler after the link unblocks.
func TestExpiredQueryIsNotRun(t *testing.T) {
	runWithFleet(t, func(t *testing.T, f *testFleet) {
		var runs atomic.Int64
		a := f.start("a", "s", handleEcho)
		f.start("b", "s", func(l *Linker) {
			handleEcho(l)
			l.Handle(MethodCall, func(context.Context, Query, func([]byte, bool) error) error { runs.Add(1); return nil })
		})
		_, err := sendQuery(t, a, "b", "x")
		qt.Assert(t, err, qt.IsNil)
		f.network.Block("a", "b")
		ctx, stop := context.WithTimeout(t.Context(), 300*time.Millisecond)
		defer stop()
		s, err := a.Open(ctx, QueryOptions{Node: "b", Method: MethodCall})
		qt.Assert(t, err, qt.IsNil)
		time.Sleep(400 * time.Millisecond)
		f.network.Unblock("a", "b")
		_, _, err = s.Recv(ctx)
		qt.Check(t, err, qt.IsNotNil)
		time.Sleep(time.Second)
		qt.Check(t, runs.Load(), qt.Equals, int64(0))
	})
}

func TestInvalidFrameClosesOnlyItsLink(t *testing.T) {
	runWithFleet(t, func(t *testing.T, f *testFleet) {
		a := f.start("a", "s", handleEcho)
		f.start("b", "s", handleEcho)
		conn, err := f.network.Dialer("c")(t.Context(), "b:1")
		qt.Assert(t, err, qt.IsNil)
		_, err = conn.Write([]byte("GET / HTTP/1.1\r\n\r\n"))
		qt.Assert(t, err, qt.IsNil)
		for {
			if _, err = conn.Read(make([]byte, 1<<10)); err != nil {
				break
			}
		}
		qt.Check(t, errors.Is(err, net.ErrClosed), qt.IsFalse)
		_, err = sendQuery(t, a, "b", "x")
		qt.Check(t, err, qt.IsNil)
	})
}

// TestUnknownMethodIsRejected sends methods without a handler, as a newer peer may.
func TestUnknownMethodIsRejected(t *testing.T) {
	runWithFleet(t, func(t *testing.T, f *testFleet) {
		a := f.start("a", "s", handleEcho)
		f.start("b", "s", handleEcho)
		for _, m := range []Method{MethodRecord, maxMethods - 1, maxMethods, 255} {
			s, err := a.Open(t.Context(), QueryOptions{Node: "b", Method: m})
			qt.Assert(t, err, qt.IsNil)
			_, _, err = s.Recv(t.Context())
			qt.Check(t, coder.Of(err).Code, qt.Equals, coder.BadRequest, qt.Commentf("method %d", m))
		}
	})
}

// TestStrangerGetsLittleMemory has a stranger send bytes without end to the link
// port: in a frame whose length is allowed on links, and in no frame. Its
// connection must be closed after a few kilobytes, and others still be served.
func TestStrangerGetsLittleMemory(t *testing.T) {
	const maxAccepted = 64 << 10 // the handshake's limit, and the buffers between
	for name, start := range map[string][]byte{
		"a long frame": {0, 0x3f, 0xff, 0xff, framer.Version, kindHello},
		"no frame":     bytes.Repeat([]byte{0xff}, 16),
	} {
		t.Run(name, func(t *testing.T) {
			runWithFleet(t, func(t *testing.T, f *testFleet) {
				a := f.start("a", "s", handleEcho)
				f.start("b", "s", handleEcho)
				conn, err := f.network.Dialer("stranger")(t.Context(), "b:1")
				qt.Assert(t, err, qt.IsNil)
				sent, begun := 0, time.Now()
				for piece := start; time.Since(begun) < time.Minute; piece = make([]byte, 1024) {
					n, err := conn.Write(piece)
					if sent += n; err != nil {
						break
					}
					time.Sleep(time.Millisecond)
				}
				qt.Check(t, sent <= maxAccepted, qt.IsTrue, qt.Commentf("%d bytes", sent))
				qt.Check(t, time.Since(begun) <= handshakeTimeout+time.Second, qt.IsTrue, qt.Commentf("%v", time.Since(begun)))
				got, err := sendQuery(t, a, "b", "there")
				qt.Check(t, err, qt.IsNil)
				qt.Check(t, got, qt.Equals, "there")
				_ = conn.Close()
			})
		})
	}
}
