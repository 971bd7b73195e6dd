package limiter

import (
	"context"
	"sync"
	"time"

	"github.com/zinniaproxy/zinniaproxy/internal/assigner"
	"github.com/zinniaproxy/zinniaproxy/pkg/coder"
)

const (
	stripes = 64
	// idle is how long an unused purse is kept.
	idle = 10 * time.Second
	// retryMin is how soon a request asks again at the earliest, and
	// retryHolder when its holder could not be asked.
	retryMin    = 20 * time.Millisecond
	retryHolder = 50 * time.Millisecond
)

// spender is the part of a limiter that spends tokens for the requests of this
// node.
type spender struct {
	stripes [stripes]stripe

	mu     sync.Mutex
	askers map[string]*asker
	hints  map[int]hint
}

type hint struct {
	node   string
	number uint64
}

type stripe struct {
	mu     sync.Mutex
	purses map[string]*purse
}

// purse is what this node has of one workspace. Its stripe's lock guards it.
type purse struct {
	// tokens were granted ahead.
	tokens []token
	// lapsed tokens go back with the next question to the share they came from.
	lapsed map[int]lapsed
	// queue is when the next token can be had, by the holder's last refusal.
	queue time.Time
	// used counts the requests of the running second, before those of the one
	// before.
	used, before int
	second       time.Time
	// asking tells that tokens ahead have been asked for.
	asking bool
	last   time.Time
}

type token struct {
	share, count int
	until        time.Time
	source
}

// source says where tokens come from: which process granted them, and until
// when it takes them to be good, by its clock.
type source struct {
	by   string
	good time.Duration
}

// lapsed are unspent tokens of one process. The source is that of the token
// that lapsed first.
type lapsed struct {
	count int
	source
}

func (s *spender) setup() {
	for i := range s.stripes {
		s.stripes[i].purses = map[string]*purse{}
	}
	s.askers, s.hints = map[string]*asker{}, map[int]hint{}
}

func (s *spender) stripe(hash uint64) *stripe { return &s.stripes[hash>>32%stripes] }

func (s *stripe) purse(workspace string, now time.Time) *purse {
	p := s.purses[workspace]
	if p == nil {
		p = &purse{lapsed: map[int]lapsed{}, second: now}
		s.purses[workspace] = p
	}
	p.last = now
	return p
}

// count notes one use.
func (p *purse) count(now time.Time) {
	if d := now.Sub(p.second); d >= time.Second {
		p.before, p.used, p.second = p.used, 0, now
		if d >= 2*time.Second {
			p.before = 0
		}
	}
	p.used++
}

// spend takes a token granted ahead, if one is still good.
func (p *purse) spend(now time.Time) bool {
	for len(p.tokens) > 0 {
		t := &p.tokens[0]
		if !now.Before(t.until) {
			p.lapse(t.share, t.count, t.source)
			p.tokens = p.tokens[1:]
			continue
		}
		t.count--
		if t.count == 0 {
			p.tokens = p.tokens[1:]
		}
		return true
	}
	return false
}

// lapse notes unspent tokens of a share. Those of another process than the last
// are forgotten, since only the one that granted them could use them.
func (p *purse) lapse(share, count int, s source) {
	if old, ok := p.lapsed[share]; ok && old.by == s.by {
		count, s.good = count+old.count, min(s.good, old.good)
	}
	p.lapsed[share] = lapsed{count, s}
}

func (p *purse) left() (n int) {
	for _, t := range p.tokens {
		n += t.count
	}
	return n
}

// verdict is what became of one request's demand.
type verdict struct {
	status Status
	// after is when to ask again, and gap the time between two tokens.
	after, gap time.Duration
	// share granted the token, or has the next one. A token is due and good until
	// the given times.
	share      int
	due, until time.Time
	source
	moved string
}

// Take admits one request of a workspace. It returns nil, or a *coder.Error:
// RateExceeded with the time after which a token can be had, or
// LimitUnavailable when no holder could be asked. It waits for a token for a
// short time where one is due.
func (l *Limiter) Take(ctx context.Context, workspace string) error {
	l.setup()
	if _, _, ok := l.Workspace(workspace); !ok {
		return coder.New(coder.LimitUnavailable, "no workspace %s", workspace)
	}
	hash, first := shard(workspace)
	start, wait := l.now(), or(l.Wait, DefaultWait)
	v, done := l.inHand(workspace, hash, wait)
	for !done {
		if v.after > 0 {
			pause(ctx, v.after)
		}
		v = l.attempt(ctx, workspace, hash, first)
		done = v.status == Granted || ctx.Err() != nil || l.now().Add(v.after).Sub(start) > wait
	}
	if v.status == Granted {
		return nil
	}
	return refusal(v)
}

func refusal(v verdict) error {
	if v.status == Short {
		return coder.New(coder.RateExceeded, "").WithAfter(v.after)
	}
	return coder.New(coder.LimitUnavailable, "").WithAfter(time.Second)
}

// attempt asks each share of the workspace once. Without a token it says when
// to ask again.
func (l *Limiter) attempt(ctx context.Context, workspace string, hash uint64, first int) verdict {
	out, all := verdict{status: NotReady}, true
	shares := l.shares(hash, first)
	for _, share := range shares {
		v := l.from(ctx, wantKey{workspace, share, len(shares) == 1})
		if v.status == Granted {
			return v
		}
		all = all && v.status == Short
		if out.status != Short || v.status == Short && v.after < out.after {
			out = v
			out.share = share
		}
	}
	if all && len(shares) > 1 {
		out = l.from(ctx, wantKey{workspace, out.share, true})
	}
	switch {
	case out.status == Granted:
	case out.status == Short && all:
		out.after = max(out.after, retryMin)
		l.note(workspace, hash, out.after)
	default:
		out.after = retryHolder
	}
	return out
}

// inHand spends a token granted ahead, or refuses at once when the next is due
// too late. It is done when that took care of the request.
func (l *Limiter) inHand(workspace string, hash uint64, wait time.Duration) (verdict, bool) {
	s := l.spender.stripe(hash)
	s.mu.Lock()
	now := l.now()
	p := s.purse(workspace, now)
	p.count(now)
	if p.spend(now) {
		share, ahead := l.refill(p)
		s.mu.Unlock()
		if ahead > 0 {
			l.ask(workspace, share, ahead, nil)
		}
		return verdict{status: Granted}, true
	}
	defer s.mu.Unlock()
	if after := p.queue.Sub(now); after > wait {
		return verdict{status: Short, after: after}, true
	}
	return verdict{}, false
}

// refill tells how many tokens to ask ahead in the background, from the share
// that gave those in hand.
func (l *Limiter) refill(p *purse) (share, ahead int) {
	want := max(p.before, p.used)
	if p.asking || len(p.tokens) == 0 || p.left()*2 > want {
		return 0, 0
	}
	p.asking = true
	return p.tokens[0].share, want - p.left()
}

// note keeps when the next token can be had.
func (l *Limiter) note(workspace string, hash uint64, after time.Duration) {
	s := l.spender.stripe(hash)
	s.mu.Lock()
	defer s.mu.Unlock()
	now := l.now()
	s.purse(workspace, now).queue = now.Add(after)
}

// shares returns the shares that may grant the workspace, those of this node
// first.
func (l *Limiter) shares(hash uint64, first int) []int {
	r := l.assigner.Record()
	if r == nil || !r.IsWide(hash) {
		return []int{first}
	}
	out := make([]int, 0, assigner.Width)
	turn := int(assigner.Hash(l.identity) % assigner.Width)
	for k := range assigner.Width {
		share := first + (turn+k)%assigner.Width
		if l.mine(share) {
			out = append([]int{share}, out...)
			continue
		}
		out = append(out, share)
	}
	return out
}

func (l *Limiter) mine(share int) bool {
	l.holder.mu.RLock()
	defer l.holder.mu.RUnlock()
	return l.holder.slots[share] != nil
}

// from takes one token from a share.
func (l *Limiter) from(ctx context.Context, k wantKey) verdict {
	if l.mine(k.share) {
		return l.local(ctx, k)
	}
	v := l.wait(ctx, k, l.find(k.share))
	if v.status == NotMine && v.moved != "" && v.moved != l.Self.Name {
		l.spender.hint(k.share, v.moved, l.number())
		v = l.wait(ctx, k, v.moved)
	}
	return v
}

func (l *Limiter) local(ctx context.Context, k wantKey) verdict {
	at := l.now()
	g := l.grant(&Want{Workspace: k.workspace, Share: uint16(k.share), Count: 1, Promise: k.promise}, 0)
	v := verdict{status: g.Status, after: g.After, gap: g.Gap}
	if len(g.Due) > 0 {
		v.due, at = at.Add(l.guard(g.Due[0])), at.Add(g.Due[0])
	}
	if g.Status == Granted && (!l.due(ctx, v) || elapsed(l.now(), at) > minHold) {
		v.status = NotReady // ended, or paused between the grant and now
	}
	if g.Status == Short && g.After < 0 {
		v.status = NotReady
	}
	return v
}

func (l *Limiter) number() uint64 {
	if r := l.assigner.Record(); r != nil {
		return r.Number
	}
	return 0
}

// find returns the node to ask for a share, or "".
func (l *Limiter) find(share int) string {
	r := l.assigner.Record()
	if r == nil {
		return ""
	}
	if node := l.spender.hinted(share, r.Number); node != "" {
		return node
	}
	if node := l.holder.given(share); node != "" {
		return node
	}
	if name := l.look().alive[r.Holder(share)]; name != "" {
		return name
	}
	plan, _ := l.assigner.Planned()
	return l.look().alive[plan[share]]
}

func (s *spender) hint(share int, node string, number uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hints[share] = hint{node, number}
}

func (s *spender) hinted(share int, number uint64) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	h, ok := s.hints[share]
	if ok && h.number != number {
		delete(s.hints, share)
		return ""
	}
	return h.node
}

func (s *spender) sweep(now time.Time) {
	for i := range s.stripes {
		t := &s.stripes[i]
		t.mu.Lock()
		for name, p := range t.purses {
			if now.Sub(p.last) > idle && now.After(p.queue) {
				delete(t.purses, name)
			}
		}
		t.mu.Unlock()
	}
}
