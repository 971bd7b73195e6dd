package softlimiter

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// avoidDuration is how long a node that did not answer is not queried. After
	// that a single request finds out whether it answers again.
	avoidDuration = time.Second
	// membershipSettleTime is how long after a membership change a workspace may
	// be moving between nodes.
	membershipSettleTime = 3 * time.Second
)

// nextNode returns the running node with the highest rank for the workspace that
// does not have to be avoided. fallback reports whether it is not the first one.
func (l *Limiter) nextNode(workspace string, now time.Time) (node string, fallback bool) {
	names := l.Alive()
	first := firstRanked(names, workspace)
	if l.mayQuery(first, now) {
		return first, false
	}
	for _, name := range byRank(names, workspace) {
		if name != first && l.mayQuery(name, now) {
			return name, true
		}
	}
	return "", true
}

// mayQuery reports whether a node may be queried now. Of the requests that come
// after a node was avoided, only one queries it.
func (l *Limiter) mayQuery(node string, now time.Time) bool {
	if node == l.Self {
		return !l.joining()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	until, avoided := l.avoidedUntil[node]
	switch {
	case !avoided:
		return true
	case now.Before(until):
		return false
	}
	l.avoidedUntil[node] = now.Add(avoidDuration)
	return true
}

func (l *Limiter) avoid(node string, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.avoidedUntil == nil {
		l.avoidedUntil = map[string]time.Time{}
	}
	for name, until := range l.avoidedUntil {
		if now.Sub(until) > bucketIdleTimeout {
			delete(l.avoidedUntil, name)
		}
	}
	l.avoidedUntil[node] = now.Add(avoidDuration)
}

// noteAnswer records that a node answers again.
func (l *Limiter) noteAnswer(node string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.avoidedUntil, node)
}

// firstRanked returns the name with the highest rank for the workspace, or "".
func firstRanked(names []string, workspace string) (first string) {
	highest := uint64(0)
	for _, name := range names {
		if rank := rankOf(name, workspace); first == "" || rank > highest {
			first, highest = name, rank
		}
	}
	return first
}

// byRank returns the names in order of their ranks for the workspace, the highest
// first.
func byRank(names []string, workspace string) []string {
	return slices.SortedFunc(slices.Values(names), func(a, b string) int {
		return cmp.Compare(rankOf(b, workspace), rankOf(a, workspace))
	})
}

// rankOf orders the nodes for a workspace. It builds no string, since it is called
// for each running node.
func rankOf(node, workspace string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(node)
	_, _ = d.WriteString("\n")
	_, _ = d.WriteString(workspace)
	return d.Sum64()
}

// outranks reports whether node a comes before node b for the workspace.
func outranks(a, b, workspace string) bool { return rankOf(a, workspace) > rankOf(b, workspace) }

// membership is what a node has seen of changes of the running nodes.
type membership struct {
	// names are the running nodes when last seen, digest is a digest of them, and
	// changedAt is when that last changed.
	names     []string
	digest    uint64
	changedAt time.Time
	// removedAt holds the nodes that were running at the change before.
	removedAt map[string]time.Time
}

// noteMembers returns the changes of the running nodes up to now. The maps of the
// result are not changed.
func (l *Limiter) noteMembers(now time.Time) membership {
	names := l.Alive()
	l.mu.Lock()
	defer l.mu.Unlock()
	m := &l.membership
	if len(names) > 0 && len(names) == len(m.names) && &names[0] == &m.names[0] {
		return *m
	}
	digest := uint64(0)
	for _, name := range names {
		digest += xxhash.Sum64String(name)
	}
	switch {
	case m.digest == 0:
		m.changedAt = l.Started
	case digest != m.digest:
		m.changedAt, m.removedAt = now, m.removed(names, now)
	}
	m.names, m.digest = names, digest
	return *m
}

// removed returns the nodes that were removed within membershipSettleTime, given
// the running ones now.
func (m *membership) removed(running []string, now time.Time) map[string]time.Time {
	out := map[string]time.Time{}
	for name, at := range m.removedAt {
		if now.Sub(at) < membershipSettleTime {
			out[name] = at
		}
	}
	for _, name := range m.names {
		out[name] = now
	}
	for _, name := range running {
		delete(out, name)
	}
	return out
}

// formerGrantingNode returns the node with the highest rank among those that were
// removed and outrank the given one, or "". A node that is leaving still answers.
func (m *membership) formerGrantingNode(self, workspace string) (former string) {
	for name := range m.removedAt {
		if outranks(name, self, workspace) && (former == "" || outranks(name, former, workspace)) {
			former = name
		}
	}
	return former
}
