package exithandler

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/zinniaproxy/zinniaproxy/internal/faker"
	"github.com/zinniaproxy/zinniaproxy/internal/messenger"
)

// poolTarget keeps its connections open until it is told to break each one on the
// next request.
type poolTarget struct {
	mu       sync.Mutex
	breaking bool
	arrivals int
	// framings are how the bodies of the requests were delimited.
	framings map[string]bool
}

func (t *poolTarget) serveConn(c net.Conn) {
	defer c.Close()
	in := bufio.NewReader(c)
	for fresh := true; ; fresh = false {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		t.mu.Lock()
		t.arrivals++
		t.framings[fmt.Sprintf("%s %d %v", r.Method, r.ContentLength, r.TransferEncoding)] = true
		breaks := t.breaking && !fresh
		t.mu.Unlock()
		if breaks {
			return
		}
		time.Sleep(10 * time.Millisecond)
		body := "for " + r.Header.Get(RequestHeader)
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", RequestHeader, r.Header.Get(RequestHeader), len(body), body)
	}
}

// Guards against repeats that no budget pays for: a call that breaks off on a kept
// connection must not go through all kept connections of its target, one after the
// other. Only where the target may have closed an idle one it is sent once more.
func TestBrokenKeptConnectionsAreTriedOnce(t *testing.T) {
	keyed := []messenger.Field{{Name: "Idempotency-Key", Value: "k"}}
	for _, tc := range []struct {
		name     string
		call     messenger.Call
		idle     time.Duration
		arrivals int
		served   bool
		framing  string
	}{
		{"in use", messenger.Call{Method: http.MethodGet}, 0, 1, false, "GET 0 []"},
		{"idle", messenger.Call{Method: http.MethodGet}, 2 * minIdleTime, 2, true, "GET 0 []"},
		{"POST with a key and no body", messenger.Call{Method: http.MethodPost, Header: keyed}, 0, 1, true, "POST 0 []"},
		{"POST with a key", messenger.Call{Method: http.MethodPost, Header: keyed, Body: []byte("b")}, 0, 1, false, "POST 1 []"},
		{"TRACE", messenger.Call{Method: http.MethodTrace}, 0, 1, true, "TRACE 0 []"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := faker.NewNetwork(100 * time.Microsecond)
				ln, err := n.Listen("t:1")
				qt.Assert(t, err, qt.IsNil)
				target := &poolTarget{framings: map[string]bool{}}
				go serveEach(ln, target.serveConn)
				s := &Sender{Dialect: OwnDialect(), Dial: n.Dialer("n"), Load: func(string) Load { return Load{} }, Echo: func(string) bool { return true }}
				var calls sync.WaitGroup
				for i := range 8 {
					calls.Go(func() { _, _ = sendOne(s, fmt.Sprintf("r%d", i)) })
				}
				calls.Wait()
				time.Sleep(tc.idle)
				target.mu.Lock()
				target.breaking, target.arrivals = true, 0
				target.mu.Unlock()
				call := tc.call
				call.Request, call.URI = "last", "/"
				_, err = sendCall(s, &call)
				qt.Check(t, err == nil, qt.Equals, tc.served, qt.Commentf("%v", err))
				target.mu.Lock()
				qt.Check(t, target.arrivals, qt.Equals, tc.arrivals)
				qt.Check(t, target.framings, qt.DeepEquals, map[string]bool{"GET 0 []": true, tc.framing: true})
				target.mu.Unlock()

				ln.Close()
				n.Kill("t")
				s.Close()
				time.Sleep(2 * time.Second)
			})
		})
	}
}
