package prober

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"

	"github.com/zinniaproxy/zinniaproxy/internal/faker"
	"github.com/zinniaproxy/zinniaproxy/internal/messenger"
)

// Guards against a running node that started nodes do not find: its record was
// written after the copy from which the store was restored, and is renewed only
// every few minutes.
func TestRecordIsWrittenAgainAfterRestoration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		store := faker.NewStore()
		copied := time.Now()
		time.Sleep(time.Second)
		client := store.Client()
		r := &MemberRecorder{
			Store: client, Log: logr.Discard(), StoreOnlyDiscovery: true,
			Prober: &Prober{Node: messenger.Node{Name: "n-1", Epoch: 1}},
		}
		client.Eras.OnAdvance = func(_, era uint64) { r.NoteEra(era) }
		done := make(chan error, 1)
		go func() { done <- r.Run(ctx) }()
		records := func() int {
			entries, err := store.Client().List(t.Context(), NodePrefix)
			qt.Assert(t, err, qt.IsNil)
			return len(entries)
		}
		time.Sleep(5 * time.Second)
		qt.Assert(t, records(), qt.Equals, 1)
		for range 2 {
			store.Restore(copied)
			qt.Assert(t, records(), qt.Equals, 0)
			_, err := client.Get(ctx, "any") // any reply tells the era
			qt.Assert(t, err, qt.IsNil)
			time.Sleep(rewriteSpread + time.Second)
			qt.Check(t, records(), qt.Equals, 1)
		}
		time.Sleep(recordLease + renewInterval)
		qt.Check(t, records(), qt.Equals, 1) // the lease is renewed
		cancel()
		qt.Check(t, <-done, qt.IsNil)
		qt.Check(t, records(), qt.Equals, 0)
	})
}

// All nodes must hear of a new era of the store from those that read it.
func TestEraReachesAllNodes(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, c *qt.C, nw *fakeNetwork) {
		nodes := startFleet(t, nw, 20, nil)
		nodes[7].RaiseNumber(EraNumber, 3)
		took := waitUntil(t, 5*time.Second, func() bool {
			for _, n := range nodes {
				n.mu.Lock()
				era := n.stamps.numbers[EraNumber]
				n.mu.Unlock()
				if era != 3 {
					return false
				}
			}
			return true
		})
		t.Logf("known to all after %v", took)
	})
}
