package httpserver

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestBytesWithoutEnd has a caller send bytes that are no request, or no end of
// one. The server must refuse it or close the connection after little more than
// the limit of a head, and soon.
func TestBytesWithoutEnd(t *testing.T) {
	const (
		maxHead  = 16 << 10
		maxTaken = 16 << 20 // with the socket buffers of both ends
		maxTime  = 5 * time.Second
	)
	for name, tc := range map[string]struct{ start, piece string }{
		"request line":    {"GET /", "x"},
		"no protocol":     {"\x00\x01", "\x02"},
		"header field":    {"GET / HTTP/1.1\nHost: h\nX: ", "y"},
		"header fields":   {"GET / HTTP/1.1\nHost: h\n", "X: y\n"},
		"chunk size":      {"POST / HTTP/1.1\nHost: h\nTransfer-Encoding: chunked\n\n", "0"},
		"chunk extension": {"POST / HTTP/1.1\nHost: h\nTransfer-Encoding: chunked\n\n5;x=", "y"},
		"trailers":        {"POST / HTTP/1.1\nHost: h\nTransfer-Encoding: chunked\n\n0\n", "X: y\n"},
	} {
		t.Run(name, func(t *testing.T) {
			s := &Server{Handler: http.HandlerFunc(echo), MaxHeadBytes: maxHead, HeadTimeout: time.Second}
			c := dial(t, serve(t, s))
			begun, taken := time.Now(), 0
			crlf := strings.NewReplacer("\n", "\r\n")
			next := crlf.Replace(tc.start)
			for time.Since(begun) < 2*maxTime {
				n, err := io.WriteString(c.conn, next)
				if taken += n; err != nil {
					break
				}
				next = strings.Repeat(crlf.Replace(tc.piece), 1024)
			}
			qt.Check(t, time.Since(begun) <= maxTime, qt.IsTrue, qt.Commentf("%v", time.Since(begun)))
			qt.Check(t, taken <= maxTaken, qt.IsTrue, qt.Commentf("%d bytes", taken))
		})
	}
}
