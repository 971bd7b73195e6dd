package prober

import (
	"cmp"
	"slices"
)

// memberList returns the current snapshot. The caller holds the lock.
func (p *Prober) memberList() *memberList {
	if p.snapshot == nil {
		p.rebuild()
	}
	return p.snapshot
}

// memberList is an immutable snapshot of all members, including this node.
type memberList struct {
	members []Member
	// alive holds the sorted names of running members that are not leaving, and
	// aliveByCentre the same by data centre.
	alive         []string
	aliveByCentre map[string][]string
	// peers holds the running members other than this node, sorted by name.
	peers []*memberEntry
}

// rebuild makes a new snapshot. The caller holds the lock.
func (p *Prober) rebuild() {
	l := &memberList{members: make([]Member, 0, len(p.members)+1), aliveByCentre: map[string][]string{}}
	l.add(Member{Node: p.self, State: p.selfState, Direct: true})
	for _, e := range p.members {
		l.add(e.Member)
		if e.Up() {
			l.peers = append(l.peers, e)
		}
	}
	sortBy(l.members, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	sortBy(l.peers, func(a, b *memberEntry) int { return cmp.Compare(a.Name, b.Name) })
	sortBy(l.alive, cmp.Compare[string])
	for _, names := range l.aliveByCentre {
		sortBy(names, cmp.Compare[string])
	}
	p.snapshot = l
}

func (l *memberList) add(m Member) {
	l.members = append(l.members, m)
	if !m.Up() {
		return
	}
	if !m.Leaving {
		l.alive = append(l.alive, m.Name)
		l.aliveByCentre[m.Centre] = append(l.aliveByCentre[m.Centre], m.Name)
	}
}

// aliveNames returns the sorted names of running members that are not leaving.
// The caller holds the lock.
func (p *Prober) aliveNames() []string {
	return p.memberList().alive
}

// Members returns all known members, including this node, sorted by name. The
// slice is shared: do not change it.
func (p *Prober) Members() []Member {
	return p.lockedMemberList().members
}

// Alive returns the sorted names of the running members that are not leaving,
// including this node. The slice is shared: do not change it.
func (p *Prober) Alive() []string {
	return p.lockedMemberList().alive
}

// AliveByCentre returns the names of Alive by their data centre, sorted. The map
// and the slices are shared: do not change them.
func (p *Prober) AliveByCentre() map[string][]string {
	return p.lockedMemberList().aliveByCentre
}

// lockedMemberList takes the lock and returns the current snapshot.
func (p *Prober) lockedMemberList() *memberList {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.init()
	return p.memberList()
}

// Member returns the member with a name, and whether it is known.
func (p *Prober) Member(name string) (Member, bool) {
	list := p.lockedMemberList()
	i, ok := slices.BinarySearchFunc(list.members, name, func(m Member, n string) int {
		if m.Name < n {
			return -1
		}
		if m.Name > n {
			return 1
		}
		return 0
	})
	if !ok {
		return Member{}, false
	}
	return list.members[i], true
}

func sortBy[T any](list []T, by func(a, b T) int) { slices.SortFunc(list, by) }
