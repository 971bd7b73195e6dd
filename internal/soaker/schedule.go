// Package soaker runs soak tests. It runs a fleet as separate processes on
// loopback, injects faults by signals, by the fault settings of the fake store and
// targets, and by proxies that delay, reset or drop traffic, and checks what
// callers and targets saw against the product's guarantees. The seed determines
// the faults and their times. It is a tool for developers.
package soaker

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// StepKind is a kind of injected fault or of planned operator action.
type StepKind string

// Kinds of steps. Planned ones must not break any request.
const (
	PauseNode         StepKind = "pause"   // a node's process is suspended with SIGSTOP, then continued
	KillNode          StepKind = "kill"    // a node's process is killed, then restarted
	StopNode          StepKind = "stop"    // planned: a node stops gracefully and is restarted
	ReloadNode        StepKind = "reload"  // planned: a node reloads its settings
	ChangeDeclaration StepKind = "change"  // planned: a new declaration is applied
	ReplaceTarget     StepKind = "replace" // planned: a target drains, stops and restarts cold
	CrashTarget       StepKind = "crash"   // a target is killed and restarts cold
	FaultyTarget      StepKind = "sick"    // a fault of a target
	FaultyStore       StepKind = "store"   // a fault of the store
	RestoreStore      StepKind = "restore" // the store is down, then comes back from an older copy
	FaultyCallersPath StepKind = "callers" // a fault of the path from callers to a node
	FaultyStorePath   StepKind = "lookup"  // a fault of the path from a node to the store
	FaultyTargetPath  StepKind = "target"  // a fault of the path from a node to its target
	Misbehave         StepKind = "clients" // clients misbehave; as planned, other callers must not notice
)

// planned returns whether the step must not break any request: an action that
// operators take in normal operation, or clients that misbehave.
func (k StepKind) planned() bool {
	return slices.Contains([]StepKind{StopNode, ReloadNode, ChangeDeclaration, ReplaceTarget, Misbehave}, k)
}

// Step is one fault or change of a run.
type Step struct {
	// At is when the step begins, after the start of the load. Duration is how
	// long the process is suspended or down, or the fault lasts.
	At, Duration time.Duration
	Kind         StepKind
	// Node is the index of the node or target.
	Node int
	// PathFault is the fault of a path, FakeFaults the JSON faults of the fake
	// store or target.
	PathFault  PathFault
	FakeFaults string
	// Clients are those that misbehave.
	Clients Clients
}

// String returns the step as the report prints it.
func (s Step) String() string {
	fault := s.FakeFaults
	if s.PathFault != (PathFault{}) {
		fault = s.PathFault.String()
	}
	if s.Clients != (Clients{}) {
		fault = s.Clients.String()
	}
	return fmt.Sprintf("%5.1f s for %4.1f s  %-8s n%d %s", s.At.Seconds(), s.Duration.Seconds(), s.Kind, s.Node, fault)
}

// Parameters holds the seed and the size of a run.
type Parameters struct {
	Seed uint64
	// Nodes and Steps are counts. Restorations of the store and ClientLoads come
	// besides, so that they change nothing in the other steps of a seed.
	Nodes, Steps, Restorations, ClientLoads int
	// FaultPeriod is the time within which steps begin. The fleet must have
	// recovered RecoveryTime after FaultPeriod and maxRandomStepTime have passed.
	FaultPeriod, RecoveryTime time.Duration
}

var (
	weightedKinds = []StepKind{
		PauseNode, KillNode, StopNode, StopNode, ReloadNode, ChangeDeclaration, ChangeDeclaration, ReplaceTarget, ReplaceTarget, CrashTarget, FaultyTarget, FaultyTarget, FaultyStore, FaultyCallersPath, FaultyStorePath, FaultyTargetPath,
	}
	targetFaults = []string{
		`{"slow":8}`, `{"hang":0.6}`, `{"half":0.5}`, `{"half":0.5,"chunked":true}`, `{"errors":0.7,"mislead":true}`, `{"hang":1,"flap":700}`,
	}
	storeFaults = []string{`{"down":true}`, `{"lose":true}`, `{"deaf":true}`, `{"slow":300000000}`}
	pathFaults  = []PathFault{{Delay: 150 * time.Millisecond}, {Reset: true}, {DropUpstream: true}, {DropDownstream: true}}
)

// maxRandomStepTime bounds the random part of a step's duration, which is added
// to 300 ms.
const maxRandomStepTime = 7 * time.Second

// DrawSteps draws the steps of a run from its seed, ordered by time.
func DrawSteps(p Parameters) []Step {
	r := rand.New(rand.NewPCG(p.Seed, 1))
	pick := func(list []string) string { return list[r.IntN(len(list))] }
	steps := make([]Step, p.Steps)
	for i := range steps {
		st := &steps[i]
		*st = Step{
			At: time.Duration(r.Float64() * float64(p.FaultPeriod)), Duration: 300*time.Millisecond + time.Duration(r.Float64()*float64(maxRandomStepTime)),
			Kind: weightedKinds[r.IntN(len(weightedKinds))], Node: r.IntN(p.Nodes),
		}
		switch st.Kind {
		case FaultyTarget:
			st.FakeFaults = pick(targetFaults)
		case FaultyStore:
			st.FakeFaults = pick(storeFaults)
		case FaultyCallersPath, FaultyStorePath, FaultyTargetPath:
			st.PathFault = pathFaults[r.IntN(len(pathFaults))]
		}
	}
	besides := func(stream uint64, kind StepKind, count int, complete func(r *rand.Rand, st *Step)) {
		r := rand.New(rand.NewPCG(p.Seed, stream))
		for range count {
			st := Step{
				At: time.Duration(r.Float64() * float64(p.FaultPeriod)), Kind: kind, Node: r.IntN(p.Nodes),
				Duration: 300*time.Millisecond + time.Duration(r.Float64()*float64(maxRandomStepTime)),
			}
			complete(r, &st)
			steps = append(steps, st)
		}
	}
	besides(2, RestoreStore, p.Restorations, func(*rand.Rand, *Step) {})
	besides(3, Misbehave, p.ClientLoads, func(r *rand.Rand, st *Step) { st.Clients = drawClients(r) })
	slices.SortFunc(steps, func(a, b Step) int { return cmp.Compare(a.At, b.At) })
	return steps
}
