package indexer

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/zinniaproxy/zinniaproxy/pkg/declarer"
)

// fleetOfSize returns a fleet with the given numbers of workspaces, routes and
// services.
func fleetOfSize(workspaces, routes, services int) declarer.Fleet {
	var f declarer.Fleet
	for i := range services {
		f.Services = append(f.Services, declarer.Service{Name: fmt.Sprintf("service-%d", i), Slots: 7, Cold: 2})
	}
	for i := range workspaces {
		w := declarer.Workspace{Name: fmt.Sprintf("workspace-%d", i), Rate: 10, Burst: 20}
		f.Workspaces = append(f.Workspaces, w.WithKey("one", fmt.Sprintf("key-%d", i)))
	}
	for i := range routes {
		f.Routes = append(f.Routes, declarer.Route{
			Name: fmt.Sprintf("route-%d", i), Path: fmt.Sprintf("/route-%d", i),
			Service: fmt.Sprintf("service-%d", i%services), Deadline: 2000,
		})
	}
	return f
}

// BenchmarkNew indexes fleets of several sizes, up to the planned size of the
// fleet, and reports the memory that an index retains with its declaration.
func BenchmarkNew(b *testing.B) {
	for _, size := range []struct{ workspaces, routes int }{{8, 20}, {3500, 1600}, {35_000, 16_000}} {
		b.Run(fmt.Sprintf("workspaces=%d", size.workspaces), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			x := New(1, fleetOfSize(size.workspaces, size.routes, 190))
			runtime.GC()
			runtime.ReadMemStats(&after)
			f := x.Fleet()
			for b.Loop() {
				x = New(1, f)
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/1e6, "MB-kept")
			runtime.KeepAlive(x)
		})
	}
}

func BenchmarkLookup(b *testing.B) {
	x := New(1, fleetOfSize(35_000, 16_000, 190))
	b.ReportAllocs()
	for b.Loop() {
		if x.WorkspaceByKey("key-77") == nil || x.Route("GET", "host.example", "/route-99/a/b") == nil {
			b.Fatal("not found")
		}
	}
}
