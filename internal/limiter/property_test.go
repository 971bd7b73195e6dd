package limiter

import (
	"context"
	"flag"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"
)

const testDrift = 0.01

// step is one fault or repair. All values are drawn before the synctest bubble
// starts, since rapid cannot abort a draw inside it.
type step struct {
	action           string
	delay, pauseTime time.Duration
	node, to         int
	on               bool
	clockSpeed       float64
	limit            rateLimit
	wide             int
}

var actions = []string{
	"pause", "pause", "kill", "restart", "restart", "leave", "block", "nostore", "nostamps",
	"hide", "hideall", "limit", "wide", "heal", "join", "restartall",
}

func drawSteps(r *rapid.T) []step {
	steps := make([]step, rapid.IntRange(3, 16).Draw(r, "steps"))
	for i := range steps {
		steps[i] = step{
			action:     rapid.SampledFrom(actions).Draw(r, "action"),
			delay:      drawTime(r, "delay", 8*time.Second),
			pauseTime:  drawTime(r, "pause", 20*time.Second),
			node:       rapid.IntRange(0, 5).Draw(r, "node"),
			to:         rapid.IntRange(0, 5).Draw(r, "to"),
			on:         rapid.Bool().Draw(r, "on"),
			clockSpeed: drawClockSpeed(r),
			limit: rateLimit{
				rate:  rapid.SampledFrom([]float64{1, 20, 20}).Draw(r, "rate"),
				burst: rapid.SampledFrom([]int{2, 8, 30}).Draw(r, "burst"),
			},
			wide: rapid.IntRange(0, 3).Draw(r, "wide"),
		}
	}
	return steps
}

func drawTime(r *rapid.T, name string, top time.Duration) time.Duration {
	return time.Duration(rapid.Int64Range(0, int64(top/time.Millisecond)).Draw(r, name)) * time.Millisecond
}

func drawClockSpeed(r *rapid.T) float64 {
	return 1 + rapid.SampledFrom([]float64{-testDrift, 0, testDrift}).Draw(r, "speed")
}

// adversary applies the steps to a fleet.
type adversary struct {
	f *fleet
	// maxLimits contains the largest rate and burst that each workspace ever
	// had.
	maxLimits map[string]rateLimit
}

func (a *adversary) start(number int, speed float64) {
	a.f.start(number, speed, func(l *Limiter) {
		l.ClockDrift, l.HolderTimeout = testDrift, 2*time.Second
	})
}

func (a *adversary) apply(s step) {
	nodes := a.f.runningNodes()
	n, to := nodes[s.node%len(nodes)], nodes[s.to%len(nodes)]
	switch s.action {
	case "pause":
		n.pauseFor(s.pauseTime)
	case "kill":
		if len(nodes) > 2 {
			n.kill()
		}
	case "restart":
		n.kill()
		a.start(n.number, s.clockSpeed)
	case "leave":
		a.leave(n)
	case "block":
		a.f.mu.Lock()
		a.f.blocked[[2]string{n.Self.Name, to.Self.Name}] = s.on
		a.f.mu.Unlock()
	case "nostore":
		n.mu.Lock()
		n.noStore = s.on
		n.mu.Unlock()
	case "nostamps":
		n.mu.Lock()
		n.noStamps = s.on
		n.mu.Unlock()
	case "hide":
		n.mu.Lock()
		n.hiddenNodes[to.Self.Name] = s.on
		n.mu.Unlock()
	case "hideall":
		a.hideEverywhere(n, s.on)
	case "limit":
		a.changeLimit([]string{"a", "b", "c"}[s.to%3], s.limit)
	case "wide":
		a.f.mu.Lock()
		a.f.config++
		a.f.wide = [][]string{{"a"}, {"a", "c"}, {"a", "c", "x"}, {"c", "x", "y", "z"}}[s.wide]
		a.f.mu.Unlock()
	case "heal":
		a.heal()
	case "join":
		if len(nodes) < 6 {
			a.start(len(a.f.nodes), s.clockSpeed)
		}
	case "restartall":
		for _, m := range nodes {
			m.kill()
			a.start(m.number, s.clockSpeed)
		}
	}
}

// hideEverywhere makes all other nodes believe that a node is dead, or alive
// again.
func (a *adversary) hideEverywhere(n *node, on bool) {
	for _, m := range a.f.runningNodes() {
		m.mu.Lock()
		m.hiddenNodes[n.Self.Name] = on
		m.mu.Unlock()
	}
}

func (a *adversary) leave(n *node) {
	if len(a.f.runningNodes()) < 3 {
		return
	}
	a.f.mu.Lock()
	n.leaving = true
	a.f.mu.Unlock()
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
		defer cancel()
		n.Leave(ctx)
		n.kill()
	}()
}

func (a *adversary) heal() {
	a.f.mu.Lock()
	clear(a.f.blocked)
	a.f.mu.Unlock()
	for _, n := range a.f.runningNodes() {
		n.mu.Lock()
		n.noStore, n.noStamps = false, false
		clear(n.hiddenNodes)
		n.mu.Unlock()
	}
}

func (a *adversary) changeLimit(name string, limit rateLimit) {
	a.f.setLimit(name, limit.rate, limit.burst)
	largest := a.maxLimits[name]
	a.maxLimits[name] = rateLimit{max(largest.rate, limit.rate), max(largest.burst, limit.burst)}
}

// overload sends far more requests than the rates allow, at all nodes.
func (a *adversary) overload(stop chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(200 * time.Millisecond):
		}
		for _, n := range a.f.runningNodes() {
			for _, w := range []string{"a", "b", "c"} {
				go a.f.request(n, w)
			}
		}
	}
}

// reduceChecks lowers rapid's default number of runs, since each simulates
// minutes of a fleet. A number given on the command line is kept.
func reduceChecks(t *testing.T) {
	checks := flag.Lookup("rapid.checks")
	if checks == nil || checks.Value.String() != checks.DefValue {
		return
	}
	_ = checks.Value.Set("25")
	t.Cleanup(func() { _ = checks.Value.Set(checks.DefValue) })
}

// TestNeverAboveRateAndBurst applies faults in any order and checks every
// window of what the whole fleet admitted.
func TestNeverAboveRateAndBurst(t *testing.T) {
	reduceChecks(t)
	rapid.Check(t, func(r *rapid.T) {
		seed, steps := rapid.Uint64().Draw(r, "seed"), drawSteps(r)
		delay := time.Duration(rapid.SampledFrom([]int{2, 20, 400}).Draw(r, "delay")) * time.Millisecond
		speeds := rapid.SliceOfN(rapid.Custom(drawClockSpeed), 2, 4).Draw(r, "speeds")
		var a *adversary
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, seed)
			f.maxDelay, f.duplicateChance, f.maxDuplicateDelay, f.lostWriteReplyChance = delay, 0.1, 15*time.Second, 0.1
			a = &adversary{f: f, maxLimits: map[string]rateLimit{"a": {20, 30}, "b": {0.5, 1}, "c": {20, 8}}}
			a.run(speeds, steps)
		})
		for name, limit := range a.maxLimits {
			if over := excess(a.f.admittedAt[name], limit); over > 1e-6 {
				r.Fatalf("workspace %s: %d admitted, %.2f too many in some window", name, len(a.f.admittedAt[name]), over)
			}
		}
	})
}

func (a *adversary) run(speeds []float64, steps []step) {
	for name, limit := range a.maxLimits {
		a.f.setLimit(name, limit.rate, limit.burst)
	}
	a.f.wide = []string{"a"}
	for i, speed := range speeds {
		a.start(i, speed)
	}
	stop := make(chan struct{})
	go a.overload(stop)
	for _, s := range steps {
		time.Sleep(s.delay)
		a.apply(s)
	}
	time.Sleep(15 * time.Second)
	close(stop)
	a.heal()
	a.f.close()
}
