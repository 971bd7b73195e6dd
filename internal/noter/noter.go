// Package noter keeps, at an entry node, what targets stated about themselves in
// the responses that this node received. The exit node beside a target decides by
// the same statements; the notes outlast its restarts.
package noter

import (
	"strconv"
	"sync"
	"time"

	"github.com/zinniaproxy/zinniaproxy/internal/messenger"
)

const (
	// retention is how long a note is kept after the last response. Targets that
	// leave serve for some seconds more, at times many.
	retention = 2 * time.Minute
	// minSweepInterval is the least time between two sweeps for old notes.
	minSweepInterval = 10 * time.Second
)

// Noter keeps the notes of one entry node. The zero value is ready for use.
type Noter struct {
	mu sync.Mutex
	// notes holds the targets that state a rate or that they leave, by process.
	notes     map[string]note
	lastSweep time.Time
}

type note struct {
	statement messenger.Statement
	// start is that of the target's process, 0 if it was not known.
	start     uint64
	expiresAt time.Time
}

// process returns a name of a target's process that stays the same when the node
// beside it restarts. An instance that starts again may have the same name; its
// notes are told apart by their start.
func process(t messenger.Target) string {
	if t.Instance != "" {
		return t.Instance
	}
	return t.Name + "/" + strconv.FormatUint(t.Start, 36)
}

// Record notes what a target states. A process that leaves never returns.
func (n *Noter) Record(t messenger.Target, st messenger.Statement) {
	now, name := time.Now(), process(t)
	n.mu.Lock()
	defer n.mu.Unlock()
	old, start := n.notes[name], t.Start
	switch {
	case isOtherProcess(old, t) && start < old.start:
		return // of a process that has ended
	case isOtherProcess(old, t):
		old = note{}
	case start == 0:
		start = old.start
	}
	st.Leaving = st.Leaving || old.statement.Leaving
	if st == (messenger.Statement{}) {
		delete(n.notes, name)
		return
	}
	if n.notes == nil {
		n.notes = map[string]note{}
	}
	n.notes[name] = note{st, start, now.Add(retention)}
	n.sweep(now)
}

// isOtherProcess reports whether a note is certainly of another process than the
// target's.
func isOtherProcess(v note, t messenger.Target) bool {
	return v.start != 0 && t.Start != 0 && v.start != t.Start
}

// sweep drops old notes. The caller holds the lock.
func (n *Noter) sweep(now time.Time) {
	if now.Sub(n.lastSweep) < minSweepInterval {
		return
	}
	n.lastSweep = now
	for name, v := range n.notes {
		if now.After(v.expiresAt) {
			delete(n.notes, name)
		}
	}
}

// Statement returns what a target stated last, the zero value if nothing is
// noted.
func (n *Noter) Statement(t messenger.Target) messenger.Statement {
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.notes) == 0 {
		return messenger.Statement{}
	}
	v := n.notes[process(t)]
	if isOtherProcess(v, t) || time.Now().After(v.expiresAt) {
		return messenger.Statement{}
	}
	return v.statement
}

// Leaving reports whether a target stated that it leaves.
func (n *Noter) Leaving(t messenger.Target) bool { return n.Statement(t).Leaving }
