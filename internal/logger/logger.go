// Package logger writes a process's log lines to a stream that may be slow or
// stop reading, without ever holding up the caller: lines wait in a bounded
// buffer, and are dropped and counted when it is full. Routine lines are
// dropped first.
package logger

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
)

const (
	// DefaultBytes bounds the lines that wait: some seconds of a busy node.
	DefaultBytes = 1 << 20
	// routinePart of the buffer is open to routine lines.
	routinePart = 0.5
	// flushWait bounds how long the end of a process waits for its last lines.
	flushWait = 200 * time.Millisecond
)

// Logger is the buffer before a stream. Set the fields before the first line.
type Logger struct {
	// Out takes the lines, each in one call.
	Out io.Writer
	// Bytes bounds the lines that wait. 0 means DefaultBytes.
	Bytes int

	mu      sync.Mutex
	lines   [][]byte
	waiting int
	dropped uint64
	// lost counts all dropped lines since the start.
	lost atomic.Int64
	once sync.Once
	wake chan struct{}
	// idle is closed and replaced each time that nothing waits any more.
	idle chan struct{}
	busy bool
}

// Write takes one line that matters. It never fails and never blocks, as
// loggers of libraries expect.
func (l *Logger) Write(line []byte) (int, error) {
	l.put(bytes.Clone(line), 1)
	return len(line), nil
}

// Logr returns a structured log whose lines go through the buffer. The level is
// "error", "info" or "debug".
func (l *Logger) Logr(level string) logr.Logger {
	levels := map[string]slog.Level{"error": slog.LevelError, "debug": slog.LevelDebug}
	return logr.FromSlogHandler(slog.NewJSONHandler(l, &slog.HandlerOptions{Level: levels[level]}))
}

// Add encodes a value as one line. Routine lines are dropped first.
func (l *Logger) Add(v any, routine bool) {
	b, err := json.Marshal(v)
	if err != nil {
		b = []byte(`{"msg":"log line cannot be encoded"}`)
	}
	part := 1.0
	if routine {
		part = routinePart
	}
	l.put(append(b, '\n'), part)
}

func (l *Logger) put(line []byte, part float64) {
	l.once.Do(l.start)
	bound := l.Bytes
	if bound == 0 {
		bound = DefaultBytes
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if float64(l.waiting+len(line)) > part*float64(bound) {
		l.dropped++
		l.lost.Add(1)
		return
	}
	l.lines = append(l.lines, line)
	l.waiting += len(line)
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// Dropped returns how many lines were dropped since the start.
func (l *Logger) Dropped() int64 { return l.lost.Load() }

func (l *Logger) start() {
	l.wake = make(chan struct{}, 1)
	l.idle = make(chan struct{})
	go func() {
		for range l.wake {
			l.drain()
		}
	}()
}

// drain writes what waits, and then how many lines were dropped meanwhile. An
// error of the stream is not reported: there is nowhere to report it.
func (l *Logger) drain() {
	for {
		l.mu.Lock()
		lines, dropped := l.lines, l.dropped
		l.lines, l.waiting, l.dropped = nil, 0, 0
		l.busy = len(lines) > 0 || dropped > 0
		if !l.busy {
			close(l.idle)
			l.idle = make(chan struct{})
		}
		l.mu.Unlock()
		if len(lines) == 0 && dropped == 0 {
			return
		}
		if dropped > 0 {
			b, _ := json.Marshal(struct {
				Message string `json:"msg"`
				Count   uint64 `json:"count"`
			}{"log lines dropped", dropped})
			lines = append(lines, append(b, '\n'))
		}
		_, _ = l.Out.Write(bytes.Join(lines, nil))
	}
}

// Flush waits until the lines so far are written, for a bounded time.
func (l *Logger) Flush(ctx context.Context) {
	l.once.Do(l.start)
	ctx, stop := context.WithTimeout(ctx, flushWait)
	defer stop()
	l.mu.Lock()
	idle, quiet := l.idle, len(l.lines) == 0 && !l.busy
	l.mu.Unlock()
	if quiet {
		return
	}
	select {
	case <-idle:
	case <-ctx.Done():
	}
}
