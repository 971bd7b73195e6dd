package linker

import (
	"context"
	"sync"
	"time"

	"github.com/zinniaproxy/zinniaproxy/internal/accountant"
	"github.com/zinniaproxy/zinniaproxy/internal/messenger"
	"github.com/zinniaproxy/zinniaproxy/pkg/coder"
)

// Query is a query from a peer.
type Query struct {
	// Peer and PeerEpoch identify the querying process.
	Peer      string
	PeerEpoch uint64
	Method    Method
	Payload   []byte
	// Delay is how much longer the query took than the fastest frame of the link.
	Delay time.Duration
}

// Handler replies to one query. ctx ends at the querying side's deadline, counted
// from when the query was sent, or when that side cancels. send blocks while the
// reply's flow control window is exhausted or the link's queue is full. An error is sent as a refusal.
type Handler func(ctx context.Context, q Query, send func(payload []byte, last bool) error) error

// handlerStream is the replying side of one query.
type handlerStream struct {
	cancel context.CancelFunc
	window *window
}

// startHandler starts a handler for a query of the peer, or refuses the query.
func (k *link) startHandler(m *open) {
	delay := k.observeDelay(m.Sent)
	handler := k.linker.handler(m.Method)
	remaining := m.Timeout - delay
	switch {
	case handler == nil:
		k.refuse(m.ID, coder.New(coder.BadRequest, "unknown method %d", m.Method))
		return
	case remaining <= 0:
		k.refuse(m.ID, coder.New(coder.DeadlineBefore, "%v on its way", delay))
		return
	}
	ctx, stop := context.WithTimeout(k.linker.ctx, remaining)
	s := &handlerStream{cancel: stop, window: newWindow(streamWindowBytes)}
	if !k.linker.reserveQuery(m) {
		stop()
		k.refuse(m.ID, accountant.Overloaded())
		return
	}
	if !k.addHandlerStream(m.ID, s) {
		stop()
		k.linker.releaseQuery(m)
		k.refuse(m.ID, coder.New(coder.Overloaded, "too many streams on the link").WithAfter(overloadRetryAfter))
		return
	}
	q := Query{Peer: k.peer.Node, PeerEpoch: k.peer.Epoch, Method: m.Method, Payload: m.Payload, Delay: delay}
	go func() {
		defer k.linker.releaseQuery(m)
		k.runHandler(ctx, m.ID, s, handler, q)
	}()
}

func (k *link) addHandlerStream(id uint64, s *handlerStream) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.closeErr != nil || len(k.handlerStreams) >= maxHandlerStreamsPerLink {
		return false
	}
	k.handlerStreams[id] = s
	return true
}

func (k *link) runHandler(ctx context.Context, id uint64, s *handlerStream, handler Handler, q Query) {
	defer s.cancel()
	lastSent := false
	sequence := uint32(0)
	sendData := func(payload []byte, last bool) error {
		m := data{ID: id, Payload: payload, Sequence: sequence, Last: last}
		sequence++
		return k.enqueueReply(ctx, outgoingFrame{kind: kindData, method: q.Method, payload: messenger.Encode(&m)})
	}
	err := handler(ctx, q, func(payload []byte, last bool) error {
		if err := s.window.acquire(ctx, len(payload)); err != nil {
			return err
		}
		lastSent = lastSent || last
		return sendData(payload, last)
	})
	k.mu.Lock()
	delete(k.handlerStreams, id)
	k.mu.Unlock()
	switch {
	case err != nil:
		k.refuse(id, coder.Of(err))
	case !lastSent:
		_ = sendData(nil, true)
	}
}

func (k *link) refuse(id uint64, e *coder.Error) {
	m := data{ID: id, Refusal: true, Code: e.Code, Detail: e.Detail, RetryAfter: e.After}
	_ = k.enqueue(outgoingFrame{kind: kindData, payload: messenger.Encode(&m)})
}

// window is the flow control window of a reply: it bounds the bytes sent but not
// yet read by the querying side. A message larger than the window is sent once
// the window is entirely free.
type window struct {
	mu             sync.Mutex
	availableBytes int
	sizeBytes      int
	grown          chan struct{}
}

func newWindow(bytes int) *window {
	return &window{availableBytes: bytes, sizeBytes: bytes, grown: make(chan struct{}, 1)}
}

func (w *window) release(bytes int) {
	w.mu.Lock()
	w.availableBytes += bytes
	w.mu.Unlock()
	select {
	case w.grown <- struct{}{}:
	default:
	}
}

func (w *window) acquire(ctx context.Context, bytes int) error {
	for {
		w.mu.Lock()
		if bytes <= w.availableBytes || w.availableBytes >= w.sizeBytes {
			w.availableBytes -= bytes
			w.mu.Unlock()
			return nil
		}
		w.mu.Unlock()
		select {
		case <-w.grown:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
