// Package entryhandler is the entry side of a node: it receives callers'
// requests over HTTP and answers each through a chain of filters.
package entryhandler

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/zinniaproxy/zinniaproxy/internal/accountant"
	"github.com/zinniaproxy/zinniaproxy/internal/attemptsender"
	"github.com/zinniaproxy/zinniaproxy/internal/exithandler"
	"github.com/zinniaproxy/zinniaproxy/internal/httpserver"
	"github.com/zinniaproxy/zinniaproxy/internal/indexer"
	"github.com/zinniaproxy/zinniaproxy/internal/messenger"
	"github.com/zinniaproxy/zinniaproxy/internal/tracer"
	"github.com/zinniaproxy/zinniaproxy/pkg/coder"
	"github.com/zinniaproxy/zinniaproxy/pkg/declarer"
)

// Header fields between callers and a node.
const (
	// KeyHeader carries the caller's key, as an alternative to
	// "Authorization: Bearer".
	KeyHeader = "Zinnia-Key"
	// EntryHeader carries the address of the node to which callers should send
	// the next requests of their workspace.
	EntryHeader = "Zinnia-Entry"
	// CodeHeader carries the number of the result code.
	CodeHeader = "Zinnia-Code"
	// IdempotencyKeyHeader carries the caller's idempotency key.
	IdempotencyKeyHeader = "Idempotency-Key"
)

// Exchange is the state of one request, which the filters fill in one after
// another.
type Exchange struct {
	Writer  http.ResponseWriter
	Request *http.Request
	// ID is unique in the fleet. ExternalID is the ID that the caller set, or
	// else the same as ID.
	ID, ExternalID string
	// Index is the configuration that applies to the request.
	Index *indexer.Index
	// Route is not nil after matchRoute.
	Route *declarer.Route
	// Service is the route's service that the request goes to.
	Service string
	// Origin is the service on whose VM the request began, or empty if unknown.
	Origin string
	// Inner tells that the target of this VM sent the request while it runs another
	// one.
	Inner bool
	// Repeat tells that the request which the target runs repeats an attempt that
	// may have reached a target before.
	Repeat bool
	// Dialect defines the HTTP interface to the caller.
	Dialect *exithandler.Dialect
	// Workspace is nil on open routes.
	Workspace *declarer.Workspace
	// Deadline is when the request times out.
	Deadline time.Time
	// Body is the complete request body.
	Body []byte
	// IdempotencyKey is the caller's idempotency key, or empty.
	IdempotencyKey string
	// Target is the name of the target that answered, and Status the HTTP status
	// of its response.
	Target string
	Status int
	// headWritten is true when the head of a target's response was written to
	// the caller.
	headWritten bool
}

// WorkspaceName returns the workspace's name, empty on open routes.
func (x *Exchange) WorkspaceName() string {
	if x.Workspace == nil {
		return ""
	}
	return x.Workspace.Name
}

// Rank returns the request's priority, where 0 is the highest: the workspace's
// rank unless that is 0, else the route's.
func (x *Exchange) Rank() int {
	if x.Workspace != nil && x.Workspace.Rank != 0 {
		return x.Workspace.Rank
	}
	return x.Route.Rank
}

// Call returns the call for the exchange, without Target and ID.
func (x *Exchange) Call() messenger.Call {
	c := messenger.Call{
		Request: x.ExternalID, Service: x.Service, Workspace: x.WorkspaceName(), Weight: 1, Origin: x.Origin, Rank: x.Rank(),
		Method: x.Request.Method, URI: x.Request.URL.RequestURI(), Host: x.Request.Host,
		Header: x.Dialect.EndToEndFields(x.Request.Header), Body: x.Body,
		Once: x.Route.Once, Wait: x.Route.Wait, Inner: x.Inner, Repeat: x.Repeat, Route: x.Route.Name, Aim: time.Duration(x.Route.Aim) * time.Millisecond,
	}
	if x.Workspace != nil {
		c.Weight = max(x.Workspace.Weight, 1)
	}
	return c
}

// Step runs the remaining filters on an exchange.
type Step func(ctx context.Context, x *Exchange) error

// Filter processes an exchange and calls next, or returns a refusal as a
// *coder.Error.
type Filter func(ctx context.Context, x *Exchange, next Step) error

// Handler serves callers' requests. Set the fields before the first request.
type Handler struct {
	// Node and Epoch identify this process in request IDs.
	Node  string
	Epoch uint64
	// Service is the service whose target runs on this VM, or empty if unknown.
	// Requests of callers on this VM have it as their origin.
	Service string
	// Dialect defines the HTTP interface to callers.
	Dialect exithandler.Dialect
	// Index returns the configuration in force, or nil before the first one.
	Index func() *indexer.Index
	// ConfigurationTimeout bounds how long a request waits for the first
	// configuration.
	ConfigurationTimeout time.Duration
	// Leaving reports whether the node is stopping.
	Leaving func() bool
	// AdmitWhileStopping refuses a request with the given deadline if the node is
	// stopping and the request may outlast it. Nil admits every request.
	AdmitWhileStopping func(deadline time.Time) error
	// KeysCurrent reports whether the node's knowledge of valid keys is current.
	KeysCurrent func() bool
	// BeginInner records an inner request of a request that runs at the target of
	// this VM. It returns nil if none with that ID does, else a function to call
	// when the inner request has ended. BeginInner may be nil.
	BeginInner func(outer string) (end func(), repeat bool)
	// Limit counts one request against a workspace's rate and burst, or returns
	// a refusal.
	Limit func(ctx context.Context, workspace string) error
	// Entry returns the address of a node that can admit the workspace's requests
	// without asking another node, or "". Entry may be nil.
	Entry func(workspace string) string
	// Forward sends the request to a target and returns the response.
	Forward func(ctx context.Context, x *Exchange) (*attemptsender.Response, error)
	// MaxBody bounds a request body in bytes, which is buffered whole so that the
	// request can be retried. 0 means MaxBodyBytes.
	MaxBody int64
	// MaxRequests bounds the requests in flight at the node. 0 means MaxInFlight.
	MaxRequests int
	// Count records each request's result code and duration.
	Count func(code coder.Code, took time.Duration)
	// Tracer records events; nil drops them.
	Tracer *tracer.Tracer

	splitPoints splitPoints
	sequence    atomic.Uint64
	inFlight    atomic.Int64
}

// Filters returns the filters of a request in the order in which they run.
func (h *Handler) Filters() []Filter {
	return []Filter{h.admit, h.matchRoute, h.setDeadline, h.refuseIfStopping, h.authenticate, h.limitRate, h.readBody, h.respond}
}

// Chain returns a step that runs the filters in order.
func Chain(filters []Filter) Step {
	if len(filters) == 0 {
		return func(context.Context, *Exchange) error { return nil }
	}
	next := Chain(filters[1:])
	return func(ctx context.Context, x *Exchange) error { return filters[0](ctx, x, next) }
}

// ServeHTTP serves one request.
func (h *Handler) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	start := time.Now()
	x := &Exchange{Writer: w, Request: req, ID: h.newID(), Origin: h.Service, Dialect: &h.Dialect}
	x.ExternalID = x.ID
	if given := req.Header.Get(h.Dialect.RequestIDHeader); h.Dialect.CallerSetsID && given != "" {
		x.ExternalID = given
	}
	w.Header().Set(h.Dialect.RequestIDHeader, clip(x.ExternalID))
	defer h.beginInner(x)()
	err := Chain(h.Filters())(req.Context(), x)
	if err != nil && coder.Of(err).Code == coder.Canceled && errors.Is(context.Cause(req.Context()), httpserver.ErrAborted) {
		err = coder.New(coder.Cut, "this node ends")
	}
	code := coder.OK
	if err != nil {
		code = coder.Of(err).Code
	}
	took := time.Since(start)
	h.Count(code, took)
	h.traceEnd(x, code, took, err)
	if err == nil {
		return
	}
	if x.headWritten {
		// Close the connection, so that the caller does not take the truncated
		// response for a complete one.
		panic(http.ErrAbortHandler)
	}
	h.refuse(w, coder.Of(err))
}

// beginInner records an inner request and returns a function to call at its end.
func (h *Handler) beginInner(x *Exchange) (end func()) {
	if h.BeginInner == nil || h.Dialect.OuterRequest == nil {
		return func() {}
	}
	outer := h.Dialect.OuterRequest(x.ExternalID)
	if outer == "" {
		return func() {}
	}
	end, repeat := h.BeginInner(outer)
	if end == nil {
		return func() {}
	}
	x.Inner, x.Repeat = true, repeat
	return end
}

// traceEnd records the end of a request. The detail of an answered one is the name
// of its route.
func (h *Handler) traceEnd(x *Exchange, code coder.Code, took time.Duration, err error) {
	e := tracer.Event{
		Kind: "request-answered", Request: clip(x.ExternalID), Conn: x.Request.RemoteAddr, Workspace: x.WorkspaceName(), Took: tracer.Millis(took),
	}
	if x.Route != nil { // a request may be refused before its route is known
		e.Route, e.Aim, e.Rank = x.Route.Name, x.Route.Aim, x.Rank()
	}
	if err != nil {
		e.Kind, e.Code, e.Detail = "request-refused", int(code), coder.Of(err).Error()
	} else {
		e.Target, e.Status, e.Detail, e.Routine = x.Target, x.Status, e.Route, true
	}
	h.Tracer.Add(e)
}

// clip shortens a request ID that is too long, for its refusal.
func clip(id string) string { return strings.Clone(id[:min(len(id), MaxIDBytes)]) }

// RefuseOverloaded answers a request that the server could not read for lack of
// room, and that has not run.
func (h *Handler) RefuseOverloaded(w http.ResponseWriter, req *http.Request) {
	err := accountant.Overloaded()
	h.Count(err.Code, 0)
	h.Tracer.Add(tracer.Event{Kind: "request-refused", Conn: req.RemoteAddr, Code: int(err.Code), Detail: err.Error()})
	h.refuse(w, err)
}

// traceIfHeld records that a response is ready and must wait for those to earlier
// requests of its connection.
func (h *Handler) traceIfHeld(x *Exchange) {
	if w, ok := x.Writer.(interface{ Held() bool }); ok && w.Held() {
		h.Tracer.Add(tracer.Event{
			Kind: "response-held", Request: x.ExternalID, Conn: x.Request.RemoteAddr, Target: x.Target, Status: x.Status, Routine: true,
		})
	}
}

// Idempotent reports whether a request is idempotent. Only then may it run
// before earlier requests of its connection are answered: when one of those
// closes the connection, the caller sends the request again.
func (h *Handler) Idempotent(req *http.Request) bool {
	index := h.Index()
	if index == nil {
		return false
	}
	route := index.Route(req.Method, hostname(req), req.URL.Path)
	return route != nil && !route.Once && req.Header.Get(IdempotencyKeyHeader) == ""
}

func (h *Handler) newID() string {
	n := h.sequence.Add(1)
	return h.Node + "-" + strconv.FormatUint(h.Epoch, 36) + "-" + strconv.FormatUint(n, 36)
}

// refuse writes a refusal with its code, whether the request ran, and the
// retry-after.
func (h *Handler) refuse(w http.ResponseWriter, e *coder.Error) {
	result := coder.Lookup(e.Code)
	header := w.Header()
	header.Set("Content-Type", "application/json")
	h.setResultHeaders(header, result.Code, result.Ran)
	if result.Retry {
		header.Set("Retry-After", h.Dialect.RetryAfter(e.After))
	}
	w.WriteHeader(h.Dialect.Status(result))
	writeRefusal(w, result, e)
}

// setResultHeaders sets CodeHeader and exithandler.RanHeader, if the dialect has
// them.
func (h *Handler) setResultHeaders(header http.Header, code coder.Code, ran coder.Ran) {
	if h.Dialect.ResultHeaders {
		header.Set(CodeHeader, strconv.Itoa(int(code)))
		header.Set(exithandler.RanHeader, string(ran))
	}
}
