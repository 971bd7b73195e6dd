package httpserver

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/zinniaproxy/zinniaproxy/internal/accountant"
)

const (
	// requestBytes is what a request takes besides its head, body and response: the
	// stacks of its goroutines, buffers and copies of its head.
	requestBytes = 32 << 10
	// headLineBytes is what a line of a head takes once it is parsed, as a field of
	// maps and lists, besides its own bytes.
	headLineBytes = 256
)

// errHeadTooLarge is returned by reader when a request's head exceeds the limit.
var errHeadTooLarge = errors.New("httpserver: request head is too large")

// pace measures whether the other end sends or reads fast enough: the time that it
// was waited for may be Server.RateTime plus the time that the bytes take at
// Server.MinRate.
type pace struct {
	waited time.Duration
	bytes  int64
}

// left returns how much longer the other end may be waited for.
func (p *pace) left(s *Server) time.Duration {
	rate := int64(positiveOr(s.MinRate, DefaultMinRate))
	return positiveOr(s.RateTime, DefaultRateTime) + time.Duration(p.bytes*int64(time.Second)/rate) - p.waited
}

// reader reads from a connection. It bounds the bytes of a head, reserves what
// they take, and bounds the time that a request takes to arrive.
type reader struct {
	conn *conn
	// first is a byte that was read ahead, if hasFirst.
	first    [1]byte
	hasFirst bool
	// headRemaining is how many bytes of a head may still be read; below 0 no head
	// is read.
	headRemaining int64
	// failure is why the head could not be read further, nil if it could. The parser
	// takes the part of a line before it for a malformed line.
	failure error
	// headCost is what was reserved for the head.
	headCost int64
	// timed is true while the head or body of a request is read.
	timed bool
	pace  pace
	// limit is the handler's read deadline, zero for none. conn.mu guards it.
	limit time.Time
	// since is when the present request began to arrive, zero when none does, and
	// owner its account. conn.mu guards both.
	since time.Time
	owner *accountant.Owner
}

// beginRequest starts the head of a request, of which ahead bytes were read.
func (r *reader) beginRequest(maxHead int64, ahead int) {
	r.headRemaining, r.headCost, r.failure, r.timed, r.pace = maxHead, 0, nil, true, pace{bytes: int64(ahead)}
	r.conn.mu.Lock()
	defer r.conn.mu.Unlock()
	r.limit, r.since, r.owner = time.Time{}, time.Now(), r.conn.next
}

func (r *reader) endHead() { r.headRemaining = -1 }

// endRequest is called when a request has arrived, or is given up.
func (r *reader) endRequest() {
	r.headRemaining, r.timed = -1, false
	r.conn.mu.Lock()
	defer r.conn.mu.Unlock()
	r.since, r.owner = time.Time{}, nil
}

// readFirst reads one byte, which Read returns again.
func (r *reader) readFirst() error {
	if r.hasFirst {
		return nil
	}
	n, err := r.conn.netConn.Read(r.first[:])
	r.hasFirst = n > 0
	if r.hasFirst {
		return nil
	}
	return err
}

func (r *reader) Read(b []byte) (int, error) {
	switch {
	case r.hasFirst:
		r.hasFirst = false
		return copy(b, r.first[:]), nil
	case r.headRemaining == 0:
		r.failure = errHeadTooLarge
		return 0, r.failure
	case r.headRemaining > 0:
		n, err := r.readTimed(b[:min(int64(len(b)), r.headRemaining)])
		r.headRemaining -= int64(n)
		if err == nil {
			err = r.reserveHead(int64(n + headLineBytes*bytes.Count(b[:n], []byte("\n"))))
		}
		r.failure = err
		return n, err
	case r.timed:
		return r.readTimed(b)
	}
	return r.conn.netConn.Read(b)
}

func (r *reader) reserveHead(cost int64) error {
	err := r.conn.reserve(cost)
	if err == nil {
		r.headCost += cost
	}
	return err
}

// readTimed reads, for no longer than the request may take to arrive.
func (r *reader) readTimed(b []byte) (int, error) {
	for {
		if err := r.arm(); err != nil {
			return 0, err
		}
		begun := time.Now()
		n, err := r.conn.netConn.Read(b)
		r.pace.waited += time.Since(begun)
		r.pace.bytes += int64(n)
		if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
			return n, err
		}
	}
}

// arm sets the read deadline, or returns why no more may be read.
func (r *reader) arm() error {
	k := r.conn
	left := r.pace.left(k.server)
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.evicted {
		return accountant.Overloaded()
	}
	deadline := time.Now().Add(left)
	if !r.limit.IsZero() && r.limit.Before(deadline) {
		deadline = r.limit
	}
	if k.interrupted || !time.Now().Before(deadline) {
		return os.ErrDeadlineExceeded
	}
	return k.netConn.SetReadDeadline(deadline)
}

// reserve reserves bytes for the request that is read. While earlier requests of
// the connection run it waits for them, and reads nothing more meanwhile.
func (k *conn) reserve(n int64) error {
	for {
		err := k.server.Account.Wait(k.ctx, k.next, n)
		if err == nil || k.ctx.Err() != nil || k.isEvicted() || k.nothingRuns() {
			return err
		}
	}
}

// nothingRuns reports whether no request is in flight.
func (k *conn) nothingRuns() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.unanswered) == 0
}

// reserveRequest reserves what a request takes and reads its body if that is to be
// buffered.
func (k *conn) reserveRequest(req *http.Request, buffered bool) error {
	lines, size := 1, len(req.RequestURI)
	for name, values := range req.Header {
		lines += len(values)
		for _, v := range values {
			size += len(name) + len(v)
		}
	}
	// The bytes read ahead with the head are not all of it, and those before it may
	// have come with the request before.
	cost := int64(requestBytes + size + lines*headLineBytes)
	k.server.Account.Release(k.next, k.reader.headCost)
	if err := k.reserve(cost); err != nil {
		return err
	}
	if !buffered || req.ContentLength == 0 {
		return nil
	}
	b, err := k.server.Account.ReadAll(k.ctx, k.next, req.Body, req.ContentLength, maxBufferedBodyBytes)
	if err != nil {
		return err
	}
	req.Body = NewBufferedBody(b)
	return nil
}

// BufferedBody is a request body that was read whole.
type BufferedBody struct {
	bytes.Reader
	whole []byte
}

// NewBufferedBody returns a body with the bytes b.
func NewBufferedBody(b []byte) *BufferedBody {
	body := &BufferedBody{whole: b}
	body.Reset(b)
	return body
}

// Bytes returns the whole body, which must not be changed.
func (b *BufferedBody) Bytes() []byte { return b.whole }

// Close implements io.Closer.
func (b *BufferedBody) Close() error { return nil }

var _ io.ReadCloser = (*BufferedBody)(nil)

// requestContext returns the context of a request that is enqueued, and takes over
// its account.
func (k *conn) requestContext() (context.Context, *accountant.Owner) {
	o := k.next
	k.next = nil
	return accountant.NewContext(k.ctx, o), o
}
