package leaverecorder

import (
	"cmp"
	"slices"
	"time"
)

// Leave says that a target's process leaves, as do all processes of that target that
// started before.
type Leave struct {
	_msgpack struct{} `msgpack:",as_array"`

	// Target is the instance of the target, or its name if it has no instance.
	Target string
	// Start is when the process started, in Unix milliseconds as the target
	// announces it.
	Start uint64
}

// Query tells another node the leaves that the asking node has recorded.
type Query struct {
	_msgpack struct{} `msgpack:",as_array"`

	Leaves []Leave
}

// Reply returns what the other node holds for the asking one.
type Reply struct {
	_msgpack struct{} `msgpack:",as_array"`

	Leaves []Leave
}

// entry is a recorded leave.
type entry struct {
	start     uint64
	expiresAt time.Time
	// durable is set once the leave outlasts this process.
	durable bool
}

// ledger holds the leaves of the targets of one node, by target. It has at most
// maxLeaves entries.
type ledger map[string]entry

// add records a leave or extends its retention. It reports whether the leave was
// not recorded before.
func (d ledger) add(l Leave, now time.Time) bool {
	e, known := d[l.Target]
	if !known && len(d) >= maxLeaves {
		d.evictOldest()
	}
	isNew := !known || l.Start > e.start
	if isNew {
		e = entry{start: l.Start}
	}
	e.expiresAt = now.Add(retention)
	d[l.Target] = e
	return isNew
}

// evictOldest drops the leave that expires first.
func (d ledger) evictOldest() {
	oldest, found := "", false
	for target, e := range d {
		if !found || e.expiresAt.Before(d[oldest].expiresAt) {
			oldest, found = target, true
		}
	}
	delete(d, oldest)
}

// prune drops expired leaves.
func (d ledger) prune(now time.Time) {
	for target, e := range d {
		if now.After(e.expiresAt) {
			delete(d, target)
		}
	}
}

// list returns all leaves, sorted by target.
func (d ledger) list() []Leave {
	out := make([]Leave, 0, len(d))
	for target, e := range d {
		out = append(out, Leave{Target: target, Start: e.start})
	}
	slices.SortFunc(out, func(a, b Leave) int { return cmp.Compare(a.Target, b.Target) })
	return out
}

// markDurable marks the given leaves as durable, unless a later process of the
// target has left since.
func (d ledger) markDurable(leaves []Leave) {
	for _, l := range leaves {
		if e, ok := d[l.Target]; ok && e.start == l.Start {
			e.durable = true
			d[l.Target] = e
		}
	}
}
