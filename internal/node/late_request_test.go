package node

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// openConn is a caller's connection to a node.
type openConn struct {
	net.Conn
	in *bufio.Reader
}

// connect opens a connection to a node and sends a first request on it, so that the
// node knows it as a persistent one.
func (f *testFleet) connect(node string) *openConn {
	conn, err := f.network.Dialer("caller")(f.t.Context(), node+":80")
	qt.Assert(f.t, err, qt.IsNil)
	f.onClose(func() { conn.Close() })
	c := &openConn{Conn: conn, in: bufio.NewReader(conn)}
	c.write(f.t, http.MethodPost, "/book/first/quick", "")
	qt.Assert(f.t, c.read(), qt.Equals, "200")
	return c
}

// write sends a request with the given header lines and no body.
func (c *openConn) write(t *testing.T, method, path, lines string) {
	_, err := fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n%s\r\n", method, path, lines)
	qt.Assert(t, err, qt.IsNil)
}

// read returns the status of the next response and the code of a refusal, or
// "closed".
func (c *openConn) read() string {
	res, err := http.ReadResponse(c.in, nil)
	if err != nil {
		return "closed"
	}
	defer res.Body.Close()
	if code := res.Header.Get("Zinnia-Code"); code != "0" {
		return fmt.Sprintf("%d code %s", res.StatusCode, code)
	}
	return fmt.Sprint(res.StatusCode)
}

// Guards against requests that a stopping node takes shortly before its end, passes
// on and then breaks off. The route's deadline is 3 s and the target never answers
// "hang".
func TestStoppingNodeRefusesRequestsThatMayOutlastIt(t *testing.T) {
	const hang, quick = "/book/1/hang", "/book/1/quick"
	for _, tc := range []struct {
		name        string
		grace       float64       // seconds
		at          time.Duration // after the stop signal
		path, lines string
		want        string
	}{
		{"while callers may not know", 6, 2900 * time.Millisecond, quick, "", "200"},
		{"that may outlast it", 6, 3050 * time.Millisecond, hang, "", "503 code 501"},
		{"a route that may repeat", 6, 3050 * time.Millisecond, "/stock/1/hang", "", "503 code 501"},
		{"that ends in time", 6, 3050 * time.Millisecond, quick, "Zinnia-Timeout: 2000\r\n", "200"},
		{"that times out in time", 6, 3050 * time.Millisecond, hang, "Zinnia-Timeout: 2000\r\n", "504 code 304"},
		{"with more time", 10, 4100 * time.Millisecond, hang, "Zinnia-Timeout: 2000\r\n", "504 code 304"},
		{"with less time, that may outlast it", 5, 2600 * time.Millisecond, hang, "", "503 code 501"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newTestFleet(t, "a", "b")
				defer f.close()
				f.notice, f.linger, f.keep, f.grace = 500, 2300, 1300, tc.grace
				f.configure(openFleetJSON)
				for i, name := range f.names {
					f.startNode(name, "one")
					f.startTarget("t"+name, name, "booking", 9000+i, 100)
				}
				time.Sleep(3 * time.Second)
				c := f.connect("a")
				var stopped sync.WaitGroup
				stopped.Go(func() { _ = f.nodes["a"].stop() })
				time.Sleep(tc.at)
				c.write(t, http.MethodPost, tc.path, tc.lines)
				qt.Check(t, c.read(), qt.Equals, tc.want)
				qt.Check(t, c.read(), qt.Equals, "closed")
				stopped.Wait()
			})
		})
	}
}

// Guards against a response that is ready but waits behind another one of its
// connection until the node's process ends. The connection is cut when Run returns,
// as it is when a process ends.
func TestStoppingNodeDeliversReadyResponses(t *testing.T) {
	for _, sentBefore := range []time.Duration{-100 * time.Millisecond, 100 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			f := newTestFleet(t, "a", "b")
			defer f.close()
			f.notice, f.linger, f.keep, f.grace = 500, 2300, 1300, 6
			f.configure(strings.ReplaceAll(openFleetJSON, `"deadline": 3000`, `"deadline": 20000`))
			for i, name := range f.names {
				f.startNode(name, "one")
				f.startTarget("t"+name, name, "booking", 9000+i, 100)
			}
			time.Sleep(3 * time.Second)
			c := f.connect("a")
			send := func() {
				c.write(t, http.MethodGet, "/stock/1/hang", "")
				c.write(t, http.MethodGet, "/stock/2/quick", "")
			}
			if sentBefore < 0 {
				send()
				time.Sleep(-sentBefore)
			}
			var stopped sync.WaitGroup
			stopped.Go(func() {
				_ = f.nodes["a"].stop()
				f.network.Kill("a")
			})
			if sentBefore > 0 {
				time.Sleep(sentBefore)
				send()
			}
			began := time.Now()
			qt.Check(t, c.read(), qt.Equals, "502 code 302")
			qt.Check(t, time.Since(began) > 5*time.Second, qt.IsTrue)
			want := "200"
			if sentBefore > 0 {
				want = "closed" // it was not passed on, and the first response closes the connection
			}
			qt.Check(t, c.read(), qt.Equals, want)
			stopped.Wait()
			qt.Check(t, f.countRuns("/stock/2")["/stock/2/quick"], qt.Equals, map[string]int{"200": 1}[want])
		})
	}
}
