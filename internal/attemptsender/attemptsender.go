// Package attemptsender makes one attempt at a request: it picks a target, sends
// the call to the target's exit node, and buffers the response until it is
// complete or the buffer is full.
package attemptsender

import (
	"context"
	"net/http"
	"time"

	"github.com/zinniaproxy/zinniaproxy/internal/accountant"
	"github.com/zinniaproxy/zinniaproxy/internal/exithandler"
	"github.com/zinniaproxy/zinniaproxy/internal/linker"
	"github.com/zinniaproxy/zinniaproxy/internal/messenger"
	"github.com/zinniaproxy/zinniaproxy/internal/tracer"
	"github.com/zinniaproxy/zinniaproxy/pkg/coder"
)

// MaxBufferedBytes is how much of a response body is buffered before its first byte
// goes to the caller: a response truncated before then can be retried without the
// caller noticing. The last buffered piece may go beyond it.
const MaxBufferedBytes = 256 << 10

// maxCompletedBytes is how much of a response body is buffered if the response must
// not break off once it is written.
const maxCompletedBytes = 1 << 20

// pieceBytes is the largest piece of a response body.
const pieceBytes = 32 << 10

// Outcome is what the entry node learns from an attempt.
type Outcome struct {
	// Err is nil for a complete response and for one that filled the buffer.
	Err error
	// Status is the HTTP status of the response, 0 if there is none.
	Status int
	// Latency is the time until the response was buffered or the attempt failed.
	Latency time.Duration
	// Load is the target's load as reported by the exit node. It is set if
	// LoadKnown.
	Load      exithandler.Load
	LoadKnown bool
	// LinkLost means that the link to the exit node failed, so that the
	// attempt's outcome there is unknown.
	LinkLost bool
}

// Source is a call in flight. Recv returns the head first, then the pieces of the
// body. Close abandons the call if it has not ended.
type Source struct {
	Recv  func(ctx context.Context) (head *messenger.ResponseHead, body []byte, last bool, err error)
	Close func()
}

// Response is the response for a caller.
type Response struct {
	// Head is the head of the target's response. Its Body is in Buffered.
	Head messenger.ResponseHead
	// Buffered is the buffered start of the body, or all of it if Complete.
	Buffered Pieces
	Complete bool
	// Target is the name of the target that responded.
	Target string

	// Source supplies the rest of the body.
	Source Source
}

// StoredResponse returns a Response from the stored response of an earlier call,
// whose body is h.Body.
func StoredResponse(h messenger.ResponseHead) *Response {
	return &Response{Head: h, Buffered: Pieces{}.with(h.Body), Complete: true, Source: Source{Close: func() {}}}
}

// Failed reports whether the target responded with a status of 500 or above.
func (r *Response) Failed() bool { return r.Head.Status >= http.StatusInternalServerError }

// Next returns the next piece of the body of a response that is not Complete.
func (r *Response) Next(ctx context.Context) (body []byte, last bool, err error) {
	_, body, last, err = r.Source.Recv(ctx)
	return body, last, err
}

// Close abandons the call if it has not ended.
func (r *Response) Close() { r.Source.Close() }

// Sender sends calls to exit nodes. Set the fields before the first call.
type Sender struct {
	// Node is this node's name.
	Node string
	// Pick chooses a target that is not in tried. The sender calls done with
	// the outcome of the attempt.
	Pick func(ctx context.Context, c *messenger.Call, tried []string) (t messenger.Target, done func(Outcome), err error)
	// Open sends a query to another node.
	Open func(ctx context.Context, o linker.QueryOptions) (*linker.Stream, error)
	// Local runs a call on this node.
	Local *exithandler.Local
	// ObserveLatency is called for each attempt that got a response, with its
	// latency, the part spent at the exit node, and whether that is another
	// node. It may be nil.
	ObserveLatency func(latency, exitTime time.Duration, remote bool)
	// Statement returns what a target stated about itself to this node, and
	// RecordStatement records it from a response. Nil drops it.
	Statement       func(t messenger.Target) messenger.Statement
	RecordStatement func(t messenger.Target, st messenger.Statement)
	// Tracer records events; nil drops them.
	Tracer *tracer.Tracer
}

// Attempt makes one attempt at a target that none of attempts has tried, if there
// is such a target, and adds it to attempts. The response must be closed; it may
// be a target's error response. Errors are *coder.Error.
func (s *Sender) Attempt(ctx context.Context, c messenger.Call, attempts *Attempts) (*Response, error) {
	var done func(Outcome)
	t, err := attempts.pick(c.ID, func(tried []string) (t messenger.Target, err error) {
		t, done, err = s.Pick(ctx, &c, tried)
		return t, err
	})
	if err != nil {
		return nil, err
	}
	c.Target, c.Epoch = t.Name, t.Epoch
	if s.Statement != nil {
		c.Statement = s.Statement(t)
	}
	if deadline, ok := ctx.Deadline(); ok {
		c.Timeout = time.Until(deadline)
	}
	start := time.Now()
	response, err := s.openBuffered(ctx, &c, t, attempts)
	o := Outcome{Err: err, Latency: time.Since(start), LinkLost: t.Node != s.Node && linker.IsLinkLost(err)}
	if response != nil {
		if s.RecordStatement != nil {
			s.RecordStatement(t, response.Head.Statement)
		}
		o.Status, o.LoadKnown = response.Head.Status, true
		o.Load = exithandler.Load{Queue: response.Head.Queue, InFlight: response.Head.InFlight, Limit: response.Head.Limit}
		if s.ObserveLatency != nil {
			s.ObserveLatency(o.Latency, response.Head.ExitTime, t.Node != s.Node)
		}
	}
	done(o)
	s.trace(&c, t, o)
	return response, err
}

// trace records the event of an attempt's end. Attempts without error are routine.
func (s *Sender) trace(c *messenger.Call, t messenger.Target, o Outcome) {
	e := tracer.Event{
		Kind: "attempt", Request: c.Request, Attempt: c.ID, Target: t.Name, Workspace: c.Workspace,
		Took: tracer.Millis(o.Latency), Status: o.Status, Routine: o.Err == nil,
		Queue: o.Load.Queue, InFlight: o.Load.InFlight, Limit: o.Load.Limit, Detail: t.Node,
	}
	if o.Err != nil {
		e.Code, e.Detail = int(coder.Of(o.Err).Code), coder.Of(o.Err).Error()
	}
	s.Tracer.Add(e)
}

// openBuffered sends the call and buffers the response.
func (s *Sender) openBuffered(ctx context.Context, c *messenger.Call, t messenger.Target, attempts *Attempts) (*Response, error) {
	if c.Timeout <= 0 {
		return nil, coder.New(coder.DeadlineBefore, "")
	}
	source, err := s.send(ctx, c, t, attempts)
	if err != nil {
		return nil, err
	}
	response := &Response{Target: t.Name, Source: source}
	if err := response.buffer(ctx, c.Method); err != nil {
		source.Close()
		return nil, err
	}
	return response, nil
}

// buffer reads until the response is complete or the buffer is full.
func (r *Response) buffer(ctx context.Context, method string) error {
	head, _, last, err := r.Source.Recv(ctx)
	if err != nil {
		return err
	}
	if head == nil {
		return coder.New(coder.Cut, "response has no head")
	}
	if !messenger.EndsRequest(head.Status) {
		return coder.New(coder.Cut, "status %d ends no request", head.Status)
	}
	r.Head, r.Complete = *head, last
	r.Head.Body = nil
	owner := accountant.FromContext(ctx)
	owner.Account().Charge(owner, int64(cap(head.Body)))
	r.Buffered = r.Buffered.with(head.Body)
	if err := r.bufferUpTo(ctx, MaxBufferedBytes); err != nil {
		return err
	}
	return r.checkLength(method)
}

// BufferRest reads the rest of the body, unless that is longer than maxCompletedBytes
// or the account has no room for it.
func (r *Response) BufferRest(ctx context.Context, method string) error {
	if r.Head.Length > maxCompletedBytes {
		return nil
	}
	if err := r.bufferUpTo(ctx, maxCompletedBytes); err != nil {
		return err
	}
	return r.checkLength(method)
}

// bufferUpTo reads until the response is complete or a number of bytes is buffered.
// Without room for a further piece in the account the response is not buffered any
// further, but read as the caller reads it.
func (r *Response) bufferUpTo(ctx context.Context, size int) error {
	owner := accountant.FromContext(ctx)
	account := owner.Account()
	for !r.Complete && r.Buffered.Len() < size && account.Reserve(owner, pieceBytes) {
		_, piece, last, err := r.Source.Recv(ctx)
		if err != nil {
			return err
		}
		account.Release(owner, int64(pieceBytes-min(cap(piece), pieceBytes)))
		r.Buffered, r.Complete = r.Buffered.with(piece), last
	}
	return nil
}

// checkLength compares the length of a complete body with the length in the head.
func (r *Response) checkLength(method string) error {
	noBody := method == http.MethodHead || r.Head.Status == http.StatusNotModified
	if !r.Complete || r.Head.Length < 0 || noBody || int64(r.Buffered.Len()) == r.Head.Length {
		return nil
	}
	return coder.New(coder.Cut, "response body has %d of %d bytes", r.Buffered.Len(), r.Head.Length)
}

// send sends the call to the target's exit node, or runs it if that is this node.
func (s *Sender) send(ctx context.Context, c *messenger.Call, t messenger.Target, attempts *Attempts) (Source, error) {
	if t.Node == s.Node {
		response := s.Local.Open(ctx, c)
		return Source{Recv: response.Recv, Close: response.Close}, nil
	}
	stream, err := s.Open(ctx, linker.QueryOptions{
		Node: t.Node, Method: linker.MethodCall, Payload: messenger.Encode(c), NonIdempotent: c.Once,
	})
	if err != nil {
		return Source{}, err
	}
	attempts.markSent(c.ID, stream.PeerEpoch())
	return Source{Recv: recvFrom(stream), Close: stream.Close}, nil
}

// recvFrom returns the Recv of a Source for a stream, whose first message is the
// head and whose others are pieces of the body.
func recvFrom(s *linker.Stream) func(ctx context.Context) (*messenger.ResponseHead, []byte, bool, error) {
	headReceived := false
	return func(ctx context.Context) (*messenger.ResponseHead, []byte, bool, error) {
		b, last, err := s.Recv(ctx)
		if err != nil || headReceived {
			return nil, b, last, err
		}
		headReceived = true
		var h messenger.ResponseHead
		if err := messenger.Decode(b, &h); err != nil {
			return nil, nil, false, coder.New(coder.Cut, "head of the answer: %v", err)
		}
		return &h, nil, last, nil
	}
}

// Serve returns the handler of linker.MethodCall, which runs the calls of other
// nodes.
func Serve(handler *exithandler.Handler) linker.Handler {
	return func(ctx context.Context, q linker.Query, send func([]byte, bool) error) error {
		var c messenger.Call
		if err := messenger.Decode(q.Payload, &c); err != nil {
			return coder.New(coder.BadRequest, "%v", err)
		}
		deadline, _ := ctx.Deadline()
		return handler.Serve(ctx, &exithandler.Job{Call: &c, Deadline: deadline, Response: exithandler.ResponseSink{
			Head: func(h messenger.ResponseHead, last bool) error { return send(messenger.Encode(&h), last) },
			Body: send,
		}})
	}
}
