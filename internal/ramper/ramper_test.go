package ramper

import (
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rogpeppe/go-internal/txtar"
	"pgregory.net/rapid"

	"github.com/zinniaproxy/zinniaproxy/internal/detector"
	"github.com/zinniaproxy/zinniaproxy/internal/messenger"
)

func TestLimitFollowsScenarios(t *testing.T) {
	archive, err := txtar.ParseFile("testdata/ramp.txtar")
	qt.Assert(t, err, qt.IsNil)
	for _, f := range archive.Files {
		t.Run(f.Name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runScenario(t, string(f.Data)) })
		})
	}
}

func runScenario(t *testing.T, scenario string) {
	var r Ramper
	for i, line := range strings.Split(strings.TrimSpace(scenario), "\n") {
		words := append(strings.Fields(line), "", "")
		n, _ := strconv.Atoi(words[1])
		took, _ := time.ParseDuration(words[2])
		switch words[0] {
		case "announce":
			state, _ := messenger.ParseState(words[1])
			slots, _ := strconv.Atoi(words[2])
			coldLimit, _ := strconv.Atoi(words[3])
			r.Announce(state, slots, coldLimit)
		case "answer":
			repeat(&r, n, detector.Good, took, r.Limit())
		case "idle":
			repeat(&r, n, detector.Good, took, 1)
		case "lose":
			repeat(&r, n, detector.Failed, took, r.Limit())
		case "shed":
			repeat(&r, n, detector.Shed, took, r.Limit())
		case "refuse":
			r.Done(detector.Refused, 0, 1)
		case "restart":
			r.Restart()
		case "report":
			r.Report(n)
		case "pause":
			d, _ := time.ParseDuration(words[1])
			time.Sleep(d)
		case "limit":
			qt.Assert(t, r.Limit(), qt.Equals, n, qt.Commentf("line %d", i+1))
		default:
			t.Fatalf("unknown line %q", line)
		}
	}
}

func repeat(r *Ramper, n int, outcome detector.Outcome, took time.Duration, inFlight int) {
	for range n {
		time.Sleep(100 * time.Millisecond)
		r.Done(outcome, took, inFlight)
	}
}

// Checks that no order of events brings the limit above the slots, above the
// cold limit of a cold target, or below one, and that only good responses raise
// it.
func TestLimitStaysInBounds(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		synctest.Test(t, func(*testing.T) {
			var r Ramper
			slots := rapid.IntRange(1, 9).Draw(rt, "slots")
			coldLimit := rapid.IntRange(1, slots).Draw(rt, "cold")
			state := messenger.Warm
			r.Announce(state, slots, coldLimit)
			for range 200 {
				before, raised := r.Limit(), false
				step := rapid.IntRange(0, 9).Draw(rt, "step")
				switch step {
				case 9:
					state = messenger.State(rapid.IntRange(0, 1).Draw(rt, "state"))
					r.Announce(state, slots, coldLimit)
				case 8:
					r.Report(rapid.IntRange(0, 20).Draw(rt, "report"))
				default:
					outcome := detector.Outcome(max(step-4, 0))
					raised = outcome == detector.Good
					r.Done(outcome, time.Duration(rapid.IntRange(1, 500).Draw(rt, "ms"))*time.Millisecond, slots)
				}
				maxLimit := slots
				if state == messenger.Cold {
					maxLimit = coldLimit
				}
				if n := r.Limit(); n < 1 || n > maxLimit || n > before+1 || n > before && !raised {
					rt.Fatalf("limit %d after %d, most %d, step %d", n, before, maxLimit, step)
				}
				time.Sleep(50 * time.Millisecond)
			}
		})
	})
}
