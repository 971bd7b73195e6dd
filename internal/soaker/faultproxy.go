package soaker

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

// Path is a fault of a path. The zero value is a sound one.
type Path struct {
	// Delay holds each piece back.
	Delay time.Duration
	// Reset breaks connections off as they are used.
	Reset bool
	// MuteUp swallows what the dialling side sends, MuteDown what comes back.
	MuteUp, MuteDown bool
}

// String names the fault.
func (p Path) String() string {
	switch {
	case p.Reset:
		return "reset"
	case p.MuteUp:
		return "silent forth"
	case p.MuteDown:
		return "silent back"
	}
	return fmt.Sprintf("delay %v", p.Delay)
}

// pieceBytes is read at once; a delay holds for each piece.
const pieceBytes = 32 << 10

// Breaker passes TCP connections from one loopback address to another, and
// breaks them when told to. Set the fields before Run.
type Breaker struct {
	// Listen and To are addresses.
	Listen, To string
	// Gone is written to a connection that finds nobody at To.
	Gone string

	mu   sync.Mutex
	path Path
}

// Set replaces the fault.
func (b *Breaker) Set(p Path) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.path = p
}

func (b *Breaker) fault() Path {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.path
}

// Run passes connections on until ctx ends.
func (b *Breaker) Run(ctx context.Context) error {
	ln, err := net.Listen("tcp", b.Listen)
	if err != nil {
		return err
	}
	go func() {
		<-ctx.Done()
		_ = ln.Close()
	}()
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go b.pass(ctx, c)
		}
	}()
	return nil
}

func (b *Breaker) pass(ctx context.Context, from net.Conn) {
	defer from.Close()
	to, err := (&net.Dialer{}).DialContext(ctx, "tcp", b.To)
	if err != nil {
		b.refuse(from)
		return
	}
	defer to.Close()
	stop := context.AfterFunc(ctx, func() { _, _ = from.Close(), to.Close() })
	defer stop()
	done := make(chan struct{})
	go func() {
		defer close(done)
		b.copy(from, to, func(p Path) bool { return p.MuteDown })
	}()
	b.copy(to, from, func(p Path) bool { return p.MuteUp })
	<-done
}

// refuse answers the first request of a connection that finds nobody. An answer
// without a request would be taken for one to the next.
func (b *Breaker) refuse(from net.Conn) {
	if n, _ := from.Read(make([]byte, pieceBytes)); n == 0 {
		return
	}
	_, _ = io.WriteString(from, b.Gone)
	_ = from.(*net.TCPConn).CloseWrite()
	_, _ = io.Copy(io.Discard, from)
}

// copy passes one direction on, and the end of it, unless it is muted.
func (b *Breaker) copy(to, from net.Conn, muted func(Path) bool) {
	piece := make([]byte, pieceBytes)
	for {
		n, err := from.Read(piece)
		p := b.fault()
		time.Sleep(p.Delay)
		if p.Reset || muted(p) && err != nil {
			reset(to)
			reset(from)
			return
		}
		if n > 0 && !muted(p) {
			if _, werr := to.Write(piece[:n]); werr != nil {
				reset(from)
				return
			}
		}
		if err != nil {
			_ = to.(*net.TCPConn).CloseWrite()
			return
		}
	}
}

// reset closes a connection so that the other side sees it broken.
func reset(c net.Conn) {
	_ = c.(*net.TCPConn).SetLinger(0)
	_ = c.Close()
}
