package entryhandler

import (
	"bufio"
	"context"
	"flag"
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
	"golang.org/x/tools/txtar"

	"github.com/zinniaproxy/zinniaproxy/internal/attemptsender"
	"github.com/zinniaproxy/zinniaproxy/internal/exithandler"
	"github.com/zinniaproxy/zinniaproxy/internal/faker"
	"github.com/zinniaproxy/zinniaproxy/internal/indexer"
	"github.com/zinniaproxy/zinniaproxy/internal/messenger"
	"github.com/zinniaproxy/zinniaproxy/pkg/coder"
	"github.com/zinniaproxy/zinniaproxy/pkg/declarer"
)

var update = flag.Bool("update", false, "rewrite the golden file")

func newTestHandler(forward func(ctx context.Context, x *Exchange) (*attemptsender.Response, error)) *Handler {
	f := declarer.Fleet{}.
		WithWorkspace(declarer.Workspace{Name: "glide", Rate: 1, Burst: 1}.WithKey("one", "right-key")).
		WithRoute(declarer.Route{Name: "open", Path: "/open", Open: true, Deadline: 1000}).
		WithRoute(declarer.Route{Name: "bound", Path: "/bound", Deadline: 1000}).
		WithRoute(declarer.Route{Name: "other", Path: "/other", Workspace: "other", Deadline: 1000})
	index := indexer.New(1, f)
	return &Handler{
		Dialect: exithandler.OwnDialect(),
		Node:    "n", Epoch: 1, Index: func() *indexer.Index { return index },
		Leaving: func() bool { return false }, KeysCurrent: func() bool { return true },
		Limit:   func(context.Context, string) error { return nil },
		Forward: forward, Count: func(coder.Code, time.Duration) {},
	}
}

// TestRawRequestsMatchGoldenFile guards against forwarding a request that is
// malformed, ambiguous or without a valid key, and against forwarding a key or a
// reserved header field. The golden file has each response and what was forwarded.
func TestRawRequestsMatchGoldenFile(t *testing.T) {
	const goldenFile = "testdata/requests.golden"
	a, err := txtar.ParseFile("testdata/requests.txtar")
	qt.Assert(t, err, qt.IsNil)
	var out strings.Builder
	for _, f := range a.Files {
		synctest.Test(t, func(t *testing.T) {
			fmt.Fprintf(&out, "%s: %s\n", f.Name, sendRaw(t, f.Data))
			time.Sleep(time.Second) // net/http keeps connections that it closes open for a while
		})
	}
	if *update {
		qt.Assert(t, os.WriteFile(goldenFile, []byte(out.String()), 0o644), qt.IsNil)
	}
	want, err := os.ReadFile(goldenFile)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, out.String(), qt.Equals, string(want))
}

// sendRaw sends bytes on a new connection and describes the response and what
// was forwarded.
func sendRaw(t *testing.T, raw []byte) string {
	var mu sync.Mutex
	forwarded := "nothing"
	h := newTestHandler(func(_ context.Context, x *Exchange) (*attemptsender.Response, error) {
		mu.Lock()
		defer mu.Unlock()
		c := x.Call()
		forwarded = fmt.Sprintf("%s %s as %q with", c.Method, c.URI, c.Workspace)
		for _, f := range c.Header {
			forwarded += " " + f.Name + "=" + f.Value
		}
		return &attemptsender.Response{Head: messenger.ResponseHead{Status: 200, Length: -1}, Complete: true, Source: attemptsender.Source{Close: func() {}}}, nil
	})
	n := faker.NewNetwork(0)
	ln, err := n.Listen("n:80")
	qt.Assert(t, err, qt.IsNil)
	s := &http.Server{Handler: h, ErrorLog: nil}
	go func() { _ = s.Serve(ln) }()
	defer s.Close()
	conn, err := n.Dialer("c")(t.Context(), "n:80")
	qt.Assert(t, err, qt.IsNil)
	defer conn.Close()
	text := strings.ReplaceAll(string(raw), "\n", "\r\n")
	if !strings.Contains(text, "\r\n\r\n") {
		text += "\r\n"
	} else {
		text = strings.TrimSuffix(text, "\r\n")
	}
	_, err = io.WriteString(conn, text)
	qt.Assert(t, err, qt.IsNil)
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return fmt.Sprintf("no response (%v), forwarded nothing", err)
	}
	_ = res.Body.Close()
	mu.Lock()
	defer mu.Unlock()
	return fmt.Sprintf("%d code=%s ran=%s, forwarded %s", res.StatusCode, res.Header.Get(CodeHeader), res.Header.Get("Zinnia-Ran"), forwarded)
}

func TestRequestsAboveMaxInFlightAreRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		release := make(chan struct{})
		h := newTestHandler(func(context.Context, *Exchange) (*attemptsender.Response, error) {
			<-release
			return nil, coder.New(coder.NoTarget, "")
		})
		var mu sync.Mutex
		codes := map[coder.Code]int{}
		h.Count = func(c coder.Code, _ time.Duration) {
			mu.Lock()
			defer mu.Unlock()
			codes[c]++
		}
		for range MaxInFlight + 5 {
			go h.ServeHTTP(&discardWriter{header: http.Header{}}, newRequest(t, "/open"))
		}
		synctest.Wait()
		mu.Lock()
		qt.Check(t, codes[coder.Overloaded], qt.Equals, 5)
		mu.Unlock()
		close(release)
		synctest.Wait()
	})
}

func newRequest(t *testing.T, path string) *http.Request {
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, path, strings.NewReader(""))
	qt.Assert(t, err, qt.IsNil)
	return req
}

// discardWriter is an http.ResponseWriter that discards the response.
type discardWriter struct{ header http.Header }

func (d *discardWriter) Header() http.Header         { return d.header }
func (d *discardWriter) Write(b []byte) (int, error) { return len(b), nil }
func (d *discardWriter) WriteHeader(int)             {}
