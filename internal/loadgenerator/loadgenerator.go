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
	// OnOutcome, if not nil, is called with each outcome as the request ends. Calls
	// are concurrent.
	OnOutcome func(Outcome)

	mu sync.Mutex
	// outcomes holds all outcomes for the report and the audit.
	outcomes []Outcome
	skipped  int
}

// Run sends the plan's requests until all are sent or ctx ends, waits for
// their responses and returns the report. If a target's run log cannot be read,
// it returns an error along with a report that is not audited.
func (g *Generator) Run(ctx context.Context) (*Report, error) {
	if g.Client == nil {
		g.Client = NewClient()
		defer g.Client.CloseIdleConnections()
	}
	start := time.Now()
	g.sendAll(ctx, start)
	took := time.Since(start)
	r := newReport(g.Plan, g.outcomes, g.skipped, took)
	if len(g.Plan.Targets) == 0 {
		return r, nil
	}
	runs, err := g.fetchRuns(context.WithoutCancel(ctx))
	if err != nil {
		return r, err
	}
	r.audit(g.Plan, g.outcomes, runs)
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
func (g *Generator) sendAll(ctx context.Context, start time.Time) {
	var wg sync.WaitGroup
	defer wg.Wait()
	rng := rand.New(rand.NewPCG(g.Plan.Seed, g.Plan.Seed))
	runID, callIndices := strconv.FormatInt(start.UnixNano(), 36), g.Plan.weightedCallIndices()
	inFlight := make(chan struct{}, maxInFlight)
	interval := time.Duration(float64(time.Second) / g.Plan.Rate)
	for i := range g.Plan.Requests() {
		due := start.Add(time.Duration(i) * interval)
		if !sleepUntil(ctx, due) {
			return
		}
		r := request{callIndex: callIndices[rng.IntN(len(callIndices))], entry: g.entryFor(i), token: runID + "-" + strconv.Itoa(i), due: due}
		select {
		case inFlight <- struct{}{}:
		default:
			g.countSkipped()
			continue
		}
		wg.Go(func() {
			g.addOutcome(g.sendWithRetries(context.WithoutCancel(ctx), r))
			<-inFlight
		})
	}
}

func (g *Generator) entryFor(i int) string {
	if g.Entry != nil {
		return g.Entry(i)
	}
	return g.Plan.Entries[i%len(g.Plan.Entries)]
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

func (g *Generator) countSkipped() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.skipped++
}

func (g *Generator) addOutcome(o Outcome) {
	g.mu.Lock()
	g.outcomes = append(g.outcomes, o)
	g.mu.Unlock()
	if g.OnOutcome != nil {
		g.OnOutcome(o)
	}
}
