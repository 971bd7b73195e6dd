package node

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/zinniaproxy/zinniaproxy/internal/authenticator"
	"github.com/zinniaproxy/zinniaproxy/internal/configurer"
	"github.com/zinniaproxy/zinniaproxy/internal/gossiper"
	"github.com/zinniaproxy/zinniaproxy/internal/leaverecorder"
	"github.com/zinniaproxy/zinniaproxy/internal/linker"
	"github.com/zinniaproxy/zinniaproxy/internal/messenger"
	"github.com/zinniaproxy/zinniaproxy/internal/prober"
	"github.com/zinniaproxy/zinniaproxy/internal/settingsloader"
	"github.com/zinniaproxy/zinniaproxy/internal/tracer"
)

func newProber(s settingsloader.Settings, e Epoch) *prober.Prober {
	return &prober.Prober{
		Node: messenger.Node{
			Name: s.Name, Epoch: uint64(e), Link: s.Link, HTTP: s.Callers,
			Centre: s.Centre, Region: s.Region, Started: time.Now(), Admin: s.Admin,
		},
		Secret: []byte(s.Secret), Seeds: seedAddresses(s), DisableStamps: s.PrefersAvailability(),
	}
}

// seedAddresses returns the link addresses of the seeds except this node's.
func seedAddresses(s settingsloader.Settings) []string {
	var out []string
	for _, seed := range s.Seeds {
		name, address, ok := strings.Cut(seed, "=")
		if !ok {
			address = seed
		}
		if name != s.Name && address != s.Link {
			out = append(out, address)
		}
	}
	return out
}

func newMemberRecorder(p Platform, pr *prober.Prober) *prober.MemberRecorder {
	return &prober.MemberRecorder{Store: p.Store, Prober: pr, Log: p.Log, StoreOnlyDiscovery: p.DeclarationSource != nil}
}

func newGossiper(s settingsloader.Settings, e Epoch, p *prober.Prober) *gossiper.Gossiper {
	return &gossiper.Gossiper{
		Node: s.Name, Epoch: uint64(e), Centre: s.Centre, Alive: p.AliveByCentre,
		Up: func(node string) (uint64, bool) {
			m, ok := p.Member(node)
			return m.Epoch, ok && m.Up()
		},
	}
}

func newConfigurer(s settingsloader.Settings, p Platform, pr *prober.Prober, t *tracer.Tracer) *configurer.Configurer {
	return &configurer.Configurer{
		Store: p.Store, DeclarationSource: p.DeclarationSource, Watching: pr.IsWatcher, ExpectPeers: len(seedAddresses(s)) > 0, Tracer: t,
		AnnounceNumber:   func(number uint64) { pr.RaiseNumber(prober.ConfigNumber, number) },
		AnnounceOverflow: pr.RaiseOverflow,
		SourceReader:     pr.IsSourceReader,
		NearPeers: func() []string {
			return slices.DeleteFunc(slices.Clone(pr.AliveByCentre()[s.Centre]), func(name string) bool { return name == s.Name })
		},
		Peers: func() []string {
			return slices.DeleteFunc(slices.Clone(pr.Alive()), func(name string) bool { return name == s.Name })
		},
	}
}

func newAuthenticator(s settingsloader.Settings, c *configurer.Configurer, p *prober.Prober) *authenticator.Authenticator {
	return &authenticator.Authenticator{Index: c.Index, NewestStamp: p.NewestStamp, AcceptUnconfirmed: s.PrefersAvailability()}
}

// noteEra tells those who keep something in the store that it was restored from an
// older copy since an earlier era.
func (c components) noteEra(era uint64) {
	c.MemberRecorder.NoteEra(era)
	c.Quarantiner.NoteEra(era)
	c.IdempotencyRecorder.NoteEra(era)
	c.LeaveRecorder.NoteEra(era)
	if !c.Settings.PrefersAvailability() {
		c.Limiter.NoteEra(era)
	}
}

// bindState connects membership, configuration and target gossip to other nodes.
func bindState(c components) {
	c.Prober.OnChange = func(m prober.Member) {
		c.Tracer.Add(tracer.Event{Kind: "node-" + m.State.String(), Detail: m.Name})
		c.Gossiper.MemberChanged(m.Name)
		if c.Settings.PrefersAvailability() {
			c.SoftLimiter.NoteMembers()
		}
	}
	c.Prober.Confirm = func(ctx context.Context) (prober.Numbers, error) {
		return readStoreNumbers(ctx, c)
	}
	c.Prober.OnNumber = func(k prober.Kind, number uint64) {
		switch k {
		case prober.ConfigNumber:
			c.Configurer.NoteNumber(number)
		case prober.EraNumber:
			c.noteEra(number)
		}
	}
	c.Prober.OnOverflow = c.Configurer.NoteOverflow
	if eras := c.Platform.Store.Eras; eras != nil {
		eras.OnAdvance = func(_, era uint64) { c.Prober.RaiseNumber(prober.EraNumber, era) }
	}
	c.Configurer.SendQuery = func(ctx context.Context, node string, q *configurer.Query) (*configurer.Reply, error) {
		return linker.SendTypedQuery[configurer.Query, configurer.Reply](ctx, c.Linker, node, linker.MethodConfiguration, q)
	}
	linker.HandleTypedQuery(c.Linker, linker.MethodConfiguration, c.Configurer.Handle)
	c.Gossiper.SendQuery = func(ctx context.Context, node string, q *gossiper.Query) (*gossiper.Reply, error) {
		return linker.SendTypedQuery[gossiper.Query, gossiper.Reply](ctx, c.Linker, node, linker.MethodTargets, q)
	}
	linker.HandleTypedQuery(c.Linker, linker.MethodTargets, c.Gossiper.Handle)
	bindLeaves(c)
}

// bindLeaves connects the targets on this VM to the record of those that left.
func bindLeaves(c components) {
	c.LeaveRecorder.OnLeave = func(l leaverecorder.Leave) { c.TargetRegistrar.RestoreLeave(l.Target, l.Start) }
	c.TargetRegistrar.AwaitLeaves = c.LeaveRecorder.Await
	c.TargetRegistrar.RecordLeave = func(target string, epoch uint64) error {
		return c.LeaveRecorder.Record(leaverecorder.Leave{Target: target, Start: epoch})
	}
	linker.HandleTypedQuery(c.Linker, linker.MethodLeave, c.LeaveRecorder.Handle)
}
