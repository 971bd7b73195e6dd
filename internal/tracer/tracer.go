// Package tracer keeps the events of one process in a ring buffer and merges the
// events of several processes into one time line.
package tracer

import (
	"sort"
	"sync"
	"time"
)

// DefaultSize is the default number of events kept.
const DefaultSize = 4096

// Event is one event of one process.
type Event struct {
	// Time is the wall clock of the process.
	Time time.Time `json:"time"`
	// Seq increases by one with each event of a process.
	Seq uint64 `json:"seq"`
	// Node is the name of the process.
	Node string `json:"node"`
	// Centre is the data centre of the process.
	Centre string `json:"centre,omitempty"`
	// Kind says what happened, such as "target-ejected".
	Kind string `json:"kind"`
	// Request is the ID of a request.
	Request string `json:"request,omitempty"`
	// Conn is the address of the caller's end of the connection that the request
	// came on.
	Conn string `json:"conn,omitempty"`
	// Target is the name of a target.
	Target string `json:"target,omitempty"`
	// Workspace is the name of a workspace.
	Workspace string `json:"workspace,omitempty"`
	// Route is the name of a request's route, and Aim the route's latency objective
	// in milliseconds, 0 if it has none.
	Route string `json:"route,omitempty"`
	Aim   int    `json:"aim,omitempty"`
	// Attempt is the ID of one attempt of a request. Code is the result code of
	// the attempt or the request.
	Attempt string `json:"attempt,omitempty"`
	Code    int    `json:"code,omitempty"`
	// Took is the duration of the request, attempt or call in milliseconds.
	Took float64 `json:"took,omitempty"`
	// Status is the HTTP status of a response.
	Status int `json:"status,omitempty"`
	// Risk is the probability, at the time of the decision, that the target was
	// in a fault episode. Queue, InFlight and Limit are its load: the calls
	// waiting, the calls in flight, and how many may be in flight.
	Risk     float64 `json:"risk,omitempty"`
	Queue    int     `json:"queue,omitempty"`
	InFlight int     `json:"flying,omitempty"`
	Limit    int     `json:"limit,omitempty"`
	// Place is how many tickets were to be served before that of the call or
	// reservation when it arrived, Wait how long it was queued in milliseconds, and
	// Rank its priority.
	Place int     `json:"place,omitempty"`
	Wait  float64 `json:"wait,omitempty"`
	Rank  int     `json:"rank,omitempty"`
	// Fingerprint is that of a request which all its repeats share.
	Fingerprint string `json:"print,omitempty"`
	// Detail is free text. It never contains a key.
	Detail string `json:"detail,omitempty"`
	// Routine marks an event of a successful request or attempt: its log line is
	// dropped first, and the ring does not keep it.
	Routine bool `json:"-"`
}

// Millis returns d in milliseconds, rounded to 0.1 ms, as in Event.Took.
func Millis(d time.Duration) float64 {
	return float64(d.Round(100*time.Microsecond)) / float64(time.Millisecond)
}

// Tracer is the ring buffer of one process. The zero value drops every event.
type Tracer struct {
	// Node and Centre are set in each event.
	Node, Centre string
	// Log receives each event as it is added. It must not block. Nil disables
	// logging.
	Log func(Event)
	// Size is how many events are kept; older ones are overwritten.
	Size int

	mu   sync.Mutex
	ring []Event
	// oldest is the index of the oldest event in a full ring.
	oldest int
	seq    uint64
}

// Add sets the event's Time, Seq, Node and Centre, then stores and logs it. A nil
// tracer drops it.
func (t *Tracer) Add(e Event) {
	if t == nil || t.Size == 0 {
		return
	}
	if e = t.record(e); t.Log != nil {
		t.Log(e)
	}
}

// record completes the event and, unless it is routine, puts it into the ring.
func (t *Tracer) record(e Event) Event {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.seq++
	e.Time, e.Seq, e.Node, e.Centre = time.Now(), t.seq, t.Node, t.Centre
	if e.Routine {
		return e
	}
	if len(t.ring) < t.Size {
		t.ring = append(t.ring, e)
		return e
	}
	t.ring[t.oldest] = e
	t.oldest = (t.oldest + 1) % t.Size
	return e
}

// Events returns a copy of the ring's events, ordered by Seq.
func (t *Tracer) Events() []Event {
	if t == nil {
		return nil
	}
	t.mu.Lock()
	out := append([]Event(nil), t.ring...)
	t.mu.Unlock()
	sort.Slice(out, func(i, j int) bool { return out[i].Seq < out[j].Seq })
	return out
}

// Merge combines the events of several processes into one time line, ordered by
// time, node and Seq.
func Merge(rings ...[]Event) []Event {
	var out []Event
	for _, r := range rings {
		out = append(out, r...)
	}
	sort.SliceStable(out, func(i, j int) bool { return before(out[i], out[j]) })
	return out
}

func before(a, b Event) bool {
	if !a.Time.Equal(b.Time) {
		return a.Time.Before(b.Time)
	}
	if a.Node != b.Node {
		return a.Node < b.Node
	}
	return a.Seq < b.Seq
}
