package exithandler

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/zinniaproxy/zinniaproxy/internal/messenger"
)

const (
	// uploadCalls is how many calls are made of each kind, at the same time.
	uploadCalls = 20
	// uploadTimeout is far beyond what a call takes on a busy machine.
	uploadTimeout = 20 * time.Second
	// smallWriteBuffer keeps an upload from fitting into the kernel's buffers.
	smallWriteBuffer = 16 << 10
)

// earlyTarget answers a request once it has read the head.
type earlyTarget struct {
	// response is what it sends, without the field that repeats the request's ID.
	response string
	// end ends the connection after the response.
	end func(c *net.TCPConn, rest io.Reader)
}

func (t earlyTarget) serveConn(c net.Conn) {
	defer c.Close()
	in := bufio.NewReader(c)
	r, err := http.ReadRequest(in)
	if err != nil {
		return
	}
	statusLine, rest, _ := strings.Cut(t.response, "\r\n")
	_, _ = fmt.Fprintf(c, "%s\r\n%s: %s\r\n%s", statusLine, RequestHeader, r.Header.Get(RequestHeader), rest)
	t.end(c.(*net.TCPConn), in)
}

// resetAfterResponse resets the connection while the upload is still being sent.
func resetAfterResponse(c *net.TCPConn, _ io.Reader) {
	time.Sleep(50 * time.Millisecond)
	_ = c.SetLinger(0)
}

// readOn ends the response and reads the rest of the upload.
func readOn(c *net.TCPConn, rest io.Reader) {
	_ = c.CloseWrite()
	_, _ = io.Copy(io.Discard, rest)
}

// Guards against a part of a response that a caller gets as a complete one: the
// target answers an upload before it has read it, without a length, and resets the
// connection, which the kernel reports to the writer of the upload alone.
func TestResponseThatEndsInAResetIsNotComplete(t *testing.T) {
	const part = "part of the body"
	for _, tc := range []struct {
		name, response string
		end            func(c *net.TCPConn, rest io.Reader)
		complete       bool
	}{
		{"reset, without a length", "HTTP/1.1 200 OK\r\n\r\n" + part, resetAfterResponse, false},
		{"reset, without a body", "HTTP/1.1 200 OK\r\n\r\n", resetAfterResponse, false},
		{"reset in chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n10\r\n" + part + "\r\n", resetAfterResponse, false},
		{"reset with a length", "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n" + part, resetAfterResponse, false},
		{"reset in the head", "HTTP/1.1 200 OK\r\nX: y", resetAfterResponse, false},
		{"ended while the target reads on", "HTTP/1.1 200 OK\r\n\r\n" + part, readOn, true},
	} {
		for _, size := range []int{0, 100 << 10, 1<<20 - 1} {
			for _, once := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s/%d/once=%t", tc.name, size, once), func(t *testing.T) {
					n := countComplete(t, earlyTarget{tc.response, tc.end}, size, once)
					if tc.complete {
						qt.Check(t, n, qt.Equals, uploadCalls)
					} else {
						qt.Check(t, n, qt.Equals, 0)
					}
				})
			}
		}
	}
}

// countComplete sends calls with bodies of a size to a target on loopback and returns
// how many got a complete response.
func countComplete(t *testing.T, target earlyTarget, size int, once bool) int {
	ln, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	defer ln.Close()
	go serveEach(ln, target.serveConn)
	s := &Sender{
		Dialect: OwnDialect(), Load: func(string) Load { return Load{} }, Echo: func(string) bool { return true },
		Dial: func(ctx context.Context, address string) (net.Conn, error) {
			c, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
			if err != nil {
				return nil, err
			}
			return c, c.(*net.TCPConn).SetWriteBuffer(smallWriteBuffer)
		},
	}
	s.Dialect.CloseDelimited = true
	defer s.Close()
	var wg sync.WaitGroup
	var mu sync.Mutex
	complete := 0
	for i := range uploadCalls {
		wg.Go(func() {
			if sendUpload(s, ln.Addr().String(), fmt.Sprintf("r%d", i), size, once) {
				mu.Lock()
				defer mu.Unlock()
				complete++
			}
		})
	}
	wg.Wait()
	return complete
}

// sendUpload sends one call and reports whether its response was complete.
func sendUpload(s *Sender, address, id string, size int, once bool) (complete bool) {
	ctx, cancel := context.WithTimeout(context.Background(), uploadTimeout)
	defer cancel()
	deadline, _ := ctx.Deadline()
	err := s.Send(ctx, &Job{
		Call:     &messenger.Call{Request: id, Method: http.MethodPost, URI: "/", Once: once, Body: make([]byte, size)},
		Target:   messenger.Target{Name: "t", Address: address, Service: "s"},
		Deadline: deadline,
		Response: ResponseSink{
			Head: func(_ messenger.ResponseHead, last bool) error { complete = last; return nil },
			Body: func(_ []byte, last bool) error { complete = last; return nil },
		},
	})
	return complete || err == nil
}

// partConn is a connection whose response has ended, and whose writes succeed until
// err is set.
type partConn struct {
	net.Conn
	err error
}

func (c *partConn) Write(b []byte) (int, error) {
	if c.err != nil {
		return 0, c.err
	}
	return len(b), nil
}

func (c *partConn) Close() error { return nil }

// Guards against a response that ends between two writes of its request, when no
// write is under way and none has failed yet.
func TestEndOfResponseAwaitsTheWriter(t *testing.T) {
	const head = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\n"
	for _, tc := range []struct {
		name string
		// before is written before the response ends, and finish follows.
		before string
		finish func(c *uploadConn, inner *partConn)
		want   error
	}{
		{"written before", head + "0123456789", func(*uploadConn, *partConn) {}, io.EOF},
		{"failed after", head + "0123456789", func(c *uploadConn, _ *partConn) { _ = c.Close() }, io.EOF},
		{"rest written", head + "0123", func(c *uploadConn, _ *partConn) { _, _ = c.Write([]byte("456789")) }, io.EOF},
		{"head written in parts", head[:len(head)-3], func(c *uploadConn, _ *partConn) { _, _ = c.Write([]byte(head[len(head)-3:] + "0123456789")) }, io.EOF},
		{"reset between two writes", head + "0123", func(c *uploadConn, inner *partConn) {
			inner.err = syscall.ECONNRESET
			_, _ = c.Write([]byte("456789"))
		}, errBrokenRequest},
		{"closed between two writes", head + "0123", func(c *uploadConn, _ *partConn) { _ = c.Close() }, errBrokenRequest},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				inner := &partConn{}
				c := newUploadConn(inner)
				c.beginRequest(0) // an earlier call on a kept connection
				_, err := c.Write([]byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n"))
				qt.Assert(t, err, qt.IsNil)
				c.beginRequest(10)
				_, err = c.Write([]byte(tc.before))
				qt.Assert(t, err, qt.IsNil)
				ended := make(chan error, 1)
				go func() { ended <- c.checkEnd() }()
				synctest.Wait()
				tc.finish(c, inner)
				qt.Check(t, errors.Is(<-ended, tc.want), qt.IsTrue)
			})
		})
	}
}
