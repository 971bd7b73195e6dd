package prober

import (
	"net"
	"net/netip"
)

// Socket sends and receives datagrams. Its fields are functions so that tests can
// put a fake network in their place.
type Socket struct {
	// Send sends one datagram to an address. A lost datagram is no error.
	Send func(to string, b []byte) error
	// Receive waits for a datagram, reads it into b and returns its length.
	Receive func(b []byte) (int, error)
	// Close makes Receive return an error.
	Close func() error
}

// Listen opens a UDP socket at an IP and port.
func Listen(address string) (*Socket, error) {
	c, err := net.ListenPacket("udp", address)
	if err != nil {
		return nil, err
	}
	return &Socket{
		Send: func(to string, b []byte) error {
			// Looking a host name up would stop all heartbeats meanwhile.
			a, err := netip.ParseAddrPort(to)
			if err != nil {
				return err
			}
			_, err = c.WriteTo(b, net.UDPAddrFromAddrPort(a))
			return err
		},
		Receive: func(b []byte) (int, error) {
			n, _, err := c.ReadFrom(b)
			return n, err
		},
		Close: c.Close,
	}, nil
}
