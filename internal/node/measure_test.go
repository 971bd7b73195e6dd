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

// keyedFleet has an open route, one for a key, and one that runs once.
func keyedFleet(key string) string {
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

// TestMetricsAreThoseOfTheTable compares what a working node counts with the
// table, and the table with the operators' page.
func TestMetricsAreThoseOfTheTable(t *testing.T) {
	out := startLog(t, io.Discard)
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, "a", "b")
		defer f.close()
		f.out = out
		f.configure(keyedFleet("k"))
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
				row, ok := measurer.Of(name)
				qt.Check(t, ok, qt.IsTrue, qt.Commentf("%s is not in the table", name))
				seen[row.Name] = true
			}
		}
		for _, r := range measurer.Table {
			qt.Check(t, seen[r.Name], qt.IsTrue, qt.Commentf("%s is not counted", r.Name))
		}
		a := f.nodes["a"].Measurer.Registry.GetAll()
		qt.Check(t, a["attempt.took"]["count"], qt.Equals, int64(1))
		qt.Check(t, a["link.took"]["99%"].(float64) < 1e5, qt.IsTrue, qt.Commentf("%v", a["link.took"]))
	})
}

// TestPageListsTheMetrics holds the table of docs/OPERATIONS.md against the code.
func TestPageListsTheMetrics(t *testing.T) {
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

// startLog returns a log whose writer runs outside the bubbles of tests, since
// it ends with the process only.
func startLog(t *testing.T, w io.Writer) *logger.Logger {
	out := &logger.Logger{Out: w}
	_, err := out.Write([]byte("begin\n"))
	qt.Assert(t, err, qt.IsNil)
	return out
}

// lines keeps what was logged.
type lines struct {
	mu sync.Mutex
	bytes.Buffer
}

func (l *lines) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.Buffer.Write(b)
}

// until returns all lines once the last one has been written.
func (l *lines) until(t *testing.T, out *logger.Logger, last string) []string {
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

// private is a request with words in it that no log line may hold.
type private struct {
	method, path, header, key, body string
	keyed                           bool
}

// requests draws requests whose keys, right or wrong, stand where keys may, and
// whose bodies and answers vary.
func requests(key string) *rapid.Generator[private] {
	return rapid.Custom(func(r *rapid.T) private {
		return private{
			method: rapid.SampledFrom([]string{"GET", "POST", "DELETE"}).Draw(r, "method"),
			path: rapid.SampledFrom([]string{"/open", "/keyed", "/book", "/none"}).Draw(r, "route") +
				rapid.SampledFrom([]string{"", "/x", "/half", "/shed", "/hang"}).Draw(r, "rest"),
			header: rapid.SampledFrom([]string{"Authorization", "Zinnia-Key"}).Draw(r, "header"),
			keyed:  rapid.Bool().Draw(r, "keyed"),
			key:    rapid.SampledFrom([]string{key, "wrong-" + rapid.StringMatching(`[a-z0-9]{12}`).Draw(r, "wrong")}).Draw(r, "key"),
			body:   "body-" + rapid.StringMatching(`[a-z0-9]{12}`).Draw(r, "body"),
		}
	})
}

func (p private) send(t *testing.T, c *http.Client, node string) {
	req, err := http.NewRequestWithContext(t.Context(), p.method, "http://"+node+":80"+p.path, strings.NewReader(p.body))
	qt.Assert(t, err, qt.IsNil)
	value := p.key
	if p.header == "Authorization" {
		value = "Bearer " + value
	}
	if p.keyed {
		req.Header.Set(p.header, value)
	}
	if res, err := c.Do(req); err == nil {
		_, _ = io.Copy(io.Discard, res.Body)
		_ = res.Body.Close()
	}
}

// TestNoLogLineHoldsAKeyOrABody sends random requests through two nodes and
// looks for their keys and bodies in all that was logged.
func TestNoLogLineHoldsAKeyOrABody(t *testing.T) {
	const key, drawn = "key-of-the-glide-workspace", 150
	forbidden, written := []string{key}, &lines{}
	out := startLog(t, written)
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, "a", "b")
		defer f.close()
		f.out = out
		f.configure(keyedFleet(key))
		f.startNode("a", "one")
		f.startNode("b", "one")
		f.startTarget("t1", "a", "booking", 9001, 4)
		f.startTarget("t2", "b", "booking", 9001, 4)
		time.Sleep(20 * time.Second)
		c := f.client("caller")
		for i := range drawn {
			p := requests(key).Example(i)
			p.send(t, c, f.names[i%2])
			forbidden = append(forbidden, p.key, p.body)
		}
	})
	all := written.until(t, out, "end")
	for _, line := range all {
		for _, word := range forbidden {
			qt.Assert(t, strings.Contains(line, word), qt.IsFalse, qt.Commentf("%s", line))
		}
	}
	qt.Check(t, len(all) > drawn, qt.IsTrue, qt.Commentf("%d lines", len(all)))
}
