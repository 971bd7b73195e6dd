package exithandler

import (
	"context"
	"time"

	"github.com/zinniaproxy/zinniaproxy/internal/messenger"
	"github.com/zinniaproxy/zinniaproxy/pkg/coder"
)

// message is one part of a local response: its head or a piece of its body.
type message struct {
	head *messenger.ResponseHead
	body []byte
	last bool
}

// Local runs calls for targets on the entry node's own VM without a link.
type Local struct {
	// Serve runs one call.
	Serve func(ctx context.Context, j *Job) error
}

// LocalResponse reads the response of one local call.
type LocalResponse struct {
	messages chan message
	err      error
	cancel   context.CancelFunc
}

// Open starts a call. The response must be closed.
func (l *Local) Open(ctx context.Context, c *messenger.Call) *LocalResponse {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	r := &LocalResponse{messages: make(chan message, 1), cancel: cancel}
	send := func(m message) error {
		select {
		case r.messages <- m:
			return nil
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	j := &Job{Call: c, Deadline: time.Now().Add(c.Timeout), Response: ResponseSink{
		Head: func(h messenger.ResponseHead, last bool) error { return send(message{head: &h, last: last}) },
		Body: func(b []byte, last bool) error { return send(message{body: b, last: last}) },
	}}
	go func() {
		r.err = l.Serve(ctx, j)
		close(r.messages)
	}()
	return r
}

// Recv returns the head first, then the pieces of the body. The third result is
// true for the last part of a complete response.
func (r *LocalResponse) Recv(ctx context.Context) (*messenger.ResponseHead, []byte, bool, error) {
	select {
	case m, ok := <-r.messages:
		if ok {
			return m.head, m.body, m.last, nil
		}
		return nil, nil, false, r.endError()
	case <-ctx.Done():
		// Wait for the result of Serve, which says whether the call was sent. Serve
		// returns soon after ctx ends.
		for m := range r.messages {
			_ = m
		}
		return nil, nil, false, r.endError()
	}
}

// endError returns why the response has no further message.
func (r *LocalResponse) endError() error {
	if r.err != nil {
		return coder.Of(r.err)
	}
	return coder.New(coder.Cut, "the response ended early")
}

// Close cancels the call, if it has not ended.
func (r *LocalResponse) Close() { r.cancel() }
