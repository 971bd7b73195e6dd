package quarantiner

import (
	"cmp"
	"slices"
	"time"

	"github.com/zinniaproxy/zinniaproxy/internal/messenger"
)

// Entry is a request in quarantine, or waiting for its trial after one.
type Entry struct {
	Request messenger.Fingerprint
	// Until is when the quarantine ends and one trial is allowed.
	Until time.Time
	// Crashes is how many crashes of targets the request was in flight at.
	Crashes int
}

// Entries returns the requests in quarantine, by fingerprint.
func (q *Quarantiner) Entries() (entries []Entry) {
	v := q.verdicts.Load()
	if v == nil {
		return nil
	}
	for request, until := range v.quarantinedUntil {
		if time.Since(until) < trialPeriod {
			entries = append(entries, Entry{request, until, len(q.crashesOf(request))})
		}
	}
	slices.SortFunc(entries, func(a, b Entry) int { return cmp.Compare(a.Request, b.Request) })
	return entries
}

// Release ends the quarantine of a request on all nodes, as if it had completed at
// a target. It reports whether the request was in quarantine.
func (q *Quarantiner) Release(request messenger.Fingerprint) bool {
	crashes := q.crashesOf(request)
	if !q.quarantines(request) || len(crashes) == 0 {
		return false
	}
	// Another node's clock may be ahead.
	at := time.Now()
	if last := time.UnixMilli(crashes[len(crashes)-1].Time); last.After(at) {
		at = last
	}
	r := newReport(q.Sampler.Node, at, true, request)
	q.merge([]Report{r}, true)
	q.push([]Report{r}, true)
	return true
}

// crashesOf returns the reports of crashes of a request, in order of time.
func (q *Quarantiner) crashesOf(request messenger.Fingerprint) []Report {
	q.mu.Lock()
	list := q.reportList()
	q.mu.Unlock()
	list = slices.DeleteFunc(list, func(r Report) bool { return r.Completed || !r.has(request) })
	sortByTime(list)
	return list
}
