package clientload_test

import (
	"fmt"
	"io"
	"net"
	"strings"
	"time"
)

const (
	bodyBytes = 1 << 20 // the documented limit
	// bufferedBytes is the largest body that is read before its request runs.
	bufferedBytes = 256 << 10
	headBytes     = 64 << 10 // the documented limit
)

// client is one client of a load, on a connection of its own. Its writes fail
// after the load's end, which no load minds: a node may stop reading.
type client struct {
	net.Conn
	port *port
	// step is a part of the load's duration, for clients that pause.
	step time.Duration
}

func (c client) send(pieces ...string) {
	for _, p := range pieces {
		if _, err := io.WriteString(c, p); err != nil {
			return
		}
	}
}

// head returns a request's head with further fields, each ended by CRLF.
func (c client) head(path, fields string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: h\r\n%s\r\n", c.port.method, path, fields)
}

func (c client) lengthHead(n int) string {
	return c.head(c.port.path, fmt.Sprintf("Content-Length: %d\r\n", n))
}

// slowly sends pieces with a pause of c.step between them.
func (c client) slowly(pieces ...string) {
	for _, p := range pieces {
		c.send(p)
		time.Sleep(c.step)
	}
}

const chunkedField = "Transfer-Encoding: chunked\r\n"

// chunk returns a chunk of a body.
func chunk(n int) string { return fmt.Sprintf("%x\r\n%s\r\n", n, strings.Repeat("c", n)) }

// loads are the client loads of docs/design/demand.md, section 6. Each connection
// stays open, and nothing is read, until the load ends.
var loads = []struct {
	name string
	play func(c client)
	// crowd multiplies the number of clients.
	crowd int
}{
	{name: "whole bodies", play: func(c client) { c.send(c.lengthHead(bodyBytes), strings.Repeat("b", bodyBytes)) }},
	{name: "bodies in small pieces", play: func(c client) {
		c.send(c.lengthHead(bodyBytes))
		for range bodyBytes / 1000 {
			c.send(strings.Repeat("b", 1000))
		}
	}},
	{name: "chunked bodies without end", play: func(c client) { c.send(c.head(c.port.path, chunkedField), strings.Repeat(chunk(8192), 128)) }},
	{name: "tiny chunks", play: func(c client) { c.send(c.head(c.port.path, chunkedField), strings.Repeat(chunk(1), bodyBytes/64)) }},
	{name: "bodies less one byte", play: func(c client) { c.send(c.lengthHead(bodyBytes), strings.Repeat("b", bodyBytes-1)) }},
	{name: "buffered bodies less one byte", play: func(c client) { c.send(c.lengthHead(bufferedBytes), strings.Repeat("b", bufferedBytes-1)) }},
	{name: "announced bodies", play: func(c client) { c.send(c.lengthHead(bodyBytes), "b") }},
	{name: "bodies over the limit", play: func(c client) { c.send(c.lengthHead(64<<20), strings.Repeat("b", 4<<20)) }},
	{name: "chunked bodies over the limit", play: func(c client) { c.send(c.head(c.port.path, chunkedField), strings.Repeat(chunk(64<<10), 64)) }},
	{name: "short header fields", play: func(c client) { c.send(c.head(c.port.path, shortFields(headBytes-1000)), "x") }},
	{name: "short header fields without end", play: func(c client) { c.send(strings.TrimSuffix(c.head(c.port.path, shortFields(headBytes-1000)), "\r\n")) }},
	{name: "pipelined bodies", play: func(c client) {
		c.send(strings.Repeat(c.lengthHead(250_000)+strings.Repeat("b", 250_000), 8))
	}},
	{name: "pipelined requests", play: func(c client) { c.send(strings.Repeat(c.lengthHead(0), 2000)) }},
	{name: "pipelined large responses", play: func(c client) { c.send(strings.Repeat(c.largeRequest(), 16)) }},
	{name: "slow senders", play: func(c client) {
		c.slowly("PO", "ST /open HTTP/1.1\r\nHost: h\r\nContent-Length: 1000\r\n", "\r\nb", "b", "b")
	}},
	{name: "slow readers", play: func(c client) {
		c.send(c.largeRequest())
		b := make([]byte, 100)
		for range 4 {
			time.Sleep(c.step)
			_, _ = c.Read(b) // the load ends at any time
		}
	}},
	{name: "half heads", play: func(c client) { c.send("POST /open HTTP/1.1\r\nHo") }},
	{name: "readers that stop half-way", play: func(c client) {
		c.send(c.largeRequest())
		_, _ = io.CopyN(io.Discard, c, 1000)
	}},
	{name: "idle connections", play: func(client) {}, crowd: 3},
	{name: "crowd of half heads", play: func(c client) { c.send("POST /open HTTP/1.1\r\nHo") }, crowd: 3},
}

func (c client) largeRequest() string {
	return fmt.Sprintf("GET %s HTTP/1.1\r\nHost: h\r\n\r\n", c.port.large)
}

// shortFields returns about n bytes of header fields of different names.
func shortFields(n int) string {
	var b strings.Builder
	for i := 0; b.Len() < n; i++ {
		fmt.Fprintf(&b, "%x:\r\n", i)
	}
	return b.String()
}
