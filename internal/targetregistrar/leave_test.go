package targetregistrar

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/zinniaproxy/zinniaproxy/internal/messenger"
	"github.com/zinniaproxy/zinniaproxy/pkg/coder"
)

const ownAddress = "127.0.0.1:9001"

// Guards against new work for a target that leaves, by an announcement that was sent
// before and arrives late: after its withdrawal, after its registration has lapsed,
// and at a process that learned of the leave from an earlier one.
func TestDelayedAnnouncementOfALeavingTarget(t *testing.T) {
	for _, instance := range []string{"", "i-1"} {
		ready := Announcement{Service: "s", Address: ownAddress, State: messenger.Warm, TTL: time.Second, Instance: instance, Epoch: 5, Sequence: 1}
		draining := ready
		draining.State, draining.Sequence = messenger.Draining, 2
		for _, tc := range []struct {
			name  string
			leave func(r *Registrar) error
		}{
			{"withdrawn", func(r *Registrar) error {
				known, err := r.Withdraw("s", ownAddress)
				qt.Check(t, known, qt.IsTrue)
				return err
			}},
			{"lapsed", func(r *Registrar) error {
				if instance == "" {
					_, err := r.Withdraw("s", ownAddress)
					return err
				}
				err := r.Announce(draining)
				time.Sleep(2 * draining.TTL)
				r.sweep(time.Now())
				return err
			}},
			{"known from an earlier process", func(r *Registrar) error {
				r.RestoreLeave(leaveKey(r.Targets()[0]), 5)
				return nil
			}},
		} {
			t.Run(tc.name+" "+instance, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					r := newTestRegistrar()
					qt.Assert(t, r.Announce(ready), qt.IsNil)
					qt.Assert(t, tc.leave(r), qt.IsNil)
					qt.Assert(t, r.Targets(), qt.HasLen, 0)
					qt.Check(t, r.Announce(ready), qt.IsNil)
					qt.Check(t, r.Targets(), qt.HasLen, 0)
					next := ready
					next.Epoch, next.Sequence = 6, 1
					qt.Check(t, r.Announce(next), qt.IsNil)
					qt.Check(t, r.Targets(), qt.HasLen, 1)
				})
			})
		}
	}
}

// Guards against an acknowledgement of a leave that could not be recorded. The target
// is out of service all the same, and repeats the call.
func TestLeaveThatCannotBeRecordedIsNotAcknowledged(t *testing.T) {
	for _, instance := range []string{"", "i-1"} {
		r := newTestRegistrar()
		var recorded []string
		var failure error
		r.RecordLeave = func(target string, epoch uint64) error {
			qt.Check(t, epoch, qt.Equals, uint64(5))
			recorded = append(recorded, target)
			return failure
		}
		ready := Announcement{Service: "s", Address: ownAddress, State: messenger.Warm, TTL: time.Second, Instance: instance, Epoch: 5}
		qt.Assert(t, r.Announce(ready), qt.IsNil)
		key := leaveKey(r.Targets()[0])
		failure = coder.New(coder.LeaveUnrecorded, "")
		for range 2 {
			var err error
			if instance == "" {
				_, err = r.Withdraw("s", ownAddress)
			} else {
				_, err = r.WithdrawInstance(instance, 0)
			}
			qt.Check(t, err, qt.Equals, failure)
			qt.Check(t, r.Targets(), qt.HasLen, 0)
			failure = nil
		}
		qt.Check(t, recorded, qt.DeepEquals, []string{key, key})
	}
}

// Guards against a leave of an earlier process that ends the next one of the same
// instance.
func TestRestoredLeaveKeepsTheNextProcess(t *testing.T) {
	r := newTestRegistrar()
	next := Announcement{Service: "s", Address: ownAddress, State: messenger.Warm, TTL: time.Second, Instance: "i-1", Epoch: 6}
	qt.Assert(t, r.Announce(next), qt.IsNil)
	r.RestoreLeave("i-1", 5)
	qt.Check(t, r.Targets(), qt.HasLen, 1)
	r.RestoreLeave("i-1", 6)
	qt.Check(t, r.Targets(), qt.HasLen, 0)
}

// Guards against a withdrawal of an earlier process that arrives late and takes the next
// one of the same instance out of service.
func TestLateWithdrawalOfAnEarlierProcess(t *testing.T) {
	for _, tc := range []struct {
		name             string
		registered       uint64
		withdrawn        uint64
		remains, returns bool
	}{
		{"of the process", 6, 6, false, false},
		{"of an earlier one", 6, 5, true, true},
		{"of a later one", 6, 7, false, false},
		{"of an unknown one", 6, 0, false, false},
		{"of a discovered one", 0, 5, false, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r := newTestRegistrar()
			a := Announcement{Service: "s", Address: ownAddress, State: messenger.Warm, TTL: time.Second, Instance: "i-1", Epoch: tc.registered}
			qt.Assert(t, r.Announce(a), qt.IsNil)
			_, err := r.WithdrawInstance("i-1", tc.withdrawn)
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, len(r.Targets()) == 1, qt.Equals, tc.remains)
			a.Epoch = 6 // the target's own announcement
			qt.Assert(t, r.Announce(a), qt.IsNil)
			qt.Check(t, len(r.Targets()) == 1, qt.Equals, tc.returns)
		})
	}
}
