package limiter

import (
	"fmt"
	"math"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/zinniaproxy/zinniaproxy/internal/assigner"
	"github.com/zinniaproxy/zinniaproxy/internal/bucketer"
)

// workload is the traffic of one workspace that stays within its rate and
// burst.
type workload struct {
	name  string
	limit rateLimit
	// bursting sends the whole burst at once and then nothing until it is full
	// again.
	bursting bool
}

// scenario is a kind of traffic, with a disturbance of the fleet.
type scenario struct {
	name     string
	duration time.Duration
	bursting bool
	// entry picks the entry node of a request.
	entry func(f *fleet, i int) *node
	// disturb acts after half of the duration, and returns the names of the
	// nodes that were lost.
	disturb func(f *fleet) []string
	// noRefusals means that no request may be refused.
	noRefusals bool
}

// results counts the requests of one scenario.
type results struct {
	mu                        sync.Mutex
	sent, refused             int
	wronglyRefused            int
	refusedByKind             map[string]int
	latencies                 []time.Duration
	holderLost                map[string]bool // workspaces whose holder was lost
	lostAt                    time.Time
	staticSent, staticRefused int
}

const (
	nodeCount      = 12
	deathDetection = 5 * time.Second
	// recoveryTime is the time until a lost holder's shares are granted again:
	// its death is detected, the shares are reassigned and the fence ends.
	recoveryTime = deathDetection + assigner.DefaultHolderTimeout + assigner.DefaultWriteStagger + DefaultFence + 2*time.Second
)

func anyNode(f *fleet, _ int) *node {
	nodes := f.runningNodes()
	f.mu.Lock()
	defer f.mu.Unlock()
	return nodes[f.rand.IntN(len(nodes))]
}

func killNodes(numbers ...int) func(*fleet) []string {
	return func(f *fleet) []string {
		var names []string
		for _, n := range f.runningNodes() {
			if slices.Contains(numbers, n.number) {
				names = append(names, n.Self.Name)
				n.kill()
			}
		}
		return names
	}
}

func storeDown(f *fleet) []string {
	for _, n := range f.runningNodes() {
		n.mu.Lock()
		n.noStore = true
		n.mu.Unlock()
	}
	return nil
}

var scenarios = []scenario{
	{name: "steady", duration: 2 * time.Minute, entry: anyNode, noRefusals: true},
	{name: "bursting", duration: 2 * time.Minute, entry: anyNode, bursting: true, noRefusals: true},
	{name: "one node", duration: 2 * time.Minute, entry: func(f *fleet, _ int) *node { return f.runningNodes()[3] }, noRefusals: true},
	{name: "moving", duration: 2 * time.Minute, entry: func(f *fleet, i int) *node {
		nodes := f.runningNodes()
		return nodes[(i+int(time.Now().Unix()/10))%len(nodes)]
	}, noRefusals: true},
	{name: "holder lost", duration: 4 * time.Minute, entry: anyNode, disturb: killNodes(3)},
	{name: "planned stop", duration: 2 * time.Minute, entry: anyNode, noRefusals: true, disturb: func(f *fleet) []string {
		n := f.runningNodes()[3]
		f.mu.Lock()
		n.leaving = true
		f.mu.Unlock()
		n.Leave(f.t.Context())
		n.kill()
		return nil
	}},
	{name: "store down 1 h", duration: time.Hour, entry: anyNode, disturb: storeDown, noRefusals: true},
	{name: "data centre lost", duration: 4 * time.Minute, entry: anyNode, disturb: killNodes(0, 3, 6, 9)},
}

func workloads(bursting bool) (out []workload) {
	add := func(n int, kind string, limit rateLimit) {
		for i := range n {
			out = append(out, workload{fmt.Sprint(kind, i), limit, bursting})
		}
	}
	add(20, "tiny", rateLimit{0.1, 1})
	add(20, "small", rateLimit{1, 5})
	add(6, "medium", rateLimit{10, 20})
	return out
}

// sendWorkload sends the workload through the fleet, and compares it with a
// static split of the limit over the nodes.
func (f *fleet) sendWorkload(w workload, s scenario, r *results, end time.Time) {
	allowed, split := bucketer.New(time.Time{}, time.Time{}), make([]*bucketer.Bucket, nodeCount)
	recovery := &recoveryBucket{}
	full := bucketer.Limit{Rate: w.limit.rate, Burst: float64(w.limit.burst)}
	nodeLimit := bucketer.Limit{Rate: w.limit.rate / nodeCount, Burst: max(1, full.Burst/nodeCount)}
	for i := range split {
		split[i] = bucketer.New(time.Time{}, time.Time{})
	}
	for i := 0; time.Now().Before(end); i++ {
		time.Sleep(f.nextDelay(w))
		if time.Now().After(end) {
			return
		}
		count := 1
		if w.bursting {
			count = w.limit.burst
		}
		for range allowed.Take(time.Now(), full, count, 0) {
			n := s.entry(f, i)
			r.countStatic(split[n.number].Take(time.Now(), nodeLimit, 1, 0) == 1)
			go f.measuredRequest(n, w.name, r, recovery.take(w, r.recoveredAt(w.name)))
		}
	}
}

// nextDelay draws the time to the next request or burst.
func (f *fleet) nextDelay(w workload) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if w.bursting {
		return time.Duration((float64(w.limit.burst)/w.limit.rate + f.rand.Float64()) * float64(time.Second))
	}
	return time.Duration(-math.Log(1-f.rand.Float64()) / (0.9 * w.limit.rate) * float64(time.Second))
}

func (r *results) countStatic(ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.staticSent++
	if !ok {
		r.staticRefused++
	}
}

// recoveryBucket models the tokens due to a workspace whose holder was lost: a
// bucket that starts empty when the share is granted again.
type recoveryBucket struct {
	tokens float64
	at     time.Time
}

// take reports whether a request finds a token at once in a bucket that was
// empty at recoveredAt. It returns true if that time is zero. A request that
// finds no token may wait for a later one, and uses that up.
func (b *recoveryBucket) take(w workload, recoveredAt time.Time) bool {
	now := time.Now()
	if recoveredAt.IsZero() {
		return true
	}
	if b.at.Before(recoveredAt) {
		b.at, b.tokens = recoveredAt, 0
	}
	if now.Before(b.at) {
		return false
	}
	b.tokens = min(b.tokens+now.Sub(b.at).Seconds()*w.limit.rate, float64(w.limit.burst))
	b.at = now
	found := b.tokens >= 1
	if b.tokens >= 1-w.limit.rate*DefaultMaxWait.Seconds() {
		b.tokens--
	}
	return found
}

// recoveredAt returns when the share of a lost holder is granted again at the
// latest. It is zero if the workspace's holder was not lost.
func (r *results) recoveredAt(workspace string) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.holderLost[workspace] {
		return time.Time{}
	}
	return r.lostAt.Add(recoveryTime)
}

func (f *fleet) measuredRequest(n *node, workspace string, r *results, expected bool) {
	begin := time.Now()
	err := n.Take(f.t.Context(), workspace)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sent++
	r.latencies = append(r.latencies, time.Since(begin))
	if err == nil {
		return
	}
	r.refused++
	r.refusedByKind[strings.TrimRight(workspace, "0123456789")]++
	if expected {
		r.wronglyRefused++
	}
}

func (f *fleet) run(s scenario) *results {
	r := &results{holderLost: map[string]bool{}, refusedByKind: map[string]int{}}
	f.detectAfter = deathDetection
	list := workloads(s.bursting)
	for _, w := range list {
		f.setLimit(w.name, w.limit.rate, w.limit.burst)
	}
	for i := range nodeCount {
		f.start(i, 1, nil)
	}
	time.Sleep(30 * time.Second)
	end := time.Now().Add(s.duration)
	for _, w := range list {
		go f.sendWorkload(w, s, r, end)
	}
	time.Sleep(s.duration / 2)
	if s.disturb != nil {
		f.applyDisturbance(s, r, list)
	}
	time.Sleep(s.duration/2 + 10*time.Second)
	return r
}

func (f *fleet) applyDisturbance(s scenario, r *results, list []workload) {
	holderNodes := map[string]string{}
	for _, w := range list {
		holderNodes[w.name] = f.runningNodes()[0].SoleHolder(w.name)
	}
	names := s.disturb(f)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lostAt = time.Now()
	for w, node := range holderNodes {
		r.holderLost[w] = slices.Contains(names, node)
	}
}

// TestMeasureWrongfulRefusals logs and bounds how many requests are refused
// although their workspace is within its rate and burst. Each scenario runs for
// a minute at most, or for its whole duration if LIMITS_FULL is set.
func TestMeasureWrongfulRefusals(t *testing.T) {
	for _, s := range scenarios {
		if os.Getenv("LIMITS_FULL") == "" {
			s.duration = min(s.duration/4, time.Minute)
		}
		t.Run(s.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, 5)
				r := f.run(s)
				f.close()
				r.mu.Lock()
				defer r.mu.Unlock()
				slices.Sort(r.latencies)
				r.print(t, s.name)
				c := qt.New(t)
				if s.noRefusals {
					c.Check(r.refused, qt.Equals, 0)
				}
				c.Check(r.wronglyRefused*1000 <= r.sent, qt.IsTrue)
			})
		})
	}
}

func (r *results) print(t *testing.T, name string) {
	at := func(p float64) time.Duration { return r.latencies[int(p*float64(len(r.latencies)-1))] }
	t.Logf("%-16s sent %d refused %d (%.3f%%), refused although a token was due %d (%.3f%%); static split %.2f%%; took p50 %v p99 %v p99.9 %v; refused by kind %v",
		name, r.sent, r.refused, percent(r.refused, r.sent), r.wronglyRefused, percent(r.wronglyRefused, r.sent),
		percent(r.staticRefused, r.staticSent), at(0.5), at(0.99), at(0.999), r.refusedByKind)
}

func percent(n, of int) float64 { return 100 * float64(n) / float64(max(1, of)) }
