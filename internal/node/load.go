package node

import (
	"context"
	"math/rand/v2"

	"github.com/zinniaproxy/zinniaproxy/internal/admitter"
	"github.com/zinniaproxy/zinniaproxy/internal/bidder"
	"github.com/zinniaproxy/zinniaproxy/internal/configurer"
	"github.com/zinniaproxy/zinniaproxy/internal/detector"
	"github.com/zinniaproxy/zinniaproxy/internal/forwarder"
	"github.com/zinniaproxy/zinniaproxy/internal/gater"
	"github.com/zinniaproxy/zinniaproxy/internal/linker"
	"github.com/zinniaproxy/zinniaproxy/internal/messenger"
	"github.com/zinniaproxy/zinniaproxy/internal/picker"
	"github.com/zinniaproxy/zinniaproxy/internal/prober"
	"github.com/zinniaproxy/zinniaproxy/internal/registrar"
	"github.com/zinniaproxy/zinniaproxy/internal/settler"
	"github.com/zinniaproxy/zinniaproxy/internal/spreader"
	"github.com/zinniaproxy/zinniaproxy/internal/tracer"
	"github.com/zinniaproxy/zinniaproxy/pkg/coder"
)

// fullQueueFactor times its limit is the assumed queue of a target that refused a
// call with a queue timeout.
const fullQueueFactor = 2

func newDetector(sp *spreader.Spreader) *detector.Detector {
	return &detector.Detector{Peers: sp.Targets, Rand: rand.IntN}
}

func newAdmitter(s settler.Settings, cfg *configurer.Configurer, d *detector.Detector, t *tracer.Tracer) *admitter.Admitter {
	return &admitter.Admitter{
		Cold: func(service string) int {
			if svc := serviceByName(cfg, service); svc != nil {
				return svc.Cold
			}
			return 1
		},
		Pace: func(service string) float64 {
			if svc := serviceByName(cfg, service); svc != nil {
				return svc.Pace
			}
			return 0
		},
		Out:      func() bool { return isCentreOut(cfg, s.Centre) },
		Detector: d, Gater: newGater(s), Tracer: t,
	}
}

// newGater returns the circuit breaker of the local targets, or nil unless rates
// are shared: only then does availability go before strictness.
func newGater(s settler.Settings) *gater.Gater {
	if !s.ServesOn() {
		return nil
	}
	return &gater.Gater{}
}

func newPicker(s settler.Settings, cfg *configurer.Configurer, sp *spreader.Spreader, pr *prober.Prober, t *tracer.Tracer) *picker.Picker {
	return &picker.Picker{
		Down: func(node string) bool {
			m, ok := pr.Member(node)
			return ok && m.State != prober.Alive
		},
		Centre: s.Centre, Targets: sp.Targets, Index: cfg.Index, Rand: rand.Float64,
		Avoid: func(node string) { t.Add(tracer.Event{Kind: "path-avoided", Detail: node}) },
	}
}

// pickFunc chooses a target for the forwarder. The second result must be called
// with the outcome of the attempt.
type pickFunc func(ctx context.Context, c *messenger.Call, tried []string) (messenger.Target, func(forwarder.Outcome), error)

// pickFromState returns a pickFunc that uses only what this node knows.
func pickFromState(p *picker.Picker) pickFunc {
	return func(_ context.Context, c *messenger.Call, tried []string) (messenger.Target, func(forwarder.Outcome), error) {
		t, done, err := p.Pick(c.Service, tried)
		if err != nil {
			return t, nil, err
		}
		return t, func(o forwarder.Outcome) { done(pickerOutcome(t, o)) }, nil
	}
}

// pickByLoadProbe returns a pickFunc that compares the load reports of a few exit
// nodes.
func pickByLoadProbe(p *picker.Picker, b *bidder.Bidder) pickFunc {
	return func(ctx context.Context, c *messenger.Call, tried []string) (messenger.Target, func(forwarder.Outcome), error) {
		t, err := b.Choose(ctx, c, tried)
		if err != nil {
			return t, nil, err
		}
		c.Bold = true // the best of several targets may have a higher risk
		done := p.Begin(t)
		return t, func(o forwarder.Outcome) { done(pickerOutcome(t, o)) }, nil
	}
}

func newBidder(s settler.Settings, p *picker.Picker, a *admitter.Admitter, l *linker.Linker, r *registrar.Registrar) *bidder.Bidder {
	b := &bidder.Bidder{
		Self: s.Name, Candidates: p.Candidates,
		Own: func(q *bidder.Question) bidder.Bid { return localLoadReport(a, r, q) },
		Ask: func(ctx context.Context, node string, q *bidder.Question) (*bidder.Bid, error) {
			return linker.AskMessage[bidder.Question, bidder.Bid](ctx, l, node, linker.MethodBid, q)
		},
		Heard: func(t messenger.Target, b bidder.Bid) {
			p.Heard(t, messenger.Head{Queue: b.Queue, Flying: b.Flying, Limit: b.Limit})
		},
		Lost: func(node string, err error) {
			if linker.Lost(err) {
				p.Lost(node)
			}
		},
	}
	linker.HandleMessage(l, linker.MethodBid, func(_ context.Context, _ string, q *bidder.Question) (*bidder.Bid, error) {
		own := b.Own(q)
		return &own, nil
	})
	return b
}

// localLoadReport answers a load probe for a target of this node.
func localLoadReport(a *admitter.Admitter, r *registrar.Registrar, q *bidder.Question) bidder.Bid {
	t, ok := r.Lookup(q.Target)
	if !ok || t.Epoch != q.Epoch || !t.Chosen() {
		return bidder.Bid{Closed: true}
	}
	l := a.Load(q.Target)
	return bidder.Bid{Risk: a.Risk(q.Target), Queue: l.Queue, Flying: l.Flying, Limit: l.Limit}
}

// pickerOutcome converts the outcome of an attempt to what the picker learns
// about the path and the target.
func pickerOutcome(t messenger.Target, o forwarder.Outcome) picker.Outcome {
	out := picker.Outcome{Lost: o.Lost}
	out.Unreached = o.Lost && coder.Of(o.Err).Code == coder.NotSent
	switch {
	case o.Known:
		out.Heard = true
		out.Head = messenger.Head{Queue: o.Load.Queue, Flying: o.Load.Flying, Limit: o.Load.Limit}
	case o.Err != nil && coder.Of(o.Err).Code == coder.QueueTimeout:
		out.Heard = true
		out.Head = messenger.Head{Queue: fullQueueFactor * t.Limit, Limit: t.Limit}
	}
	return out
}

// bindLoad connects the detector to other nodes, and its verdicts to the admitter
// and the registrar.
func bindLoad(c components) {
	c.Detector.Ask = func(ctx context.Context, node string, q *detector.Question) (*detector.Reply, error) {
		return linker.AskMessage[detector.Question, detector.Reply](ctx, c.Linker, node, linker.MethodReference, q)
	}
	linker.HandleMessage(c.Linker, linker.MethodReference, c.Detector.Handle)
	c.Detector.Change = c.Admitter.Told
	c.Admitter.Rejudge = c.Registrar.Rejudge
}

// runDetector runs the detector as a controller.
func (n *Node) runDetector(ctx context.Context) error {
	n.Detector.Run(ctx)
	return nil
}
