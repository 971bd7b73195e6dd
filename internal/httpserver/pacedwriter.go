package httpserver

import (
	"errors"
	"os"
	"time"
)

// writer writes to a connection and bounds the time that its reader takes.
type writer struct {
	conn *conn
	pace pace
	// since is when the present write began, zero when there is none. cut is true
	// when the write was interrupted for others. conn.mu guards both.
	since time.Time
	cut   bool
}

func (w *writer) Write(b []byte) (int, error) {
	w.mark(time.Now())
	defer w.mark(time.Time{})
	written := 0
	for {
		if err := w.arm(); err != nil {
			return written, err
		}
		begun := time.Now()
		n, err := w.conn.netConn.Write(b[written:])
		w.pace.waited += time.Since(begun)
		w.pace.bytes += int64(n)
		written += n
		if err == nil || !errors.Is(err, os.ErrDeadlineExceeded) {
			return written, err
		}
	}
}

// arm sets the write deadline, or returns why no more may be written.
func (w *writer) arm() error {
	left := w.pace.left(w.conn.server)
	w.conn.mu.Lock()
	defer w.conn.mu.Unlock()
	if w.cut {
		return os.ErrDeadlineExceeded
	}
	if left <= 0 {
		w.conn.server.refused(RefusedReader)
		return os.ErrDeadlineExceeded
	}
	return w.conn.netConn.SetWriteDeadline(time.Now().Add(left))
}

func (w *writer) mark(since time.Time) {
	w.conn.mu.Lock()
	defer w.conn.mu.Unlock()
	w.since = since
}
