package deduper

import (
	"flag"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/zinniaproxy/zinniaproxy/pkg/coder"
)

func init() { _ = flag.Set("rapid.seed", "1") }

// frame is one copy of an attempt's frame on the network.
type frame struct {
	id      string
	sent    time.Time
	timeout time.Duration
}

func (f frame) remaining() time.Duration { return f.timeout - time.Since(f.sent) }

// TestAttemptsRunAtMostOnce checks that no attempt runs twice, or after proof
// that it does not run, in random sequences of loss, duplication, delay,
// pauses, fences and restarts of the exit process.
func TestAttemptsRunAtMostOnce(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		synctest.Test(t, func(*testing.T) { checkAtMostOnce(r) })
	})
}

func checkAtMostOnce(r *rapid.T) {
	const maxCallTime = 10 * time.Second
	epoch := uint64(1)
	startProcess := func() *Deduper {
		epoch++
		d := New(epoch)
		d.MaxCallTime = maxCallTime
		return d
	}
	d := startProcess()
	ran, provenNotRun := map[string]int{}, map[string]bool{}
	var frames []frame
	sentToEpoch := map[string]uint64{}
	for i := range rapid.IntRange(1, 60).Draw(r, "steps") {
		switch rapid.SampledFrom([]string{"send", "arrive", "arrive", "wait", "fence", "restart"}).Draw(r, "step") {
		case "send":
			f := frame{fmt.Sprint(i), time.Now(), time.Duration(rapid.IntRange(1, 10).Draw(r, "timeout")) * time.Second}
			sentToEpoch[f.id] = epoch
			frames = append(frames, f, f)
		case "arrive":
			if len(frames) == 0 {
				continue
			}
			f := frames[rapid.IntRange(0, len(frames)-1).Draw(r, "frame")]
			if sentToEpoch[f.id] != epoch {
				continue // the link ended with the process it led to
			}
			admission, err := d.Begin(f.id, f.remaining())
			if err != nil {
				continue
			}
			time.Sleep(time.Duration(rapid.IntRange(0, 12).Draw(r, "pause")) * time.Second)
			if admission.Check() != nil {
				continue
			}
			if time.Since(f.sent) >= f.timeout {
				r.Fatalf("%s ran past its deadline", f.id)
			}
			ran[f.id]++
		case "wait":
			time.Sleep(time.Duration(rapid.IntRange(1, 25).Draw(r, "wait")) * time.Second)
		case "fence":
			if len(frames) == 0 {
				continue
			}
			f := frames[rapid.IntRange(0, len(frames)-1).Draw(r, "fenced")]
			if d.Fence(f.id, sentToEpoch[f.id], time.Since(f.sent)) == FenceNotSeen {
				provenNotRun[f.id] = true
			}
		case "restart":
			d = startProcess()
		}
		for id, n := range ran {
			if n > 1 || provenNotRun[id] {
				r.Fatalf("%s ran %d times, proof of not run: %v", id, n, provenNotRun[id])
			}
		}
	}
}

func TestRememberedAttemptsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		d := New(1)
		d.MaxAttempts = 10 * shardCount
		refused := 0
		for i := range 20 * shardCount {
			if _, err := d.Begin(fmt.Sprint(i), time.Second); err != nil {
				c.Assert(coder.Of(err).Code, qt.Equals, coder.Overloaded)
				refused++
			}
		}
		c.Check(d.Len() <= d.MaxAttempts, qt.IsTrue)
		c.Check(refused >= 10*shardCount, qt.IsTrue)
		time.Sleep(3 * DefaultMaxCallTime)
		_, err := d.Begin("0", time.Second)
		c.Check(err, qt.IsNil)
	})
}

func TestAdmissionExpiresAtDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		admission, err := New(1).Begin("a", time.Second)
		c.Assert(err, qt.IsNil)
		c.Check(admission.Check(), qt.IsNil)
		time.Sleep(time.Second)
		c.Check(coder.Of(admission.Check()).Code, qt.Equals, coder.DeadlineBefore)
	})
}

func BenchmarkBegin(b *testing.B) {
	d := New(1)
	d.MaxAttempts = 1 << 30
	ids := make([]string, 1<<16)
	for i := range ids {
		ids[i] = fmt.Sprintf("%032d", i)
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		_, _ = d.Begin(ids[i%len(ids)], time.Second)
	}
}
