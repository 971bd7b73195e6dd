package quarantiner

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/zinniaproxy/zinniaproxy/internal/messenger"
)

// at returns a report of what happened at some seconds.
func at(seconds float64, completed bool, requests ...messenger.Fingerprint) Report {
	return newReport("n", time.UnixMilli(int64(seconds*1000)), completed, requests...)
}

func crashAt(seconds float64, requests ...messenger.Fingerprint) Report {
	return at(seconds, false, requests...)
}

func quarantinedBy(reports ...Report) map[messenger.Fingerprint]float64 {
	out := map[messenger.Fingerprint]float64{}
	for request, until := range judge(reports).quarantinedUntil {
		out[request] = float64(until.UnixMilli()) / 1000
	}
	return out
}

// The cause is the request that is in flight at the most crashes. Requests that
// were there by chance, and repeats of them, are not blamed for what it explains.
func TestCauseIsInFlightAtMostCrashes(t *testing.T) {
	const fatal, first, second, third = 1, 2, 3, 4
	storm := []Report{
		crashAt(1, fatal, first), crashAt(1.2, fatal, first, second), crashAt(1.4, fatal, first, third), crashAt(1.5, fatal, second, third),
	}
	qt.Check(t, quarantinedBy(storm[:2]...), qt.HasLen, 0)
	qt.Check(t, quarantinedBy(storm...), qt.DeepEquals, map[messenger.Fingerprint]float64{fatal: 601.5})
	// Two causes whose crashes differ are both found.
	qt.Check(t, quarantinedBy(append(storm, crashAt(2, second), crashAt(3, second), crashAt(4, second))...), qt.DeepEquals,
		map[messenger.Fingerprint]float64{fatal: 601.5, second: 604})
	// Requests that nothing tells apart are both kept away, until a further crash
	// tells.
	same := []Report{crashAt(1, fatal, first), crashAt(2, fatal, first), crashAt(3, fatal, first)}
	qt.Check(t, quarantinedBy(same...), qt.HasLen, 2)
	qt.Check(t, quarantinedBy(append(same, crashAt(4, fatal))...), qt.DeepEquals, map[messenger.Fingerprint]float64{fatal: 604})
}

// Crashes of many targets at one moment have another cause than a request, and a
// request that completed at a target does not crash all of them.
func TestSharedCausesAndCompletionsAreNoCrashes(t *testing.T) {
	qt.Check(t, quarantinedBy(crashAt(1, 1), crashAt(1.005, 1), crashAt(1.01, 1), crashAt(9, 1)), qt.HasLen, 0)
	qt.Check(t, quarantinedBy(crashAt(1, 1), crashAt(2, 1), at(2.5, true, 1), crashAt(3, 1)), qt.HasLen, 0)
	qt.Check(t, judge([]Report{crashAt(1, 1, 2), crashAt(2, 1)}).suspects, qt.DeepEquals, map[messenger.Fingerprint]bool{1: true})
}

// Guards against a request that crashes many targets at the same moment and counts
// as one crash, also once a fleet has restarted with what the store holds of it.
// Requests that a shared cause ends at many targets are not blamed.
func TestOnlyCommonRequestOfSimultaneousCrashesIsCause(t *testing.T) {
	const fatal = 1
	storm := []Report{crashAt(1, fatal, 2, 3), crashAt(1.005, fatal, 4), crashAt(1.01, fatal)}
	want := map[messenger.Fingerprint]float64{fatal: 601}
	qt.Check(t, quarantinedBy(storm...), qt.DeepEquals, want)
	var stored []Report
	for _, r := range storm {
		stored = append(stored, r.only(fatal))
	}
	qt.Check(t, quarantinedBy(stored...), qt.DeepEquals, want)
	// A crash and the copy of it in the store are one.
	qt.Check(t, quarantinedBy(append(storm[:2:2], stored[:2]...)...), qt.HasLen, 0)

	// A request that runs alone needs one crash more.
	alone := []Report{crashAt(1, fatal), crashAt(1.005, fatal), crashAt(1.01, fatal)}
	qt.Check(t, quarantinedBy(alone...), qt.HasLen, 0)
	qt.Check(t, quarantinedBy(append(alone, crashAt(1.015, fatal))...), qt.DeepEquals, want)

	qt.Check(t, quarantinedBy(append(storm, crashAt(1.015, 5))...), qt.HasLen, 0)
	qt.Check(t, quarantinedBy(crashAt(1, fatal, 2, 3), crashAt(1.005, fatal, 2, 4), crashAt(1.01, fatal, 2)), qt.HasLen, 0)
	qt.Check(t, quarantinedBy(crashAt(1, 2), crashAt(1.005, 3), crashAt(1.01, 4)), qt.HasLen, 0)
}

// A crash after the end of a quarantine is a failed trial and makes the next one
// longer, up to a bound.
func TestQuarantineGrowsWithFailedTrials(t *testing.T) {
	reports := []Report{crashAt(1, 1), crashAt(2, 1), crashAt(3, 1)}
	for _, end := range []float64{603, 604 + 6000, 6605 + 60000, 66606 + 600000, 666607 + maxQuarantine.Seconds()} {
		qt.Check(t, quarantinedBy(reports...), qt.DeepEquals, map[messenger.Fingerprint]float64{1: end})
		reports = append(reports, crashAt(end+1, 1))
	}
}
