package detector

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/zinniaproxy/zinniaproxy/internal/messenger"
)

const median = 50 * time.Millisecond

// worstVerdict sends 200 attempts in 20 s to a target whose peers answer in the
// median, and returns the worst verdict. attempt returns the outcome and the
// duration of each attempt.
func worstVerdict(t *testing.T, peers int, attempt func(i int) (Outcome, time.Duration)) messenger.Trust {
	var mu sync.Mutex
	worst := messenger.Sound
	synctest.Test(t, func(*testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		target := messenger.Target{Name: "t", Service: "s", Trust: messenger.Sound}
		d := &Detector{
			Peers: func(string) []messenger.Target {
				list := []messenger.Target{target}
				for range peers {
					list = append(list, messenger.Target{Name: "p", Node: "n", Trust: messenger.Sound})
				}
				return append(list, messenger.Target{Name: "lost", Node: "lost", Trust: messenger.Sound})
			},
			SendQuery: func(_ context.Context, node string, _ *Query) (*Reply, error) {
				if node == "lost" {
					return nil, errors.New("lost")
				}
				return &Reply{Count: 12, Median: median, UpperQuartile: 2 * median}, nil
			},
			OnVerdict: func(_ string, verdict messenger.Trust, _ float64) {
				mu.Lock()
				defer mu.Unlock()
				worst = min(worst, verdict)
			},
			Rand: func(int) int { return 0 },
		}
		d.Watch(target, 2)
		go d.Run(ctx)
		time.Sleep(3 * time.Second)
		for i := range 200 {
			go func() {
				a := d.Start("t")
				outcome, elapsed := attempt(i)
				time.Sleep(elapsed)
				a.Done(outcome)
			}()
			time.Sleep(100 * time.Millisecond)
		}
		time.Sleep(time.Second)
		cancel()
		synctest.Wait()
	})
	mu.Lock()
	defer mu.Unlock()
	return worst
}

func always(outcome Outcome, elapsed time.Duration) func(int) (Outcome, time.Duration) {
	return func(int) (Outcome, time.Duration) { return outcome, elapsed }
}

// Guards against ejecting a target for its callers' cancellations and deadlines or
// for a few failures, and against keeping one that is slow, fails or hangs.
func TestHealthVerdict(t *testing.T) {
	for _, c := range []struct {
		name    string
		peers   int
		attempt func(i int) (Outcome, time.Duration)
		want    messenger.Trust
	}{
		{"good", 5, always(Good, median), messenger.Sound},
		{"slow", 5, always(Good, 5*median), messenger.Sick},
		{"slow without peers", 0, always(Good, 5*median), messenger.Sound},
		{"failing without peers", 0, always(Failed, median), messenger.Sick},
		{"refused", 5, always(Refused, 0), messenger.Sick},
		{"shedding within the cold limit", 5, always(Shed, 0), messenger.Sick},
		{"canceled hedges, sound target", 5, always(Canceled, median), messenger.Sound},
		{"half canceled, late", 5, func(i int) (Outcome, time.Duration) {
			return []Outcome{Good, Canceled}[i%2], median * time.Duration(1+i%2)
		}, messenger.Sound},
		{"hanging, all canceled by hedges", 5, always(Canceled, 5*median/2), messenger.Sick},
		{"short deadlines", 5, always(Timeout, median/2), messenger.Sound},
		{"hanging until the deadline", 5, always(Timeout, 20*median), messenger.Sick},
		{"one in 20 fails", 5, func(i int) (Outcome, time.Duration) {
			return []Outcome{Good, Failed}[max(i%20-18, 0)], median
		}, messenger.Sound},
	} {
		t.Run(c.name, func(t *testing.T) {
			qt.Check(t, worstVerdict(t, c.peers, c.attempt), qt.Equals, c.want)
		})
	}
}
