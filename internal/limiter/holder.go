package limiter

import (
	"math"
	"sync"
	"time"

	"github.com/zinniaproxy/zinniaproxy/internal/assigner"
	"github.com/zinniaproxy/zinniaproxy/internal/bucketer"
)

// holder is the part of a limiter that grants tokens of the shares that this
// process has.
type holder struct {
	mu sync.RWMutex
	// record is the newest record whose changes the slots reflect.
	record *assigner.Record
	slots  [assigner.Shares]*slot
	// gave has the shares that were handed to others, until the record assigns
	// them anew. They are not used meanwhile, whatever the record says.
	gave map[int]gift
	// turned tells from when on a workspace that became wide or ceased to be
	// is granted its new part. Until then every holder grants the smaller one.
	turned map[uint64]time.Time
	// ready is when a fresh process knows as much as it must to take shares
	// from others.
	ready time.Time
	// taken has the last transfer of each process.
	taken map[string]taken

	asked sync.Mutex
	// heard has the last question of each process.
	heard map[string]answered

	confirm sync.Mutex
	// confirmed is a time at which no record newer than ours existed.
	confirmed time.Time
}

type gift struct {
	to, identity string // node and process that has the share
	holder       string // process that the record assigned it to
}

type answered struct {
	sequence uint64
	reply    *Reply // nil while it is being made
}

type taken struct {
	sequence uint64
	receipt  Receipt
}

// slot is one share that this process has.
type slot struct {
	// holder is the process that the record assigns the share to: this one, or
	// the one that handed it over.
	holder string
	// start is when the share was empty; nothing is granted before.
	start time.Time

	mu      sync.Mutex
	buckets map[string]*account
}

// account is one workspace of a share.
type account struct {
	*bucketer.Bucket
	// terms are those of the last grant, and turned is when they last changed
	// by the record.
	terms  bucketer.Terms
	turned time.Time
	// burst and rate are the largest and the smallest of all terms since the
	// account was made, and last is when it was last asked.
	burst, rate float64
	last        time.Time
}

// guard lengthens a wait so that it ends after the same wait by any other
// clock.
func (l *Limiter) guard(d time.Duration) time.Duration {
	return d + time.Duration(3*l.drift()*float64(d)) + time.Millisecond
}

// adopt takes a record that the store held at or after the given time.
func (l *Limiter) adopt(r *assigner.Record, at time.Time) {
	h, now := &l.holder, l.now()
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.record == nil || r.Number > h.record.Number {
		start := now.Add(l.guard(l.fence()))
		if r.Number == 1 {
			start = time.Time{}
		}
		h.turn(r, start)
		for s := range assigner.Shares {
			h.assign(s, r.Holder(s), l.identity, start)
		}
		h.record = r
	}
	if r.Number == h.record.Number {
		h.confirmAt(at)
	}
}

func (h *holder) turn(r *assigner.Record, start time.Time) {
	if h.record == nil {
		h.gave, h.turned = map[int]gift{}, map[uint64]time.Time{}
		h.taken = map[string]taken{}
		h.ready = start
		return
	}
	for _, w := range h.record.Wide {
		if !r.IsWide(w) {
			h.turned[w] = start
		}
	}
	for _, w := range r.Wide {
		if !h.record.IsWide(w) {
			h.turned[w] = start
		}
	}
}

// assign follows the record for one share. The caller holds the lock.
func (h *holder) assign(share int, holder, self string, start time.Time) {
	if g, ok := h.gave[share]; ok && g.holder != holder {
		delete(h.gave, share)
	}
	s := h.slots[share]
	if s != nil && (holder == self || holder == s.holder) {
		s.holder = holder
		return
	}
	h.slots[share] = nil
	if _, given := h.gave[share]; holder == self && !given {
		h.slots[share] = &slot{holder: self, start: start, buckets: map[string]*account{}}
	}
}

// given returns the node that a share was handed to and that the record does
// not name yet, or "".
func (h *holder) given(share int) string {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.gave[share].to
}

func (h *holder) confirmAt(at time.Time) {
	h.confirm.Lock()
	defer h.confirm.Unlock()
	if at.After(h.confirmed) {
		h.confirmed = at
	}
}

// current tells whether no other process can have this one's shares yet: a
// record that moves them is known to its new holder only, which waits longer
// than the fence. The caller holds the lock.
func (l *Limiter) current(now time.Time) bool { return l.fenced(now) >= 0 }

// promise is how far ahead tokens may be promised: what is due after the fence
// may be another holder's. The caller holds the lock.
func (l *Limiter) promise(now time.Time) time.Duration {
	return min(or(l.Wait, DefaultWait), l.fenced(now))
}

// fenced returns how long the shares stay this process's own, below zero when
// they may be another's. The caller holds the lock.
func (l *Limiter) fenced(now time.Time) time.Duration {
	h := &l.holder
	if h.record == nil {
		return -1
	}
	if number, age, ok := l.Stamp(); ok && number <= h.record.Number {
		h.confirmAt(now.Add(-age))
	}
	h.confirm.Lock()
	defer h.confirm.Unlock()
	return l.fence() - elapsed(now, h.confirmed)
}

// elapsed is the time since t by the faster of the monotonic and the wall
// clock, since a machine that was suspended may have stopped the first.
func elapsed(now, t time.Time) time.Duration {
	return max(now.Sub(t), now.Round(0).Sub(t.Round(0)))
}

// part is how much of a workspace's rate and burst a share grants.
type part struct {
	size float64
	// since is when the share began to grant this size; zero when it always
	// did.
	since time.Time
	// changing tells that the size is about to change at the time since.
	changing bool
}

// part returns a share's part of a workspace. The caller holds the lock.
func (h *holder) part(hash uint64, share int, now time.Time) part {
	first, wide := share%assigner.Width == 0, h.record.IsWide(hash)
	turned := h.turned[hash]
	p := part{since: turned, changing: now.Before(turned)}
	switch {
	case first && !wide && !p.changing:
		p.size = 1
	case first, wide && !p.changing:
		p.size = 1.0 / assigner.Width
	}
	return p
}

// grant answers one want with tokens that are good for at most patience, or to
// be spent at once if that is zero.
func (l *Limiter) grant(w *Want, patience time.Duration) Grant {
	h, share := &l.holder, int(w.Share)
	rate, burst, ok := l.Workspace(w.Workspace)
	if !ok {
		return Grant{Status: Unknown}
	}
	h.mu.RLock()
	defer h.mu.RUnlock()
	if share >= assigner.Shares || h.slots[share] == nil {
		return Grant{Status: NotMine, Moved: h.gave[share].to}
	}
	s := h.slots[share]
	s.mu.Lock()
	defer s.mu.Unlock()
	now := l.now()
	if now.Before(s.start) || !l.current(now) {
		return Grant{Status: NotReady}
	}
	p := h.part(assigner.Hash(w.Workspace), share, now)
	if p.size == 0 {
		return Grant{Status: NotReady}
	}
	t := bucketer.Terms{Rate: rate * p.size, Burst: float64(burst) * p.size, Drift: l.drift()}
	a := l.account(now, s, w, p)
	if w.Back > 0 {
		a.Return(now, t, int(w.Back), l.born.Add(w.Lapsed))
	}
	g := a.grant(now, t, w, patience, l.promise(now))
	g.At = now.Sub(l.born)
	return g
}

// account returns the state of a workspace, brought to the part that the share
// has now. The caller holds the locks.
func (l *Limiter) account(now time.Time, s *slot, w *Want, p part) *account {
	a := s.buckets[w.Workspace]
	if a == nil {
		empty := p.since
		if p.changing {
			empty = empty.Add(-l.guard(l.fence()))
		}
		if empty.Before(s.start) {
			empty = s.start
		}
		a = &account{Bucket: bucketer.New(now, empty), rate: math.Inf(1)}
		s.buckets[w.Workspace] = a
	}
	a.follow(p, int(w.Share))
	return a
}

// follow brings the account to the time at which its part changed. The shares
// beside the first begin empty.
func (a *account) follow(p part, share int) {
	if p.changing || !p.since.After(a.turned) {
		return
	}
	if share%assigner.Width == 0 {
		a.Level(p.since, a.terms)
	} else {
		a.Bucket = bucketer.New(p.since, p.since)
	}
	a.turned = p.since
}

func (a *account) grant(now time.Time, t bucketer.Terms, w *Want, patience, within time.Duration) Grant {
	g := Grant{Hold: min(hold(t), patience), AheadHold: aheadHold(t), Gap: time.Duration(float64(time.Second) / t.Rate)}
	a.terms, a.last = t, now
	a.burst, a.rate = max(a.burst, t.Burst), min(a.rate, t.Rate)
	g.Count = uint16(a.Take(now, t, int(w.Count), g.Hold))
	if g.Count < w.Count {
		a.promise(now, t, w, &g, within)
		return g
	}
	if w.Ahead > 0 && g.AheadHold > g.Hold {
		g.Ahead = uint16(a.Take(now, t, min(int(w.Ahead), a.spare(now, t, g.AheadHold)), g.AheadHold))
	}
	return g
}

// spare is how many tokens may go ahead: not the lower half of the burst, which
// others may need at once, and no more in all than come in while they are good.
func (a *account) spare(now time.Time, t bucketer.Terms, hold time.Duration) int {
	out, _ := a.Outstanding(now)
	return int(max(0, min(a.Level(now, t)-t.Burst/2, t.Rate*hold.Seconds()-out)))
}

// promise adds the tokens that are due within some time, so that requests wait
// in the order in which they came, whatever node they came to.
func (a *account) promise(now time.Time, t bucketer.Terms, w *Want, g *Grant, within time.Duration) {
	if missing := int(w.Count - g.Count); w.Promise {
		g.Due = a.Promise(now, t, min(missing, maxPromised), within, max(g.Hold, minHold))
	}
	if int(g.Count)+len(g.Due) < int(w.Count) {
		g.Status, g.After = Short, a.After(now, t)
	}
}

// hold is how long a granted token may be under way.
func hold(t bucketer.Terms) time.Duration {
	return min(max(fraction(t, 4), minHold), maxHold)
}

// aheadHold is how long a token granted ahead may wait to be spent.
func aheadHold(t bucketer.Terms) time.Duration {
	return min(fraction(t, 4), maxAhead)
}

// fraction is the time in which the rate fills one n-th of the burst.
func fraction(t bucketer.Terms, n float64) time.Duration {
	return time.Duration(min(t.Burst/t.Rate/n, 3600) * float64(time.Second))
}
