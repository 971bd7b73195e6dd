package registrar

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/zinniaproxy/zinniaproxy/internal/messenger"
	"github.com/zinniaproxy/zinniaproxy/pkg/declarer"
)

// TestLapsedTargetIsNotFound has a node that was paused for longer than an
// announcement holds: the first requests after it must not reach the target by
// what it said before, since it may have come back cold.
func TestLapsedTargetIsNotFound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newTestRegistrar()
		a := Announcement{Service: "s", Address: "127.0.0.1:9001", Slots: 4, State: messenger.Warm, TTL: 3 * time.Second}
		qt.Assert(t, r.Announce(a), qt.IsNil)
		time.Sleep(3 * time.Second)
		_, ok := r.Lookup("s@127.0.0.1:9001")
		qt.Check(t, ok, qt.IsTrue)
		time.Sleep(time.Millisecond)
		_, ok = r.Lookup("s@127.0.0.1:9001")
		qt.Check(t, ok, qt.IsFalse)
		a.State = messenger.Cold
		qt.Assert(t, r.Announce(a), qt.IsNil)
		got, ok := r.Lookup("s@127.0.0.1:9001")
		qt.Check(t, ok, qt.IsTrue)
		qt.Check(t, got.State, qt.Equals, messenger.Cold)
	})
}

// TestLateAnnouncementAfterAWithdrawal has a node that has just started hear that
// a target is gone before it knows the target, or knows it only by a look at it:
// neither a late announcement nor a late look may bring it back.
func TestLateAnnouncementAfterAWithdrawal(t *testing.T) {
	for _, found := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			r := newTestRegistrar()
			look := Announcement{Service: "s", Address: "127.0.0.1:9001", State: messenger.Warm, TTL: time.Second, Instance: "i-1"}
			beat := look
			beat.Epoch, beat.Sequence = uint64(time.Now().Add(-time.Minute).UnixMilli()), 9
			if found {
				qt.Assert(t, r.Announce(look), qt.IsNil)
			}
			qt.Check(t, r.WithdrawInstance("i-1"), qt.Equals, found)
			qt.Check(t, r.Announce(beat), qt.IsNil)
			qt.Check(t, r.Announce(look), qt.IsNil)
			qt.Check(t, r.Targets(), qt.HasLen, 0)
			time.Sleep(10 * time.Millisecond)
			beat.Epoch, beat.Sequence = uint64(time.Now().UnixMilli()), 1
			qt.Check(t, r.Announce(beat), qt.IsNil)
			qt.Check(t, r.Targets(), qt.HasLen, 1)
		})
	}
}

func newTestRegistrar() *Registrar {
	return &Registrar{
		Node: "n", Centre: "c", IP: "127.0.0.1",
		Service: func(string) *declarer.Service { return &declarer.Service{Name: "s", Slots: 4} },
		Judge:   func(t messenger.Target) messenger.Target { return t },
		Changed: func([]messenger.Target) {},
	}
}
