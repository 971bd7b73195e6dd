package commander

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/zinniaproxy/zinniaproxy/pkg/coder"
)

const (
	readHeaderTimeout = 10 * time.Second
	// shutdownTimeout bounds how long a stopping fake waits for requests in
	// flight.
	shutdownTimeout = 10 * time.Second
)

// server is the HTTP server of a fake store or target.
type server struct {
	http     *http.Server
	serveErr chan error
}

// startServer listens at an address and serves h.
func startServer(address string, h http.Handler) (*server, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, coder.New(coder.BadSettings, "address: %v", err)
	}
	s := &server{http: &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout}, serveErr: make(chan error, 1)}
	go func() { s.serveErr <- s.http.Serve(ln) }()
	return s, nil
}

// wait blocks until ctx ends, and then returns nil, or until the server fails.
func (s *server) wait(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return nil
	case err := <-s.serveErr:
		return err
	}
}

// shutdown stops the server once its requests have ended, or after
// shutdownTimeout.
func (s *server) shutdown() error {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	err := s.http.Shutdown(ctx)
	return errors.Join(err, s.http.Close())
}
