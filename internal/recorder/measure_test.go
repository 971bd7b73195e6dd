package recorder

import (
	"context"
	"flag"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	qt "github.com/frankban/quicktest"

	"github.com/zinniaproxy/zinniaproxy/internal/faker"
	"github.com/zinniaproxy/zinniaproxy/pkg/coder"
)

var outageDuration = flag.Duration("outage", 2*time.Minute, "how long the store is down in TestMeasureOutage")

// callStats collects the results of keyed calls.
type callStats struct {
	mu      sync.Mutex
	latency *hdrhistogram.Histogram
	refused int
	total   int
}

// runLoad begins and finishes keyed calls at a steady rate and returns when the
// last one has begun.
func (cl *cluster) runLoad(calls *sync.WaitGroup, perSecond int, duration time.Duration, stats *callStats) {
	for i := range int(duration.Seconds() * float64(perSecond)) {
		time.Sleep(time.Second / time.Duration(perSecond))
		calls.Go(func() {
			entryNode := cl.process(cl.alive()[i%len(cl.alive())])
			in := Intent{Workspace: "w", Key: fmt.Sprint(time.Now(), i), RequestDigest: 1, RunID: uint64(i), Timeout: time.Second}
			begun := time.Now()
			_, err := entryNode.Begin(context.Background(), in)
			stats.add(time.Since(begun), err)
			if err == nil {
				time.Sleep(20 * time.Millisecond)
				entryNode.Finish(context.Background(), in, Outcome{Ran: coder.RanYes, Answer: make([]byte, 200)})
			}
		})
	}
}

func (s *callStats) add(took time.Duration, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.total++
	if err != nil {
		s.refused++
		return
	}
	_ = s.latency.RecordValue(took.Microseconds())
}

// newMeasuredCluster returns a running cluster of n nodes with the defaults of
// the recorder, a link latency of 1 ms and a store latency of 3 ms.
func newMeasuredCluster(n int, configure func(*Recorder)) *cluster {
	var names []string
	for i := range n {
		names = append(names, fmt.Sprintf("n%02d", i))
	}
	cl := newCluster(1, names...)
	cl.store.SetFaults(faker.StoreFaults{Slow: 3 * time.Millisecond})
	cl.configure = func(r *Recorder) {
		defaults := New("")
		r.ShardCount, r.KeyLifetime, r.MaxRequestTime, r.MinCommitInterval, r.VoteValidity = defaults.ShardCount, defaults.KeyLifetime, defaults.MaxRequestTime, defaults.MinCommitInterval, defaults.VoteValidity
		configure(r)
	}
	for _, name := range names {
		cl.start(name)
	}
	time.Sleep(10 * time.Second)
	return cl
}

// TestMeasureCommits measures store writes and added latency at 1,000 keyed
// calls a second. The short key lifetime makes segments expire and be deleted,
// as in a long run.
func TestMeasureCommits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		cl := newMeasuredCluster(20, func(r *Recorder) { r.KeyLifetime, r.MaxRequestTime = 3*time.Second, time.Second })
		stats := &callStats{latency: hdrhistogram.New(1, 60_000_000, 3)}
		var calls sync.WaitGroup
		cl.runLoad(&calls, 1000, 5*time.Second, stats)
		before, queriesBefore := cl.store.Counts(), cl.queryCount()
		const duration = 10 * time.Second
		cl.runLoad(&calls, 1000, duration, stats)
		after, queriesAfter := cl.store.Counts(), cl.queryCount()
		calls.Wait()
		writes := float64(after.Writes-before.Writes) / duration.Seconds()
		t.Logf("%.0f writes and %.1f reads a second, %.2f queries per call, added p50 %.1f ms p99 %.1f ms, %d of %d refused",
			writes, float64(after.Reads-before.Reads)/duration.Seconds(), float64(queriesAfter-queriesBefore)/(1000*duration.Seconds()),
			float64(stats.latency.ValueAtPercentile(50))/1000, float64(stats.latency.ValueAtPercentile(99))/1000, stats.refused, stats.total)
		c.Check(writes < 200, qt.IsTrue)
		c.Check(stats.refused, qt.Equals, 0)
		lowRate := &callStats{latency: hdrhistogram.New(1, 60_000_000, 3)}
		cl.runLoad(&calls, 10, 20*time.Second, lowRate)
		calls.Wait()
		t.Logf("at 10 calls a second: added p50 %.1f ms p99 %.1f ms",
			float64(lowRate.latency.ValueAtPercentile(50))/1000, float64(lowRate.latency.ValueAtPercentile(99))/1000)
		cl.close()
	})
}

// TestMeasureOutage bounds the calls refused while the store is down and, by
// row, nodes are replaced and an owner dies.
func TestMeasureOutage(t *testing.T) {
	for _, row := range []struct {
		name                string
		plannedReplacements int
		ownerDies           bool
		maxRefusedFraction  float64
	}{
		{"no replacement", 0, false, 0},
		{"4 of 20 nodes replaced as planned", 4, false, 0},
		{"and an owner dies after half of it", 4, true, 0.5},
	} {
		t.Run(row.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				cl := newMeasuredCluster(20, func(*Recorder) {})
				time.Sleep(time.Minute) // let the voters learn the owners
				cl.store.SetFaults(faker.StoreFaults{Down: true})
				stats := &callStats{latency: hdrhistogram.New(1, 60_000_000, 3)}
				var calls sync.WaitGroup
				const parts = 10
				for part := range parts {
					if part > 0 && part <= row.plannedReplacements {
						cl.replaceNode(cl.names[part])
					}
					if part == parts/2 && row.ownerDies {
						cl.killOwner()
					}
					cl.runLoad(&calls, 2, *outageDuration/parts, stats)
				}
				calls.Wait()
				t.Logf("%d of %d keyed calls refused", stats.refused, stats.total)
				c.Check(float64(stats.refused) <= row.maxRefusedFraction*float64(stats.total), qt.IsTrue)
				cl.store.SetFaults(faker.StoreFaults{})
				begun := time.Now()
				for !cl.allShardsServed() {
					time.Sleep(100 * time.Millisecond)
				}
				t.Logf("all shards owned %v after the store recovered", time.Since(begun))
				cl.close()
			})
		})
	}
}

// queryCount returns the number of queries between nodes.
func (cl *cluster) queryCount() int {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	return cl.queries
}

// drainTime is how long a stopping node goes on after its release, so that the
// calls that it has begun end. It is no multiple of the time between two calls.
const drainTime = 1250 * time.Millisecond

// replaceNode stops a node with a release and starts it again.
func (cl *cluster) replaceNode(name string) {
	p := cl.process(name)
	p.Release(context.Background())
	time.Sleep(drainTime)
	cl.kill(name)
	time.Sleep(time.Second)
	cl.start(name)
}

// killOwner kills the first node that owns a shard.
func (cl *cluster) killOwner() {
	for _, name := range cl.names {
		for _, s := range cl.process(name).shards {
			if s.serves() {
				cl.kill(name)
				return
			}
		}
	}
}

// allShardsServed reports whether each shard has an owner that accepts calls.
func (cl *cluster) allShardsServed() bool {
	for i := range DefaultShardCount {
		served := false
		for _, name := range cl.alive() {
			s := cl.process(name).shards[i]
			s.mu.Lock()
			served = served || (s.role == roleOwner && !time.Now().Before(s.blockedUntil) && !s.storeFailedAt.After(s.storeConfirmedAt))
			s.mu.Unlock()
		}
		if !served {
			return false
		}
	}
	return true
}
