// Package soaker runs a fleet as separate processes on loopback, breaks it from
// outside by signals, by the switches of its stand-ins and by paths that delay,
// reset or swallow, and holds what callers and targets saw against the promises.
// What is broken and when follows from a seed. It is a tool of the developers.
package soaker

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Kind is a way to break the fleet, or to change it as operators do.
type Kind string

// Kinds of steps. Planned ones must cut no request.
const (
	Pause   Kind = "pause"   // a node's process is stopped by a signal and goes on
	Kill    Kind = "kill"    // a node's process is killed and starts again
	Stop    Kind = "stop"    // planned: a node is told to stop and starts again
	Reload  Kind = "reload"  // planned: a node is told to read its settings
	Change  Kind = "change"  // planned: another declaration
	Replace Kind = "replace" // planned: a target drains, stops and comes back cold
	Crash   Kind = "crash"   // a target is killed and comes back cold
	Sick    Kind = "sick"    // a target misbehaves
	Store   Kind = "store"   // the store misbehaves
	Callers Kind = "callers" // the path from callers to a node
	Lookup  Kind = "lookup"  // the path from a node to the store
	Target  Kind = "target"  // the path from a node to its target
)

// planned tells the kinds that operators use every day.
func (k Kind) planned() bool { return slices.Contains([]Kind{Stop, Reload, Change, Replace}, k) }

// Step is one thing that is done to the fleet.
type Step struct {
	// At is when it begins, after the start of the load, and For how long it
	// lasts: a pause, the time without a process, or a fault.
	At, For time.Duration
	// Kind is what is done, Node whom to, by number.
	Kind Kind
	Node int
	// Path is the fault of a path, Faults that of a stand-in as JSON.
	Path   Path
	Faults string
}

// String returns a step as the report prints it.
func (s Step) String() string {
	what := s.Faults
	if s.Path != (Path{}) {
		what = s.Path.String()
	}
	return fmt.Sprintf("%5.1f s for %4.1f s  %-8s n%d %s", s.At.Seconds(), s.For.Seconds(), s.Kind, s.Node, what)
}

// Shape says how large a run is.
type Shape struct {
	Seed uint64
	// Nodes is how many there are, Steps how many things are done to them.
	Nodes, Steps int
	// Chaos is how long steps begin, and Calm how long the fleet then has to be
	// whole again.
	Chaos, Calm time.Duration
}

var (
	kinds = []Kind{
		Pause, Kill, Stop, Stop, Reload, Change, Change, Replace, Replace, Crash, Sick, Sick, Store, Callers, Lookup, Target,
	}
	sickness = []string{
		`{"slow":8}`, `{"hang":0.6}`, `{"half":0.5}`, `{"half":0.5,"chunked":true}`, `{"errors":0.7,"mislead":true}`, `{"hang":1,"flap":700}`,
	}
	outages = []string{`{"down":true}`, `{"lose":true}`, `{"deaf":true}`, `{"slow":300000000}`}
	paths   = []Path{{Delay: 150 * time.Millisecond}, {Reset: true}, {MuteUp: true}, {MuteDown: true}}
)

// longest is how long a step lasts at most.
const longest = 7 * time.Second

// Draw returns the steps of a run in the order of their times.
func Draw(s Shape) []Step {
	r := rand.New(rand.NewPCG(s.Seed, 1))
	pick := func(list []string) string { return list[r.IntN(len(list))] }
	steps := make([]Step, s.Steps)
	for i := range steps {
		st := &steps[i]
		*st = Step{
			At: time.Duration(r.Float64() * float64(s.Chaos)), For: 300*time.Millisecond + time.Duration(r.Float64()*float64(longest)),
			Kind: kinds[r.IntN(len(kinds))], Node: r.IntN(s.Nodes),
		}
		switch st.Kind {
		case Sick:
			st.Faults = pick(sickness)
		case Store:
			st.Faults = pick(outages)
		case Callers, Lookup, Target:
			st.Path = paths[r.IntN(len(paths))]
		}
	}
	slices.SortFunc(steps, func(a, b Step) int { return cmp.Compare(a.At, b.At) })
	return steps
}
