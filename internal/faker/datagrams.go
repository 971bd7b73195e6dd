package faker

import (
	"fmt"
	"net"
	"sync"
	"time"
)

// maxQueuedDatagrams bounds the receive queue of a socket; datagrams beyond it
// are dropped.
const maxQueuedDatagrams = 4096

// DatagramSocket is a datagram socket on a Network. Datagrams in a blocked
// direction are dropped.
type DatagramSocket struct {
	network   *Network
	address   string
	inbox     chan []byte
	closeOnce sync.Once
	done      chan struct{}
}

// ListenDatagrams opens a socket at an address such as "10.0.0.1:81". It returns
// an error if the address is in use.
func (n *Network) ListenDatagrams(address string) (*DatagramSocket, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.sockets == nil {
		n.sockets = map[string]*DatagramSocket{}
	}
	if n.sockets[address] != nil {
		return nil, fmt.Errorf("faker: address %s is in use", address)
	}
	d := &DatagramSocket{network: n, address: address, inbox: make(chan []byte, maxQueuedDatagrams), done: make(chan struct{})}
	n.sockets[address] = d
	return d, nil
}

// Send sends one datagram. Like UDP it returns nil also when the datagram is
// dropped.
func (d *DatagramSocket) Send(to string, b []byte) error {
	n := d.network
	n.mu.Lock()
	peer, blocked := n.sockets[to], n.blocked[direction{hostOf(d.address), hostOf(to)}]
	open := n.sockets[d.address] == d
	n.mu.Unlock()
	if peer == nil || blocked || !open {
		return nil
	}
	data := append([]byte(nil), b...)
	time.AfterFunc(n.Delay, func() {
		select {
		case peer.inbox <- data:
		default:
		}
	})
	return nil
}

// Receive waits for a datagram and copies it to b. It returns net.ErrClosed after
// Close.
func (d *DatagramSocket) Receive(b []byte) (int, error) {
	select {
	case data := <-d.inbox:
		return copy(b, data), nil
	case <-d.done:
		return 0, net.ErrClosed
	}
}

// Close unblocks Receive and frees the address.
func (d *DatagramSocket) Close() error {
	d.closeOnce.Do(func() { close(d.done) })
	d.network.mu.Lock()
	defer d.network.mu.Unlock()
	if d.network.sockets[d.address] == d {
		delete(d.network.sockets, d.address)
	}
	return nil
}
