package quarantiner

import (
	"cmp"
	"slices"
	"time"

	"github.com/zinniaproxy/zinniaproxy/internal/messenger"
)

const (
	// minCrashes is how many crashes put a request into quarantine, minUnexplained
	// how many of them no other request in quarantine must have been at.
	minCrashes     = 3
	minUnexplained = 2
	// minCrashesAlone is how many crashes at one moment count one by one for their
	// only common request if no other request was in flight at any of them. Then
	// little tells a request that causes them from one that is frequent.
	minCrashesAlone = 4
	// sharedCauseTime is the time within which crashes count as one: what takes
	// many targets at the same moment is no request. For a request that was the
	// only one in flight at all of them each crash counts nevertheless.
	sharedCauseTime = 20 * time.Millisecond
	// firstQuarantine is how long a request stays in quarantine at first. After
	// each trial that ends in a crash it is quarantineFactor times as long, up to
	// maxQuarantine.
	firstQuarantine  = 10 * time.Minute
	quarantineFactor = 10
	maxQuarantine    = 7 * 24 * time.Hour
)

// verdicts is what a set of reports says about requests. It is not changed.
type verdicts struct {
	// quarantinedUntil holds the requests that crash targets, with the time from
	// which one trial is allowed.
	quarantinedUntil map[messenger.Fingerprint]time.Time
	// suspects are the other requests whose completion is worth reporting.
	suspects map[messenger.Fingerprint]bool
}

// judge returns the verdicts of reports. It depends on nothing else, so that all
// nodes with the same reports agree.
//
// A request that crashes each target which runs it is in flight at all of these
// crashes, others at a few by chance. So the request at the most crashes counts as
// their cause, and a request is blamed besides only if it was at others too.
func judge(reports []Report) *verdicts {
	v := &verdicts{quarantinedUntil: map[messenger.Fingerprint]time.Time{}, suspects: map[messenger.Fingerprint]bool{}}
	unexplained := crashesByEvent(reports)
	all := countEvents(unexplained)
	for {
		left := countEvents(unexplained)
		causes := likeliestCauses(all, left)
		if len(causes) == 0 {
			for request, events := range left {
				if len(events) >= minUnexplained {
					v.suspects[request] = true
				}
			}
			return v
		}
		for _, request := range causes {
			v.quarantinedUntil[request] = quarantineEnd(all[request])
		}
		unexplained = slices.DeleteFunc(unexplained, func(c crash) bool { return v.quarantinesAny(c.requests) })
	}
}

// likeliestCauses returns the requests that were at the most of the crashes left
// to explain and, of these, at the most of all. It returns several if nothing
// tells them apart, and none if there is no cause.
func likeliestCauses(all, left map[messenger.Fingerprint][]int64) (causes []messenger.Fingerprint) {
	mostLeft, most := minUnexplained, minCrashes
	for request, events := range left {
		total := len(all[request])
		switch c := cmp.Or(cmp.Compare(len(events), mostLeft), cmp.Compare(total, most)); {
		case total < minCrashes || c < 0:
		case c > 0:
			mostLeft, most, causes = len(events), total, []messenger.Fingerprint{request}
		default:
			causes = append(causes, request)
		}
	}
	return causes
}

// quarantines reports whether the verdicts put a request into quarantine.
func (q *Quarantiner) quarantines(request messenger.Fingerprint) bool {
	v := q.verdicts.Load()
	return v != nil && v.quarantinesAny([]messenger.Fingerprint{request})
}

// quarantinesAny reports whether any of the requests crashes targets.
func (v *verdicts) quarantinesAny(requests []messenger.Fingerprint) bool {
	return slices.ContainsFunc(requests, func(request messenger.Fingerprint) bool {
		_, quarantined := v.quarantinedUntil[request]
		return quarantined
	})
}

// crash is one crash with the requests that may have caused it.
type crash struct {
	// event is the time of the first of the crashes that count as one, in Unix
	// milliseconds.
	event    int64
	requests []messenger.Fingerprint
	// others reports whether several requests were in flight.
	others bool
	// hasSole is set if sole is the only request that was in flight at all crashes
	// of the event. Each of them counts for it.
	hasSole bool
	sole    messenger.Fingerprint
}

// crashesByEvent returns the crashes in order of time, without the requests that
// completed afterwards.
func crashesByEvent(reports []Report) []crash {
	completed, known := map[messenger.Fingerprint]int64{}, map[uint64]bool{}
	var sorted []Report
	for _, r := range reports {
		known[r.ID] = true
		if !r.Completed {
			sorted = append(sorted, r)
			continue
		}
		for _, request := range r.Requests {
			completed[request] = max(completed[request], r.Time)
		}
	}
	sorted = slices.DeleteFunc(sorted, func(r Report) bool { return known[r.original()] })
	sortByTime(sorted)
	var crashes []crash
	event := int64(0)
	for _, r := range sorted {
		if r.Time-event > sharedCauseTime.Milliseconds() {
			event = r.Time
		}
		c := crash{event: event, others: len(r.Requests) > 1}
		for _, request := range r.Requests {
			if completed[request] < r.Time && !slices.Contains(c.requests, request) {
				c.requests = append(c.requests, request)
			}
		}
		crashes = append(crashes, c)
	}
	for rest := crashes; len(rest) > 0; {
		n := slices.IndexFunc(rest, func(c crash) bool { return c.event != rest[0].event })
		if n < 0 {
			n = len(rest)
		}
		findSole(rest[:n])
		rest = rest[n:]
	}
	return crashes
}

// findSole sets hasSole and sole of the crashes of one event.
func findSole(event []crash) {
	if len(event) < minCrashesAlone && !slices.ContainsFunc(event, func(c crash) bool { return c.others }) {
		return
	}
	everywhere := slices.Clone(event[0].requests)
	for _, c := range event[1:] {
		everywhere = slices.DeleteFunc(everywhere, func(request messenger.Fingerprint) bool { return !slices.Contains(c.requests, request) })
	}
	if len(everywhere) != 1 {
		return
	}
	for i := range event {
		event[i].hasSole, event[i].sole = true, everywhere[0]
	}
}

// countEvents returns the distinct events at which each request was in flight, in
// order. An event counts once for each of its crashes if the request is their only
// common one.
func countEvents(crashes []crash) map[messenger.Fingerprint][]int64 {
	counts := map[messenger.Fingerprint][]int64{}
	for _, c := range crashes {
		for _, request := range c.requests {
			events := counts[request]
			if len(events) == 0 || events[len(events)-1] != c.event || c.hasSole && c.sole == request {
				counts[request] = append(events, c.event)
			}
		}
	}
	return counts
}

// quarantineEnd returns when a request may be tried again: a crash after the end
// of a quarantine was a failed trial.
func quarantineEnd(events []int64) time.Time {
	length := firstQuarantine
	end := time.UnixMilli(events[minCrashes-1]).Add(length)
	for _, event := range events[minCrashes:] {
		at := time.UnixMilli(event)
		if at.After(end) {
			length = min(length*quarantineFactor, maxQuarantine)
		}
		if next := at.Add(length); next.After(end) {
			end = next
		}
	}
	return end
}
