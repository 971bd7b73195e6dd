// Package prober keeps the member list of the fleet by heartbeats between the
// nodes. The same datagrams spread stamps, which tell every node how long ago
// the store, or during a store outage a majority of the fleet, confirmed the
// version numbers of the shared records.
//
// The heartbeats follow SWIM. Each node pings one other node a second. If no
// ack arrives, it asks a few other nodes to ping that member, which tells a path
// that is cut in one direction from a member that has failed. A member that
// nobody reaches is suspected, and declared dead unless it refutes the suspicion
// with a higher incarnation in time.
package prober

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/zinniaproxy/zinniaproxy/internal/messenger"
)

// Timing and limits of the heartbeats.
const (
	// tickInterval is the time between two runs of the periodic work.
	tickInterval = 100 * time.Millisecond
	// probeInterval is the time between two pings of a node.
	probeInterval = time.Second
	// ackTimeout is how long an ack or a page of the member list may take
	// before it is requested again or relays are asked.
	ackTimeout = 300 * time.Millisecond
	// relayCount is how many members are asked to relay a ping. verifyClock and
	// pingBack send no ping while as many extra pings are in flight.
	relayCount = 3
	// suspicionTimeout is how long a member has to refute a suspicion.
	suspicionTimeout = 3 * time.Second
	// isolatedAfter is how long a node may go without any answer before it
	// takes the fault to be its own and no longer declares suspects dead.
	isolatedAfter = 2 * time.Second
	// localDeadAfter is how long a node may go without any answer before it
	// marks unreachable members as dead in its own list.
	localDeadAfter = 30 * time.Second
	// pauseThreshold is the gap between ticks beyond which the process is taken
	// to have been paused.
	pauseThreshold = time.Second
	// reconnectInterval is how often one member that is dead, or known only
	// from the store, is pinged.
	reconnectInterval = 2 * time.Second
	// syncInterval is the mean interval at which the member list is compared with
	// that of a node whose list differed when it was last heard of.
	syncInterval = time.Second
	// deadRetention and leftRetention are how long members are kept after they
	// died or left. The former exceeds the time for which regions may lose
	// contact with each other.
	deadRetention = 3 * time.Hour
	leftRetention = 10 * time.Minute
	// startupPingsPerTick is how many nodes that are recorded in the store but
	// not yet members a new process pings in each tick; startupPingInterval is
	// the time until it pings the same one again. With these, the nodes of a
	// fleet of 80 that starts at once know each other within a second, at some
	// 150 bytes a ping.
	startupPingsPerTick = 16
	startupPingInterval = time.Second
	// remotePingDelay is how long after its start a new process begins to ping
	// nodes of other data centres; those of its own may tell it of them before.
	remotePingDelay = 400 * time.Millisecond
	// maxStartDifference is by how much the starts of two processes may differ, by
	// the wall clocks of their VMs, to be taken for a start of the whole fleet.
	maxStartDifference = 10 * time.Second
	// expiryInterval is the time between two looks for suspects whose time is over
	// and members past their retention.
	expiryInterval = 200 * time.Millisecond
	// pushInterval is the least time between two pushes of changes.
	pushInterval = 250 * time.Millisecond
	// fanout is how many members new gossip is pushed to at once, and how many
	// recorded nodes are pinged for the first contact.
	fanout = 4
	// maxQueuedDatagrams bounds the received datagrams that wait to be handled.
	maxQueuedDatagrams = 256
)

// Counts holds totals since the start of the process.
type Counts struct {
	// Sent and Received count datagrams, and the bytes of their payload.
	Sent, Received, SentBytes, ReceivedBytes uint64
	// CrossingBytes is the part of SentBytes that went to other data centres, or
	// to nodes whose data centre is not known.
	CrossingBytes uint64
	// Rejected counts datagrams that were unauthenticated, replayed, outdated
	// or malformed, or that name this node as their sender.
	Rejected uint64
	// Suspicions counts the suspicions that this node itself raised.
	Suspicions uint64
}

// Prober runs the heartbeats of one node. Set the exported fields before Run and
// do not change them afterwards.
type Prober struct {
	// Node is this node; its Link is the address at which other nodes reach
	// Socket.
	Node messenger.Node
	// Secret authenticates the fleet's datagrams. It has at least 16 bytes.
	Secret []byte
	// Socket carries the datagrams.
	Socket *Socket
	// Seeds are addresses of nodes to contact first; they need not be up.
	Seeds []string
	// Confirm reads the current numbers from the store. Only a few nodes call
	// it, whatever the size of the fleet. Nil means that this node has no store.
	Confirm func(ctx context.Context) (Numbers, error)
	// DisableStamps disables making stamps, for when nothing uses the age of the
	// numbers.
	DisableStamps bool
	// OnChange is called for each change of a member, in order, from the
	// goroutine of Run. It must not block.
	OnChange func(Member)
	// OnNumber is called, like OnChange, when a higher number of a kind becomes
	// known.
	OnNumber func(Kind, uint64)
	// OnOverflow is called like OnNumber when a higher overflow of a configuration's
	// number becomes known. It may be nil.
	OnOverflow func(number, overflow uint64)

	counts struct {
		sent, received, sentBytes, receivedBytes, crossingBytes, rejected, suspicions atomic.Uint64
	}
	started time.Time

	mu        sync.Mutex
	self      messenger.Node
	selfState State
	// joined is set once another node has answered this process.
	joined bool
	// replaced is set once a later process runs under the same name.
	replaced bool
	members  map[string]*memberEntry
	// recorded holds the nodes that the store has on record, by name.
	recorded map[string]messenger.Node
	snapshot *memberList
	// peersDigest is the XOR of the hashes of the other members.
	peersDigest uint64
	// bucketDigests is the same for each bucket of members.
	bucketDigests [digestBuckets]uint64
	changes       []Member
	updates       map[string]*queuedUpdate
	sequence      uint64
	sendQueue     []datagram
	// pushPending is set while raised numbers, or members that started or ended,
	// wait to be pushed; pushedAt is when any last were.
	pushPending bool
	pushedAt    time.Time
	// expiredAt is when suspects and old members were last looked for.
	expiredAt time.Time
	probes    probeState
	stamps    stampState
	// wake makes the loop report changes that other goroutines made.
	wake chan struct{}
}

// datagram is an encoded packet that waits to be sent.
type datagram struct {
	to   string
	data []byte
	// crossing tells that the receiver is not known to be in the data centre of
	// this node.
	crossing bool
}

// init prepares the state on its first call. The caller holds the lock.
func (p *Prober) init() {
	if p.members != nil {
		return
	}
	p.started = time.Now()
	p.wake = make(chan struct{}, 1)
	p.self = p.Node
	p.members = map[string]*memberEntry{}
	p.recorded = map[string]messenger.Node{}
	p.updates = map[string]*queuedUpdate{}
	p.probes.init(p.started)
	p.stamps.init(p.started)
	p.gossipSelf()
}

// Run keeps the member list until ctx ends, then gossips that the node left and
// closes Socket.
func (p *Prober) Run(ctx context.Context) error {
	p.mu.Lock()
	p.init()
	p.mu.Unlock()
	datagrams := make(chan []byte, maxQueuedDatagrams)
	go p.receive(ctx, datagrams)
	defer func() { _ = p.Socket.Close() }()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	p.step(func(now time.Time) { p.contactFleet(now) })
	for {
		select {
		case <-ctx.Done():
			p.step(func(time.Time) { p.announceLeft() })
			return nil
		case <-p.wake:
			p.step(func(time.Time) {})
		case data := <-datagrams:
			p.step(func(now time.Time) { p.handleDatagram(data, now) })
		case <-ticker.C:
			p.step(func(now time.Time) { p.tick(ctx, now) })
		}
	}
}

// receive reads datagrams until ctx ends, and retries after errors of Socket.
func (p *Prober) receive(ctx context.Context, datagrams chan<- []byte) {
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
			case <-time.After(tickInterval):
				continue
			}
		}
		p.counts.received.Add(1)
		p.counts.receivedBytes.Add(uint64(n))
		select {
		case datagrams <- slices.Clone(buf[:n]):
		case <-ctx.Done():
			return
		}
	}
}

// step runs f under the lock, then sends the datagrams that it queued and calls
// OnChange and OnNumber for what it changed.
func (p *Prober) step(f func(now time.Time)) {
	p.mu.Lock()
	f(time.Now())
	out, changes, raised := p.sendQueue, p.changes, p.stamps.raised
	p.sendQueue, p.changes, p.stamps.raised = nil, nil, nil
	p.mu.Unlock()
	p.transmit(out)
	for _, m := range changes {
		if p.OnChange != nil {
			p.OnChange(m)
		}
	}
	for _, r := range raised {
		switch {
		case r.kind == ConfigOverflow && p.OnOverflow != nil:
			p.OnOverflow(r.number, r.overflow)
		case r.kind != ConfigOverflow && p.OnNumber != nil:
			p.OnNumber(r.kind, r.number)
		}
	}
}

// stepOutsideLoop runs f under the lock on a goroutine other than the loop's and
// sends the datagrams that it queued. It leaves the calls of OnChange and
// OnNumber to the loop.
func (p *Prober) stepOutsideLoop(f func(now time.Time)) {
	p.mu.Lock()
	p.init()
	f(time.Now())
	out := p.sendQueue
	p.sendQueue = nil
	p.mu.Unlock()
	p.transmit(out)
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

func (p *Prober) transmit(out []datagram) {
	for _, d := range out {
		p.counts.sent.Add(1)
		p.counts.sentBytes.Add(uint64(len(d.data)))
		if d.crossing {
			p.counts.crossingBytes.Add(uint64(len(d.data)))
		}
		_ = p.Socket.Send(d.to, d.data)
	}
}

// tick does the periodic work that is due. The caller holds the lock.
func (p *Prober) tick(ctx context.Context, now time.Time) {
	p.checkPause(now)
	p.probe(now)
	p.pingUnknownRecorded(now)
	p.expireRelayedPings(now)
	if now.Sub(p.expiredAt) >= expiryInterval {
		p.expiredAt = now
		p.expireMembers(now)
	}
	p.reconnect(now)
	p.syncMembers(now)
	p.tickStamps(ctx, now)
	p.pushChanged(now)
}

// checkPause resets state that a pause of the process made unreliable: stamps
// are dropped, acks of earlier pings are ignored, and the delay of a sender's
// datagrams is unknown until it has answered a new ping. The caller holds the
// lock.
func (p *Prober) checkPause(now time.Time) {
	if !p.probes.paused(now) {
		return
	}
	p.stamps.reset()
	p.probes.init(now)
	p.restartSuspicions(now)
	for _, e := range p.members {
		e.offset.known = false
	}
}

// expireMembers declares suspects dead after suspicionTimeout and removes dead
// and left members after their retention. The caller holds the lock.
func (p *Prober) expireMembers(now time.Time) {
	isolated := p.isolated(now)
	for name, e := range p.members {
		age := now.Sub(e.since)
		switch {
		case e.State == Suspect && isolated:
			e.since = now
		case e.State == Suspect && age >= suspicionTimeout:
			p.applyUpdate(update{Name: name, Epoch: e.Epoch, Incarnation: e.Incarnation, State: Dead}, now, true)
		case e.State == Dead && age >= deadRetention, e.State == Left && age >= leftRetention:
			delete(p.members, name)
			p.snapshot = nil
		}
	}
}

// Replaced reports whether a later process runs under this node's name.
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
		SentBytes: c.sentBytes.Load(), ReceivedBytes: c.receivedBytes.Load(), CrossingBytes: c.crossingBytes.Load(),
		Rejected: c.rejected.Load(), Suspicions: c.suspicions.Load(),
	}
}

// Leave tells the fleet that this node takes no new work. The node stays a
// member until Run ends.
func (p *Prober) Leave() {
	p.stepOutsideLoop(func(time.Time) {
		p.self.Leaving = true
		p.self.Incarnation++
		p.gossipSelf()
		p.pushUpdates()
	})
}

// announceLeft tells a few members, twice because datagrams may be lost, that
// this process has left. The caller holds the lock.
func (p *Prober) announceLeft() {
	p.selfState = Left
	p.gossipSelf()
	for range 2 {
		p.pushUpdates()
	}
}

// SetRecorded sets the nodes that the store has on record. They count towards the
// majority of a census, and those that are not members are pinged. If this
// process has just started, those that started at about the same time become
// members at once.
func (p *Prober) SetRecorded(nodes []messenger.Node) {
	p.stepOutsideLoop(func(now time.Time) {
		p.recorded = make(map[string]messenger.Node, len(nodes))
		for _, n := range nodes {
			p.recorded[n.Name] = n
		}
		if now.Sub(p.started) < startupPeriod {
			p.addStartedTogether(now)
		}
		if !p.joined {
			p.contactFleet(now)
		}
	})
}
