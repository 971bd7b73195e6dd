// Package node puts the parts of one node together and runs them.
package node

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/zinniaproxy/zinniaproxy/internal/measurer"

	"github.com/zinniaproxy/zinniaproxy/internal/admitter"
	"github.com/zinniaproxy/zinniaproxy/internal/authenticator"
	"github.com/zinniaproxy/zinniaproxy/internal/configurer"
	"github.com/zinniaproxy/zinniaproxy/internal/deduper"
	"github.com/zinniaproxy/zinniaproxy/internal/detector"
	"github.com/zinniaproxy/zinniaproxy/internal/dispatcher"
	"github.com/zinniaproxy/zinniaproxy/internal/drainer"
	"github.com/zinniaproxy/zinniaproxy/internal/forwarder"
	"github.com/zinniaproxy/zinniaproxy/internal/limiter"
	"github.com/zinniaproxy/zinniaproxy/internal/linker"
	"github.com/zinniaproxy/zinniaproxy/internal/picker"
	"github.com/zinniaproxy/zinniaproxy/internal/prober"
	"github.com/zinniaproxy/zinniaproxy/internal/rationer"
	"github.com/zinniaproxy/zinniaproxy/internal/receiver"
	"github.com/zinniaproxy/zinniaproxy/internal/recorder"
	"github.com/zinniaproxy/zinniaproxy/internal/registrar"
	"github.com/zinniaproxy/zinniaproxy/internal/reporter"
	"github.com/zinniaproxy/zinniaproxy/internal/retrier"
	"github.com/zinniaproxy/zinniaproxy/internal/settler"
	"github.com/zinniaproxy/zinniaproxy/internal/spreader"
	"github.com/zinniaproxy/zinniaproxy/internal/storer"
	"github.com/zinniaproxy/zinniaproxy/internal/tracer"
)

// Bounds of the node's HTTP servers.
const (
	headTimeout  = 10 * time.Second
	idleTimeout  = 2 * time.Minute
	maxHeadBytes = 64 << 10
	// stopTimeout is when a process that was told to stop is taken to be killed,
	// where no setting tells: what process managers commonly allow.
	stopTimeout = 30 * time.Second
	// exitTime is kept of it for the last answers to leave and the process to
	// end, on a VM that may have a small part of a core.
	exitTime = 250 * time.Millisecond
	// lingerTimeout is how long a stopping node leaves idle connections open.
	lingerTimeout = 5 * time.Second
	// lingerPart divides what is left of the time to stop: the rest is for the
	// requests that came last.
	lingerPart = 4
	lingerPoll = 20 * time.Millisecond
	// learnTimeout is how long a starting node keeps callers away until it has
	// heard of the fleet.
	learnTimeout  = 3 * time.Second
	learnPoll     = 20 * time.Millisecond
	eventRingSize = tracer.DefaultSize
)

// Platform is what a node needs of the machine that it runs on. Tests fill it
// with stand-ins.
type Platform struct {
	// Listen accepts TCP connections at an address.
	Listen func(address string) (net.Listener, error)
	// Dial connects to a TCP address.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// Packets opens a socket for datagrams at an address.
	Packets func(address string) (*prober.Socket, error)
	// Store is the platform's key-value service.
	Store *storer.Store
	// Log takes the node's log.
	Log logr.Logger
	// Measurer takes the node's metrics. Nil means a new one.
	Measurer *measurer.Measurer
	// Dropped counts the lines that the log dropped. Nil means none.
	Dropped func() int64
	// Events takes each event of the node, for its log. It must not block. Nil
	// drops them.
	Events func(tracer.Event)
	// Live holds settings that change while the node runs. Nil means that none
	// do.
	Live *settler.Live
	// Dialect is how callers and targets are spoken to. The zero value means
	// the fleet's own.
	Dialect dispatcher.Dialect
	// Source has the operators' declaration, where it is not kept as the
	// fleet's own head and parts.
	Source func(ctx context.Context, after uint64) (configurer.Declared, error)
	// Find looks for the target beside the node until it is found or announces
	// itself, so that a restarted node serves it at once. It may be nil.
	Find func(ctx context.Context, n *Node)
	// Pages are further addresses that the node answers at. It may be nil.
	Pages func(n *Node) []Page
}

// Page is an address with what answers there.
type Page struct {
	Address string
	Handler http.Handler
}

// settings returns the settings in force, those of the start by default.
func (p Platform) settings(start settler.Settings) settler.Settings {
	if p.Live == nil {
		return start
	}
	return p.Live.Current()
}

// dialect returns how callers and targets are spoken to.
func (p Platform) dialect() dispatcher.Dialect {
	if p.Dialect.Request == "" {
		return dispatcher.OwnDialect()
	}
	return p.Dialect
}

// Node is one node process.
type Node struct {
	Settings      settler.Settings
	Platform      Platform
	Tracer        *tracer.Tracer
	Measurer      *measurer.Measurer
	Linker        *linker.Linker
	Registrar     *registrar.Registrar
	Sender        *dispatcher.Sender
	Deduper       *deduper.Deduper
	Retrier       *retrier.Retrier
	Drainer       *drainer.Drainer
	Records       *recorder.Recorder
	Dispatcher    *dispatcher.Dispatcher
	Forwarder     *forwarder.Forwarder
	Receiver      *receiver.Receiver
	Reporter      *reporter.Reporter
	Prober        *prober.Prober
	Recorder      *prober.Recorder
	Spreader      *spreader.Spreader
	Roster        *Roster
	Configurer    *configurer.Configurer
	Authenticator *authenticator.Authenticator
	Detector      *detector.Detector
	Admitter      *admitter.Admitter
	Picker        *picker.Picker
	Limiter       *limiter.Limiter
	Rationer      *rationer.Rationer
}

// controller is one job that runs as long as the node.
type controller struct {
	name string
	run  func(ctx context.Context) error
}

// controllers returns the controllers of state. Together with the filters of
// receiver.Filters and dispatcher.Filters they are the whole program.
func (n *Node) controllers(links net.Listener) []controller {
	cs := []controller{
		{"links", func(ctx context.Context) error { return n.Linker.Run(ctx, links) }},
		{"targets", n.Registrar.Run},
		{"leaving", n.Drainer.Run},
		{"keyed calls", n.Records.Run},
		{"heartbeats", n.Prober.Run},
		{"node record", n.Recorder.Run},
		{"directory", n.Spreader.Run},
		{"configuration", n.Configurer.Run},
		{"keys", n.Authenticator.Run},
		{"judgements", n.runDetector},
		{"limits", n.Admitter.Run},
	}
	if n.Settings.ServesOn() {
		return cs
	}
	return append(cs, controller{"rates", func(ctx context.Context) error { n.Limiter.Run(ctx); return nil }})
}

// Run runs the node until ctx ends, then stops it without cutting a request.
func (n *Node) Run(ctx context.Context) error {
	links, err := n.Platform.Listen(n.Settings.Link)
	if err != nil {
		return err
	}
	if n.Prober.Socket, err = n.Platform.Packets(n.Settings.Link); err != nil {
		return errors.Join(err, links.Close())
	}
	inner, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var wg sync.WaitGroup
	defer wg.Wait()
	failed := make(chan error, 8)
	for _, c := range n.controllers(links) {
		wg.Go(func() {
			if err := c.run(inner); err != nil {
				n.Platform.Log.Error(err, "controller ended", "controller", c.name)
				failed <- err
			}
		})
	}
	admin, err := n.serve(n.Settings.Admin, n.Reporter.Handler(), &wg, failed)
	if err != nil {
		stop()
		return err
	}
	pages, err := n.servePages(&wg, failed)
	if err != nil {
		stop()
		return errors.Join(err, admin.server.Close())
	}
	if n.Platform.Find != nil {
		wg.Go(func() { n.Platform.Find(inner, n) })
	}
	if !n.Settings.ServesOn() {
		n.learn(ctx)
	}
	callers, err := n.serveCallers(&wg, failed)
	if err != nil {
		stop()
		return errors.Join(err, admin.server.Close())
	}
	n.Platform.Log.Info("node started", "callers", n.Settings.Callers)
	select {
	case <-ctx.Done():
	case err = <-failed:
	}
	err = errors.Join(err, n.leave(callers, append(pages, admin)))
	n.Sender.Close()
	stop()
	return err
}

// learn waits, for a bounded time, until the node knows the configuration and
// some target, so that its first callers are not refused for its ignorance.
func (n *Node) learn(ctx context.Context) {
	end := time.Now().Add(learnTimeout)
	for ctx.Err() == nil && time.Now().Before(end) {
		if n.Configurer.Index() != nil && len(n.Spreader.Targets("")) > 0 {
			return
		}
		time.Sleep(learnPoll)
	}
}
