package assigner

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/zinniaproxy/zinniaproxy/internal/messenger"
	"github.com/zinniaproxy/zinniaproxy/internal/storer"
)

func testMembers(n int) (nodes []messenger.Node) {
	for i := range n {
		nodes = append(nodes, messenger.Node{Name: fmt.Sprint("node-be-kust-", i), Epoch: 1764800000000000000 + uint64(i), Centre: fmt.Sprint("c", i%6)})
	}
	return nodes
}

func TestPlanMovesOnlySharesOfRemovedMember(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		members := testMembers(rapid.IntRange(12, 40).Draw(r, "members"))
		removed := rapid.IntRange(0, len(members)-1).Draw(r, "removed")
		before := Plan(members)
		after := Plan(append(append([]messenger.Node(nil), members[:removed]...), members[removed+1:]...))
		for s := range before {
			if before[s] != after[s] && before[s] != Identity(members[removed]) {
				r.Fatalf("share %d moved from %s to %s", s, before[s], after[s])
			}
		}
	})
}

func TestPlanPlacesSharesOfShardInDifferentCentres(t *testing.T) {
	members := testMembers(60)
	centreOf := map[string]string{}
	for _, m := range members {
		centreOf[Identity(m)] = m.Centre
	}
	plan := Plan(members)
	for shard := range Shards {
		centres := map[string]bool{}
		for k := range SharesPerShard {
			centres[centreOf[plan[shard*SharesPerShard+k]]] = true
		}
		qt.Assert(t, centres, qt.HasLen, SharesPerShard)
	}
	qt.Check(t, Plan(nil)[0], qt.Equals, "")
}

func TestLargestAssignmentFitsStoreValue(t *testing.T) {
	c := qt.New(t)
	wide := make([]uint64, MaxWide)
	for i := range wide {
		wide[i] = Hash(fmt.Sprint("workspace", i))
	}
	assignment := New(7, Plan(testMembers(680)), wide, 3)
	encoded := messenger.Encode(assignment)
	t.Logf("%d bytes", len(encoded))
	c.Check(len(encoded) < storer.MaxValueBytes, qt.IsTrue)
	decoded, err := Decode(encoded)
	c.Assert(err, qt.IsNil)
	c.Check(decoded.HolderIndexes, qt.DeepEquals, assignment.HolderIndexes)
	c.Check(decoded.Holders, qt.DeepEquals, assignment.Holders)
	c.Check(decoded.Wide, qt.DeepEquals, assignment.Wide)
	c.Check([]uint64{decoded.Number, decoded.Config}, qt.DeepEquals, []uint64{7, 3})
	_, err = Decode(encoded[:len(encoded)/2])
	c.Check(err, qt.IsNotNil)
	_, err = Decode(messenger.Encode(&Assignment{Number: 1, Holders: []string{""}}))
	c.Check(err, qt.IsNotNil)
}
