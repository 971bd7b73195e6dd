package prober

import (
	"context"
	"math"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Kind identifies a version number that only grows and that all nodes follow.
type Kind uint8

// The kinds of numbers.
const (
	// ConfigNumber is the number of the configuration.
	ConfigNumber Kind = iota
	// SharesNumber is the number of the share assignment.
	SharesNumber
	// EraNumber is the era of the store, which rises each time that the store is
	// restored from an older copy.
	EraNumber
	// ConfigOverflow comes after ConfigNumber in the order of configurations: it
	// rises while that stays the same, and starts anew when that rises.
	ConfigOverflow

	kindCount = 4
	// stampedKinds is how many of the kinds the store confirms with stamps.
	stampedKinds = 2
)

// Numbers holds the numbers of all kinds, indexed by Kind.
type Numbers [kindCount]uint64

const (
	// confirmInterval is how often each watcher queries the store.
	confirmInterval = 1500 * time.Millisecond
	// firstConfirmSpread bounds the random delay of the first query, for a fleet
	// whose nodes start at the same time.
	firstConfirmSpread = 500 * time.Millisecond
	// confirmTimeout bounds one query to the store.
	confirmTimeout = time.Second
	// watcherCount is how many nodes query the store regularly.
	watcherCount = 3
	// sourceReaders is about how many nodes of the fleet read the operators'
	// changes from the store, so that some do while the store turns a third of
	// the nodes away; minCentreReaders is the least number in each data centre.
	sourceReaders    = 32
	minCentreReaders = 4
	// minFreshnessGain is by how much a stamp must be newer than the one before
	// to be pushed on at once.
	minFreshnessGain = 200 * time.Millisecond
	// staleAge is the age of the newest stamp beyond which any node may query
	// the store in place of the watchers.
	staleAge = 1500 * time.Millisecond
	// recentStoreAge is the age of a store stamp below which a census is
	// canceled.
	recentStoreAge = time.Second
	// censusTimeout is how long members may take to answer a census.
	censusTimeout = 500 * time.Millisecond
	// MaxStampAge is the age of the newest stamp beyond which a node cannot know
	// whether its numbers still hold.
	MaxStampAge = 3 * time.Second
)

// Never is the age of the newest stamp while there is none.
const Never = time.Duration(math.MaxInt64)

// Stamp says that, Age ago, the store confirmed the numbers or, if Census is set,
// a majority of the known nodes answered and none of them had recent contact with
// the store.
type Stamp struct {
	_msgpack struct{} `msgpack:",as_array"`

	// Origin, the name of a node, and Sequence identify the stamp.
	Origin   string
	Sequence uint64
	// Age is how long ago the numbers were confirmed, or Never.
	Age time.Duration
	// Config and Shares are the numbers confirmed; in a result of NewestStamp
	// they are the highest ever received.
	Config, Shares uint64
	// Census is set if the stamp is from a census, as the store was
	// unreachable.
	Census bool
}

// confirmation is a stamp with the time at which its numbers were confirmed, by
// this node's clock.
type confirmation struct {
	stamp Stamp
	at    time.Time
	valid bool
}

func (c confirmation) age(now time.Time) time.Duration {
	if !c.valid {
		return Never
	}
	return max(0, elapsed(c.at, now))
}

// stampState is the state of the numbers and their stamps.
type stampState struct {
	numbers Numbers
	// newest is the newest stamp of all, newestFromStore the newest that is not
	// from a census.
	newest, newestFromStore confirmation
	sequence                uint64
	// confirming is set while a query to the store is in progress.
	confirming    bool
	nextConfirmAt time.Time
	census        *censusRound
	raised        []raisedNumber
}

// raisedNumber is a number that was raised. Its overflow is that of a ConfigNumber
// whose ConfigOverflow was raised.
type raisedNumber struct {
	kind             Kind
	number, overflow uint64
}

// censusRound is a census in progress.
type censusRound struct {
	nonce    uint64
	start    time.Time
	answered map[string]bool
}

func (s *stampState) init(now time.Time) {
	s.nextConfirmAt = now.Add(rand.N(firstConfirmSpread))
}

// reset drops all stamps and the census.
func (s *stampState) reset() {
	s.newest, s.newestFromStore, s.census = confirmation{}, confirmation{}, nil
}

// stampWithAge returns the stamp of c with its current age, or nil if c is not
// valid.
func (s *stampState) stampWithAge(c confirmation) *Stamp {
	if !c.valid {
		return nil
	}
	stamp := c.stamp
	stamp.Age = c.age(time.Now())
	return &stamp
}

// raiseNumbers raises the known numbers to those in n that are higher and reports
// whether there were any. The overflow in n belongs to the configuration in n.
func (s *stampState) raiseNumbers(n Numbers) bool {
	raised := false
	for k := range n {
		if Kind(k) == ConfigOverflow {
			continue
		}
		if n[k] > s.numbers[k] {
			s.numbers[k] = n[k]
			if Kind(k) == ConfigNumber {
				s.numbers[ConfigOverflow] = 0
			}
			s.raised = append(s.raised, raisedNumber{kind: Kind(k), number: n[k]})
			raised = true
		}
	}
	if overflow := n[ConfigOverflow]; n[ConfigNumber] == s.numbers[ConfigNumber] && overflow > s.numbers[ConfigOverflow] {
		s.numbers[ConfigOverflow] = overflow
		s.raised = append(s.raised, raisedNumber{ConfigOverflow, n[ConfigNumber], overflow})
		raised = true
	}
	return raised
}

// NewestStamp returns the newest stamp with its current age, or Never, and the
// highest numbers ever received.
func (p *Prober) NewestStamp() Stamp {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := &p.stamps
	stamp := s.newest.stamp
	stamp.Age = s.newest.age(time.Now())
	stamp.Config, stamp.Shares = s.numbers[ConfigNumber], s.numbers[SharesNumber]
	return stamp
}

// RaiseNumber raises a number to at least number and gossips it if it was lower.
func (p *Prober) RaiseNumber(k Kind, number uint64) {
	p.stepOutsideLoop(func(now time.Time) {
		var n Numbers
		n[k] = number
		if p.stamps.raiseNumbers(n) {
			p.pushNumbers(now)
		}
	})
}

// RaiseOverflow raises the overflow of a configuration's number like RaiseNumber.
func (p *Prober) RaiseOverflow(number, overflow uint64) {
	p.stepOutsideLoop(func(now time.Time) {
		if p.stamps.raiseNumbers(Numbers{ConfigNumber: number, ConfigOverflow: overflow}) {
			p.pushNumbers(now)
		}
	})
}

// mergeNumbersAndStamp merges the numbers and the stamp of a packet into the known
// ones and pushes gossip if they changed. The caller holds the lock.
func (p *Prober) mergeNumbersAndStamp(e *memberEntry, q *packet, now time.Time) {
	if p.stamps.raiseNumbers(q.numbers()) {
		p.pushNumbers(now)
	}
	if q.Stamp != nil {
		delay, ok := e.offset.delay(q.Clock, now.Sub(p.started))
		if !ok {
			p.verifyClock(e, now)
		} else if p.adopt(*q.Stamp, now.Add(-q.Stamp.Age-delay), minFreshnessGain) {
			p.pushUpdates()
		}
	}
}

// verifyClock pings a member whose clock offset is unknown. Its stamps are
// ignored until it has answered.
func (p *Prober) verifyClock(e *memberEntry, now time.Time) {
	if len(p.probes.extraPings) < relayCount {
		p.pingAddress(e.Link, e.Centre, e.Epoch, now)
	}
}

// adopt keeps a stamp if it is newer than the known one, and reports whether it
// is newer by at least minGain.
func (p *Prober) adopt(candidate Stamp, at time.Time, minGain time.Duration) bool {
	s := &p.stamps
	c := confirmation{stamp: candidate, at: at, valid: true}
	if !candidate.Census && (!s.newestFromStore.valid || at.After(s.newestFromStore.at)) {
		s.newestFromStore = c
	}
	if s.newest.valid && !at.After(s.newest.at) {
		return false
	}
	fresh := !s.newest.valid || at.Sub(s.newest.at) >= minGain
	s.newest = c
	return fresh
}

// issueStamp makes a stamp with this node as its origin and gossips it if it is
// the newest.
func (p *Prober) issueStamp(n Numbers, at time.Time, isCensus bool) {
	s := &p.stamps
	s.sequence++
	s.raiseNumbers(n)
	stamp := Stamp{Origin: p.self.Name, Sequence: s.sequence, Config: n[ConfigNumber], Shares: n[SharesNumber], Census: isCensus}
	if p.adopt(stamp, at, 0) {
		p.pushUpdates()
	}
}

// tickStamps queries the store every confirmInterval if this node is a watcher.
// When the newest stamp is stale, some random node does so in place of the
// watchers. The caller holds the lock.
func (p *Prober) tickStamps(ctx context.Context, now time.Time) {
	if p.DisableStamps {
		return
	}
	s := &p.stamps
	if c := s.census; c != nil && now.Sub(c.start) > censusTimeout {
		s.census = nil
	}
	if !now.Before(s.nextConfirmAt) && !p.awaitsSeeds(now) {
		s.nextConfirmAt = now.Add(confirmInterval)
		if p.isWatcher() {
			p.refreshNumbers(ctx, now, false)
		}
	}
	if s.census == nil && now.Sub(p.started) > staleAge && s.newest.age(now) > staleAge && rand.IntN(max(1, len(p.aliveNames()))) == 0 {
		p.refreshNumbers(ctx, now, true)
	}
}

// awaitsSeeds reports whether this node has just started and its seeds have not
// answered, or not yet with all of the member list. As it knows few other members
// until then, it would take itself for a watcher, like all nodes of a fleet that
// starts at the same time.
func (p *Prober) awaitsSeeds(now time.Time) bool {
	return len(p.Seeds) > 0 && (!p.joined || p.probes.pageRequested) && now.Sub(p.started) < staleAge
}

// isWatcher reports whether this node is one of the watchers.
func (p *Prober) isWatcher() bool { return p.ranksBelow(p.aliveNames(), watcherCount) }

// ranksBelow reports whether fewer than count of the named nodes have a higher
// hash of their name than this one, so that all nodes choose the same count of
// them.
func (p *Prober) ranksBelow(names []string, count int) bool {
	ownHash := xxhash.Sum64String(p.self.Name)
	above := 0
	for _, n := range names {
		if xxhash.Sum64String(n) > ownHash {
			above++
		}
	}
	return above < count
}

// IsSourceReader reports whether this node is one of those that read the
// operators' changes from the store for the others: sourceReaders of the fleet,
// the same number in each data centre. A node that reaches no other is one too.
func (p *Prober) IsSourceReader() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.init()
	if !p.joined || p.isolated(time.Now()) {
		return true
	}
	byCentre := p.memberList().aliveByCentre
	perCentre := (sourceReaders + len(byCentre) - 1) / max(len(byCentre), 1)
	return p.ranksBelow(byCentre[p.self.Centre], max(perCentre, minCentreReaders))
}

// refreshNumbers queries the store for the numbers. With fallback set, it starts
// a census if there is no store or the query fails.
func (p *Prober) refreshNumbers(ctx context.Context, now time.Time, fallback bool) {
	s := &p.stamps
	if p.Confirm == nil {
		if fallback {
			p.startCensus(now)
		}
		return
	}
	if s.confirming {
		return
	}
	s.confirming = true
	go p.confirmNumbers(ctx, fallback)
}

// confirmNumbers queries the store. The stamp is dated by the start of the query,
// as the store may have read the numbers at any time since.
func (p *Prober) confirmNumbers(ctx context.Context, fallback bool) {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	startedAt := time.Now()
	n, err := p.Confirm(ctx)
	p.stepOutsideLoop(func(now time.Time) {
		p.stamps.confirming = false
		if err == nil {
			p.issueStamp(n, startedAt, false)
		} else if fallback && p.stamps.newest.age(now) > staleAge {
			p.startCensus(now)
		}
	})
}

// IsWatcher reports whether this node is one of the few that query the store
// regularly.
func (p *Prober) IsWatcher() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.init()
	return p.isWatcher()
}
