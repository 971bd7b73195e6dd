package node

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/zinniaproxy/zinniaproxy/internal/assigner"
	"github.com/zinniaproxy/zinniaproxy/internal/configurer"
	"github.com/zinniaproxy/zinniaproxy/internal/indexer"
	"github.com/zinniaproxy/zinniaproxy/internal/limiter"
	"github.com/zinniaproxy/zinniaproxy/internal/linker"
	"github.com/zinniaproxy/zinniaproxy/internal/messenger"
	"github.com/zinniaproxy/zinniaproxy/internal/prober"
	"github.com/zinniaproxy/zinniaproxy/internal/settingsloader"
	"github.com/zinniaproxy/zinniaproxy/internal/softlimiter"
	"github.com/zinniaproxy/zinniaproxy/internal/tracer"
	"github.com/zinniaproxy/zinniaproxy/pkg/declarer"
)

const (
	// handoverTimeout bounds how long a stopping node hands over its shares.
	handoverTimeout = 3 * time.Second
	// deadNodeRetention is how long a dead node keeps its part of shared rates:
	// longer than most partitions, but shorter than callers take to notice the
	// reduced rate.
	deadNodeRetention = 20 * time.Second
	// minWideRate, in requests per second, and minWideBurst are the smallest
	// limits of a workspace that several holders grant. With less, a holder's part
	// of the burst is often below a whole token.
	minWideRate  = 24
	minWideBurst = 32
)

func newLimiter(s settingsloader.Settings, e Epoch, p Platform, cfg *configurer.Configurer, pr *prober.Prober, t *tracer.Tracer) *limiter.Limiter {
	wide := &wideWorkspaces{index: cfg.Index}
	return &limiter.Limiter{
		Self:  messenger.Node{Name: s.Name, Epoch: uint64(e), Centre: s.Centre, Region: s.Region},
		Store: p.Store, Tracer: t, WideWorkspaces: wide.list,
		Members:      func() []messenger.Node { return availableNodes(pr, cfg) },
		Quorum:       func() bool { return hasQuorum(pr) },
		Workspace:    func(name string) (float64, int, bool) { return workspaceLimits(cfg, name) },
		GossipNumber: func(number uint64) { pr.RaiseNumber(prober.SharesNumber, number) },
		NewestNumber: func() (uint64, time.Duration, bool) {
			stamp := pr.NewestStamp()
			return stamp.Shares, stamp.Age, stamp.Age != prober.Never
		},
	}
}

func newSoftLimiter(s settingsloader.Settings, p Platform, cfg *configurer.Configurer, pr *prober.Prober) *softlimiter.Limiter {
	return &softlimiter.Limiter{
		Self: s.Name, Started: time.Now(), Alive: pr.Alive, AliveByCentre: pr.AliveByCentre, Joined: pr.Joined, MaxInitialTokens: func() float64 { return p.settings(s).Excess / 2 },
		Limit: func(name string) (float64, int, bool) { return workspaceLimits(cfg, name) },
		Suspect: func(name string) bool {
			m, ok := pr.Member(name)
			return ok && m.State == prober.Suspect
		},
		ReachableFraction: func() float64 { return pr.RunningFraction(deadNodeRetention) },
	}
}

// availableNodes returns the nodes that are up, are not stopping, and whose data
// centre is not taken out.
func availableNodes(p *prober.Prober, cfg *configurer.Configurer) []messenger.Node {
	var out []messenger.Node
	for _, m := range p.Members() {
		if m.Up() && !m.Leaving && !isCentreOut(cfg, m.Centre) {
			out = append(out, m.Node)
		}
	}
	return out
}

// hasQuorum reports whether at least half of the members that have not left are
// up.
func hasQuorum(p *prober.Prober) bool {
	up, all := 0, 0
	for _, m := range p.Members() {
		if m.State == prober.Left {
			continue
		}
		all++
		if m.Up() {
			up++
		}
	}
	return 2*up >= all
}

func workspaceLimits(cfg *configurer.Configurer, name string) (float64, int, bool) {
	index := cfg.Index()
	if index == nil {
		return 0, 0, false
	}
	workspace := index.Workspace(name)
	if workspace == nil {
		return 0, 0, false
	}
	return workspace.Rate, workspace.Burst, true
}

// holderEntry returns the callers' address of the node that holds all of a
// workspace's tokens, or "" if it is this node or in another region.
func holderEntry(s settingsloader.Settings, l *limiter.Limiter, p *prober.Prober, workspace string) string {
	name := l.SoleHolder(workspace)
	if name == "" || name == s.Name {
		return ""
	}
	m, ok := p.Member(name)
	if !ok || m.Region != s.Region {
		return ""
	}
	return m.HTTP
}

// wideWorkspaces caches the wide workspaces of the newest configuration: those
// split over several holders.
type wideWorkspaces struct {
	index func() *indexer.Index

	mu           sync.Mutex
	configNumber uint64
	names        []string
}

func (w *wideWorkspaces) list() ([]string, uint64) {
	index := w.index()
	if index == nil {
		return nil, 0
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if index.Number != w.configNumber {
		w.configNumber, w.names = index.Number, selectWide(index.Fleet().Workspaces)
	}
	return w.names, w.configNumber
}

// selectWide returns the names of the workspaces to split over several holders,
// highest rate first, at most assigner.MaxWide.
func selectWide(all []declarer.Workspace) []string {
	var wide []declarer.Workspace
	for _, w := range all {
		if w.Rate >= minWideRate && w.Burst >= minWideBurst {
			wide = append(wide, w)
		}
	}
	slices.SortFunc(wide, func(a, b declarer.Workspace) int {
		return cmp.Or(cmp.Compare(b.Rate, a.Rate), cmp.Compare(a.Name, b.Name))
	})
	names := make([]string, 0, min(len(wide), assigner.MaxWide))
	for _, w := range wide[:cap(names)] {
		names = append(names, w.Name)
	}
	return names
}

// bindLimits connects the limiter and the soft limiter to their peers on other
// nodes.
func bindLimits(c components) {
	c.Limiter.SendQuery = func(ctx context.Context, node string, q *limiter.Query) (*limiter.Reply, error) {
		return linker.SendTypedQuery[limiter.Query, limiter.Reply](ctx, c.Linker, node, linker.MethodLimit, q)
	}
	c.Limiter.SendHandover = func(ctx context.Context, node string, m *limiter.Handover) (*limiter.HandoverReply, error) {
		return linker.SendTypedQuery[limiter.Handover, limiter.HandoverReply](ctx, c.Linker, node, linker.MethodShares, m)
	}
	c.SoftLimiter.SendQuery = func(ctx context.Context, node string, q *softlimiter.Query) (*softlimiter.Reply, error) {
		return linker.SendTypedQuery[softlimiter.Query, softlimiter.Reply](ctx, c.Linker, node, linker.MethodSoftLimit, q)
	}
	linker.HandleTypedQuery(c.Linker, linker.MethodSoftLimit, c.SoftLimiter.Handle)
	linker.HandleTypedQuery(c.Linker, linker.MethodLimit, c.Limiter.HandleQuery)
	linker.HandleTypedQuery(c.Linker, linker.MethodShares, c.Limiter.HandleHandover)
}

// readStoreNumbers reads the current numbers of the configuration and of the
// share assignment from the store.
func readStoreNumbers(ctx context.Context, c components) (prober.Numbers, error) {
	config, err := c.Configurer.Confirm(ctx)
	if err != nil {
		return prober.Numbers{}, err
	}
	shares, err := assigner.Number(ctx, c.Platform.Store)
	return prober.Numbers{prober.ConfigNumber: config, prober.SharesNumber: shares}, err
}

// startHandover starts to hand over this node's shares to other nodes in the
// background. wait blocks until that has ended.
func (n *Node) startHandover(ctx context.Context) (wait func()) {
	if n.Settings.PrefersAvailability() {
		return func() {}
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		ctx, stop := context.WithTimeout(ctx, handoverTimeout)
		defer stop()
		n.Limiter.Leave(ctx)
	}()
	return func() { <-done }
}
