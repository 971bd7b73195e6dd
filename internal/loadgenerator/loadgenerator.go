package loadgenerator

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	// maxInFlight bounds the requests that wait for a response. Requests beyond
	// it are not sent and count as skipped.
	maxInFlight = 4_096
	// maxRetries bounds the retries of a request with an idempotency key.
	maxRetries = 3
	retryDelay = 200 * time.Millisecond
)

// Generator sends the requests of a plan. Set the fields before Run.
type Generator struct {
	// Plan must have passed Plan.Check.
	Plan Plan
	// Client sends the requests; nil means a new one from NewClient.
	Client *http.Client
	// Entry returns the address for the i-th request; nil means round-robin
	// over Plan.Entries.
	Entry func(i int) string
	// Seen, if not nil, is called with each outcome as the request ends. Calls
	// are concurrent.
	Seen func(Outcome)

	mu sync.Mutex
	// outcomes holds all outcomes for the report and the audit.
	outcomes []Outcome
	skipped  int
}

// Run sends the plan's requests until all are sent or ctx ends, waits for
// their responses and returns the report. If a target's run log cannot be read,
// it returns an error along with a report that is not audited.
func (l *Generator) Run(ctx context.Context) (*Report, error) {
	if l.Client == nil {
		l.Client = NewClient()
		defer l.Client.CloseIdleConnections()
	}
	start := time.Now()
	l.sendAll(ctx, start)
	took := time.Since(start)
	r := newReport(l.Plan, l.outcomes, l.skipped, took)
	if len(l.Plan.Targets) == 0 {
		return r, nil
	}
	runs, err := l.fetchRuns(context.WithoutCancel(ctx))
	if err != nil {
		return r, err
	}
	r.audit(l.Plan, l.outcomes, runs)
	return r, nil
}

// NewClient returns a client that keeps enough idle connections for maxInFlight
// requests.
func NewClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		MaxIdleConns: maxInFlight, MaxIdleConnsPerHost: maxInFlight, DisableCompression: true,
	}}
}

// sendAll starts each request at its scheduled time and returns when all have
// ended.
func (l *Generator) sendAll(ctx context.Context, start time.Time) {
	var wg sync.WaitGroup
	defer wg.Wait()
	rng := rand.New(rand.NewPCG(l.Plan.Seed, l.Plan.Seed))
	runID, callIndices := strconv.FormatInt(start.UnixNano(), 36), l.Plan.weightedCallIndices()
	inFlight := make(chan struct{}, maxInFlight)
	interval := time.Duration(float64(time.Second) / l.Plan.Rate)
	for i := range l.Plan.Requests() {
		due := start.Add(time.Duration(i) * interval)
		if !sleepUntil(ctx, due) {
			return
		}
		r := request{callIndex: callIndices[rng.IntN(len(callIndices))], entry: l.entryFor(i), token: runID + "-" + strconv.Itoa(i), due: due}
		select {
		case inFlight <- struct{}{}:
		default:
			l.countSkipped()
			continue
		}
		wg.Go(func() {
			l.addOutcome(l.sendWithRetries(context.WithoutCancel(ctx), r))
			<-inFlight
		})
	}
}

func (l *Generator) entryFor(i int) string {
	if l.Entry != nil {
		return l.Entry(i)
	}
	return l.Plan.Entries[i%len(l.Plan.Entries)]
}

func sleepUntil(ctx context.Context, due time.Time) bool {
	wait := time.Until(due)
	if wait <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (l *Generator) countSkipped() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.skipped++
}

func (l *Generator) addOutcome(o Outcome) {
	l.mu.Lock()
	l.outcomes = append(l.outcomes, o)
	l.mu.Unlock()
	if l.Seen != nil {
		l.Seen(o)
	}
}
