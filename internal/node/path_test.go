package node

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"

	"github.com/zinniaproxy/zinniaproxy/internal/configurer"
	"github.com/zinniaproxy/zinniaproxy/internal/faker"
	"github.com/zinniaproxy/zinniaproxy/internal/prober"
	"github.com/zinniaproxy/zinniaproxy/internal/settingsloader"
	"github.com/zinniaproxy/zinniaproxy/pkg/declarer"
)

// pathBench is two nodes and one target on loopback addresses with real sockets.
type pathBench struct {
	target       string
	entryAddress map[string]string // callers' address by node
}

func loopbackNode(store *faker.Store, name, ip string, seeds []string) *Node {
	var d net.Dialer
	return New(settingsloader.Settings{
		Name: name, Centre: "one", Region: "one", Address: ip, Secret: "secret", Seeds: seeds,
		Callers: ip + ":7080", Link: ip + ":7081", Admin: ip + ":7082",
	}, Platform{
		Listen:        func(a string) (net.Listener, error) { return net.Listen("tcp", a) },
		Dial:          func(ctx context.Context, a string) (net.Conn, error) { return d.DialContext(ctx, "tcp", a) },
		ListenPackets: prober.Listen, Store: store.Client(), Log: logr.Discard(),
	})
}

// benchFleet returns a configuration with an open route, which measures the path
// alone, and keyed routes, which add authentication and the rate limit.
func benchFleet() declarer.Fleet {
	return declarer.Fleet{}.
		WithCentre(declarer.Centre{Name: "one", Region: "one"}).
		WithService(declarer.Service{Name: "stock", Slots: 64, Cold: 64, Floor: 0.5}).
		WithWorkspace(declarer.Workspace{Name: "glide", Rate: 1e6, Burst: 100_000}.WithKey("one", "bench-key")).
		WithRoute(declarer.Route{Name: "open", Path: "/open", Service: "stock", Open: true, Deadline: 5000}).
		WithRoute(declarer.Route{Name: "keyed", Path: "/keyed", Service: "stock", Deadline: 5000}).
		WithRoute(declarer.Route{Name: "once", Path: "/once", Service: "stock", Once: true, Deadline: 5000})
}

func startPathBench(b testing.TB) *pathBench {
	store := faker.NewStore()
	_, err := configurer.Apply(b.Context(), store.Client(), 0, benchFleet(), "bench")
	qt.Assert(b, err, qt.IsNil)
	p := &pathBench{entryAddress: map[string]string{}}
	seeds := []string{"near=127.0.61.1:7081", "far=127.0.61.2:7081"}
	ctx, stop := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for _, n := range []struct{ name, ip string }{{"near", "127.0.61.1"}, {"far", "127.0.61.2"}} {
		node := loopbackNode(store, n.name, n.ip, seeds)
		wg.Go(func() { _ = node.Run(ctx) })
		p.entryAddress[n.name] = n.ip + ":7080"
	}
	ln, err := net.Listen("tcp", "127.0.61.1:0")
	qt.Assert(b, err, qt.IsNil)
	p.target = ln.Addr().String()
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "answer") })}
	go func() { _ = s.Serve(ln) }()
	b.Cleanup(func() {
		stop()
		wg.Wait()
		_ = s.Close()
	})
	p.awaitTarget(b)
	return p
}

// awaitTarget announces the target until both nodes serve it.
func (p *pathBench) awaitTarget(b testing.TB) {
	for range 100 {
		req, err := http.NewRequestWithContext(b.Context(), http.MethodPut,
			"http://127.0.61.1:7082/v1/targets/stock/"+p.target, strings.NewReader(`{"slots":64,"state":"warm","ttl":60000}`))
		qt.Assert(b, err, qt.IsNil)
		req.Header.Set("Content-Type", "application/json")
		if res, err := http.DefaultClient.Do(req); err == nil {
			_ = res.Body.Close()
		}
		if get(p.entryAddress["far"], "/open") == nil && get(p.entryAddress["near"], "/open") == nil {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	b.Fatal("the nodes did not serve the target within 100 attempts")
}

func get(address, path string) error {
	req, err := http.NewRequest(http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return err
	}
	req.Header.Set("Zinnia-Key", "bench-key")
	res, err := benchClient.Do(req)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	if _, err := io.Copy(io.Discard, res.Body); err != nil {
		return err
	}
	if res.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d code %s", res.StatusCode, res.Header.Get("Zinnia-Code"))
	}
	return nil
}

var benchClient = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}

// BenchmarkPath compares calling a target directly, through its own node, and
// through another node. It reports the p50 and p99 latency and the CPU time per
// call, in microseconds.
func BenchmarkPath(b *testing.B) {
	p := startPathBench(b)
	for _, bc := range []struct{ name, address, path string }{
		{"direct", p.target, "/open"},
		{"near-open", p.entryAddress["near"], "/open"},
		{"far-open", p.entryAddress["far"], "/open"},
		{"far-keyed", p.entryAddress["far"], "/keyed"},
		{"far-once", p.entryAddress["far"], "/once"},
	} {
		for _, callers := range []int{1, 32} {
			b.Run(fmt.Sprintf("%s/callers=%d", bc.name, callers), func(b *testing.B) {
				benchPath(b, bc.address, bc.path, callers)
			})
		}
	}
}

func benchPath(b *testing.B, address, path string, callers int) {
	b.ReportAllocs()
	latencies := make([][]time.Duration, callers)
	cpuBefore := cpuTime()
	var wg sync.WaitGroup
	for c := range callers {
		wg.Go(func() {
			for i := c; i < b.N; i += callers {
				start := time.Now()
				if err := get(address, path); err != nil {
					b.Error(err)
					return
				}
				latencies[c] = append(latencies[c], time.Since(start))
			}
		})
	}
	wg.Wait()
	b.ReportMetric(float64((cpuTime()-cpuBefore).Microseconds())/float64(b.N), "cpu-us/op")
	all := slices.Concat(latencies...)
	slices.Sort(all)
	if len(all) > 0 {
		b.ReportMetric(float64(all[len(all)/2].Microseconds()), "p50-us")
		b.ReportMetric(float64(all[len(all)*99/100].Microseconds()), "p99-us")
	}
}

// cpuTime returns the CPU time that this process has used, or 0 on an error.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
