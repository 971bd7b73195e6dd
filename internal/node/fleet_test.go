package node

import (
	"context"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"

	"github.com/zinniaproxy/zinniaproxy/internal/configurer"
	"github.com/zinniaproxy/zinniaproxy/internal/faker"
	"github.com/zinniaproxy/zinniaproxy/internal/logger"
	"github.com/zinniaproxy/zinniaproxy/internal/measurer"
	"github.com/zinniaproxy/zinniaproxy/internal/prober"
	"github.com/zinniaproxy/zinniaproxy/internal/settingsloader"
	"github.com/zinniaproxy/zinniaproxy/internal/tracer"
	"github.com/zinniaproxy/zinniaproxy/pkg/declarer"
)

// linkDelay is the one-way network delay between two hosts.
const linkDelay = 250 * time.Microsecond

// slowTargetLatency is how long a target takes to answer a path that ends in
// "/slow".
const slowTargetLatency = 2500 * time.Millisecond

// fatalRunTime is how long a target runs a path that ends in "/fatal" before it
// crashes.
const fatalRunTime = 50 * time.Millisecond

// testFleet is several real nodes in one process on an in-memory network. The
// host of each node is the node's name. Use it inside a synctest bubble.
type testFleet struct {
	t       *testing.T
	network *faker.Network
	store   *faker.Store
	names   []string

	mu       sync.Mutex
	nodes    map[string]*runningNode
	requests map[string][]string // by target, in order of arrival
	// canceled are the paths of requests that were canceled while they ran.
	canceled []string
	sick     map[string]bool // targets that fail every request
	// draining are the targets that announce the state draining.
	draining map[string]bool
	// statements are header fields that targets add to their responses.
	statements map[string]http.Header
	// arrivals are the times of the requests, by target.
	arrivals map[string][]time.Time
	// crash ends a target's process, which is back after crashDowntime, and
	// crashTimes are when each of them ended.
	crash      map[string]func()
	crashTimes []time.Time
	// sharedRates starts nodes with settingsloader.RatesShared.
	sharedRates bool
	// notice, linger, keep and grace are settings of the nodes.
	notice, linger, keep, grace float64
	cleanups                    []func()
	// idempotencyKey is sent with the next calls unless empty.
	idempotencyKey string
	// log receives the log lines of nodes that start after it is set. Nil drops
	// them.
	log *logger.Logger
}

type runningNode struct {
	*Node
	stop func() error
}

func newTestFleet(t *testing.T, names ...string) *testFleet {
	f := &testFleet{
		t: t, network: faker.NewNetwork(linkDelay), store: faker.NewStore(), names: names,
		nodes: map[string]*runningNode{}, requests: map[string][]string{}, sick: map[string]bool{}, draining: map[string]bool{},
		statements: map[string]http.Header{}, arrivals: map[string][]time.Time{}, crash: map[string]func(){},
	}
	return f
}

// close stops everything that was started, so that the bubble can end.
func (f *testFleet) close() {
	for _, r := range f.nodes {
		_ = r.stop()
	}
	for _, cleanup := range f.cleanups {
		cleanup()
	}
	// A canceled request leaves its dial behind for a round trip, and time in a
	// bubble stands still once its test has returned.
	time.Sleep(4 * linkDelay)
	synctest.Wait()
}

func (f *testFleet) configure(json string) {
	d, err := declarer.Read(strings.NewReader(json))
	qt.Assert(f.t, err, qt.IsNil)
	h, err := configurer.StoredHead(f.t.Context(), f.store.Client())
	qt.Assert(f.t, err, qt.IsNil)
	_, err = configurer.Apply(f.t.Context(), f.store.Client(), h.Number, d, fmt.Sprintf("change on %d", h.Number))
	qt.Assert(f.t, err, qt.IsNil)
}

// startNode starts a node. It replaces a node of the same name, whether that
// runs, was stopped or was killed.
func (f *testFleet) startNode(name, centre string) {
	if old := f.nodes[name]; old != nil {
		_ = old.stop()
		f.network.Revive(name)
	}
	s := settingsloader.Settings{
		Name: name, Centre: centre, Region: "test", Address: name,
		Callers: name + ":80", Link: name + ":81", Admin: name + ":82", Secret: "secret",
	}
	s.Notice, s.Linger, s.Keep, s.Grace = f.notice, f.linger, f.keep, f.grace
	if f.sharedRates {
		s.Rates = settingsloader.RatesShared
	}
	for _, n := range f.names {
		s.Seeds = append(s.Seeds, n+"="+n+":81")
	}
	p := Platform{
		Listen: f.network.Listen, ListenPackets: f.listenPackets, Dial: f.network.Dialer(name), Log: logr.Discard(), Measurer: measurer.New(),
	}
	p.Store = p.Measurer.InstrumentStore(f.store.Client())
	if f.log != nil {
		p.Log, p.Events, p.DroppedLogLines = f.log.Logr("debug"), eventLogger(s, f.log), f.log.Dropped
	}
	n := New(s, p)
	ctx, cancel := context.WithCancel(f.t.Context())
	// Several goroutines may wait for the end. They wait on a channel since time
	// in a bubble does not advance while a goroutine is blocked on a mutex.
	done := make(chan struct{})
	var err error
	go func() {
		defer close(done)
		err = n.Run(ctx)
	}()
	r := &runningNode{Node: n, stop: func() error {
		cancel()
		<-done
		return err
	}}
	f.nodes[name] = r
}

func (f *testFleet) listenPackets(address string) (*prober.Socket, error) {
	d, err := f.network.ListenDatagrams(address)
	if err != nil {
		return nil, err
	}
	return &prober.Socket{Send: d.Send, Receive: d.Receive, Close: d.Close}, nil
}

// kill cuts a node off without warning, like the crash of its VM, then stops it in
// the background.
func (f *testFleet) kill(name string) {
	f.network.Kill(name)
	go func() { _ = f.nodes[name].stop() }()
}

// onClose registers a function that close calls.
func (f *testFleet) onClose(cleanup func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cleanups = append(f.cleanups, cleanup)
}

// client returns an HTTP client that connects from the given host.
func (f *testFleet) client(host string) *http.Client {
	dial := f.network.Dialer(host)
	transport := &http.Transport{DialContext: func(ctx context.Context, _, a string) (net.Conn, error) { return dial(ctx, a) }}
	f.onClose(transport.CloseIdleConnections)
	return &http.Client{Transport: transport}
}

// startTarget starts a target on a node's VM and announces it every second.
func (f *testFleet) startTarget(name, node, service string, port, slots int) {
	address := fmt.Sprintf("%s:%d", node, port)
	f.runTarget(name, address)
	ctx, stop := context.WithCancel(f.t.Context())
	c := f.client(node)
	go func() {
		for ctx.Err() == nil {
			f.announce(ctx, c, node, service, address, fmt.Sprintf(`{"slots":%d,"state":%q,"ttl":3000}`, slots, f.targetState(name)))
			select {
			case <-time.After(time.Second):
			case <-ctx.Done():
			}
		}
	}()
	f.onClose(stop)
}

// crashDowntime is how long a target that crashed is down.
const crashDowntime = 3 * time.Second

// runTarget runs a target's process.
func (f *testFleet) runTarget(name, address string) {
	ln, err := f.network.Listen(address)
	qt.Assert(f.t, err, qt.IsNil)
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { f.serveTarget(name, w, r) })}
	go func() { _ = s.Serve(ln) }()
	f.onClose(func() { _ = s.Close() })
	f.mu.Lock()
	defer f.mu.Unlock()
	f.crash[name] = sync.OnceFunc(func() {
		f.mu.Lock()
		f.crashTimes = append(f.crashTimes, time.Now())
		f.mu.Unlock()
		_ = s.Close()
		restart := time.AfterFunc(crashDowntime, func() { f.runTarget(name, address) })
		f.onClose(func() { restart.Stop() })
	})
}

func (f *testFleet) targetState(target string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.draining[target] {
		return "draining"
	}
	return "warm"
}

func (f *testFleet) announce(ctx context.Context, c *http.Client, node, service, address, body string) {
	url := "http://" + node + ":82/v1/targets/" + service + "/" + address
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, url, strings.NewReader(body))
	if err != nil {
		return
	}
	req.Header.Set("Content-Type", "application/json")
	if res, err := c.Do(req); err == nil {
		_ = res.Body.Close()
	}
}

// serveTarget records the request with all of its headers and answers it as the
// path asks.
func (f *testFleet) serveTarget(name string, w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	f.mu.Lock()
	f.requests[name] = append(f.requests[name], fmt.Sprintf("%s %s %v %s", r.Method, r.URL, r.Header, body))
	f.arrivals[name] = append(f.arrivals[name], time.Now())
	sick := f.sick[name]
	f.mu.Unlock()
	switch {
	case sick:
		w.WriteHeader(http.StatusInternalServerError)
	case strings.HasSuffix(r.URL.Path, "/half"):
		w.Header().Set("Content-Length", "100")
		_, _ = io.WriteString(w, "half")
		panic(http.ErrAbortHandler)
	case strings.HasSuffix(r.URL.Path, "/broken-download"):
		w.Header().Set("Content-Length", "520000")
		_, _ = io.WriteString(w, strings.Repeat("d", 400_000))
		time.Sleep(100 * time.Millisecond)
		panic(http.ErrAbortHandler)
	case strings.HasSuffix(r.URL.Path, "/shed"):
		w.Header().Set("Zinnia-Ran", "no")
		w.WriteHeader(http.StatusServiceUnavailable)
	case strings.HasSuffix(r.URL.Path, "/fatal"):
		time.Sleep(fatalRunTime)
		f.mu.Lock()
		crash := f.crash[name]
		f.mu.Unlock()
		crash()
	case strings.HasSuffix(r.URL.Path, "/slow"):
		time.Sleep(slowTargetLatency)
		f.addStatement(name, w)
	case strings.HasSuffix(r.URL.Path, "/hang"):
		<-r.Context().Done()
		f.mu.Lock()
		f.canceled = append(f.canceled, r.URL.Path)
		f.mu.Unlock()
	case strings.HasSuffix(r.URL.Path, "/raw"):
		if c, _, err := http.NewResponseController(w).Hijack(); err == nil {
			_, _ = c.Write(body)
			_ = c.Close()
		}
	case strings.HasSuffix(r.URL.Path, "/large"):
		_, _ = io.WriteString(w, strings.Repeat("0123456789abcdef", 1<<16))
	default:
		_, _ = fmt.Fprintf(w, "%s %s %s", r.Method, r.URL.Path, r.Header.Get("Zinnia-Workspace"))
	}
}

// addStatement adds what a target states about itself to a response.
func (f *testFleet) addStatement(name string, w http.ResponseWriter) {
	f.mu.Lock()
	defer f.mu.Unlock()
	maps.Copy(w.Header(), f.statements[name])
}

// call sends a request to a node and returns a line that describes the response.
func (f *testFleet) call(c *http.Client, node, method, path, key, body string) string {
	req, err := http.NewRequestWithContext(f.t.Context(), method, "http://"+node+":80"+path, strings.NewReader(body))
	qt.Assert(f.t, err, qt.IsNil)
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	if f.idempotencyKey != "" {
		req.Header.Set("Idempotency-Key", f.idempotencyKey)
	}
	res, err := c.Do(req)
	if err != nil {
		return "no response"
	}
	defer res.Body.Close()
	b, err := io.ReadAll(res.Body)
	text := strings.TrimSpace(string(b))
	switch {
	case err != nil:
		text = "truncated response"
	case len(text) > 80:
		text = fmt.Sprintf("%d bytes", len(text))
	}
	code := res.Header.Get("Zinnia-Code")
	if code != "0" {
		text = ""
	}
	return strings.TrimSpace(fmt.Sprintf("%d code=%s ran=%s %s", res.StatusCode, code, res.Header.Get("Zinnia-Ran"), text))
}

// timeline returns the events of all nodes that keep selects, one line each, in
// order of time.
func (f *testFleet) timeline(keep func(tracer.Event) bool) []string {
	var rings [][]tracer.Event
	for _, name := range f.names {
		if r := f.nodes[name]; r != nil {
			rings = append(rings, r.Tracer.Events())
		}
	}
	var out []string
	for _, e := range tracer.Merge(rings...) {
		if keep(e) {
			out = append(out, strings.TrimSpace(fmt.Sprintf("%s %s %s %s", e.Node, e.Kind, e.Target, e.Workspace)))
		}
	}
	return out
}
