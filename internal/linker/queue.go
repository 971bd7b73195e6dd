package linker

import (
	"context"
	"slices"
	"time"

	"github.com/zinniaproxy/zinniaproxy/internal/framer"
	"github.com/zinniaproxy/zinniaproxy/pkg/coder"
)

// enqueue queues a frame for writing. It fails, and sends nothing of the frame, if
// the link has ended or the queue would exceed maxQueuedBytesPerLink.
func (k *link) enqueue(o outgoingFrame) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.closeErr != nil {
		return coder.New(coder.NotSent, linkLostPrefix+"to %s: %v", k.peer.Node, k.closeErr)
	}
	if !k.hasRoom(o) || !k.linker.reserveFrame(o) {
		return coder.New(coder.Overloaded, "link to %s is full", k.peer.Node).WithAfter(overloadRetryAfter)
	}
	k.push(o)
	return nil
}

// enqueueReply queues a frame of a reply. While the queue is full it waits: the
// query may have run, so that the reply can be neither dropped nor replaced by a
// refusal which says that it did not.
func (k *link) enqueueReply(ctx context.Context, o outgoingFrame) error {
	if err := k.awaitRoom(ctx, o); err != nil {
		return err
	}
	for {
		k.mu.Lock()
		if k.closeErr != nil {
			defer k.mu.Unlock()
			k.linker.releaseFrames(len(o.payload))
			return coder.New(coder.Cut, linkLostPrefix+"to %s: %v", k.peer.Node, k.closeErr)
		}
		if k.hasRoom(o) {
			defer k.mu.Unlock()
			k.push(o)
			return nil
		}
		if k.room == nil {
			k.room = make(chan struct{})
		}
		room := k.room
		k.mu.Unlock()
		select {
		case <-room:
		case <-k.done:
		case <-ctx.Done():
			k.linker.releaseFrames(len(o.payload))
			return coder.New(coder.Cut, "link to %s is full", k.peer.Node)
		}
	}
}

// hasRoom reports whether the queue has room for a frame. The caller holds the lock.
func (k *link) hasRoom(o outgoingFrame) bool {
	return k.queuedBytes+len(o.payload) <= maxQueuedBytesPerLink
}

// push queues a frame. The caller holds the lock.
func (k *link) push(o outgoingFrame) {
	k.linker.traffic.addSent(o.method, int64(len(o.payload)+framer.HeaderBytes), k.crossing)
	k.queue = append(k.queue, o)
	k.queuedBytes += len(o.payload)
	k.accounted += len(o.payload)
	k.signalWriter()
}

func (k *link) signalWriter() {
	select {
	case k.writeReady <- struct{}{}:
	default:
	}
}

// drainQueue appends queued frames to b, up to maxWriteBytes and at least one, and
// marks their streams as started.
func (k *link) drainQueue(b []byte) []byte {
	k.mu.Lock()
	defer k.mu.Unlock()
	taken := 0
	for _, o := range k.queue {
		if taken > 0 && len(b)+len(o.payload) > maxWriteBytes {
			k.signalWriter()
			break
		}
		taken++
		k.queuedBytes -= len(o.payload)
		b = framer.Append(b, framer.Frame{Kind: o.kind, Payload: o.payload})
		if o.stream != nil {
			o.stream.started.Store(true)
		}
	}
	k.queue = slices.Delete(k.queue, 0, taken)
	k.writing = true
	if k.room != nil {
		close(k.room)
		k.room = nil
	}
	return b
}

func (k *link) endWriting() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.writing = false
	if k.closeErr == nil {
		k.linker.releaseFrames(k.accounted - k.queuedBytes)
		k.accounted = k.queuedBytes
	}
}

// flushed reports whether all frames that were queued are written.
func (k *link) flushed() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.queue) == 0 && !k.writing
}

func (k *link) writeLoop() {
	var buf []byte
	for {
		select {
		case <-k.writeReady:
		case <-k.done:
			return
		}
		buf = k.drainQueue(buf[:0])
		if err := k.conn.SetWriteDeadline(time.Now().Add(SilenceTimeout)); err != nil {
			k.closeWith(err)
			return
		}
		if _, err := k.conn.Write(buf); err != nil {
			k.closeWith(err)
			return
		}
		k.endWriting()
		if cap(buf) > maxReusedBufferBytes {
			buf = nil
		}
	}
}
