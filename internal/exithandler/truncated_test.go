package exithandler

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/zinniaproxy/zinniaproxy/internal/faker"
	"github.com/zinniaproxy/zinniaproxy/internal/messenger"
	"github.com/zinniaproxy/zinniaproxy/pkg/coder"
)

// Guards against a complete response to a caller whose target stopped in the middle
// of the head of its response, or of a body with a length or chunks, and closed:
// every possible place, on new and on kept connections, also where the end of the
// connection may end a response.
func TestTruncatedResponseIsNoResponse(t *testing.T) {
	for _, body := range []string{
		"Content-Length: 12\r\n\r\nhello, world",
		"Transfer-Encoding: chunked\r\n\r\nc\r\nhello, world\r\n0\r\n\r\n",
		"Connection: close\r\nContent-Length: 12\r\n\r\nhello, world",
		"X-Long: a\r\n b\r\nContent-Length: 12\r\n\r\nhello, world",
	} {
		for _, interim := range []string{"", "HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"} {
			for _, closeDelimited := range []bool{false, true} {
				for _, once := range []bool{false, true} {
					checkTruncated(t, interim+"HTTP/1.1 200 OK\r\n"+RequestHeader+": r\r\n"+body, closeDelimited, once)
				}
			}
		}
	}
}

func checkTruncated(t *testing.T, response string, closeDelimited, once bool) {
	synctest.Test(t, func(t *testing.T) {
		n := faker.NewNetwork(100 * time.Microsecond)
		ln, err := n.Listen("t:1")
		qt.Assert(t, err, qt.IsNil)
		cut := 0
		go serveEach(ln, func(c net.Conn) {
			defer c.Close()
			in := bufio.NewReader(c)
			for {
				r, err := http.ReadRequest(in)
				if err != nil {
					return
				}
				if r.Header.Get(RequestHeader) == "warm" {
					_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: warm\r\nContent-Length: 2\r\n\r\nok", RequestHeader)
					continue
				}
				_, _ = c.Write([]byte(response[:cut]))
				return
			}
		})
		s := &Sender{Dialect: OwnDialect(), Dial: n.Dialer("n"), Load: func(string) Load { return Load{} }, Echo: func(string) bool { return true }}
		s.Dialect.CloseDelimited = closeDelimited
		for cut = range len(response) + 1 {
			if _, err := sendOne(s, "warm"); err != nil {
				t.Fatal(err)
			}
			body, err := sendCall(s, &messenger.Call{Request: "r", Method: http.MethodGet, URI: "/", Once: once})
			switch {
			case cut == len(response):
				qt.Check(t, err, qt.IsNil)
				qt.Check(t, body, qt.Equals, "hello, world")
			case err == nil:
				t.Errorf("cut after %q, closeDelimited %v, once %v: complete response %q", response[:cut], closeDelimited, once, body)
			case coder.Of(err).Ran() == coder.RanNo:
				t.Errorf("cut after %q: %v says not run", response[:cut], err)
			}
		}
		s.Close()
		n.Kill("t")
		time.Sleep(2 * time.Second)
	})
}
