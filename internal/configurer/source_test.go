package configurer

import (
	"context"
	"errors"
	"slices"
	"sync"
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
	declared NumberedDeclaration
	rejected map[string]bool
}

func (fs *fakeSource) declare(number uint64, keys ...string) {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	fs.declared = NumberedDeclaration{Fleet: fleetOf(keys...), Number: number, Identity: "change"}
}

func (fs *fakeSource) source(name string) func(context.Context, uint64) (NumberedDeclaration, error) {
	return func(ctx context.Context, after uint64) (NumberedDeclaration, error) {
		for {
			fs.mu.Lock()
			declared, rejected := fs.declared, fs.rejected[name]
			fs.mu.Unlock()
			switch {
			case rejected:
				return NumberedDeclaration{}, errors.New("rejected by the fake source")
			case declared.Number > after:
				return declared, nil
			}
			select {
			case <-ctx.Done():
				return NumberedDeclaration{}, ctx.Err()
			case <-time.After(50 * time.Millisecond):
			}
		}
	}
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
			qt.Check(t, nodes[name].Number(), qt.Equals, uint64(12), qt.Commentf(name))
			qt.Check(t, nodes[name].Index().WorkspaceByKey("second"), qt.IsNotNil)
		}
		source.declare(9, "old")
		time.Sleep(5 * time.Second)
		for _, name := range names {
			qt.Check(t, nodes[name].Number(), qt.Equals, uint64(12), qt.Commentf(name))
		}
		qt.Check(t, nodes["a"].Index().Fleet(), qt.Satisfies, func(f declarer.Fleet) bool { return len(f.Workspaces) > 0 })
	})
}
