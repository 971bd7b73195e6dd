// Package gossiper keeps the directory of all targets of the fleet on every
// node. Only the node on a target's VM, its origin, writes the target. The origin
// gossips the version of each change to a few other nodes, which fetch the
// change and gossip it in turn. Anti-entropy with random nodes, by comparing
// digests, finds the changes that gossip missed.
package gossiper

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/zinniaproxy/zinniaproxy/internal/messenger"
)

// Intervals and bounds of the directory.
const (
	// gossipInterval is how long gossip updates are collected before they are
	// sent.
	gossipInterval = 100 * time.Millisecond
	// gossipFanout is how many nodes of the own data centre a gossip update is
	// sent to, and remoteFanout how many of each other data centre a change of
	// this node's own targets is sent to. Nodes pass on what they receive in
	// their own data centre only.
	gossipFanout = 4
	remoteFanout = 2
	// remoteExchangeProbability is how often anti-entropy is with a node of
	// another data centre.
	remoteExchangeProbability = 0.25
	// antiEntropyInterval is the mean interval between digest comparisons with a
	// random node, joinInterval the interval until digests have matched once.
	antiEntropyInterval = 2 * time.Second
	joinInterval        = time.Second
	// minorChangeInterval is how long a change of only limits or scores waits,
	// since responses carry them to the nodes that call.
	minorChangeInterval = 5 * time.Minute
	// tombstoneRetention is how long the tombstone of a removed target is
	// kept.
	tombstoneRetention = 10 * time.Minute
	// downNodeRetention is how long the targets of a node that is not running,
	// or of a replaced process, are kept.
	downNodeRetention = 10 * time.Minute
	// queryTimeout bounds one query to another node.
	queryTimeout = 2 * time.Second
	// maxReplyTargets bounds the targets of one reply with more than one delta.
	maxReplyTargets = 1000
	// maxGossipVersions bounds the versions that gossip sends at once.
	maxGossipVersions = 4096
)

// Gossiper is the target directory on one node. Set the exported fields before
// Run.
type Gossiper struct {
	// Node is this node's name, Epoch identifies its process.
	Node  string
	Epoch uint64
	// Alive returns the names of the running nodes by their data centre. The
	// result is shared: it is not changed.
	Alive func() map[string][]string
	// Centre is the data centre of this node.
	Centre string
	// Up reports whether a node runs, and the epoch of its process.
	Up func(node string) (epoch uint64, up bool)
	// SendQuery sends a query to another node and returns its reply.
	SendQuery func(ctx context.Context, node string, q *Query) (*Reply, error)

	mu      sync.Mutex
	origins map[string]*origin
	digests [digestBuckets]uint64
	// pendingGossip holds the origins whose versions are to be gossiped.
	pendingGossip map[string]bool
	// fetching holds the versions that are being fetched, by origin.
	fetching map[string]Version
	// minorDelayStart is when the current delay of minor changes began.
	minorDelayStart time.Time
	// joined is set once the digests have matched those of another node.
	joined bool
	// staleServices holds the services whose lists in view are out of date.
	staleServices map[string]bool
	view          atomic.Pointer[map[string][]messenger.Target]
}

func (g *Gossiper) init() {
	if g.origins != nil {
		return
	}
	g.origins = map[string]*origin{}
	g.pendingGossip, g.staleServices = map[string]bool{}, map[string]bool{}
	g.fetching = map[string]Version{}
	g.ownOrigin()
	g.rebuildView()
}

// ownOrigin returns the origin of this node. The caller holds the lock.
func (g *Gossiper) ownOrigin() *origin {
	o := g.origins[g.Node]
	if o == nil {
		o = newOrigin(Version{Origin: g.Node, Epoch: g.Epoch})
		g.origins[g.Node] = o
		g.digests[bucketOf(g.Node)] ^= o.version.hash()
	}
	return o
}

// Targets returns the targets of a service on running nodes, or of all services
// for "". The slice is shared: do not change it.
func (g *Gossiper) Targets(service string) []messenger.Target {
	v := g.view.Load()
	if v == nil {
		return nil
	}
	if service != "" {
		return (*v)[service]
	}
	var out []messenger.Target
	for _, ts := range *v {
		out = append(out, ts...)
	}
	slices.SortFunc(out, byName)
	return out
}

func byName(a, b messenger.Target) int { return cmp.Compare(a.Name, b.Name) }

// SetLocalTargets replaces the targets on this node's VM and publishes the
// changes.
func (g *Gossiper) SetLocalTargets(local []messenger.Target) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.init()
	o, now := g.ownOrigin(), time.Now()
	d := g.localDelta(o, local, now)
	if len(d.Targets)+len(d.Removed) == 0 {
		return
	}
	g.applyDelta(o, d, now)
	g.rebuildView()
}

// localDelta returns the delta to the new local targets, or an empty one if there
// is nothing to publish yet: minor changes wait for another change or until
// minorChangeInterval has passed since minorDelayStart. The caller holds the lock.
func (g *Gossiper) localDelta(o *origin, local []messenger.Target, now time.Time) Delta {
	d := Delta{Version: o.version, Since: o.version.Sequence}
	d.Version.Sequence++
	kept := map[string]bool{}
	major := false
	for _, t := range local {
		kept[t.Name] = true
		it := o.items[t.Name]
		if it != nil && !it.removed && it.target == t {
			continue
		}
		major = major || it == nil || it.removed || !isMinorChange(it.target, t)
		d.Targets = append(d.Targets, t)
	}
	for name, it := range o.items {
		if !it.removed && !kept[name] {
			d.Removed = append(d.Removed, name)
		}
	}
	if !major && len(d.Removed) == 0 && now.Sub(g.minorDelayStart) < minorChangeInterval {
		return Delta{}
	}
	g.minorDelayStart = now
	return d
}

// isMinorChange reports whether two states differ at most in limit and score.
func isMinorChange(a, b messenger.Target) bool {
	a.Limit, a.Score = b.Limit, b.Score
	return a == b
}

// applyDelta applies a delta to an origin, updates its digest, queues the new
// version for gossip and marks the changed services as stale. It reports false
// if the delta does not apply. The caller holds the lock.
func (g *Gossiper) applyDelta(o *origin, d Delta, now time.Time) bool {
	before := o.version
	services, ok := o.apply(d, now)
	if !ok {
		return false
	}
	g.digests[bucketOf(before.Origin)] ^= before.hash() ^ o.version.hash()
	g.pendingGossip[o.version.Origin] = true
	for _, name := range services {
		g.staleServices[name] = true
	}
	return true
}

// MemberChanged updates the visible targets after a node started, stopped or was
// replaced.
func (g *Gossiper) MemberChanged(node string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.init()
	if o := g.origins[node]; o != nil {
		for _, it := range o.items {
			g.staleServices[it.target.Service] = true
		}
		g.rebuildView()
	}
}

// rebuildView rebuilds the lists of the stale services. The caller holds the
// lock.
func (g *Gossiper) rebuildView() {
	next := map[string][]messenger.Target{}
	if v := g.view.Load(); v != nil {
		for name, ts := range *v {
			if !g.staleServices[name] {
				next[name] = ts
			}
		}
	}
	for _, o := range g.origins {
		if !g.visible(o) {
			continue
		}
		for _, it := range o.items {
			if !it.removed && g.staleServices[it.target.Service] {
				next[it.target.Service] = append(next[it.target.Service], it.target)
			}
		}
	}
	for name := range g.staleServices {
		slices.SortFunc(next[name], byName)
	}
	clear(g.staleServices)
	g.view.Store(&next)
}

// visible reports whether an origin's targets are in the view: its node runs as
// the same process.
func (g *Gossiper) visible(o *origin) bool {
	if o.version.Origin == g.Node {
		return o.version.Epoch == g.Epoch
	}
	epoch, up := g.Up(o.version.Origin)
	return up && epoch == o.version.Epoch
}

// Run gossips changes and compares digests until ctx ends.
func (g *Gossiper) Run(ctx context.Context) error {
	g.mu.Lock()
	g.init()
	g.mu.Unlock()
	gossip := time.NewTicker(gossipInterval)
	defer gossip.Stop()
	antiEntropy := time.NewTimer(rand.N(joinInterval))
	defer antiEntropy.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-gossip.C:
			g.gossip(ctx)
		case <-antiEntropy.C:
			antiEntropy.Reset(g.antiEntropy(ctx))
			g.sweep()
		}
	}
}

// sweep drops old tombstones and the origins whose process has long not been
// running.
func (g *Gossiper) sweep() {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	for name, o := range g.origins {
		o.dropTombstones(now)
		epoch, up := g.Up(name)
		if name == g.Node || up && epoch <= o.version.Epoch {
			o.downSince = time.Time{}
			continue
		}
		if o.downSince.IsZero() {
			o.downSince = now
		}
		if now.Sub(o.downSince) > downNodeRetention {
			g.digests[bucketOf(name)] ^= o.version.hash()
			delete(g.origins, name)
		}
	}
}
