// Package linker maintains one multiplexed TCP connection, a link, to each node
// that this node queries. A query is one message, and its reply is a stream of one
// or more, with flow control, cancellation and a deadline.
//
// Both sides of a link authenticate by the fleet's secret. A link that stays
// silent while a reply is awaited is closed, and the next query dials a new one. A
// non-idempotent query is sent only on a link from which a frame was received
// recently, so that the refusal "not sent" is true.
package linker

import (
	"context"
	"errors"
	"net"
	"slices"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/zinniaproxy/zinniaproxy/internal/accountant"
	"github.com/zinniaproxy/zinniaproxy/internal/messenger"
	"github.com/zinniaproxy/zinniaproxy/internal/tracer"
	"github.com/zinniaproxy/zinniaproxy/pkg/coder"
)

// Timings and limits of links.
const (
	// PingInterval is how often a silent link is pinged while a reply is awaited.
	PingInterval = 400 * time.Millisecond
	// SilenceTimeout is how long a link may be silent while a reply is awaited
	// before it is closed. It also bounds each write.
	SilenceTimeout = 1500 * time.Millisecond
	// ConfirmAfter is how long a link may be silent before a new query has it
	// confirmed by a ping.
	ConfirmAfter = time.Second
	// ConfirmTimeout bounds the wait for the pong of that ping.
	ConfirmTimeout = 250 * time.Millisecond
	// IdleTimeout is how long a link may be unused before the dialing side closes
	// it.
	IdleTimeout = time.Minute
	// DefaultQueryTimeout is the timeout sent with a query whose context has no
	// deadline.
	DefaultQueryTimeout = 5 * time.Second

	checkInterval = 100 * time.Millisecond
	// idleCheckTicks is how many of these intervals lie between two checks of a
	// link on which no reply is awaited: a node may have hundreds.
	idleCheckTicks    = 10
	flushPollInterval = 5 * time.Millisecond
	// dialTimeout bounds the dial of a link. It allows a few round trips between
	// regions, and leaves a waiting query time to be sent to another node.
	dialTimeout              = 400 * time.Millisecond
	overloadRetryAfter       = time.Second
	maxHandlerStreamsPerLink = 4096
	maxQueuedBytesPerLink    = 16 << 20
	streamWindowBytes        = 256 << 10
	maxReusedBufferBytes     = 64 << 10
	// maxWriteBytes bounds the frames that one write takes, since it copies them.
	maxWriteBytes = 256 << 10
	maxMethods    = 32
)

// Linker manages the links of one node. Set the exported fields and register the
// handlers before Run.
type Linker struct {
	// Node and Epoch identify this process.
	Node  string
	Epoch uint64
	// Secret is shared by all nodes of the fleet.
	Secret []byte
	// Dial connects to a link address.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// Resolve returns the link address of a node, ok being false if the node is
	// not known.
	Resolve func(node string) (address string, ok bool)
	// OwnCentre reports whether a node is in the data centre of this one, for the
	// counters of bytes. Nil means that all nodes are.
	OwnCentre func(node string) bool
	// Tracer records events; nil drops them.
	Tracer *tracer.Tracer
	// Account is where frames and queries are reserved. Nil means no limit.
	Account *accountant.Account
	// MaxHandshakes bounds the accepted connections that are not authenticated yet. 0
	// means DefaultMaxHandshakes.
	MaxHandshakes int
	// Refused counts the connections that were closed, by kind. It may be nil.
	Refused func(kind string)

	handshakes handshakes
	handlers   [maxMethods]Handler
	traffic    traffic
	ctx        context.Context

	mu           sync.Mutex
	links        map[string]*link
	allLinks     map[*link]bool
	pendingDials map[string]*pendingDial
	stopped      bool
}

// pendingDial is a dial in progress, shared by all queries that wait for it.
type pendingDial struct {
	done chan struct{}
	link *link
	err  error
}

// Handle registers the handler of a method. Call it before Run.
func (l *Linker) Handle(m Method, h Handler) { l.handlers[m] = h }

// handler returns the handler of a method received from a peer, or nil if there
// is none.
func (l *Linker) handler(m Method) Handler {
	if m >= maxMethods {
		return nil
	}
	return l.handlers[m]
}

// HandleQuery registers the handler of a method whose reply is a single message.
// Call it before Run.
func (l *Linker) HandleQuery(m Method, h func(ctx context.Context, peer string, query []byte) ([]byte, error)) {
	l.Handle(m, func(ctx context.Context, q Query, send func([]byte, bool) error) error {
		b, err := h(ctx, q.Peer, q.Payload)
		if err != nil {
			return err
		}
		return send(b, true)
	})
}

// Run accepts links from ln until ctx ends, then closes all links.
func (l *Linker) Run(ctx context.Context, ln net.Listener) error {
	l.handshakes.log = rate.Sometimes{First: refusalsLogged, Interval: refusalLogInterval}
	l.mu.Lock()
	l.ctx = ctx
	l.links, l.allLinks, l.pendingDials = map[string]*link{}, map[*link]bool{}, map[string]*pendingDial{}
	l.mu.Unlock()
	stop := context.AfterFunc(ctx, func() { ln.Close() })
	defer stop()
	go l.checkLoop(ctx)
	for {
		conn, err := ln.Accept()
		var ne net.Error
		switch {
		case err == nil:
			go l.accept(conn)
		case ctx.Err() != nil:
			l.closeAll()
			return nil
		case errors.Is(err, net.ErrClosed) || !errors.As(err, &ne):
			l.closeAll()
			return err
		default:
			time.Sleep(acceptRetryDelay)
		}
	}
}

func (l *Linker) checkLoop(ctx context.Context) {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for tick := 0; ; tick++ {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			for _, k := range l.openLinks() {
				if k.awaited.Load() > 0 || tick%idleCheckTicks == 0 {
					k.checkLiveness(now)
				}
			}
		}
	}
}

func (l *Linker) openLinks() []*link {
	l.mu.Lock()
	defer l.mu.Unlock()
	links := make([]*link, 0, len(l.allLinks))
	for k := range l.allLinks {
		links = append(links, k)
	}
	return links
}

// Flush waits until all frames that were queued are written, or ctx ends.
func (l *Linker) Flush(ctx context.Context) error {
	ticker := time.NewTicker(flushPollInterval)
	defer ticker.Stop()
	for slices.ContainsFunc(l.openLinks(), func(k *link) bool { return !k.flushed() }) {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
	return nil
}

func (l *Linker) closeAll() {
	l.mu.Lock()
	l.stopped = true
	l.mu.Unlock()
	for _, k := range l.openLinks() {
		k.closeWith(errClosed)
	}
}

// addLink starts to use a link, and returns false if the linker has stopped. New
// queries to the peer use this link instead of the current one if this node dialed
// it or the peer's process is newer.
func (l *Linker) addLink(k *link) bool {
	l.mu.Lock()
	if l.stopped {
		l.mu.Unlock()
		k.conn.Close()
		return false
	}
	l.allLinks[k] = true
	current := l.links[k.peer.Node]
	if current == nil || k.dialed || current.peer.Epoch < k.peer.Epoch {
		l.links[k.peer.Node] = k
	}
	l.mu.Unlock()
	go k.writeLoop()
	go k.readLoop()
	return true
}

func (l *Linker) removeLink(k *link, reason error) {
	l.mu.Lock()
	delete(l.allLinks, k)
	if l.links[k.peer.Node] == k {
		delete(l.links, k.peer.Node)
	}
	l.mu.Unlock()
	if !errors.Is(reason, errIdle) {
		l.Tracer.Add(tracer.Event{Kind: "link-lost", Detail: k.peer.Node + ": " + reason.Error()})
	}
}

// linkTo returns a usable link to a node, and dials one if there is none.
// Concurrent calls for the same node share one dial.
func (l *Linker) linkTo(ctx context.Context, node string) (*link, error) {
	l.mu.Lock()
	if l.links == nil || l.stopped {
		l.mu.Unlock()
		return nil, coder.New(coder.NotSent, "links are closed")
	}
	if k := l.links[node]; k != nil && k.usable() {
		l.mu.Unlock()
		return k, nil
	}
	d := l.pendingDials[node]
	if d == nil {
		d = &pendingDial{done: make(chan struct{})}
		l.pendingDials[node] = d
		go l.dial(node, d)
	}
	l.mu.Unlock()
	select {
	case <-d.done:
		return d.link, d.err
	case <-ctx.Done():
		return nil, coder.New(coder.NotSent, linkLostPrefix+"no link to %s in time", node)
	}
}

func (l *Linker) dial(node string, d *pendingDial) {
	d.link, d.err = l.connect(node)
	l.mu.Lock()
	delete(l.pendingDials, node)
	l.mu.Unlock()
	close(d.done)
}

func (l *Linker) connect(node string) (*link, error) {
	address, ok := l.Resolve(node)
	if !ok {
		return nil, coder.New(coder.NotSent, linkLostPrefix+"node %s is not known", node)
	}
	ctx, stop := context.WithTimeout(l.ctx, dialTimeout)
	defer stop()
	conn, err := l.Dial(ctx, address)
	if err != nil {
		return nil, coder.New(coder.NotSent, linkLostPrefix+"dial %s: %v", node, err)
	}
	reader, peer, err := l.handshake(conn, true)
	if err == nil && peer.Node != node {
		err = errors.New("the address belongs to node " + peer.Node)
	}
	if err != nil {
		conn.Close()
		return nil, coder.New(coder.NotSent, linkLostPrefix+"handshake with %s: %v", node, err)
	}
	k := newLink(l, peer, conn, reader, true)
	if !l.addLink(k) {
		return nil, coder.New(coder.NotSent, "links are closed")
	}
	return k, nil
}

// QueryOptions holds the arguments of Open.
type QueryOptions struct {
	// Node is the name of the node to query.
	Node    string
	Method  Method
	Payload []byte
	// NonIdempotent means that the query is non-idempotent: a link that was
	// silent for ConfirmAfter is confirmed before the query is sent on it.
	NonIdempotent bool
}

// Open sends a query and returns the stream of its reply. An error is a
// *coder.Error and means that no byte of the query was sent.
func (l *Linker) Open(ctx context.Context, o QueryOptions) (*Stream, error) {
	k, err := l.linkTo(ctx, o.Node)
	if err != nil {
		return nil, err
	}
	if k.needsConfirm() {
		if k, err = l.confirmOrReplace(ctx, k, o); err != nil {
			return nil, err
		}
	}
	timeout := DefaultQueryTimeout
	if deadline, ok := ctx.Deadline(); ok {
		timeout = time.Until(deadline)
	}
	if timeout <= 0 {
		return nil, coder.New(coder.DeadlineBefore, "")
	}
	return k.open(o.Method, o.Payload, timeout)
}

// confirmOrReplace confirms a silent link and returns the link to use. A
// non-idempotent query waits for the outcome, any other is sent meanwhile.
func (l *Linker) confirmOrReplace(ctx context.Context, k *link, o QueryOptions) (*link, error) {
	if !o.NonIdempotent {
		go func() { _ = k.confirm(l.ctx) }()
		return k, nil
	}
	if k.confirm(ctx) == nil {
		return k, nil
	}
	if ctx.Err() != nil {
		return nil, coder.New(coder.NotSent, linkLostPrefix+"no answer of %s in time", o.Node)
	}
	return l.linkTo(ctx, o.Node)
}

// SendQuery sends a query whose reply is a single message, and returns the payload
// of that.
func (l *Linker) SendQuery(ctx context.Context, node string, m Method, query []byte) ([]byte, error) {
	s, err := l.Open(ctx, QueryOptions{Node: node, Method: m, Payload: query})
	if err != nil {
		return nil, err
	}
	defer s.Close()
	b, _, err := s.Recv(ctx)
	return b, err
}

// SendTypedQuery is like SendQuery, with a typed query and reply.
func SendTypedQuery[Q, R any](ctx context.Context, l *Linker, node string, m Method, query *Q) (*R, error) {
	b, err := l.SendQuery(ctx, node, m, messenger.Encode(query))
	if err != nil {
		return nil, err
	}
	var reply R
	if err := messenger.Decode(b, &reply); err != nil {
		return nil, err
	}
	return &reply, nil
}

// HandleTypedQuery is like HandleQuery, with a typed query and reply.
func HandleTypedQuery[Q, R any](l *Linker, m Method, h func(ctx context.Context, peer string, q *Q) (*R, error)) {
	l.HandleQuery(m, func(ctx context.Context, peer string, payload []byte) ([]byte, error) {
		var query Q
		if err := messenger.Decode(payload, &query); err != nil {
			return nil, coder.New(coder.BadRequest, "%v", err)
		}
		reply, err := h(ctx, peer, &query)
		if err != nil {
			return nil, err
		}
		return messenger.Encode(reply), nil
	})
}
