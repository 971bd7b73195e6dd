package dispatcher

import (
	"context"
	"time"

	"github.com/zinniaproxy/zinniaproxy/internal/messenger"
	"github.com/zinniaproxy/zinniaproxy/pkg/coder"
)

// item is one message of a local answer.
type item struct {
	head *messenger.Head
	body []byte
	last bool
}

// Local runs calls for targets on the entry's own VM without a link.
type Local struct {
	// Serve runs one call.
	Serve func(ctx context.Context, j *Job) error
}

// Answer is the reading side of one local call.
type Answer struct {
	items chan item
	fail  error
	stop  context.CancelFunc
}

// Open starts a call. The answer must be closed.
func (l *Local) Open(ctx context.Context, c *messenger.Call) *Answer {
	ctx, stop := context.WithTimeout(ctx, c.Timeout)
	a := &Answer{items: make(chan item, 1), stop: stop}
	put := func(i item) error {
		select {
		case a.items <- i:
			return nil
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	j := &Job{Call: c, Deadline: time.Now().Add(c.Timeout), Out: Out{
		Head: func(h messenger.Head, last bool) error { return put(item{head: &h, last: last}) },
		Body: func(b []byte, last bool) error { return put(item{body: b, last: last}) },
	}}
	go func() {
		a.fail = l.Serve(ctx, j)
		close(a.items)
	}()
	return a
}

// Recv returns the next message: first the head, then pieces of the body.
func (a *Answer) Recv(ctx context.Context) (*messenger.Head, []byte, bool, error) {
	select {
	case i, ok := <-a.items:
		if ok {
			return i.head, i.body, i.last, nil
		}
		return nil, nil, false, a.ended()
	case <-ctx.Done():
		// Whether the call was sent is the exit's to say; it ends with ctx.
		for i := range a.items {
			_ = i
		}
		return nil, nil, false, a.ended()
	}
}

// ended returns why the answer has no further message.
func (a *Answer) ended() error {
	if a.fail != nil {
		return coder.Of(a.fail)
	}
	return coder.New(coder.Cut, "no more of the answer")
}

// Close gives the call up, if it has not ended.
func (a *Answer) Close() { a.stop() }
