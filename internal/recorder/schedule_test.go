package recorder

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/zinniaproxy/zinniaproxy/internal/faker"
)

// mayRun reports whether a node lets a call with the key run.
func (cl *cluster) mayRun(node, key string) bool {
	cl.mu.Lock()
	cl.lastRunID++
	in := Intent{Workspace: "w", Key: key, RequestDigest: 1, RunID: cl.lastRunID, Timeout: time.Second}
	cl.mu.Unlock()
	ctx, stop := context.WithTimeout(context.Background(), 5*time.Second)
	defer stop()
	answer, err := cl.process(node).Begin(ctx, in)
	return err == nil && answer == nil
}

// acquireAll makes a node the owner of every shard.
func (cl *cluster) acquireAll(t *testing.T, node string) {
	for _, s := range cl.process(node).shards {
		for range 5 {
			if s.ensureOwner(t.Context()) == nil {
				break
			}
			time.Sleep(time.Second)
		}
		qt.Assert(t, s.serves(), qt.IsTrue)
	}
	time.Sleep(time.Second)
}

// isolate blocks all messages between a and each of the others, both ways.
func (cl *cluster) isolate(a string, others ...string) {
	for _, b := range others {
		cl.block(a, b)
		cl.block(b, a)
	}
}

func (cl *cluster) storeDown(down bool) { cl.store.SetFaults(faker.StoreFaults{Down: down}) }

// TestDoubleRunSchedules plays the shortest fault schedules in each of which one
// rule alone keeps a key from running twice. Each runs a call with key "k" and
// checks that a second one is not admitted.
func TestDoubleRunSchedules(t *testing.T) {
	for name, play := range map[string]func(t *testing.T, cl *cluster) (first, second bool){
		"an owner serves from memory and the next one gets no majority": func(_ *testing.T, cl *cluster) (bool, bool) {
			cl.isolate("store", "a", "c")
			cl.isolate("b", "a", "c")
			time.Sleep(5 * time.Second)
			return cl.mayRun("a", "k"), cl.mayRun("b", "k")
		},
		"a voter restarts and forgets the next owner": func(t *testing.T, cl *cluster) (bool, bool) {
			cl.isolate("a", "b", "c", "store")
			cl.acquireAll(t, "b")
			first := cl.mayRun("b", "k")
			cl.kill("c")
			cl.start("c")
			cl.storeDown(true)
			cl.mu.Lock()
			cl.blocked = map[[2]string]bool{}
			cl.mu.Unlock()
			cl.isolate("b", "a", "c")
			time.Sleep(5 * time.Second)
			return first, cl.mayRun("a", "k")
		},
		"a voter restarts and forgets that the owner served from memory": func(_ *testing.T, cl *cluster) (bool, bool) {
			cl.storeDown(true)
			cl.isolate("a", "b")
			time.Sleep(5 * time.Second)
			first := cl.mayRun("a", "k")
			cl.kill("c")
			cl.start("c")
			cl.kill("a")
			cl.storeDown(false)
			time.Sleep(5 * time.Second)
			return first, cl.mayRun("b", "k") || cl.mayRun("c", "k")
		},
		"an owner dies while its in-memory records are being stored": func(_ *testing.T, cl *cluster) (bool, bool) {
			cl.storeDown(true)
			time.Sleep(5 * time.Second)
			if !cl.mayRun("a", "before") {
				return false, false
			}
			writes := cl.store.Counts().Writes
			cl.store.SetFaults(faker.StoreFaults{Slow: 400 * time.Millisecond})
			for range 500 {
				if cl.store.Counts().Writes != writes {
					break
				}
				time.Sleep(10 * time.Millisecond)
			}
			first := cl.mayRun("a", "k")
			time.Sleep(450 * time.Millisecond)
			cl.storeDown(true)
			cl.kill("a")
			time.Sleep(2 * time.Second)
			cl.storeDown(false)
			time.Sleep(5 * time.Second)
			return first, cl.mayRun("b", "k") || cl.mayRun("c", "k")
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cl := newCluster(1, "a", "b", "c")
				cl.configure = func(r *Recorder) { r.ShardCount, r.KeyLifetime = 1, 10*time.Minute }
				for _, n := range cl.names {
					cl.start(n)
				}
				cl.acquireAll(t, "a")
				first, second := play(t, cl)
				qt.Check(t, first, qt.IsTrue)
				qt.Check(t, second, qt.IsFalse)
				cl.close()
			})
		})
	}
}
