package node

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/zinniaproxy/zinniaproxy/internal/logger"
	"github.com/zinniaproxy/zinniaproxy/internal/measurer"
	"github.com/zinniaproxy/zinniaproxy/internal/prober"
	"github.com/zinniaproxy/zinniaproxy/internal/settingsloader"
	"github.com/zinniaproxy/zinniaproxy/internal/storer"
	"github.com/zinniaproxy/zinniaproxy/internal/tracer"
)

// dialTimeout bounds how long connecting may take.
const dialTimeout = 3 * time.Second

// NewPlatform returns a platform on this machine's network, with the store that
// the settings name.
func NewPlatform(s settingsloader.Settings, out *logger.Logger) Platform {
	setRuntimeLimit(s)
	dialer := &net.Dialer{Timeout: dialTimeout}
	m := measurer.New()
	return Platform{
		Measurer: m, DroppedLogLines: out.Dropped,
		Listen: func(address string) (net.Listener, error) { return net.Listen("tcp", address) },
		Dial: func(ctx context.Context, address string) (net.Conn, error) {
			return dialer.DialContext(ctx, "tcp", address)
		},
		ListenPackets: prober.Listen,
		Store:         m.InstrumentStore(storer.Dial(s.Store, &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext, MaxResponseHeaderBytes: maxHeaderBytes}})),
		Log:           out.Logr(s.Level).WithValues("node", s.Name, "centre", s.Centre),
		Events:        eventLogger(s, out),
	}
}

// eventLogger returns a function that writes events to the log, or nil if the log
// level is error.
func eventLogger(s settingsloader.Settings, out *logger.Logger) func(tracer.Event) {
	if s.Level == "error" {
		return nil
	}
	return func(e tracer.Event) { out.Add(e, e.Routine) }
}

// RunProcess runs a node on this machine until ctx is done. The settings must
// have been checked.
func RunProcess(ctx context.Context, live *settingsloader.Live, out *logger.Logger) error {
	p := NewPlatform(live.Current(), out)
	p.LiveSettings = live
	return New(live.Current(), p).Run(ctx)
}
