// Package bucketer implements the token bucket of one workspace at one holder
// of a share. It reads no clock: callers pass the time.
package bucketer

import (
	"math"
	"slices"
	"time"
)

// grantMergeInterval is how far apart two expiry times may be for their grants
// to be merged.
const grantMergeInterval = 16 * time.Millisecond

// maxExpiredGrants bounds the expired grants that are kept to accept returned
// tokens.
const maxExpiredGrants = 64

// Limit bounds what a bucket grants. It may differ between calls, since the
// configuration changes.
type Limit struct {
	// Rate is in tokens per second of true time.
	Rate float64
	// Burst is in tokens.
	Burst float64
	// Drift is the maximum fraction by which a clock may be faster or slower
	// than true time.
	Drift float64
}

// minRate returns a refill rate that stays within Rate even if the local clock
// is fast.
func (l Limit) minRate() float64 { return l.Rate * (1 - l.Drift) }

// grant is a number of tokens that may be spent from due until expires.
type grant struct {
	count        float64
	due, expires time.Time
}

// Bucket is the token bucket of one workspace. It is not safe for concurrent
// use. Reserved tokens count as granted before they are due, so the level may
// be below zero.
//
// Invariant: the tokens in the bucket and the granted tokens that may still be
// spent never exceed the burst together. A token that is spent late therefore
// never adds to what the bucket can grant at once.
type Bucket struct {
	level     float64
	updatedAt time.Time
	grants    []grant // sorted by expires after advance
	// expired are the grants that expired most recently, the oldest first.
	expired []expiredGrant
	// returnCutoff is the expiry time up to which tokens can no longer be
	// returned.
	returnCutoff time.Time
}

// expiredGrant is a grant that expired. How many of its tokens were spent is
// not known.
type expiredGrant struct {
	expires time.Time
	// headroom is the smallest free capacity of the bucket since then. Returned
	// tokens beyond it would have overflowed the bucket.
	headroom float64
}

// New returns a bucket that is created now and was empty at the given time.
func New(now, emptyAt time.Time) *Bucket { return &Bucket{updatedAt: emptyAt, returnCutoff: now} }

// Restore returns a bucket with a level and with tokens outstanding until
// expiry has passed.
func Restore(now time.Time, level, outstanding float64, expiry time.Duration) *Bucket {
	b := &Bucket{level: level, updatedAt: now, returnCutoff: now}
	if outstanding > 0 {
		b.grants = []grant{{outstanding, now.Add(expiry), now.Add(expiry)}}
	}
	return b
}

// advance updates the bucket to the given time. It refills at minRate, limited
// at each moment to the burst less the outstanding tokens.
func (b *Bucket) advance(now time.Time, limit Limit) {
	slices.SortFunc(b.grants, func(x, y grant) int { return x.expires.Compare(y.expires) })
	for len(b.grants) > 0 && now.After(b.grants[0].expires) {
		b.refill(b.grants[0].expires, limit)
		b.expired = append(b.expired, expiredGrant{b.grants[0].expires, limit.Burst})
		b.grants = b.grants[1:]
	}
	b.refill(now, limit)
}

func (b *Bucket) refill(now time.Time, limit Limit) {
	if elapsed := now.Sub(b.updatedAt); elapsed > 0 {
		b.level += elapsed.Seconds() * limit.minRate()
		b.updatedAt = now
	}
	headroom := limit.Burst - b.outstandingTokens()
	// Only reserved tokens that are not due yet may keep the level below zero,
	// even if the rate fell since they were reserved.
	b.level = max(min(b.level, headroom), -b.notYetDue(now))
	for i := range b.expired {
		b.expired[i].headroom = min(b.expired[i].headroom, headroom-b.level)
	}
	b.dropExpired()
}

// dropExpired discards the oldest expired grants while they have no headroom or
// are too many.
func (b *Bucket) dropExpired() {
	for len(b.expired) > maxExpiredGrants || len(b.expired) > 0 && b.expired[0].headroom <= 0 {
		b.returnCutoff = b.expired[0].expires
		b.expired = b.expired[1:]
	}
}

// notYetDue returns how many reserved tokens are not due yet.
func (b *Bucket) notYetDue(now time.Time) (sum float64) {
	for _, g := range b.grants {
		if g.due.After(now) {
			sum += g.count
		}
	}
	return sum
}

func (b *Bucket) outstandingTokens() float64 {
	sum := 0.0
	for _, g := range b.grants {
		sum += g.count
	}
	return sum
}

// Take removes up to count whole tokens, each of which may be spent until
// validFor has passed, and returns how many it removed.
func (b *Bucket) Take(now time.Time, limit Limit, count int, validFor time.Duration) int {
	b.advance(now, limit)
	n := min(float64(count), math.Floor(b.level+1e-9))
	if n <= 0 {
		return 0
	}
	b.level -= n
	if validFor > 0 {
		b.addGrant(n, now, now.Add(validFor))
	}
	return int(n)
}

// Reserve reserves up to count whole tokens that become due within the given
// time. Each may be spent until validFor after it is due. It returns how long
// from now each is due; later reservations follow them. A token that fits the
// burst only after others have expired is not reserved, since the rate may rise
// before.
func (b *Bucket) Reserve(now time.Time, limit Limit, count int, within, validFor time.Duration) []time.Duration {
	var due []time.Duration
	for len(due) < count {
		wait := b.UntilNext(now, limit)
		if wait < 0 || wait > within || b.outstandingTokens()+1 > limit.Burst {
			break
		}
		b.level--
		b.addGrant(1, now.Add(wait), now.Add(wait+validFor))
		due = append(due, wait)
	}
	return due
}

func (b *Bucket) addGrant(count float64, due, expires time.Time) {
	for i := range b.grants {
		if d := expires.Sub(b.grants[i].expires); d >= 0 && d < grantMergeInterval {
			b.grants[i] = grant{b.grants[i].count + count, due, expires}
			return
		}
	}
	b.grants = append(b.grants, grant{count, due, expires})
}

// Return puts back tokens that were not and will not be spent, the first of
// which expires or expired at expiry. Tokens for which the bucket had no
// headroom since are lost.
func (b *Bucket) Return(now time.Time, limit Limit, count int, expiry time.Time) {
	b.advance(now, limit)
	if !expiry.After(b.returnCutoff) {
		return
	}
	n := float64(count)
	i := slices.IndexFunc(b.expired, func(e expiredGrant) bool { return !e.expires.Before(expiry) })
	if i >= 0 {
		n = b.reclaimExpired(n, i)
	} else {
		n = b.reclaimOutstanding(n, expiry)
	}
	b.level += n
	b.advance(now, limit)
}

// reclaimExpired returns how many of n tokens that expired with the given
// expired grant, or later, may be put back, and takes the headroom for them.
func (b *Bucket) reclaimExpired(n float64, from int) float64 {
	n = max(0, min(n, b.expired[from].headroom))
	for i := range b.expired {
		b.expired[i].headroom -= n
	}
	return n
}

// reclaimOutstanding removes up to n tokens from outstanding grants that expire
// at or after expiry, the earliest first, and returns how many. What remains is
// never less than what may be spent.
func (b *Bucket) reclaimOutstanding(n float64, expiry time.Time) float64 {
	sum := 0.0
	for i := range b.grants {
		g := &b.grants[i]
		if g.expires.Before(expiry) {
			continue
		}
		taken := min(n-sum, g.count)
		g.count -= taken
		sum += taken
	}
	return sum
}

// Level returns how many tokens could be taken now, including a fraction.
func (b *Bucket) Level(now time.Time, limit Limit) float64 {
	b.advance(now, limit)
	return b.level
}

// Outstanding returns how many granted tokens may still be spent, and how long
// from now the last of them expires.
func (b *Bucket) Outstanding(now time.Time) (float64, time.Duration) {
	sum, last := 0.0, time.Duration(0)
	for _, g := range b.grants {
		if now.After(g.expires) {
			continue
		}
		sum += g.count
		last = max(last, g.expires.Sub(now))
	}
	return sum, last
}

// Full reports whether the bucket holds its whole burst.
func (b *Bucket) Full(now time.Time, limit Limit) bool {
	return b.Level(now, limit) >= limit.Burst
}

// UntilNext returns how long from now the next whole token is available if none
// is taken before, or a negative value if never: the burst is below one or the
// rate is not positive.
func (b *Bucket) UntilNext(now time.Time, limit Limit) time.Duration {
	b.advance(now, limit)
	if limit.Burst < 1 || limit.Rate <= 0 {
		return -1
	}
	refillTime := func(missing float64) time.Duration {
		return time.Duration(max(0, missing) / limit.minRate() * float64(time.Second))
	}
	wait := refillTime(1 - b.level)
	if expiry, headroom := b.nextHeadroom(now, limit); expiry > 0 {
		wait = max(wait, expiry+refillTime(1-min(1, headroom)))
	}
	return max(wait, time.Millisecond)
}

// nextHeadroom returns, for an advanced bucket, how long from now enough
// outstanding tokens have expired for a whole token to fit, and the headroom
// just before.
func (b *Bucket) nextHeadroom(now time.Time, limit Limit) (time.Duration, float64) {
	headroom, expiry := limit.Burst-b.outstandingTokens(), time.Duration(0)
	for _, g := range b.grants {
		if headroom >= 1 {
			break
		}
		expiry = g.expires.Sub(now) + time.Nanosecond
		if headroom+g.count >= 1 {
			break
		}
		headroom += g.count
	}
	return expiry, max(0, headroom)
}
