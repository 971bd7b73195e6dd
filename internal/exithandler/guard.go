package exithandler

import (
	"context"
	"net"
	"sync/atomic"
)

// guard checks a non-idempotent call right before its first byte is sent. For an
// idempotent call only sent is used.
type guard struct {
	// check returns a refusal when the call may no longer run. Nil means no
	// check.
	check func() error
	// sent is true when a byte may have been sent to the target.
	sent atomic.Bool
	// refusal is the error of check, or nil.
	refusal error
}

type guardKey struct{}

// withGuard adds a call's guard to the context in which its connection is
// dialed.
func withGuard(ctx context.Context, g *guard) context.Context {
	return context.WithValue(ctx, guardKey{}, g)
}

// guardConn wraps a connection that was dialed for one call with the guard of
// its context, if there is one.
func guardConn(ctx context.Context, c *statusConn) net.Conn {
	g, ok := ctx.Value(guardKey{}).(*guard)
	if !ok {
		return c
	}
	return &guardedConn{statusConn: c, guard: g}
}

// guardedConn runs the guard's check before the first byte is written.
type guardedConn struct {
	*statusConn
	guard *guard
}

// Write writes to the target, or returns the guard's refusal.
func (c *guardedConn) Write(b []byte) (int, error) {
	if !c.guard.sent.Load() {
		if err := c.guard.runCheck(); err != nil {
			c.guard.refusal = err
			return 0, err
		}
		c.guard.sent.Store(true)
	}
	return c.statusConn.Write(b)
}

func (g *guard) runCheck() error {
	if g.check == nil {
		return nil
	}
	return g.check()
}
