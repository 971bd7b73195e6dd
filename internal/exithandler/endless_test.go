package exithandler

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/zinniaproxy/zinniaproxy/internal/faker"
	"github.com/zinniaproxy/zinniaproxy/internal/messenger"
	"github.com/zinniaproxy/zinniaproxy/pkg/coder"
)

// endlessTarget answers the first request with bytes without end, until the
// connection is closed, and all others well.
type endlessTarget struct {
	// start precedes the piece that is repeated.
	start, piece string
	requests     atomic.Int64
	// written counts the bytes that the node took, closedAt is when it closed the
	// connection.
	written  atomic.Int64
	closedAt atomic.Pointer[time.Time]
}

func (t *endlessTarget) serve(ln net.Listener) { serveEach(ln, t.serveConn) }

func (t *endlessTarget) serveConn(c net.Conn) {
	defer c.Close()
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		id := r.Header.Get(RequestHeader)
		if t.requests.Add(1) > 1 {
			body := "for " + id
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", RequestHeader, id, len(body), body)
			continue
		}
		t.writeEndless(c, id)
		return
	}
}

func (t *endlessTarget) writeEndless(c net.Conn, id string) {
	next := []byte(strings.ReplaceAll(t.start, "ID", id))
	for {
		n, err := c.Write(next)
		t.written.Add(int64(n))
		if err != nil {
			now := time.Now()
			t.closedAt.Store(&now)
			return
		}
		time.Sleep(100 * time.Microsecond)
		next = bytes.Repeat([]byte(t.piece), 1+1024/len(t.piece))
	}
}

// TestBytesWithoutEnd has a target send bytes that are no answer, or no end of
// one, until the node closes the connection. The caller must get a refusal or a
// broken answer no later than its deadline, an answer that was complete before
// them must stand, the node must close the connection at once and take no more
// than the limit of a head where no body is due, and the next request must get its
// own answer.
func TestBytesWithoutEnd(t *testing.T) {
	const (
		timeout       = 100 * time.Millisecond
		maxHead       = maxResponseHeadBytes + 64<<10 // and the buffers between
		streamedBytes = 2 << 20                       // what the target sends until the deadline
	)
	head := "HTTP/1.1 200 OK\r\n" + RequestHeader + ": ID\r\n"
	for _, tc := range []struct {
		name         string
		method       string
		start, piece string
		answered     bool
		maxBytes     int64
	}{
		{"status line", "GET", "HTTP/1.1 200 ", "x", false, maxHead},
		{"no protocol", "GET", "\x00\x01", "\x02", false, maxHead},
		{"one header field", "GET", head + "X: ", "y", false, maxHead},
		{"header fields", "GET", head, "X: y\r\n", false, maxHead},
		{"interim answers", "GET", "HTTP/1.1 103 Early Hints\r\n\r\n", "HTTP/1.1 103 Early Hints\r\n\r\n", false, maxHead},
		{"chunk size", "GET", head + "Transfer-Encoding: chunked\r\n\r\n", "0", false, maxHead},
		{"chunk extension", "GET", head + "Transfer-Encoding: chunked\r\n\r\n5;x=", "y", false, maxHead},
		{"extensions of many chunks", "GET", head + "Transfer-Encoding: chunked\r\n\r\n", "1;xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx\r\nz\r\n", false, streamedBytes},
		{"trailers", "GET", head + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X: y\r\n", false, streamedBytes},
		{"chunked body", "GET", head + "Transfer-Encoding: chunked\r\n\r\n", "5\r\nhello\r\n", false, streamedBytes},
		{"body longer than stated", "GET", head + "Content-Length: 5\r\n\r\nhello", "z", true, maxHead},
		{"body of HEAD", "HEAD", head + "Content-Length: 5\r\n\r\n", "z", true, maxHead},
		{"body of 204", "GET", strings.Replace(head, "200 OK", "204 No Content", 1) + "\r\n", "z", true, maxHead},
		{"body of 304", "GET", strings.Replace(head, "200 OK", "304 Not Modified", 1) + "\r\n", "z", true, maxHead},
		{"answers after an answer", "GET", head + "Content-Length: 5\r\n\r\nhello", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", true, maxHead},
	} {
		for _, once := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s/once=%t", tc.name, once), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					target := &endlessTarget{start: tc.start, piece: tc.piece}
					n := faker.NewNetwork(100 * time.Microsecond)
					ln, err := n.Listen("t:1")
					qt.Assert(t, err, qt.IsNil)
					go target.serve(ln)
					s := &Sender{Dialect: OwnDialect(), Dial: n.Dialer("n"), Load: func(string) Load { return Load{} }, Echo: func(string) bool { return true }}
					begun := time.Now()
					_, err = sendWithMethod(s, tc.method, "r1", once, timeout)
					took := time.Since(begun)
					qt.Check(t, err == nil, qt.Equals, tc.answered, qt.Commentf("%v", err))
					qt.Check(t, took <= timeout+time.Millisecond, qt.IsTrue, qt.Commentf("%v", took))
					if err != nil {
						qt.Check(t, coder.Of(err).Ran() == coder.RanNo, qt.IsFalse, qt.Commentf("%v", err))
					}
					body, err := sendWithMethod(s, http.MethodGet, "r2", once, timeout)
					if err != nil { // the kept connection had the rest of the first answer
						body, err = sendWithMethod(s, http.MethodGet, "r3", once, timeout)
					}
					qt.Check(t, err, qt.IsNil)
					qt.Check(t, strings.HasPrefix(body, "for r"), qt.IsTrue, qt.Commentf("%q", body))
					time.Sleep(10 * time.Millisecond)
					qt.Check(t, target.closedAt.Load(), qt.IsNotNil)
					qt.Check(t, target.written.Load() <= tc.maxBytes, qt.IsTrue, qt.Commentf("%d bytes", target.written.Load()))
					s.Close()
					n.Kill("t")
					time.Sleep(2 * time.Second)
				})
			})
		}
	}
}

// sendWithMethod sends one request and returns the response body.
func sendWithMethod(s *Sender, method, id string, once bool, timeout time.Duration) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	var body []byte
	deadline, _ := ctx.Deadline()
	err := s.Send(ctx, &Job{
		Call:     &messenger.Call{Request: id, Method: method, URI: "/", Once: once},
		Target:   messenger.Target{Name: "t", Address: "t:1", Service: "s"},
		Deadline: deadline,
		Response: ResponseSink{
			Head: func(h messenger.ResponseHead, _ bool) error { body = h.Body; return nil },
			Body: func(b []byte, _ bool) error { body = append(body, b...); return nil },
		},
	})
	return string(body), err
}
