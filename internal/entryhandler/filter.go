package entryhandler

import (
	"cmp"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/zinniaproxy/zinniaproxy/internal/accountant"
	"github.com/zinniaproxy/zinniaproxy/internal/attemptsender"
	"github.com/zinniaproxy/zinniaproxy/internal/indexer"
	"github.com/zinniaproxy/zinniaproxy/pkg/coder"
)

// Limits on requests, and the retry-after of refusals.
const (
	// MaxBodyBytes is the default of Handler.MaxBody.
	MaxBodyBytes = 1 << 20
	// MaxIdempotencyKeyBytes bounds an idempotency key.
	MaxIdempotencyKeyBytes = 255
	// MaxIDBytes bounds a request ID that the caller sets: events and the lists of
	// recent requests keep thousands of them.
	MaxIDBytes = 512
	// MaxInFlight is the default of Handler.MaxRequests.
	MaxInFlight = 2048
	// workspaceShare is the share of the account of bytes that the requests of one
	// workspace may hold.
	workspaceShare = 0.75
	// writeDeadlineGrace is how long after the request's deadline a caller may
	// still read the response.
	writeDeadlineGrace = 5 * time.Second
	// overloadRetryAfter is the retry-after of an overloaded node.
	overloadRetryAfter = time.Second
	// noConfigurationRetryAfter is the retry-after of a node without a
	// configuration, which receives it from other nodes within that time.
	noConfigurationRetryAfter = 300 * time.Millisecond
	configurationPollInterval = 10 * time.Millisecond
	// isolatedRetryAfter is the retry-after of an isolated node.
	isolatedRetryAfter = 5 * time.Second
	bearerPrefix       = "Bearer "
)

// admit refuses a request when the node is overloaded or has no configuration.
func (h *Handler) admit(ctx context.Context, x *Exchange, next Step) error {
	if h.Leaving() {
		// Serve this request, but close the connection after the response, so
		// that the caller's next request goes to another node.
		x.Writer.Header().Set("Connection", "close")
	}
	defer h.inFlight.Add(-1)
	if limit := cmp.Or(h.MaxRequests, MaxInFlight); h.inFlight.Add(1) > int64(limit) {
		return coder.New(coder.Overloaded, "more than %d requests in flight", limit).WithAfter(overloadRetryAfter)
	}
	if len(x.ExternalID) > MaxIDBytes {
		return coder.New(coder.BadRequest, "the request ID has more than %d bytes", MaxIDBytes)
	}
	if x.Index = h.awaitConfiguration(ctx); x.Index == nil {
		return coder.New(coder.NoConfiguration, "").WithAfter(noConfigurationRetryAfter)
	}
	return next(ctx, x)
}

// awaitConfiguration returns the configuration. On a node that has just started
// it waits up to h.ConfigurationTimeout for the first one, and returns nil when
// none came.
func (h *Handler) awaitConfiguration(ctx context.Context) *indexer.Index {
	index := h.Index()
	for end := time.Now().Add(h.ConfigurationTimeout); index == nil && ctx.Err() == nil && time.Now().Before(end); index = h.Index() {
		time.Sleep(configurationPollInterval)
	}
	return index
}

// matchRoute finds the request's route and the service that it goes to.
func (h *Handler) matchRoute(ctx context.Context, x *Exchange, next Step) error {
	if !isUnambiguousPath(x.Request.URL) {
		return coder.New(coder.BadRequest, "path is not absolute, or has dot segments, backslashes or encoded slashes")
	}
	x.Route = x.Index.Route(x.Request.Method, hostname(x.Request), x.Request.URL.Path)
	if x.Route == nil {
		return coder.New(coder.NoRoute, "")
	}
	x.Service = x.Route.Part(h.splitPoint(x.Route))
	return next(ctx, x)
}

// hostname returns the request's host without the port.
func hostname(r *http.Request) string {
	if host, _, err := net.SplitHostPort(r.Host); err == nil {
		return host
	}
	return r.Host
}

// isUnambiguousPath reports whether targets interpret the path as route matching
// does. Otherwise a request on an open route could reach a path that needs a key
// by dot segments, backslashes or encoded slashes.
func isUnambiguousPath(u *url.URL) bool {
	if !strings.HasPrefix(u.Path, "/") || strings.Contains(u.Path, "\\") {
		return false
	}
	if raw := strings.ToLower(u.RawPath); strings.Contains(raw, "%2f") {
		return false
	}
	for segment := range strings.SplitSeq(u.Path, "/") {
		if segment == "." || segment == ".." {
			return false
		}
	}
	return true
}

// setDeadline sets the request's deadline: the route's, or an earlier one that
// the caller asks for.
func (h *Handler) setDeadline(ctx context.Context, x *Exchange, next Step) error {
	timeout := time.Duration(x.Route.Deadline) * time.Millisecond
	if v := x.Request.Header.Get(h.Dialect.TimeoutHeader); v != "" {
		ms, err := strconv.ParseInt(v, 10, 32)
		if err != nil || ms <= 0 {
			return coder.New(coder.BadDeadline, "%.40q is not 1 to 2147483647 milliseconds", v)
		}
		timeout = min(timeout, time.Duration(ms)*time.Millisecond)
	}
	x.Deadline = time.Now().Add(timeout)
	// Disconnect a caller that sends or reads too slowly. Errors are ignored, as
	// some writers do not support deadlines, for example in tests.
	c := http.NewResponseController(x.Writer)
	_ = c.SetReadDeadline(x.Deadline)
	_ = c.SetWriteDeadline(x.Deadline.Add(writeDeadlineGrace))
	ctx, cancel := context.WithDeadline(ctx, x.Deadline)
	defer cancel()
	return next(ctx, x)
}

// refuseIfStopping refuses a request that may outlast this node.
func (h *Handler) refuseIfStopping(ctx context.Context, x *Exchange, next Step) error {
	if h.AdmitWhileStopping != nil {
		if err := h.AdmitWhileStopping(x.Deadline); err != nil {
			return err
		}
	}
	return next(ctx, x)
}

// authenticate removes the key from the request and finds its workspace. Later
// filters see no header field that contains the key.
func (h *Handler) authenticate(ctx context.Context, x *Exchange, next Step) error {
	key := extractKey(x.Request.Header)
	if x.Route.Open {
		return next(ctx, x)
	}
	if key == "" {
		return coder.New(coder.NoKey, "")
	}
	if !h.KeysCurrent() {
		return coder.New(coder.Isolated, "").WithAfter(isolatedRetryAfter)
	}
	x.Workspace = x.Index.WorkspaceByKey(key)
	if x.Workspace == nil {
		return coder.New(coder.BadKey, "")
	}
	if bound := x.Route.Workspace; bound != "" && bound != x.Workspace.Name {
		return coder.New(coder.WrongWorkspace, "")
	}
	accountant.FromContext(ctx).Move("workspace "+x.Workspace.Name, workspaceShare)
	return next(ctx, x)
}

// extractKey returns the key and removes every header field that contains it.
func extractKey(h http.Header) string {
	key := h.Get(KeyHeader)
	if a := h.Get("Authorization"); key == "" && len(a) > len(bearerPrefix) && strings.EqualFold(a[:len(bearerPrefix)], bearerPrefix) {
		key = strings.TrimSpace(a[len(bearerPrefix):])
	}
	h.Del(KeyHeader)
	h.Del("Authorization")
	if key == "" {
		return ""
	}
	for name, values := range h {
		for _, v := range values {
			if strings.Contains(v, key) {
				delete(h, name)
			}
		}
	}
	return key
}

// limitRate counts the request against the workspace's rate and burst.
func (h *Handler) limitRate(ctx context.Context, x *Exchange, next Step) error {
	if x.Workspace != nil {
		h.suggestEntry(x)
		if err := h.Limit(ctx, x.Workspace.Name); err != nil {
			return err
		}
	}
	return next(ctx, x)
}

// suggestEntry sets EntryHeader if another entry node suits the workspace better.
func (h *Handler) suggestEntry(x *Exchange) {
	if h.Entry == nil {
		return
	}
	if address := h.Entry(x.Workspace.Name); address != "" {
		x.Writer.Header().Set(EntryHeader, address)
	}
}

// readBody reads the request's body and idempotency key.
func (h *Handler) readBody(ctx context.Context, x *Exchange, next Step) error {
	limit := cmp.Or(h.MaxBody, MaxBodyBytes)
	if x.Request.ContentLength > limit {
		return coder.New(coder.BodyTooLarge, "more than %d bytes", limit)
	}
	body, err := readWhole(ctx, x.Request, limit)
	var refusal *coder.Error
	switch {
	case errors.Is(err, accountant.ErrTooLarge):
		return coder.New(coder.BodyTooLarge, "more than %d bytes", limit)
	case ctx.Err() != nil:
		return coder.New(coder.DeadlineBefore, "body")
	case errors.As(err, &refusal):
		return refusal
	case err != nil:
		return coder.New(coder.BadRequest, "request body: %v", err)
	}
	x.Body = body
	_ = http.NewResponseController(x.Writer).SetReadDeadline(time.Time{})
	x.IdempotencyKey = x.Request.Header.Get(IdempotencyKeyHeader)
	if _, given := x.Request.Header[IdempotencyKeyHeader]; given && (x.IdempotencyKey == "" || len(x.IdempotencyKey) > MaxIdempotencyKeyBytes) {
		return coder.New(coder.BadIdempotencyKey, "must have 1 to %d bytes", MaxIdempotencyKeyBytes)
	}
	return next(ctx, x)
}

// readWhole returns the body of a request. One that the server has buffered is not
// copied, and any other is reserved in the account as it arrives.
func readWhole(ctx context.Context, r *http.Request, limit int64) ([]byte, error) {
	if b, ok := r.Body.(interface{ Bytes() []byte }); ok {
		if int64(len(b.Bytes())) > limit {
			return nil, accountant.ErrTooLarge
		}
		return b.Bytes(), nil
	}
	o := accountant.FromContext(ctx)
	return o.Account().ReadAll(ctx, o, r.Body, r.ContentLength, limit)
}

// respond forwards the request and writes the response.
func (h *Handler) respond(ctx context.Context, x *Exchange, _ Step) error {
	response, err := h.Forward(ctx, x)
	if err != nil {
		return err
	}
	defer response.Close()
	if err := completeBehindOthers(ctx, x, response); err != nil {
		return err
	}
	x.Target, x.Status = response.Target, response.Head.Status
	header := x.Writer.Header()
	for _, f := range response.Head.Header {
		header.Add(f.Name, f.Value)
	}
	h.setResultHeaders(header, coder.OK, coder.RanYes)
	if n := response.Head.Length; n >= 0 {
		header.Set("Content-Length", strconv.FormatInt(n, 10))
	} else if response.Complete {
		header.Set("Content-Length", strconv.Itoa(response.Buffered.Len()))
	}
	h.traceIfHeld(x)
	x.headWritten = true
	x.Writer.WriteHeader(response.Head.Status)
	if _, err := response.Buffered.WriteTo(x.Writer); err != nil {
		return coder.New(coder.Canceled, "%v", err)
	}
	if response.Complete {
		return nil
	}
	return streamBody(ctx, x.Writer, response.Next)
}

// completeBehindOthers buffers the rest of a response if requests behind it on its
// connection have begun to run: should it break off while it is written, their
// responses would be lost with the connection.
func completeBehindOthers(ctx context.Context, x *Exchange, r *attemptsender.Response) error {
	w, ok := x.Writer.(interface{ StartStream() bool })
	if r.Complete || !ok || w.StartStream() {
		return nil
	}
	return r.BufferRest(ctx, x.Request.Method)
}

// streamBody writes the rest of a response that was not buffered whole.
func streamBody(ctx context.Context, w io.Writer, next func(context.Context) ([]byte, bool, error)) error {
	for {
		b, last, err := next(ctx)
		if err != nil {
			return err
		}
		if _, err := w.Write(b); err != nil {
			return coder.New(coder.Canceled, "%v", err)
		}
		if last {
			return nil
		}
	}
}
