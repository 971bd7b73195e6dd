package node

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a caller that gets a target's response without a valid status, or is
// told that its request did not run. The target is on the entry node's VM for "b" and
// on another one for "a". Requests that may be repeated end likewise when each attempt
// gets such a response.
func TestCallerOfInvalidStatusIsToldThatItMayHaveRun(t *testing.T) {
	for _, status := range []string{"000 None", "0 None", "00 None", "0000 None", "099 None", "1000 None", "ABC", "+20 None", "", "999 None"} {
		t.Run(status, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newTestFleet(t, "a", "b")
				defer f.close()
				f.configure(openFleetJSON)
				f.startNode("a", "one")
				f.startNode("b", "two")
				f.startTarget("t", "b", "booking", 9001, 100)
				time.Sleep(2 * time.Second)
				c := f.client("caller")
				for _, node := range []string{"a", "b"} {
					for _, path := range []string{"/stock/1", "/book/1"} {
						qt.Check(t, f.call(c, node, http.MethodPost, path, "", ""), qt.Equals, "200 code=0 ran=yes POST "+path)
						for _, interim := range []string{"", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n"} {
							raw := interim + "HTTP/1.1 " + status + "\r\nContent-Length: 0\r\nZinnia-Ran: no\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
							got := f.call(c, node, http.MethodPost, path+"/raw", "", raw)
							qt.Check(t, got, qt.Equals, "502 code=302 ran=unknown", qt.Commentf("%s %s", node, path))
						}
					}
				}
			})
		})
	}
}
