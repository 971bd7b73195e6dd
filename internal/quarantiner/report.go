package quarantiner

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/zinniaproxy/zinniaproxy/internal/crashwatcher"
	"github.com/zinniaproxy/zinniaproxy/internal/messenger"
)

// Report is what an exit node tells the fleet about requests at its targets: that
// a target crashed while it ran them, or that a suspected one completed.
type Report struct {
	_msgpack struct{} `msgpack:",as_array"`

	// ID is unique over all nodes and time.
	ID uint64
	// Time is when it happened, by the reporting node's clock, in Unix
	// milliseconds.
	Time int64
	// Completed means that the target responded and did not crash.
	Completed bool
	// Requests are the requests that ran. A single request that is named twice ran
	// beside others, which the report leaves out.
	Requests []messenger.Fingerprint
}

// newReport returns a report of this node. The node and the time in nanoseconds
// make its ID unique.
func newReport(node string, at time.Time, completed bool, requests ...messenger.Fingerprint) Report {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(node)                      // never fails
	_, _ = d.Write(messenger.Encode(at.UnixNano())) // never fails
	_, _ = d.Write(messenger.Encode(requests))      // never fails
	return Report{ID: d.Sum64(), Time: at.UnixMilli(), Completed: completed, Requests: requests}
}

func crashReport(node string, c crashwatcher.Crash) Report {
	return newReport(node, c.Time, false, c.Requests[:min(len(c.Requests), maxRequestsPerReport)]...)
}

// only returns the report of the same crash with a single request.
func (r Report) only(request messenger.Fingerprint) Report {
	r.ID ^= uint64(request)
	if len(r.Requests) > 1 {
		r.Requests = []messenger.Fingerprint{request, request}
	}
	return r
}

// original returns the ID of the report that r is made of by only, or 0 if that
// named no others. The two are of one crash.
func (r Report) original() uint64 {
	if len(r.Requests) != 2 || r.Requests[0] != r.Requests[1] {
		return 0
	}
	return r.ID ^ uint64(r.Requests[0])
}

func (r Report) has(request messenger.Fingerprint) bool { return slices.Contains(r.Requests, request) }

// sortByTime sorts reports by time, the same on all nodes.
func sortByTime(reports []Report) {
	slices.SortFunc(reports, func(a, b Report) int { return cmp.Or(cmp.Compare(a.Time, b.Time), cmp.Compare(a.ID, b.ID)) })
}

// Query passes reports on. With Pull set it also asks for those of a node whose
// digest differs.
type Query struct {
	_msgpack struct{} `msgpack:",as_array"`

	Reports []Report
	Pull    bool
	// Digest covers the reports that the querying node has.
	Digest uint64
}

// Reply answers a Query.
type Reply struct {
	_msgpack struct{} `msgpack:",as_array"`

	Reports []Report
	// Loaded means that the replying node knows what is kept in the store.
	Loaded bool
}
