package node

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/zinniaproxy/zinniaproxy/internal/httpserver"
	"github.com/zinniaproxy/zinniaproxy/internal/tracer"
)

// callerServer is the HTTP server for callers.
type callerServer struct {
	server   *httpserver.Server
	listener net.Listener
}

// serveCallers starts the HTTP server for callers. A later failure is sent to
// failed.
func (n *Node) serveCallers(wg *sync.WaitGroup, failed chan<- error) (*callerServer, error) {
	ln, err := n.Platform.Listen(n.Settings.Callers)
	if err != nil {
		return nil, err
	}
	s := n.Settings
	cs := &callerServer{listener: ln, server: &httpserver.Server{
		Handler: n.EntryHandler, RunConcurrently: n.EntryHandler.Idempotent, Leaving: n.Drainer.Leaving,
		HeadTimeout: headerTimeout, IdleTimeout: idleConnTimeout, MaxHeadBytes: int(orDefault(s.Head, maxHeaderBytes)),
		IDHeader: n.Platform.dialect().RequestIDHeader, MaxPipelined: int(s.Pipelined), MaxConns: newClientLimits(s).conns,
		MinRate: int(s.MinRate), RateTime: millisOrDefault(s.RateTime, 0),
		Account: n.Account, Overloaded: n.EntryHandler.RefuseOverloaded, Refused: n.refusals.add,
	}}
	wg.Go(func() {
		if err := cs.server.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
			failed <- err
		}
	})
	return cs, nil
}

// awaitDisconnects waits until callers have closed their connections, as the
// next response on each asks them to, or until the timeout. Closing an idle
// connection from this side may lose a request that is already on its way.
func (cs *callerServer) awaitDisconnects(timeout time.Duration) {
	deadline := time.Now().Add(timeout)
	for cs.server.OpenConns() > 0 && time.Now().Before(deadline) {
		time.Sleep(disconnectPollInterval)
	}
}

// shutdown stops the server once its requests have ended. It tries again after a
// timeout for as long as remaining returns more time.
func (cs *callerServer) shutdown(remaining func() time.Duration) (err error) {
	for err = context.DeadlineExceeded; err != nil && remaining() > time.Millisecond; {
		ctx, stop := context.WithTimeout(context.Background(), remaining())
		err = cs.server.Shutdown(ctx)
		stop()
	}
	return err
}

// abort ends the requests that are left, so that each gets a response, and those
// behind it on its connection get theirs.
func (cs *callerServer) abort() error {
	ctx, stop := context.WithTimeout(context.Background(), abortTimeout)
	defer stop()
	return cs.server.Abort(ctx)
}

// shutdown stops the node without aborting requests: it notifies peers and
// callers, then accepts no new work and waits for the calls in flight.
func (n *Node) shutdown(callers *callerServer, others []*auxServer) error {
	ctx := context.Background()
	s := n.Platform.settings(n.Settings)
	started := time.Now()
	remaining := func() time.Duration {
		_, end := n.Drainer.Schedule(started)
		return max(time.Until(end), time.Millisecond)
	}
	n.Drainer.Begin(ctx)
	waitForHandover := n.startHandover(ctx)
	time.Sleep(millisOrDefault(s.Linger, 0) - time.Since(started))
	_ = callers.listener.Close()
	callers.awaitDisconnects(min(maxDisconnectWait, remaining()/disconnectWaitDivisor))
	err := callers.shutdown(remaining)
	if err != nil {
		err = errors.Join(err, callers.abort())
	}
	n.traceUnanswered(callers.server.Unanswered())
	waitForHandover()
	n.Drainer.FinishTimeout = remaining()
	if unfinished := n.Drainer.Finish(ctx, func() bool { return false }); unfinished > 0 {
		err = errors.Join(err, errors.New("calls still in flight when the stop timeout ended"))
		n.Platform.Log.Info("stopped with calls in flight", "calls", unfinished)
	}
	for _, as := range others {
		err = errors.Join(err, as.shutdown(remaining()))
	}
	n.flushLinks(max(min(remaining(), maxFlushTimeout), minFlushTimeout))
	return err
}

// flushLinks waits until the responses to other nodes are written, or the timeout.
func (n *Node) flushLinks(timeout time.Duration) {
	ctx, stop := context.WithTimeout(context.Background(), timeout)
	defer stop()
	if err := n.Linker.Flush(ctx); err != nil {
		n.Platform.Log.Info("stopped with unsent data", "reason", err.Error())
	}
}

// traceUnanswered records the requests that end without a response, since their
// connections close when the node stops.
func (n *Node) traceUnanswered(requests []httpserver.Unanswered) {
	for _, u := range requests {
		detail := "not answered"
		if u.Held {
			detail = "the response is ready"
		}
		n.Tracer.Add(tracer.Event{
			Kind: "request-dropped", Request: u.ID, Conn: u.RemoteAddr, Queue: u.Before, Detail: detail,
		})
	}
}

// millisOrDefault converts milliseconds to a duration; 0 means the fallback.
func millisOrDefault(ms float64, fallback time.Duration) time.Duration {
	if ms == 0 {
		return fallback
	}
	return time.Duration(ms * float64(time.Millisecond))
}

// orDefault returns a setting, or the fallback if it is 0.
func orDefault(setting, fallback float64) float64 {
	if setting == 0 {
		return fallback
	}
	return setting
}
