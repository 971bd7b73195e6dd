package exithandler

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
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

// spoiledStatusLines are status lines, without their end, that make no response.
var spoiledStatusLines = []string{
	"HTTP/1.1 000 None", "HTTP/1.1 000", "HTTP/1.1 0 None", "HTTP/1.1 00 None", "HTTP/1.1 0000 None", "HTTP/1.1 099 Unknown",
	"HTTP/1.1 1000 Unknown", "HTTP/1.1 ABC Letters", "HTTP/1.1 2O0 Letter", "HTTP/1.1 OK", "HTTP/1.1 +20 Sign", "HTTP/1.1 -00 Sign",
	"HTTP/1.1 +200 Sign", "HTTP/1.1 ", "HTTP/1.1", "", "HTTP/1.1 101 Switching Protocols", "HTTP/1.1 600 Unknown", "HTTP/1.1 999 Unknown",
}

// interims are what precedes the spoiled response.
var interims = []string{
	"", "HTTP/1.1 100 Continue\r\n\r\n",
	strings.Repeat("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n", 3),
}

// checkInPieces runs a check on bytes that arrive in pieces of the given sizes.
func checkInPieces(bytes string, sizes ...int) error {
	var s statusCheck
	for i := 0; len(bytes) > 0; i++ {
		n := min(sizes[i%len(sizes)], len(bytes))
		if err := s.read([]byte(bytes[:n])); err != nil {
			return err
		}
		bytes = bytes[n:]
	}
	return nil
}

// Each form must be found wherever the bytes are split, in front or behind interim
// responses.
func TestStatusCheckFindsEachForm(t *testing.T) {
	for _, line := range spoiledStatusLines {
		t.Run(fmt.Sprintf("%q", line), func(t *testing.T) {
			for _, interim := range interims {
				for size := 1; size < 50; size++ {
					err := checkInPieces(interim+line+"\r\nContent-Length: 0\r\n\r\n", size)
					qt.Check(t, err, qt.IsNotNil, qt.Commentf("behind %q in pieces of %d", interim, size))
				}
			}
		})
	}
}

func TestStatusCheckPassesValidStatuses(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		status := rapid.IntRange(200, 599).Draw(r, "status")
		interim := rapid.SampledFrom(interims).Draw(r, "interim")
		reason := rapid.SampledFrom([]string{"", " ", " OK", " " + strings.Repeat("x", 200)}).Draw(r, "reason")
		end := rapid.SampledFrom([]string{"\n", "\r\n"}).Draw(r, "end")
		sizes := rapid.SliceOfN(rapid.IntRange(1, 300), 1, 5).Draw(r, "sizes")
		body := end + end + "HTTP/1.1 000 in the body" + end
		if err := checkInPieces(fmt.Sprintf("%sHTTP/1.1 %d%s%s%s", interim, status, reason, end, body), sizes...); err != nil {
			r.Fatalf("%v", err)
		}
	})
}

// Guards against a status that net/http had read before the connection was handed on,
// so that the check of the connection does not see it.
func TestRelayRefusesStatusThatEndsNoRequest(t *testing.T) {
	for _, status := range []int{0, 20, 99, 100, 101, 199, 600, 999, 1000} {
		s := &Sender{Dialect: OwnDialect(), Load: func(string) Load { return Load{} }, Echo: func(string) bool { return false }}
		s.setupOnce.Do(s.initTransports)
		j := &Job{Call: &messenger.Call{Method: http.MethodGet}, Response: ResponseSink{
			Head: func(h messenger.ResponseHead, _ bool) error { t.Errorf("status %d passed on", h.Status); return nil },
		}}
		err := s.relay(t.Context(), j, &http.Response{StatusCode: status, Header: http.Header{}, Body: http.NoBody}, true, time.Now())
		qt.Assert(t, err, qt.IsNotNil, qt.Commentf("status %d", status))
		qt.Check(t, coder.Of(err).Code, qt.Equals, coder.Cut)
		qt.Check(t, j.Outcome.Result, qt.Equals, CutShort)
	}
}

// spoilingTarget sends a spoiled response to the request "spoiled", and right behind
// it, or a moment later, the real one.
type spoilingTarget struct {
	spoiled string
	// before and between are how long the target waits before the spoiled and
	// before the real response.
	before, between time.Duration
	// echo makes each response repeat the request's ID.
	echo     bool
	requests atomic.Int64 // how many times "spoiled" arrived
}

func (st *spoilingTarget) serveConn(c net.Conn) {
	defer c.Close()
	sound := &rawTarget{echo: st.echo}
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		id := r.Header.Get(RequestHeader)
		if id == "spoiled" {
			st.requests.Add(1)
			time.Sleep(st.before)
			_, _ = c.Write([]byte(st.spoiled))
			time.Sleep(st.between)
		}
		_, _ = c.Write(sound.response(id))
	}
}

func withSpoilingTarget(t *testing.T, target *spoilingTarget, test func(t *testing.T, s *Sender)) {
	synctest.Test(t, func(t *testing.T) {
		n := faker.NewNetwork(100 * time.Microsecond)
		ln, err := n.Listen("t:1")
		qt.Assert(t, err, qt.IsNil)
		go serveEach(ln, target.serveConn)
		s := &Sender{Dialect: OwnDialect(), Dial: n.Dialer("n"), Load: func(string) Load { return Load{} }, Echo: func(string) bool { return target.echo }}
		s.Dialect.NotRun = func(_ int, h http.Header) bool { return h.Get(RanHeader) == string(coder.RanNo) }
		test(t, s)
		s.Close()
		n.Kill("t")
		time.Sleep(2 * time.Second)
	})
}

// Guards against a caller that gets a status which ends no request, or which no
// client can parse, and then another request's response; against a refusal that says
// "not run"; and against a target that gets the request a second time without that
// its failure is counted, as on connections that were idle.
func TestStatusThatEndsNoRequestIsNoResponse(t *testing.T) {
	fields := []string{
		"Content-Length: 0\r\n", "Content-Length: 4\r\n", "Connection: Upgrade\r\nUpgrade: other\r\n", RanHeader + ": no\r\nContent-Length: 0\r\n",
	}
	for _, line := range spoiledStatusLines {
		for _, idle := range []time.Duration{newConnection, 0, 2 * minIdleTime} {
			for _, once := range []bool{false, true} {
				t.Run(fmt.Sprintf("%q idle %v once %v", line, idle, once), func(t *testing.T) {
					for _, interim := range interims {
						for _, field := range fields {
							checkSpoiledStatus(t, interim+line+"\r\n"+RequestHeader+": spoiled\r\n"+field+"\r\n", idle, once)
						}
					}
				})
			}
		}
	}
}

// newConnection stands for a connection without an earlier request.
const newConnection time.Duration = -1

// checkSpoiledStatus sends a call that gets a spoiled response, after the connection
// was idle for a time.
func checkSpoiledStatus(t *testing.T, spoiled string, idle time.Duration, once bool) {
	target := &spoilingTarget{spoiled: spoiled, echo: true}
	withSpoilingTarget(t, target, func(t *testing.T, s *Sender) {
		if idle != newConnection {
			_, err := sendOne(s, "first")
			qt.Check(t, err, qt.IsNil)
			time.Sleep(idle)
		}
		body, err := sendCall(s, &messenger.Call{Request: "spoiled", Method: http.MethodGet, URI: "/", Once: once})
		qt.Check(t, err, qt.IsNotNil, qt.Commentf("response %q to %q", body, spoiled))
		if err != nil {
			qt.Check(t, coder.Of(err).Code, qt.Equals, coder.Cut)
			qt.Check(t, coder.Lookup(coder.Of(err).Code).Status, qt.Equals, http.StatusBadGateway)
		}
		// A second run on another connection would hide the target's failure.
		qt.Check(t, target.requests.Load(), qt.Equals, int64(1), qt.Commentf("%q", spoiled))
		body, err = sendOne(s, "next")
		qt.Check(t, err, qt.IsNil)
		qt.Check(t, body, qt.Equals, "for next")
	})
}

// Guards against the reuse of the connection by a call that waits for one while the
// spoiled response arrives: it would get the real response to the spoiled request,
// which only an echoed ID tells apart.
func TestConnectionOfInvalidStatusIsNotHandedOn(t *testing.T) {
	for _, line := range spoiledStatusLines {
		target := &spoilingTarget{spoiled: line + "\r\nContent-Length: 0\r\n\r\n", before: 5 * time.Millisecond, between: time.Millisecond}
		withSpoilingTarget(t, target, func(t *testing.T, s *Sender) {
			dial, dials := s.Dial, 0
			s.Dial = func(ctx context.Context, address string) (net.Conn, error) {
				if dials++; dials > 1 {
					time.Sleep(20 * time.Millisecond) // so that a freed connection comes first
				}
				return dial(ctx, address)
			}
			go func() { _, _ = sendOne(s, "spoiled") }()
			time.Sleep(time.Millisecond)
			body, err := sendOne(s, "other")
			if err == nil {
				qt.Check(t, body, qt.Equals, "for other", qt.Commentf("%q", line))
			}
		})
	}
}
