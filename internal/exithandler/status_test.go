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

// Guards against a caller that gets a status which ends no request, or which no
// client can parse, and then another request's response. The target sends the real
// response right behind the spoiled one.
func TestStatusThatEndsNoRequestIsNoResponse(t *testing.T) {
	for _, status := range []string{"000 None", "+20 Odd", "099 Unknown", "101 Switching Protocols", "600 Unknown", "999 Unknown"} {
		for _, fields := range []string{
			"Content-Length: 0\r\n",
			"Content-Length: 4\r\n",
			"Connection: Upgrade\r\nUpgrade: other\r\n",
			RanHeader + ": no\r\nContent-Length: 0\r\n",
		} {
			for _, once := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s %q once %v", status, fields, once), func(t *testing.T) {
					checkSpoiledStatus(t, "HTTP/1.1 "+status+"\r\n"+RequestHeader+": spoiled\r\n"+fields+"\r\n", once)
				})
			}
		}
	}
}

func checkSpoiledStatus(t *testing.T, spoiled string, once bool) {
	synctest.Test(t, func(t *testing.T) {
		n := faker.NewNetwork(100 * time.Microsecond)
		ln, err := n.Listen("t:1")
		qt.Assert(t, err, qt.IsNil)
		target := &rawTarget{echo: true}
		go serveEach(ln, func(c net.Conn) {
			defer c.Close()
			in := bufio.NewReader(c)
			for {
				r, err := http.ReadRequest(in)
				if err != nil {
					return
				}
				id := r.Header.Get(RequestHeader)
				if id == "spoiled" {
					_, _ = c.Write([]byte(spoiled))
				}
				_, _ = c.Write(target.response(id))
			}
		})
		s := &Sender{Dialect: OwnDialect(), Dial: n.Dialer("n"), Load: func(string) Load { return Load{} }, Echo: func(string) bool { return true }}
		s.Dialect.NotRun = func(_ int, h http.Header) bool { return h.Get(RanHeader) == string(coder.RanNo) }
		_, err = sendOne(s, "first")
		qt.Check(t, err, qt.IsNil)
		body, err := sendCall(s, &messenger.Call{Request: "spoiled", Method: http.MethodGet, URI: "/", Once: once})
		qt.Check(t, err, qt.IsNotNil, qt.Commentf("response %q", body))
		if err != nil {
			qt.Check(t, coder.Of(err).Code, qt.Equals, coder.Cut)
		}
		body, err = sendOne(s, "next")
		qt.Check(t, err, qt.IsNil)
		qt.Check(t, body, qt.Equals, "for next")
		s.Close()
		n.Kill("t")
		time.Sleep(2 * time.Second)
	})
}
