package node

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/zinniaproxy/zinniaproxy/internal/logger"
	"github.com/zinniaproxy/zinniaproxy/internal/measurer"
	"github.com/zinniaproxy/zinniaproxy/internal/prober"
	"github.com/zinniaproxy/zinniaproxy/internal/settler"
	"github.com/zinniaproxy/zinniaproxy/internal/storer"
	"github.com/zinniaproxy/zinniaproxy/internal/tracer"
)

// dialTimeout bounds how long a connection may take to come up.
const dialTimeout = 3 * time.Second

// NewPlatform returns the machine that this process runs on, with its network
// and the store of the settings.
func NewPlatform(s settler.Settings, out *logger.Logger) Platform {
	dialer := &net.Dialer{Timeout: dialTimeout}
	m := measurer.New()
	return Platform{
		Measurer: m, Dropped: out.Dropped,
		Listen: func(address string) (net.Listener, error) { return net.Listen("tcp", address) },
		Dial: func(ctx context.Context, address string) (net.Conn, error) {
			return dialer.DialContext(ctx, "tcp", address)
		},
		Packets: prober.Listen,
		Store:   m.Store(storer.Dial(s.Store, &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext}})),
		Log:     out.Logr(s.Level).WithValues("node", s.Name, "centre", s.Centre),
		Events:  events(s, out),
	}
}

// events writes the node's events to its log, unless it takes only errors.
func events(s settler.Settings, out *logger.Logger) func(tracer.Event) {
	if s.Level == "error" {
		return nil
	}
	return func(e tracer.Event) { out.Add(e, e.Routine) }
}

// RunProcess runs a node with checked settings on this machine until ctx ends.
func RunProcess(ctx context.Context, live *settler.Live, out *logger.Logger) error {
	p := NewPlatform(live.Current(), out)
	p.Live = live
	return New(live.Current(), p).Run(ctx)
}
