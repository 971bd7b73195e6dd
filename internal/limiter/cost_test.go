package limiter

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"runtime"
	"sort"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/zinniaproxy/zinniaproxy/internal/assigner"
	"github.com/zinniaproxy/zinniaproxy/internal/faker"
	"github.com/zinniaproxy/zinniaproxy/internal/messenger"
)

// The planned size of the fleet.
const (
	planNodes             = 680
	planWorkspaces        = 35_000
	planRequestsPerSecond = 130_000
	// planOverheadBytes is what TCP, IP and the link's frame add to a message,
	// including the acknowledgement from the other side.
	planOverheadBytes = 40 + 20 + 20
)

// largeFleet is a fleet of the planned size with a network that only counts
// messages.
type largeFleet struct {
	names            []string
	cumulativeWeight []float64
	nodes            []*Limiter
	members          []messenger.Node
	queries          atomic.Int64
	bytes            atomic.Int64
	sent             atomic.Int64
	refused          atomic.Int64
}

func newLargeFleet(nodes, workspaces int) *largeFleet {
	f := &largeFleet{}
	sum := 0.0
	for i := range workspaces {
		sum += 1 / float64(i+1)
		f.names = append(f.names, fmt.Sprint("workspace-", i))
		f.cumulativeWeight = append(f.cumulativeWeight, sum)
	}
	for i := range nodes {
		f.members = append(f.members, messenger.Node{Name: fmt.Sprint("node-", i), Epoch: 1, Centre: fmt.Sprint("c", i%6)})
	}
	return f
}

// limits returns a function that looks up the rate and burst of a workspace:
// twice the rate that the workspace uses, and a burst of two seconds of that.
func (f *largeFleet) limits(total float64) func(string) (float64, int, bool) {
	rates := map[string]float64{}
	for i, n := range f.names {
		rates[n] = max(0.2, 2*total/float64(i+1)/f.cumulativeWeight[len(f.cumulativeWeight)-1])
	}
	return func(name string) (float64, int, bool) {
		r, ok := rates[name]
		return r, max(5, int(2*r)), ok
	}
}

func (f *largeFleet) wide() ([]string, uint64) { return f.names[:min(len(f.names), 500)], 1 }

func (f *largeFleet) start(ctx context.Context, total float64) {
	store, limits := faker.NewStore(), f.limits(total)
	byName := map[string]*Limiter{}
	for _, m := range f.members {
		l := &Limiter{
			Self: m, Store: store.Client(), Members: func() []messenger.Node { return f.members },
			NewestNumber: func() (uint64, time.Duration, bool) { return 1, 0, true }, Workspace: limits, WideWorkspaces: f.wide,
		}
		l.SendQuery = func(ctx context.Context, node string, q *Query) (*Reply, error) {
			time.Sleep(time.Millisecond)
			r, err := byName[node].HandleQuery(ctx, m.Name, q)
			f.queries.Add(1)
			f.bytes.Add(int64(len(messenger.Encode(q)) + len(messenger.Encode(r))))
			return r, err
		}
		byName[m.Name] = l
		f.nodes = append(f.nodes, l)
	}
	for _, l := range f.nodes {
		go l.Run(ctx)
	}
}

func (f *largeFleet) drawWorkspace(r *rand.Rand) int {
	return sort.SearchFloat64s(f.cumulativeWeight, r.Float64()*f.cumulativeWeight[len(f.cumulativeWeight)-1])
}

// sendTraffic sends requests for the duration d. place picks the entry node.
func (f *largeFleet) sendTraffic(ctx context.Context, total float64, d time.Duration, place func(r *rand.Rand, w int) *Limiter) {
	end := time.Now().Add(d)
	for i := range len(f.nodes) {
		go func() {
			r := rand.New(rand.NewPCG(uint64(i), 3))
			for time.Now().Before(end) {
				time.Sleep(time.Duration(r.ExpFloat64() * float64(len(f.nodes)) / total * float64(time.Second)))
				w := f.drawWorkspace(r)
				l := place(r, w)
				go func() {
					f.sent.Add(1)
					if l.Take(ctx, f.names[w]) != nil {
						f.refused.Add(1)
					}
				}()
			}
		}()
	}
	time.Sleep(d + 2*time.Second)
}

// entryNodes returns a function that picks one of the same k entry nodes for a
// workspace's requests.
func (f *largeFleet) entryNodes(k int) func(r *rand.Rand, w int) *Limiter {
	return func(r *rand.Rand, w int) *Limiter {
		h := assigner.Hash(f.names[w]) + uint64(r.IntN(k))*7919
		return f.nodes[h%uint64(len(f.nodes))]
	}
}

// TestMeasureCost logs messages and bytes at the planned size. It takes some
// minutes and a few GB, so it runs only if LIMITS_COST is set.
func TestMeasureCost(t *testing.T) {
	if os.Getenv("LIMITS_COST") == "" {
		t.Skip("set LIMITS_COST to measure")
	}
	for _, c := range []struct {
		name  string
		place func(f *largeFleet) func(*rand.Rand, int) *Limiter
	}{
		{"any node", func(f *largeFleet) func(*rand.Rand, int) *Limiter { return f.entryNodes(len(f.nodes)) }},
		{"4 nodes each", func(f *largeFleet) func(*rand.Rand, int) *Limiter { return f.entryNodes(4) }},
		{"1 node each", func(f *largeFleet) func(*rand.Rand, int) *Limiter { return f.entryNodes(1) }},
		{"sent to the holder", func(f *largeFleet) func(*rand.Rand, int) *Limiter {
			index := map[string]*Limiter{}
			for _, l := range f.nodes {
				index[l.Self.Name] = l
			}
			return func(r *rand.Rand, w int) *Limiter {
				if l := index[f.nodes[0].SoleHolder(f.names[w])]; l != nil {
					return l
				}
				return f.nodes[r.IntN(len(f.nodes))]
			}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { measureCost(t, c.name, c.place) })
		})
	}
}

func measureCost(t *testing.T, name string, place func(f *largeFleet) func(*rand.Rand, int) *Limiter) {
	const d = 4 * time.Second
	ctx, cancel := context.WithCancel(t.Context())
	f := newLargeFleet(planNodes, planWorkspaces)
	f.start(ctx, planRequestsPerSecond)
	time.Sleep(30 * time.Second)
	f.sendTraffic(ctx, planRequestsPerSecond, d, place(f))
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	sent, queries, bytes := float64(f.sent.Load()), float64(f.queries.Load()), float64(f.bytes.Load())
	perNode := (bytes + 2*queries*planOverheadBytes) / d.Seconds() / planNodes
	t.Logf("%-22s %.0f requests, %.3f queries and %.1f payload bytes a request; a node sends %.1f kB/s with overhead, and receives as much; refused %.0f; heap %.0f kB a node",
		name, sent, queries/sent, bytes/sent, perNode/1000, float64(f.refused.Load()), float64(m.HeapAlloc)/1000/planNodes)
	cancel()
	time.Sleep(time.Minute)
}

// newPair returns one of two limiters that call each other directly, and a
// workspace that it grants itself if local is set, else the other one.
func newPair(b *testing.B, local bool) (*Limiter, string) {
	f := newLargeFleet(2, 4000)
	f.start(b.Context(), 1e9)
	for _, l := range f.nodes {
		l.NewestNumber = func() (uint64, time.Duration, bool) { return 1, 0, true }
	}
	for f.nodes[0].assigner == nil || f.nodes[0].SoleHolder(f.names[600]) == "" {
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(2 * time.Second)
	for _, w := range f.names[500:] {
		if (f.nodes[0].SoleHolder(w) == f.nodes[0].Self.Name) == local {
			return f.nodes[0], w
		}
	}
	b.Fatal("no such workspace")
	return nil, ""
}

func BenchmarkTakeAtHolder(b *testing.B) {
	l, w := newPair(b, true)
	b.ReportAllocs()
	for b.Loop() {
		_ = l.Take(b.Context(), w)
	}
}

func BenchmarkTakePrefetched(b *testing.B) {
	l, w := newPair(b, false)
	_, first := firstShare(w)
	s := l.client.stripe(assigner.Hash(w))
	s.balance(w, time.Now()).prefetched = []tokenBatch{{first, 1 << 40, time.Now().Add(time.Hour), tokenSource{}}}
	b.ReportAllocs()
	for b.Loop() {
		_ = l.Take(b.Context(), w)
	}
}

// BenchmarkQuery measures a query with one token request at the holder,
// including encoding and decoding on both sides.
func BenchmarkQuery(b *testing.B) {
	l, w := newPair(b, true)
	_, first := firstShare(w)
	b.ReportAllocs()
	for i := uint64(1); b.Loop(); i++ {
		q := &Query{From: "node-9#1", Sequence: i, Requests: []TokenRequest{{Workspace: w, Share: uint16(first), Count: 1}}}
		var copied Query
		_ = messenger.Decode(messenger.Encode(q), &copied)
		r, _ := l.HandleQuery(b.Context(), "node-9", &copied)
		var back Reply
		_ = messenger.Decode(messenger.Encode(r), &back)
	}
}

// BenchmarkPlan measures the plan of all shares, which is computed whenever a
// member joins or leaves.
func BenchmarkPlan(b *testing.B) {
	f := newLargeFleet(planNodes, 1)
	b.ReportAllocs()
	for b.Loop() {
		assigner.Plan(f.members)
	}
}
