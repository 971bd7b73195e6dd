package node

import (
	"context"
	"math/rand/v2"
	"net/http"

	"github.com/zinniaproxy/zinniaproxy/internal/admitter"
	"github.com/zinniaproxy/zinniaproxy/internal/attemptsender"
	"github.com/zinniaproxy/zinniaproxy/internal/breaker"
	"github.com/zinniaproxy/zinniaproxy/internal/configurer"
	"github.com/zinniaproxy/zinniaproxy/internal/detector"
	"github.com/zinniaproxy/zinniaproxy/internal/gossiper"
	"github.com/zinniaproxy/zinniaproxy/internal/linker"
	"github.com/zinniaproxy/zinniaproxy/internal/loadprober"
	"github.com/zinniaproxy/zinniaproxy/internal/messenger"
	"github.com/zinniaproxy/zinniaproxy/internal/noter"
	"github.com/zinniaproxy/zinniaproxy/internal/picker"
	"github.com/zinniaproxy/zinniaproxy/internal/prober"
	"github.com/zinniaproxy/zinniaproxy/internal/reserver"
	"github.com/zinniaproxy/zinniaproxy/internal/settingsloader"
	"github.com/zinniaproxy/zinniaproxy/internal/targetregistrar"
	"github.com/zinniaproxy/zinniaproxy/internal/tracer"
	"github.com/zinniaproxy/zinniaproxy/pkg/coder"
)

// fullQueueFactor is the assumed queue of a target that refused a call with a
// queue timeout, as a multiple of the target's limit.
const fullQueueFactor = 2

func newDetector(g *gossiper.Gossiper) *detector.Detector {
	return &detector.Detector{Peers: g.Targets, Rand: rand.IntN}
}

func newAdmitter(s settingsloader.Settings, cfg *configurer.Configurer, d *detector.Detector, t *tracer.Tracer) *admitter.Admitter {
	return &admitter.Admitter{
		ColdLimit: func(service string) int {
			if svc := serviceByName(cfg, service); svc != nil {
				return svc.Cold
			}
			return 1
		},
		ColdRate: func(service string) float64 {
			if svc := serviceByName(cfg, service); svc != nil {
				return svc.Pace
			}
			return 0
		},
		CentreOut: func() bool { return isCentreOut(cfg, s.Centre) },
		Detector:  d, Breaker: newBreaker(s), Tracer: t,
	}
}

// newBreaker returns the circuit breaker of the local targets, or nil unless
// rates are shared: only then does availability go before strictness.
func newBreaker(s settingsloader.Settings) *breaker.Breaker {
	if !s.PrefersAvailability() {
		return nil
	}
	return &breaker.Breaker{}
}

func newNoter() *noter.Noter { return &noter.Noter{} }

func newPicker(s settingsloader.Settings, cfg *configurer.Configurer, g *gossiper.Gossiper, pr *prober.Prober, n *noter.Noter, t *tracer.Tracer) *picker.Picker {
	return &picker.Picker{
		CompareCentres: s.PrefersAvailability(),
		Down: func(node string) bool {
			m, ok := pr.Member(node)
			return ok && m.State != prober.Alive
		},
		Centre: s.Centre, Targets: g.Targets, Index: cfg.Index, Rand: rand.Float64, Leaving: n.Leaving,
		OnAvoid: func(node string) { t.Add(tracer.Event{Kind: "path-avoided", Detail: node}) },
	}
}

// pickFunc chooses a target for the attempt sender. The second result must be
// called with the outcome of the attempt.
type pickFunc func(ctx context.Context, c *messenger.Call, tried []string) (messenger.Target, func(attemptsender.Outcome), error)

// pickFromState returns a pickFunc that uses only what this node knows.
func pickFromState(p *picker.Picker) pickFunc {
	return func(_ context.Context, c *messenger.Call, tried []string) (messenger.Target, func(attemptsender.Outcome), error) {
		t, done, err := p.Pick(c.Service, tried)
		if err != nil {
			return t, nil, err
		}
		return t, func(o attemptsender.Outcome) { done(pickerOutcome(t, o)) }, nil
	}
}

// pickByLoadProbe returns a pickFunc that compares the load reports of a few exit
// nodes. If the best one has no free slot, a call with a large body reserves one,
// so that the body is sent once, when the slot is there.
func pickByLoadProbe(p *picker.Picker, lp *loadprober.Prober, rs *reserver.Client) pickFunc {
	return func(ctx context.Context, c *messenger.Call, tried []string) (messenger.Target, func(attemptsender.Outcome), error) {
		c.RelaxRiskLimit = true // the best of several targets may have a higher risk
		choice, err := lp.Choose(ctx, c, tried)
		t := choice.Target
		if err == nil && !choice.Free && !c.Wait && len(c.Body) >= minReservedBody {
			t, err = reserve(ctx, rs, c, choice)
		}
		if err != nil {
			if !isCanceled(err) {
				lp.RecordOutcome(c, false)
			}
			return t, nil, err
		}
		done := p.Begin(t)
		return t, func(o attemptsender.Outcome) {
			if !isCanceled(o.Err) {
				lp.RecordOutcome(c, o.Err == nil && o.Status < http.StatusInternalServerError)
			}
			done(pickerOutcome(t, o))
		}, nil
	}
}

// minReservedBody is the size in bytes from which on a body stays at the entry node
// until a slot is reserved. A smaller one costs little more than the reservation.
const minReservedBody = 8 << 10

// reserve waits for a slot at one of two targets of a data centre, and lets the
// call carry the reservation.
func reserve(ctx context.Context, rs *reserver.Client, c *messenger.Call, choice loadprober.Choice) (messenger.Target, error) {
	requests := []reserver.Request{{Target: choice.Target, Call: c}}
	if choice.Next != nil && choice.Next.Centre == choice.Target.Centre {
		requests = append(requests, reserver.Request{Target: *choice.Next, Call: c})
	}
	granted, id, err := rs.Acquire(ctx, requests)
	c.Reservation = id
	return granted.Target, err
}

func isCanceled(err error) bool { return err != nil && coder.Of(err).Code == coder.Canceled }

func newLoadProber(s settingsloader.Settings, p *picker.Picker, a *admitter.Admitter, l *linker.Linker, r *targetregistrar.Registrar, n *noter.Noter) *loadprober.Prober {
	lp := &loadprober.Prober{
		Self: s.Name, Centre: s.Centre, Candidates: p.Candidates, Statement: n.Statement,
		LocalReport: func(q *loadprober.Query) loadprober.Report { return localLoadReport(a, r, q) },
		SendProbe: func(ctx context.Context, node string, q *loadprober.Query) (*loadprober.Report, error) {
			return linker.SendTypedQuery[loadprober.Query, loadprober.Report](ctx, l, node, linker.MethodLoadProbe, q)
		},
		OnReport: func(t messenger.Target, report loadprober.Report) {
			p.RecordLoad(t, reportedLoad(report))
		},
		OnProbeError: func(node string, err error) {
			if linker.IsLinkLost(err) {
				p.RecordUnreachable(node)
			}
		},
	}
	linker.HandleTypedQuery(l, linker.MethodLoadProbe, func(_ context.Context, _ string, q *loadprober.Query) (*loadprober.Report, error) {
		own := lp.LocalReport(q)
		return &own, nil
	})
	return lp
}

// reportedLoad returns the load that a report stands for. A target that has reached
// its limit of calls per second has as little room as one without a free slot, so
// that calls spill over to other data centres and hedges stop.
func reportedLoad(r loadprober.Report) messenger.ResponseHead {
	h := messenger.ResponseHead{Queue: r.Queue, InFlight: r.InFlight, Limit: r.Limit}
	if r.Exhausted {
		h.Queue = max(h.Queue, h.Limit)
	}
	return h
}

// localLoadReport answers a load probe for a target of this node.
func localLoadReport(a *admitter.Admitter, r *targetregistrar.Registrar, q *loadprober.Query) loadprober.Report {
	t, ok := r.Lookup(q.Target)
	if !ok || t.Epoch != q.Epoch || !t.AcceptsCalls() {
		return loadprober.Report{Unavailable: true}
	}
	a.AdoptStatement(q.Target, q.Epoch, q.Statement)
	l := a.Load(q.Target)
	delay, refused := a.StartDelay(q.Target)
	return loadprober.Report{
		Risk: a.Risk(q.Target), Queue: l.Queue, InFlight: l.InFlight, Limit: l.Limit, IdleTime: a.IdleTime(q.Target),
		StartDelay: delay, Exhausted: refused,
	}
}

// pickerOutcome converts the outcome of an attempt to what the picker learns
// about the path and the target.
func pickerOutcome(t messenger.Target, o attemptsender.Outcome) picker.Outcome {
	out := picker.Outcome{Lost: o.LinkLost}
	out.NotSent = o.LinkLost && coder.Of(o.Err).Code == coder.NotSent
	switch {
	case o.LoadKnown:
		out.Answered = true
		out.Head = messenger.ResponseHead{Queue: o.Load.Queue, InFlight: o.Load.InFlight, Limit: o.Load.Limit}
	case o.Err != nil && coder.Of(o.Err).Code == coder.QueueTimeout:
		out.Answered = true
		out.Head = messenger.ResponseHead{Queue: fullQueueFactor * t.Limit, Limit: t.Limit}
	}
	return out
}

// bindLoad connects the detector to other nodes, and its verdicts to the admitter
// and the target registrar, and the entry handler to the admitter.
func bindLoad(c components) {
	c.Detector.SendQuery = func(ctx context.Context, node string, q *detector.Query) (*detector.Reply, error) {
		return linker.SendTypedQuery[detector.Query, detector.Reply](ctx, c.Linker, node, linker.MethodReference, q)
	}
	linker.HandleTypedQuery(c.Linker, linker.MethodReference, c.Detector.Handle)
	c.Detector.OnVerdict = c.Admitter.HandleVerdict
	c.Admitter.RefreshVerdicts = c.TargetRegistrar.RefreshVerdicts
	c.EntryHandler.BeginInner = c.Admitter.BeginInner
	c.ExitHandler.AffordsRepeat = c.Retrier.AffordsRepeat
}

// runDetector runs the detector as a controller.
func (n *Node) runDetector(ctx context.Context) error {
	n.Detector.Run(ctx)
	return nil
}
