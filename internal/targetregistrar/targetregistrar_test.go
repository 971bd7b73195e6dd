package targetregistrar

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/zinniaproxy/zinniaproxy/internal/messenger"
	"github.com/zinniaproxy/zinniaproxy/pkg/declarer"
)

// TestLapsedTargetIsNotFound guards against calls to a target whose announcement
// expired while the node was paused, before Run could remove it: the target may
// have restarted cold.
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

// TestDelayedAnnouncementAfterWithdrawalIsIgnored has a target withdraw at
// a node that has just started, which does not know the target or has only
// discovered it: neither a delayed announcement nor a delayed discovery may
// register the target again, but a new process may.
func TestDelayedAnnouncementAfterWithdrawalIsIgnored(t *testing.T) {
	for _, known := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			r := newTestRegistrar()
			discovered := Announcement{Service: "s", Address: "127.0.0.1:9001", State: messenger.Warm, TTL: time.Second, Instance: "i-1"}
			announced := discovered
			announced.Epoch, announced.Sequence = uint64(time.Now().Add(-time.Minute).UnixMilli()), 9
			if known {
				qt.Assert(t, r.Announce(discovered), qt.IsNil)
			}
			was, err := r.WithdrawInstance("i-1", 0)
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, was, qt.Equals, known)
			qt.Check(t, r.Announce(announced), qt.IsNil)
			qt.Check(t, r.Announce(discovered), qt.IsNil)
			qt.Check(t, r.Targets(), qt.HasLen, 0)
			time.Sleep(10 * time.Millisecond)
			announced.Epoch, announced.Sequence = uint64(time.Now().UnixMilli()), 1
			qt.Check(t, r.Announce(announced), qt.IsNil)
			qt.Check(t, r.Targets(), qt.HasLen, 1)
		})
	}
}

// Guards against calls above the limit of a cold target: a paused node takes the
// announcements that wait for it in any order, among them one of the target's ended
// process that says warm.
func TestAnnouncementOfAnEarlierProcessIsIgnored(t *testing.T) {
	for _, instance := range []string{"", "i-1"} {
		earlier := Announcement{Service: "s", Address: "127.0.0.1:9001", State: messenger.Warm, TTL: 3 * time.Second, Instance: instance, Epoch: 5, Sequence: 9}
		later := earlier
		later.State, later.Epoch, later.Sequence = messenger.Cold, 6, 1
		for _, order := range [][]Announcement{{earlier, later}, {later, earlier}, {later, earlier, later}} {
			r := newTestRegistrar()
			for _, a := range order {
				qt.Assert(t, r.Announce(a), qt.IsNil)
			}
			got, ok := r.Lookup("s@127.0.0.1:9001")
			qt.Assert(t, ok, qt.IsTrue)
			qt.Check(t, got.State, qt.Equals, messenger.Cold)
			qt.Check(t, got.Start, qt.Equals, uint64(6))
		}
	}
}

func newTestRegistrar() *Registrar {
	return &Registrar{
		Node: "n", Centre: "c", IP: "127.0.0.1",
		Service:      func(string) *declarer.Service { return &declarer.Service{Name: "s", Slots: 4} },
		ApplyVerdict: func(t messenger.Target) messenger.Target { return t },
		OnChange:     func([]messenger.Target) {},
	}
}
