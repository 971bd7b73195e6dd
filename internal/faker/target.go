package faker

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// coldOverloadSlowdown multiplies the service time of a request that starts
	// above TargetFaults.Cold.
	coldOverloadSlowdown = 10
	maxLoggedRuns        = 1 << 20
)

// TargetFaults are the injected faults of a fake target.
type TargetFaults struct {
	// Slow multiplies the service time; 0 means 1.
	Slow float64 `json:"slow,omitempty"`
	// Errors is the fraction of requests that run and get status 500.
	Errors float64 `json:"errors,omitempty"`
	// Truncate is the fraction of responses that are truncated. Chunked makes
	// all responses chunked, so that a truncated one lacks the last chunk.
	Truncate float64 `json:"half,omitempty"`
	Chunked  bool    `json:"chunked,omitempty"`
	// Hang is the fraction of requests that run and never get a response.
	Hang float64 `json:"hang,omitempty"`
	// Flap turns Slow, Errors, Truncate and Hang off and on again at this
	// interval, in milliseconds; 0 leaves them on.
	Flap int `json:"flap,omitempty"`
	// Cold is how many requests a cold target can run at once; above it
	// requests take coldOverloadSlowdown times as long and fail. 0 means warm.
	Cold int `json:"cold,omitempty"`
	// Shed rejects requests when all slots are taken, without running them;
	// otherwise they wait for a slot.
	Shed bool `json:"shed,omitempty"`
	// Mislead makes the health and load endpoints report a healthy, idle target.
	Mislead bool `json:"mislead,omitempty"`
	// Draining rejects all requests without running them.
	Draining bool `json:"draining,omitempty"`
}

// Run is a target's log entry of one request that it started to run.
type Run struct {
	// Request is the ID that the fleet gave the request, Token the caller's ID.
	Request string `json:"request"`
	Token   string `json:"token,omitempty"`
	// Workspace is the workspace that the request ran for.
	Workspace string `json:"workspace,omitempty"`
	// Method and Path are from the request line.
	Method string `json:"method"`
	Path   string `json:"path"`
	// HasKey is true if a header field of the request held a caller's key.
	HasKey bool `json:"key,omitempty"`
}

// TargetCounts counts the requests to a target.
type TargetCounts struct {
	// Runs counts requests that started to run. DuplicateRuns are the runs whose
	// request ID or token is in the run log already. Shed counts requests rejected
	// without running, Canceled those that the caller gave up while they ran.
	Runs          int `json:"runs"`
	DuplicateRuns int `json:"doubles"`
	Shed          int `json:"shed"`
	Canceled      int `json:"canceled"`
	// Peak is the highest number in flight, AboveColdLimit how many started
	// above TargetFaults.Cold.
	Peak           int `json:"peak"`
	AboveColdLimit int `json:"overcold"`
	// LeakedKeys counts started requests that held a caller's key.
	LeakedKeys int `json:"keys"`
}

// Target is a fake of an operator's back end. Use NewTarget to create one.
type Target struct {
	// Name is sent in each response.
	Name string
	// Slots is how many requests can run at once.
	Slots int
	// ServiceTime is the service time of a request.
	ServiceTime time.Duration
	// Now returns the time for TargetFaults.Flap; nil means time.Now.
	Now func() time.Time

	start time.Time
	// slots holds an element for each slot that is taken.
	slots chan struct{}

	mu       sync.Mutex
	rng      *rand.Rand
	faults   TargetFaults
	counts   TargetCounts
	inFlight int
	runs     []Run
	seenIDs  map[string]bool // request IDs, prefixed r, and tokens, prefixed t
}

// NewTarget returns a target that draws its random faults from the seed.
func NewTarget(name string, slots int, service time.Duration, seed uint64) *Target {
	return &Target{
		Name: name, Slots: slots, ServiceTime: service, start: time.Now(),
		slots: make(chan struct{}, slots), rng: rand.New(rand.NewPCG(seed, seed)), seenIDs: map[string]bool{},
	}
}

// SetFaults replaces the injected faults.
func (t *Target) SetFaults(f TargetFaults) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults = f
}

// Faults returns the injected faults.
func (t *Target) Faults() TargetFaults {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.faults
}

// Counts returns the counts so far.
func (t *Target) Counts() TargetCounts {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.counts
}

// Runs returns the log of the first maxLoggedRuns runs, oldest first.
func (t *Target) Runs() []Run {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]Run{}, t.runs...)
}

// InFlight returns the number of requests that run now.
func (t *Target) InFlight() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.inFlight
}

// effects are the effects of the injected faults on one request.
type effects struct {
	serviceTime time.Duration
	fail, hang  bool
	truncate    bool
}

// admit waits for a slot. It returns false if the target rejects the request or
// ctx ends first.
func (t *Target) admit(ctx context.Context) bool {
	f := t.Faults()
	if f.Draining {
		return t.reject()
	}
	if f.Shed {
		select {
		case t.slots <- struct{}{}:
			return true
		default:
			return t.reject()
		}
	}
	select {
	case t.slots <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func (t *Target) reject() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts.Shed++
	return false
}

// beginRun logs a run and returns the effects of the faults on it.
func (t *Target) beginRun(r Run) effects {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.inFlight++
	t.counts.Runs++
	t.counts.Peak = max(t.counts.Peak, t.inFlight)
	if t.seenIDs["r"+r.Request] || r.Token != "" && t.seenIDs["t"+r.Token] {
		t.counts.DuplicateRuns++
	}
	if r.HasKey {
		t.counts.LeakedKeys++
	}
	if len(t.runs) < maxLoggedRuns {
		t.runs = append(t.runs, r)
		t.seenIDs["r"+r.Request], t.seenIDs["t"+r.Token] = true, true
	}
	return t.drawEffects()
}

// drawEffects chooses the effects of the faults on a request. The caller holds
// mu.
func (t *Target) drawEffects() effects {
	f := t.faults
	if t.faultsPaused(f) {
		f.Slow, f.Errors, f.Truncate, f.Hang = 0, 0, 0, 0
	}
	e := effects{serviceTime: t.ServiceTime}
	if f.Slow > 0 {
		e.serviceTime = time.Duration(f.Slow * float64(e.serviceTime))
	}
	e.fail = t.rng.Float64() < f.Errors
	e.truncate = t.rng.Float64() < f.Truncate
	e.hang = t.rng.Float64() < f.Hang
	if f.Cold > 0 && t.inFlight > f.Cold {
		t.counts.AboveColdLimit++
		e.serviceTime *= coldOverloadSlowdown
		e.fail = true
	}
	return e
}

// faultsPaused reports whether a flapping target is in a healthy interval.
func (t *Target) faultsPaused(f TargetFaults) bool {
	if f.Flap <= 0 {
		return false
	}
	now := time.Now
	if t.Now != nil {
		now = t.Now
	}
	period := time.Duration(f.Flap) * time.Millisecond
	return now().Sub(t.start)/period%2 == 1
}

// endRun ends a run and releases its slot.
func (t *Target) endRun(canceled bool) {
	t.mu.Lock()
	t.inFlight--
	if canceled {
		t.counts.Canceled++
	}
	t.mu.Unlock()
	<-t.slots
}
