package soaker

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"time"
)

// ClientLoad is a kind of load by clients that misbehave.
type ClientLoad string

// Kinds of loads. Each is within the limits of a node, or refused by it, and must not
// affect other callers.
const (
	ShortBody      ClientLoad = "short body"      // a body of legal size stops one byte short of its length
	EndlessChunks  ClientLoad = "endless chunks"  // a chunked body does not end
	UnreadPipeline ClientLoad = "unread pipeline" // responses to pipelined requests are not read
	ManyFields     ClientLoad = "many fields"     // a head has very many short fields
	SlowReader     ClientLoad = "slow reader"     // a response is read some bytes at a time
)

var clientLoads = []ClientLoad{ShortBody, EndlessChunks, UnreadPipeline, ManyFields, SlowReader}

// Clients are clients of one kind. The zero value is none.
type Clients struct {
	Load ClientLoad
	// Connections is how many there are at once. One that is closed is opened anew
	// after a pause.
	Connections int
	// Path is requested, and Seed decides sizes and pauses.
	Path string
	Seed uint64
}

// String returns the clients as the report prints them.
func (c Clients) String() string {
	return fmt.Sprintf("%d connections, %s, %s", c.Connections, c.Load, c.Path)
}

// Sizes of loads. Bodies and heads are around the limits of a node, 1 MiB and 64 KiB.
const (
	minConnections, maxConnections = 8, 32
	maxShortBodyBytes              = 1 << 20
	maxChunkBytes                  = 4 << 10
	maxUnreadRequests              = 64 // a node serves 16 of a connection at once
	unreadResponseBytes            = 4_000
	maxFields                      = 8_000
	slowResponseBytes              = 256 << 10
	maxSlowReadBytes               = 512
	maxClientPause                 = 50 * time.Millisecond
	maxReconnectPause              = 500 * time.Millisecond
)

// drawClients draws clients; their path has a route, or none.
func drawClients(r *rand.Rand) Clients {
	return Clients{
		Load: clientLoads[r.IntN(len(clientLoads))], Connections: minConnections + r.IntN(maxConnections-minConnections+1),
		Path: []string{openPath, openPath, "/none"}[r.IntN(3)], Seed: r.Uint64(),
	}
}

// run connects the clients to a node's callers' address until ctx ends. A node that
// cannot be reached, or closes a connection, is no error: other faults may overlap.
func (c Clients) run(ctx context.Context, address string) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for i := range c.Connections {
		r := rand.New(rand.NewPCG(c.Seed, uint64(i)))
		wg.Go(func() {
			for ctx.Err() == nil {
				c.runOnce(ctx, address, r)
				pause(ctx, r, maxReconnectPause)
			}
		})
	}
}

// runOnce runs one connection until it is closed or ctx ends.
func (c Clients) runOnce(ctx context.Context, address string, r *rand.Rand) {
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	switch c.Load {
	case ShortBody:
		c.sendShortBody(ctx, conn, r)
	case EndlessChunks:
		c.sendEndlessChunks(ctx, conn, r)
	case UnreadPipeline:
		if _, err := io.WriteString(conn, strings.Repeat(c.get(unreadResponseBytes, ""), 1+r.IntN(maxUnreadRequests))); err == nil {
			<-ctx.Done()
		}
	case ManyFields:
		if _, err := io.WriteString(conn, c.get(0, strings.Repeat("a: b\r\n", 1+r.IntN(maxFields))+"Connection: close\r\n")); err == nil {
			_, _ = io.Copy(io.Discard, conn)
		}
	case SlowReader:
		c.readSlowly(ctx, conn, r)
	}
}

// get returns a request for a response of a size.
func (c Clients) get(responseBytes int, fields string) string {
	return fmt.Sprintf("GET %s?size=%d HTTP/1.1\r\nHost: soak\r\n%s\r\n", c.Path, responseBytes, fields)
}

func (c Clients) sendShortBody(ctx context.Context, conn net.Conn, r *rand.Rand) {
	length := 1 + r.IntN(maxShortBodyBytes)
	if _, err := fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: soak\r\nContent-Length: %d\r\n\r\n", c.Path, length); err != nil {
		return
	}
	for rest := length - 1; rest > 0; {
		n := min(rest, 1+r.IntN(maxShortBodyBytes/4))
		if _, err := conn.Write(make([]byte, n)); err != nil {
			return
		}
		rest -= n
		pause(ctx, r, maxClientPause)
	}
	_, _ = io.Copy(io.Discard, conn)
}

func (c Clients) sendEndlessChunks(ctx context.Context, conn net.Conn, r *rand.Rand) {
	_, err := fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: soak\r\nTransfer-Encoding: chunked\r\n\r\n", c.Path)
	for err == nil && ctx.Err() == nil {
		n := 1 + r.IntN(maxChunkBytes)
		_, err = fmt.Fprintf(conn, "%x\r\n%s\r\n", n, strings.Repeat("z", n))
		pause(ctx, r, maxClientPause)
	}
}

func (c Clients) readSlowly(ctx context.Context, conn net.Conn, r *rand.Rand) {
	_ = conn.(*net.TCPConn).SetReadBuffer(maxSlowReadBytes) // so that the node's writes block
	_, err := io.WriteString(conn, c.get(slowResponseBytes, "Connection: close\r\n"))
	for err == nil && ctx.Err() == nil {
		_, err = conn.Read(make([]byte, 1+r.IntN(maxSlowReadBytes)))
		pause(ctx, r, maxClientPause)
	}
}

// pause waits for a random time of up to limit, or until ctx ends.
func pause(ctx context.Context, r *rand.Rand, limit time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(time.Duration(r.Int64N(int64(limit)))):
	}
}
