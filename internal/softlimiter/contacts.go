package softlimiter

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// scarceFraction is the fraction of a bucket's burst below which the node
	// checks which members it reaches.
	scarceFraction = 0.8
	// contactInterval is the time between two checks, and contactRetry the same
	// while answers are missing.
	contactInterval = 400 * time.Millisecond
	contactRetry    = 20 * time.Millisecond
	// A check asks one member of each data centre, and if one does not answer
	// within firstContactTimeout up to maxContacts of them, drawn evenly from the
	// data centres. They have contactTimeout to answer. A member is lost if it did
	// not answer for lostAfter, so that one that is slow does not count as lost.
	firstContactTimeout = 200 * time.Millisecond
	contactTimeout      = 250 * time.Millisecond
	lostAfter           = 500 * time.Millisecond
	maxContacts         = 48
	minCentreContacts   = 2
	// contactExpiry is how long the result of a check holds.
	contactExpiry = 2 * time.Second
)

// contacts knows which members exchanged messages with this node lately. The
// member list learns of a partition one member at a time and takes seconds, in
// which both sides would grant the whole rate.
type contacts struct {
	mu sync.Mutex
	// heard is when a member last sent a query or a reply, or its process was found
	// to be gone. triedSince is since when it has not answered.
	heard, triedSince map[string]time.Time
	checking          bool
	checkedAt         time.Time
	// fraction is that of the members which were not lost at checkedAt, answered
	// that of those which had answered.
	fraction, answered float64
}

// note records that a member sent a message.
func (c *contacts) note(name string, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.init()
	c.heard[name] = now
	delete(c.triedSince, name)
}

// init creates the maps. The caller holds the lock.
func (c *contacts) init() {
	if c.heard == nil {
		c.heard, c.triedSince = map[string]time.Time{}, map[string]time.Time{}
	}
}

// contactFraction returns the fraction of the running members that this node did
// not lose lately, or 1 if that was not checked.
func (l *Limiter) contactFraction(now time.Time) float64 {
	c := &l.contacts
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.valid(now) {
		return 1
	}
	return c.fraction
}

// answeredFraction returns the fraction of the running members that answered this
// node lately, or 0 if that was not checked.
func (l *Limiter) answeredFraction(now time.Time) float64 {
	c := &l.contacts
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.valid(now) {
		return 0
	}
	return c.answered
}

// valid reports whether the last check still holds. The caller holds the lock.
func (c *contacts) valid(now time.Time) bool {
	return !c.checkedAt.IsZero() && now.Sub(c.checkedAt) <= contactExpiry
}

// checkContacts starts to check which members this node reaches, unless it has
// just done so.
func (l *Limiter) checkContacts(now time.Time) {
	c := &l.contacts
	c.mu.Lock()
	defer c.mu.Unlock()
	interval := contactInterval
	if c.answered < 1 {
		interval = contactRetry
	}
	if c.checking || !c.checkedAt.IsZero() && now.Sub(c.checkedAt) < interval {
		return
	}
	c.checking = true
	c.init()
	go l.runCheck(c.answered < 1 && c.valid(now))
}

// runCheck asks members for an answer and updates the fraction that is reached.
func (l *Limiter) runCheck(missing bool) {
	c := &l.contacts
	drawn := l.drawContacts(1)
	if !missing {
		l.ask(drawn, firstContactTimeout)
		missing = !c.haveAnswered(drawn)
	}
	if missing {
		drawn = l.drawContacts(max(maxContacts/len(drawn), minCentreContacts))
		l.ask(drawn, contactTimeout)
	}
	c.finish(drawn, time.Now())
}

// ask asks the drawn members that were not heard of lately for an answer.
func (l *Limiter) ask(centres []drawnCentre, timeout time.Duration) {
	var wg sync.WaitGroup
	for _, drawn := range centres {
		for _, name := range drawn.names {
			if l.contacts.startTrying(name, time.Now()) {
				wg.Go(func() { l.askMember(name, timeout) })
			}
		}
	}
	wg.Wait()
}

// askMember asks one member for an answer. Two errors in a row without waiting
// mean that its VM refuses connections: its process is gone and grants nothing, so
// that it is not lost.
func (l *Limiter) askMember(name string, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	for range 2 {
		_, err := l.SendQuery(ctx, name, &Query{})
		if err == nil {
			break
		}
		if ctx.Err() != nil {
			return
		}
	}
	l.contacts.note(name, time.Now())
}

// haveAnswered reports whether all drawn members have answered.
func (c *contacts) haveAnswered(centres []drawnCentre) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, drawn := range centres {
		for _, name := range drawn.names {
			if _, missing := c.triedSince[name]; missing {
				return false
			}
		}
	}
	return true
}

// finish updates the fractions after a check and forgets members that were not
// heard of for long.
func (c *contacts) finish(centres []drawnCentre, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	notLost, answered, members := 0.0, 0.0, 0
	for _, drawn := range centres {
		missing, lost := 0, 0
		for _, name := range drawn.names {
			since, ok := c.triedSince[name]
			if ok {
				missing++
			}
			if ok && now.Sub(since) >= lostAfter {
				lost++
			}
		}
		weight := float64(drawn.members) / float64(len(drawn.names))
		members += drawn.members
		notLost += weight * float64(len(drawn.names)-lost)
		answered += weight * float64(len(drawn.names)-missing)
	}
	c.checking, c.checkedAt = false, now
	c.fraction, c.answered = notLost/float64(members), answered/float64(members)
	for name, at := range c.heard {
		if now.Sub(at) > bucketIdleTimeout {
			delete(c.heard, name)
		}
	}
	for name, since := range c.triedSince {
		if now.Sub(since) > bucketIdleTimeout {
			delete(c.triedSince, name)
		}
	}
}

// startTrying reports whether a member is to be asked for an answer, and records
// since when it owes one.
func (c *contacts) startTrying(name string, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if at, ok := c.heard[name]; ok && now.Sub(at) < contactInterval {
		return false
	}
	if _, ok := c.triedSince[name]; !ok {
		c.triedSince[name] = now
	}
	return true
}

// drawnCentre holds the members of a data centre that are checked, of all those
// that run.
type drawnCentre struct {
	names   []string
	members int
}

// drawContacts draws up to perCentre members of each data centre. This node is one
// of its own, and counts as reached.
func (l *Limiter) drawContacts(perCentre int) []drawnCentre {
	byCentre := map[string][]string{"": l.Alive()}
	if l.AliveByCentre != nil {
		byCentre = l.AliveByCentre()
	}
	var out []drawnCentre
	own := drawnCentre{names: []string{l.Self}, members: 1}
	for _, names := range byCentre {
		d := drawnCentre{}
		for _, i := range rand.Perm(len(names)) {
			if names[i] == l.Self {
				continue
			}
			if d.members++; len(d.names) < perCentre {
				d.names = append(d.names, names[i])
			}
		}
		if d.members > 0 {
			out = append(out, d)
		}
	}
	l.contacts.note(l.Self, time.Now())
	return append(out, own)
}
