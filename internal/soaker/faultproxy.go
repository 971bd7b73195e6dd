package soaker

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

// PathFault is a fault of a network path. The zero value is no fault.
type PathFault struct {
	// Delay is added to each read, of up to copyBufferBytes.
	Delay time.Duration
	// Reset resets connections as soon as they carry data or end.
	Reset bool
	// DropUpstream discards what the client sends, DropDownstream what comes
	// back to it.
	DropUpstream, DropDownstream bool
}

// String returns the fault as the report prints it.
func (p PathFault) String() string {
	switch {
	case p.Reset:
		return "reset"
	case p.DropUpstream:
		return "drop upstream"
	case p.DropDownstream:
		return "drop downstream"
	}
	return fmt.Sprintf("delay %v", p.Delay)
}

// copyBufferBytes bounds one read; PathFault.Delay applies to each read.
const copyBufferBytes = 32 << 10

// FaultProxy forwards TCP connections from one loopback address to another and
// injects faults. Set the fields before Run.
type FaultProxy struct {
	// Listen and Upstream are addresses of the form host:port.
	Listen, Upstream string
	// UnreachableResponse answers the first request of a connection when nothing
	// listens at Upstream.
	UnreachableResponse string

	mu    sync.Mutex
	fault PathFault
}

// SetFault replaces the current fault.
func (fp *FaultProxy) SetFault(fault PathFault) {
	fp.mu.Lock()
	defer fp.mu.Unlock()
	fp.fault = fault
}

func (fp *FaultProxy) currentFault() PathFault {
	fp.mu.Lock()
	defer fp.mu.Unlock()
	return fp.fault
}

// Run starts to listen and returns. Connections are forwarded until ctx ends.
func (fp *FaultProxy) Run(ctx context.Context) error {
	ln, err := net.Listen("tcp", fp.Listen)
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
			go fp.forward(ctx, c)
		}
	}()
	return nil
}

func (fp *FaultProxy) forward(ctx context.Context, client net.Conn) {
	defer client.Close()
	upstream, err := (&net.Dialer{}).DialContext(ctx, "tcp", fp.Upstream)
	if err != nil {
		fp.answerUnreachable(client)
		return
	}
	defer upstream.Close()
	stop := context.AfterFunc(ctx, func() { _, _ = client.Close(), upstream.Close() })
	defer stop()
	done := make(chan struct{})
	go func() {
		defer close(done)
		fp.copyDirection(client, upstream, func(p PathFault) bool { return p.DropDownstream })
	}()
	fp.copyDirection(upstream, client, func(p PathFault) bool { return p.DropUpstream })
	<-done
}

// answerUnreachable writes UnreachableResponse once the client has sent data. An
// HTTP client would take a response that precedes its request for one to the next
// request.
func (fp *FaultProxy) answerUnreachable(client net.Conn) {
	if n, _ := client.Read(make([]byte, copyBufferBytes)); n == 0 {
		return
	}
	_, _ = io.WriteString(client, fp.UnreachableResponse)
	_ = client.(*net.TCPConn).CloseWrite()
	_, _ = io.Copy(io.Discard, client)
}

// copyDirection forwards one direction and its end. While the fault drops the
// direction, its data is discarded and its end resets both connections.
func (fp *FaultProxy) copyDirection(to, from net.Conn, dropped func(PathFault) bool) {
	buffer := make([]byte, copyBufferBytes)
	for {
		n, err := from.Read(buffer)
		fault := fp.currentFault()
		time.Sleep(fault.Delay)
		if fault.Reset || dropped(fault) && err != nil {
			resetConnection(to)
			resetConnection(from)
			return
		}
		if n > 0 && !dropped(fault) {
			if _, werr := to.Write(buffer[:n]); werr != nil {
				resetConnection(from)
				return
			}
		}
		if err != nil {
			_ = to.(*net.TCPConn).CloseWrite()
			return
		}
	}
}

// resetConnection closes a connection with RST, so that the peer sees an error
// instead of the end of the stream.
func resetConnection(c net.Conn) {
	_ = c.(*net.TCPConn).SetLinger(0)
	_ = c.Close()
}
