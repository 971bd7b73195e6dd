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

// TestFewNodesReadSource runs a fleet of which a few nodes read the source, while
// that rejects a third of all nodes. A change must be in force everywhere within
// three seconds, and the calls must not grow with the fleet.
func TestFewNodesReadSource(t *testing.T) {
	for _, n := range []int{75, 355} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			defer func() {
				cancel()
				time.Sleep(time.Minute)
			}()
			const readers = 32
			source := &fakeSource{rejected: map[string]bool{}}
			var names []string
			for i := range n {
				names = append(names, fmt.Sprintf("n-%03d", i))
				source.rejected[names[i]] = i%3 == 0
			}
			nodes := map[string]*Configurer{}
			var calls atomic.Int64
			for i, name := range names {
				read := source.source(name)
				nodes[name] = &Configurer{
					DeclarationSource: func(ctx context.Context) (*Observation, error) {
						calls.Add(1)
						return read(ctx)
					},
					SourceReader: func() bool { return i < readers },
					Peers: func() []string {
						return slices.DeleteFunc(slices.Clone(names), func(n string) bool { return n == name })
					},
					SendQuery: func(ctx context.Context, node string, q *Query) (*Reply, error) {
						time.Sleep(time.Millisecond)
						return nodes[node].Handle(ctx, name, q)
					},
					AnnounceNumber: func(number uint64) {
						for range 4 {
							go nodes[names[rand.IntN(n)]].NoteNumber(number)
						}
					},
				}
			}
			for _, node := range nodes {
				go func() { _ = node.Run(ctx) }()
				go func() { // heartbeats carry the number too
					for ctx.Err() == nil {
						time.Sleep(time.Second)
						node.NoteNumber(nodes[names[rand.IntN(n)]].Number())
					}
				}()
			}
			source.declare(7, "first")
			time.Sleep(10 * time.Second)
			calls.Store(0)
			source.declare(12, "second")
			time.Sleep(3 * time.Second)
			for _, name := range names {
				qt.Check(t, versionInForce(nodes[name]), qt.Equals, uint64(12), qt.Commentf(name))
			}
			t.Logf("%d nodes: %d calls in three seconds of a change", n, calls.Load())
			qt.Check(t, calls.Load() <= 3*readers, qt.IsTrue, qt.Commentf("%d calls", calls.Load()))
		})
	}
}
