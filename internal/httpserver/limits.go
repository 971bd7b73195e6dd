package httpserver

import (
	"time"

	"github.com/zinniaproxy/zinniaproxy/internal/accountant"
)

// Kinds of refusals, for Server.Refused.
const (
	// RefusedMemory is a request without room in the account.
	RefusedMemory = "memory"
	// RefusedEvicted is a connection that was closed to make room in the account.
	RefusedEvicted = "evicted"
	// RefusedConnection is a new connection above the limit of connections, and
	// RefusedCrowded an open one that was closed for it.
	RefusedConnection = "connection"
	RefusedCrowded    = "crowded"
	// RefusedSender and RefusedReader are clients below the minimum transfer rate.
	RefusedSender = "sender"
	RefusedReader = "reader"
	// RefusedHead is a request head above its limit.
	RefusedHead = "head"
)

// RefusalKinds returns all kinds of refusals.
func RefusalKinds() []string {
	return []string{RefusedMemory, RefusedEvicted, RefusedConnection, RefusedCrowded, RefusedSender, RefusedReader, RefusedHead}
}

const (
	// minStalledTime is how long a connection must have been waited for before it
	// can be closed for others: an honest request has arrived by then.
	minStalledTime = 100 * time.Millisecond
	// victimSample bounds the connections among which one is chosen.
	victimSample = 64
	// evictionsAtOnce bounds the connections closed at one call for relief.
	evictionsAtOnce = 4
)

// connectionsGroup is the group of the account for what clients hold before their
// workspace is known, and connectionsShare the share of the account that it may hold.
const (
	connectionsGroup = "unauthenticated clients"
	connectionsShare = 0.5
)

// refused counts a refusal.
func (s *Server) refused(kind string) {
	if s.Refused != nil {
		s.Refused(kind)
	}
}

func (s *Server) newOwner() *accountant.Owner {
	if s.Group == "" {
		return s.Account.Member(connectionsGroup, connectionsShare)
	}
	return s.Account.Member(s.Group, s.GroupShare)
}

// add starts to serve a connection, unless there are too many and none can be
// closed for it.
func (s *Server) add(k *conn) bool {
	if s.MaxConns > 0 && s.OpenConns() >= s.MaxConns && !s.closeForNew() {
		s.refused(RefusedConnection)
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conns == nil {
		s.conns = map[*conn]bool{}
	}
	s.conns[k] = true
	return true
}

// closeForNew closes a connection to make room for a new one: the one that has been
// idle for longest, else the one that has made least progress. It reports whether it
// did.
func (s *Server) closeForNew() bool {
	var victim *conn
	best := time.Duration(0)
	for _, k := range s.sample() {
		// Any idle connection goes before one that sends a request or reads a response.
		since, idle := k.stalledSince()
		stalled := time.Since(since)
		if since.IsZero() || !idle && stalled < minStalledTime {
			continue
		}
		if idle {
			stalled += time.Hour
		}
		if stalled > best {
			victim, best = k, stalled
		}
	}
	if victim == nil {
		return false
	}
	s.refused(RefusedCrowded)
	victim.kill()
	return true
}

// sample returns some of the connections, in random order.
func (s *Server) sample() []*conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]*conn, 0, victimSample)
	for k := range s.conns {
		if len(out) == cap(out) {
			break
		}
		out = append(out, k)
	}
	return out
}

// relieve interrupts connections that hold much for long while their clients are
// waited for.
func (s *Server) relieve() {
	for range evictionsAtOnce {
		var victim *conn
		best := 0.0
		for _, k := range s.openConns() {
			since, idle := k.stalledSince()
			stalled := time.Since(since)
			if idle || since.IsZero() || stalled < minStalledTime {
				continue
			}
			if score := stalled.Seconds() * float64(k.heldBytes()); score > best {
				victim, best = k, score
			}
		}
		if victim == nil {
			return
		}
		s.refused(RefusedEvicted)
		victim.evict()
	}
}

// stalledSince returns since when the client has been waited for: for the rest of a
// request, to read a response, or for a new request if idle. It is zero if the
// client waits for the server.
func (k *conn) stalledSince() (since time.Time, idle bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	switch {
	case k.evicted:
		return time.Time{}, false
	case !k.writer.since.IsZero():
		return k.writer.since, false
	case !k.reader.since.IsZero():
		return k.reader.since, false
	case len(k.unanswered) == 0 && !k.reading && !k.draining:
		return k.idleSince, true
	}
	return time.Time{}, false
}

// heldBytes returns what an interruption would release: what all requests of the
// connection hold if a response is being written, else what the one that arrives
// holds.
func (k *conn) heldBytes() int64 {
	k.mu.Lock()
	owners := []*accountant.Owner{k.reader.owner}
	if !k.writer.since.IsZero() {
		owners = owners[:0]
		for _, w := range k.unanswered {
			owners = append(owners, w.owner)
		}
	}
	k.mu.Unlock()
	held := int64(0)
	for _, o := range owners {
		held += o.Held()
	}
	return held
}

// evict interrupts a connection whose client is waited for. A request that has not
// arrived is refused, and a response that is being written is cut.
func (k *conn) evict() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.evicted, k.interrupted = true, true
	_ = k.netConn.SetReadDeadline(time.Now())
	if !k.writer.since.IsZero() {
		k.writer.cut = true
		_ = k.netConn.SetWriteDeadline(time.Now())
	}
}

func (k *conn) isEvicted() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.evicted
}

func (k *conn) isInterrupted() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.interrupted
}

// kill closes a connection at once.
func (k *conn) kill() {
	k.mu.Lock()
	k.evicted, k.interrupted, k.draining = true, true, true
	k.mu.Unlock()
	k.cancel()
	k.closeNow()
	k.server.remove(k)
}
