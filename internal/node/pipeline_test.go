package node

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against responses that are lost although their requests ran: a download in
// front of them on their connection breaks off and takes the connection with it.
func TestResponsesBehindABrokenDownloadArrive(t *testing.T) {
	for _, tc := range []struct {
		name  string
		paths []string
		want  []int
	}{
		{"reads behind", []string{"/read/broken-download", "/read/1", "/read/2"}, []int{502, 200, 200}},
		{"reads around", []string{"/read/1", "/read/broken-download", "/read/2"}, []int{200, 502, 200}},
		{"two downloads", []string{"/read/broken-download", "/read/broken-download", "/read/1"}, []int{502, 502, 200}},
		{"whole download", []string{"/read/large", "/read/1", "/read/2"}, []int{200, 200, 200}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newTestFleet(t, "a")
				defer f.close()
				f.sharedRates = true
				f.configure(crashFleet)
				f.startNode("a", "one")
				f.startTarget("t", "a", "booking", 9001, 7)
				time.Sleep(5 * time.Second)
				conn, err := f.network.Dialer("caller")(t.Context(), "a:80")
				qt.Assert(t, err, qt.IsNil)
				defer conn.Close()
				go func() {
					for _, path := range tc.paths {
						_, _ = fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: h\r\n\r\n", path) // the reader sees a failure
					}
				}()
				in := bufio.NewReader(conn)
				var got []int
				for range tc.paths {
					res, err := http.ReadResponse(in, nil)
					qt.Assert(t, err, qt.IsNil, qt.Commentf("after %v", got))
					_, err = io.Copy(io.Discard, res.Body)
					qt.Check(t, err, qt.IsNil)
					got = append(got, res.StatusCode)
				}
				qt.Check(t, got, qt.DeepEquals, tc.want)
				ran := strings.Join(f.requests["t"], "\n")
				qt.Check(t, strings.Contains(ran, "/read/1"), qt.IsTrue)
			})
		})
	}
}
