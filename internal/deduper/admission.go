package deduper

import (
	"time"

	"github.com/zinniaproxy/zinniaproxy/pkg/coder"
)

// maxClockGap is how far the wall clock may run ahead of the monotonic clock
// before the VM counts as paused: the monotonic clock stops while a VM is
// suspended.
const maxClockGap = time.Second

// Admission permits one attempt to be sent to its target.
type Admission struct {
	// Deadline is when the caller stops waiting, by this process's clock.
	Deadline time.Time
	// arrivedAt is when the attempt arrived, by wall and monotonic clock.
	arrivedAt time.Time
}

// Check must be called right before the first byte is sent to the target. It
// refuses if the deadline has passed, including during a pause of the process
// or its VM.
func (a Admission) Check() error {
	return a.check(time.Now())
}

func (a Admission) check(now time.Time) error {
	if !now.Before(a.Deadline) {
		return coder.New(coder.DeadlineBefore, "deadline passed %v ago", now.Sub(a.Deadline))
	}
	wall := now.Round(0).Sub(a.arrivedAt.Round(0))
	if gap := wall - now.Sub(a.arrivedAt); gap > maxClockGap {
		return coder.New(coder.DeadlineBefore, "VM was paused for %v", gap)
	}
	return nil
}
