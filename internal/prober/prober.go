// Package prober keeps the roster of the fleet's nodes by heartbeats between
// them, and spreads over the same datagrams the stamps that tell every node how
// long ago the store, or in an outage most of the fleet, confirmed the numbers
// of the shared records.
//
// The heartbeats follow SWIM: each node pings one other a second, in shuffled
// order; when no answer comes it asks a few others to ping it, so that a path
// that is cut one way is told from a member that is gone; a member that nobody
// reaches is suspected and has a while to refute it with a higher incarnation.
package prober

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/zinniaproxy/zinniaproxy/internal/messenger"
)

// Defaults of the heartbeats.
const (
	// tickEvery is the step of the prober's clock.
	tickEvery = 100 * time.Millisecond
	// probeEvery is how often a node pings another.
	probeEvery = time.Second
	// directTimeout is how long a direct answer may take before others are
	// asked.
	directTimeout = 300 * time.Millisecond
	// helpers is how many others are asked.
	helpers = 3
	// suspicionTimeout is how long a member has to refute a suspicion.
	suspicionTimeout = 3 * time.Second
	// doubtAfter is how long a node may go unanswered by everyone before it
	// doubts itself and no longer accuses others.
	doubtAfter = 2 * time.Second
	// aloneAfter is how long it may go unanswered before it gives others up.
	aloneAfter = 30 * time.Second
	// pauseGap is how late a tick may be before the node takes itself to have
	// been paused.
	pauseGap = time.Second
	// reviveEvery is how often a member that is dead, or only on record, is
	// tried again.
	reviveEvery = 2 * time.Second
	// listEvery is how often the roster is compared with another node's.
	listEvery = 20 * time.Second
	// deadKept and leftKept are how long members are kept after their end, the
	// former longer than regions lose each other.
	deadKept = 3 * time.Hour
	leftKept = 10 * time.Minute
	// meetAtOnce is how many nodes on record that it does not know a young
	// process pings in each tick, meetAgain how soon the same one again. A
	// fleet of 80 that starts at once knows itself within a second, at some
	// 150 bytes a ping.
	meetAtOnce = 16
	meetAgain  = time.Second
	// fanOut is to how many others fresh news is pushed at once.
	fanOut = 4
	// received bounds the datagrams that wait to be handled.
	received = 256
)

// Counts are totals since the start.
type Counts struct {
	// Sent and Received count datagrams, and the bytes of their payload.
	Sent, Received, SentBytes, ReceivedBytes uint64
	// Rejected counts datagrams that were foreign, forged, replayed or broken.
	Rejected uint64
	// Suspicions counts the suspicions that this node raised.
	Suspicions uint64
}

// Prober is the heartbeat layer of one node. Set the exported fields before
// Run; they are not changed afterwards.
type Prober struct {
	// Node is this node; its Link is the address of Socket as peers reach it.
	Node messenger.Node
	// Secret authenticates the fleet's datagrams. At least 16 bytes.
	Secret []byte
	// Socket carries the datagrams.
	Socket *Socket
	// Seeds are addresses of nodes that may be up, for the first contact.
	Seeds []string
	// Confirm asks the store for the current numbers. Only a few nodes call it,
	// whatever the size of the fleet. Nil means that this node has no store.
	Confirm func(ctx context.Context) (Numbers, error)
	// Unstamped tells that nobody asks how fresh the numbers are, so that no
	// stamps are made.
	Unstamped bool
	// OnChange is called in order for each change of a member, from the
	// prober's own goroutine: it must not block.
	OnChange func(Member)
	// OnNumber is called when a higher number of a kind becomes known.
	OnNumber func(Kind, uint64)

	counts struct {
		sent, received, sentBytes, receivedBytes, rejected, suspicions atomic.Uint64
	}
	started time.Time

	mu       sync.Mutex
	self     messenger.Node
	ownState State
	// joined tells that some member has answered this process.
	joined bool
	// replaced tells that a later process runs under the same name.
	replaced bool
	members  map[string]*entry
	// recorded are the nodes on record in the store, by name.
	recorded map[string]messenger.Node
	snapshot *roster
	// sum is the digest of the other members.
	sum     uint64
	events  []Member
	rumours map[string]*spreading
	seq     uint64
	out     []datagram
	probing probing
	stamps  stamps
	// poke makes the loop tell of what other goroutines changed.
	poke chan struct{}
}

// datagram is one packet on its way out.
type datagram struct {
	to   string
	data []byte
}

// init prepares the state once, before Run or any other method needs it.
func (p *Prober) init() {
	if p.members != nil {
		return
	}
	p.started = time.Now()
	p.poke = make(chan struct{}, 1)
	p.self = p.Node
	p.members = map[string]*entry{}
	p.recorded = map[string]messenger.Node{}
	p.rumours = map[string]*spreading{}
	p.probing.init(p.started)
	p.stamps.init(p.started)
	p.announce()
}

// Run keeps the roster until ctx ends, then tells the fleet that the node left
// and closes Socket.
func (p *Prober) Run(ctx context.Context) error {
	p.mu.Lock()
	p.init()
	p.mu.Unlock()
	in := make(chan []byte, received)
	go p.receive(ctx, in)
	defer func() { _ = p.Socket.Close() }()
	ticks := time.NewTicker(tickEvery)
	defer ticks.Stop()
	p.step(func(now time.Time) { p.greet(now) })
	for {
		select {
		case <-ctx.Done():
			p.step(func(time.Time) { p.depart() })
			return nil
		case <-p.poke:
			p.step(func(time.Time) {})
		case b := <-in:
			p.step(func(now time.Time) { p.handle(b, now) })
		case <-ticks.C:
			p.step(func(now time.Time) { p.tick(ctx, now) })
		}
	}
}

// receive passes datagrams on until Socket is closed.
func (p *Prober) receive(ctx context.Context, in chan<- []byte) {
	buf := make([]byte, maxPacketBytes+1)
	for {
		n, err := p.Socket.Receive(buf)
		if err != nil {
			if ctx.Err() != nil {
				return
			}
			select {
			case <-ctx.Done():
				return
			case <-time.After(tickEvery):
				continue
			}
		}
		p.counts.received.Add(1)
		p.counts.receivedBytes.Add(uint64(n))
		select {
		case in <- slices.Clone(buf[:n]):
		case <-ctx.Done():
			return
		}
	}
}

// step runs f under the lock, then sends what it queued and tells of what it
// changed.
func (p *Prober) step(f func(now time.Time)) {
	p.mu.Lock()
	f(time.Now())
	out, events, raised := p.out, p.events, p.stamps.raised
	p.out, p.events, p.stamps.raised = nil, nil, nil
	p.mu.Unlock()
	p.transmit(out)
	for _, m := range events {
		if p.OnChange != nil {
			p.OnChange(m)
		}
	}
	for _, r := range raised {
		if p.OnNumber != nil {
			p.OnNumber(r.kind, r.number)
		}
	}
}

// aside runs f under the lock for other goroutines than the loop, which is left
// to tell of the changes.
func (p *Prober) aside(f func(now time.Time)) {
	p.mu.Lock()
	p.init()
	f(time.Now())
	out := p.out
	p.out = nil
	p.mu.Unlock()
	p.transmit(out)
	select {
	case p.poke <- struct{}{}:
	default:
	}
}

func (p *Prober) transmit(out []datagram) {
	for _, d := range out {
		p.counts.sent.Add(1)
		p.counts.sentBytes.Add(uint64(len(d.data)))
		_ = p.Socket.Send(d.to, d.data)
	}
}

// tick does what is due. The caller holds the lock.
func (p *Prober) tick(ctx context.Context, now time.Time) {
	p.notePause(now)
	p.probe(now)
	p.meet(now)
	p.expireRelays(now)
	p.expire(now)
	p.revive(now)
	p.compare(now)
	p.tickStamps(ctx, now)
}

// notePause distrusts the old state after a pause: stamps are dropped, no
// answer to an earlier question counts, and no datagram counts as fresh until
// its sender has answered a new question. The caller holds the lock.
func (p *Prober) notePause(now time.Time) {
	if !p.probing.paused(now) {
		return
	}
	p.stamps.forget()
	p.probing.init(now)
	p.pardon(now)
	for _, e := range p.members {
		e.skew.known = false
	}
}

// expire ends suspicions and forgets old members. The caller holds the lock.
func (p *Prober) expire(now time.Time) {
	doubt := p.doubts(now)
	for name, e := range p.members {
		age := now.Sub(e.since)
		switch {
		case e.State == Suspect && doubt:
			e.since = now
		case e.State == Suspect && age >= suspicionTimeout:
			p.apply(rumour{Name: name, Epoch: e.Epoch, Incarnation: e.Incarnation, State: Dead}, now)
		case e.State == Dead && age >= deadKept, e.State == Left && age >= leftKept:
			delete(p.members, name)
			p.snapshot = nil
		}
	}
}

// Members returns all known members, this node among them, in the order of
// their names. The slice is shared: do not change it.
func (p *Prober) Members() []Member {
	return p.view().members
}

// Alive returns the names of the running members that do not leave, sorted,
// this node among them. The slice is shared: do not change it.
func (p *Prober) Alive() []string {
	return p.view().alive
}

func (p *Prober) view() *roster {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.init()
	return p.current()
}

// Member returns one member by name.
func (p *Prober) Member(name string) (Member, bool) {
	x := p.view()
	i, ok := slices.BinarySearchFunc(x.members, name, func(m Member, n string) int {
		if m.Name < n {
			return -1
		}
		if m.Name > n {
			return 1
		}
		return 0
	})
	if !ok {
		return Member{}, false
	}
	return x.members[i], true
}

// Replaced tells whether a later process runs under this node's name.
func (p *Prober) Replaced() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.replaced
}

// Counts returns the totals.
func (p *Prober) Counts() Counts {
	c := &p.counts
	return Counts{
		Sent: c.sent.Load(), Received: c.received.Load(),
		SentBytes: c.sentBytes.Load(), ReceivedBytes: c.receivedBytes.Load(),
		Rejected: c.rejected.Load(), Suspicions: c.suspicions.Load(),
	}
}

// Leave tells the fleet that this node takes no new work. It stays a member
// until Run ends.
func (p *Prober) Leave() {
	p.aside(func(time.Time) {
		p.self.Leaving = true
		p.self.Incarnation++
		p.announce()
		p.pushNews()
	})
}

// depart tells some members that this process is gone. The caller holds the
// lock.
func (p *Prober) depart() {
	p.ownState = Left
	p.announce()
	for range 2 {
		p.pushNews()
	}
}

// Record sets the nodes that the store has on record. They count in the census
// and are tried when they are not known.
func (p *Prober) Record(nodes []messenger.Node) {
	p.aside(func(now time.Time) {
		p.recorded = make(map[string]messenger.Node, len(nodes))
		for _, n := range nodes {
			p.recorded[n.Name] = n
		}
		if !p.joined {
			p.greet(now)
		}
	})
}

func sortBy[T any](list []T, by func(a, b T) int) { slices.SortFunc(list, by) }

// pick returns up to n random items of list other than skip.
func pick(list []*entry, n int, skip string) []*entry {
	var out []*entry
	for _, i := range rand.Perm(len(list)) {
		if len(out) == n {
			break
		}
		if list[i].Name != skip {
			out = append(out, list[i])
		}
	}
	return out
}
