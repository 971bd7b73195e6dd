package bidder

import (
	"context"
	"math"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/zinniaproxy/zinniaproxy/internal/gater"
	"github.com/zinniaproxy/zinniaproxy/internal/messenger"
)

// The pattern of these tests: targets take turns at hanging. Each target is in a
// spell for some seconds now and then, in which it hangs most of its calls; the
// calls may not be repeated, so that each one that meets a spell is lost.
const (
	spellTargets = 18
	spellSlots   = 7
	spellRate    = 90 // calls a second
	spellTime    = 40 * time.Second
	spellPeriod  = 9 * time.Second
	spellPart    = 0.25
	spellHangs   = 0.75
	callTimeout  = 2500 * time.Millisecond
	callMean     = 350 * time.Millisecond
)

// spellTarget is a target behind its exit's gate.
type spellTarget struct {
	target messenger.Target
	gate   gater.Gater
	rand   *rand.Rand
	flying int
	spells []bool // by period
}

// enter asks the gate; a blind world has one that nothing is told.
func (s *spellTarget) enter(blind bool) (*gater.Flight, error) {
	gate := &s.gate
	if blind {
		gate = &gater.Gater{}
	}
	f, _, err := gate.Enter(gater.Ticket{Target: s.target.Name, Route: "book", Aim: 3 * callMean, Once: true, Bold: true})
	return f, err
}

func (s *spellTarget) hangs(since time.Duration) bool {
	return s.spells[int(since/spellPeriod)] && s.rand.Float64() < spellHangs
}

// world is a service and the entry's choice among its targets.
type world struct {
	targets []*spellTarget
	begin   time.Time
	bidder  Bidder
	// mu guards all below, and the targets' fields but their gates.
	mu   sync.Mutex
	rand *rand.Rand
	// blind tells that no gate learns from the calls.
	blind bool
	// Ends of calls.
	good, hung, refused int
}

func newWorld(seed uint64) *world {
	w := &world{begin: time.Now(), rand: rand.New(rand.NewPCG(seed, 1))}
	for i := range spellTargets {
		s := &spellTarget{
			target: messenger.Target{Name: string(rune('a' + i)), Node: string(rune('a' + i))},
			rand:   rand.New(rand.NewPCG(seed, uint64(i)+2)),
		}
		for range int(spellTime/spellPeriod) + 2 {
			s.spells = append(s.spells, s.rand.Float64() < spellPart)
		}
		w.targets = append(w.targets, s)
	}
	w.bidder = Bidder{
		Candidates: w.candidates,
		Ask: func(_ context.Context, node string, _ *Question) (*Bid, error) {
			s := w.targets[node[0]-'a']
			w.mu.Lock()
			defer w.mu.Unlock()
			return &Bid{Risk: s.gate.Risk(s.target.Name), Flying: s.flying, Limit: spellSlots}, nil
		},
		Heard: func(messenger.Target, Bid) {}, Lost: func(string, error) {},
	}
	return w
}

func (w *world) candidates(_ string, tried []string, n int, _ bool) []messenger.Target {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []messenger.Target
	for _, i := range w.rand.Perm(len(w.targets)) {
		t := w.targets[i].target
		skip := false
		for _, name := range tried {
			skip = skip || name == t.Name
		}
		if !skip && len(out) < n {
			out = append(out, t)
		}
	}
	return out
}

// call sends one call to the target that choose returns.
func (w *world) call(choose func(c *messenger.Call) (messenger.Target, error)) {
	c := &messenger.Call{Once: true, Bold: true, Route: "book"}
	t, err := choose(c)
	if err != nil {
		w.count(&w.refused)
		return
	}
	s := w.targets[t.Name[0]-'a']
	f, err := s.enter(w.blind)
	if err != nil {
		w.count(&w.refused)
		return
	}
	hangs, took := w.start(s)
	defer w.end(s)
	if hangs {
		time.Sleep(callTimeout)
		f.Done(gater.Late)
		w.count(&w.hung)
		return
	}
	time.Sleep(took)
	f.Headed()
	f.Done(gater.Good)
	w.count(&w.good)
}

func (w *world) count(n *int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	*n++
}

// start takes a slot and draws how the call ends.
func (w *world) start(s *spellTarget) (hangs bool, took time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	s.flying++
	took = time.Duration(float64(callMean) * math.Exp(0.6*s.rand.NormFloat64()-0.18))
	return s.hangs(time.Since(w.begin)), took
}

func (w *world) end(s *spellTarget) {
	w.mu.Lock()
	defer w.mu.Unlock()
	s.flying--
}

// run plays the pattern and returns its end.
func (w *world) run(choose func(c *messenger.Call) (messenger.Target, error)) {
	for time.Since(w.begin) < spellTime {
		go w.call(choose)
		time.Sleep(time.Second / spellRate)
		synctest.Wait() // one at a time, so that each seed repeats
	}
	time.Sleep(2 * callTimeout)
	synctest.Wait()
}

// Asking a few exits must keep most calls out of the spells that a blind choice
// meets, without refusing more than it saves.
func TestCallsThatMayNotBeRepeatedMissTheSpells(t *testing.T) {
	for seed := range uint64(4) {
		synctest.Test(t, func(t *testing.T) {
			blind := newWorld(seed)
			blind.blind = true
			blind.run(func(*messenger.Call) (messenger.Target, error) {
				return blind.candidates("", nil, 1, false)[0], nil
			})
			asked := newWorld(seed)
			asked.run(func(c *messenger.Call) (messenger.Target, error) {
				return asked.bidder.Choose(t.Context(), c, nil)
			})
			t.Logf("seed %d: blind %d good, %d hung; asked %d good, %d hung, %d refused",
				seed, blind.good, blind.hung, asked.good, asked.hung, asked.refused)
			total := asked.good + asked.hung + asked.refused
			qt.Check(t, 3*asked.hung < blind.hung, qt.IsTrue)
			qt.Check(t, 100*(asked.hung+asked.refused) < 8*total, qt.IsTrue)
		})
	}
}
