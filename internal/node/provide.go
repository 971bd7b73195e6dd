package node

import (
	"context"
	"time"

	"github.com/zinniaproxy/zinniaproxy/internal/accountant"
	"github.com/zinniaproxy/zinniaproxy/internal/adminserver"
	"github.com/zinniaproxy/zinniaproxy/internal/admitter"
	"github.com/zinniaproxy/zinniaproxy/internal/attemptsender"
	"github.com/zinniaproxy/zinniaproxy/internal/authenticator"
	"github.com/zinniaproxy/zinniaproxy/internal/configurer"
	"github.com/zinniaproxy/zinniaproxy/internal/crashwatcher"
	"github.com/zinniaproxy/zinniaproxy/internal/deduper"
	"github.com/zinniaproxy/zinniaproxy/internal/drainer"
	"github.com/zinniaproxy/zinniaproxy/internal/entryhandler"
	"github.com/zinniaproxy/zinniaproxy/internal/exithandler"
	"github.com/zinniaproxy/zinniaproxy/internal/gossiper"
	"github.com/zinniaproxy/zinniaproxy/internal/leaverecorder"
	"github.com/zinniaproxy/zinniaproxy/internal/limiter"
	"github.com/zinniaproxy/zinniaproxy/internal/linker"
	"github.com/zinniaproxy/zinniaproxy/internal/loadprober"
	"github.com/zinniaproxy/zinniaproxy/internal/measurer"
	"github.com/zinniaproxy/zinniaproxy/internal/noter"
	"github.com/zinniaproxy/zinniaproxy/internal/picker"
	"github.com/zinniaproxy/zinniaproxy/internal/prober"
	"github.com/zinniaproxy/zinniaproxy/internal/quarantiner"
	"github.com/zinniaproxy/zinniaproxy/internal/requestrunner"
	"github.com/zinniaproxy/zinniaproxy/internal/reserver"
	"github.com/zinniaproxy/zinniaproxy/internal/sampler"
	"github.com/zinniaproxy/zinniaproxy/internal/settingsloader"
	"github.com/zinniaproxy/zinniaproxy/internal/softlimiter"
	"github.com/zinniaproxy/zinniaproxy/internal/targetregistrar"
	"github.com/zinniaproxy/zinniaproxy/internal/tracer"
	"github.com/zinniaproxy/zinniaproxy/pkg/declarer"
)

// Epoch distinguishes a process from earlier ones of the same node. It is the
// start time in Unix nanoseconds.
type Epoch uint64

func newEpoch() Epoch { return Epoch(time.Now().UnixNano()) }

func newTracer(s settingsloader.Settings, p Platform) *tracer.Tracer {
	return &tracer.Tracer{Node: s.Name, Centre: s.Centre, Size: eventRingSize, Log: p.Events}
}

func newRefusals(p Platform, m *measurer.Measurer) *refusalLog {
	for _, kind := range refusalKinds() {
		m.Refused(kind, 0)
	}
	return &refusalLog{
		count: func(kind string) { m.Refused(kind, 1) },
		log:   func(kind string, total int64) { p.Log.Info("clients refused", "kind", kind, "total", total) },
	}
}

func newLinker(s settingsloader.Settings, e Epoch, p Platform, ms *Membership, a *accountant.Account, r *refusalLog, t *tracer.Tracer) *linker.Linker {
	return &linker.Linker{
		Account: a, MaxHandshakes: newClientLimits(s).handshakes, Refused: r.add,
		Node: s.Name, Epoch: uint64(e), Secret: []byte(s.Secret),
		Dial: p.Dial, Resolve: ms.Resolve, OwnCentre: ms.InOwnCentre, Tracer: t,
	}
}

func newTargetRegistrar(s settingsloader.Settings, cfg *configurer.Configurer, g *gossiper.Gossiper, a *admitter.Admitter, t *tracer.Tracer) *targetregistrar.Registrar {
	return &targetregistrar.Registrar{
		Node: s.Name, Centre: s.Centre, IP: s.Address, ExpectedService: s.Service, Tracer: t,
		Service:      func(name string) *declarer.Service { return serviceByName(cfg, name) },
		ApplyVerdict: a.ApplyVerdict,
		OnChange:     g.SetLocalTargets,
	}
}

func newLeaveRecorder(s settingsloader.Settings, p Platform, pr *prober.Prober, l *linker.Linker, t *tracer.Tracer) *leaverecorder.Recorder {
	return &leaverecorder.Recorder{
		Node:    s.Name,
		Sampler: &sampler.Sampler{Node: s.Name, Centre: s.Centre, Alive: pr.AliveByCentre},
		SendQuery: func(ctx context.Context, node string, q *leaverecorder.Query) (*leaverecorder.Reply, error) {
			return linker.SendTypedQuery[leaverecorder.Query, leaverecorder.Reply](ctx, l, node, linker.MethodLeave, q)
		},
		Store: p.Store, Lease: prober.LeaseName(s.Name), Log: p.Log, Tracer: t,
	}
}

func newTargetSender(p Platform, a *admitter.Admitter, cfg *configurer.Configurer) *exithandler.Sender {
	return &exithandler.Sender{Dial: p.Dial, Load: a.Load, Dialect: p.dialect(), ObserveStatement: a.ObserveStatement, Echo: func(service string) bool {
		svc := serviceByName(cfg, service)
		return svc != nil && svc.Echo
	}}
}

// serviceByName returns a service of the current configuration, or nil.
func serviceByName(cfg *configurer.Configurer, name string) *declarer.Service {
	if index := cfg.Index(); index != nil {
		return index.Service(name)
	}
	return nil
}

func newCrashWatcher(p Platform, q *quarantiner.Quarantiner, t *tracer.Tracer) *crashwatcher.Watcher {
	return &crashwatcher.Watcher{Dial: p.Dial, OnCrash: q.ReportCrash, Tracer: t}
}

func newQuarantiner(s settingsloader.Settings, p Platform, pr *prober.Prober, l *linker.Linker, t *tracer.Tracer) *quarantiner.Quarantiner {
	return &quarantiner.Quarantiner{
		Sampler: &sampler.Sampler{Node: s.Name, Centre: s.Centre, Alive: pr.AliveByCentre},
		SendQuery: func(ctx context.Context, node string, q *quarantiner.Query) (*quarantiner.Reply, error) {
			return linker.SendTypedQuery[quarantiner.Query, quarantiner.Reply](ctx, l, node, linker.MethodQuarantine, q)
		},
		Store: p.Store, Log: p.Log, Tracer: t,
	}
}

func newExitHandler(r *targetregistrar.Registrar, a *admitter.Admitter, sender *exithandler.Sender, dd *deduper.Deduper, dr *drainer.Drainer, cw *crashwatcher.Watcher, q *quarantiner.Quarantiner, m *measurer.Measurer, t *tracer.Tracer) *exithandler.Handler {
	return &exithandler.Handler{
		Lookup: r.Lookup, Enter: dr.Enter, CheckLeaving: dr.Check,
		Begin: beginAttempt(dd), Acquire: a.Acquire, Load: a.Load, Send: sender.Send, Tracer: t,
		Waited: m.Queue, CallCut: cw.CallCut, Quarantine: q.Check, Completed: q.Completed,
		Ended: func(o exithandler.Outcome) { m.Target(o.Result.String(), o.Latency) },
	}
}

// isCentreOut reports whether the configuration drains a data centre.
func isCentreOut(cfg *configurer.Configurer, name string) bool {
	index := cfg.Index()
	if index == nil {
		return false
	}
	c, _ := index.Centre(name)
	return c.Out
}

func newAttemptSender(s settingsloader.Settings, p *picker.Picker, l *linker.Linker, eh *exithandler.Handler, lp *loadprober.Prober, rs *reserver.Client, n *noter.Noter, m *measurer.Measurer, t *tracer.Tracer) *attemptsender.Sender {
	pick := pickFromState(p)
	if s.PrefersAvailability() {
		pick = pickByLoadProbe(p, lp, rs)
	}
	return &attemptsender.Sender{
		Node: s.Name, Open: l.Open, Local: &exithandler.Local{Serve: eh.Serve}, Pick: pick, Tracer: t,
		ObserveLatency: m.Attempt, Statement: n.Statement, RecordStatement: n.Record,
	}
}

func newEntryHandler(s settingsloader.Settings, e Epoch, p Platform, soft *softlimiter.Limiter, cfg *configurer.Configurer, a *authenticator.Authenticator, li *limiter.Limiter, pr *prober.Prober, rr *requestrunner.Runner, dr *drainer.Drainer, m *measurer.Measurer, t *tracer.Tracer) *entryhandler.Handler {
	var configTimeout time.Duration
	limit, entry := li.Take, func(workspace string) string { return holderEntry(s, li, pr, workspace) }
	if s.PrefersAvailability() {
		limit, entry, configTimeout = soft.Take, nil, firstConfigurationTimeout
	}
	return &entryhandler.Handler{
		Node: s.Name, Epoch: uint64(e), Index: cfg.Index, Tracer: t, Service: s.Service, Dialect: p.dialect(),
		ConfigurationTimeout: configTimeout,
		Leaving:              dr.Leaving,
		AdmitWhileStopping:   dr.AdmitRequest,
		KeysCurrent:          a.MayAcceptKeys,
		Limit:                limit,
		Entry:                entry,
		MaxBody:              int64(s.Body),
		MaxRequests:          int(s.Requests),
		Forward:              rr.Forward,
		Count:                m.Request,
	}
}

// firstConfigurationTimeout bounds how long a request waits for the first
// configuration on a node that accepts callers at startup. Callers whose
// connection is refused do not try again, and reading the configuration takes
// several round trips.
const firstConfigurationTimeout = 400 * time.Millisecond

func newAdminServer(s settingsloader.Settings, cfg *configurer.Configurer, ms *Membership, r *targetregistrar.Registrar, dr *drainer.Drainer, li *limiter.Limiter, q *quarantiner.Quarantiner, m *measurer.Measurer, t *tracer.Tracer) *adminserver.Server {
	return &adminserver.Server{
		Index: cfg.Index, Nodes: ms.Nodes, Targets: ms.Gossiper.Targets, Registrar: r, Metrics: m.Registry, Tracer: t,
		Quarantine: q.Entries, Release: q.Release,
		Digest: func() string { return cfg.Head().Manifest.String() },
		NotReadyReason: func() string {
			switch {
			case cfg.Index() == nil:
				return "no configuration yet"
			case dr.Leaving():
				return "stopping"
			case s.PrefersAvailability():
				return ""
			}
			return li.NotReadyReason()
		},
	}
}
