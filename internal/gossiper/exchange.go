package gossiper

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/zinniaproxy/zinniaproxy/internal/sampler"
)

// exchangePartner returns a random node to compare digests with, or "". Until
// the digests have matched once it is in the own data centre, where the whole
// directory is fetched without crossing to another.
func (g *Gossiper) exchangePartner() string {
	if !g.joined {
		return g.sampler().Partner(0)
	}
	return g.sampler().Partner(remoteExchangeProbability)
}

func (g *Gossiper) sampler() *sampler.Sampler {
	return &sampler.Sampler{Node: g.Node, Centre: g.Centre, Alive: g.Alive}
}

// gossip sends the pending versions to a few random nodes of the own data
// centre, and that of this node's own targets to a few of each other one.
// Versions beyond maxGossipVersions are left to anti-entropy.
func (g *Gossiper) gossip(ctx context.Context) {
	g.mu.Lock()
	if len(g.pendingGossip) == 0 {
		g.mu.Unlock()
		return
	}
	q := &Query{Kind: Gossip}
	for name := range g.pendingGossip {
		if o := g.origins[name]; o != nil && len(q.Versions) < maxGossipVersions {
			q.Versions = append(q.Versions, o.version)
		}
	}
	own := &Query{Kind: Gossip, Versions: []Version{g.ownOrigin().version}}
	ownPending := g.pendingGossip[g.Node]
	clear(g.pendingGossip)
	g.mu.Unlock()
	near, remote := g.sampler().Peers()
	for _, name := range sampler.Sample(near, gossipFanout) {
		go func() { _, _ = g.query(ctx, name, q) }()
	}
	if !ownPending {
		return
	}
	for _, names := range remote {
		for _, name := range sampler.Sample(names, remoteFanout) {
			go func() { _, _ = g.query(ctx, name, own) }()
		}
	}
}

func (g *Gossiper) query(ctx context.Context, node string, q *Query) (*Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	return g.SendQuery(ctx, node, q)
}

// Handle answers a query from another node.
func (g *Gossiper) Handle(ctx context.Context, from string, q *Query) (*Reply, error) {
	g.mu.Lock()
	g.init()
	g.mu.Unlock()
	switch q.Kind {
	case Gossip:
		go g.fetch(context.WithoutCancel(ctx), from, q.Versions)
	case Fetch:
		return g.deltasSince(q.Versions), nil
	case AntiEntropy:
		return g.differingVersions(q.Digests), nil
	}
	return &Reply{}, nil
}

// deltasSince returns the changes since the versions that the other node has.
func (g *Gossiper) deltasSince(have []Version) *Reply {
	g.mu.Lock()
	defer g.mu.Unlock()
	r, remaining := &Reply{}, maxReplyTargets
	for _, v := range have {
		o := g.origins[v.Origin]
		if o == nil || !o.version.newer(v) {
			continue
		}
		d := o.deltaSince(v)
		if remaining -= len(d.Targets); remaining < 0 && len(r.Deltas) > 0 {
			break
		}
		r.Deltas = append(r.Deltas, d)
	}
	return r
}

// differingVersions returns the versions in the buckets whose digests differ.
func (g *Gossiper) differingVersions(theirs []uint64) *Reply {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := &Reply{}
	if len(theirs) != digestBuckets {
		return r
	}
	var differ [digestBuckets]bool
	for i, d := range theirs {
		if differ[i] = d != g.digests[i]; differ[i] {
			r.Buckets = append(r.Buckets, i)
		}
	}
	for name, o := range g.origins {
		if differ[bucketOf(name)] {
			r.Versions = append(r.Versions, o.version)
		}
	}
	return r
}

// startFetching marks the origins that are newer at another node as being
// fetched and returns the versions that this node has of them. It leaves out
// versions that are already being fetched. The caller holds the lock.
func (g *Gossiper) startFetching(theirs []Version) []Version {
	var out []Version
	for _, v := range theirs {
		if v.Origin == g.Node {
			continue
		}
		have := Version{Origin: v.Origin}
		if o := g.origins[v.Origin]; o != nil {
			have = o.version
		}
		if epoch, up := g.Up(v.Origin); up && v.Epoch < epoch {
			continue // the process was replaced
		}
		if v.newer(have) && v.newer(g.fetching[v.Origin]) {
			g.fetching[v.Origin] = v
			out = append(out, have)
		}
	}
	return out
}

// fetch fetches the given versions from a node that has them, as far as this node
// lacks them.
func (g *Gossiper) fetch(ctx context.Context, from string, theirs []Version) {
	g.mu.Lock()
	need := g.startFetching(theirs)
	g.mu.Unlock()
	for len(need) > 0 {
		r, err := g.query(ctx, from, &Query{Kind: Fetch, Versions: need})
		applied := g.applyReply(r, err)
		if applied == 0 {
			break
		}
		need = g.outstanding(need)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, v := range theirs {
		delete(g.fetching, v.Origin)
	}
}

// applyReply applies a reply to Fetch and returns how many origins it updated.
func (g *Gossiper) applyReply(r *Reply, err error) (n int) {
	if err != nil || r == nil {
		return 0
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	for _, d := range r.Deltas {
		name := d.Version.Origin
		if name == g.Node {
			continue
		}
		o := g.origins[name]
		if o == nil {
			o = newOrigin(Version{Origin: name})
			g.digests[bucketOf(name)] ^= o.version.hash()
			g.origins[name] = o
		}
		switch {
		case g.applyDelta(o, d, now):
			n++
		case o.version.Epoch == 0:
			g.digests[bucketOf(name)] ^= o.version.hash()
			delete(g.origins, name)
		}
	}
	if len(g.staleServices) > 0 {
		g.rebuildView()
	}
	return n
}

// outstanding returns the versions that the last reply did not update.
func (g *Gossiper) outstanding(need []Version) []Version {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.DeleteFunc(need, func(v Version) bool {
		o := g.origins[v.Origin]
		return o != nil && o.version.newer(v)
	})
}

// antiEntropy compares digests with a random node, fetches what this node lacks
// and gossips to the other what that one lacks. It returns the time until the
// next comparison.
func (g *Gossiper) antiEntropy(ctx context.Context) time.Duration {
	if name := g.exchangePartner(); name != "" {
		g.mu.Lock()
		q := &Query{Kind: AntiEntropy, Digests: slices.Clone(g.digests[:])}
		g.mu.Unlock()
		r, err := g.query(ctx, name, q)
		if err == nil {
			g.joined = g.joined || len(r.Buckets) == 0
			g.fetch(ctx, name, r.Versions)
			g.gossipBack(ctx, name, r)
		}
	}
	if !g.joined {
		return joinInterval
	}
	return antiEntropyInterval*4/5 + rand.N(antiEntropyInterval*2/5)
}

// gossipBack sends a node the versions that its reply to AntiEntropy lacks.
func (g *Gossiper) gossipBack(ctx context.Context, node string, r *Reply) {
	theirs := map[string]Version{}
	for _, v := range r.Versions {
		theirs[v.Origin] = v
	}
	q := &Query{Kind: Gossip}
	g.mu.Lock()
	for name, o := range g.origins {
		if slices.Contains(r.Buckets, bucketOf(name)) && o.version.newer(theirs[name]) {
			q.Versions = append(q.Versions, o.version)
		}
	}
	g.mu.Unlock()
	if len(q.Versions) > 0 {
		_, _ = g.query(ctx, node, q)
	}
}
