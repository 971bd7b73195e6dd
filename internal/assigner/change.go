package assigner

import (
	"slices"
	"time"

	"github.com/zinniaproxy/zinniaproxy/internal/messenger"
)

// change returns the next record, or nil when nothing is due.
func (a *Assigner) change(r *Record) *Record {
	moves := map[int]string{}
	a.claim(r, moves)
	if a.Quorum == nil || a.Quorum() {
		a.reap(r, moves)
	}
	wide, config, due := a.widen(r)
	if len(moves) == 0 && !due {
		return nil
	}
	return r.With(moves, wide, config)
}

func (a *Assigner) claim(r *Record, moves map[int]string) {
	self := Identity(a.Self)
	mine, lost := a.Claims()
	if a.step.claiming {
		for _, s := range mine {
			moves[s] = self
		}
	}
	for _, s := range lost {
		if r.Holder(s) == self {
			moves[s] = ""
		}
	}
}

// reap moves the shares of holders that have been missing for long enough.
func (a *Assigner) reap(r *Record, moves map[int]string) {
	due := a.due(r)
	if len(due) == 0 {
		return
	}
	plan, _ := a.Planned()
	for s := range Shares {
		if h := r.Holder(s); due[h] && plan[s] != "" && plan[s] != h {
			if _, ok := moves[s]; !ok {
				moves[s] = plan[s]
			}
		}
	}
}

func (a *Assigner) due(r *Record) map[string]bool {
	now, members := a.now(), a.Members()
	alive := make(map[string]bool, len(members))
	for _, m := range members {
		alive[Identity(m)] = true
	}
	missing, due := map[string]time.Time{}, map[string]bool{}
	for _, h := range r.Holders {
		if alive[h] || h == Identity(a.Self) {
			continue
		}
		since, ok := a.step.missing[h]
		if !ok {
			since = now
		}
		missing[h] = since
		if now.Sub(since) >= a.patience(h, members) {
			due[h] = true
		}
	}
	a.step.missing = missing
	return due
}

func (a *Assigner) patience(holder string, members []messenger.Node) time.Duration {
	wait := time.Duration(turn(members, a.Self.Name, "reap")) * or(a.Turn, DefaultTurn)
	if holder == "" {
		return wait
	}
	return wait + or(a.Dead, DefaultDead)
}

func (a *Assigner) wide() ([]uint64, uint64) {
	if a.Wide == nil {
		return nil, 0
	}
	names, number := a.Wide()
	out := make([]uint64, 0, min(len(names), MaxWide))
	for _, n := range names[:min(len(names), MaxWide)] {
		out = append(out, Hash(n))
	}
	slices.Sort(out)
	return slices.Compact(out), number
}

// widen returns the wide workspaces of the next record, and whether it is this
// node's turn to write them. A record from a newer configuration is left alone.
func (a *Assigner) widen(r *Record) (wide []uint64, config uint64, due bool) {
	wide, config = a.wide()
	if config <= r.Config || slices.Equal(wide, r.Wide) {
		a.step.wideSince = time.Time{}
		return r.Wide, r.Config, false
	}
	now, members := a.now(), a.Members()
	if a.step.wideSince.IsZero() {
		a.step.wideSince = now
	}
	wait := or(a.Settle, DefaultSettle) + time.Duration(turn(members, a.Self.Name, "wide"))*or(a.Turn, DefaultTurn)
	if now.Sub(a.step.wideSince) < wait {
		return r.Wide, r.Config, false
	}
	return wide, config, true
}
