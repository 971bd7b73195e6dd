package clientload_test

import (
	"context"
	"flag"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/zinniaproxy/zinniaproxy/internal/linker"
	"github.com/zinniaproxy/zinniaproxy/pkg/coder"
)

// connections is for runs by hand: above 0 it plays each load with this number of
// connections, against nodes with the settings of the smallest VM.
var connections = flag.Int("connections", 0, "connections of each load, 0 for few and lowered limits")

// scale is the size of a run, and what the nodes must keep to.
type scale struct {
	clients int
	// memory is the nodes' setting in MB, and maxResident the bound of their resident
	// memory: 120 MB of 184, and proportionally more for the fixed part of a smaller
	// one.
	memory, maxResident int
	// descriptors is the nodes' limit. They must leave some of it to their own
	// connections.
	descriptors, maxDescriptors int
	duration                    time.Duration
	// answerWithin bounds the wait for an ordinary request after a load. It only
	// ends a test that hangs.
	answerWithin time.Duration
}

func runScale() scale {
	if *connections > 0 {
		return scale{clients: *connections, memory: 184, maxResident: 120, descriptors: 4100, maxDescriptors: 4000, duration: 3 * time.Second, answerWithin: 20 * time.Second}
	}
	return scale{clients: 64, memory: 64, maxResident: 70, descriptors: 200, maxDescriptors: 192, duration: 200 * time.Millisecond, answerWithin: 20 * time.Second}
}

// httpClient keeps no connection, so that each request needs a new one.
var httpClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 5 * time.Second}

// port is one listener of a node.
type port struct {
	name, address string
	node          *process
	// method and path are of the requests with a body, large is the path of the
	// largest response.
	method, path, large string
	// want is the status of an ordinary request, 0 for a link.
	want int
}

// answer sends an ordinary request and returns an error unless it is answered as
// it would be without load.
func (p *port) answer(t *testing.T) error {
	if p.want == 0 {
		return p.query(t)
	}
	req, err := http.NewRequestWithContext(t.Context(), p.method, "http://"+p.address+p.path, strings.NewReader(`{"ordinary":1}`))
	if err != nil {
		return err
	}
	res, err := httpClient.Do(req)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	if res.StatusCode != p.want {
		return fmt.Errorf("status %d, want %d", res.StatusCode, p.want)
	}
	return nil
}

// query sends a query on a new link. A refusal of the peer is an answer.
func (p *port) query(t *testing.T) error {
	var d net.Dialer
	l := &linker.Linker{
		Node: "test", Epoch: uint64(time.Now().UnixNano()), Secret: []byte(secret),
		Resolve: func(string) (string, bool) { return p.address, true }, Dial: func(ctx context.Context, a string) (net.Conn, error) { return d.DialContext(ctx, "tcp", a) },
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	ctx, stop := context.WithTimeout(t.Context(), 2*time.Second)
	var ended sync.WaitGroup
	ended.Go(func() { _ = l.Run(ctx, ln) })
	defer ended.Wait()
	defer stop()
	for {
		_, err := l.SendQuery(ctx, "own", linker.MethodLoadProbe, nil)
		if err == nil || !linker.IsLinkLost(err) && coder.Of(err).Code != coder.NotSent {
			return nil
		}
		if ctx.Err() != nil {
			return err
		}
		time.Sleep(time.Millisecond) // Run may not have begun
	}
}

// awaitAnswer repeats an ordinary request until it is answered.
func (p *port) awaitAnswer(t *testing.T, timeout time.Duration) {
	var err error
	for end := time.Now().Add(timeout); time.Now().Before(end) && p.node.alive(); time.Sleep(50 * time.Millisecond) {
		if err = p.answer(t); err == nil {
			return
		}
	}
	t.Errorf("no answer at the %s port: %v, alive %t\n%s", p.name, err, p.node.alive(), p.node.tail())
}

// TestClientLoads guards against clients that make a node run out of memory or
// descriptors: 300 connections made it hold up to 1,206 MB, where the smallest VM
// has 184 MB for node and target.
func TestClientLoads(t *testing.T) {
	s := runScale()
	env := []string{fmt.Sprintf("ZINNIA_MEMORY=%d", s.memory)}
	for _, p := range startFleet(t, s.descriptors, env) {
		for _, l := range loads {
			t.Run(p.name+"/"+l.name, func(t *testing.T) {
				s.play(t, p, max(l.crowd, 1), l.play)
			})
		}
	}
}

// play sends one load to a port and checks the node.
func (s scale) play(t *testing.T, p *port, crowd int, play func(c client)) {
	if !p.node.alive() {
		t.Fatalf("the node has exited\n%s", p.node.tail())
	}
	p.node.resetPeak()
	end := time.Now().Add(s.duration)
	var wg sync.WaitGroup
	for range s.clients * crowd {
		wg.Go(func() {
			conn, err := net.DialTimeout("tcp", p.address, s.duration)
			if err != nil {
				return // the node may refuse connections under load
			}
			defer conn.Close()
			_ = conn.SetDeadline(end)
			play(client{Conn: conn, port: p, step: s.duration / 5})
			time.Sleep(time.Until(end))
		})
	}
	resident, descriptors := 0.0, 0
	for time.Now().Before(end) {
		resident, descriptors = max(resident, p.node.status("VmRSS")), max(descriptors, p.node.descriptors())
		time.Sleep(10 * time.Millisecond)
	}
	wg.Wait()
	p.awaitAnswer(t, s.answerWithin)
	peak := max(resident, p.node.status("VmHWM"))
	t.Logf("%d connections: %.0f MB at the peak, %.0f MB afterwards, %d descriptors", s.clients*crowd, peak, p.node.status("VmRSS"), descriptors)
	qt.Check(t, p.node.alive(), qt.IsTrue, qt.Commentf("%s", p.node.tail()))
	qt.Check(t, peak <= float64(s.maxResident), qt.IsTrue, qt.Commentf("%.0f MB resident, at most %d", peak, s.maxResident))
	qt.Check(t, descriptors <= s.maxDescriptors, qt.IsTrue, qt.Commentf("%d descriptors, at most %d", descriptors, s.maxDescriptors))
}
