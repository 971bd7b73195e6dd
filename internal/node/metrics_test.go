package node

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/zinniaproxy/zinniaproxy/internal/logger"
	"github.com/zinniaproxy/zinniaproxy/internal/measurer"
)

// keyedFleetJSON returns a configuration with an open route, a route that needs
// the key, and one that needs the key and is non-idempotent.
func keyedFleetJSON(key string) string {
	digest := sha256.Sum256([]byte(key))
	return fmt.Sprintf(`{
  "centres": [{"name": "one", "region": "r"}],
  "services": [{"name": "booking", "slots": 4, "cold": 4, "floor": 0.5}],
  "workspaces": [{"name": "glide", "rate": 1000, "burst": 1000, "keys": [{"name": "one", "digest": %q}]}],
  "routes": [
    {"name": "open", "path": "/open", "service": "booking", "open": true, "deadline": 1000},
    {"name": "keyed", "path": "/keyed", "service": "booking", "deadline": 1000},
    {"name": "book", "path": "/book", "methods": ["POST"], "service": "booking", "once": true, "deadline": 1000}
  ]
}`, hex.EncodeToString(digest[:]))
}

// TestMetricsMatchTable checks that running nodes export exactly the metrics of
// measurer.Table.
func TestMetricsMatchTable(t *testing.T) {
	out := startLog(t, io.Discard)
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, "a", "b")
		defer f.close()
		f.log = out
		f.configure(keyedFleetJSON("k"))
		f.startNode("a", "one")
		f.startNode("b", "one")
		f.startTarget("t1", "b", "booking", 9001, 4)
		time.Sleep(20 * time.Second)
		c := f.client("caller")
		for _, path := range []string{"/open/x", "/open/half", "/none"} {
			if res, err := c.Get("http://a:80" + path); err == nil {
				_ = res.Body.Close()
			}
		}
		seen := map[string]bool{}
		for _, n := range f.nodes {
			for name := range n.Measurer.Registry.GetAll() {
				row, ok := measurer.Lookup(name)
				qt.Check(t, ok, qt.IsTrue, qt.Commentf("%s is not in the table", name))
				seen[row.Name] = true
			}
		}
		for _, r := range measurer.Table {
			qt.Check(t, seen[r.Name], qt.IsTrue, qt.Commentf("%s is not exported", r.Name))
		}
		a := f.nodes["a"].Measurer.Registry.GetAll()
		qt.Check(t, a["attempt.took"]["count"], qt.Equals, int64(1))
		qt.Check(t, a["link.took"]["99%"].(float64) < 1e5, qt.IsTrue, qt.Commentf("%v", a["link.took"]))
	})
}

// TestOperationsPageListsMetrics compares the table in docs/OPERATIONS.md with
// measurer.Table.
func TestOperationsPageListsMetrics(t *testing.T) {
	b, err := os.ReadFile("../../docs/OPERATIONS.md")
	qt.Assert(t, err, qt.IsNil)
	var want []string
	for _, r := range measurer.Table {
		want = append(want, fmt.Sprintf("| `%s` | %s | %s |", r.Name, r.Unit, r.Meaning))
	}
	_, page, _ := strings.Cut(string(b), "| name | unit | meaning |\n| --- | --- | --- |\n")
	page, _, _ = strings.Cut(page, "\n\n")
	qt.Assert(t, strings.Split(page, "\n"), qt.DeepEquals, want)
}

// startLog returns a log whose writer goroutine starts here, outside of any
// bubble, since it runs until the process ends.
func startLog(t *testing.T, w io.Writer) *logger.Logger {
	out := &logger.Logger{Out: w}
	_, err := out.Write([]byte("begin\n"))
	qt.Assert(t, err, qt.IsNil)
	return out
}

// logBuffer collects log output. It is safe for concurrent use.
type logBuffer struct {
	mu sync.Mutex
	bytes.Buffer
}

func (l *logBuffer) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.Buffer.Write(b)
}

// linesUntil writes last to the log, waits until it arrives in the buffer, and
// returns all lines.
func (l *logBuffer) linesUntil(t *testing.T, out *logger.Logger, last string) []string {
	_, err := out.Write([]byte(last + "\n"))
	qt.Assert(t, err, qt.IsNil)
	for {
		out.Flush(t.Context())
		l.mu.Lock()
		s := l.String()
		l.mu.Unlock()
		if strings.HasSuffix(s, last+"\n") {
			return strings.Split(s, "\n")
		}
	}
}

// secretRequest is a request whose key and body must not be logged.
type secretRequest struct {
	method, path, header, key, body string
	sendsKey                        bool
}

// secretRequests draws requests with a valid or invalid key, in any header that
// may carry one, and with various bodies and responses.
func secretRequests(key string) *rapid.Generator[secretRequest] {
	return rapid.Custom(func(r *rapid.T) secretRequest {
		return secretRequest{
			method: rapid.SampledFrom([]string{"GET", "POST", "DELETE"}).Draw(r, "method"),
			path: rapid.SampledFrom([]string{"/open", "/keyed", "/book", "/none"}).Draw(r, "route") +
				rapid.SampledFrom([]string{"", "/x", "/half", "/shed", "/hang"}).Draw(r, "rest"),
			header:   rapid.SampledFrom([]string{"Authorization", "Zinnia-Key"}).Draw(r, "header"),
			sendsKey: rapid.Bool().Draw(r, "keyed"),
			key:      rapid.SampledFrom([]string{key, "wrong-" + rapid.StringMatching(`[a-z0-9]{12}`).Draw(r, "wrong")}).Draw(r, "key"),
			body:     "body-" + rapid.StringMatching(`[a-z0-9]{12}`).Draw(r, "body"),
		}
	})
}

func (sr secretRequest) send(t *testing.T, c *http.Client, node string) {
	req, err := http.NewRequestWithContext(t.Context(), sr.method, "http://"+node+":80"+sr.path, strings.NewReader(sr.body))
	qt.Assert(t, err, qt.IsNil)
	value := sr.key
	if sr.header == "Authorization" {
		value = "Bearer " + value
	}
	if sr.sendsKey {
		req.Header.Set(sr.header, value)
	}
	if res, err := c.Do(req); err == nil {
		_, _ = io.Copy(io.Discard, res.Body)
		_ = res.Body.Close()
	}
}

// TestLogsContainNoKeysOrBodies sends random requests through two nodes and
// searches everything that was logged for their keys and bodies.
func TestLogsContainNoKeysOrBodies(t *testing.T) {
	const key, requestCount = "key-of-the-glide-workspace", 150
	secrets, logged := []string{key}, &logBuffer{}
	out := startLog(t, logged)
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, "a", "b")
		defer f.close()
		f.log = out
		f.configure(keyedFleetJSON(key))
		f.startNode("a", "one")
		f.startNode("b", "one")
		f.startTarget("t1", "a", "booking", 9001, 4)
		f.startTarget("t2", "b", "booking", 9001, 4)
		time.Sleep(20 * time.Second)
		c := f.client("caller")
		for i := range requestCount {
			sr := secretRequests(key).Example(i)
			sr.send(t, c, f.names[i%2])
			secrets = append(secrets, sr.key, sr.body)
		}
	})
	all := logged.linesUntil(t, out, "end")
	for _, line := range all {
		for _, word := range secrets {
			qt.Assert(t, strings.Contains(line, word), qt.IsFalse, qt.Commentf("%s", line))
		}
	}
	qt.Check(t, len(all) > requestCount, qt.IsTrue, qt.Commentf("%d lines", len(all)))
}
