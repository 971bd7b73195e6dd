// Package httpserver is the HTTP/1.1 server for callers. Unlike net/http it runs
// pipelined requests of one connection concurrently and writes their responses
// in the order of the requests. It also detects that a caller closed its
// connection while pipelined requests are waiting.
package httpserver

import (
	"context"
	"errors"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/zinniaproxy/zinniaproxy/internal/accountant"
)

// Defaults for the fields of Server, and its internal timeouts.
const (
	// DefaultMaxPipelined bounds the requests of one connection in flight.
	DefaultMaxPipelined = 16
	// DefaultHeadTimeout bounds the time that a server which shuts down gives a
	// request to arrive.
	DefaultHeadTimeout = 10 * time.Second
	// DefaultIdleTimeout bounds how long a connection without requests in
	// flight stays open.
	DefaultIdleTimeout = 2 * time.Minute
	// DefaultMaxHeadBytes bounds a request's head, not counting bytes that the
	// read buffer already holds.
	DefaultMaxHeadBytes = 64 << 10
	// DefaultMinRate, in bytes a second, and DefaultRateTime set how long a request
	// may take to arrive and a response to be read: the time, and what its bytes take
	// at the rate.
	DefaultMinRate  = 1024
	DefaultRateTime = 5 * time.Second
	// acceptRetryDelay is the pause after a failed accept, for example when the
	// process is out of file descriptors.
	acceptRetryDelay  = 20 * time.Millisecond
	drainPollInterval = 10 * time.Millisecond
)

// ErrAborted is the cause with which Abort cancels requests. Their handlers may
// still respond.
var ErrAborted = errors.New("httpserver: the server ends before the response is complete")

// Server serves HTTP/1.1 requests of callers. Set the exported fields before
// Serve.
type Server struct {
	Handler http.Handler
	// RunConcurrently reports whether a pipelined request may run before the
	// earlier requests of its connection are answered. Nil means that none may.
	RunConcurrently func(*http.Request) bool
	// Leaving reports whether connections must be closed as soon as the requests
	// that run are answered. Requests behind them do not run then. Nil means never.
	Leaving func() bool
	// IDHeader is the header field with the ID of a request, for Unanswered.
	IDHeader string
	// MaxPipelined, HeadTimeout, IdleTimeout and MaxHeadBytes (bytes) override
	// the defaults when above 0.
	MaxPipelined             int
	HeadTimeout, IdleTimeout time.Duration
	MaxHeadBytes             int
	// MinRate, in bytes a second, and RateTime override the defaults when above 0.
	MinRate  int
	RateTime time.Duration
	// MaxConns bounds the open connections. At the bound idle ones are closed for new
	// ones, then those that make least progress. 0 means no bound.
	MaxConns int
	// Account is where what connections hold is reserved. Nil means no limit.
	Account *accountant.Account
	// Group and GroupShare override the account's group of connections whose
	// workspace is not known, and the share of the account that it may hold.
	Group      string
	GroupShare float64
	// Overloaded answers a request that the account has no room for. Nil means with
	// status 503.
	Overloaded func(http.ResponseWriter, *http.Request)
	// Refused counts the refusals and closed connections of a kind. It may be nil.
	Refused func(kind string)

	relieveOnce sync.Once

	mu     sync.Mutex
	conns  map[*conn]bool
	closed bool
}

func positiveOr[T int | time.Duration](v, fallback T) T {
	if v > 0 {
		return v
	}
	return fallback
}

func (s *Server) shuttingDown() bool {
	if s.Leaving != nil && s.Leaving() {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closed
}

// runsConcurrently reports whether a request may run before the earlier requests of
// its connection are answered. None may once the server shuts down: its response
// could wait behind one that does not come before the end.
func (s *Server) runsConcurrently(r *http.Request) bool {
	return s.RunConcurrently != nil && !s.shuttingDown() && s.RunConcurrently(r)
}

// Serve accepts connections until the listener is closed.
func (s *Server) Serve(ln net.Listener) error {
	s.relieveOnce.Do(func() { s.Account.AddReliever(s.relieve) })
	for {
		c, err := ln.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return http.ErrServerClosed
			}
			var ne net.Error
			if !errors.As(err, &ne) {
				return err
			}
			s.closeForNew() // there may be no descriptor left
			time.Sleep(acceptRetryDelay)
			continue
		}
		k := newConn(s, c)
		if !s.add(k) {
			c.Close()
			k.owner.Close()
			continue
		}
		go k.serve()
	}
}

// Close closes all connections at once.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	for _, k := range s.openConns() {
		k.kill()
	}
}

func (s *Server) remove(k *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, k)
}

// OpenConns returns the number of open connections.
func (s *Server) OpenConns() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// Unanswered returns the requests that were read but not answered yet.
func (s *Server) Unanswered() []Unanswered {
	var out []Unanswered
	for _, k := range s.openConns() {
		out = append(out, k.listUnanswered()...)
	}
	return out
}

// Shutdown closes each connection once its requests are answered. It returns
// nil when all connections are closed, or the error of ctx when that ends first.
func (s *Server) Shutdown(ctx context.Context) error {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for {
		s.closeIdle()
		if s.OpenConns() == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

func (s *Server) closeIdle() {
	for _, k := range s.openConns() {
		k.closeIfIdle()
	}
}

func (s *Server) openConns() []*conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Collect(maps.Keys(s.conns))
}

// Abort cancels all unanswered requests with ErrAborted, so that their handlers
// respond and the responses behind them are written too. It returns nil when no
// request is left unanswered, or the error of ctx when that ends first.
func (s *Server) Abort(ctx context.Context) error {
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for {
		for _, k := range s.openConns() {
			k.abort()
		}
		if len(s.Unanswered()) == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}
