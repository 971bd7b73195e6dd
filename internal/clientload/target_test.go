package clientload_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// endlessResponses are what a broken target sends: a start and a piece that it repeats
// until the connection is closed. ID stands for the request's ID.
var endlessResponses = []struct{ name, start, piece string }{
	{"status-line", "HTTP/1.1 200 ", "x"},
	{"no-protocol", "\x00\x01", "\x02"},
	{"one-header-field", "HTTP/1.1 200 OK\r\nX: ", "y"},
	{"header-fields", "HTTP/1.1 200 OK\r\nZinnia-Request: ID\r\n", "X: y\r\n"},
	{"interim-responses", "HTTP/1.1 103 Early Hints\r\n\r\n", "HTTP/1.1 103 Early Hints\r\n\r\n"},
	{"chunked-body", "HTTP/1.1 200 OK\r\nZinnia-Request: ID\r\nTransfer-Encoding: chunked\r\n\r\n", "1000\r\n" + strings.Repeat("b", 4096) + "\r\n"},
	{"small-chunks", "HTTP/1.1 200 OK\r\nZinnia-Request: ID\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nb\r\n"},
	{"chunk-extension", "HTTP/1.1 200 OK\r\nZinnia-Request: ID\r\nTransfer-Encoding: chunked\r\n\r\n5;x=", "y"},
	{"trailers", "HTTP/1.1 200 OK\r\nZinnia-Request: ID\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X: y\r\n"},
	{"more-than-the-length", "HTTP/1.1 200 OK\r\nZinnia-Request: ID\r\nContent-Length: 5\r\n\r\nhello", "z"},
	{"long-body", "HTTP/1.1 200 OK\r\nZinnia-Request: ID\r\nContent-Length: 1000000000000\r\n\r\n", "b"},
}

// startBrokenTarget announces a target to a node that answers as the path of each
// request names it.
func startBrokenTarget(t *testing.T, admin string) {
	address := freeAddress(t)
	ln, err := net.Listen("tcp", address)
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go answerWithoutEnd(c)
		}
	}()
	done := make(chan struct{})
	t.Cleanup(func() { close(done) })
	go func() {
		for {
			announceBrokenTarget(admin, address)
			select {
			case <-done:
				return
			case <-time.After(500 * time.Millisecond):
			}
		}
	}()
}

func announceBrokenTarget(admin, address string) {
	req, err := http.NewRequest(http.MethodPut, "http://"+admin+"/v1/targets/broken/"+address, strings.NewReader(`{"slots":64,"state":"warm","ttl":3000,"epoch":1}`))
	if err != nil {
		return
	}
	if res, err := httpClient.Do(req); err == nil { // it is announced again
		_ = res.Body.Close()
	}
}

func answerWithoutEnd(c net.Conn) {
	defer c.Close()
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	for _, e := range endlessResponses {
		if r.URL.Path != "/broken/"+e.name {
			continue
		}
		next := strings.ReplaceAll(e.start, "ID", r.Header.Get("Zinnia-Request"))
		for {
			if _, err := io.WriteString(c, next); err != nil {
				return
			}
			next = strings.Repeat(e.piece, 1+16<<10/len(e.piece))
		}
	}
}

// TestTargetsWithoutEnd guards against a node that runs out of memory because a target
// sends bytes without end which are no response, or no end of one, to many calls at
// once, whether their callers read them or not.
func TestTargetsWithoutEnd(t *testing.T) {
	s := runScale()
	env := []string{fmt.Sprintf("ZINNIA_MEMORY=%d", s.memory)}
	ports := startFleet(t, s.descriptors, env)
	startBrokenTarget(t, ports[adminPort].address)
	s.duration *= 5
	for _, e := range endlessResponses {
		request := fmt.Sprintf("GET /broken/%s HTTP/1.1\r\nHost: h\r\n\r\n", e.name)
		t.Run(e.name+"/read", func(t *testing.T) {
			s.play(t, ports[0], 1, func(c client) {
				for range 10 {
					c.send(request)
				}
				_, _ = io.Copy(io.Discard, c) // until the end of the load
			})
		})
		t.Run(e.name+"/unread", func(t *testing.T) {
			s.play(t, ports[0], 1, func(c client) { c.send(request) })
		})
	}
}
