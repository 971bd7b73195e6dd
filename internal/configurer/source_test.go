package configurer

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/zinniaproxy/zinniaproxy/pkg/declarer"
)

// fakeSource holds a declaration outside the store. It rejects some nodes, which
// must get changes from their peers.
type fakeSource struct {
	mu       sync.Mutex
	observed Observation
	rejected map[string]bool
}

// declare declares a version with some keys, at a revision of the same number.
func (fs *fakeSource) declare(version uint64, keys ...string) {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	fs.observed = Observation{Fleet: fleetOf(keys...), Version: version, Revision: version, DeclaredAt: version, Identity: "change"}
}

// order orders the data centre to be emptied, or takes that back, after a number of
// changes of other keys.
func (fs *fakeSource) order(changes uint64, out bool) {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	fs.observed.Revision = fs.observed.DeclaredAt + changes
	fs.observed.Fleet.Centres = slices.Clone(fs.observed.Fleet.Centres)
	fs.observed.Fleet.Centres[0].Out = out
}

// source returns the source of one node.
func (fs *fakeSource) source(name string) func(context.Context) (*Observation, error) {
	var seen uint64
	return func(ctx context.Context) (*Observation, error) {
		for {
			fs.mu.Lock()
			observed, rejected := fs.observed, fs.rejected[name]
			fs.mu.Unlock()
			switch {
			case rejected:
				return nil, errors.New("rejected by the fake source")
			case observed.Revision != seen:
				seen = observed.Revision
				return &observed, nil
			}
			select {
			case <-ctx.Done():
				return nil, ctx.Err()
			case <-time.After(50 * time.Millisecond):
			}
		}
	}
}

// versionInForce returns the version of the source that is in force on a node.
func versionInForce(c *Configurer) uint64 { return decodeSourceNumber(c.Number()).version }

// startFollowers starts nodes that follow a source and tell each other what is in
// force.
func startFollowers(ctx context.Context, source *fakeSource, names []string) map[string]*Configurer {
	nodes := map[string]*Configurer{}
	for _, name := range names {
		nodes[name] = &Configurer{
			DeclarationSource: source.source(name),
			Peers: func() []string {
				return slices.DeleteFunc(slices.Clone(names), func(n string) bool { return n == name })
			},
			SendQuery: func(ctx context.Context, node string, q *Query) (*Reply, error) {
				return nodes[node].Handle(ctx, name, q)
			},
			AnnounceNumber: func(number uint64) {
				for _, other := range names {
					go nodes[other].NoteNumber(number)
				}
			},
			AnnounceOverflow: func(number, overflow uint64) {
				for _, other := range names {
					go nodes[other].NoteOverflow(number, overflow)
				}
			},
		}
	}
	for _, n := range nodes {
		go func() { _ = n.Run(ctx) }()
	}
	return nodes
}

// TestAllNodesFollowSource checks that a change is in force within two seconds on
// all nodes, also on those that the source rejects, and that no node goes back to
// a lower number when the source does.
func TestAllNodesFollowSource(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer func() {
			cancel()
			time.Sleep(time.Minute)
		}()
		source := &fakeSource{rejected: map[string]bool{"b": true, "c": true}}
		names := []string{"a", "b", "c"}
		nodes := startFollowers(ctx, source, names)
		source.declare(7, "first")
		time.Sleep(2 * time.Second)
		source.declare(12, "second")
		time.Sleep(2 * time.Second)
		for _, name := range names {
			qt.Check(t, versionInForce(nodes[name]), qt.Equals, uint64(12), qt.Commentf(name))
			qt.Check(t, nodes[name].Index().WorkspaceByKey("second"), qt.IsNotNil)
		}
		source.declare(9, "old")
		time.Sleep(5 * time.Second)
		for _, name := range names {
			qt.Check(t, versionInForce(nodes[name]), qt.Equals, uint64(12), qt.Commentf(name))
		}
		qt.Check(t, nodes["a"].Index().Fleet(), qt.Satisfies, func(f declarer.Fleet) bool { return len(f.Workspaces) > 0 })
	})
}

// Guards against orders for data centres that are ignored once the store has made
// more changes since the declaration than its number has bits for: they must be in
// force, and taken back, on all nodes, also on one that the source rejects.
func TestOrdersComeIntoForceAfterManyChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer func() {
			cancel()
			time.Sleep(time.Minute)
		}()
		source := &fakeSource{rejected: map[string]bool{"c": true}}
		names := []string{"a", "b", "c"}
		nodes := startFollowers(ctx, source, names)
		source.declare(1, "key")
		for _, changes := range []uint64{1000, 1<<revisionBits - 2, 600_000, 700_000, 1 << 40} {
			for _, out := range []bool{true, false} {
				changes++
				source.order(changes, out)
				time.Sleep(2 * time.Second)
				for _, name := range names {
					qt.Check(t, isOut(nodes[name].Index().Fleet().Centres, "jos-a"), qt.Equals, out, qt.Commentf("%s after %d changes", name, changes))
				}
			}
		}
	})
}

// readersFleet is a fleet of which the first few nodes read the source.
type readersFleet struct {
	source *fakeSource
	names  []string
	nodes  map[string]*Configurer
	// calls counts the calls of each node to the source.
	calls map[string]*atomic.Int64
}

const readers = 32

// startReadersFleet starts n nodes. With silent set the source does not answer the
// nodes that it rejects: a watch fails when its time and a second are over, and the
// calls after it fail after a second.
func startReadersFleet(ctx context.Context, n int, silent bool) *readersFleet {
	f := &readersFleet{source: &fakeSource{rejected: map[string]bool{}}, nodes: map[string]*Configurer{}, calls: map[string]*atomic.Int64{}}
	for i := range n {
		f.names = append(f.names, fmt.Sprintf("n-%03d", i))
	}
	for i, name := range f.names {
		read, calls, failing := f.source.source(name), &atomic.Int64{}, false
		f.calls[name] = calls
		f.nodes[name] = &Configurer{
			DeclarationSource: func(ctx context.Context) (*Observation, error) {
				calls.Add(1)
				o, err := read(ctx)
				if err != nil && silent {
					if !failing {
						time.Sleep(rand.N(13 * time.Second))
					}
					time.Sleep(time.Second)
				}
				failing = err != nil
				return o, err
			},
			SourceReader: func() bool { return i < readers },
			Peers: func() []string {
				return slices.DeleteFunc(slices.Clone(f.names), func(n string) bool { return n == name })
			},
			SendQuery: func(ctx context.Context, node string, q *Query) (*Reply, error) {
				time.Sleep(time.Millisecond)
				return f.nodes[node].Handle(ctx, name, q)
			},
			AnnounceNumber: func(number uint64) {
				for range 4 {
					go f.nodes[f.names[rand.IntN(n)]].NoteNumber(number)
				}
			},
		}
	}
	for _, node := range f.nodes {
		go func() { _ = node.Run(ctx) }()
		go func() { // heartbeats carry the number too
			for ctx.Err() == nil {
				time.Sleep(time.Second)
				node.NoteNumber(f.nodes[f.names[rand.IntN(n)]].Number())
			}
		}()
	}
	return f
}

// reject makes the source reject the nodes that match.
func (f *readersFleet) reject(match func(i int) bool) {
	f.source.mu.Lock()
	defer f.source.mu.Unlock()
	for i, name := range f.names {
		f.source.rejected[name] = match(i)
	}
}

// takeCalls returns the calls of the readers and of the other nodes since the last
// time.
func (f *readersFleet) takeCalls() (byReaders, byOthers int64) {
	for i, name := range f.names {
		if n := f.calls[name].Swap(0); i < readers {
			byReaders += n
		} else {
			byOthers += n
		}
	}
	return byReaders, byOthers
}

func (f *readersFleet) checkVersion(t *testing.T, version uint64) {
	t.Helper()
	for _, name := range f.names {
		qt.Check(t, versionInForce(f.nodes[name]), qt.Equals, version, qt.Commentf(name))
	}
}

func runReadersFleet(t *testing.T, n int, silent bool, test func(f *readersFleet)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer func() {
			cancel()
			time.Sleep(time.Minute)
		}()
		test(startReadersFleet(ctx, n, silent))
	})
}

// TestFewNodesReadSource runs a fleet of which a few nodes read the source, while
// that rejects a third of all nodes. A change must be in force everywhere within
// three seconds, and the calls must not grow with the fleet.
func TestFewNodesReadSource(t *testing.T) {
	for _, n := range []int{75, 355} {
		runReadersFleet(t, n, false, func(f *readersFleet) {
			f.reject(func(i int) bool { return i%3 == 0 })
			f.source.declare(7, "first")
			time.Sleep(10 * time.Second)
			f.takeCalls()
			f.source.declare(12, "second")
			time.Sleep(3 * time.Second)
			f.checkVersion(t, 12)
			byReaders, byOthers := f.takeCalls()
			calls := byReaders + byOthers
			t.Logf("%d nodes: %d calls in three seconds of a change", n, calls)
			qt.Check(t, calls <= 3*readers, qt.IsTrue, qt.Commentf("%d calls", calls))
		})
	}
}

// Guards against changes that no node puts in force because the source rejects just
// the nodes that read it for the others, at once or with silence.
func TestChangesReachAFleetWhoseReadersAreRejected(t *testing.T) {
	for _, n := range []int{96, 355} {
		for silent, bound := range map[bool]time.Duration{false: 3 * time.Second, true: 7 * time.Second} {
			runReadersFleet(t, n, silent, func(f *readersFleet) {
				f.source.declare(7, "first")
				time.Sleep(10 * time.Second)
				f.reject(func(i int) bool { return i < max(readers, n/3) })
				time.Sleep(300 * time.Millisecond)
				f.source.declare(12, "second")
				time.Sleep(bound)
				f.checkVersion(t, 12)
				f.source.declare(13, "third")
				time.Sleep(bound)
				f.checkVersion(t, 13)
			})
		}
	}
}

// Guards against a fleet that all calls a source which is down for all.
func TestFewNodesCallASourceThatIsDown(t *testing.T) {
	runReadersFleet(t, 355, false, func(f *readersFleet) {
		f.source.declare(7, "first")
		time.Sleep(10 * time.Second)
		f.takeCalls()
		f.reject(func(int) bool { return true })
		time.Sleep(10 * time.Second)
		byReaders, byOthers := f.takeCalls()
		t.Logf("%d calls of readers, %d of others in ten seconds", byReaders, byOthers)
		qt.Check(t, byOthers <= byReaders, qt.IsTrue, qt.Commentf("%d calls of others, %d of readers", byOthers, byReaders))
		f.source.declare(12, "second")
		f.reject(func(int) bool { return false })
		time.Sleep(4 * time.Second)
		f.checkVersion(t, 12)
	})
}
