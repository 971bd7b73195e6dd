package node

import (
	"strings"

	"github.com/zinniaproxy/zinniaproxy/internal/adminserver"
	"github.com/zinniaproxy/zinniaproxy/internal/gossiper"
	"github.com/zinniaproxy/zinniaproxy/internal/prober"
	"github.com/zinniaproxy/zinniaproxy/internal/settingsloader"
)

// Membership is what a node knows about the fleet: its members and their targets.
type Membership struct {
	Settings settingsloader.Settings
	Prober   *prober.Prober
	Gossiper *gossiper.Gossiper
}

func newMembership(s settingsloader.Settings, p *prober.Prober, g *gossiper.Gossiper) *Membership {
	return &Membership{Settings: s, Prober: p, Gossiper: g}
}

// Resolve returns the link address of a node, from its membership entry or else
// from the seeds.
func (ms *Membership) Resolve(node string) (string, bool) {
	if m, ok := ms.Prober.Member(node); ok {
		return m.Link, true
	}
	for _, s := range ms.Settings.Seeds {
		if name, address, ok := strings.Cut(s, "="); ok && name == node {
			return address, true
		}
	}
	return "", false
}

// InOwnCentre reports whether a node is known to be in this node's data centre.
func (ms *Membership) InOwnCentre(node string) bool {
	m, ok := ms.Prober.Member(node)
	return ok && m.Centre == ms.Settings.Centre
}

// Nodes returns a view of each known node.
func (ms *Membership) Nodes() []adminserver.NodeView {
	var out []adminserver.NodeView
	for _, m := range ms.Prober.Members() {
		out = append(out, adminserver.NodeView{
			Name: m.Name, State: m.State.String(), Centre: m.Centre, Region: m.Region, Epoch: m.Epoch,
			Link: m.Link, Callers: m.HTTP, Admin: m.Admin, Leaving: m.Leaving, Direct: m.Direct,
		})
	}
	return out
}
