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
			case observed.Version != seen:
				seen = observed.Version
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
			}
		}
		for _, n := range nodes {
			go func() { _ = n.Run(ctx) }()
		}
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
