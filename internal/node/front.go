package node

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/zinniaproxy/zinniaproxy/internal/acceptor"
)

// front is one HTTP server of the node.
type front struct {
	server   *http.Server
	listener net.Listener
	closed   atomic.Bool
}

// entrance is the server towards callers.
type entrance struct {
	server   *acceptor.Server
	listener net.Listener
}

// serveCallers starts the server towards callers.
func (n *Node) serveCallers(wg *sync.WaitGroup, failed chan<- error) (*entrance, error) {
	ln, err := n.Platform.Listen(n.Settings.Callers)
	if err != nil {
		return nil, err
	}
	e := &entrance{listener: ln, server: &acceptor.Server{
		Handler: n.Receiver, Early: n.Receiver.Repeatable, Leaving: n.Drainer.Leaving,
		HeadTimeout: headTimeout, IdleTimeout: idleTimeout, HeadBytes: maxHeadBytes,
	}}
	wg.Go(func() {
		if err := e.server.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
			failed <- err
		}
	})
	return e, nil
}

// linger serves the open connections until callers have closed them, each with
// the answer that asks for it, or until the bound. A connection that is closed
// while idle may be just about to carry a request.
func (e *entrance) linger(bound time.Duration) {
	end := time.Now().Add(bound)
	for e.server.Open() > 0 && time.Now().Before(end) {
		time.Sleep(lingerPoll)
	}
}

// shutdown ends the server after the requests that it has, while time is left.
func (e *entrance) shutdown(left func() time.Duration) (err error) {
	for err = context.DeadlineExceeded; err != nil && left() > time.Millisecond; {
		ctx, stop := context.WithTimeout(context.Background(), left())
		err = e.server.Shutdown(ctx)
		stop()
	}
	return err
}

// serve starts an HTTP server.
func (n *Node) serve(address string, h http.Handler, wg *sync.WaitGroup, failed chan<- error) (*front, error) {
	ln, err := n.Platform.Listen(address)
	if err != nil {
		return nil, err
	}
	f := &front{listener: ln}
	f.server = &http.Server{
		Handler: h, ReadHeaderTimeout: headTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeadBytes,
	}
	wg.Go(func() {
		if err := f.server.Serve(ln); !errors.Is(err, http.ErrServerClosed) && !f.closed.Load() {
			failed <- err
		}
	})
	return f, nil
}

// servePages starts the servers of the platform's pages.
func (n *Node) servePages(wg *sync.WaitGroup, failed chan<- error) ([]*front, error) {
	if n.Platform.Pages == nil {
		return nil, nil
	}
	var fronts []*front
	for _, p := range n.Platform.Pages(n) {
		f, err := n.serve(p.Address, p.Handler, wg, failed)
		if err != nil {
			return nil, err
		}
		fronts = append(fronts, f)
	}
	return fronts, nil
}

// shutdown ends the server after the requests that it has.
func (f *front) shutdown(within time.Duration) error {
	ctx, stop := context.WithTimeout(context.Background(), within)
	defer stop()
	f.closed.Store(true)
	return f.server.Shutdown(ctx)
}

// leave stops the node without cutting a request: peers and callers have their
// notice, then no work is taken, and what is in flight is finished.
func (n *Node) leave(callers *entrance, others []*front) error {
	ctx := context.Background()
	s := n.Platform.settings(n.Settings)
	begun, killed := time.Now(), time.Duration(s.Grace*float64(time.Second))
	if killed == 0 {
		killed = stopTimeout
	}
	left := func() time.Duration { return max(killed-exitTime-time.Since(n.told(begun)), time.Millisecond) }
	n.Drainer.Begin(ctx)
	handed := n.handOver(ctx)
	time.Sleep(orMillis(s.Linger, 0) - time.Since(begun))
	_ = callers.listener.Close()
	callers.linger(min(lingerTimeout, left()/lingerPart))
	err := callers.shutdown(left)
	handed()
	n.Drainer.Bound = left()
	if cut := n.Drainer.Finish(ctx, func() bool { return false }); cut > 0 {
		err = errors.Join(err, errors.New("calls were still in flight"))
		n.Platform.Log.Info("stopped with calls in flight", "calls", cut)
	}
	for _, f := range others {
		err = errors.Join(err, f.shutdown(left()))
	}
	return err
}

// told returns when the node was last told to stop: being told again grants the
// time to stop anew.
func (n *Node) told(first time.Time) time.Time {
	if n.Platform.Live == nil {
		return first
	}
	if t := n.Platform.Live.Stopped(); t.After(first) {
		return t
	}
	return first
}

// orMillis returns a setting in milliseconds as a time, or its default.
func orMillis(ms int, fallback time.Duration) time.Duration {
	if ms == 0 {
		return fallback
	}
	return time.Duration(ms) * time.Millisecond
}
