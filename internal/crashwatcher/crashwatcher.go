// Package crashwatcher finds, at an exit node, the targets whose process ended
// while it ran calls, and which requests it ran then.
package crashwatcher

import (
	"context"
	"net"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/zinniaproxy/zinniaproxy/internal/messenger"
	"github.com/zinniaproxy/zinniaproxy/internal/tracer"
)

const (
	// collectTime is how long after the first cut call the others of the same end
	// of a process are collected: their connections break at once.
	collectTime = 20 * time.Millisecond
	// dialTimeout bounds the connection that tells whether the process still
	// listens. The target is on the same VM.
	dialTimeout = 300 * time.Millisecond
)

// Crash is the end of a target's process while it ran calls.
type Crash struct {
	// Target is the target's name, Epoch its announcement epoch.
	Target string
	Epoch  uint64
	// Time is when the first call broke off, by this node's clock.
	Time time.Time
	// Requests are the distinct requests that ran, sorted.
	Requests []messenger.Fingerprint
}

// Watcher watches the targets of one VM. Set the exported fields before the first
// call.
type Watcher struct {
	// Dial connects to a target.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// OnCrash is called with each crash. It may be nil.
	OnCrash func(c Crash)
	// Tracer records events; nil drops them.
	Tracer *tracer.Tracer

	crashes atomic.Int64
	mu      sync.Mutex
	// collecting holds the possible crashes whose calls are being collected, by
	// target.
	collecting map[string]*Crash
}

// CallCut records that a call broke off after it was sent.
func (w *Watcher) CallCut(t messenger.Target, request messenger.Fingerprint) {
	w.mu.Lock()
	defer w.mu.Unlock()
	c := w.collecting[t.Name]
	if c == nil || c.Epoch != t.Epoch {
		c = &Crash{Target: t.Name, Epoch: t.Epoch, Time: time.Now()}
		if w.collecting == nil {
			w.collecting = map[string]*Crash{}
		}
		w.collecting[t.Name] = c
		time.AfterFunc(collectTime, func() { w.confirm(t.Address, c) })
	}
	if i, found := slices.BinarySearch(c.Requests, request); !found {
		c.Requests = slices.Insert(c.Requests, i, request)
	}
}

// confirm reports a crash unless the process still listens: then only single
// connections broke.
func (w *Watcher) confirm(address string, c *Crash) {
	w.mu.Lock()
	if w.collecting[c.Target] == c {
		delete(w.collecting, c.Target)
	}
	w.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	if conn, err := w.Dial(ctx, address); err == nil {
		conn.Close()
		return
	}
	w.crashes.Add(1)
	w.Tracer.Add(tracer.Event{Kind: "target-crashed", Target: c.Target, InFlight: len(c.Requests), Detail: joinRequests(c.Requests)})
	if w.OnCrash != nil {
		w.OnCrash(*c)
	}
}

func joinRequests(requests []messenger.Fingerprint) string {
	names := make([]string, len(requests))
	for i, f := range requests {
		names[i] = f.String()
	}
	return strings.Join(names, " ")
}

// Crashes returns how many crashes were found since the start.
func (w *Watcher) Crashes() int64 { return w.crashes.Load() }
