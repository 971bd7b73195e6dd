package httpserver

import (
	"io"
	"net/http"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against a request that runs behind a response which may break off, and whose
// own response is lost then.
func TestNoRequestBeginsBehindAStream(t *testing.T) {
	for _, breaksOff := range []bool{false, true} {
		var mu sync.Mutex
		var order []string
		note := func(what string) {
			mu.Lock()
			defer mu.Unlock()
			order = append(order, what)
		}
		streaming, end := make(chan struct{}), make(chan struct{})
		s := &Server{RunConcurrently: func(*http.Request) bool { return true }, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path != "/stream" {
				note("begin " + r.URL.Path)
				return
			}
			qt.Check(t, w.(interface{ StartStream() bool }).StartStream(), qt.IsTrue)
			w.Header().Set("Content-Length", "8")
			_, _ = io.WriteString(w, "half")
			w.(http.Flusher).Flush()
			close(streaming)
			<-end
			note("end /stream")
			if breaksOff {
				panic(http.ErrAbortHandler)
			}
			_, _ = io.WriteString(w, "half")
		})}
		c := dial(t, serve(t, s))
		c.send("GET /stream HTTP/1.1\nHost: h\n\n")
		<-streaming
		c.send("GET /2 HTTP/1.1\nHost: h\n\nGET /3 HTTP/1.1\nHost: h\n\n")
		close(end)
		if breaksOff {
			_, _ = io.Copy(io.Discard, c.in) // until the connection is closed or reset
			mu.Lock()
			qt.Check(t, order, qt.DeepEquals, []string{"end /stream"})
			mu.Unlock()
			continue
		}
		for range 3 {
			status, _ := c.read()
			qt.Check(t, status, qt.Equals, http.StatusOK)
		}
		mu.Lock()
		qt.Check(t, order[0], qt.Equals, "end /stream")
		qt.Check(t, order, qt.HasLen, 3)
		mu.Unlock()
	}
}

// Guards against a response that is streamed although requests behind it run already.
func TestStreamKnowsOfRequestsBehind(t *testing.T) {
	begun := make(chan struct{})
	s := &Server{RunConcurrently: func(*http.Request) bool { return true }, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/2" {
			close(begun)
			return
		}
		<-begun
		qt.Check(t, w.(interface{ StartStream() bool }).StartStream(), qt.IsFalse)
	})}
	c := dial(t, serve(t, s))
	c.send("GET /1 HTTP/1.1\nHost: h\n\nGET /2 HTTP/1.1\nHost: h\n\n")
	for range 2 {
		status, _ := c.read()
		qt.Check(t, status, qt.Equals, http.StatusOK)
	}
}
