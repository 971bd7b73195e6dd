package httpserver

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// caller is a client connection to a server on loopback.
type caller struct {
	t    *testing.T
	conn net.Conn
	in   *bufio.Reader
}

// serve runs a server until the test ends and returns its address.
func serve(t *testing.T, s *Server) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	done := make(chan error, 1)
	go func() { done <- s.Serve(ln) }()
	t.Cleanup(func() {
		ln.Close()
		qt.Check(t, errors.Is(<-done, http.ErrServerClosed), qt.IsTrue)
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_ = s.Shutdown(ctx)
	})
	return ln.Addr().String()
}

func dial(t *testing.T, address string) *caller {
	c, err := net.Dial("tcp", address)
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { c.Close() })
	qt.Assert(t, c.SetDeadline(time.Now().Add(time.Minute)), qt.IsNil) // ends a test that hangs
	return &caller{t: t, conn: c, in: bufio.NewReader(c)}
}

func (c *caller) send(text string) {
	_, err := io.WriteString(c.conn, strings.ReplaceAll(text, "\n", "\r\n"))
	qt.Assert(c.t, err, qt.IsNil)
}

// read returns the status and body of the next response.
func (c *caller) read() (int, string) {
	res, err := http.ReadResponse(c.in, nil)
	qt.Assert(c.t, err, qt.IsNil)
	b, err := io.ReadAll(res.Body)
	qt.Assert(c.t, err, qt.IsNil)
	return res.StatusCode, string(b)
}

// closed reports whether the server closed the connection.
func (c *caller) closed() bool {
	_, err := c.in.ReadByte()
	return err != nil
}

// signals holds channels by name, on which requests wait for each other.
type signals struct {
	mu       sync.Mutex
	channels map[string]chan struct{}
}

func (s *signals) channel(name string) chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.channels == nil {
		s.channels = map[string]chan struct{}{}
	}
	if s.channels[name] == nil {
		s.channels[name] = make(chan struct{})
	}
	return s.channels[name]
}

func echo(w http.ResponseWriter, r *http.Request) {
	b, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(w, r.URL.Path+string(b))
}

// The first request waits for the second one, so that the test hangs unless both
// run concurrently. The responses must come in the order of the requests.
func TestPipelinedRequestsRunConcurrentlyAndAreAnsweredInOrder(t *testing.T) {
	var events signals
	s := &Server{RunConcurrently: func(*http.Request) bool { return true }, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/1" {
			<-events.channel("/2")
		} else {
			close(events.channel("/2"))
		}
		echo(w, r)
	})}
	c := dial(t, serve(t, s))
	c.send("GET /1 HTTP/1.1\nHost: h\n\nPOST /2 HTTP/1.1\nHost: h\nContent-Length: 3\n\nabc")
	for _, want := range []string{"/1", "/2abc"} {
		_, body := c.read()
		qt.Check(t, body, qt.Equals, want)
	}
}

// A non-idempotent request must wait for the earlier responses of its
// connection: if one of them closed the connection, the caller would send the
// request again and it would run twice.
func TestNonIdempotentPipelinedRequestWaits(t *testing.T) {
	var mu sync.Mutex
	var order []string
	s := &Server{RunConcurrently: func(r *http.Request) bool { return r.Method == http.MethodGet }, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		order = append(order, r.URL.Path)
		mu.Unlock()
		if r.URL.Path == "/1" {
			panic(http.ErrAbortHandler)
		}
		echo(w, r)
	})}
	c := dial(t, serve(t, s))
	c.send("GET /1 HTTP/1.1\nHost: h\n\nPOST /2 HTTP/1.1\nHost: h\nContent-Length: 0\n\n")
	qt.Check(t, c.closed(), qt.IsTrue)
	mu.Lock()
	defer mu.Unlock()
	qt.Check(t, order, qt.DeepEquals, []string{"/1"})
}

// Guards against a part of a response that a caller of HTTP/1.0 takes for a complete
// one: the end of the connection marks its end.
func TestTruncatedResponseWithoutLengthIsReset(t *testing.T) {
	for _, tc := range []struct {
		path     string
		complete bool
	}{{"/whole", true}, {"/aborted", false}} {
		t.Run(tc.path, func(t *testing.T) {
			s := &Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.WriteString(w, "part of the body")
				w.(http.Flusher).Flush()
				if r.URL.Path == "/aborted" {
					panic(http.ErrAbortHandler)
				}
			})}
			c := dial(t, serve(t, s))
			c.send("GET " + tc.path + " HTTP/1.0\n\n")
			_, err := io.Copy(io.Discard, c.in)
			qt.Check(t, err == nil, qt.Equals, tc.complete, qt.Commentf("%v", err))
		})
	}
}

// The next response must not follow a truncated one: the caller would take its
// bytes for the rest of the first.
func TestNothingFollowsTruncatedResponse(t *testing.T) {
	var events signals
	s := &Server{RunConcurrently: func(*http.Request) bool { return true }, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/2" {
			close(events.channel("/2"))
			_, _ = io.WriteString(w, "second")
			return
		}
		w.Header().Set("Content-Length", "100")
		_, _ = io.WriteString(w, "half")
		w.(http.Flusher).Flush()
		<-events.channel("/2")
		panic(http.ErrAbortHandler)
	})}
	c := dial(t, serve(t, s))
	c.send("GET /1 HTTP/1.1\nHost: h\n\nGET /2 HTTP/1.1\nHost: h\n\n")
	b, _ := io.ReadAll(c.in) // only the bytes matter, not whether it ends in an error
	qt.Check(t, strings.HasSuffix(string(b), "half"), qt.IsTrue, qt.Commentf("%q", b))
}

// A disconnect must cancel all requests of the connection, also those that are
// pipelined behind an unanswered one.
func TestDisconnectCancelsRequests(t *testing.T) {
	var running, ended sync.WaitGroup
	running.Add(2)
	ended.Add(2)
	s := &Server{RunConcurrently: func(*http.Request) bool { return true }, Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		running.Done()
		<-r.Context().Done()
		ended.Done()
	})}
	c := dial(t, serve(t, s))
	c.send("GET /1 HTTP/1.1\nHost: h\n\nGET /2 HTTP/1.1\nHost: h\n\n")
	running.Wait()
	c.conn.Close()
	ended.Wait()
}

func TestBadRequestsAreRefused(t *testing.T) {
	s := &Server{Handler: http.HandlerFunc(echo), MaxHeadBytes: 1000}
	address := serve(t, s)
	for _, tc := range []struct {
		name, request string
		want          int
	}{
		{"no host", "GET / HTTP/1.1\n\n", http.StatusBadRequest},
		{"no request", "hello\n\n", http.StatusBadRequest},
		{"large head", "GET / HTTP/1.1\nHost: h\nX: " + strings.Repeat("x", 20_000) + "\n\n", http.StatusRequestHeaderFieldsTooLarge},
		{"large head cut in a name", "GET / HTTP/1.1\nHost: h\n" + strings.Repeat("x", 20_000) + ":\n\n", http.StatusRequestHeaderFieldsTooLarge},
		{"two lengths", "POST / HTTP/1.1\nHost: h\nContent-Length: 3\nContent-Length: 4\n\nabc", http.StatusBadRequest},
		{"HTTP/2", "PRI * HTTP/2.0\n\nSM\n\n", http.StatusBadRequest},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := dial(t, address)
			c.send(tc.request)
			status, _ := c.read()
			qt.Check(t, status, qt.Equals, tc.want)
			qt.Check(t, c.closed(), qt.IsTrue)
		})
	}
}

// A body that is chunked, or sent only after 100 Continue, must be read to its end:
// the rest of it would be taken for the next request of the connection.
func TestRequestBodyEncodings(t *testing.T) {
	s := &Server{Handler: http.HandlerFunc(echo)}
	c := dial(t, serve(t, s))
	c.send("POST /chunks HTTP/1.1\nHost: h\nTransfer-Encoding: chunked\n\n3\nabc\n0\n\n")
	_, body := c.read()
	qt.Check(t, body, qt.Equals, "/chunksabc")
	c.send("POST /continue HTTP/1.1\nHost: h\nExpect: 100-continue\nContent-Length: 3\n\n")
	line, err := c.in.ReadString('\n')
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, line, qt.Equals, "HTTP/1.1 100 Continue\r\n")
	_, err = c.in.ReadString('\n')
	qt.Assert(t, err, qt.IsNil)
	c.send("abc")
	_, body = c.read()
	qt.Check(t, body, qt.Equals, "/continueabc")
	c.send("GET /last HTTP/1.1\nHost: h\nConnection: close\n\n")
	_, body = c.read()
	qt.Check(t, body, qt.Equals, "/last")
	qt.Check(t, c.closed(), qt.IsTrue)
}

// Shutdown must answer every request that was read, and close each connection
// after its last response.
func TestShutdownAnswersPendingRequests(t *testing.T) {
	var events signals
	running := make(chan struct{})
	s := &Server{RunConcurrently: func(*http.Request) bool { return true }, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/2" {
			close(running)
		}
		<-events.channel("stop")
		echo(w, r)
	})}
	address := serve(t, s)
	c, idle := dial(t, address), dial(t, address)
	c.send("GET /1 HTTP/1.1\nHost: h\n\nGET /2 HTTP/1.1\nHost: h\n\n")
	<-running
	done := make(chan error, 1)
	go func() { done <- s.Shutdown(context.Background()) }()
	qt.Check(t, idle.closed(), qt.IsTrue)
	close(events.channel("stop"))
	for _, want := range []string{"/1", "/2"} {
		_, body := c.read()
		qt.Check(t, body, qt.Equals, want)
	}
	qt.Check(t, c.closed(), qt.IsTrue)
	qt.Check(t, <-done, qt.IsNil)
}
