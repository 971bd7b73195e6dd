// Package assigner keeps the share assignment: which process may grant the
// tokens of which workspaces. The assignment is one value in the platform's
// store and changes only by compare-and-swap.
package assigner

import (
	"context"
	"errors"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/zinniaproxy/zinniaproxy/internal/messenger"
	"github.com/zinniaproxy/zinniaproxy/internal/storer"
)

const (
	// Shards is the number of shards into which workspaces are divided by the
	// hash of their names.
	Shards = 1024
	// SharesPerShard is the number of shares of each shard.
	SharesPerShard = 4
	// ShareCount is the number of shares that are assigned. Share number
	// shard*SharesPerShard+k is the shard's k-th.
	ShareCount = Shards * SharesPerShard
	// Key is the store key of the assignment's head. Each assignment is stored
	// under a separate key with this prefix.
	Key = "limits/shares"
	// MaxWide is the maximum number of workspaces that all shares of their
	// shard grant.
	MaxWide = 1024
)

// head is the small value that watchers of the store read. Swapping it commits
// an assignment.
type head struct {
	_msgpack struct{} `msgpack:",as_array"`

	// Number is the assignment's number, Body the store key that holds it.
	Number uint64
	Body   string
}

func decodeHead(e storer.Entry) (head, error) {
	var h head
	if e.Version == 0 {
		return h, nil
	}
	err := messenger.Decode(e.Value, &h)
	return h, err
}

// Number reads the number of the current share assignment from the store. It is
// 0 if there is none yet.
func Number(ctx context.Context, s *storer.Store) (uint64, error) {
	e, err := s.Get(ctx, Key)
	if err != nil {
		return 0, err
	}
	h, err := decodeHead(e)
	return h.Number, err
}

// Assignment is one version of the share assignment. It is immutable.
type Assignment struct {
	_msgpack struct{} `msgpack:",as_array"`

	// Number increases by one with each change. It is 1 only in the first
	// assignment that a store ever held.
	Number uint64
	// Holders are the identities of processes. The first is empty and stands
	// for no holder.
	Holders []string
	// HolderIndexes has an index into Holders for each share.
	HolderIndexes []uint16
	// Wide are the hashes, in ascending order, of the workspaces of which all
	// shares of their shard grant a part. Every other workspace is granted by
	// the first share of its shard alone.
	Wide []uint64
	// Config is the number of the configuration that Wide was derived from.
	Config uint64
}

// Identity returns the identity of a process. A restarted node has a new one.
func Identity(n messenger.Node) string {
	return n.Name + "#" + strconv.FormatUint(n.Epoch, 36)
}

// Hash returns the hash of a workspace's name.
func Hash(workspace string) uint64 { return xxhash.Sum64String(workspace) }

// Shard returns the shard of the workspace with the given name hash.
func Shard(hash uint64) int { return int(hash % Shards) }

// Holder returns the identity of a share's holder, or "" if it has none.
func (a *Assignment) Holder(share int) string { return a.Holders[a.HolderIndexes[share]] }

// IsWide reports whether all shares of the shard grant the workspace.
func (a *Assignment) IsWide(hash uint64) bool {
	_, ok := slices.BinarySearch(a.Wide, hash)
	return ok
}

// New returns an assignment with the given holder for each share.
func New(number uint64, holders []string, wide []uint64, config uint64) *Assignment {
	r := &Assignment{Number: number, Holders: []string{""}, HolderIndexes: make([]uint16, ShareCount), Wide: wide, Config: config}
	index := map[string]uint16{"": 0}
	for s, h := range holders {
		i, ok := index[h]
		if !ok {
			i = uint16(len(r.Holders))
			index[h] = i
			r.Holders = append(r.Holders, h)
		}
		r.HolderIndexes[s] = i
	}
	return r
}

// Next returns the following assignment, with the shares in moves reassigned
// and the wide workspaces replaced.
func (a *Assignment) Next(moves map[int]string, wide []uint64, config uint64) *Assignment {
	holders := make([]string, ShareCount)
	for s := range holders {
		holders[s] = a.Holder(s)
	}
	for s, h := range moves {
		holders[s] = h
	}
	return New(a.Number+1, holders, wide, config)
}

// withNumber returns the assignment with another number.
func (a *Assignment) withNumber(number uint64) *Assignment {
	next := *a
	next.Number = number
	return &next
}

// Decode decodes a share assignment and checks its holders.
func Decode(b []byte) (*Assignment, error) {
	r := &Assignment{}
	if err := messenger.Decode(b, r); err != nil {
		return nil, err
	}
	if len(r.HolderIndexes) != ShareCount || len(r.Holders) == 0 || r.Holders[0] != "" {
		return nil, errors.New("assigner: share assignment has a wrong number of shares or no empty first holder")
	}
	for _, i := range r.HolderIndexes {
		if int(i) >= len(r.Holders) {
			return nil, errors.New("assigner: share assignment has a holder index out of range")
		}
	}
	return r, nil
}
