package httpserver

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
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

// errHeadTooLarge is returned by limitedReader when a request's head exceeds
// the limit.
var errHeadTooLarge = errors.New("httpserver: request head is too large")

// conn is one caller's connection.
type conn struct {
	server    *Server
	netConn   net.Conn
	headLimit *limitedReader
	in        *bufio.Reader
	out       *bufio.Writer
	// ctx is canceled when the connection ends.
	ctx    context.Context
	cancel context.CancelFunc
	// slots bounds the requests in flight.
	slots chan struct{}

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
	// closing is true when the response that closes the connection is being
	// written. No further request may run then: the caller sends those behind it
	// again.
	closing bool
}

// limitedReader bounds how many bytes of a request's head are read.
type limitedReader struct {
	source    io.Reader
	remaining int64 // bytes; below 0: unlimited
}

func (l *limitedReader) Read(b []byte) (int, error) {
	if l.remaining < 0 {
		return l.source.Read(b)
	}
	if l.remaining == 0 {
		return 0, errHeadTooLarge
	}
	n, err := l.source.Read(b[:min(int64(len(b)), l.remaining)])
	l.remaining -= int64(n)
	return n, err
}

func newConn(s *Server, c net.Conn) *conn {
	ctx, cancel := context.WithCancel(context.Background())
	first := make(chan struct{})
	close(first)
	l := &limitedReader{source: c, remaining: -1}
	return &conn{
		server: s, netConn: c, headLimit: l, in: bufio.NewReader(l), out: bufio.NewWriter(c), ctx: ctx, cancel: cancel,
		slots: make(chan struct{}, positiveOr(s.MaxPipelined, DefaultMaxPipelined)), lastDone: first,
	}
}

// idle reports whether no request is being read or in flight.
func (k *conn) idle() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.unanswered) == 0 && !k.reading
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

// watchForDisconnect returns when the last response is written or the caller
// has closed the connection. It discards what it reads, at most
// maxDiscardedBytes.
func (k *conn) watchForDisconnect(lastDone chan struct{}) {
	readEnded := make(chan struct{})
	_ = k.netConn.SetReadDeadline(time.Time{}) // must come before the deadline set on lastDone below
	k.headLimit.remaining = -1
	go func() {
		defer close(readEnded)
		if k.ctx.Err() != nil {
			return
		}
		// Any error means that the connection ended.
		if _, err := io.CopyN(io.Discard, k.in, maxDiscardedBytes); err == nil {
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
	_ = k.netConn.SetReadDeadline(time.Now().Add(positiveOr(k.server.HeadTimeout, DefaultHeadTimeout)))
	k.headLimit.remaining = int64(positiveOr(k.server.MaxHeadBytes, DefaultMaxHeadBytes))
	req, err := http.ReadRequest(k.in)
	k.headLimit.remaining = -1
	if err != nil {
		k.setReading(false)
		k.handleReadError(err)
		return false
	}
	if reason := invalidReason(req); reason != "" {
		k.setReading(false)
		k.refuse(http.StatusBadRequest, reason)
		return false
	}
	return k.start(req)
}

// awaitRequest waits for the first byte of a request and returns false when the
// connection ends instead. The idle timeout applies only while no request is in
// flight.
func (k *conn) awaitRequest() bool {
	for {
		k.setIdleDeadline()
		_, err := k.in.Peek(1)
		switch {
		case err == nil:
			return true
		case errors.Is(err, os.ErrDeadlineExceeded):
			if k.idle() || k.isDraining() {
				return false
			}
		default:
			k.cancel() // the caller closed the connection
			return false
		}
	}
}

// setIdleDeadline sets the read deadline for the wait for a request: the idle
// timeout, none while requests are in flight, or now when draining.
func (k *conn) setIdleDeadline() {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.draining {
		_ = k.netConn.SetReadDeadline(time.Now())
		return
	}
	if len(k.unanswered) > 0 {
		_ = k.netConn.SetReadDeadline(time.Time{})
		return
	}
	_ = k.netConn.SetReadDeadline(time.Now().Add(positiveOr(k.server.IdleTimeout, DefaultIdleTimeout)))
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
	k.reading = !k.draining
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
	if buffered && req.ContentLength > 0 {
		b, err := io.ReadAll(req.Body)
		if err != nil {
			k.setReading(false)
			k.cancel()
			return false
		}
		req.Body = io.NopCloser(bytes.NewReader(b))
	}
	select {
	case k.slots <- struct{}{}:
	case <-k.ctx.Done():
		return false
	}
	var body *streamedBody
	if !buffered {
		body = &streamedBody{ReadCloser: req.Body, ended: make(chan struct{})}
		req.Body = body
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
			k.netConn.Close()
		}
		k.markAnswered(w)
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

// restartIdleTimeout sets the idle timeout when no request is in flight.
func (k *conn) restartIdleTimeout() {
	k.mu.Lock()
	defer k.mu.Unlock()
	if len(k.unanswered) == 0 && !k.reading && !k.draining {
		_ = k.netConn.SetReadDeadline(time.Now().Add(positiveOr(k.server.IdleTimeout, DefaultIdleTimeout)))
	}
}

// handleReadError handles a failed read of a request. It refuses a request that
// is malformed or too large, and cancels the connection when it broke.
func (k *conn) handleReadError(err error) {
	switch {
	case errors.Is(err, errHeadTooLarge):
		k.refuse(http.StatusRequestHeaderFieldsTooLarge, "the request head is too large")
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, os.ErrDeadlineExceeded):
		k.cancel()
	default:
		var ne net.Error
		if errors.As(err, &ne) || errors.Is(err, net.ErrClosed) {
			k.cancel()
			return
		}
		k.refuse(http.StatusBadRequest, "the request is malformed")
	}
}

// refuse answers an invalid request after all earlier ones and then closes the
// connection.
func (k *conn) refuse(status int, reason string) {
	w := k.enqueue(&http.Request{Method: http.MethodGet, ProtoMajor: 1, ProtoMinor: 1, Header: http.Header{}}, nil)
	w.close = true
	k.slots <- struct{}{}
	go func() {
		defer func() { <-k.slots }()
		if k.begin(w) {
			http.Error(w, reason, status)
			w.finish()
		} else {
			w.awaitTurn()
		}
		k.markAnswered(w)
		close(w.done)
	}()
}
