package limiter

import (
	"math"
	"sync"
	"time"

	"github.com/zinniaproxy/zinniaproxy/internal/assigner"
	"github.com/zinniaproxy/zinniaproxy/internal/bucketer"
)

// holder is the part of a limiter that grants tokens of the shares that this
// process holds.
type holder struct {
	mu sync.RWMutex
	// assignment is the newest share assignment that held reflects.
	assignment *assigner.Assignment
	held       [assigner.ShareCount]*heldShare
	// handedOver contains the shares that were handed over, until the share
	// assignment gives them to another process than before. Until then they are
	// not used here, even if the assignment names this process.
	handedOver map[int]handedOverShare
	// wideChangeAt is when a workspace that became wide, or ceased to be wide,
	// gets its new part of the limit. Until then every holder grants the
	// smaller of both parts.
	wideChangeAt map[uint64]time.Time
	// acceptFrom is when a fresh process may accept shares from others. Changes
	// of wide workspaces that it did not see have taken effect by then.
	acceptFrom time.Time
	// lastHandovers contains the last handover from each process.
	lastHandovers map[string]receivedHandover

	queriesMu sync.Mutex
	// lastQueries contains the last query from each process.
	lastQueries map[string]answeredQuery

	confirmMu sync.Mutex
	// confirmedAt is the latest time at which it is known that no newer share
	// assignment existed.
	confirmedAt time.Time
}

// handedOverShare says where a share went.
type handedOverShare struct {
	node, process string // receiver of the share
	holder        string // process that the share assignment named
}

type answeredQuery struct {
	sequence uint64
	reply    *Reply // nil until the query is answered
}

type receivedHandover struct {
	sequence uint64
	reply    HandoverReply
}

// heldShare is a share that this process holds.
type heldShare struct {
	// holder is the process that the share assignment names: this one, or the
	// one that handed the share over.
	holder string
	// validFrom is when the share was empty. Nothing is granted before.
	validFrom time.Time

	mu       sync.Mutex
	accounts map[string]*account
}

// account is the state of one workspace in a share.
type account struct {
	*bucketer.Bucket
	// limit is that of the last grant. partSince is when the last applied
	// change of the share's part took effect.
	limit     bucketer.Limit
	partSince time.Time
	// maxBurst and minRate are the largest burst and the smallest rate since
	// the account was made, and lastUsed the time of the last token request.
	maxBurst, minRate float64
	lastUsed          time.Time
}

// addDriftMargin lengthens a duration measured on this clock, so that it ends
// after the same duration measured on any other clock within the drift.
func (l *Limiter) addDriftMargin(d time.Duration) time.Duration {
	return d + time.Duration(3*l.clockDrift()*float64(d)) + time.Millisecond
}

// adopt applies a share assignment that the store held at or after the given
// time.
func (l *Limiter) adopt(assignment *assigner.Assignment, at time.Time) {
	h, now := &l.holder, l.now()
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.assignment == nil || assignment.Number > h.assignment.Number {
		validFrom := now.Add(l.addDriftMargin(l.fence()))
		if assignment.Number == 1 {
			validFrom = time.Time{}
		}
		h.trackWideChanges(assignment, validFrom)
		for s := range assigner.ShareCount {
			h.assignShare(s, assignment.Holder(s), l.process, validFrom)
		}
		h.assignment = assignment
	}
	if assignment.Number == h.assignment.Number {
		h.advanceConfirmed(at)
	}
}

func (h *holder) trackWideChanges(assignment *assigner.Assignment, changeAt time.Time) {
	if h.assignment == nil {
		h.handedOver, h.wideChangeAt = map[int]handedOverShare{}, map[uint64]time.Time{}
		h.lastHandovers = map[string]receivedHandover{}
		h.acceptFrom = changeAt
		return
	}
	for _, hash := range h.assignment.Wide {
		if !assignment.IsWide(hash) {
			h.wideChangeAt[hash] = changeAt
		}
	}
	for _, hash := range assignment.Wide {
		if !h.assignment.IsWide(hash) {
			h.wideChangeAt[hash] = changeAt
		}
	}
}

// assignShare applies the share assignment to one share. The caller holds the
// lock.
func (h *holder) assignShare(share int, holder, process string, validFrom time.Time) {
	if ho, ok := h.handedOver[share]; ok && ho.holder != holder {
		delete(h.handedOver, share)
	}
	s := h.held[share]
	if s != nil && (holder == process || holder == s.holder) {
		s.holder = holder
		return
	}
	h.held[share] = nil
	if _, handedOver := h.handedOver[share]; holder == process && !handedOver {
		h.held[share] = &heldShare{holder: process, validFrom: validFrom, accounts: map[string]*account{}}
	}
}

// handedOverTo returns the node that a share was handed over to and that the
// share assignment does not name yet, or "".
func (h *holder) handedOverTo(share int) string {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.handedOver[share].node
}

func (h *holder) advanceConfirmed(at time.Time) {
	h.confirmMu.Lock()
	defer h.confirmMu.Unlock()
	if at.After(h.confirmedAt) {
		h.confirmedAt = at
	}
}

// fenceHolds reports whether no other process can have this one's shares yet.
// Only the new holder uses an assignment that moves them, and it waits longer
// than the fence first. The caller holds the lock.
func (l *Limiter) fenceHolds(now time.Time) bool { return l.fenceRemaining(now) >= 0 }

// reservationWindow returns how far ahead tokens may be reserved. After the
// fence, the tokens may be another holder's. The caller holds the lock.
func (l *Limiter) reservationWindow(now time.Time) time.Duration {
	return min(positiveOr(l.MaxWait, DefaultMaxWait), l.fenceRemaining(now))
}

// fenceRemaining returns how long the shares are still this process's own. It
// is negative when another process may hold them. The caller holds the lock.
func (l *Limiter) fenceRemaining(now time.Time) time.Duration {
	h := &l.holder
	if h.assignment == nil {
		return -1
	}
	if number, age, ok := l.NewestNumber(); ok && number <= h.assignment.Number {
		h.advanceConfirmed(now.Add(-age))
	}
	h.confirmMu.Lock()
	defer h.confirmMu.Unlock()
	return l.fence() - elapsed(now, h.confirmedAt)
}

// elapsed returns the time since t on the monotonic or the wall clock,
// whichever is longer, since the monotonic clock may stop while a machine is
// suspended.
func elapsed(now, t time.Time) time.Duration {
	return max(now.Sub(t), now.Round(0).Sub(t.Round(0)))
}

// part is the part of a workspace's rate and burst that a share grants.
type part struct {
	fraction float64
	// since is when the share began to grant this fraction, or zero if it
	// always did.
	since time.Time
	// changing reports that the fraction will change at the time since.
	changing bool
}

// part returns the part of a workspace that a share grants. The caller holds
// the lock.
func (h *holder) part(hash uint64, share int, now time.Time) part {
	first, wide := share%assigner.SharesPerShard == 0, h.assignment.IsWide(hash)
	changeAt := h.wideChangeAt[hash]
	p := part{since: changeAt, changing: now.Before(changeAt)}
	switch {
	case first && !wide && !p.changing:
		p.fraction = 1
	case first, wide && !p.changing:
		p.fraction = 1.0 / assigner.SharesPerShard
	}
	return p
}

// grant answers one token request. Tokens are valid for at most maxTTL; if that
// is zero, they must be spent at once.
func (l *Limiter) grant(req *TokenRequest, maxTTL time.Duration) Grant {
	h, share := &l.holder, int(req.Share)
	rate, burst, ok := l.Workspace(req.Workspace)
	if !ok {
		return Grant{Status: UnknownWorkspace}
	}
	h.mu.RLock()
	defer h.mu.RUnlock()
	if share >= assigner.ShareCount || h.held[share] == nil {
		return Grant{Status: NotHolder, MovedTo: h.handedOver[share].node}
	}
	s := h.held[share]
	s.mu.Lock()
	defer s.mu.Unlock()
	now := l.now()
	if now.Before(s.validFrom) || !l.fenceHolds(now) {
		return Grant{Status: NotReady}
	}
	p := h.part(assigner.Hash(req.Workspace), share, now)
	if p.fraction == 0 {
		return Grant{Status: NotReady}
	}
	limit := bucketer.Limit{Rate: rate * p.fraction, Burst: float64(burst) * p.fraction, Drift: l.clockDrift()}
	acc := l.account(now, s, req, p)
	if req.Returned > 0 {
		acc.Return(now, limit, int(req.Returned), l.started.Add(req.ReturnedExpiry))
	}
	g := acc.grant(now, limit, req, maxTTL, l.reservationWindow(now))
	g.GrantedAt = now.Sub(l.started)
	return g
}

// account returns the state of a workspace, adjusted to the share's present
// part. The caller holds the locks.
func (l *Limiter) account(now time.Time, s *heldShare, req *TokenRequest, p part) *account {
	a := s.accounts[req.Workspace]
	if a == nil {
		emptyAt := p.since
		if p.changing { // the smaller part applies since the change was adopted
			emptyAt = emptyAt.Add(-l.addDriftMargin(l.fence()))
		}
		if emptyAt.Before(s.validFrom) {
			emptyAt = s.validFrom
		}
		a = &account{Bucket: bucketer.New(now, emptyAt), minRate: math.Inf(1)}
		s.accounts[req.Workspace] = a
	}
	a.applyPart(p, int(req.Share))
	return a
}

// applyPart adjusts the account to the time at which its part changed. All
// shares of a workspace but the first begin empty.
func (a *account) applyPart(p part, share int) {
	if p.changing || !p.since.After(a.partSince) {
		return
	}
	if share%assigner.SharesPerShard == 0 {
		a.Level(p.since, a.limit)
	} else {
		a.Bucket = bucketer.New(p.since, p.since)
	}
	a.partSince = p.since
}

func (a *account) grant(now time.Time, limit bucketer.Limit, req *TokenRequest, maxTTL, window time.Duration) Grant {
	g := Grant{TTL: min(tokenTTL(limit), maxTTL), PrefetchTTL: prefetchTTL(limit), Interval: time.Duration(float64(time.Second) / limit.Rate)}
	a.limit, a.lastUsed = limit, now
	a.maxBurst, a.minRate = max(a.maxBurst, limit.Burst), min(a.minRate, limit.Rate)
	g.Count = uint16(a.Take(now, limit, int(req.Count), g.TTL))
	if g.Count < req.Count {
		a.reserve(now, limit, req, &g, window)
		return g
	}
	if req.Prefetch > 0 && g.PrefetchTTL > g.TTL {
		g.Prefetched = uint16(a.Take(now, limit, min(int(req.Prefetch), a.prefetchable(now, limit, g.PrefetchTTL)), g.PrefetchTTL))
	}
	return g
}

// prefetchable returns how many tokens may be prefetched. The lower half of the
// burst stays for other nodes, which may need it at once, and no more tokens
// may be outstanding than the rate adds during the TTL.
func (a *account) prefetchable(now time.Time, limit bucketer.Limit, ttl time.Duration) int {
	outstanding, _ := a.Outstanding(now)
	return int(max(0, min(a.Level(now, limit)-limit.Burst/2, limit.Rate*ttl.Seconds()-outstanding)))
}

// reserve adds tokens that fall due within the window, so that requests are
// admitted in their order of arrival, whichever node they entered at.
func (a *account) reserve(now time.Time, limit bucketer.Limit, req *TokenRequest, g *Grant, window time.Duration) {
	if missing := int(req.Count - g.Count); req.Reserve {
		g.DueIn = a.Reserve(now, limit, min(missing, maxReservedTokens), window, max(g.TTL, minTokenTTL))
	}
	if int(g.Count)+len(g.DueIn) < int(req.Count) {
		g.Status, g.RetryAfter = Insufficient, a.UntilNext(now, limit)
	}
}

// tokenTTL returns how long a token granted to a waiting request stays valid.
func tokenTTL(limit bucketer.Limit) time.Duration {
	return min(max(fillTime(limit, 4), minTokenTTL), maxTokenTTL)
}

// prefetchTTL returns how long a prefetched token stays valid.
func prefetchTTL(limit bucketer.Limit) time.Duration {
	return min(fillTime(limit, 4), maxPrefetchTTL)
}

// fillTime returns the time in which the rate fills 1/n of the burst, at most
// an hour.
func fillTime(limit bucketer.Limit, n float64) time.Duration {
	return time.Duration(min(limit.Burst/limit.Rate/n, 3600) * float64(time.Second))
}
