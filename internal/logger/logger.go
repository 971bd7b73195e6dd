// Package logger writes a process's log lines to a stream that may be slow or
// blocked, without ever blocking the caller: lines are held in a bounded buffer,
// and dropped and counted when it is full. Routine lines, of successful requests
// and attempts, are dropped first.
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
	// DefaultMaxBytes bounds the buffered lines. It holds some seconds of a
	// busy node's log.
	DefaultMaxBytes = 1 << 20
	// routineShare is the share of the buffer that routine lines may use.
	routineShare = 0.5
	// flushTimeout bounds how long Flush waits for the stream, so that a
	// blocked stream does not delay the end of the process.
	flushTimeout = 200 * time.Millisecond
)

// Logger buffers lines for a stream. Set the fields before the first line.
type Logger struct {
	// Out receives the lines, in writes of one or more whole lines.
	Out io.Writer
	// MaxBytes bounds the buffered lines. 0 means DefaultMaxBytes.
	MaxBytes int

	mu              sync.Mutex
	pending         [][]byte
	pendingBytes    int
	unreportedDrops uint64
	// totalDrops counts the dropped lines since the start.
	totalDrops atomic.Int64
	startOnce  sync.Once
	wake       chan struct{}
	// idle is closed and replaced each time the buffer has been written.
	idle    chan struct{}
	writing bool
}

// Write adds one line that is not routine. It never fails and never blocks, as
// logging libraries expect.
func (l *Logger) Write(line []byte) (int, error) {
	l.enqueue(bytes.Clone(line), 1)
	return len(line), nil
}

// Logr returns a structured logger that writes to the buffer. The level is
// "error", "info" or "debug".
func (l *Logger) Logr(level string) logr.Logger {
	levels := map[string]slog.Level{"error": slog.LevelError, "debug": slog.LevelDebug}
	return logr.FromSlogHandler(slog.NewJSONHandler(l, &slog.HandlerOptions{Level: levels[level]}))
}

// Add encodes v as one line of JSON. Routine lines are dropped first.
func (l *Logger) Add(v any, routine bool) {
	b, err := json.Marshal(v)
	if err != nil {
		b = []byte(`{"msg":"log line cannot be encoded"}`)
	}
	share := 1.0
	if routine {
		share = routineShare
	}
	l.enqueue(append(b, '\n'), share)
}

func (l *Logger) enqueue(line []byte, share float64) {
	l.startOnce.Do(l.start)
	maxBytes := l.MaxBytes
	if maxBytes == 0 {
		maxBytes = DefaultMaxBytes
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if float64(l.pendingBytes+len(line)) > share*float64(maxBytes) {
		l.unreportedDrops++
		l.totalDrops.Add(1)
		return
	}
	l.pending = append(l.pending, line)
	l.pendingBytes += len(line)
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// Dropped returns how many lines were dropped since the start.
func (l *Logger) Dropped() int64 { return l.totalDrops.Load() }

func (l *Logger) start() {
	l.wake = make(chan struct{}, 1)
	l.idle = make(chan struct{})
	go func() {
		for range l.wake {
			l.writePending()
		}
	}()
}

// writePending writes the buffered lines, then the number of lines dropped since
// the last write. Errors of the stream are ignored: there is nowhere to report
// them.
func (l *Logger) writePending() {
	for {
		l.mu.Lock()
		lines, dropped := l.pending, l.unreportedDrops
		l.pending, l.pendingBytes, l.unreportedDrops = nil, 0, 0
		l.writing = len(lines) > 0 || dropped > 0
		if !l.writing {
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

// Flush waits until the lines so far are written, at most flushTimeout.
func (l *Logger) Flush(ctx context.Context) {
	l.startOnce.Do(l.start)
	ctx, stop := context.WithTimeout(ctx, flushTimeout)
	defer stop()
	l.mu.Lock()
	idle, nothingPending := l.idle, len(l.pending) == 0 && !l.writing
	l.mu.Unlock()
	if nothingPending {
		return
	}
	select {
	case <-idle:
	case <-ctx.Done():
	}
}
