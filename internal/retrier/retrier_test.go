package retrier

import (
	"context"
	"flag"
	"math"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/zinniaproxy/zinniaproxy/pkg/coder"
)

func init() { _ = flag.Set("rapid.seed", "1") }

func ignore(int) {}

// fakeTarget is a target that counts its own runs.
type fakeTarget struct {
	mu   sync.Mutex
	runs int
}

func (f *fakeTarget) run() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.runs++
	return f.runs
}

// call ends one attempt with the given outcome.
func (f *fakeTarget) call(ctx context.Context, outcome string) (int, error) {
	switch outcome {
	case "respond":
		return f.run(), nil
	case "cut after run":
		f.run()
		return 0, coder.New(coder.Cut, "")
	case "cut before run":
		return 0, coder.New(coder.Cut, "")
	case "slow":
		time.Sleep(time.Second)
		if ctx.Err() != nil {
			return 0, coder.New(coder.Canceled, "")
		}
		return f.run(), nil
	case "hang":
		<-ctx.Done()
		return 0, coder.New(coder.Canceled, "")
	case "shed":
		return 0, coder.New(coder.Shed, "").WithAfter(time.Second)
	case "leaving":
		return 0, coder.New(coder.NodeLeaving, "")
	}
	return 0, coder.New(coder.NotSent, "")
}

var attemptOutcomes = []string{"respond", "cut after run", "cut before run", "slow", "hang", "shed", "leaving", "not sent"}

// The number of runs that the target itself counted must agree with the outcome
// of the request: no run after an error that says "not run", and at most one of
// a non-idempotent request.
func TestErrorsAgreeWithRunsAtTarget(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		nonIdempotent := rapid.Bool().Draw(rt, "non-idempotent")
		outcomes := rapid.SliceOfN(rapid.SampledFrom(attemptOutcomes), 8, 8).Draw(rt, "outcomes")
		synctest.Test(t, func(*testing.T) { checkRunsAtTarget(rt, nonIdempotent, outcomes) })
	})
}

func checkRunsAtTarget(t *rapid.T, nonIdempotent bool, outcomes []string) {
	target := &fakeTarget{}
	startedAt := time.Now()
	const timeout = 3 * time.Second
	p := Policy{Service: "a", NonIdempotent: nonIdempotent, Deadline: startedAt.Add(timeout)}
	p.ProveNotRun = func(_ context.Context, attempt int) bool {
		return outcomes[attempt] == "cut before run"
	}
	r := New()
	r.InitialBudget = 10
	for range DefaultHedgeMinSamples {
		r.service("a").latency("").add(startedAt, 10*time.Millisecond, r.HistogramPeriod)
	}
	_, err := Do(context.Background(), r, p, AttemptFuncs[int]{Discard: ignore, Try: func(ctx context.Context, attempt int) (int, error) {
		if !time.Now().Before(p.Deadline) {
			t.Fatalf("attempt %d started after the deadline", attempt)
		}
		return target.call(ctx, outcomes[attempt])
	}})
	if time.Since(startedAt) > timeout+cancelGracePeriod {
		t.Fatalf("request ended past its deadline, after %v", time.Since(startedAt))
	}
	time.Sleep(timeout) // lets canceled attempts end
	synctest.Wait()
	if nonIdempotent && target.runs > 1 {
		t.Fatalf("non-idempotent request ran %d times", target.runs)
	}
	if err != nil && coder.Of(err).Ran() == coder.RanNo && target.runs > 0 {
		t.Fatalf("error says that the request did not run, but it ran: %v", err)
	}
}

func TestFinalErrorIsReturnedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		startedAt := time.Now()
		attempts := 0
		_, err := Do(t.Context(), New(), Policy{Deadline: startedAt.Add(time.Minute)}, AttemptFuncs[int]{Discard: ignore, Try: func(context.Context, int) (int, error) {
			attempts++
			return 0, coder.New(coder.RateExceeded, "").WithAfter(time.Second)
		}})
		c.Check(attempts, qt.Equals, 1)
		c.Check(coder.Of(err).After, qt.Equals, time.Second)
		c.Check(time.Since(startedAt), qt.Equals, time.Duration(0))
	})
}

func TestLosingAttemptIsCanceledAndDiscarded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		r := New()
		for range DefaultHedgeMinSamples {
			r.service("").latency("").add(time.Now(), 10*time.Millisecond, r.HistogramPeriod)
		}
		discarded := 0
		got, err := Do(t.Context(), r, Policy{Deadline: time.Now().Add(time.Minute)}, AttemptFuncs[int]{Try: func(ctx context.Context, attempt int) (int, error) {
			if attempt == 0 {
				<-ctx.Done() // the response arrives after the cancellation
			}
			return attempt, nil
		}, Discard: func(int) { discarded++ }})
		synctest.Wait()
		c.Assert(err, qt.IsNil)
		c.Check(got, qt.Equals, 1)
		c.Check(discarded, qt.Equals, 1)
		c.Check(r.Counts().Hedges, qt.Equals, int64(1))
	})
}

func TestCancellationReachesEachAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		reached := false
		time.AfterFunc(time.Second, cancel)
		_, err := Do(ctx, New(), Policy{Deadline: time.Now().Add(time.Minute)}, AttemptFuncs[int]{Discard: ignore, Try: func(ctx context.Context, _ int) (int, error) {
			<-ctx.Done()
			reached = true
			return 0, ctx.Err()
		}})
		synctest.Wait()
		c.Check(coder.Of(err).Code, qt.Equals, coder.Canceled)
		c.Check(reached, qt.IsTrue)
	})
}

func TestFailedResponseIsRetried(t *testing.T) {
	for _, row := range []struct {
		name          string
		nonIdempotent bool
		statuses      []int
		wantStatus    int
		wantDiscarded int
	}{
		{"a retry succeeds", false, []int{500, 200}, 200, 1},
		{"all attempts fail", false, []int{500, 501, 502}, 502, 2},
		{"non-idempotent", true, []int{500, 200}, 500, 0},
	} {
		t.Run(row.name, func(t *testing.T) {
			c := qt.New(t)
			discarded := 0
			r := New()
			r.InitialBudget = 10
			got, err := Do(t.Context(), r, Policy{NonIdempotent: row.nonIdempotent, Deadline: time.Now().Add(time.Minute)}, AttemptFuncs[int]{
				Try:       func(_ context.Context, attempt int) (int, error) { return row.statuses[attempt], nil },
				IsFailure: func(status int) bool { return status >= 500 },
				Discard:   func(int) { discarded++ },
			})
			c.Check(err, qt.IsNil)
			c.Check(got, qt.Equals, row.wantStatus)
			c.Check(discarded, qt.Equals, row.wantDiscarded)
		})
	}
}

// lockedRand is a random source with a fixed seed that concurrent attempts share.
type lockedRand struct {
	mu  sync.Mutex
	rnd *rand.Rand
}

func newLockedRand() *lockedRand { return &lockedRand{rnd: rand.New(rand.NewPCG(1, 1))} }

func (l *lockedRand) next() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rnd.Float64()
}

// attemptsPerRequest makes requests to a service at which the given fraction of
// attempts fails. It returns the mean number of attempts of a request.
func attemptsPerRequest(t *testing.T, r *Retrier, failureRate float64) float64 {
	rnd := newLockedRand()
	synctest.Test(t, func(t *testing.T) {
		for range 2_000 {
			p := Policy{Service: "a", Deadline: time.Now().Add(time.Second)}
			_, _ = Do(t.Context(), r, p, AttemptFuncs[int]{Discard: ignore, Try: func(context.Context, int) (int, error) {
				time.Sleep(2 * time.Millisecond)
				if rnd.next() < failureRate {
					return 0, coder.New(coder.Cut, "")
				}
				return 0, nil
			}})
		}
	})
	counts := r.Counts()
	return float64(counts.Attempts) / float64(counts.Requests)
}

func TestBudgetPreventsRetryStorm(t *testing.T) {
	c := qt.New(t)
	for _, failureRate := range []float64{0.1, 0.5, 1} {
		unbounded := New()
		unbounded.InitialBudget, unbounded.MaxBudget = 1e9, 1e9
		without, with := attemptsPerRequest(t, unbounded, failureRate), attemptsPerRequest(t, New(), failureRate)
		t.Logf("%3.0f%% of attempts fail: %.3f attempts per request, without a budget %.3f", 100*failureRate, with, without)
		c.Check(with <= 1.2, qt.IsTrue, qt.Commentf("%v", with))
	}
}

// measureLatencies returns the latencies in µs of requests whose attempts take
// 5 ms on average, except 2% that stall for a second.
func measureLatencies(t *testing.T, r *Retrier) *hdrhistogram.Histogram {
	rnd := newLockedRand()
	h := hdrhistogram.New(1, 10_000_000, 3)
	synctest.Test(t, func(t *testing.T) {
		for range 5_000 {
			startedAt := time.Now()
			p := Policy{Service: "a", Deadline: startedAt.Add(5 * time.Second)}
			_, err := Do(t.Context(), r, p, AttemptFuncs[int]{Discard: ignore, Try: func(ctx context.Context, _ int) (int, error) {
				d := time.Duration(-math.Log(1-rnd.next()) * float64(5*time.Millisecond))
				if rnd.next() < 0.02 {
					d = time.Second
				}
				select {
				case <-time.After(d):
					return 0, nil
				case <-ctx.Done():
					return 0, ctx.Err()
				}
			}})
			if err != nil {
				t.Fatal(err)
			}
			_ = h.RecordValue(time.Since(startedAt).Microseconds())
			synctest.Wait()
		}
	})
	return h
}

func TestHedgingReducesTailLatency(t *testing.T) {
	c := qt.New(t)
	unhedged := New()
	unhedged.HedgeQuantile = 0
	hedged := New()
	without, with := measureLatencies(t, unhedged), measureLatencies(t, hedged)
	counts := hedged.Counts()
	t.Logf("p99 %d µs with hedging, %d µs without; p99.9 %d µs with, %d µs without; %.3f attempts per request",
		with.ValueAtPercentile(99), without.ValueAtPercentile(99), with.ValueAtPercentile(99.9), without.ValueAtPercentile(99.9),
		float64(counts.Attempts)/float64(counts.Requests))
	c.Check(with.ValueAtPercentile(99) < 100_000, qt.IsTrue)
	c.Check(float64(counts.Attempts)/float64(counts.Requests) <= 1.2, qt.IsTrue)
}

func BenchmarkDo(b *testing.B) {
	r := New()
	p := Policy{Service: "a", Deadline: time.Now().Add(time.Hour)}
	b.ReportAllocs()
	for b.Loop() {
		ctx, cancel := context.WithCancel(context.Background())
		_, _ = Do(ctx, r, p, AttemptFuncs[int]{Discard: ignore, Try: func(context.Context, int) (int, error) { return 1, nil }})
		cancel()
	}
}
