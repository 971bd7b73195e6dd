package httpserver

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/zinniaproxy/zinniaproxy/internal/accountant"
)

// responseWriter writes the response to one request after all earlier responses
// of its connection.
type responseWriter struct {
	conn    *conn
	request *http.Request
	header  http.Header
	// previousDone is closed when all earlier responses are written, and done
	// when this one is.
	previousDone, done chan struct{}
	cancel             context.CancelCauseFunc
	// owner is the request's account.
	owner *accountant.Owner
	// number counts the requests of the connection from 1. id is the request's ID;
	// the handler may change the header that it comes from.
	number int
	id     string
	// body is the request body that the handler reads from the connection, nil
	// when the body was buffered.
	body *streamedBody
	// close is true when the connection closes after this response, and
	// truncated when the response is incomplete.
	close, truncated bool

	// held is true while a response that is ready waits for its turn.
	held atomic.Bool

	headWritten, chunked bool
	status               int
	// remaining is the number of body bytes still to be written, or -1 when the
	// length is unknown.
	remaining int64
}

// Header implements http.ResponseWriter.
func (w *responseWriter) Header() http.Header { return w.header }

// awaitTurn waits until all earlier responses are written or abandoned.
func (w *responseWriter) awaitTurn() {
	select {
	case <-w.previousDone:
	case <-w.conn.ctx.Done():
		<-w.previousDone // closes soon, as the earlier requests are canceled too
	}
}

// Held reports whether responses to earlier requests of the connection must be
// written before this one.
func (w *responseWriter) Held() bool {
	select {
	case <-w.previousDone:
		return false
	default:
		return true
	}
}

// StartStream is called before a response is written whose body still arrives and may
// break off, which ends the connection. It reports whether that would end no other
// request: none behind it has begun to run, and none will until the response ends.
func (w *responseWriter) StartStream() bool { return w.conn.startStream(w) }

// SetReadDeadline sets the deadline of further reads of the request body. It does
// nothing once the body was read.
func (w *responseWriter) SetReadDeadline(t time.Time) error {
	if w.body == nil {
		return nil
	}
	select {
	case <-w.body.ended:
		return nil
	default:
		w.conn.mu.Lock()
		defer w.conn.mu.Unlock()
		w.conn.reader.limit = t
		return nil
	}
}

// WriteHeader implements http.ResponseWriter.
func (w *responseWriter) WriteHeader(status int) {
	if w.headWritten {
		return
	}
	w.held.Store(w.Held())
	w.awaitTurn()
	w.held.Store(false)
	w.headWritten, w.status = true, status
	w.setFraming()
	w.conn.writer.pace = pace{}
	o := w.conn.out
	_, _ = o.WriteString("HTTP/1.1 " + strconv.Itoa(status) + " " + http.StatusText(status) + "\r\n")
	_ = w.header.Write(o)
	_, _ = o.WriteString("\r\n")
}

// setFraming decides how the end of the response is marked: by its length, by
// chunked encoding or by closing the connection.
func (w *responseWriter) setFraming() {
	h := w.header
	if h.Get("Date") == "" {
		h.Set("Date", time.Now().UTC().Format(http.TimeFormat))
	}
	h.Del("Transfer-Encoding")
	w.remaining = -1
	switch {
	case w.bodiless():
		w.remaining = 0
	case h.Get("Content-Length") != "":
		n, err := strconv.ParseInt(h.Get("Content-Length"), 10, 64)
		if err == nil && n >= 0 {
			w.remaining = n
		}
	case w.request.ProtoAtLeast(1, 1):
		w.chunked = true
		h.Set("Transfer-Encoding", "chunked")
	default:
		w.close = true
		w.conn.undelimited.Store(true)
	}
	if !w.close && (h.Get("Connection") == "close" || w.conn.server.shuttingDown()) {
		w.close = w.conn.closeAfter(w)
	}
	h.Del("Connection")
	if w.close {
		h.Set("Connection", "close")
	}
}

func (w *responseWriter) bodiless() bool {
	return w.request.Method == http.MethodHead || w.status == http.StatusNoContent ||
		w.status == http.StatusNotModified || w.status < http.StatusOK
}

// Write implements http.ResponseWriter.
func (w *responseWriter) Write(b []byte) (int, error) {
	if !w.headWritten {
		w.WriteHeader(http.StatusOK)
	}
	if w.bodiless() || len(b) == 0 {
		return len(b), nil
	}
	if w.remaining >= 0 && int64(len(b)) > w.remaining {
		return 0, http.ErrContentLength
	}
	o := w.conn.out
	if w.chunked {
		_, _ = o.WriteString(strconv.FormatInt(int64(len(b)), 16) + "\r\n")
	}
	n, err := o.Write(b)
	if w.chunked && err == nil {
		_, err = o.WriteString("\r\n")
	}
	if w.remaining >= 0 {
		w.remaining -= int64(n)
	}
	if err != nil {
		w.truncated = true
	}
	return n, err
}

// Flush implements http.Flusher.
func (w *responseWriter) Flush() {
	if !w.headWritten {
		w.WriteHeader(http.StatusOK)
	}
	if w.conn.out.Flush() != nil {
		w.truncated = true
	}
}

// finish completes the response. A response shorter than its Content-Length is
// marked truncated, so that its connection is closed and the caller detects it.
func (w *responseWriter) finish() {
	if w.request.Context().Err() != nil && !w.headWritten {
		w.awaitTurn()
		w.truncated = true
		return
	}
	if !w.headWritten {
		w.WriteHeader(http.StatusOK)
	}
	if w.chunked {
		_, _ = w.conn.out.WriteString("0\r\n\r\n")
	}
	if w.conn.out.Flush() != nil || w.remaining > 0 {
		w.truncated = true
	}
	if !w.truncated {
		w.conn.undelimited.Store(false)
	}
	if w.close {
		w.conn.mu.Lock()
		w.conn.draining, w.conn.interrupted = true, true
		w.conn.mu.Unlock()
		_ = w.conn.netConn.SetReadDeadline(time.Now()) // unblocks the pending read
	}
}

// drainBody discards the rest of a short request body and reports whether its
// end was reached, so that the next request can be read.
func (w *responseWriter) drainBody() bool {
	n, err := io.CopyN(io.Discard, w.request.Body, maxBufferedBodyBytes)
	return err == io.EOF && n < maxBufferedBodyBytes //nolint:errorlint // io.Copy returns it bare
}

// streamedBody is a request body that is read from the connection.
type streamedBody struct {
	io.ReadCloser
	// ended is closed when the body was read to its end or an error. Then complete
	// tells whether the next request may be read.
	ended chan struct{}
	// arrived is called then.
	arrived  func()
	once     sync.Once
	complete bool
}

// Read reads from the body and detects its end.
func (b *streamedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil {
		b.once.Do(func() {
			b.complete = err == io.EOF
			b.arrived()
			close(b.ended)
		})
	}
	return n, err
}

// continueBody is the body of a request with "Expect: 100-continue".
type continueBody struct {
	io.ReadCloser
	writer  *responseWriter
	started bool
}

// Read sends 100 Continue before the first read, unless the response has begun.
func (c *continueBody) Read(b []byte) (int, error) {
	if !c.started {
		c.started = true
		if c.writer.awaitTurn(); !c.writer.headWritten {
			_, _ = c.writer.conn.out.WriteString("HTTP/1.1 100 Continue\r\n\r\n")
			_ = c.writer.conn.out.Flush() // the read below reports a broken connection
		}
	}
	return c.ReadCloser.Read(b)
}
