package faker

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"time"
)

// Network is an in-memory network of stream connections and datagram sockets.
// Hosts are identified by the host part of their addresses. Block acts on one
// direction between two hosts.
type Network struct {
	// Delay is the one-way latency.
	Delay time.Duration

	mu        sync.Mutex
	listeners map[string]*listener
	conns     map[*conn]bool
	blocked   map[direction]bool
	sockets   map[string]*DatagramSocket
	// killed holds the hosts that cannot dial.
	killed         map[string]bool
	lastPort       int
	blockedChanged chan struct{}
}

type direction struct{ from, to string }

// NewNetwork returns a network without faults.
func NewNetwork(delay time.Duration) *Network {
	return &Network{
		Delay: delay, listeners: map[string]*listener{}, conns: map[*conn]bool{},
		blocked: map[direction]bool{}, killed: map[string]bool{}, blockedChanged: make(chan struct{}),
	}
}

// Block holds back all stream bytes from one host to another, those in flight
// included, until Unblock. Datagrams are dropped, and dials between the two
// hosts wait.
func (n *Network) Block(from, to string) { n.setBlocked(direction{from, to}, true) }

// Unblock undoes Block.
func (n *Network) Unblock(from, to string) { n.setBlocked(direction{from, to}, false) }

func (n *Network) setBlocked(d direction, blocked bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.blocked[d] = blocked
	close(n.blockedChanged)
	n.blockedChanged = make(chan struct{})
}

// Silence makes the open connections between two hosts drop all bytes, those
// in flight included, for good and without an error. New connections work.
func (n *Network) Silence(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for c := range n.conns {
		if (c.localHost == a && c.remoteHost == b) || (c.localHost == b && c.remoteHost == a) {
			c.out.dropAll()
		}
	}
}

// Kill closes all connections and listeners of a host and detaches its datagram
// sockets, as if its VM had failed. The host cannot dial until Revive.
func (n *Network) Kill(host string) {
	n.mu.Lock()
	n.killed[host] = true
	var conns []*conn
	for c := range n.conns {
		if c.localHost == host {
			conns = append(conns, c)
		}
	}
	for a, l := range n.listeners {
		if hostOf(a) == host {
			delete(n.listeners, a)
			l.stop()
		}
	}
	for a := range n.sockets {
		if hostOf(a) == host {
			delete(n.sockets, a)
		}
	}
	n.mu.Unlock()
	for _, c := range conns {
		_ = c.Close()
	}
}

// Revive lets a killed host dial again.
func (n *Network) Revive(host string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.killed, host)
}

// waitUnblocked waits while d is blocked. It returns false if done is closed
// first.
func (n *Network) waitUnblocked(d direction, done <-chan struct{}) bool {
	for {
		n.mu.Lock()
		blocked, changed := n.blocked[d], n.blockedChanged
		n.mu.Unlock()
		if !blocked {
			return true
		}
		select {
		case <-changed:
		case <-done:
			return false
		}
	}
}

// Listen accepts connections at an address such as "10.0.0.1:80". It returns an
// error if the address is in use.
func (n *Network) Listen(address string) (net.Listener, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners[address] != nil {
		return nil, fmt.Errorf("faker: address %s is in use", address)
	}
	l := &listener{network: n, address: address, accept: make(chan net.Conn), done: make(chan struct{})}
	n.listeners[address] = l
	return l, nil
}

// Dialer returns a dial function for connections from host.
func (n *Network) Dialer(host string) func(ctx context.Context, address string) (net.Conn, error) {
	return func(ctx context.Context, address string) (net.Conn, error) {
		return n.dial(ctx, host, address)
	}
}

func (n *Network) dial(ctx context.Context, from, address string) (net.Conn, error) {
	to := hostOf(address)
	if !n.waitUnblocked(direction{from, to}, ctx.Done()) || !n.waitUnblocked(direction{to, from}, ctx.Done()) {
		return nil, ctx.Err()
	}
	if err := sleep(ctx, 2*n.Delay); err != nil {
		return nil, err
	}
	n.mu.Lock()
	l, killed := n.listeners[address], n.killed[from]
	n.lastPort++
	localAddress := fmt.Sprintf("%s:%d", from, 20000+n.lastPort)
	n.mu.Unlock()
	if l == nil || killed {
		return nil, errors.New("faker: connection refused")
	}
	dialed, accepted := n.newConnPair(localAddress, address)
	select {
	case l.accept <- accepted:
		return dialed, nil
	case <-l.done:
		return nil, errors.New("faker: connection refused")
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (n *Network) newConnPair(dialerAddress, listenerAddress string) (dialed, accepted *conn) {
	forward := newPipe(n, direction{hostOf(dialerAddress), hostOf(listenerAddress)})
	backward := newPipe(n, direction{hostOf(listenerAddress), hostOf(dialerAddress)})
	dialed = &conn{network: n, localAddress: dialerAddress, remoteAddress: listenerAddress, localHost: hostOf(dialerAddress), remoteHost: hostOf(listenerAddress), in: backward, out: forward}
	accepted = &conn{network: n, localAddress: listenerAddress, remoteAddress: dialerAddress, localHost: hostOf(listenerAddress), remoteHost: hostOf(dialerAddress), in: forward, out: backward}
	n.mu.Lock()
	n.conns[dialed], n.conns[accepted] = true, true
	n.mu.Unlock()
	return dialed, accepted
}

func hostOf(address string) string {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return address
	}
	return host
}

type listener struct {
	network  *Network
	address  string
	accept   chan net.Conn
	stopOnce sync.Once
	done     chan struct{}
}

func (l *listener) stop() { l.stopOnce.Do(func() { close(l.done) }) }

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accept:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

func (l *listener) Close() error {
	l.stop()
	l.network.mu.Lock()
	defer l.network.mu.Unlock()
	if l.network.listeners[l.address] == l {
		delete(l.network.listeners, l.address)
	}
	return nil
}

func (l *listener) Addr() net.Addr { return addr(l.address) }

type addr string

func (addr) Network() string  { return "tcp" }
func (a addr) String() string { return string(a) }

type conn struct {
	network                     *Network
	localAddress, remoteAddress string
	localHost, remoteHost       string
	in, out                     *pipe
}

func (c *conn) Read(b []byte) (int, error)  { return c.in.read(b) }
func (c *conn) Write(b []byte) (int, error) { return c.out.write(b) }

func (c *conn) Close() error {
	c.in.closeRead()
	c.out.closeWrite()
	c.network.mu.Lock()
	defer c.network.mu.Unlock()
	delete(c.network.conns, c)
	return nil
}

func (c *conn) LocalAddr() net.Addr  { return addr(c.localAddress) }
func (c *conn) RemoteAddr() net.Addr { return addr(c.remoteAddress) }

func (c *conn) SetDeadline(t time.Time) error {
	c.in.readDeadline.set(t)
	c.out.writeDeadline.set(t)
	return nil
}

func (c *conn) SetReadDeadline(t time.Time) error {
	c.in.readDeadline.set(t)
	return nil
}

func (c *conn) SetWriteDeadline(t time.Time) error {
	c.out.writeDeadline.set(t)
	return nil
}

// deadline is a read or write deadline. expired is closed when the time passes;
// set replaces a closed channel.
type deadline struct {
	mu      sync.Mutex
	timer   *time.Timer
	expired chan struct{}
}

func newDeadline() *deadline { return &deadline{expired: make(chan struct{})} }

func (d *deadline) set(t time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.timer != nil {
		d.timer.Stop()
		d.timer = nil
	}
	select {
	case <-d.expired:
		d.expired = make(chan struct{})
	default:
	}
	if t.IsZero() {
		return
	}
	expired := d.expired
	if remaining := time.Until(t); remaining > 0 {
		d.timer = time.AfterFunc(remaining, func() { closeIfOpen(expired) })
		return
	}
	closeIfOpen(expired)
}

func closeIfOpen(c chan struct{}) {
	select {
	case <-c:
	default:
		close(c)
	}
}

func (d *deadline) done() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.expired
}

var errTimeout = os.ErrDeadlineExceeded
