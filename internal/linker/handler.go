package linker

import (
	"context"
	"sync"
	"time"

	"github.com/zinniaproxy/zinniaproxy/internal/messenger"
	"github.com/zinniaproxy/zinniaproxy/pkg/coder"
)

// Question is what a peer asks.
type Question struct {
	// Peer and PeerEpoch name the asking process.
	Peer      string
	PeerEpoch uint64
	Method    Method
	Payload   []byte
	// Delay is how long the question was on its way beyond the fastest one.
	Delay time.Duration
}

// Handler answers one question. ctx ends with the asker's deadline, which
// counts from when the question was sent, or when the asker gives up. send
// waits while the asker reads slowly. An error becomes a refusal.
type Handler func(ctx context.Context, q Question, send func(payload []byte, last bool) error) error

// serving is the answering side of one question.
type serving struct {
	cancel context.CancelFunc
	window *window
}

// serve starts a handler for a question of the peer.
func (k *link) serve(m *open) {
	delay := k.observeDelay(m.Sent)
	handler := k.owner.handler(m.Method)
	left := m.Timeout - delay
	switch {
	case handler == nil:
		k.refuse(m.ID, coder.New(coder.BadRequest, "method %d", m.Method))
		return
	case left <= 0:
		k.refuse(m.ID, coder.New(coder.DeadlineBefore, "%v on its way", delay))
		return
	}
	ctx, stop := context.WithTimeout(k.owner.ctx, left)
	s := &serving{cancel: stop, window: newWindow(windowBytes)}
	if !k.admit(m.ID, s) {
		stop()
		k.refuse(m.ID, coder.New(coder.Overloaded, "too many streams").WithAfter(overloadAfter))
		return
	}
	q := Question{Peer: k.peer.Node, PeerEpoch: k.peer.Epoch, Method: m.Method, Payload: m.Payload, Delay: delay}
	go k.answer(ctx, m.ID, s, handler, q)
}

func (k *link) admit(id uint64, s *serving) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.failure != nil || len(k.served) >= maxStreams {
		return false
	}
	k.served[id] = s
	return true
}

func (k *link) answer(ctx context.Context, id uint64, s *serving, handler Handler, q Question) {
	defer s.cancel()
	ended := false
	number := uint32(0)
	put := func(payload []byte, last bool) error {
		m := data{ID: id, Payload: payload, Number: number, Last: last}
		number++
		return k.enqueue(outgoing{kind: kindData, method: q.Method, payload: messenger.Encode(&m)})
	}
	err := handler(ctx, q, func(payload []byte, last bool) error {
		if err := s.window.take(ctx, len(payload)); err != nil {
			return err
		}
		ended = ended || last
		return put(payload, last)
	})
	k.mu.Lock()
	delete(k.served, id)
	k.mu.Unlock()
	switch {
	case err != nil:
		k.refuse(id, coder.Of(err))
	case !ended:
		_ = put(nil, true)
	}
}

func (k *link) refuse(id uint64, e *coder.Error) {
	m := data{ID: id, Refusal: true, Code: e.Code, Detail: e.Detail, After: e.After}
	_ = k.enqueue(outgoing{kind: kindData, payload: messenger.Encode(&m)})
}

// window counts the bytes that may be sent before the asker has read some. A
// message larger than the window goes alone.
type window struct {
	mu    sync.Mutex
	left  int
	full  int
	ready chan struct{}
}

func newWindow(n int) *window {
	return &window{left: n, full: n, ready: make(chan struct{}, 1)}
}

func (w *window) add(n int) {
	w.mu.Lock()
	w.left += n
	w.mu.Unlock()
	select {
	case w.ready <- struct{}{}:
	default:
	}
}

func (w *window) take(ctx context.Context, n int) error {
	for {
		w.mu.Lock()
		if n <= w.left || w.left >= w.full {
			w.left -= n
			w.mu.Unlock()
			return nil
		}
		w.mu.Unlock()
		select {
		case <-w.ready:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
