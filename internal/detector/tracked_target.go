package detector

import (
	"math"
	"sync"
	"time"

	"github.com/zinniaproxy/zinniaproxy/internal/messenger"
)

// Times and counts of ejection and recovery.
const (
	// firstEjection is how long a target is ejected the first time; each strike
	// doubles it.
	firstEjection = 5 * time.Second
	// maxEjection bounds the ejection time.
	maxEjection = 2 * time.Minute
	// strikeWaiverInterval is how long a target must stay sound until one
	// strike is waived.
	strikeWaiverInterval = 2 * time.Minute
	// minTrialSuccesses is how many good responses that are not late make a
	// recovering target sound again.
	minTrialSuccesses = 8
	// minSuspectRounds is how many rounds of queries in a row must leave a
	// target suspected before it is ejected. For a recovering target one is
	// enough.
	minSuspectRounds = 2
	// minQueryInterval is the least time between two rounds of queries about
	// one target.
	minQueryInterval = 300 * time.Millisecond
)

// trackedTarget is the detector's state of one target. Its lock guards all
// fields.
type trackedTarget struct {
	mu        sync.Mutex
	announced messenger.Target
	coldLimit int
	evidence  evidence
	inFlight  map[*Attempt]struct{}
	verdict   messenger.Trust
	score     float64
	// strikes counts the target's ejections that are not waived.
	strikes int
	// ejectedUntil is the end of a sick target's ejection.
	ejectedUntil time.Time
	// lastChange is when the verdict last changed or a strike was last waived.
	lastChange time.Time
	// trialSuccesses counts the good responses of a recovering target that were
	// not late.
	trialSuccesses int
	// lastQuery is when peers were last queried about the target.
	lastQuery time.Time
	// suspectRounds counts the rounds of queries in a row that left it
	// suspected.
	suspectRounds int
}

// observe adds an observation. The caller holds the lock.
func (t *trackedTarget) observe(o observation) {
	t.evidence.add(o)
	if t.verdict != messenger.Recovering || !o.completed {
		return
	}
	late := t.evidence.reference.lateThreshold()
	if !o.failed && (late == 0 || o.elapsed <= late) {
		t.trialSuccesses++
	}
}

// suspected reports whether either sum has reached its threshold. Slowness does
// not count for a target that announces itself as cold. The caller holds the
// lock.
func (t *trackedTarget) suspected() bool {
	failLimit, slowLimit := failThreshold, slowThreshold
	if t.verdict == messenger.Recovering {
		failLimit, slowLimit = recoveringThreshold, recoveringThreshold
	}
	tooSlow := t.evidence.slowSum >= slowLimit && t.announced.State != messenger.Cold
	return tooSlow || t.evidence.failSum >= failLimit
}

// takeQueryTurn reports whether peers are to be queried about a suspected
// target now, and if so sets lastQuery. The caller holds the lock.
func (t *trackedTarget) takeQueryTurn(now time.Time) bool {
	if t.verdict == messenger.Sick || !t.suspected() || now.Sub(t.lastQuery) < minQueryInterval {
		return false
	}
	t.lastQuery = now
	return true
}

// confirmSuspicion applies the reference of a round of queries, and reports
// whether the target is to be ejected. The caller holds the lock.
func (t *trackedTarget) confirmSuspicion(r reference) bool {
	t.evidence.reweigh(r)
	if t.verdict == messenger.Sick || !t.suspected() {
		t.suspectRounds = 0
		return false
	}
	t.suspectRounds++
	return t.suspectRounds >= minSuspectRounds || t.verdict == messenger.Recovering
}

// eject starts an ejection. The caller holds the lock.
func (t *trackedTarget) eject(now time.Time) {
	duration := min(firstEjection<<min(t.strikes, 16), maxEjection)
	t.strikes++
	t.suspectRounds = 0
	t.verdict, t.lastChange, t.ejectedUntil = messenger.Sick, now, now.Add(duration)
	t.score = t.severity()
}

// severity ranks sick targets: failures weigh more than slowness. The caller
// holds the lock.
func (t *trackedTarget) severity() float64 {
	r := t.evidence.reply(t.lastChange)
	latenessLog2 := 0.0
	if normal := t.evidence.reference.median; normal > 0 && r.Median > normal {
		latenessLog2 = math.Log2(float64(r.Median) / float64(normal))
	}
	return 1 + 10*r.FailRate + latenessLog2
}

// advance moves the verdict on when an ejection ends or a recovery succeeds,
// and reports whether it changed. It also waives strikes. The caller holds the
// lock.
func (t *trackedTarget) advance(now time.Time) bool {
	switch t.verdict {
	case messenger.Sick:
		if now.Before(t.ejectedUntil) {
			return false
		}
		t.verdict, t.lastChange, t.trialSuccesses = messenger.Recovering, now, 0
		t.evidence.clear()
		return true
	case messenger.Recovering:
		if t.trialSuccesses < minTrialSuccesses || t.suspected() {
			return false
		}
		t.verdict, t.lastChange, t.score = messenger.Sound, now, 0
		return true
	}
	if t.strikes > 0 && now.Sub(t.lastChange) >= strikeWaiverInterval {
		t.strikes, t.lastChange = t.strikes-1, now
	}
	return false
}

// observeOverdue observes attempts in flight once they are late, and again each
// time that their age has doubled. The caller holds the lock.
func (t *trackedTarget) observeOverdue(now time.Time) {
	late := t.evidence.reference.lateThreshold()
	if late == 0 {
		return
	}
	for a := range t.inFlight {
		age := now.Sub(a.start)
		if a.timeToHead > 0 || age < max(late, 2*a.lastObservedAge) {
			continue
		}
		a.lastObservedAge = age
		t.observe(observation{at: now, elapsed: age})
	}
}
