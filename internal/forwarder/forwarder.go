// Package forwarder makes one attempt at a request: it picks a target, sends
// the call to the target's exit node, and holds the answer until it is whole
// or larger than the hold.
package forwarder

import (
	"context"
	"net/http"
	"time"

	"github.com/zinniaproxy/zinniaproxy/internal/dispatcher"
	"github.com/zinniaproxy/zinniaproxy/internal/linker"
	"github.com/zinniaproxy/zinniaproxy/internal/messenger"
	"github.com/zinniaproxy/zinniaproxy/internal/tracer"
	"github.com/zinniaproxy/zinniaproxy/pkg/coder"
)

// HoldBytes is how much of an answer is held before its first byte goes to the
// caller. A held answer that breaks off can be tried again unseen.
const HoldBytes = 256 << 10

// Outcome is what an attempt teaches the entry about its target.
type Outcome struct {
	// Err is nil for a whole answer (or one that grew beyond the hold).
	Err error
	// Status is the answer's HTTP status, 0 without one.
	Status int
	// Latency is the time to the end of the hold.
	Latency time.Duration
	// Load is what the exit told of the target; Known tells whether it did.
	Load  dispatcher.Load
	Known bool
	// Lost tells that the link to the exit node failed, so that nothing was
	// heard of the attempt.
	Lost bool
}

// Source is a started call: Recv returns the head first, then the pieces of
// the body, and Close gives it up.
type Source struct {
	Recv  func(ctx context.Context) (head *messenger.Head, body []byte, last bool, err error)
	Close func()
}

// Answer is what a caller gets.
type Answer struct {
	// Head is the target's.
	Head messenger.Head
	// Held is the beginning of the body, or all of it when Whole.
	Held  []byte
	Whole bool
	// Target is the name of the target that answered.
	Target string

	// Source is where the rest comes from.
	Source Source
}

// Kept returns the whole answer of an earlier call.
func Kept(h messenger.Head) *Answer {
	return &Answer{Head: h, Held: h.Body, Whole: true, Source: Source{Close: func() {}}}
}

// Failed tells that the target itself reports a failure.
func (a *Answer) Failed() bool { return a.Head.Status >= http.StatusInternalServerError }

// Next returns the next piece of an answer that is not Whole.
func (a *Answer) Next(ctx context.Context) (body []byte, last bool, err error) {
	_, body, last, err = a.Source.Recv(ctx)
	return body, last, err
}

// Close gives the answer up, if it has not ended.
func (a *Answer) Close() { a.Source.Close() }

// Forwarder sends calls to exit nodes. Set the fields before the first call.
type Forwarder struct {
	// Node is this node's name.
	Node string
	// Pick chooses a target for a call that was not tried yet. done takes the
	// outcome.
	Pick func(ctx context.Context, c *messenger.Call, tried []string) (t messenger.Target, done func(Outcome), err error)
	// Open sends a question to another node.
	Open func(ctx context.Context, o linker.Opening) (*linker.Stream, error)
	// Local runs a call on this node.
	Local *dispatcher.Local
	// Answered takes how long an attempt took that got an answer, how much of
	// that was spent at the exit, and whether that is another node. Nil drops it.
	Answered func(took, spent time.Duration, link bool)
	// Tracer takes events; nil drops them.
	Tracer *tracer.Tracer
}

// Attempt makes one attempt, at a target that is not among the trials, and
// returns the answer, which must be closed. Errors are *coder.Error. The answer
// of a failing target is returned as it is.
func (f *Forwarder) Attempt(ctx context.Context, c messenger.Call, trials *Trials) (*Answer, error) {
	var done func(Outcome)
	t, err := trials.pick(c.ID, func(tried []string) (t messenger.Target, err error) {
		t, done, err = f.Pick(ctx, &c, tried)
		return t, err
	})
	if err != nil {
		return nil, err
	}
	c.Target, c.Epoch = t.Name, t.Epoch
	if end, ok := ctx.Deadline(); ok {
		c.Timeout = time.Until(end)
	}
	start := time.Now()
	a, err := f.hold(ctx, &c, t, trials)
	o := Outcome{Err: err, Latency: time.Since(start), Lost: t.Node != f.Node && linker.Lost(err)}
	if a != nil {
		o.Status, o.Known = a.Head.Status, true
		o.Load = dispatcher.Load{Queue: a.Head.Queue, Flying: a.Head.Flying, Limit: a.Head.Limit}
		if f.Answered != nil {
			f.Answered(o.Latency, a.Head.Spent, t.Node != f.Node)
		}
	}
	done(o)
	f.trace(&c, t, o)
	return a, err
}

// trace logs how an attempt ended. Refusals of exits are routine.
func (f *Forwarder) trace(c *messenger.Call, t messenger.Target, o Outcome) {
	e := tracer.Event{
		Kind: "attempt", Request: c.Request, Attempt: c.ID, Target: t.Name, Workspace: c.Workspace,
		Took: tracer.Millis(o.Latency), Status: o.Status, Routine: o.Err == nil,
		Queue: o.Load.Queue, Flying: o.Load.Flying, Limit: o.Load.Limit, Detail: t.Node,
	}
	if o.Err != nil {
		e.Code, e.Detail = int(coder.Of(o.Err).Code), coder.Of(o.Err).Error()
	}
	f.Tracer.Add(e)
}

// hold starts the call and reads its answer up to the hold.
func (f *Forwarder) hold(ctx context.Context, c *messenger.Call, t messenger.Target, trials *Trials) (*Answer, error) {
	if c.Timeout <= 0 {
		return nil, coder.New(coder.DeadlineBefore, "")
	}
	source, err := f.start(ctx, c, t, trials)
	if err != nil {
		return nil, err
	}
	a := &Answer{Target: t.Name, Source: source}
	if err := a.fill(ctx, c.Method); err != nil {
		source.Close()
		return nil, err
	}
	return a, nil
}

// fill reads until the answer is whole or the hold is full.
func (a *Answer) fill(ctx context.Context, method string) error {
	head, _, last, err := a.Source.Recv(ctx)
	if err != nil {
		return err
	}
	if head == nil {
		return coder.New(coder.Cut, "answer without a head")
	}
	a.Head, a.Held, a.Whole = *head, head.Body, last
	a.Head.Body = nil
	for !a.Whole && len(a.Held) < HoldBytes {
		_, body, last, err := a.Source.Recv(ctx)
		if err != nil {
			return err
		}
		a.Held, a.Whole = append(a.Held, body...), last
	}
	return a.verify(method)
}

// verify holds a whole answer against the length that its head promised.
func (a *Answer) verify(method string) error {
	bodiless := method == http.MethodHead || a.Head.Status == http.StatusNotModified
	if !a.Whole || a.Head.Length < 0 || bodiless || int64(len(a.Held)) == a.Head.Length {
		return nil
	}
	return coder.New(coder.Cut, "%d of %d bytes", len(a.Held), a.Head.Length)
}

// start sends the call to the target's node.
func (f *Forwarder) start(ctx context.Context, c *messenger.Call, t messenger.Target, trials *Trials) (Source, error) {
	if t.Node == f.Node {
		a := f.Local.Open(ctx, c)
		return Source{Recv: a.Recv, Close: a.Close}, nil
	}
	s, err := f.Open(ctx, linker.Opening{
		Node: t.Node, Method: linker.MethodCall, Payload: messenger.Encode(c), Once: c.Once,
	})
	if err != nil {
		return Source{}, err
	}
	trials.sent(c.ID, s.PeerEpoch())
	return Source{Recv: remote(s), Close: s.Close}, nil
}

// remote reads an answer from a link: the first message is the head, the
// others are pieces of the body.
func remote(s *linker.Stream) func(ctx context.Context) (*messenger.Head, []byte, bool, error) {
	headed := false
	return func(ctx context.Context) (*messenger.Head, []byte, bool, error) {
		b, last, err := s.Recv(ctx)
		if err != nil || headed {
			return nil, b, last, err
		}
		headed = true
		var h messenger.Head
		if err := messenger.Decode(b, &h); err != nil {
			return nil, nil, false, coder.New(coder.Cut, "head of the answer: %v", err)
		}
		return &h, nil, last, nil
	}
}

// Serve answers the calls of other nodes: it is the link's handler of
// linker.MethodCall.
func Serve(d *dispatcher.Dispatcher) linker.Handler {
	return func(ctx context.Context, q linker.Question, send func([]byte, bool) error) error {
		var c messenger.Call
		if err := messenger.Decode(q.Payload, &c); err != nil {
			return coder.New(coder.BadRequest, "%v", err)
		}
		end, _ := ctx.Deadline()
		return d.Serve(ctx, &dispatcher.Job{Call: &c, Deadline: end, Out: dispatcher.Out{
			Head: func(h messenger.Head, last bool) error { return send(messenger.Encode(&h), last) },
			Body: send,
		}})
	}
}
