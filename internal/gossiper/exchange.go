package gossiper

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"
)

// randomPeers returns up to n random running nodes other than this one.
func (s *Gossiper) randomPeers(n int) []string {
	names := slices.DeleteFunc(slices.Clone(s.Alive()), func(name string) bool { return name == s.Node })
	rand.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	return names[:min(n, len(names))]
}

// gossip sends the pending versions to a few random nodes. Versions beyond
// maxGossipVersions are left to anti-entropy.
func (s *Gossiper) gossip(ctx context.Context) {
	s.mu.Lock()
	if len(s.pendingGossip) == 0 {
		s.mu.Unlock()
		return
	}
	q := &Query{Kind: Gossip}
	for name := range s.pendingGossip {
		if o := s.origins[name]; o != nil && len(q.Versions) < maxGossipVersions {
			q.Versions = append(q.Versions, o.version)
		}
	}
	clear(s.pendingGossip)
	s.mu.Unlock()
	for _, name := range s.randomPeers(gossipFanout) {
		go func() { _, _ = s.query(ctx, name, q) }()
	}
}

func (s *Gossiper) query(ctx context.Context, node string, q *Query) (*Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	return s.SendQuery(ctx, node, q)
}

// Handle answers a query from another node.
func (s *Gossiper) Handle(ctx context.Context, from string, q *Query) (*Reply, error) {
	s.mu.Lock()
	s.init()
	s.mu.Unlock()
	switch q.Kind {
	case Gossip:
		go s.fetch(context.WithoutCancel(ctx), from, q.Versions)
	case Fetch:
		return s.deltasSince(q.Versions), nil
	case AntiEntropy:
		return s.differingVersions(q.Digests), nil
	}
	return &Reply{}, nil
}

// deltasSince returns the changes since the versions that the reader has.
func (s *Gossiper) deltasSince(have []Version) *Reply {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, remaining := &Reply{}, maxReplyTargets
	for _, v := range have {
		o := s.origins[v.Origin]
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
func (s *Gossiper) differingVersions(theirs []uint64) *Reply {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := &Reply{}
	if len(theirs) != digestBuckets {
		return r
	}
	var differ [digestBuckets]bool
	for i, d := range theirs {
		if differ[i] = d != s.digests[i]; differ[i] {
			r.Buckets = append(r.Buckets, i)
		}
	}
	for name, o := range s.origins {
		if differ[bucketOf(name)] {
			r.Versions = append(r.Versions, o.version)
		}
	}
	return r
}

// startFetching marks the origins that are newer at another node as being
// fetched and returns the versions that this node has of them. It leaves out
// versions that are already being fetched. The caller holds the lock.
func (s *Gossiper) startFetching(theirs []Version) []Version {
	var out []Version
	for _, v := range theirs {
		if v.Origin == s.Node {
			continue
		}
		have := Version{Origin: v.Origin}
		if o := s.origins[v.Origin]; o != nil {
			have = o.version
		}
		if epoch, up := s.Up(v.Origin); up && v.Epoch < epoch {
			continue // the process was replaced
		}
		if v.newer(have) && v.newer(s.fetching[v.Origin]) {
			s.fetching[v.Origin] = v
			out = append(out, have)
		}
	}
	return out
}

// fetch fetches the given versions from a node that has them, as far as this node
// lacks them.
func (s *Gossiper) fetch(ctx context.Context, from string, theirs []Version) {
	s.mu.Lock()
	need := s.startFetching(theirs)
	s.mu.Unlock()
	for len(need) > 0 {
		r, err := s.query(ctx, from, &Query{Kind: Fetch, Versions: need})
		applied := s.applyReply(r, err)
		if applied == 0 {
			break
		}
		need = s.outstanding(need)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, v := range theirs {
		delete(s.fetching, v.Origin)
	}
}

// applyReply applies a reply to Fetch and returns how many origins it updated.
func (s *Gossiper) applyReply(r *Reply, err error) (n int) {
	if err != nil || r == nil {
		return 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for _, d := range r.Deltas {
		name := d.Version.Origin
		if name == s.Node {
			continue
		}
		o := s.origins[name]
		if o == nil {
			o = newOrigin(Version{Origin: name})
			s.digests[bucketOf(name)] ^= o.version.hash()
			s.origins[name] = o
		}
		switch {
		case s.applyDelta(o, d, now):
			n++
		case o.version.Epoch == 0:
			s.digests[bucketOf(name)] ^= o.version.hash()
			delete(s.origins, name)
		}
	}
	if len(s.staleServices) > 0 {
		s.rebuildView()
	}
	return n
}

// outstanding returns the versions that the last reply did not update.
func (s *Gossiper) outstanding(need []Version) []Version {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.DeleteFunc(need, func(v Version) bool {
		o := s.origins[v.Origin]
		return o != nil && o.version.newer(v)
	})
}

// antiEntropy compares digests with a random node, fetches what this node lacks
// and gossips to the other what that one lacks. It returns the time until the
// next comparison.
func (s *Gossiper) antiEntropy(ctx context.Context) time.Duration {
	for _, name := range s.randomPeers(1) {
		s.mu.Lock()
		q := &Query{Kind: AntiEntropy, Digests: slices.Clone(s.digests[:])}
		s.mu.Unlock()
		r, err := s.query(ctx, name, q)
		if err != nil {
			continue
		}
		s.joined = s.joined || len(r.Buckets) == 0
		s.fetch(ctx, name, r.Versions)
		s.gossipBack(ctx, name, r)
	}
	if !s.joined {
		return joinInterval
	}
	return antiEntropyInterval*4/5 + rand.N(antiEntropyInterval*2/5)
}

// gossipBack sends a node the versions that its reply to AntiEntropy lacks.
func (s *Gossiper) gossipBack(ctx context.Context, node string, r *Reply) {
	theirs := map[string]Version{}
	for _, v := range r.Versions {
		theirs[v.Origin] = v
	}
	q := &Query{Kind: Gossip}
	s.mu.Lock()
	for name, o := range s.origins {
		if slices.Contains(r.Buckets, bucketOf(name)) && o.version.newer(theirs[name]) {
			q.Versions = append(q.Versions, o.version)
		}
	}
	s.mu.Unlock()
	if len(q.Versions) > 0 {
		_, _ = s.query(ctx, node, q)
	}
}
