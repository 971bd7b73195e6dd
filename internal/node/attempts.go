package node

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/zinniaproxy/zinniaproxy/internal/attemptsender"
	"github.com/zinniaproxy/zinniaproxy/internal/deduper"
	"github.com/zinniaproxy/zinniaproxy/internal/linker"
	"github.com/zinniaproxy/zinniaproxy/internal/messenger"
	"github.com/zinniaproxy/zinniaproxy/internal/picker"
	"github.com/zinniaproxy/zinniaproxy/internal/prober"
	"github.com/zinniaproxy/zinniaproxy/internal/quarantiner"
	"github.com/zinniaproxy/zinniaproxy/internal/recorder"
	"github.com/zinniaproxy/zinniaproxy/internal/requestrunner"
	"github.com/zinniaproxy/zinniaproxy/internal/retrier"
	"github.com/zinniaproxy/zinniaproxy/internal/settingsloader"
	"github.com/zinniaproxy/zinniaproxy/internal/tracer"
)

func newDeduper(e Epoch) *deduper.Deduper { return deduper.New(uint64(e)) }

// beginAttempt returns a function that registers an attempt, so that a
// duplicate of it is rejected.
func beginAttempt(d *deduper.Deduper) func(*messenger.Call, time.Time) (func() error, error) {
	return func(c *messenger.Call, deadline time.Time) (func() error, error) {
		attempt, err := d.Begin(c.ID, time.Until(deadline))
		return attempt.Check, err
	}
}

// maxRedirects bounds the redirects of a request with shared rates, where one
// target after another may hang. Each costs a round trip and reaches no target.
const maxRedirects = 3

// maxHedgeLoad is the load of a service at which hedging stops, as a fraction of
// its targets' concurrency limits: calls begin to wait for slots.
const maxHedgeLoad = 0.95

// fullTargetsPause is the pause before the next attempt when all targets were
// full or likely to hang. Some calls end within it, and a caller hardly notices.
const fullTargetsPause = 30 * time.Millisecond

func newRetrier(s settingsloader.Settings, p Platform, pr *prober.Prober, pi *picker.Picker) *retrier.Retrier {
	r := retrier.New()
	r.CurrentRatio = func() float64 {
		if v := p.settings(s).Ratio; v > 0 {
			return v
		}
		return r.Ratio
	}
	if s.PrefersAvailability() {
		r.MaxRedirects, r.RedirectBackoff = maxRedirects, fullTargetsPause
		r.Busy = func(service string) bool { return pi.OwnCentreLoad(service) >= maxHedgeLoad }
	}
	if s.Slack > 0 {
		r.NodeBudget = func() float64 { return p.settings(s).Slack / float64(max(len(pr.Alive()), 1)) }
	}
	return r
}

func newIdempotencyRecorder(s settingsloader.Settings, p Platform, pr *prober.Prober, l *linker.Linker, t *tracer.Tracer) *recorder.Recorder {
	r := recorder.New(s.Name)
	r.Store, r.Tracer, r.Nodes = p.Store, t, pr.Alive
	r.Up = func(node string) bool {
		m, ok := pr.Member(node)
		return ok && m.Up()
	}
	r.Members = func() []string { return votingNodes(pr.Members()) }
	r.SendQuery = func(ctx context.Context, node string, q *recorder.Query) (*recorder.Reply, error) {
		return linker.SendTypedQuery[recorder.Query, recorder.Reply](ctx, l, node, linker.MethodRecord, q)
	}
	return r
}

// votingNodes returns the names of the nodes that a majority is counted over:
// all members except those that announced that they left.
func votingNodes(members []prober.Member) []string {
	out := make([]string, 0, len(members))
	for _, m := range members {
		if m.State != prober.Left {
			out = append(out, m.Name)
		}
	}
	return out
}

func newRequestRunner(sender *attemptsender.Sender, l *linker.Linker, r *retrier.Retrier, rec *recorder.Recorder, q *quarantiner.Quarantiner) *requestrunner.Runner {
	return &requestrunner.Runner{
		Attempt: sender.Attempt, Retrier: r, Record: rec.Begin, Finish: rec.Finish, Rand: rand.Uint64, Admit: q.Admit,
		Fence: func(ctx context.Context, node string, q *messenger.Fence) (*messenger.FenceReply, error) {
			return linker.SendTypedQuery[messenger.Fence, messenger.FenceReply](ctx, l, node, linker.MethodFence, q)
		},
	}
}

// answerFence answers entry nodes that fence an attempt whose link broke.
func answerFence(d *deduper.Deduper) func(context.Context, string, *messenger.Fence) (*messenger.FenceReply, error) {
	return func(_ context.Context, _ string, q *messenger.Fence) (*messenger.FenceReply, error) {
		return &messenger.FenceReply{NotSeen: d.Fence(q.ID, q.Epoch, q.SinceSent) == deduper.FenceNotSeen}, nil
	}
}
