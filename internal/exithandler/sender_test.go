package exithandler

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/zinniaproxy/zinniaproxy/internal/faker"
	"github.com/zinniaproxy/zinniaproxy/internal/messenger"
	"github.com/zinniaproxy/zinniaproxy/pkg/coder"
)

// rawTarget writes its responses directly to the connection, so that it can do
// what no HTTP library does: respond twice, late, for another request, or with a
// truncated response.
type rawTarget struct {
	// echo makes each response repeat the request's ID.
	echo bool
	// behavior returns how to respond to the next request.
	behavior func() string
}

func (t *rawTarget) serve(ln net.Listener) { serveEach(ln, t.serveConn) }

// serveEach runs serve on each connection until the listener is closed.
func serveEach(ln net.Listener, serve func(net.Conn)) {
	for {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		go serve(conn)
	}
}

func (t *rawTarget) serveConn(c net.Conn) {
	defer c.Close()
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		id := r.Header.Get(RequestHeader)
		response := t.response(id)
		switch t.behavior() {
		case "double":
			_, _ = c.Write(append(bytes.Clone(response), response...))
		case "double-later":
			_, _ = c.Write(response)
			time.Sleep(time.Millisecond)
			_, _ = c.Write(response)
		case "late":
			time.Sleep(time.Second)
			_, _ = c.Write(response)
		case "mismatch":
			_, _ = c.Write(t.response("other"))
		case "truncate":
			_, _ = c.Write(response[:len(response)-3])
			return
		case "undelimited":
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nfor %s", id)
			return
		default:
			_, _ = c.Write(response)
		}
	}
}

func (t *rawTarget) response(id string) []byte {
	body := "for " + id
	echo := ""
	if t.echo {
		echo = RequestHeader + ": " + id + "\r\n"
	}
	return fmt.Appendf(nil, "HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", echo, len(body), body)
}

// sendOne sends one request and returns the complete response body.
func sendOne(s *Sender, id string) (string, error) {
	return sendCall(s, &messenger.Call{Request: id, Method: http.MethodGet, URI: "/"})
}

// sendCall sends a call and returns the body of its response.
func sendCall(s *Sender, call *messenger.Call) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	var body []byte
	complete := false
	deadline, _ := ctx.Deadline()
	err := s.Send(ctx, &Job{
		Call:     call,
		Target:   messenger.Target{Name: "t", Address: "t:1", Service: "s"},
		Deadline: deadline,
		Response: ResponseSink{
			Head: func(h messenger.ResponseHead, last bool) error { body, complete = h.Body, last; return nil },
			Body: func(b []byte, last bool) error { body, complete = append(body, b...), last; return nil },
		},
	})
	if err == nil && !complete {
		err = fmt.Errorf("sender reported a truncated response as complete")
	}
	return string(body), err
}

func withTarget(t *testing.T, target *rawTarget, echo bool, test func(t *testing.T, s *Sender)) {
	synctest.Test(t, func(t *testing.T) {
		n := faker.NewNetwork(100 * time.Microsecond)
		ln, err := n.Listen("t:1")
		qt.Assert(t, err, qt.IsNil)
		go target.serve(ln)
		s := &Sender{
			Dialect: OwnDialect(),
			Dial:    n.Dialer("n"), Load: func(string) Load { return Load{} },
			Echo: func(string) bool { return echo },
		}
		test(t, s)
		s.Close()
		n.Kill("t")
		time.Sleep(2 * time.Second)
	})
}

// TestResponsesAreCompleteAndMatchTheirRequest sends requests to a target that
// duplicates, delays, mismatches and truncates its responses. Each request must
// get its own complete response or a refusal that does not say "not run".
func TestResponsesAreCompleteAndMatchTheirRequest(t *testing.T) {
	behaviors := []string{"complete", "double", "double-later", "late", "mismatch", "truncate", "undelimited"}
	rapid.Check(t, func(r *rapid.T) {
		plan := rapid.SliceOfN(rapid.SampledFrom(behaviors), 1, 30).Draw(r, "behaviors")
		var i atomic.Int64
		target := &rawTarget{echo: true, behavior: func() string { return plan[int(i.Add(1)-1)%len(plan)] }}
		withTarget(t, target, true, func(_ *testing.T, s *Sender) {
			for n, behavior := range plan {
				id := fmt.Sprintf("r%d", n)
				body, err := sendOne(s, id)
				switch {
				case err == nil && body != "for "+id:
					r.Errorf("%s (%s) got %q", id, behavior, body)
				case err != nil && coder.Of(err).Ran() == coder.RanNo:
					r.Errorf("%s (%s): %v says not run", id, behavior, err)
				}
			}
		})
	})
}

// TestEchoDetectsMismatchedResponses shows why services have Echo: without it
// the second response of a target is taken for the next request's.
func TestEchoDetectsMismatchedResponses(t *testing.T) {
	for _, echo := range []bool{false, true} {
		mismatched := 0
		target := &rawTarget{echo: echo, behavior: func() string { return "double-later" }}
		withTarget(t, target, echo, func(t *testing.T, s *Sender) {
			for n := range 20 {
				id := fmt.Sprintf("r%d", n)
				body, err := sendOne(s, id)
				if err == nil && body != "for "+id {
					mismatched++
				}
				time.Sleep(700 * time.Microsecond)
			}
		})
		if echo {
			qt.Check(t, mismatched, qt.Equals, 0)
		} else {
			qt.Check(t, mismatched > 0, qt.IsTrue, qt.Commentf("%d mismatched", mismatched))
		}
	}
}

// TestNonIdempotentCallIsNeverResent sends a non-idempotent GET, on which the
// target closes the connection, after another call left a pooled connection.
// net/http resends a GET by itself when a pooled connection closes, which would
// run the call twice.
func TestNonIdempotentCallIsNeverResent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := faker.NewNetwork(100 * time.Microsecond)
		ln, err := n.Listen("t:1")
		qt.Assert(t, err, qt.IsNil)
		arrivals := make(chan string, 100)
		go func() {
			for {
				c, err := ln.Accept()
				if err != nil {
					return
				}
				go func() {
					in := bufio.NewReader(c)
					for range 2 {
						r, err := http.ReadRequest(in)
						if err != nil {
							break
						}
						arrivals <- r.Header.Get(RequestHeader)
						if r.Header.Get(RequestHeader) == "warm" {
							_, _ = c.Write((&rawTarget{}).response("warm"))
						} else {
							break
						}
					}
					_ = c.Close()
				}()
			}
		}()
		s := &Sender{Dialect: OwnDialect(), Dial: n.Dialer("n"), Load: func(string) Load { return Load{} }, Echo: func(string) bool { return false }}
		_, err = sendOne(s, "warm")
		qt.Assert(t, err, qt.IsNil)
		err = s.Send(t.Context(), &Job{
			Call:     &messenger.Call{Request: "once", Method: http.MethodGet, URI: "/", Once: true},
			Target:   messenger.Target{Name: "t", Address: "t:1"},
			Deadline: time.Now().Add(time.Second),
		})
		qt.Check(t, coder.Of(err).Code, qt.Equals, coder.Cut)
		s.Close()
		n.Kill("t")
		synctest.Wait()
		close(arrivals)
		count := 0
		for id := range arrivals {
			if id == "once" {
				count++
			}
		}
		qt.Check(t, count, qt.Equals, 1)
	})
}
