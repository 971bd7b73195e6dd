package faker

import (
	"errors"
	"io"
	"sync"
	"time"
)

// maxBufferedBytes is the amount of unread data at which writes block.
const maxBufferedBytes = 256 << 10

var errReset = errors.New("faker: connection reset by peer")

type segment struct {
	data    []byte
	arrival time.Time
}

// pipe is one direction of a connection.
type pipe struct {
	network       *Network
	direction     direction
	readDeadline  *deadline
	writeDeadline *deadline

	mu            sync.Mutex
	segments      []segment
	bufferedBytes int
	dropping      bool
	writeClosed   bool
	readClosed    bool
	changed       chan struct{}
}

func newPipe(n *Network, d direction) *pipe {
	return &pipe{network: n, direction: d, readDeadline: newDeadline(), writeDeadline: newDeadline(), changed: make(chan struct{})}
}

// notifyWaiters wakes all waiting reads and writes. The caller holds mu.
func (p *pipe) notifyWaiters() {
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *pipe) dropAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dropping, p.segments = true, nil
}

// closeWrite ends the stream; data already written can still be read.
func (p *pipe) closeWrite() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.writeClosed = true
	p.notifyWaiters()
}

// closeRead makes reads fail at once and writes fail with errReset.
func (p *pipe) closeRead() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.readClosed = true
	p.notifyWaiters()
}

func (p *pipe) write(b []byte) (int, error) {
	for {
		p.mu.Lock()
		switch {
		case p.writeClosed:
			p.mu.Unlock()
			return 0, io.ErrClosedPipe
		case p.readClosed && !p.dropping:
			p.mu.Unlock()
			return 0, errReset
		case p.dropping:
			p.mu.Unlock()
			return len(b), nil
		case p.bufferedBytes < maxBufferedBytes:
			p.segments = append(p.segments, segment{append([]byte(nil), b...), time.Now().Add(p.network.Delay)})
			p.bufferedBytes += len(b)
			p.notifyWaiters()
			p.mu.Unlock()
			return len(b), nil
		}
		changed := p.changed
		p.mu.Unlock()
		select {
		case <-changed:
		case <-p.writeDeadline.done():
			return 0, errTimeout
		}
	}
}

func (p *pipe) read(b []byte) (int, error) {
	for {
		p.mu.Lock()
		changed, untilArrival, n, err := p.changed, time.Duration(0), 0, error(nil)
		pending := len(p.segments) > 0
		switch {
		case p.readClosed:
			err = io.ErrClosedPipe
		case pending:
			untilArrival = time.Until(p.segments[0].arrival)
		case p.writeClosed && !p.dropping:
			err = io.EOF
		}
		p.mu.Unlock()
		if err != nil {
			return 0, err
		}
		expired := p.readDeadline.done()
		if pending && untilArrival <= 0 {
			if !p.network.waitUnblocked(p.direction, expired) {
				return 0, errTimeout
			}
			if n = p.consume(b); n > 0 {
				return n, nil
			}
			continue
		}
		if err := p.waitForData(pending, untilArrival, changed, expired); err != nil {
			return 0, err
		}
	}
}

func (p *pipe) waitForData(pending bool, untilArrival time.Duration, changed, expired <-chan struct{}) error {
	var arrival <-chan time.Time
	if pending {
		t := time.NewTimer(untilArrival)
		defer t.Stop()
		arrival = t.C
	}
	select {
	case <-arrival:
		return nil
	case <-changed:
		return nil
	case <-expired:
		return errTimeout
	}
}

func (p *pipe) consume(b []byte) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.segments) == 0 {
		return 0
	}
	s := &p.segments[0]
	n := copy(b, s.data)
	s.data = s.data[n:]
	p.bufferedBytes -= n
	if len(s.data) == 0 {
		p.segments = p.segments[1:]
	}
	p.notifyWaiters()
	return n
}
