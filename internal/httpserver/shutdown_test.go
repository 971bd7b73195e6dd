package httpserver

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func anyConcurrently(*http.Request) bool { return true }

// readHead returns the status of the next response and whether it closes the
// connection.
func (c *caller) readHead() (status int, closes bool) {
	res, err := http.ReadResponse(c.in, nil)
	qt.Assert(c.t, err, qt.IsNil)
	_, err = io.Copy(io.Discard, res.Body)
	qt.Assert(c.t, err, qt.IsNil)
	return res.StatusCode, res.Close
}

// Guards against a response that waits, until the process ends, behind one that
// does not come: requests behind others do not run at a leaving server, and the
// first response closes the connection.
func TestLeavingServerRunsNoRequestBehindAnother(t *testing.T) {
	for _, closeHeader := range []bool{false, true} {
		var ran []string
		release := make(chan struct{})
		s := &Server{RunConcurrently: anyConcurrently, Leaving: func() bool { return true }, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			ran = append(ran, r.URL.Path)
			if closeHeader {
				w.Header().Set("Connection", "close")
			}
			<-release
			echo(w, r)
		})}
		c := dial(t, serve(t, s))
		c.send("GET /1 HTTP/1.1\nHost: h\n\nGET /2 HTTP/1.1\nHost: h\n\nPOST /3 HTTP/1.1\nHost: h\nTransfer-Encoding: chunked\n\n0\n\n")
		for len(s.Unanswered()) < 3 {
			time.Sleep(time.Millisecond)
		}
		close(release)
		_, closes := c.readHead()
		qt.Check(t, closes, qt.IsTrue)
		qt.Check(t, c.closed(), qt.IsTrue)
		qt.Check(t, ran, qt.DeepEquals, []string{"/1"})
	}
}

// Guards against a response that says that the connection closes while a later
// request of the connection runs: its response would never be read.
func TestOnlyTheLastResponseClosesTheConnection(t *testing.T) {
	var leaving atomic.Bool
	var running sync.WaitGroup
	running.Add(3)
	release := make(chan struct{})
	s := &Server{RunConcurrently: anyConcurrently, Leaving: leaving.Load, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/4" {
			t.Error("/4 runs while the server is leaving")
		} else {
			running.Done()
		}
		<-release
		w.Header().Set("Connection", "close")
		echo(w, r)
	})}
	c := dial(t, serve(t, s))
	c.send("GET /1 HTTP/1.1\nHost: h\n\nGET /2 HTTP/1.1\nHost: h\n\nGET /3 HTTP/1.1\nHost: h\n\n")
	running.Wait()
	leaving.Store(true)
	c.send("GET /4 HTTP/1.1\nHost: h\n\n")
	close(release)
	for _, last := range []bool{false, false, true} {
		_, closes := c.readHead()
		qt.Check(t, closes, qt.Equals, last)
	}
	qt.Check(t, c.closed(), qt.IsTrue)
}

// Guards against the loss of a response that is ready when the server ends, because
// an earlier one of its connection is not.
func TestAbortWritesResponsesBehindUnfinishedOnes(t *testing.T) {
	s := &Server{RunConcurrently: anyConcurrently, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/hang" {
			<-r.Context().Done()
			http.Error(w, "", http.StatusBadGateway)
			return
		}
		echo(w, r)
	})}
	c := dial(t, serve(t, s))
	c.send("GET /hang HTTP/1.1\nHost: h\n\nGET /2 HTTP/1.1\nHost: h\n\nGET /hang HTTP/1.1\nHost: h\n\nGET /4 HTTP/1.1\nHost: h\n\n")
	held := func() int {
		n := 0
		for _, u := range s.Unanswered() {
			if u.Held {
				n++
			}
		}
		return n
	}
	for held() < 2 {
		time.Sleep(time.Millisecond)
	}
	qt.Assert(t, s.Abort(t.Context()), qt.IsNil)
	for _, want := range []int{http.StatusBadGateway, http.StatusOK, http.StatusBadGateway, http.StatusOK} {
		status, _ := c.readHead()
		qt.Check(t, status, qt.Equals, want)
	}
}

// Guards against a connection that is closed as idle while a request on it is being
// read: that request would run without a response.
func TestShutdownAnswersWhatItReads(t *testing.T) {
	for range 40 {
		var mu sync.Mutex
		var ran []string
		s := &Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			mu.Lock()
			ran = append(ran, r.URL.Path)
			mu.Unlock()
			echo(w, r)
		})}
		address := serve(t, s)
		var answered []string
		var wg sync.WaitGroup
		for i := range 20 {
			c := dial(t, address)
			c.send("GET /first HTTP/1.1\nHost: h\n\n")
			c.read()
			wg.Go(func() {
				path := fmt.Sprintf("/%d", i)
				// The connection may be closed already.
				_, _ = io.WriteString(c.conn, "GET "+path+" HTTP/1.1\r\nHost: h\r\n\r\n")
				if res, err := http.ReadResponse(c.in, nil); err == nil && res.StatusCode == http.StatusOK {
					mu.Lock()
					answered = append(answered, path)
					mu.Unlock()
				}
				c.conn.Close()
			})
		}
		qt.Assert(t, s.Shutdown(context.Background()), qt.IsNil)
		wg.Wait()
		ran = slices.DeleteFunc(ran, func(path string) bool { return path == "/first" })
		slices.Sort(ran)
		slices.Sort(answered)
		qt.Assert(t, answered, qt.DeepEquals, ran)
	}
}

// Guards against bytes behind the response that closes the connection: neither the
// refusal of a malformed request nor 100 Continue may follow it.
func TestNothingFollowsTheClosingResponse(t *testing.T) {
	for _, behind := range []string{"malformed\n\n", "POST /2 HTTP/1.1\nHost: h\nExpect: 100-continue\nContent-Length: 3\n\n"} {
		release := make(chan struct{})
		s := &Server{Leaving: func() bool { return true }, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			<-release
			echo(w, r)
		})}
		c := dial(t, serve(t, s))
		c.send("GET /1 HTTP/1.1\nHost: h\n\n" + behind)
		for len(s.Unanswered()) < 2 {
			time.Sleep(time.Millisecond)
		}
		close(release)
		_, closes := c.readHead()
		if closes {
			qt.Check(t, c.closed(), qt.IsTrue)
			continue
		}
		status, closes := c.readHead()
		qt.Check(t, status, qt.Equals, http.StatusBadRequest)
		qt.Check(t, closes, qt.IsTrue)
		qt.Check(t, c.closed(), qt.IsTrue)
	}
}
