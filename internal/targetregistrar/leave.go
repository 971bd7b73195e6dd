package targetregistrar

import (
	"time"

	"github.com/zinniaproxy/zinniaproxy/internal/messenger"
	"github.com/zinniaproxy/zinniaproxy/internal/tracer"
)

// leave rejects announcements of a target's processes up to an epoch.
type leave struct {
	epoch uint64
	// removed means that the target withdrew. Until then it still announces that
	// it is draining.
	removed   bool
	expiresAt time.Time
}

// leaveKey returns what a target's leave is recorded under.
func leaveKey(t messenger.Target) string {
	if t.Instance != "" {
		return t.Instance
	}
	return t.Name
}

// hasLeft reports whether the process of an announcement has announced its leave,
// while the announcement says that it serves. The caller holds the lock.
func (r *Registrar) hasLeft(target string, a Announcement) bool {
	l, ok := r.leaves[target]
	return ok && a.Epoch <= l.epoch && (l.removed || a.State != messenger.Draining)
}

// addLeave remembers that a target leaves and returns up to which epoch. An epoch
// of 0 is unknown: the target was only discovered, or this process has just
// started. Then the present time stands in for it, since the target started
// earlier on this VM, by the same clock. The caller holds the lock.
func (r *Registrar) addLeave(target string, epoch uint64, removed bool) uint64 {
	now := time.Now()
	if r.leaves == nil {
		r.leaves = map[string]leave{}
	}
	old, known := r.leaves[target]
	switch {
	case !known && len(r.leaves) >= maxLeaves:
		r.evictOldestLeave()
	case epoch == 0 && known:
		epoch = old.epoch // the same process, which repeats that it leaves
	}
	if epoch == 0 {
		epoch = uint64(now.UnixMilli())
	}
	l := leave{
		epoch: max(epoch, old.epoch), removed: removed || old.removed && epoch <= old.epoch,
		expiresAt: now.Add(MaxTTL),
	}
	r.leaves[target] = l
	return l.epoch
}

// evictOldestLeave drops the leave that expires first. The caller holds the lock.
func (r *Registrar) evictOldestLeave() {
	oldest, expiresAt := "", time.Time{}
	for target, l := range r.leaves {
		if expiresAt.IsZero() || l.expiresAt.Before(expiresAt) {
			oldest, expiresAt = target, l.expiresAt
		}
	}
	delete(r.leaves, oldest)
}

func (r *Registrar) recordLeave(target string, epoch uint64) error {
	if r.RecordLeave == nil {
		return nil
	}
	return r.RecordLeave(target, epoch)
}

// RestoreLeave applies a leave that an earlier process of this node recorded. What
// that process ran at the target has ended, so that the target is removed.
func (r *Registrar) RestoreLeave(target string, epoch uint64) {
	r.mu.Lock()
	r.addLeave(target, epoch, true)
	removed := false
	for name, reg := range r.registrations {
		if leaveKey(reg.target) == target && reg.announcedEpoch <= epoch {
			r.remove(name)
			removed = true
		}
	}
	r.mu.Unlock()
	if removed {
		r.publish()
	}
}

// remove ends a registration. The caller holds the lock and publishes the change.
func (r *Registrar) remove(name string) {
	instance := r.registrations[name].target.Instance
	delete(r.registrations, name)
	r.Tracer.Add(tracer.Event{Kind: "target-withdrawn", Target: name, Detail: instance})
}
