package httpserver

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/zinniaproxy/zinniaproxy/internal/accountant"
)

// maxBufferedBodyBytes bounds the body that is read whole before its request
// runs, so that the next pipelined request can be read meanwhile.
const maxBufferedBodyBytes = 256 << 10

// lingerTimeout and maxLingerBytes bound how long, and how much, a connection is
// read after its write side was closed. maxDiscardedBytes bounds what is read
// behind the last request while that runs; then a caller's bytes wait.
const (
	lingerTimeout     = 500 * time.Millisecond
	maxLingerBytes    = 256 << 10
	maxDiscardedBytes = 4 << 20
)

// conn is one caller's connection.
type conn struct {
	server  *Server
	netConn net.Conn
	reader  *reader
	writer  *writer
	// in and out are nil while the connection has been idle for a while: they are
	// most of what an idle connection holds.
	in  *bufio.Reader
	out *bufio.Writer
	// owner is the connection's account, next that of the request that is read.
	owner, next *accountant.Owner
	// ctx is canceled when the connection ends.
	ctx    context.Context
	cancel context.CancelFunc
	// slots bounds the requests in flight.
	slots chan struct{}
	// undelimited is true while a response is incomplete whose end is marked by
	// closing the connection.
	undelimited atomic.Bool

	mu sync.Mutex
	// unanswered are the requests that were read but not answered yet, in the
	// order in which they came.
	unanswered []*responseWriter
	// reading is true while a request is being read.
	reading bool
	// received is the number of requests that were read.
	received int
	// lastDone is closed when the response to the most recently read request is
	// written.
	lastDone chan struct{}
	// draining is true when no further request will be read.
	draining bool
	// begun is the number of the latest request that began to run.
	begun int
	// streaming is the response that is written while its body still arrives, nil if
	// there is none. It may break off and end the connection, so that no further
	// request begins to run behind it.
	streaming *responseWriter
	// closing is true when the response that closes the connection is being
	// written. No further request may run then: the caller sends those behind it
	// again.
	closing bool
	// readingSince is when reading became true, idleSince when the connection became
	// idle.
	readingSince, idleSince time.Time
	// interrupted is true when no further byte may be read, or was sent in vain.
	interrupted bool
	// evicted is true when the connection was interrupted to release what it holds.
	evicted bool
}

func newConn(s *Server, c net.Conn) *conn {
	ctx, cancel := context.WithCancel(context.Background())
	first := make(chan struct{})
	close(first)
	k := &conn{
		server: s, netConn: c, ctx: ctx, cancel: cancel, owner: s.newOwner(), idleSince: time.Now(),
		slots: make(chan struct{}, positiveOr(s.MaxPipelined, DefaultMaxPipelined)), lastDone: first,
	}
	k.reader = &reader{conn: k, headRemaining: -1}
	k.writer = &writer{conn: k}
	return k
}

// serve reads requests until the connection ends. When the caller closes it,
// the requests in flight are canceled.
func (k *conn) serve() {
	defer k.server.remove(k)
	for k.serveNext() {
	}
	k.mu.Lock()
	k.draining = true
	lastDone := k.lastDone
	k.mu.Unlock()
	k.watchForDisconnect(lastDone)
	k.cancel()
	<-lastDone
	k.close()
	k.next.Close()
	k.owner.Close()
}

// close closes the write side, reads until the caller closes too, lingerTimeout
// passes or maxLingerBytes are read, and closes the connection. Closing a
// connection with unread bytes would reset it and could lose the end of the last
// response.
func (k *conn) close() {
	writeCloser, ok := k.netConn.(interface{ CloseWrite() error })
	if ok && writeCloser.CloseWrite() == nil {
		_ = k.netConn.SetReadDeadline(time.Now().Add(lingerTimeout))
		_, _ = io.CopyN(io.Discard, k.netConn, maxLingerBytes)
	}
	k.netConn.Close()
}

// closeNow closes the connection without waiting for the caller. It resets the
// connection in the middle of a response whose end is marked by closing, so that the
// response does not look complete.
func (k *conn) closeNow() {
	c, ok := k.netConn.(interface{ SetLinger(seconds int) error })
	if ok && k.undelimited.Load() {
		_ = c.SetLinger(0) // fails only on a connection that is closed
	}
	k.netConn.Close()
}

// watchForDisconnect returns when the last response is written or the caller
// has closed the connection. It discards what it reads, at most
// maxDiscardedBytes.
func (k *conn) watchForDisconnect(lastDone chan struct{}) {
	readEnded := make(chan struct{})
	_ = k.netConn.SetReadDeadline(time.Time{}) // must come before the deadline set on lastDone below
	k.reader.endRequest()
	go func() {
		defer close(readEnded)
		if k.ctx.Err() != nil {
			return
		}
		// Any error means that the connection ended.
		if _, err := io.CopyN(io.Discard, k.unread(), maxDiscardedBytes); err == nil {
			<-lastDone
		}
	}()
	select {
	case <-lastDone:
		_ = k.netConn.SetReadDeadline(time.Now())
		<-readEnded
	case <-readEnded:
	}
}

// serveNext reads one request and starts it. It returns false when no further
// request may be read from the connection.
func (k *conn) serveNext() bool {
	if !k.awaitRequest() || !k.beginReading() {
		return false
	}
	k.next = k.owner.Member()
	k.reader.beginRequest(int64(positiveOr(k.server.MaxHeadBytes, DefaultMaxHeadBytes)), k.in.Buffered())
	req, err := http.ReadRequest(k.in)
	k.reader.endHead()
	if err != nil {
		k.setReading(false)
		k.handleReadError(cmp.Or(k.reader.failure, err))
		return false
	}
	if reason := invalidReason(req); reason != "" {
		k.setReading(false)
		k.refuse(http.StatusBadRequest, reason)
		return false
	}
	return k.start(req)
}

func (k *conn) isDraining() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.draining
}

// beginReading sets reading, unless the connection is draining, and reports
// whether it did.
func (k *conn) beginReading() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.reading, k.readingSince = !k.draining, time.Now()
	return k.reading
}

func (k *conn) setReading(reading bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.reading = reading
}

// invalidReason returns why a request that http.ReadRequest accepted is
// invalid, or "".
func invalidReason(r *http.Request) string {
	switch {
	case r.ProtoMajor != 1:
		return "only HTTP/1 is supported"
	case r.ProtoAtLeast(1, 1) && r.Host == "":
		return "no host"
	}
	for name, values := range r.Header {
		for _, v := range values {
			if strings.ContainsAny(v, "\r\n\x00") || strings.ContainsAny(name, " \t") {
				return "invalid character in a header field"
			}
		}
	}
	return ""
}

// start runs a request and reports whether the next may be read. A body of known,
// short length is buffered first. Any other is read by the handler, and the next
// request once its end was read.
func (k *conn) start(req *http.Request) bool {
	req.RemoteAddr = k.netConn.RemoteAddr().String()
	buffered := req.ContentLength >= 0 && req.ContentLength <= maxBufferedBodyBytes && req.Header.Get("Expect") == ""
	if err := k.reserveRequest(req, buffered); err != nil {
		k.setReading(false)
		k.handleReadError(err)
		return false
	}
	select {
	case k.slots <- struct{}{}:
	case <-k.ctx.Done():
		return false
	}
	var body *streamedBody
	if !buffered {
		body = &streamedBody{ReadCloser: req.Body, ended: make(chan struct{}), arrived: k.reader.endRequest}
		req.Body = body
	} else {
		k.reader.endRequest()
	}
	w := k.enqueue(req, body)
	if req.Header.Get("Expect") != "" {
		w.request.Body = &continueBody{ReadCloser: req.Body, writer: w}
	}
	last := w.close // read before run, which may change it
	go k.run(w)
	if buffered {
		return !last
	}
	select {
	case <-body.ended:
		return !last && body.complete
	case <-w.done:
		return !w.close && !k.isDraining() && k.ctx.Err() == nil && w.drainBody()
	}
}

// run calls the handler, ends its response and lets the next one be written.
func (k *conn) run(w *responseWriter) {
	defer func() {
		w.cancel(nil)
		if w.truncated {
			// Close before done is closed: no response may follow a truncated one.
			k.cancel()
			k.closeNow()
		}
		k.markAnswered(w)
		w.owner.Close()
		close(w.done)
		<-k.slots
		k.restartIdleTimeout()
	}()
	defer func() {
		if err := recover(); err != nil {
			w.truncated = true
			w.awaitTurn()
			if err != http.ErrAbortHandler { //nolint:errorlint // as net/http does
				panic(err)
			}
		}
	}()
	if !k.server.runsConcurrently(w.request) {
		w.awaitTurn()
	}
	if !k.begin(w) {
		w.awaitTurn()
		return
	}
	if err := context.Cause(w.request.Context()); err == nil || errors.Is(err, ErrAborted) {
		k.server.Handler.ServeHTTP(w, w.request)
	}
	w.finish()
}
