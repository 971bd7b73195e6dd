package recorder

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/zinniaproxy/zinniaproxy/internal/faker"
)

// TestCallsDuringHandover begins calls at other nodes while an owner hands its
// shards over, with the store down. They must wait for the successor, not be
// refused.
func TestCallsDuringHandover(t *testing.T) {
	checkCallsDuringHandovers(t, 9)
}

// Guards against calls that are refused while a shard moves: of ten nodes five are
// replaced in one outage, so that over half of the voters still know all owners.
func TestCallsWaitForSuccessor(t *testing.T) {
	checkCallsDuringHandovers(t, 5)
}

// checkCallsDuringHandovers replaces a number of ten nodes, one after the other,
// with the store down.
func checkCallsDuringHandovers(t *testing.T, replaced int) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		cl := newMeasuredCluster(10, func(*Recorder) {})
		time.Sleep(time.Minute)
		cl.store.SetFaults(faker.StoreFaults{Down: true})
		time.Sleep(5 * time.Second)
		refused := 0
		for _, owner := range cl.names[1 : 1+replaced] {
			refused += cl.refusedDuringHandover(owner)
			time.Sleep(drainTime)
			cl.kill(owner)
			cl.start(owner)
			time.Sleep(5 * time.Second)
		}
		c.Check(refused, qt.Equals, 0)
		cl.close()
	})
}

// refusedDuringHandover returns how many of 30 calls are refused that begin at
// another node while an owner hands its shards over.
func (cl *cluster) refusedDuringHandover(owner string) int {
	var calls sync.WaitGroup
	var refused atomic.Int64
	calls.Go(func() { cl.process(owner).Release(context.Background()) })
	for i := range 30 {
		calls.Go(func() {
			time.Sleep(time.Duration(i) * 200 * time.Microsecond)
			in := Intent{Workspace: "w", Key: fmt.Sprint(owner, i), RequestDigest: 1, RunID: uint64(i), Timeout: time.Second}
			if _, err := cl.process(cl.names[0]).Begin(context.Background(), in); err != nil {
				refused.Add(1)
			}
		})
	}
	calls.Wait()
	return int(refused.Load())
}
