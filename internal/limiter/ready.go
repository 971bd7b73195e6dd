package limiter

import "github.com/zinniaproxy/zinniaproxy/internal/assigner"

// NotReadyReason returns why requests of some workspaces cannot be admitted yet,
// or "". After a restart of the whole fleet, that lasts until the old processes
// may no longer use their shares.
func (l *Limiter) NotReadyReason() string {
	l.setup()
	h, now := &l.holder, l.now()
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.assignment == nil {
		return "no share assignment yet"
	}
	if !l.fenceHolds(now) {
		return "the share assignment is not confirmed as current"
	}
	for s := range assigner.ShareCount {
		if h.assignment.Holder(s) == "" {
			return "some shares have no holder"
		}
		if held := h.held[s]; held != nil && now.Before(held.validFrom) {
			return "shares of this node may not be used yet"
		}
	}
	return ""
}
