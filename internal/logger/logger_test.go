package logger

import (
	"bytes"
	"strings"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"
)

// blockedWriter blocks writes until release is closed.
type blockedWriter struct {
	mu      sync.Mutex
	written bytes.Buffer
	release chan struct{}
}

func (w *blockedWriter) Write(b []byte) (int, error) {
	<-w.release
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.written.Write(b)
}

func (w *blockedWriter) text() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.written.String()
}

// If the reader of the standard output stops reading, logging must not block a
// request: lines are dropped, routine ones first, and counted.
func TestBlockedStreamDoesNotBlockCallers(t *testing.T) {
	out := &blockedWriter{release: make(chan struct{})}
	l := &Logger{Out: out, MaxBytes: 1000}
	for range 100 {
		l.Add(struct{ Text string }{strings.Repeat("r", 40)}, true)
	}
	for range 100 {
		l.Add(struct{ Text string }{strings.Repeat("f", 40)}, false)
	}
	close(out.release)
	l.Flush(t.Context())
	routine, failures := strings.Count(out.text(), "rrrr"), strings.Count(out.text(), "ffff")
	qt.Check(t, failures > 0, qt.IsTrue)
	qt.Check(t, routine < 200, qt.IsTrue)
	qt.Check(t, out.text(), qt.Contains, "log lines dropped")
}
