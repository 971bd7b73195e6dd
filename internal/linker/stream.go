package linker

import (
	"context"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/zinniaproxy/zinniaproxy/internal/messenger"
	"github.com/zinniaproxy/zinniaproxy/pkg/coder"
)

// Stream is the querying side of one query.
type Stream struct {
	link   *link
	id     uint64
	method Method
	// started is set once a byte of the query may have left this node.
	started atomic.Bool
	// ready holds at most one token, which signals queued messages.
	ready chan struct{}

	mu       sync.Mutex
	messages []data
	// nextSequence is the sequence number expected of the next message.
	nextSequence uint32
	ended        bool
	// dropped is true when nobody will receive further messages.
	dropped bool
}

// push queues a message for Recv.
func (s *Stream) push(m data) {
	s.mu.Lock()
	if !s.dropped {
		s.messages = append(s.messages, m)
		s.charge(len(m.Payload))
	}
	s.mu.Unlock()
	select {
	case s.ready <- struct{}{}:
	default:
	}
}

// linkLostPrefix begins the detail of a refusal caused by a lost link.
const linkLostPrefix = "link lost: "

// IsLinkLost reports whether err means that the link failed during a query or
// could not be opened for it, as opposed to a refusal of the peer.
func IsLinkLost(err error) bool {
	return err != nil && strings.HasPrefix(coder.Of(err).Detail, linkLostPrefix)
}

// lostMessage returns the refusal for a stream whose link has ended: NotSent only
// if no byte of the query can have left this node, otherwise Cut.
func (s *Stream) lostMessage(reason error) data {
	m := data{ID: s.id, Refusal: true, Code: coder.NotSent, Detail: linkLostPrefix + reason.Error()}
	if s.started.Load() {
		m.Code = coder.Cut
	}
	return m
}

// PeerEpoch returns the epoch of the process that the query was sent to.
func (s *Stream) PeerEpoch() uint64 { return s.link.peer.Epoch }

// Recv waits for the next message. last means that the reply is complete. A
// refusal of the peer, a lost link and the end of ctx are returned as
// *coder.Error.
func (s *Stream) Recv(ctx context.Context) (payload []byte, last bool, err error) {
	for {
		if m, ok := s.pop(); ok {
			return s.consume(m)
		}
		select {
		case <-s.ready:
		case <-ctx.Done():
			return nil, false, s.contextError(ctx)
		}
	}
}

func (s *Stream) pop() (data, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.messages) == 0 {
		return data{}, false
	}
	m := s.messages[0]
	s.messages = s.messages[1:]
	s.charge(-len(m.Payload))
	return m, true
}

// charge counts bytes of the reply that wait for Recv in the account. They are
// bounded by the stream's window.
func (s *Stream) charge(bytes int) {
	s.link.linker.Account.Charge(s.link.linker.owner(), int64(bytes))
}

// drop forgets the messages that nobody will receive.
func (s *Stream) drop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, m := range s.messages {
		s.charge(-len(m.Payload))
	}
	s.messages, s.dropped = nil, true
}

func (s *Stream) consume(m data) ([]byte, bool, error) {
	if m.Refusal {
		s.markEnded()
		return nil, false, &coder.Error{Code: m.Code, Detail: m.Detail, After: m.RetryAfter}
	}
	if m.Sequence != s.nextSequence {
		s.Close()
		return nil, false, coder.New(coder.Cut, "got message %d of the reply, want %d", m.Sequence, s.nextSequence)
	}
	s.nextSequence++
	if m.Last {
		s.markEnded()
		return m.Payload, true, nil
	}
	_ = s.link.enqueue(outgoingFrame{kind: kindCredit, payload: messenger.Encode(&credit{ID: s.id, Bytes: len(m.Payload)})})
	return m.Payload, false, nil
}

// contextError returns the refusal for the end of ctx, which depends on whether
// the query may have been sent.
func (s *Stream) contextError(ctx context.Context) error {
	started := s.started.Load()
	switch {
	case ctx.Err() == context.Canceled:
		return coder.New(coder.Canceled, "")
	case started:
		return coder.New(coder.DeadlineAfter, "")
	}
	return coder.New(coder.DeadlineBefore, "")
}

func (s *Stream) markEnded() {
	s.mu.Lock()
	s.ended = true
	s.mu.Unlock()
}

// Close cancels the query at the peer, unless the stream has ended. It may be
// called more than once.
func (s *Stream) Close() {
	defer s.drop()
	s.mu.Lock()
	ended := s.ended
	s.ended = true
	s.mu.Unlock()
	if ended {
		return
	}
	s.link.mu.Lock()
	delete(s.link.queryStreams, s.id)
	s.link.awaited.Store(int32(len(s.link.queryStreams)))
	s.link.mu.Unlock()
	_ = s.link.enqueue(outgoingFrame{kind: kindCancel, payload: messenger.Encode(&cancel{ID: s.id})})
}

// open sends a query on the link and returns its stream.
func (k *link) open(method Method, payload []byte, timeout time.Duration) (*Stream, error) {
	s := &Stream{link: k, method: method, ready: make(chan struct{}, 1)}
	k.mu.Lock()
	s.id = k.nextID
	k.nextID += 2
	if k.closeErr == nil {
		k.queryStreams[s.id] = s
		k.awaited.Store(int32(len(k.queryStreams)))
	}
	k.lastOpened = time.Now()
	k.mu.Unlock()
	m := open{ID: s.id, Method: method, Sent: k.clock(), Timeout: timeout, Payload: payload}
	err := k.enqueue(outgoingFrame{kind: kindOpen, method: method, payload: messenger.Encode(&m), stream: s})
	if err != nil {
		k.mu.Lock()
		delete(k.queryStreams, s.id)
		k.awaited.Store(int32(len(k.queryStreams)))
		k.mu.Unlock()
	}
	return s, err
}
