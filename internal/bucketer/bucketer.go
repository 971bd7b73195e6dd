// Package bucketer holds the token arithmetic of one workspace at one holder of
// a share. It is pure: time comes in with each call.
package bucketer

import (
	"math"
	"slices"
	"time"
)

// grain is how close two lapse times must be to be kept as one lot.
const grain = 16 * time.Millisecond

// maxBacks is how many lots that lapsed are kept to be put back.
const maxBacks = 64

// Terms are what a bucket may give. They may differ from call to call, since
// the configuration changes.
type Terms struct {
	// Rate is in tokens a second of true time.
	Rate float64
	// Burst is in tokens.
	Burst float64
	// Drift is by how much a clock may be faster or slower than true time, as a
	// fraction.
	Drift float64
}

// pace is the rate by a clock that may be fast.
func (t Terms) pace() float64 { return t.Rate * (1 - t.Drift) }

// lot is tokens that may be spent from due until the end.
type lot struct {
	count      float64
	due, until time.Time
}

// Bucket is the state of one workspace. It is not safe for use from several
// goroutines. Tokens that are promised count as granted before they are due, so
// that the level may be below zero.
//
// The invariant is that tokens in the bucket and tokens that were granted and
// may still be spent are never more than the burst together. A token that may
// be spent late therefore never adds to what the bucket can give at once.
type Bucket struct {
	level float64
	at    time.Time
	out   []lot // in the order of until after settle
	// backs are the lots that lapsed last, the oldest first.
	backs []back
	// gone is a time up to which no token that lapsed can be put back.
	gone time.Time
}

// back is a lot that lapsed. It is not known how many of its tokens were spent.
type back struct {
	until time.Time
	// room is how many tokens there was free room for
	// at all times since. Had more been in the bucket, what came in beyond that
	// would have been lost.
	room float64
}

// New returns a bucket made now that was empty at the given time.
func New(now, empty time.Time) *Bucket { return &Bucket{at: empty, gone: now} }

// Restore returns a bucket with a level, and tokens outstanding for some time.
func Restore(now time.Time, level, out float64, lapse time.Duration) *Bucket {
	b := &Bucket{level: level, at: now, gone: now}
	if out > 0 {
		b.out = []lot{{out, now.Add(lapse), now.Add(lapse)}}
	}
	return b
}

// settle brings the level to the given time: it grows at the pace, and at each
// moment the outstanding tokens leave it only the rest of the burst.
func (b *Bucket) settle(now time.Time, t Terms) {
	slices.SortFunc(b.out, func(x, y lot) int { return x.until.Compare(y.until) })
	for len(b.out) > 0 && now.After(b.out[0].until) {
		b.fill(b.out[0].until, t)
		b.backs = append(b.backs, back{b.out[0].until, t.Burst})
		b.out = b.out[1:]
	}
	b.fill(now, t)
}

func (b *Bucket) fill(now time.Time, t Terms) {
	if d := now.Sub(b.at); d > 0 {
		b.level += d.Seconds() * t.pace()
		b.at = now
	}
	room := t.Burst - b.outstanding()
	// Tokens that are due have been paid for, also when the rate fell meanwhile.
	b.level = max(min(b.level, room), -b.undue(now))
	for i := range b.backs {
		b.backs[i].room = min(b.backs[i].room, room-b.level)
	}
	b.drop()
}

// drop forgets the oldest lots that can not be put back, or are too many.
func (b *Bucket) drop() {
	for len(b.backs) > maxBacks || len(b.backs) > 0 && b.backs[0].room <= 0 {
		b.gone = b.backs[0].until
		b.backs = b.backs[1:]
	}
}

// undue returns how many promised tokens are not due yet.
func (b *Bucket) undue(now time.Time) (sum float64) {
	for _, l := range b.out {
		if l.due.After(now) {
			sum += l.count
		}
	}
	return sum
}

func (b *Bucket) outstanding() float64 {
	sum := 0.0
	for _, l := range b.out {
		sum += l.count
	}
	return sum
}

// Take removes up to count whole tokens, of which each may be spent until hold
// has passed, and returns how many it removed.
func (b *Bucket) Take(now time.Time, t Terms, count int, hold time.Duration) int {
	b.settle(now, t)
	n := min(float64(count), math.Floor(b.level+1e-9))
	if n <= 0 {
		return 0
	}
	b.level -= n
	if hold > 0 {
		b.hold(n, now, now.Add(hold))
	}
	return int(n)
}

// Promise takes up to count whole tokens that are due within some time, each to
// be spent until hold has passed since it was due. It returns when each is due,
// from now; who asks later comes after them. Nothing is promised that fits the
// burst only after other tokens have lapsed, since the rate may grow before.
func (b *Bucket) Promise(now time.Time, t Terms, count int, within, hold time.Duration) []time.Duration {
	var due []time.Duration
	for len(due) < count {
		after := b.After(now, t)
		if after < 0 || after > within || b.outstanding()+1 > t.Burst {
			break
		}
		b.level--
		b.hold(1, now.Add(after), now.Add(after+hold))
		due = append(due, after)
	}
	return due
}

func (b *Bucket) hold(n float64, due, until time.Time) {
	for i := range b.out {
		if d := until.Sub(b.out[i].until); d >= 0 && d < grain {
			b.out[i] = lot{b.out[i].count + n, due, until}
			return
		}
	}
	b.out = append(b.out, lot{n, due, until})
}

// Return puts back tokens that nobody spent nor will, and of which the first
// lapses or lapsed at the given time. Those are lost that the bucket had no room
// for since.
func (b *Bucket) Return(now time.Time, t Terms, count int, lapse time.Time) {
	b.settle(now, t)
	if !lapse.After(b.gone) {
		return
	}
	n := float64(count)
	i := slices.IndexFunc(b.backs, func(k back) bool { return !k.until.Before(lapse) })
	if i >= 0 {
		n = b.readmit(n, i)
	} else {
		n = b.recall(n, lapse)
	}
	b.level += n
	b.settle(now, t)
}

// readmit tells how many of some tokens that lapsed with a lot, or after it, may
// be put back, and takes up the room for them.
func (b *Bucket) readmit(n float64, lot int) float64 {
	n = max(0, min(n, b.backs[lot].room))
	for i := range b.backs {
		b.backs[i].room -= n
	}
	return n
}

// recall takes tokens out of those outstanding, and returns how many. They are
// of the first lots that lapse at the given time or after it, or of later ones,
// so that what is left is never less than what may be spent.
func (b *Bucket) recall(n float64, lapse time.Time) float64 {
	sum := 0.0
	for i := range b.out {
		l := &b.out[i]
		if l.until.Before(lapse) {
			continue
		}
		k := min(n-sum, l.count)
		l.count -= k
		sum += k
	}
	return sum
}

// Level returns how many tokens could be taken now, as a fraction.
func (b *Bucket) Level(now time.Time, t Terms) float64 {
	b.settle(now, t)
	return b.level
}

// Outstanding returns how many granted tokens may still be spent, and for how
// long the last of them.
func (b *Bucket) Outstanding(now time.Time) (float64, time.Duration) {
	sum, last := 0.0, time.Duration(0)
	for _, l := range b.out {
		if now.After(l.until) {
			continue
		}
		sum += l.count
		last = max(last, l.until.Sub(now))
	}
	return sum, last
}

// Full tells whether the bucket holds its whole burst.
func (b *Bucket) Full(now time.Time, t Terms) bool {
	return b.Level(now, t) >= t.Burst
}

// After returns when the next whole token will be there, if nobody takes one
// before. It is negative when that is never, because the burst is below one.
func (b *Bucket) After(now time.Time, t Terms) time.Duration {
	b.settle(now, t)
	if t.Burst < 1 || t.Rate <= 0 {
		return -1
	}
	fill := func(missing float64) time.Duration {
		return time.Duration(max(0, missing) / t.pace() * float64(time.Second))
	}
	after := fill(1 - b.level)
	if lapse, room := b.opening(now, t); lapse > 0 {
		after = max(after, lapse+fill(1-min(1, room)))
	}
	return max(after, time.Millisecond)
}

// opening returns, for a settled bucket, when enough outstanding tokens have lapsed for a whole token
// to fit, and the room just before.
func (b *Bucket) opening(now time.Time, t Terms) (time.Duration, float64) {
	room, lapse := t.Burst-b.outstanding(), time.Duration(0)
	for _, l := range b.out {
		if room >= 1 {
			break
		}
		lapse = l.until.Sub(now) + time.Nanosecond
		if room+l.count >= 1 {
			break
		}
		room += l.count
	}
	return lapse, max(0, room)
}
