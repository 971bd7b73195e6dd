package softlimiter

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// grantingNode returns the running node with the highest rank for the workspace,
// leaving out nodes that recently did not answer.
func (l *Limiter) grantingNode(workspace string, now time.Time) string {
	names := l.Alive()
	first := firstRanked(names, workspace)
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.avoids(first, now) {
		return first
	}
	answering := slices.DeleteFunc(slices.Clone(names), func(name string) bool { return l.avoids(name, now) })
	return firstRanked(answering, workspace)
}

// avoids reports whether a node did not answer recently. The caller holds the lock.
func (l *Limiter) avoids(node string, now time.Time) bool {
	until, ok := l.avoidedUntil[node]
	return ok && now.Before(until)
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

func (l *Limiter) avoid(node string, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.avoidedUntil == nil {
		l.avoidedUntil = map[string]time.Time{}
	}
	for name, until := range l.avoidedUntil {
		if now.After(until) {
			delete(l.avoidedUntil, name)
		}
	}
	l.avoidedUntil[node] = now.Add(avoidDuration)
}

// outrankedUntil returns when a running node last ranked before this one for a
// workspace, or the zero time. Until then that node has granted, so that tokens
// which a bucket of this node has gained meanwhile were granted already.
func (l *Limiter) outrankedUntil(workspace string) (last time.Time) {
	own := rankOf(l.Self, workspace)
	l.mu.Lock()
	defer l.mu.Unlock()
	for name, at := range l.lastAlive {
		if at.After(last) && rankOf(name, workspace) > own {
			last = at
		}
	}
	return last
}

// NoteMembers notes which nodes run. It is called after each change, so that none
// between two queries is missed.
func (l *Limiter) NoteMembers() { l.membershipChanging(time.Now()) }

// membershipChanging reports whether the running nodes changed recently. The
// previous granting node may then still grant to nodes that do not know of the
// change.
func (l *Limiter) membershipChanging(now time.Time) bool {
	names := l.Alive()
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(names) > 0 && len(names) == len(l.members) && &names[0] == &l.members[0] {
		return now.Sub(l.membersChangedAt) < membershipSettleTime
	}
	l.noteStopped(l.members, names, now)
	l.members = names
	digest := uint64(0)
	for _, name := range names {
		digest += xxhash.Sum64String(name)
	}
	if l.membersDigest == 0 {
		l.membersChangedAt = l.Started
	} else if digest != l.membersDigest {
		l.membersChangedAt = now
	}
	l.membersDigest = digest
	return now.Sub(l.membersChangedAt) < membershipSettleTime
}

// noteStopped records when nodes that no longer run were last seen running. The
// caller holds the lock.
func (l *Limiter) noteStopped(before, names []string, now time.Time) {
	if l.lastAlive == nil {
		l.lastAlive = map[string]time.Time{}
	}
	for name, at := range l.lastAlive {
		if now.Sub(at) > bucketIdleTimeout {
			delete(l.lastAlive, name)
		}
	}
	for _, name := range before {
		if name != l.Self && !slices.Contains(names, name) {
			l.lastAlive[name] = now
		}
	}
}
