package exithandler

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"testing/synctest"

	qt "github.com/frankban/quicktest"

	"github.com/zinniaproxy/zinniaproxy/internal/faker"
	"github.com/zinniaproxy/zinniaproxy/pkg/coder"
)

// refusingTarget refuses the first call and writes that refusal once more when the
// next call arrives on the same connection, which it runs.
type refusingTarget struct {
	// echo makes each response name the request.
	echo bool

	mu      sync.Mutex
	refused bool
	ran     map[string]bool
}

func (t *refusingTarget) serveConn(c net.Conn) {
	defer c.Close()
	in := bufio.NewReader(c)
	refusal := ""
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		id, named := r.Header.Get(RequestHeader), ""
		if t.echo {
			named = RequestHeader + ": " + id + "\r\n"
		}
		t.mu.Lock()
		refuse := !t.refused && id != "warm"
		t.refused = t.refused || refuse
		t.ran[id] = t.ran[id] || !refuse
		t.mu.Unlock()
		switch {
		case refuse:
			refusal = fmt.Sprintf("HTTP/1.1 503 Busy\r\n%s%s: %s\r\nContent-Length: 0\r\n\r\n", named, RanHeader, coder.RanNo)
			_, _ = c.Write([]byte(refusal))
			continue
		case refusal != "":
			_, _ = c.Write([]byte(refusal))
			time.Sleep(10 * time.Millisecond) // the call runs
		}
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%sContent-Length: 2\r\n\r\nok", named)
	}
}

// Guards against callers that are told "not run" of a call that a target runs: the
// target writes an earlier refusal once more on a kept connection, of another
// request or of the same one, which is tried again.
func TestRepeatedRefusalIsNotBelieved(t *testing.T) {
	for _, tc := range []struct {
		name        string
		echo        bool
		first, next string
	}{
		{"another request, no names", false, "r1", "r2"},
		{"another request", true, "r1", "r2"},
		{"the same request, no names", false, "r1", "r1"},
		{"the same request", true, "r1", "r1"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := faker.NewNetwork(100 * time.Microsecond)
				ln, err := n.Listen("t:1")
				qt.Assert(t, err, qt.IsNil)
				target := &refusingTarget{echo: tc.echo, ran: map[string]bool{}}
				go serveEach(ln, target.serveConn)
				s := &Sender{Dialect: OwnDialect(), Dial: n.Dialer("n"), Load: func(string) Load { return Load{} }, Echo: func(string) bool { return tc.echo }}
				_, err = sendOne(s, "warm")
				qt.Assert(t, err, qt.IsNil)
				_, err = sendOne(s, tc.first)
				qt.Assert(t, err, qt.IsNotNil)
				time.Sleep(time.Millisecond)
				_, err = sendOne(s, tc.next)
				target.mu.Lock()
				ran := target.ran[tc.next]
				target.mu.Unlock()
				if err != nil && ran {
					qt.Check(t, coder.Of(err).Ran(), qt.Not(qt.Equals), coder.RanNo)
				}
				s.Close()
				n.Kill("t")
				time.Sleep(2 * time.Second)
			})
		})
	}
}
