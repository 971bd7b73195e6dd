// Package receiver is the entry side of a node: it takes callers' requests over
// HTTP and leads each through a chain of filters to its answer.
package receiver

import (
	"context"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/zinniaproxy/zinniaproxy/internal/dispatcher"
	"github.com/zinniaproxy/zinniaproxy/internal/forwarder"
	"github.com/zinniaproxy/zinniaproxy/internal/indexer"
	"github.com/zinniaproxy/zinniaproxy/internal/messenger"
	"github.com/zinniaproxy/zinniaproxy/internal/tracer"
	"github.com/zinniaproxy/zinniaproxy/pkg/coder"
	"github.com/zinniaproxy/zinniaproxy/pkg/declarer"
)

// Header fields between callers and a node.
const (
	// KeyHeader carries a key, as Authorization: Bearer does.
	KeyHeader = "Zinnia-Key"
	// EntryHeader tells callers to which node they best send the next requests
	// of their workspace.
	EntryHeader = "Zinnia-Entry"
	// CodeHeader carries the number of the result code.
	CodeHeader = "Zinnia-Code"
	// RepeatHeader carries the caller's idempotency key.
	RepeatHeader = "Idempotency-Key"
)

// Exchange is one request on its way through the filters. Each filter sets the
// fields that it is for.
type Exchange struct {
	Writer  http.ResponseWriter
	Request *http.Request
	// ID names the request in the whole fleet, and Name is what its caller
	// calls it, or else the ID.
	ID, Name string
	// Index is the configuration that the request is judged by.
	Index *indexer.Index
	// Route is never nil behind the route filter.
	Route *declarer.Route
	// Service is the one of the route that the request goes to.
	Service string
	// Origin is the service on whose VM the request began, if it is known.
	Origin string
	// Dialect is how the caller is spoken to.
	Dialect *dispatcher.Dialect
	// Workspace is nil on routes open to all.
	Workspace *declarer.Workspace
	// Deadline is when the caller stops waiting.
	Deadline time.Time
	// Body is the whole request body.
	Body []byte
	// Repeat is the caller's idempotency key, or empty.
	Repeat string
	// Target is the name of the target that answered, and Status its answer's.
	Target string
	Status int
	// headed tells that the head of an answer went to the caller.
	headed bool
}

// WorkspaceName returns the workspace's name, empty on open routes.
func (x *Exchange) WorkspaceName() string {
	if x.Workspace == nil {
		return ""
	}
	return x.Workspace.Name
}

// Rank returns the importance of the request, the workspace's before the
// route's: 0 goes first.
func (x *Exchange) Rank() int {
	if x.Workspace != nil && x.Workspace.Rank != 0 {
		return x.Workspace.Rank
	}
	return x.Route.Rank
}

// Call returns the message for the exchange, without target and ID.
func (x *Exchange) Call() messenger.Call {
	c := messenger.Call{
		Request: x.Name, Service: x.Service, Workspace: x.WorkspaceName(), Weight: 1, Origin: x.Origin, Rank: x.Rank(),
		Method: x.Request.Method, URI: x.Request.URL.RequestURI(), Host: x.Request.Host,
		Header: x.Dialect.EndToEndFields(x.Request.Header), Body: x.Body,
		Once: x.Route.Once, Wait: x.Route.Wait, Route: x.Route.Name, Aim: time.Duration(x.Route.Aim) * time.Millisecond,
	}
	if x.Workspace != nil {
		c.Weight = max(x.Workspace.Weight, 1)
	}
	return c
}

// Step passes an exchange on.
type Step func(ctx context.Context, x *Exchange) error

// Filter does its part and passes the exchange to next, or refuses it with a
// *coder.Error.
type Filter func(ctx context.Context, x *Exchange, next Step) error

// Receiver answers callers. Set the fields before the first request.
type Receiver struct {
	// Node and Epoch name this process in the requests' identities.
	Node  string
	Epoch uint64
	// Service is the service whose target runs beside this node, if it is
	// known: callers of this VM are its.
	Service string
	// Dialect is how callers are spoken to.
	Dialect dispatcher.Dialect
	// Index returns the configuration in force, nil before there is one.
	Index func() *indexer.Index
	// Await is how long a request waits for the first configuration.
	Await time.Duration
	// Leaving tells that the node is stopping.
	Leaving func() bool
	// Fresh tells that the node knows which keys still hold.
	Fresh func() bool
	// Limit takes one request from a workspace's rate and burst.
	Limit func(ctx context.Context, workspace string) error
	// Entry returns the address at which a workspace's requests are admitted
	// without asking another node, or "". Nil means none.
	Entry func(workspace string) string
	// Forward gets the answer.
	Forward func(ctx context.Context, x *Exchange) (*forwarder.Answer, error)
	// Count takes the code of each request's end.
	Count func(code coder.Code, took time.Duration)
	// Tracer takes events; nil drops them.
	Tracer *tracer.Tracer

	splits   splits
	sequence atomic.Uint64
	flying   atomic.Int64
}

// Filters returns the filters of a request in their order.
func (r *Receiver) Filters() []Filter {
	return []Filter{r.accept, r.route, r.deadline, r.key, r.limit, r.body, r.answer}
}

// Chain makes one step of filters.
func Chain(fs []Filter) Step {
	if len(fs) == 0 {
		return func(context.Context, *Exchange) error { return nil }
	}
	next := Chain(fs[1:])
	return func(ctx context.Context, x *Exchange) error { return fs[0](ctx, x, next) }
}

// ServeHTTP answers one request.
func (r *Receiver) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	start := time.Now()
	x := &Exchange{Writer: w, Request: req, ID: r.identity(), Origin: r.Service, Dialect: &r.Dialect}
	x.Name = x.ID
	if given := req.Header.Get(r.Dialect.Request); r.Dialect.Named && given != "" {
		x.Name = given
	}
	w.Header().Set(r.Dialect.Request, x.Name)
	err := Chain(r.Filters())(req.Context(), x)
	code := coder.OK
	if err != nil {
		code = coder.Of(err).Code
	}
	took := time.Since(start)
	r.Count(code, took)
	if err == nil {
		r.Tracer.Add(tracer.Event{
			Kind: "request-answered", Request: x.Name, Workspace: x.WorkspaceName(), Target: x.Target,
			Status: x.Status, Took: tracer.Millis(took), Detail: x.Route.Name, Routine: true,
		})
		return
	}
	r.Tracer.Add(tracer.Event{
		Kind: "request-refused", Request: x.Name, Workspace: x.WorkspaceName(), Code: int(code), Took: tracer.Millis(took),
		Detail: coder.Of(err).Error(),
	})
	if x.headed {
		// The caller has half an answer: break the connection, so that it
		// cannot be taken for a whole one.
		panic(http.ErrAbortHandler)
	}
	r.refuse(w, coder.Of(err))
}

// Repeatable tells that a request may run more than once, so that it may run
// before earlier ones of its connection are answered: when one of them ends the
// connection, the caller sends the request again.
func (r *Receiver) Repeatable(req *http.Request) bool {
	x := r.Index()
	if x == nil {
		return false
	}
	route := x.Route(req.Method, hostOf(req), req.URL.Path)
	return route != nil && !route.Once && req.Header.Get(RepeatHeader) == ""
}

func (r *Receiver) identity() string {
	n := r.sequence.Add(1)
	return r.Node + "-" + strconv.FormatUint(r.Epoch, 36) + "-" + strconv.FormatUint(n, 36)
}

// refuse writes a refusal with its code, what it says about the request and
// when to come back.
func (r *Receiver) refuse(w http.ResponseWriter, e *coder.Error) {
	row := coder.Lookup(e.Code)
	h := w.Header()
	h.Set("Content-Type", "application/json")
	r.mark(h, row.Code, row.Ran)
	if row.Retry {
		h.Set("Retry-After", r.Dialect.After(e.After))
	}
	w.WriteHeader(r.Dialect.Status(row))
	writeRefusal(w, row, e)
}

// mark writes the result into the header, for callers that know the fields.
func (r *Receiver) mark(h http.Header, code coder.Code, ran coder.Ran) {
	if r.Dialect.ResultHeaders {
		h.Set(CodeHeader, strconv.Itoa(int(code)))
		h.Set(dispatcher.RanHeader, string(ran))
	}
}
