package linker

import (
	"bufio"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/zinniaproxy/zinniaproxy/internal/framer"
	"github.com/zinniaproxy/zinniaproxy/internal/messenger"
)

const (
	nonceBytes       = 16
	handshakeTimeout = 2 * time.Second
	readBufferBytes  = 8 << 10
	// maxHandshakeBytes bounds the messages of a peer that has not proved that it
	// knows the secret: a stranger gets no more memory.
	maxHandshakeBytes = 4 << 10
)

// ErrWrongSecret is returned when the peer cannot prove that it knows the fleet's
// secret.
var ErrWrongSecret = errors.New("linker: peer does not know the fleet's secret")

// handshake authenticates both sides by the fleet's secret and returns the peer's
// hello. Each proof covers both nonces, both names and the direction, so that a
// proof cannot be reflected to its sender.
func (l *Linker) handshake(conn net.Conn, dialed bool) (*bufio.Reader, hello, error) {
	if err := conn.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return nil, hello{}, err
	}
	local := hello{Node: l.Node, Epoch: l.Epoch, Nonce: make([]byte, nonceBytes)}
	if _, err := rand.Read(local.Nonce); err != nil {
		return nil, hello{}, err
	}
	reader := bufio.NewReaderSize(conn, readBufferBytes)
	written := make(chan error, 1)
	go func() { written <- writeMessage(conn, kindHello, &local) }()
	var remote hello
	err := readMessage(reader, kindHello, &remote)
	if err := errors.Join(err, <-written); err != nil {
		return nil, hello{}, err
	}
	go func() { written <- writeMessage(conn, kindProof, &proof{MAC: l.proofMAC(local, remote, dialed)}) }()
	var remoteProof proof
	err = readMessage(reader, kindProof, &remoteProof)
	if err := errors.Join(err, <-written); err != nil {
		return nil, hello{}, err
	}
	if !hmac.Equal(remoteProof.MAC, l.proofMAC(remote, local, !dialed)) {
		return nil, hello{}, ErrWrongSecret
	}
	return reader, remote, conn.SetDeadline(time.Time{})
}

// proofMAC returns the MAC that from sends to prove the secret to to. dialed
// tells whether from is the dialing side.
func (l *Linker) proofMAC(from, to hello, dialed bool) []byte {
	h := hmac.New(sha256.New, l.Secret)
	_, _ = fmt.Fprintf(h, "%t %q %d %x %q %x", dialed, from.Node, from.Epoch, from.Nonce, to.Node, to.Nonce)
	return h.Sum(nil)
}

func writeMessage(conn net.Conn, kind uint8, m any) error {
	_, err := conn.Write(framer.Append(nil, framer.Frame{Kind: kind, Payload: messenger.Encode(m)}))
	return err
}

func readMessage(reader *bufio.Reader, kind uint8, m any) error {
	f, err := framer.ReadUpTo(reader, maxHandshakeBytes)
	if err != nil {
		return err
	}
	if f.Kind != kind {
		return fmt.Errorf("linker: handshake frame has kind %d, want %d", f.Kind, kind)
	}
	return messenger.Decode(f.Payload, m)
}
