package linker

import (
	"context"
	"fmt"
	"net"
	"runtime"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// BenchmarkLinkMemory opens b.N links over loopback sockets within one process and
// reports the memory that one end of an idle link retains after one query.
func BenchmarkLinkMemory(b *testing.B) {
	ctx, stop := context.WithCancel(b.Context())
	var wg sync.WaitGroup
	start := func(name, address string) (*Linker, net.Listener) {
		ln, err := net.Listen("tcp", address)
		qt.Assert(b, err, qt.IsNil)
		var d net.Dialer
		l := &Linker{Node: name, Epoch: 1, Secret: []byte("s"),
			Dial: func(ctx context.Context, a string) (net.Conn, error) { return d.DialContext(ctx, "tcp", a) }}
		handleEcho(l)
		return l, ln
	}
	hub, hubListener := start("hub", "127.0.62.1:0")
	wg.Go(func() { _ = hub.Run(ctx, hubListener) })
	hub.Resolve = func(string) (string, bool) { return "", false }
	address := hubListener.Addr().String()
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	for i := range b.N {
		l, ln := start(fmt.Sprintf("n%d", i), "127.0.62.2:0")
		l.Resolve = func(string) (string, bool) { return address, true }
		wg.Go(func() { _ = l.Run(ctx, ln) })
		for {
			_, err := l.SendQuery(ctx, "hub", MethodStatus, []byte("x"))
			if err == nil {
				break
			}
			time.Sleep(time.Millisecond)
		}
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	usedBytes := after.HeapInuse + after.StackInuse - before.HeapInuse - before.StackInuse
	b.ReportMetric(float64(usedBytes)/float64(2*b.N), "B/link-end")
	stop()
	wg.Wait()
}

// BenchmarkQuery measures one query and its reply between two nodes on loopback.
func BenchmarkQuery(b *testing.B) {
	ctx, stop := context.WithCancel(b.Context())
	defer stop()
	ln, err := net.Listen("tcp", "127.0.62.3:0")
	qt.Assert(b, err, qt.IsNil)
	var d net.Dialer
	dial := func(ctx context.Context, a string) (net.Conn, error) { return d.DialContext(ctx, "tcp", a) }
	server := &Linker{Node: "far", Secret: []byte("s"), Dial: dial}
	handleEcho(server)
	go func() { _ = server.Run(ctx, ln) }()
	client := &Linker{Node: "near", Secret: []byte("s"), Dial: dial,
		Resolve: func(string) (string, bool) { return ln.Addr().String(), true }}
	clientListener, err := net.Listen("tcp", "127.0.62.4:0")
	qt.Assert(b, err, qt.IsNil)
	go func() { _ = client.Run(ctx, clientListener) }()
	time.Sleep(10 * time.Millisecond)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := client.SendQuery(ctx, "far", MethodStatus, []byte("x")); err != nil {
			b.Fatal(err)
		}
	}
}
