package httpserver

import (
	"io"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against requests that run long after their callers have left: a close was
// not noticed while a request ran whose body came in chunks or after 100 Continue.
func TestDisconnectCancelsRequestsWithStreamedBodies(t *testing.T) {
	for _, request := range []string{
		"POST /1 HTTP/1.1\nHost: h\nTransfer-Encoding: chunked\n\n3\nabc\n0\n\n",
		"POST /1 HTTP/1.1\nHost: h\nExpect: 100-continue\nContent-Length: 3\n\nabc",
	} {
		running, canceled := make(chan struct{}), make(chan struct{})
		s := &Server{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			b, err := io.ReadAll(r.Body)
			qt.Check(t, err, qt.IsNil)
			qt.Check(t, string(b), qt.Equals, "abc")
			close(running)
			<-r.Context().Done()
			close(canceled)
		})}
		c := dial(t, serve(t, s))
		c.send(request)
		<-running
		c.conn.Close()
		select {
		case <-canceled:
		case <-time.After(5 * time.Second):
			t.Fatal("the request runs on after its caller has left")
		}
	}
}

// A request behind a streamed body is read once that has ended, and answered in
// order, whether the handler reads the body or not.
func TestRequestsBehindStreamedBodies(t *testing.T) {
	s := &Server{RunConcurrently: anyConcurrently, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/unread" {
			_, _ = io.WriteString(w, "unread")
			return
		}
		echo(w, r)
		if r.URL.Path == "/slow" {
			time.Sleep(20 * time.Millisecond)
		}
	})}
	c := dial(t, serve(t, s))
	const chunks = "Transfer-Encoding: chunked\n\n3\nabc\n0\n\n"
	c.send("POST /slow HTTP/1.1\nHost: h\n" + chunks + "GET /2 HTTP/1.1\nHost: h\n\nPOST /unread HTTP/1.1\nHost: h\n" + chunks +
		"POST /4 HTTP/1.1\nHost: h\n" + chunks + "GET /5 HTTP/1.1\nHost: h\nConnection: close\n\n")
	for _, want := range []string{"/slowabc", "/2", "unread", "/4abc", "/5"} {
		_, body := c.read()
		qt.Check(t, body, qt.Equals, want)
	}
	qt.Check(t, c.closed(), qt.IsTrue)
}
