package dispatcher

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync"
	"time"

	"github.com/zinniaproxy/zinniaproxy/internal/messenger"
	"github.com/zinniaproxy/zinniaproxy/pkg/coder"
)

// Header fields between a node and its targets.
const (
	// RanHeader with the value "no" on a 503 is the target's word that it did
	// not run the request.
	RanHeader = "Zinnia-Ran"
	// RequestHeader names the request, WorkspaceHeader the workspace that it
	// runs for, and TimeoutHeader the milliseconds that are left.
	RequestHeader   = "Zinnia-Request"
	WorkspaceHeader = "Zinnia-Workspace"
	TimeoutHeader   = "Zinnia-Timeout"
)

const (
	pieceBytes      = 32 << 10
	maxHeadBytes    = 64 << 10
	idleConnTimeout = 30 * time.Second
)

// Sender passes calls to targets over HTTP. Set Dial before the first call.
type Sender struct {
	// Dial connects to a target.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// Load fills the head of an answer.
	Load func(target string) Load
	// Echo tells that targets of a service name the request in each answer.
	Echo func(service string) bool
	// Dialect is how targets are spoken to.
	Dialect Dialect

	once          sync.Once
	pooled, fresh *http.Transport
}

// setup makes the transports. Calls that may not be repeated get a connection
// of their own: the library sends a request again when a pooled connection
// turns out to be closed, and a pooled one may have gone silent.
func (s *Sender) setup() {
	dial := func(ctx context.Context, _, address string) (net.Conn, error) { return s.Dial(ctx, address) }
	s.pooled = &http.Transport{
		DialContext: dial, DisableCompression: true, MaxResponseHeaderBytes: maxHeadBytes,
		IdleConnTimeout: idleConnTimeout, MaxIdleConnsPerHost: maxIdleConns,
	}
	fresh := func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return guarded(ctx, c), nil
	}
	s.fresh = &http.Transport{
		DialContext: fresh, DisableCompression: true, MaxResponseHeaderBytes: maxHeadBytes, DisableKeepAlives: true,
	}
}

// maxIdleConns is how many connections to one target are kept for reuse.
const maxIdleConns = 16

// Close drops the idle connections to targets.
func (s *Sender) Close() {
	s.once.Do(s.setup)
	s.pooled.CloseIdleConnections()
	s.fresh.CloseIdleConnections()
}

// Send passes the job's call on and the answer back. It sets the outcome. The
// connection of a call that did not end whole is closed, never used again.
func (s *Sender) Send(ctx context.Context, j *Job) error {
	s.once.Do(s.setup)
	g := &guard{check: j.Check}
	transport := s.fresh
	if j.Call.Once {
		ctx = withGuard(ctx, g)
	} else {
		transport = s.pooled
		ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { g.sent.Store(true) }})
	}
	req, err := s.request(ctx, j)
	if err != nil {
		return coder.New(coder.BadRequest, "%v", err)
	}
	start := time.Now()
	res, err := transport.RoundTrip(req)
	j.Outcome.Latency = time.Since(start)
	if err != nil {
		return s.failed(ctx, j, g, err)
	}
	defer res.Body.Close()
	return s.pass(ctx, j, res)
}

// failed classifies a call that got no head.
func (s *Sender) failed(ctx context.Context, j *Job, g *guard, err error) error {
	if g.sent.Load() {
		return s.cut(ctx, j, err)
	}
	if g.refusal != nil {
		j.Outcome.Result = NotSent
		return g.refusal
	}
	j.Outcome.Result = unsentResult(ctx, err)
	return coder.New(coder.NotSent, "%s: %v", j.Target.Name, err)
}

// unsentResult tells a target that cannot be reached from a caller that left.
func unsentResult(ctx context.Context, _ error) Result {
	if ctx.Err() != nil {
		return NotSent
	}
	return CutShort
}

// cut classifies a call that broke off after it was sent.
func (s *Sender) cut(ctx context.Context, j *Job, err error) error {
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

func (s *Sender) request(ctx context.Context, j *Job) (*http.Request, error) {
	c, d := j.Call, &s.Dialect
	req, err := http.NewRequestWithContext(ctx, c.Method, "http://"+j.Target.Address+c.URI, nil)
	if err != nil {
		return nil, err
	}
	for _, f := range c.Header {
		req.Header.Add(f.Name, f.Value)
	}
	req.Host = c.Host
	left := max(time.Until(j.Deadline).Milliseconds(), 1)
	set := func(name, value string) {
		if name == "" {
			return
		}
		if req.Header.Del(name); value != "" {
			req.Header.Set(name, value)
		}
	}
	set(d.Request, c.Request)
	set(d.Workspace, c.Workspace)
	set(d.Timeout, strconv.FormatInt(left, 10))
	set(d.Instance, j.Target.Instance)
	set(d.Origin, c.Origin)
	if len(c.Body) > 0 {
		// No GetBody: the library must not be able to send the body twice.
		req.Body = io.NopCloser(bytes.NewReader(c.Body))
		req.ContentLength = int64(len(c.Body))
	}
	return req, nil
}

// pass sends the answer back, whole or as a refusal.
func (s *Sender) pass(ctx context.Context, j *Job, res *http.Response) error {
	if !s.ours(j, res.Header.Get(s.Dialect.Request)) {
		return s.cut(ctx, j, errors.New("answer is for another request"))
	}
	if s.Dialect.Unrun(res.StatusCode, res.Header) {
		j.Outcome.Result = Shed
		return coder.New(coder.Shed, "%s", j.Target.Name).WithAfter(retryAfter(res.Header))
	}
	if !s.Dialect.Unframed && !delimited(j.Call.Method, res) {
		return s.cut(ctx, j, errors.New("answer has neither length nor chunks"))
	}
	load := s.Load(j.Target.Name)
	head := messenger.Head{
		Status: res.StatusCode, Header: s.Dialect.Fields(res.Header), Length: res.ContentLength,
		Queue: load.Queue, Flying: load.Flying, Limit: load.Limit, Spent: time.Since(j.Arrived),
	}
	return s.body(ctx, j, res, head)
}

// body passes the answer on in pieces; the last one is marked, so that a short
// answer is one message.
func (s *Sender) body(ctx context.Context, j *Job, res *http.Response, head messenger.Head) error {
	r := &reader{in: res.Body, left: bodyLength(j.Call.Method, res)}
	piece, last, err := r.next()
	if err != nil {
		return s.cut(ctx, j, err)
	}
	head.Body = piece
	if err := j.Out.Head(head, last); err != nil {
		return s.unread(j, err)
	}
	for !last {
		if piece, last, err = r.next(); err != nil {
			return s.cut(ctx, j, err)
		}
		if err := j.Out.Body(piece, last); err != nil {
			return s.unread(j, err)
		}
	}
	j.Outcome.Result = Good
	if res.StatusCode >= http.StatusInternalServerError {
		j.Outcome.Result = Failed
	}
	return nil
}

func (s *Sender) unread(j *Job, err error) error {
	j.Outcome.Result = Canceled
	return err
}

// bodyLength returns how many bytes the body has, or -1 when only its end
// tells.
func bodyLength(method string, res *http.Response) int64 {
	if method == http.MethodHead || res.Body == http.NoBody {
		return 0
	}
	return res.ContentLength
}

// reader cuts a body into pieces.
type reader struct {
	in io.Reader
	// left is how many bytes are to come, or -1 when only the end tells.
	left int64
}

// next returns the next piece, which belongs to the caller, and whether the
// body ended whole with it.
func (r *reader) next() (piece []byte, last bool, err error) {
	size := int64(pieceBytes)
	if r.left >= 0 {
		size = min(size, r.left)
	}
	piece = make([]byte, size)
	n := 0
	for n < len(piece) && err == nil {
		var m int
		m, err = r.in.Read(piece[n:])
		n += m
	}
	piece = piece[:n]
	if r.left >= 0 {
		r.left -= int64(n)
		last = r.left == 0
	}
	switch {
	case last || err == nil:
		return piece, last, nil
	case errors.Is(err, io.EOF) && r.left < 0:
		return piece, true, nil
	}
	return nil, false, err
}

// delimited tells whether the end of an answer can be told from a broken
// connection.
func delimited(method string, res *http.Response) bool {
	if method == http.MethodHead || res.StatusCode == http.StatusNoContent || res.StatusCode == http.StatusNotModified {
		return true
	}
	return res.ContentLength >= 0 || len(res.TransferEncoding) > 0
}

// ours tells whether an answer is for the job's request: a target that answers
// twice, or late, on a connection that is used again would cross its answers.
func (s *Sender) ours(j *Job, echoed string) bool {
	if echoed == "" {
		return !s.Dialect.Echo && !s.Echo(j.Target.Service)
	}
	return echoed == j.Call.Request
}

func retryAfter(h http.Header) time.Duration {
	n, err := strconv.Atoi(h.Get("Retry-After"))
	if err != nil || n < 0 {
		return time.Second
	}
	return time.Duration(n) * time.Second
}
