package linker

import (
	"bufio"
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/zinniaproxy/zinniaproxy/internal/framer"
	"github.com/zinniaproxy/zinniaproxy/internal/messenger"
	"github.com/zinniaproxy/zinniaproxy/pkg/coder"
)

// Reasons for closing a link.
var (
	errSilent = errors.New("peer was silent for too long")
	errIdle   = errors.New("link was idle")
	errClosed = errors.New("node closed its links")
)

// outgoingFrame is a frame queued for writing.
type outgoingFrame struct {
	kind    uint8
	payload []byte
	// method is the method whose traffic the frame counts as, 0 for the link's own.
	method Method
	// stream is marked as started once the frame's first byte may have left;
	// nil for frames that do not open a stream.
	stream *Stream
}

// link is a TCP connection to another node, on which both sides open streams.
type link struct {
	linker *Linker
	peer   hello
	conn   net.Conn
	reader *bufio.Reader
	dialed bool
	// crossing tells that the peer is in another data centre.
	crossing bool
	// clockStart is when this side's link clock was zero.
	clockStart time.Time
	// writeReady holds at most one token, which signals queued frames.
	writeReady chan struct{}
	// done is closed when the link ends.
	done chan struct{}

	mu sync.Mutex
	// queryStreams are the streams opened by this side, by ID.
	queryStreams map[uint64]*Stream
	// awaited is the number of queryStreams, which checkLoop reads without the
	// lock.
	awaited atomic.Int32
	// handlerStreams are the streams opened by the peer, by ID.
	handlerStreams map[uint64]*handlerStream
	nextID         uint64
	queue          []outgoingFrame
	// queuedBytes is the total size of the payloads in queue, and accounted what of
	// the link's frames, queued or being written, counts in the account.
	queuedBytes, accounted int
	// room is closed when frames were taken from the queue. It is nil unless a reply waits.
	room chan struct{}
	// writing is true while frames that left the queue are being written.
	writing bool
	// lastReceived is when the last frame arrived, lastOpened when this side last
	// opened a stream.
	lastReceived, lastOpened time.Time
	lastPing                 time.Time
	pingNumber               uint64
	pongs                    map[uint64]chan struct{}
	delay                    delayMeter
	closeErr                 error
}

func newLink(l *Linker, peer hello, conn net.Conn, reader *bufio.Reader, dialed bool) *link {
	now := time.Now()
	k := &link{
		linker: l, peer: peer, conn: conn, reader: reader, dialed: dialed, clockStart: now, lastReceived: now, lastOpened: now,
		writeReady: make(chan struct{}, 1), done: make(chan struct{}),
		queryStreams: map[uint64]*Stream{}, handlerStreams: map[uint64]*handlerStream{}, pongs: map[uint64]chan struct{}{},
		nextID: 2,
	}
	if dialed {
		k.nextID = 1
	}
	k.crossing = l.OwnCentre != nil && !l.OwnCentre(peer.Node)
	return k
}

// clock returns this side's link clock: the time since it created the link.
func (k *link) clock() time.Duration { return time.Since(k.clockStart) }

func (k *link) readLoop() {
	for {
		f, err := framer.Read(k.reader)
		if err != nil {
			k.closeWith(err)
			return
		}
		k.mu.Lock()
		k.lastReceived = time.Now()
		k.mu.Unlock()
		if err := k.handleFrame(f); err != nil {
			k.closeWith(err)
			return
		}
	}
}

// handleFrame processes one frame. An error is a violation of the protocol and
// ends the link.
func (k *link) handleFrame(f framer.Frame) error {
	size := int64(len(f.Payload) + framer.HeaderBytes)
	switch f.Kind {
	case kindOpen:
		return decodeAndRun(f.Payload, func(m *open) {
			k.linker.traffic.addReceived(m.Method, size)
			k.startHandler(m)
		})
	case kindData:
		return decodeAndRun(f.Payload, func(m *data) {
			k.linker.traffic.addReceived(k.deliver(m), size)
		})
	}
	k.linker.traffic.addReceived(0, size)
	return k.handleLinkFrame(f)
}

// handleLinkFrame processes a frame that is counted for no method.
func (k *link) handleLinkFrame(f framer.Frame) error {
	switch f.Kind {
	case kindCancel:
		return decodeAndRun(f.Payload, func(m *cancel) { k.withHandlerStream(m.ID, func(s *handlerStream) { s.cancel() }) })
	case kindCredit:
		return decodeAndRun(f.Payload, func(m *credit) { k.withHandlerStream(m.ID, func(s *handlerStream) { s.window.release(m.Bytes) }) })
	case kindPing:
		return decodeAndRun(f.Payload, func(m *ping) {
			k.observeDelay(m.Sent)
			_ = k.enqueue(outgoingFrame{kind: kindPong, payload: messenger.Encode(m)})
		})
	case kindPong:
		return decodeAndRun(f.Payload, k.handlePong)
	}
	return coder.New(coder.BadRequest, "unknown frame kind %d", f.Kind)
}

// decodeAndRun decodes a frame's payload and passes it to run.
func decodeAndRun[M any](payload []byte, run func(*M)) error {
	var m M
	if err := messenger.Decode(payload, &m); err != nil {
		return err
	}
	run(&m)
	return nil
}

func (k *link) withHandlerStream(id uint64, run func(*handlerStream)) {
	k.mu.Lock()
	s := k.handlerStreams[id]
	k.mu.Unlock()
	if s != nil {
		run(s)
	}
}

// deliver passes a message to its stream and returns the stream's method, or 0 if
// the stream has been closed.
func (k *link) deliver(m *data) Method {
	k.mu.Lock()
	s := k.queryStreams[m.ID]
	if m.Last || m.Refusal {
		delete(k.queryStreams, m.ID)
		k.awaited.Store(int32(len(k.queryStreams)))
	}
	k.mu.Unlock()
	if s == nil {
		return 0
	}
	s.push(*m)
	return s.method
}

// observeDelay returns how much longer a frame took than the fastest one of the
// link; sent is the peer's link clock in the frame.
func (k *link) observeDelay(sent time.Duration) time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.delay.observe(k.clock(), sent)
}

func (k *link) handlePong(m *ping) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if c := k.pongs[m.Number]; c != nil {
		close(c)
		delete(k.pongs, m.Number)
	}
}

// ping sends a ping and returns a channel that is closed when its pong arrives.
func (k *link) ping() (number uint64, pong chan struct{}, err error) {
	pong = make(chan struct{})
	k.mu.Lock()
	k.pingNumber++
	number = k.pingNumber
	k.pongs[number] = pong
	k.lastPing = time.Now()
	k.mu.Unlock()
	return number, pong, k.enqueue(outgoingFrame{kind: kindPing, payload: messenger.Encode(&ping{Number: number, Sent: k.clock()})})
}

// confirm pings the peer and ends the link if no pong arrives within
// ConfirmTimeout.
func (k *link) confirm(ctx context.Context) error {
	number, pong, err := k.ping()
	if err != nil {
		return err
	}
	timer := time.NewTimer(ConfirmTimeout)
	defer timer.Stop()
	select {
	case <-pong:
		return nil
	case <-k.done:
		return errClosed
	case <-ctx.Done():
		k.forgetPing(number)
		return ctx.Err()
	case <-timer.C:
		k.closeWith(errSilent)
		return errSilent
	}
}

func (k *link) forgetPing(number uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.pongs, number)
}

// needsConfirm reports whether nothing was received from the peer for
// ConfirmAfter.
func (k *link) needsConfirm() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return time.Since(k.lastReceived) > ConfirmAfter
}

// usable reports whether this side may open streams on the link. The accepting
// side stops doing so long before the dialing side closes the idle link.
func (k *link) usable() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.closeErr == nil && (k.dialed || time.Since(k.lastReceived) < IdleTimeout/2)
}

// checkLiveness pings the peer while a reply is awaited, and ends the link if it
// is silent or idle.
func (k *link) checkLiveness(now time.Time) {
	k.mu.Lock()
	awaited := len(k.queryStreams) > 0
	silentFor := now.Sub(laterOf(k.lastReceived, k.lastOpened))
	sincePing := now.Sub(k.lastPing)
	idle := len(k.handlerStreams) == 0 && silentFor > IdleTimeout
	k.mu.Unlock()
	switch {
	case awaited && silentFor > SilenceTimeout:
		k.closeWith(errSilent)
	case awaited && silentFor > PingInterval && sincePing > PingInterval:
		number, _, err := k.ping()
		if err == nil {
			time.AfterFunc(SilenceTimeout, func() { k.forgetPing(number) })
		}
	case !awaited && idle && k.dialed:
		k.closeWith(errIdle)
	}
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// closeWith closes the link for a reason, on the first call only: this side's
// queries fail with the reason, and the handlers of the peer's are canceled.
func (k *link) closeWith(reason error) {
	k.mu.Lock()
	if k.closeErr != nil {
		k.mu.Unlock()
		return
	}
	k.closeErr = reason
	k.linker.releaseFrames(k.accounted)
	queries, handlers := k.queryStreams, k.handlerStreams
	k.queryStreams, k.handlerStreams, k.queue = map[uint64]*Stream{}, map[uint64]*handlerStream{}, nil
	k.awaited.Store(0)
	close(k.done)
	k.mu.Unlock()
	k.conn.Close()
	for _, s := range queries {
		s.push(s.lostMessage(reason))
	}
	for _, s := range handlers {
		s.cancel()
	}
	k.linker.removeLink(k, reason)
}
