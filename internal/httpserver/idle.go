package httpserver

import (
	"bufio"
	"errors"
	"io"
	"os"
	"sync"
	"time"
)

// releaseAfter is how long an idle connection keeps its buffers.
const releaseAfter = time.Second

var (
	readers = sync.Pool{New: func() any { return bufio.NewReader(nil) }}
	writers = sync.Pool{New: func() any { return bufio.NewWriter(nil) }}
)

// awaitRequest waits for the first byte of a request and returns false when the
// connection ends instead. The idle timeout applies only while no request is in
// flight.
func (k *conn) awaitRequest() bool {
	for {
		k.setIdleDeadline()
		err := k.awaitByte()
		switch {
		case err == nil:
			return true
		case errors.Is(err, os.ErrDeadlineExceeded):
			if k.isDraining() || k.idleTimeoutPassed() {
				return false
			}
			k.releaseBuffers()
		default:
			k.cancel() // the caller closed the connection
			return false
		}
	}
}

// awaitByte waits for a byte to read. Without buffers it reads one byte, so that
// an idle connection needs none.
func (k *conn) awaitByte() error {
	if k.in == nil {
		if err := k.reader.readFirst(); err != nil {
			return err
		}
		k.in = readers.Get().(*bufio.Reader)
		k.in.Reset(k.reader)
	}
	_, err := k.in.Peek(1)
	return err
}

// setIdleDeadline sets the read deadline for the wait for a request: the idle
// timeout, none while requests are in flight, or now when draining. A connection
// with buffers wakes up earlier to release them.
func (k *conn) setIdleDeadline() {
	k.mu.Lock()
	defer k.mu.Unlock()
	switch {
	case k.draining:
		_ = k.netConn.SetReadDeadline(time.Now())
	case len(k.unanswered) > 0:
		_ = k.netConn.SetReadDeadline(time.Time{})
	case k.in != nil:
		_ = k.netConn.SetReadDeadline(time.Now().Add(min(releaseAfter, k.idleTimeout())))
	default:
		_ = k.netConn.SetReadDeadline(k.idleSince.Add(k.idleTimeout()))
	}
}

func (k *conn) idleTimeout() time.Duration {
	return positiveOr(k.server.IdleTimeout, DefaultIdleTimeout)
}

// idleTimeoutPassed reports whether the connection was idle for the idle timeout.
func (k *conn) idleTimeoutPassed() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.unanswered) == 0 && !k.reading && time.Since(k.idleSince) >= k.idleTimeout()
}

// releaseBuffers returns the buffers of an idle connection.
func (k *conn) releaseBuffers() {
	k.mu.Lock()
	defer k.mu.Unlock()
	if len(k.unanswered) > 0 || k.reading || k.in == nil || k.in.Buffered() > 0 {
		return
	}
	k.in.Reset(nil)
	readers.Put(k.in)
	k.in = nil
	if k.out != nil {
		k.out.Reset(nil)
		writers.Put(k.out)
		k.out = nil
	}
}

// unread returns what was not read yet.
func (k *conn) unread() io.Reader {
	if k.in == nil {
		return k.reader
	}
	return k.in
}

// restartIdleTimeout sets the idle timeout when no request is in flight.
func (k *conn) restartIdleTimeout() {
	k.mu.Lock()
	defer k.mu.Unlock()
	if len(k.unanswered) == 0 && !k.reading && !k.draining {
		k.idleSince = time.Now()
		_ = k.netConn.SetReadDeadline(k.idleSince.Add(min(releaseAfter, k.idleTimeout())))
	}
}
