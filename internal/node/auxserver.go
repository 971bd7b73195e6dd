package node

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/zinniaproxy/zinniaproxy/internal/accountant"
	"github.com/zinniaproxy/zinniaproxy/internal/httpserver"
)

// Limits of the auxiliary servers: the admin, readiness and announcement addresses.
const (
	auxMaxHeadBytes = 8 << 10
	auxMaxBodyBytes = 64 << 10
	// auxGroup is their group of the account, and auxShare the share of it that they
	// may hold.
	auxGroup = "auxiliary servers"
	auxShare = 0.125
	// auxMaxRunning bounds the requests that build a response at once: one with all
	// events takes some megabytes meanwhile.
	auxMaxRunning = 2
	// auxMinRate, in bytes a second, is the lowest rate at which clients there send
	// and read: they are on the VM or the same network.
	auxMinRate = 16 << 10
)

// auxServer is the admin server or one of Platform.ExtraServers.
type auxServer struct {
	server   *httpserver.Server
	listener net.Listener
	closed   atomic.Bool
}

// serve starts an HTTP server. A later failure is sent to failed.
func (n *Node) serve(address string, h http.Handler, wg *sync.WaitGroup, failed chan<- error) (*auxServer, error) {
	ln, err := n.Platform.Listen(address)
	if err != nil {
		return nil, err
	}
	s := n.Settings
	as := &auxServer{listener: ln, server: &httpserver.Server{
		Handler:     &auxHandler{handler: h, account: n.Account, running: make(chan struct{}, auxMaxRunning), failed: n.logPanic},
		HeadTimeout: headerTimeout, IdleTimeout: idleConnTimeout, MaxHeadBytes: int(orDefault(s.AuxHead, auxMaxHeadBytes)),
		MaxPipelined: 1, MaxConns: newClientLimits(s).auxConns, MinRate: auxMinRate, RateTime: millisOrDefault(s.RateTime, 0),
		Account: n.Account, Group: auxGroup, GroupShare: auxShare, Refused: func(kind string) { n.refusals.add(auxPrefix + kind) },
	}}
	wg.Go(func() {
		if err := as.server.Serve(ln); !errors.Is(err, http.ErrServerClosed) && !as.closed.Load() {
			failed <- err
		}
	})
	return as, nil
}

func (n *Node) logPanic(path string, reason any) {
	n.Platform.Log.Error(fmt.Errorf("panic: %v", reason), "request failed", "path", path)
}

// serveExtra starts the servers of Platform.ExtraServers. With an error it returns
// those that it has started.
func (n *Node) serveExtra(wg *sync.WaitGroup, failed chan<- error) ([]*auxServer, error) {
	if n.Platform.ExtraServers == nil {
		return nil, nil
	}
	var servers []*auxServer
	for _, es := range n.Platform.ExtraServers(n) {
		as, err := n.serve(es.Address, es.Handler, wg, failed)
		if err != nil {
			return servers, err
		}
		servers = append(servers, as)
	}
	return servers, nil
}

// closeAll closes servers at once.
func closeAll(servers []*auxServer) (err error) {
	for _, as := range servers {
		as.closed.Store(true)
		err = errors.Join(err, as.listener.Close())
		as.server.Close()
	}
	return err
}

// shutdown stops the server once its requests have ended, or at the timeout.
func (as *auxServer) shutdown(timeout time.Duration) error {
	ctx, stop := context.WithTimeout(context.Background(), timeout)
	defer stop()
	as.closed.Store(true)
	err := as.listener.Close()
	return errors.Join(err, as.server.Shutdown(ctx))
}

// auxHandler bounds what the requests to an auxiliary server hold: it reads a body
// before the request runs, and buffers the response.
type auxHandler struct {
	handler http.Handler
	account *accountant.Account
	// running bounds the requests that run at once.
	running chan struct{}
	// failed is called for a request whose handler panicked.
	failed func(path string, reason any)
}

// ServeHTTP serves one request.
func (a *auxHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	o := accountant.FromContext(r.Context())
	body, err := a.account.ReadAll(r.Context(), o, r.Body, r.ContentLength, auxMaxBodyBytes)
	switch {
	case errors.Is(err, accountant.ErrTooLarge):
		http.Error(w, "the request body is too large", http.StatusRequestEntityTooLarge)
		return
	case err != nil:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	r.Body = httpserver.NewBufferedBody(body)
	response := a.run(r)
	if !a.account.Reserve(o, int64(response.body.Cap())) {
		http.Error(w, accountant.Overloaded().Error(), http.StatusServiceUnavailable)
		return
	}
	response.writeTo(w)
}

// run runs a request and returns its response.
func (a *auxHandler) run(r *http.Request) *bufferedResponse {
	response := &bufferedResponse{header: http.Header{}, status: http.StatusOK}
	select {
	case a.running <- struct{}{}:
	case <-r.Context().Done():
		response.status = http.StatusServiceUnavailable // nobody reads it
		return response
	}
	defer func() { <-a.running }()
	defer func() {
		if reason := recover(); reason != nil {
			a.failed(r.URL.Path, reason)
			response.status = http.StatusInternalServerError
			response.body.Reset()
		}
	}()
	a.handler.ServeHTTP(response, r)
	return response
}

// bufferedResponse holds a response until its length is known.
type bufferedResponse struct {
	header http.Header
	status int
	body   bytes.Buffer
}

// Header implements http.ResponseWriter.
func (b *bufferedResponse) Header() http.Header { return b.header }

// WriteHeader implements http.ResponseWriter.
func (b *bufferedResponse) WriteHeader(status int) { b.status = status }

// Write implements http.ResponseWriter.
func (b *bufferedResponse) Write(p []byte) (int, error) { return b.body.Write(p) }

// writeTo sends the response. It ignores errors, which mean that the client
// disconnected.
func (b *bufferedResponse) writeTo(w http.ResponseWriter) {
	header := w.Header()
	for name, values := range b.header {
		header[name] = values
	}
	if b.status != http.StatusNoContent && b.status != http.StatusNotModified {
		header.Set("Content-Length", strconv.Itoa(b.body.Len()))
	}
	w.WriteHeader(b.status)
	_, _ = w.Write(b.body.Bytes())
}
