package exithandler

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/zinniaproxy/zinniaproxy/internal/faker"
	"github.com/zinniaproxy/zinniaproxy/internal/messenger"
	"github.com/zinniaproxy/zinniaproxy/pkg/coder"
)

// failingTarget answers each call with the status that its path names.
func failingTarget(c net.Conn, body string) {
	defer c.Close()
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_, _ = fmt.Fprintf(c, "HTTP/1.1 %s Failed\r\nContent-Length: %d\r\n\r\n%s", r.URL.Path[1:], len(body), body)
	}
}

// Guards against a call that runs twice: its target fails it after it has run it,
// with a status by which the caller takes it for not run and sends it again. Other
// calls and statuses are passed on as they are.
func TestFailureOfARunCallIsNoPromise(t *testing.T) {
	promises := func(status int) bool { return status == 503 || status == 429 || status == 408 || status == 421 }
	for _, tc := range []struct {
		status   int
		once     bool
		promises func(int) bool
		withheld bool
	}{
		{503, true, promises, true},
		{429, true, promises, true},
		{408, true, promises, true},
		{421, true, promises, true},
		{503, false, promises, false},
		{429, false, promises, false},
		{500, true, promises, false},
		{504, true, promises, false},
		{409, true, promises, false},
		{200, true, promises, false},
		{503, true, nil, false},
	} {
		for _, body := range []string{"", "failed", strings.Repeat("failed", 50_000)} {
			t.Run(fmt.Sprintf("%d,once=%t,own=%t,%d", tc.status, tc.once, tc.promises == nil, len(body)), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					n := faker.NewNetwork(100 * time.Microsecond)
					ln, err := n.Listen("t:1")
					qt.Assert(t, err, qt.IsNil)
					go serveEach(ln, func(c net.Conn) { failingTarget(c, body) })
					dialect := OwnDialect()
					dialect.PromisesNotRun = tc.promises
					s := &Sender{Dialect: dialect, Dial: n.Dialer("n"), Load: func(string) Load { return Load{} }, Echo: func(string) bool { return false }}
					for i := range 2 { // the second idempotent call uses the connection of the first
						got, err := sendCall(s, &messenger.Call{Request: fmt.Sprint("r", i), Method: http.MethodPost, URI: fmt.Sprint("/", tc.status), Once: tc.once})
						if tc.withheld {
							if !qt.Check(t, err, qt.IsNotNil) {
								continue
							}
							qt.Check(t, coder.Of(err).Code, qt.Equals, coder.MisleadingStatus)
							qt.Check(t, coder.Of(err).Ran(), qt.Equals, coder.RanUnknown)
							continue
						}
						qt.Check(t, err, qt.IsNil)
						qt.Check(t, got == body, qt.IsTrue)
					}
					s.Close()
					n.Kill("t")
					time.Sleep(2 * time.Second)
				})
			})
		}
	}
}
