package exithandler

import (
	"errors"
	"io"
	"net"
	"sync"
)

// errBrokenRequest ends a response whose connection ended before the request was
// written whole.
var errBrokenRequest = errors.New("connection ended before the request was written")

// headEnd ends the head of a request.
const headEnd = "\r\n\r\n"

// uploadConn tells the end of a response from a connection that was reset while the
// request was being written. The kernel reports a reset once: if that is to the
// writer, the reader gets what looks like an orderly end, which ends a response
// without a length.
type uploadConn struct {
	net.Conn

	mu sync.Mutex
	// matched is how much of headEnd the bytes written so far end with, and
	// remaining how many bytes of the body are to be written after the head.
	matched   int
	remaining int64
	// failed is set when a write failed or the connection was closed.
	failed bool
	// settled is closed when the request was written whole, or failed is set.
	settled chan struct{}
}

func newUploadConn(c net.Conn) *uploadConn {
	return &uploadConn{Conn: c, settled: make(chan struct{})}
}

// beginRequest is called before a request with a body of a length in bytes is
// written.
func (c *uploadConn) beginRequest(body int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.matched, c.remaining = 0, body
	if !c.failed {
		c.settled = make(chan struct{})
	}
}

// Write writes a part of the request.
func (c *uploadConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.count(b[:n])
	if err != nil {
		c.fail()
	}
	return n, err
}

// count notes the written bytes. The caller holds the lock.
func (c *uploadConn) count(written []byte) {
	if c.isWritten() {
		return
	}
	for len(written) > 0 && c.matched < len(headEnd) {
		switch written[0] {
		case headEnd[c.matched]:
			c.matched++
		case headEnd[0]:
			c.matched = 1
		default:
			c.matched = 0
		}
		written = written[1:]
	}
	c.remaining -= int64(len(written))
	if c.isWritten() && !c.failed {
		close(c.settled)
	}
}

// isWritten reports whether the request was written whole. The caller holds the
// lock.
func (c *uploadConn) isWritten() bool { return c.matched == len(headEnd) && c.remaining <= 0 }

// fail records that the rest of the request is not written. The caller holds the
// lock.
func (c *uploadConn) fail() {
	if c.failed {
		return
	}
	c.failed = true
	if !c.isWritten() {
		close(c.settled)
	}
}

// Close closes the connection.
func (c *uploadConn) Close() error {
	c.mu.Lock()
	c.fail()
	c.mu.Unlock()
	return c.Conn.Close()
}

// checkEnd returns the error of a response that ends with its connection: io.EOF, or
// errBrokenRequest if the request could not be written whole. A target may end its
// response and read on, so that it waits for the writer.
func (c *uploadConn) checkEnd() error {
	c.mu.Lock()
	settled := c.settled
	c.mu.Unlock()
	<-settled
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.isWritten() {
		return errBrokenRequest
	}
	return io.EOF
}
