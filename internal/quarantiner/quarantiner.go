// Package quarantiner keeps requests away from targets that crash each target
// which runs them, at all nodes.
//
// An exit node whose target crashes reports the requests that were in flight. The
// reports spread to all nodes, which derive the same verdicts from them. What puts
// a request into quarantine is also kept in the store, for a fleet whose nodes all
// restart.
package quarantiner

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-logr/logr"

	"github.com/zinniaproxy/zinniaproxy/internal/crashwatcher"
	"github.com/zinniaproxy/zinniaproxy/internal/messenger"
	"github.com/zinniaproxy/zinniaproxy/internal/sampler"
	"github.com/zinniaproxy/zinniaproxy/internal/storer"
	"github.com/zinniaproxy/zinniaproxy/internal/tracer"
	"github.com/zinniaproxy/zinniaproxy/pkg/coder"
)

const (
	// reportRetention is how long a report of no request in quarantine counts.
	reportRetention = 10 * time.Minute
	// maxReports and maxRequestsPerReport bound the memory and the messages.
	maxReports           = 512
	maxRequestsPerReport = 64
	// trialPeriod is how long after a quarantine one node allows a trial. Without
	// a crash in that time the request is free everywhere.
	trialPeriod = 10 * time.Minute
	// minExtension is by how much a quarantine must grow to be traced and kept in
	// the store anew, as it does after a failed trial.
	minExtension = 5 * time.Minute
	// trialRetryAfter is the retry-after of a request whose trial is left to
	// another node.
	trialRetryAfter = 10 * time.Second
)

// Quarantiner is the quarantine on one node. Set the exported fields before Run.
type Quarantiner struct {
	// Sampler draws the nodes to exchange reports with. Its Node is this node.
	Sampler *sampler.Sampler
	// SendQuery sends a query to another node and returns its reply.
	SendQuery func(ctx context.Context, node string, q *Query) (*Reply, error)
	// Store is the platform's store.
	Store *storer.Store
	// Log receives failures of store calls.
	Log logr.Logger
	// Tracer records events; nil drops them.
	Tracer *tracer.Tracer

	verdicts atomic.Pointer[verdicts]

	mu      sync.Mutex
	reports map[uint64]Report
	// digest covers the IDs of the reports.
	digest uint64
	// tried holds the end of the quarantine after which this node allowed the
	// trial of a request.
	tried map[messenger.Fingerprint]time.Time
	// unsaved holds the requests in quarantine by a report of this node that the
	// store does not have yet.
	unsaved map[messenger.Fingerprint]bool
	// loaded is set once this node knows what is kept in the store.
	loaded bool
	// era is the highest known era of the store, and reload is set while the store
	// must be read again since a later one began.
	era    uint64
	reload bool
	// lastNews is when a new report came.
	lastNews   time.Time
	wake, news chan struct{}
}

// Admit returns a refusal if a call must not be sent to a target. One node, by
// hash, allows one trial after the end of a quarantine.
func (q *Quarantiner) Admit(c *messenger.Call) error {
	request, until, quarantined := q.lookup(c)
	if !quarantined {
		return nil
	}
	if wait := time.Until(until); wait > 0 {
		return q.refusal(request, wait)
	}
	if !q.takeTrial(request, until) {
		return q.refusal(request, trialRetryAfter)
	}
	return nil
}

// Check returns a refusal if a call of another node must not be sent to a target
// of this one. That node decides on trials.
func (q *Quarantiner) Check(c *messenger.Call) error {
	request, until, quarantined := q.lookup(c)
	if wait := time.Until(until); quarantined && wait > 0 {
		return q.refusal(request, wait)
	}
	return nil
}

func (q *Quarantiner) lookup(c *messenger.Call) (request messenger.Fingerprint, until time.Time, quarantined bool) {
	v := q.verdicts.Load()
	if v == nil || len(v.quarantinedUntil) == 0 {
		return 0, time.Time{}, false
	}
	request = c.Fingerprint()
	until, quarantined = v.quarantinedUntil[request]
	return request, until, quarantined && time.Since(until) < trialPeriod
}

func (q *Quarantiner) refusal(request messenger.Fingerprint, wait time.Duration) error {
	return coder.New(coder.Quarantined, "request %s", request).WithAfter(wait)
}

// takeTrial reports whether this node allows the trial after a quarantine that
// ended at a time, and has not done so before.
func (q *Quarantiner) takeTrial(request messenger.Fingerprint, end time.Time) bool {
	if q.trialNode(request) != q.Sampler.Node {
		return false
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.tried[request].Equal(end) {
		return false
	}
	if q.tried == nil {
		q.tried = map[messenger.Fingerprint]time.Time{}
	}
	q.tried[request] = end
	q.Tracer.Add(tracer.Event{Kind: "quarantine-trial", Fingerprint: request.String()})
	return true
}

// trialNode returns the running node that allows the trials of a request.
func (q *Quarantiner) trialNode(request messenger.Fingerprint) (node string) {
	highest := uint64(0)
	for _, names := range q.Sampler.Alive() {
		for _, name := range names {
			if h := trialRank(name, request); h >= highest {
				node, highest = name, h
			}
		}
	}
	return node
}

// trialRank orders the nodes differently for each request.
func trialRank(node string, request messenger.Fingerprint) uint64 {
	return xxhash.Sum64String(node + " " + request.String())
}

// ReportCrash reports that a target of this node crashed.
func (q *Quarantiner) ReportCrash(c crashwatcher.Crash) {
	r := crashReport(q.Sampler.Node, c)
	q.merge([]Report{r}, true)
	q.push([]Report{r}, true)
}

// Completed records that a target of this node responded to a call, which is
// reported if the request is suspected.
func (q *Quarantiner) Completed(c *messenger.Call) {
	v := q.verdicts.Load()
	if v == nil || len(v.suspects)+len(v.quarantinedUntil) == 0 {
		return
	}
	request := c.Fingerprint()
	if _, quarantined := v.quarantinedUntil[request]; !quarantined && !v.suspects[request] {
		return
	}
	r := newReport(q.Sampler.Node, time.Now(), true, request)
	q.merge([]Report{r}, true)
	q.push([]Report{r}, true)
}

// merge adds reports and returns those that are new. own tells that they are of
// this node, which then keeps in the store what they put into quarantine.
func (q *Quarantiner) merge(reports []Report, own bool) (added []Report) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.reports == nil {
		q.reports = map[uint64]Report{}
	}
	q.prune(time.Now())
	for _, r := range reports {
		if _, known := q.reports[r.ID]; known {
			continue
		}
		q.reports[r.ID] = r
		q.digest ^= r.ID
		added = append(added, r)
	}
	if len(added) > 0 {
		q.rejudge(added, own)
		q.lastNews = time.Now()
		signal(q.news)
	}
	return added
}

// rejudge derives the verdicts anew. The caller holds the lock.
func (q *Quarantiner) rejudge(added []Report, own bool) {
	before := q.verdicts.Load()
	v := judge(q.reportList())
	q.verdicts.Store(v)
	q.prune(time.Now())
	for request, until := range v.quarantinedUntil {
		if before != nil && until.Sub(before.quarantinedUntil[request]) < minExtension {
			continue
		}
		q.Tracer.Add(tracer.Event{Kind: "request-quarantined", Fingerprint: request.String(), Detail: "until " + until.UTC().Format(time.RFC3339)})
		if own && slices.ContainsFunc(added, func(r Report) bool { return r.has(request) }) {
			q.saveLater(request)
		}
	}
	if before == nil {
		return
	}
	for request := range before.quarantinedUntil {
		if _, still := v.quarantinedUntil[request]; !still {
			delete(q.tried, request)
			q.Tracer.Add(tracer.Event{Kind: "request-released", Fingerprint: request.String()})
			if own && slices.ContainsFunc(added, func(r Report) bool { return r.has(request) }) {
				q.saveLater(request)
			}
		}
	}
}

func (q *Quarantiner) reportList() []Report {
	list := make([]Report, 0, len(q.reports))
	for _, r := range q.reports {
		list = append(list, r)
	}
	return list
}

// prune drops old reports, and the oldest beyond maxReports. Reports of a request
// in quarantine are kept, so that a single crash after its end renews it, and with
// them what clears the other requests that they hold. The caller holds the lock.
func (q *Quarantiner) prune(now time.Time) {
	v := q.verdicts.Load()
	list := q.reportList()
	sortByTime(list)
	for i, r := range list {
		retention := reportRetention
		if v != nil && v.quarantinesAny(r.Requests) || r.Completed && q.reportsCrashOf(r.Requests) {
			retention = maxQuarantine
		}
		if len(list)-i > maxReports || now.Sub(time.UnixMilli(r.Time)) > retention {
			delete(q.reports, r.ID)
			q.digest ^= r.ID
		}
	}
}

// reportsCrashOf reports whether a crash is known at which one of the requests was
// in flight. The caller holds the lock.
func (q *Quarantiner) reportsCrashOf(requests []messenger.Fingerprint) bool {
	for _, r := range q.reports {
		if !r.Completed && slices.ContainsFunc(requests, r.has) {
			return true
		}
	}
	return false
}
