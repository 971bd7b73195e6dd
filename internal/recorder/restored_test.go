package recorder

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/zinniaproxy/zinniaproxy/internal/messenger"
)

// restoreStore restores the store, and tells the running nodes as heartbeats do.
func (cl *cluster) restoreStore(copied time.Time) {
	cl.store.Restore(copied)
	cl.mu.Lock()
	cl.era++
	era := cl.era
	cl.mu.Unlock()
	for _, name := range cl.alive() {
		cl.process(name).NoteEra(era)
	}
}

// ownerOf returns the node that serves a key's shard, or "".
func (cl *cluster) ownerOf(key string) string {
	for _, name := range cl.alive() {
		if p := cl.process(name); p.shardOf(digestBytes(key)).serves() {
			return name
		}
	}
	return ""
}

// Guards against a keyed call that runs twice since the store, restored from an
// older copy, has neither its record nor the ownership under which it was written.
// The owner lives on, or ends right after the restoration.
func TestKeyedCallRunsOnceAcrossRestoration(t *testing.T) {
	for _, ownerEnds := range []bool{false, true} {
		for _, empty := range []bool{false, true} {
			t.Run(fmt.Sprintf("owner ends %v, empty copy %v", ownerEnds, empty), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { checkRestoration(t, ownerEnds, empty) })
			})
		}
	}
}

func checkRestoration(t *testing.T, ownerEnds, empty bool) {
	cl := newCluster(1, "a", "b", "c")
	begun := time.Now()
	time.Sleep(time.Millisecond)
	for _, n := range cl.names {
		cl.start(n)
	}
	time.Sleep(5 * time.Second)
	copied := time.Now()
	if empty {
		copied = begun
	}
	time.Sleep(time.Second)
	first := cl.ownerOf("k")
	cl.kill(first) // another node becomes the owner
	time.Sleep(5 * time.Second)
	for i := range 200 { // more than a head holds
		go func() { _ = cl.call(cl.ownerOf("k"), fmt.Sprint("k", i), uint64(i)) }()
	}
	time.Sleep(6 * time.Second)
	owner := cl.ownerOf("k")
	qt.Assert(t, owner, qt.Not(qt.Equals), "")
	if ownerEnds {
		cl.store.Restore(copied)
		cl.mu.Lock()
		cl.era++
		cl.mu.Unlock()
		cl.kill(owner)
		cl.start(owner)
	}
	if !ownerEnds {
		cl.restoreStore(copied)
	}
	time.Sleep(3 * time.Second)
	for i := range 200 {
		for _, name := range cl.alive() {
			go func() { _ = cl.call(name, fmt.Sprint("k", i), uint64(i)) }()
		}
	}
	time.Sleep(5 * time.Second)
	qt.Check(t, len(cl.violations), qt.Equals, 0)
	cl.start(first)
	time.Sleep(2 * time.Minute) // calls are refused while lost records may matter
	qt.Check(t, cl.callUntilRecorded("a", "later"), qt.IsNil)
	cl.close()
	qt.Check(t, len(cl.violations), qt.Equals, 0)
}

// Guards against shards that no owner can load while a fleet is upgraded: processes
// reject heads with another number of fields than theirs.
func TestHeadsHaveAFixedNumberOfFields(t *testing.T) {
	const fixArray6 = 0x96
	h := head{Owner: "a"}
	h.setCommit(7, 3)
	encoded := messenger.Encode(&h)
	qt.Check(t, encoded[0], qt.Equals, byte(fixArray6))
	var decoded head
	qt.Assert(t, messenger.Decode(encoded, &decoded), qt.IsNil)
	qt.Check(t, decoded.era(), qt.Equals, uint64(3))
	qt.Check(t, decoded.CommitNumber&maxCommit, qt.Equals, uint64(7))
}
