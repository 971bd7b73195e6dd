package reserver

import (
	"context"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/zinniaproxy/zinniaproxy/internal/admitter"
	"github.com/zinniaproxy/zinniaproxy/internal/breaker"
	"github.com/zinniaproxy/zinniaproxy/internal/deduper"
	"github.com/zinniaproxy/zinniaproxy/internal/detector"
	"github.com/zinniaproxy/zinniaproxy/internal/exithandler"
	"github.com/zinniaproxy/zinniaproxy/internal/faker"
	"github.com/zinniaproxy/zinniaproxy/internal/linker"
	"github.com/zinniaproxy/zinniaproxy/internal/messenger"
	"github.com/zinniaproxy/zinniaproxy/internal/tracer"
	"github.com/zinniaproxy/zinniaproxy/pkg/coder"
)

const (
	linkDelay = 500 * time.Microsecond
	ms        = time.Millisecond
)

// fleet is an entry node, and exit nodes with one target each, in virtual time.
type fleet struct {
	t       *testing.T
	network *faker.Network
	entry   *linker.Linker
	client  *Client
	exits   []*exit
}

// exit is an exit node.
type exit struct {
	target   messenger.Target
	admitter *admitter.Admitter
	server   *Server
	handler  *exithandler.Handler

	mu sync.Mutex
	// work runs a call at the target.
	work func(ctx context.Context)
	// runs counts how often each attempt was run.
	runs map[string]int
	// leaving is returned to those who enter.
	leaving error
	events  []tracer.Event
}

// runFleet runs a test with exit nodes x0, x1 and so on, whose targets have the
// given number of slots.
func runFleet(t *testing.T, exits, slots int, test func(c *qt.C, f *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := &fleet{t: t, network: faker.NewNetwork(linkDelay)}
		f.entry = f.startLinker("entry", func(*linker.Linker) {})
		f.client = &Client{Self: "entry", Open: f.entry.Open}
		for i := range exits {
			f.exits = append(f.exits, f.startExit("x"+strconv.Itoa(i), slots))
		}
		test(qt.New(t), f)
		time.Sleep(time.Minute)
		for _, x := range f.exits {
			qt.Check(t, x.load(), qt.Equals, exithandler.Load{Limit: slots})
			for attempt, n := range x.runs {
				qt.Check(t, n, qt.Equals, 1, qt.Commentf("%s at %s", attempt, x.target.Name))
			}
		}
	})
}

func (f *fleet) startLinker(name string, configure func(*linker.Linker)) *linker.Linker {
	l := &linker.Linker{
		Node: name, Epoch: 1, Secret: []byte("s"), Dial: f.network.Dialer(name),
		Resolve: func(node string) (string, bool) { return node + ":1", true },
	}
	configure(l)
	ln, err := f.network.Listen(name + ":1")
	qt.Assert(f.t, err, qt.IsNil)
	ctx, stop := context.WithCancel(f.t.Context())
	done := make(chan error, 1)
	go func() { done <- l.Run(ctx, ln) }()
	f.t.Cleanup(func() {
		stop()
		if err := <-done; err != nil { // a killed node cannot listen
			f.t.Logf("%s: %v", name, err)
		}
	})
	synctest.Wait()
	return l
}

func (f *fleet) startExit(name string, slots int) *exit {
	x := &exit{
		target: messenger.Target{Name: "t-" + name, Service: "s", Node: name, Epoch: 1, Slots: slots},
		runs:   map[string]int{}, work: func(context.Context) { time.Sleep(100 * ms) },
	}
	lookup := func(string) (messenger.Target, bool) { return x.target, true }
	x.admitter = &admitter.Admitter{
		ColdLimit: func(string) int { return slots }, CentreOut: func() bool { return false },
		Detector: &detector.Detector{}, Breaker: &breaker.Breaker{}, RefreshVerdicts: func() {},
		Tracer: &tracer.Tracer{Size: 1, Log: x.record},
	}
	x.admitter.ApplyVerdict(x.target)
	dd := deduper.New(1)
	x.handler = &exithandler.Handler{
		Lookup: lookup, Enter: x.enter, CheckLeaving: func(string) error { return nil }, Acquire: x.admitter.Acquire, Load: x.admitter.Load, Send: x.send, Tracer: x.admitter.Tracer,
		Begin: func(c *messenger.Call, deadline time.Time) (func() error, error) {
			attempt, err := dd.Begin(c.ID, time.Until(deadline))
			return attempt.Check, err
		},
	}
	x.server = &Server{Lookup: lookup, Enter: x.enter, Reserve: x.admitter.Reserve}
	f.startLinker(name, func(l *linker.Linker) {
		l.Handle(linker.MethodReserve, x.server.Handle)
		l.Handle(linker.MethodCall, func(ctx context.Context, q linker.Query, send func([]byte, bool) error) error {
			var c messenger.Call
			if err := messenger.Decode(q.Payload, &c); err != nil {
				return err
			}
			deadline, _ := ctx.Deadline()
			return x.handler.Serve(exithandler.WithEntry(ctx, q.Peer), &exithandler.Job{Call: &c, Deadline: deadline, Response: exithandler.ResponseSink{
				Head: func(h messenger.ResponseHead, last bool) error { return send(messenger.Encode(&h), last) },
			}})
		})
	})
	return x
}

func (x *exit) enter(string) (func(), error) {
	x.mu.Lock()
	defer x.mu.Unlock()
	return func() {}, x.leaving
}

func (x *exit) leave(err error) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.leaving = err
}

func (x *exit) record(e tracer.Event) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.events = append(x.events, e)
}

// event returns the last event of a kind.
func (x *exit) event(kind string) (last tracer.Event) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, e := range x.events {
		if e.Kind == kind {
			last = e
		}
	}
	return last
}

// send runs a call at the target.
func (x *exit) send(ctx context.Context, j *exithandler.Job) error {
	x.mu.Lock()
	x.runs[j.Call.ID]++
	work := x.work
	x.mu.Unlock()
	work(ctx)
	if ctx.Err() != nil {
		j.Outcome.Result = exithandler.TimedOut
		return coder.New(coder.DeadlineAfter, "")
	}
	j.Outcome.Result = exithandler.Good
	return j.Response.Head(messenger.ResponseHead{Status: 200}, true)
}

// setWork replaces how the target runs the next calls, and returns how it did.
func (x *exit) setWork(work func(ctx context.Context)) (before func(ctx context.Context)) {
	x.mu.Lock()
	defer x.mu.Unlock()
	before, x.work = x.work, work
	return before
}

func (x *exit) load() exithandler.Load { return x.admitter.Load(x.target.Name) }

func (x *exit) runCount(attempt string) int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.runs[attempt]
}

// requests returns requests for the targets of exit nodes.
func requests(c *messenger.Call, exits ...*exit) (rs []Request) {
	for _, x := range exits {
		rs = append(rs, Request{Target: x.target, Call: c})
	}
	return rs
}

// call sends a call to an exit node and waits for the response.
func (f *fleet) call(ctx context.Context, x *exit, c messenger.Call) error {
	c.Target, c.Epoch = x.target.Name, x.target.Epoch
	s, err := f.entry.Open(ctx, linker.QueryOptions{Node: x.target.Node, Method: linker.MethodCall, Payload: messenger.Encode(&c), NonIdempotent: c.Once})
	if err != nil {
		return err
	}
	defer s.Close()
	_, _, err = s.Recv(ctx)
	return err
}

// fill has calls take all slots of an exit node for a time.
func (f *fleet) fill(x *exit, hold time.Duration) {
	before := x.setWork(func(context.Context) { time.Sleep(hold) })
	for i := range x.target.Slots {
		go func() {
			_ = f.call(f.t.Context(), x, messenger.Call{ID: x.target.Name + "-fill-" + strconv.Itoa(i), Timeout: time.Minute})
		}()
	}
	time.Sleep(10 * ms)
	x.setWork(before)
}

// acquireResult is the result of Acquire, after it returned.
type acquireResult struct {
	granted Request
	id      string
	err     error
	took    time.Duration
}

// acquire runs Acquire in the background.
func (f *fleet) acquire(rs []Request) <-chan acquireResult {
	out := make(chan acquireResult, 1)
	begin := time.Now()
	go func() {
		ctx, stop := context.WithTimeout(f.t.Context(), 10*time.Second)
		defer stop()
		granted, id, err := f.client.Acquire(ctx, rs)
		out <- acquireResult{granted, id, err, time.Since(begin)}
	}()
	return out
}
