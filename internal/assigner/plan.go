package assigner

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/zinniaproxy/zinniaproxy/internal/messenger"
)

// rendezvousWeight returns the weight of a name for a number in rendezvous
// hashing.
func rendezvousWeight(name string, number uint64) uint64 {
	var d xxhash.Digest
	d.ResetWithSeed(number)
	_, _ = d.WriteString(name)
	return d.Sum64()
}

// Plan returns the identity of the member that should hold each share. The
// shares of one shard are in different data centres if there are enough. Adding
// or removing a member moves only its own shares, as long as its data centre
// has other members. Without members all identities are empty.
func Plan(members []messenger.Node) []string {
	centres := map[string][]messenger.Node{}
	var names []string
	for _, m := range members {
		if centres[m.Centre] == nil {
			names = append(names, m.Centre)
		}
		centres[m.Centre] = append(centres[m.Centre], m)
	}
	slices.Sort(names)
	plan := make([]string, ShareCount)
	if len(names) == 0 {
		return plan
	}
	for shard := range Shards {
		order := sortByWeight(names, uint64(shard))
		for k := range SharesPerShard {
			share := shard*SharesPerShard + k
			plan[share] = heaviest(centres[order[k%len(order)]], uint64(share))
		}
	}
	return plan
}

func sortByWeight(names []string, number uint64) []string {
	sorted := slices.Clone(names)
	slices.SortFunc(sorted, func(a, b string) int {
		x, y := rendezvousWeight(a, number), rendezvousWeight(b, number)
		if x > y {
			return -1
		}
		return 1
	})
	return sorted
}

func heaviest(members []messenger.Node, number uint64) string {
	best, bestWeight := 0, uint64(0)
	for i, m := range members {
		if w := rendezvousWeight(m.Name, number); w >= bestWeight {
			best, bestWeight = i, w
		}
	}
	return Identity(members[best])
}

// writePosition returns how many members precede the named one in the write
// order for a change. The order keeps members from all writing the same change
// at once.
func writePosition(members []messenger.Node, self, change string) int {
	seed := xxhash.Sum64String(change)
	ownWeight, before := rendezvousWeight(self, seed), 0
	for _, m := range members {
		if rendezvousWeight(m.Name, seed) > ownWeight {
			before++
		}
	}
	return before
}

// membersDigest returns a hash that differs for different sets of members,
// regardless of their order.
func membersDigest(members []messenger.Node) uint64 {
	sum := uint64(0)
	var b [8]byte
	for _, m := range members {
		binary.LittleEndian.PutUint64(b[:], m.Epoch)
		sum += xxhash.Sum64String(m.Name + "\n" + m.Centre + "\n" + string(b[:]))
	}
	return sum
}
