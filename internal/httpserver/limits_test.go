package httpserver

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/zinniaproxy/zinniaproxy/internal/accountant"
	"github.com/zinniaproxy/zinniaproxy/internal/faker"
)

// refusals collects the kinds of refusals.
type refusals struct {
	mu    sync.Mutex
	kinds []string
}

func (r *refusals) add(kind string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.kinds = append(r.kinds, kind)
}

func (r *refusals) has(kind string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Contains(r.kinds, kind)
}

// inBubble serves s in virtual time and passes a function that dials it.
func inBubble(t *testing.T, s *Server, run func(t *testing.T, dial func() net.Conn)) {
	synctest.Test(t, func(t *testing.T) {
		n := faker.NewNetwork(0)
		ln, err := n.Listen("s:80")
		qt.Assert(t, err, qt.IsNil)
		go func() { _ = s.Serve(ln) }()
		run(t, func() net.Conn {
			c, err := n.Dialer("c")(t.Context(), "s:80")
			qt.Assert(t, err, qt.IsNil)
			return c
		})
		ln.Close()
		s.Close()
		time.Sleep(time.Minute) // the connections end
	})
}

// Guards against an honest slow client that is cut off, and against one that sends
// next to nothing and holds its connection for long.
func TestMinimumRate(t *testing.T) {
	head := "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n%s\r\n"
	for _, tc := range []struct {
		name, head string
		body       int
		rate       int // bytes a second
		answered   bool
	}{
		{"honest, buffered", "", 60_000, 1100, true},
		{"honest, streamed", "Expect: 100-continue\r\n", 60_000, 1100, true},
		{"short", "", 400, 100, true},
		{"too slow, buffered", "", 60_000, 500, false},
		{"too slow, streamed", "Expect: 100-continue\r\n", 60_000, 500, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var refused refusals
			s := &Server{Handler: http.HandlerFunc(echo), Refused: refused.add}
			inBubble(t, s, func(t *testing.T, dial func() net.Conn) {
				c := dial()
				defer c.Close()
				_, err := fmt.Fprintf(c, head, tc.body, tc.head)
				qt.Assert(t, err, qt.IsNil)
				for sent := 0; sent < tc.body && err == nil; sent += tc.rate {
					_, err = io.WriteString(c, strings.Repeat("b", min(tc.rate, tc.body-sent)))
					time.Sleep(time.Second)
				}
				in := bufio.NewReader(c)
				res, err := http.ReadResponse(in, nil)
				if tc.answered && tc.head != "" { // after the 100
					res, err = http.ReadResponse(in, nil)
				}
				qt.Assert(t, err == nil && res.StatusCode == http.StatusOK, qt.Equals, tc.answered)
			})
		})
	}
}

// Guards against a reader that stops half-way and holds its response for good.
func TestReaderThatStops(t *testing.T) {
	var refused refusals
	s := &Server{Refused: refused.add, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write(make([]byte, 8<<20))
	})}
	inBubble(t, s, func(t *testing.T, dial func() net.Conn) {
		c := dial()
		defer c.Close()
		_, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		qt.Assert(t, err, qt.IsNil)
		time.Sleep(3 * time.Hour)
		qt.Check(t, s.OpenConns(), qt.Equals, 0)
	})
}

// Guards against a new client that is kept out by connections without requests, and
// against a running request that is closed for it.
func TestLimitOfConnections(t *testing.T) {
	var refused refusals
	release := make(chan struct{})
	s := &Server{MaxConns: 3, Refused: refused.add, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/wait" {
			<-release
		}
		echo(w, r)
	})}
	address := serve(t, s)
	running := dial(t, address)
	running.send("GET /wait HTTP/1.1\nHost: h\n\n")
	half, idle := dial(t, address), dial(t, address)
	half.send("GET /half HTTP/1.1\n")
	time.Sleep(3 * minStalledTime)
	for i, gone := range []*caller{idle, half} {
		c := dial(t, address)
		c.send(fmt.Sprintf("GET /%d HTTP/1.1\nHost: h\n\nGET /wait HTTP/1.1\nHost: h\n\n", i))
		_, body := c.read()
		qt.Check(t, body, qt.Equals, fmt.Sprintf("/%d", i))
		qt.Check(t, gone.closed(), qt.IsTrue)
		time.Sleep(3 * minStalledTime) // its second request runs
	}
	qt.Check(t, dial(t, address).closed(), qt.IsTrue)
	close(release)
	_, body := running.read()
	qt.Check(t, body, qt.Equals, "/wait")
	qt.Check(t, refused.has(RefusedCrowded) && refused.has(RefusedConnection), qt.IsTrue)
}

// Guards against a request within the limits that the account of the smallest setting
// of memory has no room for, although nothing else is held.
func TestLargestRequestIsServedInCalm(t *testing.T) {
	s := &Server{Handler: http.HandlerFunc(echo), Account: &accountant.Account{Limit: 8 << 20}}
	c := dial(t, serve(t, s))
	var fields strings.Builder
	for i := 0; fields.Len()+i < DefaultMaxHeadBytes-2000; i++ {
		fmt.Fprintf(&fields, "%x:\n", i)
	}
	for range 3 {
		c.send("POST /large HTTP/1.1\nHost: h\nContent-Length: 262144\n" + fields.String() + "\n" + strings.Repeat("b", maxBufferedBodyBytes))
		status, body := c.read()
		qt.Assert(t, status, qt.Equals, http.StatusOK, qt.Commentf("%.100s", body))
		qt.Check(t, len(body), qt.Equals, len("/large")+maxBufferedBodyBytes)
	}
}

// Guards against clients that stop half-way and so keep others out for good: the
// connection that holds most is refused, and an ordinary request is answered.
func TestFullAccount(t *testing.T) {
	var refused refusals
	s := &Server{Handler: http.HandlerFunc(echo), Refused: refused.add, Account: &accountant.Account{Limit: 2 << 20}}
	address := serve(t, s)
	var stopped []*caller
	for range 8 {
		c := dial(t, address)
		c.send("POST /half HTTP/1.1\nHost: h\nContent-Length: 250000\n\n" + strings.Repeat("b", 249_999))
		stopped = append(stopped, c)
	}
	c := dial(t, address)
	c.send("POST /ordinary HTTP/1.1\nHost: h\nContent-Length: 3\n\nabc")
	_, body := c.read()
	qt.Check(t, body, qt.Equals, "/ordinaryabc")
	statuses := map[int]int{}
	end := time.Now().Add(time.Second) // one refusal is enough
	for _, c := range stopped {
		_ = c.conn.SetReadDeadline(end)
		if res, err := http.ReadResponse(c.in, nil); err == nil {
			statuses[res.StatusCode]++
		}
	}
	qt.Check(t, statuses[http.StatusServiceUnavailable] > 0, qt.IsTrue, qt.Commentf("%v", statuses))
	qt.Check(t, len(statuses), qt.Equals, 1)
	qt.Check(t, refused.has(RefusedEvicted) || refused.has(RefusedMemory), qt.IsTrue)
	for _, c := range stopped {
		c.conn.Close()
	}
	c.conn.Close()
	for end := time.Now().Add(10 * time.Second); s.Account.Used() > 0 && time.Now().Before(end); {
		time.Sleep(10 * time.Millisecond)
	}
	qt.Check(t, s.Account.Used(), qt.Equals, int64(0))
}
