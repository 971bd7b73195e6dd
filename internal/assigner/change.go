package assigner

import (
	"slices"
	"time"

	"github.com/zinniaproxy/zinniaproxy/internal/messenger"
)

// nextAssignment returns the assignment to write next, or nil if no change is
// due.
func (a *Assigner) nextAssignment(assignment *Assignment) *Assignment {
	moves := map[int]string{}
	a.addClaims(assignment, moves)
	if a.Quorum == nil || a.Quorum() {
		a.reassignMissing(assignment, moves)
	}
	wide, config, due := a.nextWide(assignment)
	if len(moves) == 0 && !due {
		return nil
	}
	return assignment.Next(moves, wide, config)
}

func (a *Assigner) addClaims(assignment *Assignment, moves map[int]string) {
	self := Identity(a.Self)
	claimed, lost := a.Claims()
	if a.state.writesClaims {
		for _, s := range claimed {
			moves[s] = self
		}
	}
	for _, s := range lost {
		if assignment.Holder(s) == self {
			moves[s] = ""
		}
	}
}

// reassignMissing reassigns the shares of holders that have been missing for
// long enough.
func (a *Assigner) reassignMissing(assignment *Assignment, moves map[int]string) {
	overdue := a.overdueHolders(assignment)
	if len(overdue) == 0 {
		return
	}
	plan, _ := a.Planned()
	for s := range ShareCount {
		if h := assignment.Holder(s); overdue[h] && plan[s] != "" && plan[s] != h {
			if _, ok := moves[s]; !ok {
				moves[s] = plan[s]
			}
		}
	}
}

func (a *Assigner) overdueHolders(assignment *Assignment) map[string]bool {
	now, members := a.now(), a.Members()
	alive := make(map[string]bool, len(members))
	for _, m := range members {
		alive[Identity(m)] = true
	}
	missingSince, overdue := map[string]time.Time{}, map[string]bool{}
	for _, h := range assignment.Holders {
		if alive[h] || h == Identity(a.Self) {
			continue
		}
		since, ok := a.state.missingSince[h]
		if !ok {
			since = now
		}
		missingSince[h] = since
		if now.Sub(since) >= a.reassignDelay(h, members) {
			overdue[h] = true
		}
	}
	a.state.missingSince = missingSince
	return overdue
}

func (a *Assigner) reassignDelay(holder string, members []messenger.Node) time.Duration {
	stagger := time.Duration(writePosition(members, a.Self.Name, "reap")) * orDefault(a.WriteStagger, DefaultWriteStagger)
	if holder == "" {
		return stagger
	}
	return stagger + orDefault(a.HolderTimeout, DefaultHolderTimeout)
}

func (a *Assigner) wideHashes() ([]uint64, uint64) {
	if a.WideWorkspaces == nil {
		return nil, 0
	}
	names, number := a.WideWorkspaces()
	hashes := make([]uint64, 0, min(len(names), MaxWide))
	for _, n := range names[:min(len(names), MaxWide)] {
		hashes = append(hashes, Hash(n))
	}
	slices.Sort(hashes)
	return slices.Compact(hashes), number
}

// nextWide returns the wide workspaces of the next assignment, and whether this
// node may write them now. An assignment from a newer configuration is not
// changed.
func (a *Assigner) nextWide(assignment *Assignment) (wide []uint64, config uint64, due bool) {
	wide, config = a.wideHashes()
	if config <= assignment.Config || slices.Equal(wide, assignment.Wide) {
		a.state.wideChangedSince = time.Time{}
		return assignment.Wide, assignment.Config, false
	}
	now, members := a.now(), a.Members()
	if a.state.wideChangedSince.IsZero() {
		a.state.wideChangedSince = now
	}
	delay := orDefault(a.SettleDelay, DefaultSettleDelay) + time.Duration(writePosition(members, a.Self.Name, "wide"))*orDefault(a.WriteStagger, DefaultWriteStagger)
	if now.Sub(a.state.wideChangedSince) < delay {
		return assignment.Wide, assignment.Config, false
	}
	return wide, config, true
}
