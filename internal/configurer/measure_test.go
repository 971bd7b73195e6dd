package configurer

import (
	"flag"
	"fmt"
	"runtime"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/zinniaproxy/zinniaproxy/internal/faker"
	"github.com/zinniaproxy/zinniaproxy/internal/indexer"
	"github.com/zinniaproxy/zinniaproxy/internal/storer"
	"github.com/zinniaproxy/zinniaproxy/pkg/declarer"
)

var (
	measure = flag.Bool("measure", false, "measure at 10, 30 and 100 nodes")
	large   = flag.Bool("large", false, "measure at the planned size of 680 nodes")
)

func fleetSizes() []int {
	if *large {
		return []int{680}
	}
	if *measure {
		return []int{10, 30, 100}
	}
	return []int{10}
}

// TestMeasureChange prints how long a change takes to be in force on all nodes,
// how long a withdrawn key is still accepted, and the store calls per second of
// an idle fleet.
func TestMeasureChange(t *testing.T) {
	for _, n := range fleetSizes() {
		for _, loss := range []float64{0, 0.1} {
			runFleetTest(t, func(f *testFleet, c *qt.C) {
				f.startNodes(n)
				f.withLock(func() { f.lossRate = loss })
				var inForce, withdrawn []time.Duration
				for i := range 10 {
					f.apply(uint64(i+1), fleetOf(fmt.Sprintf("key%d", i)))
					began, last := time.Now(), time.Duration(0)
					for !f.allCurrent(uint64(i+2)) || time.Since(began) < maxKeyWithdrawalTime {
						for _, node := range f.nodes {
							if i > 0 && node.acceptsKey(fmt.Sprintf("key%d", i-1)) {
								last = time.Since(began)
							}
						}
						time.Sleep(10 * time.Millisecond)
						if f.allCurrent(uint64(i+2)) && len(inForce) == i {
							inForce = append(inForce, time.Since(began))
						}
					}
					withdrawn = append(withdrawn, last)
				}
				before := f.store.Counts()
				time.Sleep(time.Minute)
				after := f.store.Counts()
				t.Logf("%d nodes, loss %v: in force after %v median, %v worst; withdrawn key last accepted after %v worst; idle %.2f store calls/s",
					n, loss, median(inForce), slices.Max(inForce), slices.Max(withdrawn),
					float64(after.Reads-before.Reads+after.Writes-before.Writes)/60)
			})
		}
	}
}

func median(ds []time.Duration) time.Duration {
	ds = slices.Clone(ds)
	slices.Sort(ds)
	return ds[len(ds)/2]
}

// plannedFleet returns a declaration of the planned size.
func plannedFleet() declarer.Fleet {
	f := fleetOf()
	for i := range 190 {
		f.Services = append(f.Services, declarer.Service{Name: fmt.Sprintf("service-%03d", i), Slots: 7, Cold: 2, Floor: 0.5})
	}
	for i := range 35_000 {
		w := declarer.Workspace{Name: fmt.Sprintf("workspace-%05d", i), Rate: 4, Burst: 20, Weight: 1}
		f.Workspaces = append(f.Workspaces, w.WithKey("first", fmt.Sprintf("key-%d", i)))
	}
	for i := range 16_000 {
		f.Routes = append(f.Routes, declarer.Route{
			Name: fmt.Sprintf("route-%05d", i), Host: fmt.Sprintf("h%d.example", i%300), Path: fmt.Sprintf("/area/%d", i),
			Service: fmt.Sprintf("service-%03d", i%190), Deadline: 2000, Methods: []string{"GET"},
		})
	}
	return f
}

// TestMeasurePlannedSize prints the sizes of the stored values, the bytes that a
// change sends to a node, and the time and memory to install it.
func TestMeasurePlannedSize(t *testing.T) {
	c := qt.New(t)
	f := plannedFleet()
	refs, data, err := splitFleet(f)
	c.Assert(err, qt.IsNil)
	totalBytes, maxBytes := 0, 0
	for _, b := range data {
		totalBytes, maxBytes = totalBytes+len(b), max(maxBytes, len(b))
	}
	c.Check(maxBytes < storer.MaxValueBytes, qt.IsTrue)
	t.Logf("%d parts, %.1f MB in total, largest %d bytes, manifest %d bytes", len(refs), float64(totalBytes)/1e6, maxBytes, len(encode(&manifest{Parts: refs})))

	if !*measure {
		return
	}
	store := faker.NewStore().Client()
	_, err = Apply(t.Context(), store, 0, f, "first")
	c.Assert(err, qt.IsNil)
	conf := &Configurer{Store: store, Peers: func() []string { return nil }}
	conf.init()
	before := heapBytes()
	h, err := StoredHead(t.Context(), store)
	c.Assert(err, qt.IsNil)
	began := time.Now()
	c.Assert(conf.fetchAndInstall(t.Context(), peerHead{Head: h}, true), qt.IsTrue)
	t.Logf("first configuration installed in %v, %.1f MB retained", time.Since(began).Round(time.Millisecond), float64(heapBytes()-before)/1e6)

	changed := f.WithWorkspace(f.Workspaces[77].WithKey("second", "another"))
	_, err = Apply(t.Context(), store, 1, changed, "second")
	c.Assert(err, qt.IsNil)
	h, err = StoredHead(t.Context(), store)
	c.Assert(err, qt.IsNil)
	newManifest, err := readManifest(t.Context(), store, h)
	c.Assert(err, qt.IsNil)
	sent := len(encode(newManifest))
	for _, hash := range conf.missingParts(newManifest) {
		b, err := readPart(t.Context(), store, hash)
		c.Assert(err, qt.IsNil)
		sent += len(b)
	}
	began = time.Now()
	c.Assert(conf.fetchAndInstall(t.Context(), peerHead{Head: h}, true), qt.IsTrue)
	t.Logf("a change of one workspace: %d bytes to each node, installed in %v, %.1f MB retained", sent, time.Since(began).Round(time.Millisecond), float64(heapBytes()-before)/1e6)
	runtime.KeepAlive(conf)
	runtime.KeepAlive(f)
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkIndex indexes a declaration of the planned size.
func BenchmarkIndex(b *testing.B) {
	f := plannedFleet()
	for b.Loop() {
		indexer.New(1, f)
	}
}
