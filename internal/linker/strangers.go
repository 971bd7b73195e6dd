package linker

import (
	"net"
	"slices"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/zinniaproxy/zinniaproxy/internal/tracer"
)

// Kinds of refusals, for Linker.Refused.
const (
	// RefusedStranger is a connection that was not authenticated, and
	// RefusedHandshake one that was closed since there were too many handshakes.
	RefusedStranger  = "stranger"
	RefusedHandshake = "handshake"
)

const (
	// DefaultMaxHandshakes is the default of Linker.MaxHandshakes.
	DefaultMaxHandshakes = 64
	// acceptRetryDelay is the pause after a failed accept, for example when the
	// process is out of file descriptors.
	acceptRetryDelay = 20 * time.Millisecond
	// refusalsLogged events of refused connections are recorded at once, then one in
	// each refusalLogInterval.
	refusalsLogged     = 16
	refusalLogInterval = time.Second
)

// handshakes are the accepted connections that are not authenticated yet.
type handshakes struct {
	// log bounds the events of refused connections.
	log rate.Sometimes

	mu sync.Mutex
	// conns are in the order in which they were accepted.
	conns []net.Conn
}

func (l *Linker) accept(conn net.Conn) {
	l.beginHandshake(conn)
	reader, peer, err := l.handshake(conn, false)
	if l.endHandshake(conn, err); err != nil {
		return
	}
	l.addLink(newLink(l, peer, conn, reader, false))
}

// beginHandshake adds a connection. Above the limit it closes the oldest one: a peer
// needs a few round trips, so that a crowd of strangers which send nothing cannot
// keep peers out.
func (l *Linker) beginHandshake(conn net.Conn) {
	h := &l.handshakes
	h.mu.Lock()
	defer h.mu.Unlock()
	limit := l.MaxHandshakes
	if limit <= 0 {
		limit = DefaultMaxHandshakes
	}
	if len(h.conns) >= limit {
		h.conns[0].Close()
		h.conns = slices.Delete(h.conns, 0, 1)
		l.refused(RefusedHandshake)
	}
	h.conns = append(h.conns, conn)
}

// endHandshake removes a connection, and closes it if its handshake failed.
func (l *Linker) endHandshake(conn net.Conn, err error) {
	h := &l.handshakes
	h.mu.Lock()
	h.conns = slices.DeleteFunc(h.conns, func(c net.Conn) bool { return c == conn })
	h.mu.Unlock()
	if err == nil {
		return
	}
	conn.Close()
	l.refused(RefusedStranger)
	h.log.Do(func() { l.Tracer.Add(tracer.Event{Kind: "link-refused", Detail: err.Error()}) })
}

func (l *Linker) refused(kind string) {
	if l.Refused != nil {
		l.Refused(kind)
	}
}
