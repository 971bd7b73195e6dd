package exithandler

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/zinniaproxy/zinniaproxy/internal/messenger"
	"github.com/zinniaproxy/zinniaproxy/pkg/coder"
)

// Header fields between a node and its targets.
const (
	// RanHeader with the value "no" on a 503 states that the target did not run
	// the request.
	RanHeader = "Zinnia-Ran"
	// RequestHeader carries the request's ID, WorkspaceHeader the workspace that
	// it runs for, and TimeoutHeader the remaining time in milliseconds.
	RequestHeader   = "Zinnia-Request"
	WorkspaceHeader = "Zinnia-Workspace"
	TimeoutHeader   = "Zinnia-Timeout"
	// RateHeader and LeavingHeader are Dialect.RateHeader and LeavingHeader.
	RateHeader    = "Zinnia-Rate"
	LeavingHeader = "Zinnia-Leaving"
)

const (
	maxPieceBytes        = 32 << 10
	maxResponseHeadBytes = 64 << 10
	idleConnTimeout      = 30 * time.Second
	// minIdleTime is how long a connection was idle at least if the target may
	// have closed it for that.
	minIdleTime = 500 * time.Millisecond
)

// Sender sends calls to targets over HTTP. Set the fields before the first call.
type Sender struct {
	// Dial connects to a target.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// Load returns the load to report in the head of a response.
	Load func(target string) Load
	// Echo reports whether targets of a service repeat the request's ID in each
	// response.
	Echo func(service string) bool
	// Dialect defines the HTTP interface to targets.
	Dialect Dialect
	// ObserveStatement is called with what each response states about its target,
	// and when the call was sent. It returns what holds of the target now. Nil
	// drops it.
	ObserveStatement func(t messenger.Target, sent time.Time, s messenger.Statement) messenger.Statement

	setupOnce        sync.Once
	pooled, unpooled *http.Transport
	refused          refusals
}

// initTransports creates the transports. Each non-idempotent call gets a new
// connection: a pooled one may turn out to be closed or have gone silent.
func (s *Sender) initTransports() {
	dial := func(ctx context.Context, address string) (*statusConn, error) {
		c, err := s.Dial(ctx, address)
		if err != nil {
			return nil, err
		}
		return checkStatusOn(c), nil
	}
	dialPooled := func(ctx context.Context, _, address string) (net.Conn, error) {
		c, err := dial(ctx, address)
		if err != nil {
			return nil, err
		}
		return c, nil
	}
	s.pooled = &http.Transport{
		DialContext: dialPooled, DisableCompression: true, MaxResponseHeaderBytes: maxResponseHeadBytes,
		IdleConnTimeout: idleConnTimeout, MaxIdleConnsPerHost: maxIdleConnsPerTarget,
	}
	dialGuarded := func(ctx context.Context, _, address string) (net.Conn, error) {
		c, err := dial(ctx, address)
		if err != nil {
			return nil, err
		}
		return guardConn(ctx, c), nil
	}
	s.unpooled = &http.Transport{
		DialContext: dialGuarded, DisableCompression: true, MaxResponseHeaderBytes: maxResponseHeadBytes, DisableKeepAlives: true,
	}
}

// maxIdleConnsPerTarget bounds the idle connections kept for reuse.
const maxIdleConnsPerTarget = 16

// Close closes the idle connections to targets.
func (s *Sender) Close() {
	s.setupOnce.Do(s.initTransports)
	s.pooled.CloseIdleConnections()
	s.unpooled.CloseIdleConnections()
}

// Send sends the job's call, relays the response to j.Response and sets
// j.Outcome. The connection of a call without a complete response is closed, not
// reused.
func (s *Sender) Send(ctx context.Context, j *Job) error {
	s.setupOnce.Do(s.initTransports)
	g := &guard{check: j.CheckBeforeSend}
	start := time.Now()
	res, reused, err := s.roundTrip(ctx, j, g)
	j.Outcome.Latency = time.Since(start)
	if e := (*coder.Error)(nil); errors.As(err, &e) {
		return e
	}
	if err != nil {
		return s.classifyNoResponse(ctx, j, g, err)
	}
	defer res.Body.Close()
	return s.relay(ctx, j, res, reused, start)
}

// roundTrip sends the call and returns the head of the response, and whether its
// connection was used before. An idempotent call that breaks off on a connection
// which was idle before is sent once more, on a new one: the target may have closed
// the idle one before it read the call. A response without a valid status is a failure
// of the target and ends the call. A *coder.Error means that the call is not a
// valid request.
func (s *Sender) roundTrip(ctx context.Context, j *Job, g *guard) (res *http.Response, reused bool, err error) {
	if j.Call.Once || resentByTransport(j.Call) || s.refused.has(j.Call.Request) {
		res, err = s.roundTripOn(withGuard(ctx, g), j, s.unpooled)
		return res, false, err
	}
	var conn httptrace.GotConnInfo
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		g.sent.Store(true)
		conn = info
	}})
	res, err = s.roundTripOn(traced, j, s.pooled)
	invalid := (*invalidStatusError)(nil)
	if err == nil || !conn.Reused || ctx.Err() != nil || errors.As(err, &invalid) {
		return res, conn.Reused, err
	}
	s.pooled.CloseIdleConnections() // the process at their other end may be gone
	if conn.IdleTime < minIdleTime {
		return nil, true, err
	}
	res, err = s.roundTripOn(ctx, j, s.unpooled)
	return res, false, err
}

func (s *Sender) roundTripOn(ctx context.Context, j *Job, transport *http.Transport) (*http.Response, error) {
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if c, ok := info.Conn.(interface{ beginCall(body int64) }); ok {
			c.beginCall(int64(len(j.Call.Body)))
		}
	}})
	req, err := s.newRequest(ctx, j)
	if err != nil {
		return nil, coder.New(coder.BadRequest, "%v", err)
	}
	return transport.RoundTrip(req)
}

// classifyNoResponse sets the result of a call that got no response head and
// returns the refusal.
func (s *Sender) classifyNoResponse(ctx context.Context, j *Job, g *guard, err error) error {
	if g.sent.Load() {
		return s.classifyInterrupted(ctx, j, err)
	}
	if g.refusal != nil {
		j.Outcome.Result = NotSent
		return g.refusal
	}
	j.Outcome.Result = unsentResult(ctx, err)
	return coder.New(coder.NotSent, "%s: %v", j.Target.Name, err)
}

// unsentResult distinguishes an unreachable target from a call that was
// canceled or timed out.
func unsentResult(ctx context.Context, _ error) Result {
	if ctx.Err() != nil {
		return NotSent
	}
	return CutShort
}

// classifyInterrupted sets the result of a call that failed after it was sent
// and returns the refusal.
func (s *Sender) classifyInterrupted(ctx context.Context, j *Job, err error) error {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		j.Outcome.Result = TimedOut
		return coder.New(coder.DeadlineAfter, "%s", j.Target.Name)
	case ctx.Err() != nil:
		j.Outcome.Result = Canceled
		return coder.New(coder.Canceled, "")
	}
	j.Outcome.Result = CutShort
	return coder.New(coder.Cut, "%s: %v", j.Target.Name, err)
}

func (s *Sender) newRequest(ctx context.Context, j *Job) (*http.Request, error) {
	c, d := j.Call, &s.Dialect
	req, err := http.NewRequestWithContext(ctx, c.Method, "http://"+j.Target.Address+c.URI, nil)
	if err != nil {
		return nil, err
	}
	for _, f := range c.Header {
		req.Header.Add(f.Name, f.Value)
	}
	req.Host = c.Host
	remaining := max(time.Until(j.Deadline).Milliseconds(), 1)
	set := func(name, value string) {
		if name == "" {
			return
		}
		if req.Header.Del(name); value != "" {
			req.Header.Set(name, value)
		}
	}
	set(d.RequestIDHeader, c.Request)
	set(d.WorkspaceHeader, c.Workspace)
	set(d.TimeoutHeader, strconv.FormatInt(remaining, 10))
	set(d.InstanceHeader, j.Target.Instance)
	set(d.OriginHeader, c.Origin)
	// With a body, if an empty one, and without GetBody net/http never sends a
	// request twice.
	if len(c.Body) > 0 || acceptsEmptyBody(c.Method) {
		req.Body = io.NopCloser(bytes.NewReader(c.Body))
		req.ContentLength = int64(len(c.Body))
	}
	return req, nil
}

// resentByTransport reports whether net/http would send a call again on each kept
// connection that breaks, and no empty body keeps it from that.
func resentByTransport(c *messenger.Call) bool {
	if len(c.Body) > 0 || acceptsEmptyBody(c.Method) {
		return false
	}
	return c.Method == http.MethodTrace || slices.ContainsFunc(c.Header, func(f messenger.Field) bool {
		return f.Name == "Idempotency-Key" || f.Name == "X-Idempotency-Key"
	})
}

// acceptsEmptyBody reports whether an empty body changes nothing in how a request
// of a method is sent.
func acceptsEmptyBody(method string) bool {
	return method == http.MethodGet || method == http.MethodHead || method == http.MethodOptions
}

// relay validates the response to a call sent at a time, on a connection that was
// used before or not, and passes it to j.Response, or returns a refusal.
func (s *Sender) relay(ctx context.Context, j *Job, res *http.Response, reused bool, sent time.Time) error {
	// net/http returns a 101 that nobody asked for, and any status outside of the
	// defined range, as the response.
	if !messenger.EndsRequest(res.StatusCode) {
		s.pooled.CloseIdleConnections() // more bytes may follow on a connection that seems idle
		return s.classifyInterrupted(ctx, j, fmt.Errorf("status %d ends no request", res.StatusCode))
	}
	echoedID := res.Header.Get(s.Dialect.RequestIDHeader)
	if !s.matchesRequest(j, echoedID) {
		return s.classifyInterrupted(ctx, j, errors.New("response names another request"))
	}
	statement := s.observeStatement(j, res, sent)
	if s.Dialect.NotRun(res.StatusCode, res.Header) {
		j.Outcome.Result = Shed
		if reused && echoedID == "" {
			return coder.New(coder.Cut, "%s: refusal on a used connection names no request", j.Target.Name)
		}
		s.refused.add(j.Call.Request)
		return coder.New(coder.Shed, "%s", j.Target.Name).WithAfter(parseRetryAfter(res.Header))
	}
	if j.Call.Once && s.Dialect.promisesNotRun(res.StatusCode) {
		j.Outcome.Result = Failed
		return coder.New(coder.MisleadingStatus, "%s: status %d, which does not say that the request did not run", j.Target.Name, res.StatusCode)
	}
	if !s.Dialect.CloseDelimited && !isDelimited(j.Call.Method, res) {
		return s.classifyInterrupted(ctx, j, errors.New("response has neither a length nor chunked encoding"))
	}
	load := s.Load(j.Target.Name)
	head := messenger.ResponseHead{
		Status: res.StatusCode, Header: s.Dialect.EndToEndFields(res.Header), Length: res.ContentLength,
		Queue: load.Queue, InFlight: load.InFlight, Limit: load.Limit, ExitTime: time.Since(j.ArrivedAt),
		Statement: statement,
	}
	return s.relayBody(ctx, j, res, head)
}

// observeStatement returns what holds of the target after a response.
func (s *Sender) observeStatement(j *Job, res *http.Response, sent time.Time) messenger.Statement {
	// A misdirected request was answered by another process than the target's.
	if s.ObserveStatement == nil || res.StatusCode == http.StatusMisdirectedRequest {
		return messenger.Statement{}
	}
	return s.ObserveStatement(j.Target, sent, s.Dialect.statement(res.Header))
}

// relayBody passes the response on in pieces and marks the last one, so that a
// short response is a single message.
func (s *Sender) relayBody(ctx context.Context, j *Job, res *http.Response, head messenger.ResponseHead) error {
	r := &pieceReader{source: res.Body, remaining: bodyLength(j.Call.Method, res)}
	piece, last, err := r.next()
	if err != nil {
		return s.classifyInterrupted(ctx, j, err)
	}
	head.Body = piece
	if err := j.Response.Head(head, last); err != nil {
		return s.markCanceled(j, err)
	}
	for !last {
		if piece, last, err = r.next(); err != nil {
			return s.classifyInterrupted(ctx, j, err)
		}
		if err := j.Response.Body(piece, last); err != nil {
			return s.markCanceled(j, err)
		}
	}
	j.Outcome.Result = Good
	if res.StatusCode >= http.StatusInternalServerError {
		j.Outcome.Result = Failed
	}
	return nil
}

func (s *Sender) markCanceled(j *Job, err error) error {
	j.Outcome.Result = Canceled
	return err
}

// isDelimited reports whether the end of a response can be distinguished from a
// broken connection.
func isDelimited(method string, res *http.Response) bool {
	if method == http.MethodHead || res.StatusCode == http.StatusNoContent || res.StatusCode == http.StatusNotModified {
		return true
	}
	return res.ContentLength >= 0 || len(res.TransferEncoding) > 0
}

// matchesRequest reports whether a response is for the job's request. Without
// this check a second or late response on a reused connection would be taken for
// the next request's.
func (s *Sender) matchesRequest(j *Job, echoedID string) bool {
	if echoedID == "" {
		return !s.Dialect.Echo && !s.Echo(j.Target.Service)
	}
	return echoedID == j.Call.Request
}

func parseRetryAfter(h http.Header) time.Duration {
	n, err := strconv.Atoi(h.Get("Retry-After"))
	if err != nil || n < 0 {
		return time.Second
	}
	return time.Duration(n) * time.Second
}
