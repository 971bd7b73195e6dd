package configurer

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/zinniaproxy/zinniaproxy/internal/messenger"
)

// Keys in the store.
const (
	// HeadKey holds the current Head. A change is made by the compare-and-swap
	// of this key.
	HeadKey = "config/head"
	// partPrefix precedes the hash in the keys of manifests and parts. They are
	// written before the head that needs them, and their content never changes.
	partPrefix = "config/part/"
)

// Hash is the SHA-256 of an encoded manifest or part, truncated to 16 bytes.
type Hash [16]byte

func hashOf(data []byte) Hash {
	sum := sha256.Sum256(data)
	return Hash(sum[:len(Hash{})])
}

// String returns the hash in lower-case hex.
func (h Hash) String() string { return hex.EncodeToString(h[:]) }

func (h Hash) key() string { return partPrefix + h.String() }

// Head identifies a configuration.
type Head struct {
	_msgpack struct{} `msgpack:",as_array"`

	// Number is higher than that of every earlier configuration.
	Number uint64
	// Parent is the number of the configuration that the change replaced.
	Parent uint64
	// Identity names the change, so that a retry of Apply recognizes it.
	Identity string
	// Manifest is the hash of the encoded manifest.
	Manifest Hash
}

// manifest lists the parts of a configuration.
type manifest struct {
	_msgpack struct{} `msgpack:",as_array"`

	// Parts are sorted by bucket.
	Parts []partRef
	// Recent are the latest changes, the newest last.
	Recent []acceptedChange
	// Dropped are unused parts that later changes will remove from the store.
	Dropped []droppedPart
}

type partRef struct {
	_msgpack struct{} `msgpack:",as_array"`

	Bucket int
	Hash   Hash
}

// acceptedChange is one accepted change.
type acceptedChange struct {
	_msgpack struct{} `msgpack:",as_array"`

	Number   uint64
	Identity string
}

// droppedPart is a part or manifest that is unused since configuration Number.
type droppedPart struct {
	_msgpack struct{} `msgpack:",as_array"`

	Number uint64
	Hash   Hash
}

// numberOf returns the number of the change with that identity, if it is among
// the recent ones.
func (m *manifest) numberOf(identity string) (uint64, bool) {
	for _, c := range m.Recent {
		if c.Identity == identity {
			return c.Number, true
		}
	}
	return 0, false
}

// hashes returns the hashes of all parts.
func (m *manifest) hashes() []Hash {
	out := make([]Hash, 0, len(m.Parts))
	for _, p := range m.Parts {
		out = append(out, p.Hash)
	}
	return out
}

// encode returns the compact msgpack encoding of v. It is deterministic,
// since parts are addressed by the hash of their encoding.
func encode(v any) []byte {
	var b bytes.Buffer
	e := msgpack.NewEncoder(&b)
	e.UseArrayEncodedStructs(true)
	e.UseCompactInts(true)
	if err := e.Encode(v); err != nil {
		panic("configurer: " + err.Error())
	}
	return b.Bytes()
}

func decode(b []byte, v any) error { return messenger.Decode(b, v) }
