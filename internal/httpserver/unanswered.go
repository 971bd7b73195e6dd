package httpserver

import (
	"bufio"
	"context"
	"net/http"
	"slices"
	"time"
)

// Unanswered is a request that was read but not answered yet.
type Unanswered struct {
	// ID is the value of Server.IDHeader, RemoteAddr the caller's end of the
	// connection.
	ID, RemoteAddr string
	// Before is the number of earlier requests of its connection that are not
	// answered yet. Their responses come first.
	Before int
	// Held is true if its response is ready and waits for them.
	Held bool
}

// enqueue returns a writer whose response follows those to all earlier requests.
// body is nil if the request's body was buffered.
func (k *conn) enqueue(req *http.Request, body *streamedBody) *responseWriter {
	parent, owner := k.requestContext()
	ctx, cancel := context.WithCancelCause(parent)
	k.mu.Lock()
	defer k.mu.Unlock()
	w := &responseWriter{
		conn: k, header: http.Header{}, previousDone: k.lastDone, done: make(chan struct{}), cancel: cancel,
		body: body, close: req.Close || !req.ProtoAtLeast(1, 1), owner: owner,
	}
	if k.out == nil {
		k.out = writers.Get().(*bufio.Writer)
		k.out.Reset(k.writer)
	}
	w.request = req.WithContext(ctx)
	k.lastDone = w.done
	k.received++
	w.number, w.id = k.received, req.Header.Get(k.server.IDHeader)
	k.unanswered = append(k.unanswered, w)
	k.reading = false
	return w
}

// begin reports whether a request may run. Behind a response that is streamed it waits
// for its turn.
func (k *conn) begin(w *responseWriter) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	for k.streaming != nil && w.Held() {
		k.mu.Unlock()
		w.awaitTurn()
		k.mu.Lock()
	}
	if k.closing {
		return false
	}
	k.begun = max(k.begun, w.number)
	return true
}

// closeAfter makes a response the last one of the connection, unless a later
// request has begun to run, and reports whether it did.
func (k *conn) closeAfter(w *responseWriter) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.begun > w.number {
		return false
	}
	k.closing, k.draining = true, true
	return true
}

// startStream records that a response is to be written while its body still arrives,
// and reports whether no later request has begun to run.
func (k *conn) startStream(w *responseWriter) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.streaming = w
	return k.begun <= w.number
}

// closeIfIdle ends the reading of an idle connection, so that it closes, and that of
// a request which takes longer than the head timeout to arrive. A request that
// arrives at the same moment is either read and answered or not read.
func (k *conn) closeIfIdle() {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.reading && time.Since(k.readingSince) > positiveOr(k.server.HeadTimeout, DefaultHeadTimeout) {
		k.interrupted = true
		_ = k.netConn.SetReadDeadline(time.Now())
	}
	if len(k.unanswered) == 0 && !k.reading && !k.draining {
		k.draining = true
		_ = k.netConn.SetReadDeadline(time.Now()) // unblocks the pending read
	}
}

// abort cancels the unanswered requests with ErrAborted.
func (k *conn) abort() {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, w := range k.unanswered {
		w.cancel(ErrAborted)
	}
}

// markAnswered removes a request whose response was written or abandoned.
func (k *conn) markAnswered(w *responseWriter) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.unanswered = slices.DeleteFunc(k.unanswered, func(o *responseWriter) bool { return o == w })
	if k.streaming == w {
		k.streaming = nil
	}
}

// listUnanswered returns the requests that were read but not answered yet.
func (k *conn) listUnanswered() []Unanswered {
	k.mu.Lock()
	defer k.mu.Unlock()
	out := make([]Unanswered, len(k.unanswered))
	for i, w := range k.unanswered {
		out[i] = Unanswered{ID: w.id, RemoteAddr: w.request.RemoteAddr, Before: i, Held: w.held.Load()}
	}
	return out
}
