// Package framer reads and writes the frames of a link between two nodes.
//
// A frame is a 4-byte big-endian length, a 1-byte protocol version, a 1-byte
// kind and a payload. The length counts every byte after itself.
package framer

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
)

// Version is the supported protocol version.
const Version = 5

// MaxPayload is the largest payload of a frame, in bytes.
const MaxPayload = 4 << 20

// HeaderBytes is the size of a frame's header, in bytes.
const HeaderBytes = lengthBytes + versionKindBytes

const (
	lengthBytes      = 4
	versionKindBytes = 2
	// initialBufferBytes bounds the allocation for a payload before any of it
	// has arrived.
	initialBufferBytes = 64 << 10
)

// Errors of Read. After either of them the stream cannot be read further.
var (
	// ErrLength is returned for a length outside the bounds of a frame.
	ErrLength = errors.New("framer: invalid frame length")
	// ErrVersion is returned for an unsupported protocol version.
	ErrVersion = errors.New("framer: unsupported protocol version")
)

// Frame is one message on a link.
type Frame struct {
	// Kind is the type of the payload.
	Kind uint8
	// Payload is at most MaxPayload bytes.
	Payload []byte
}

// Append appends the encoded frame to b and returns the result.
func Append(b []byte, f Frame) []byte {
	b = binary.BigEndian.AppendUint32(b, uint32(versionKindBytes+len(f.Payload)))
	b = append(b, Version, f.Kind)
	return append(b, f.Payload...)
}

// Read returns the next frame. The buffer starts with at most initialBufferBytes
// and at most doubles once filled, so that a false length cannot make Read
// allocate much more than the peer has sent. It returns io.EOF only if the
// stream ends between frames.
func Read(r io.Reader) (Frame, error) { return ReadUpTo(r, MaxPayload) }

// ReadUpTo is Read for a peer that may send no payload above maxPayload bytes, at
// most MaxPayload: one that has not authenticated yet.
func ReadUpTo(r io.Reader, maxPayload uint32) (Frame, error) {
	var header [HeaderBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return Frame{}, err
	}
	n := binary.BigEndian.Uint32(header[:])
	if n < versionKindBytes || n > versionKindBytes+min(maxPayload, MaxPayload) {
		return Frame{}, fmt.Errorf("%w: %d", ErrLength, n)
	}
	if v := header[lengthBytes]; v != Version {
		return Frame{}, fmt.Errorf("%w: %d", ErrVersion, v)
	}
	payload, err := readPayload(r, int(n)-versionKindBytes)
	return Frame{Kind: header[lengthBytes+1], Payload: payload}, err
}

func readPayload(r io.Reader, n int) ([]byte, error) {
	b := make([]byte, min(n, initialBufferBytes))
	filled := 0
	for {
		m, err := io.ReadFull(r, b[filled:])
		filled += m
		if err != nil {
			return nil, io.ErrUnexpectedEOF
		}
		if filled == n {
			return b, nil
		}
		b = append(b, make([]byte, min(n-filled, len(b)))...)
	}
}
