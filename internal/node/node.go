// Package node builds a node from its components and runs it.
package node

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/zinniaproxy/zinniaproxy/internal/accountant"
	"github.com/zinniaproxy/zinniaproxy/internal/adminserver"
	"github.com/zinniaproxy/zinniaproxy/internal/admitter"
	"github.com/zinniaproxy/zinniaproxy/internal/attemptsender"
	"github.com/zinniaproxy/zinniaproxy/internal/authenticator"
	"github.com/zinniaproxy/zinniaproxy/internal/configurer"
	"github.com/zinniaproxy/zinniaproxy/internal/crashwatcher"
	"github.com/zinniaproxy/zinniaproxy/internal/deduper"
	"github.com/zinniaproxy/zinniaproxy/internal/detector"
	"github.com/zinniaproxy/zinniaproxy/internal/drainer"
	"github.com/zinniaproxy/zinniaproxy/internal/entryhandler"
	"github.com/zinniaproxy/zinniaproxy/internal/exithandler"
	"github.com/zinniaproxy/zinniaproxy/internal/gossiper"
	"github.com/zinniaproxy/zinniaproxy/internal/leaverecorder"
	"github.com/zinniaproxy/zinniaproxy/internal/limiter"
	"github.com/zinniaproxy/zinniaproxy/internal/linker"
	"github.com/zinniaproxy/zinniaproxy/internal/measurer"
	"github.com/zinniaproxy/zinniaproxy/internal/picker"
	"github.com/zinniaproxy/zinniaproxy/internal/prober"
	"github.com/zinniaproxy/zinniaproxy/internal/quarantiner"
	"github.com/zinniaproxy/zinniaproxy/internal/recorder"
	"github.com/zinniaproxy/zinniaproxy/internal/reserver"
	"github.com/zinniaproxy/zinniaproxy/internal/retrier"
	"github.com/zinniaproxy/zinniaproxy/internal/settingsloader"
	"github.com/zinniaproxy/zinniaproxy/internal/softlimiter"
	"github.com/zinniaproxy/zinniaproxy/internal/storer"
	"github.com/zinniaproxy/zinniaproxy/internal/targetregistrar"
	"github.com/zinniaproxy/zinniaproxy/internal/tracer"
)

// Limits of the HTTP servers, startup and shutdown.
const (
	headerTimeout   = 10 * time.Second
	idleConnTimeout = 2 * time.Minute
	maxHeaderBytes  = 64 << 10
	// defaultKillTimeout is the assumed time from the stop signal until the
	// process is killed, if the setting grace is 0: a common default of process
	// managers.
	defaultKillTimeout = 30 * time.Second
	// exitReserve is the part of that time kept for sending the last responses
	// and exiting, on a VM that may have a fraction of a core.
	exitReserve = 250 * time.Millisecond
	// abortTimeout is the part of exitReserve for responses to requests that are
	// left.
	abortTimeout = 150 * time.Millisecond
	// minFlushTimeout is the part of exitReserve for writing to other nodes, and
	// maxFlushTimeout bounds it: a node that cannot be reached reads nothing.
	minFlushTimeout = 50 * time.Millisecond
	maxFlushTimeout = 500 * time.Millisecond
	// maxStopAccept bounds how long a stopping node accepts requests that may
	// outlast it, unless it accepts connections for longer. Callers that ask for
	// its readiness know by then that it leaves.
	maxStopAccept = 3 * time.Second
	// maxDisconnectWait bounds how long a stopping node waits for callers to
	// close their connections.
	maxDisconnectWait = 5 * time.Second
	// disconnectWaitDivisor bounds that wait to a part of the remaining time; the
	// rest is for the last requests.
	disconnectWaitDivisor  = 4
	disconnectPollInterval = 20 * time.Millisecond
	// initialStateTimeout bounds how long a starting node waits for the fleet's
	// state before it accepts callers.
	initialStateTimeout      = 3 * time.Second
	initialStatePollInterval = 20 * time.Millisecond
	eventRingSize            = tracer.DefaultSize
	// maxFailures is more than the controllers and servers that may fail, so that
	// none of them waits for Run to read its error.
	maxFailures = 64
)

// Platform is what a node needs from its environment. Tests use fakes.
type Platform struct {
	// Listen listens for TCP connections on an address.
	Listen func(address string) (net.Listener, error)
	// Dial connects to a TCP address.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// ListenPackets opens a datagram socket on an address.
	ListenPackets func(address string) (*prober.Socket, error)
	// Store is the platform's key-value service.
	Store *storer.Store
	// Log receives the node's log lines.
	Log logr.Logger
	// Measurer receives the node's metrics. Nil means a new one.
	Measurer *measurer.Measurer
	// DroppedLogLines returns how many log lines were dropped. Nil means that the count
	// is not exported as a metric.
	DroppedLogLines func() int64
	// Events receives each event of the node, to log it. It must not block. Nil
	// means that events are not logged.
	Events func(tracer.Event)
	// LiveSettings holds the settings that may change while the node runs. Nil
	// means that none do.
	LiveSettings *settingsloader.Live
	// Dialect names the headers, and the meaning of some responses, that are used
	// with callers and targets. The zero value means exithandler.OwnDialect.
	Dialect exithandler.Dialect
	// DeclarationSource waits for a change of what the operators declare and
	// returns what it holds then, or after a while nil if there was none, if
	// operators keep it elsewhere than as a head and parts in Store. Nil means the
	// store.
	DeclarationSource func(ctx context.Context) (*configurer.Observation, error)
	// FindTarget looks for the target on this VM until it is found or announces
	// itself, so that a restarted node serves it at once. It may be nil.
	FindTarget func(ctx context.Context, n *Node)
	// ExtraServers returns additional HTTP servers that the node runs. It may be
	// nil.
	ExtraServers func(n *Node) []ExtraServer
}

// ExtraServer is the address and the handler of an additional HTTP server.
type ExtraServer struct {
	Address string
	Handler http.Handler
}

// settings returns the current settings, or start if they cannot change.
func (p Platform) settings(start settingsloader.Settings) settingsloader.Settings {
	if p.LiveSettings == nil {
		return start
	}
	return p.LiveSettings.Current()
}

// dialect returns Dialect, or the default if it is not set.
func (p Platform) dialect() exithandler.Dialect {
	if p.Dialect.RequestIDHeader == "" {
		return exithandler.OwnDialect()
	}
	return p.Dialect
}

// Node is one proxy node: its components and its settings at startup.
type Node struct {
	Settings            settingsloader.Settings
	Platform            Platform
	Tracer              *tracer.Tracer
	Measurer            *measurer.Measurer
	Linker              *linker.Linker
	TargetRegistrar     *targetregistrar.Registrar
	LeaveRecorder       *leaverecorder.Recorder
	TargetSender        *exithandler.Sender
	Deduper             *deduper.Deduper
	Retrier             *retrier.Retrier
	Drainer             *drainer.Drainer
	IdempotencyRecorder *recorder.Recorder
	CrashWatcher        *crashwatcher.Watcher
	Quarantiner         *quarantiner.Quarantiner
	ExitHandler         *exithandler.Handler
	AttemptSender       *attemptsender.Sender
	EntryHandler        *entryhandler.Handler
	AdminServer         *adminserver.Server
	Prober              *prober.Prober
	MemberRecorder      *prober.MemberRecorder
	Gossiper            *gossiper.Gossiper
	Membership          *Membership
	Configurer          *configurer.Configurer
	Authenticator       *authenticator.Authenticator
	Detector            *detector.Detector
	Admitter            *admitter.Admitter
	Picker              *picker.Picker
	Reserver            *reserver.Client
	ReservationServer   *reserver.Server
	Limiter             *limiter.Limiter
	SoftLimiter         *softlimiter.Limiter
	Account             *accountant.Account

	refusals *refusalLog
}

// controller is a background job that runs as long as the node.
type controller struct {
	name string
	run  func(ctx context.Context) error
}

// controllers returns the background jobs that keep the node's state. Requests
// are handled by entryhandler.Filters and exithandler.Filters.
func (n *Node) controllers(links net.Listener) []controller {
	cs := []controller{
		{"links", func(ctx context.Context) error { return n.Linker.Run(ctx, links) }},
		{"targets", n.TargetRegistrar.Run},
		{"leaving", n.Drainer.Run},
		{"leaves", n.LeaveRecorder.Run},
		{"keyed calls", n.IdempotencyRecorder.Run},
		{"heartbeats", n.Prober.Run},
		{"node record", n.MemberRecorder.Run},
		{"directory", n.Gossiper.Run},
		{"configuration", n.Configurer.Run},
		{"keys", n.Authenticator.Run},
		{"judgements", n.runDetector},
		{"limits", n.Admitter.Run},
		{"quarantine", n.Quarantiner.Run},
		{"traffic", n.logTraffic},
	}
	if n.Settings.PrefersAvailability() {
		return cs
	}
	return append(cs, controller{"rates", func(ctx context.Context) error { n.Limiter.Run(ctx); return nil }})
}

// Run runs the node until ctx is done or a server or controller fails, then
// stops it after its requests in flight have ended.
func (n *Node) Run(ctx context.Context) error {
	links, err := n.Platform.Listen(n.Settings.Link)
	if err != nil {
		return err
	}
	if n.Prober.Socket, err = n.Platform.ListenPackets(n.Settings.Link); err != nil {
		return errors.Join(err, links.Close())
	}
	runCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var wg sync.WaitGroup
	defer wg.Wait()
	failed := make(chan error, maxFailures)
	for _, c := range n.controllers(links) {
		wg.Go(func() {
			if err := c.run(runCtx); err != nil {
				n.Platform.Log.Error(err, "controller ended", "controller", c.name)
				failed <- err
			}
		})
	}
	admin, err := n.serve(n.Settings.Admin, n.AdminServer.Handler(), &wg, failed)
	if err != nil {
		stop()
		return err
	}
	extra, err := n.serveExtra(&wg, failed)
	others := append(extra, admin)
	if err != nil {
		stop()
		return errors.Join(err, closeAll(others))
	}
	if n.Platform.FindTarget != nil {
		wg.Go(func() { n.Platform.FindTarget(runCtx, n) })
	}
	if !n.Settings.PrefersAvailability() {
		n.awaitInitialState(ctx)
	}
	callers, err := n.serveCallers(&wg, failed)
	if err != nil {
		stop()
		return errors.Join(err, closeAll(others))
	}
	n.Platform.Log.Info("node started", "callers", n.Settings.Callers)
	select {
	case <-ctx.Done():
	case err = <-failed:
	}
	err = errors.Join(err, n.shutdown(callers, others))
	n.TargetSender.Close()
	stop()
	return err
}

// awaitInitialState waits up to initialStateTimeout until the node knows the
// configuration and a target; without them it would refuse its first callers.
func (n *Node) awaitInitialState(ctx context.Context) {
	deadline := time.Now().Add(initialStateTimeout)
	for ctx.Err() == nil && time.Now().Before(deadline) {
		if n.Configurer.Index() != nil && len(n.Gossiper.Targets("")) > 0 {
			return
		}
		time.Sleep(initialStatePollInterval)
	}
}
