package reserver

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/zinniaproxy/zinniaproxy/internal/messenger"
	"github.com/zinniaproxy/zinniaproxy/pkg/coder"
)

// episode is how long a target answers, and then how long it does not.
const episode = 5 * time.Second

// stopByTurns makes the even targets stop answering in every other episode, and
// the odd ones in those between. Calls that they hold go on afterwards.
func (f *fleet) stopByTurns() {
	begin := time.Now()
	for i, x := range f.exits {
		x.setWork(func(ctx context.Context) {
			if elapsed := time.Since(begin); int(elapsed/episode)%2 == i%2 {
				sleep(ctx, episode-elapsed%episode)
			}
			sleep(ctx, 200*ms)
		})
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// request reserves a slot at one of two exit nodes, and sends the call there.
func (f *fleet) request(call *messenger.Call, a, b *exit) error {
	ctx, stop := context.WithTimeout(f.t.Context(), call.Timeout)
	defer stop()
	granted, id, err := f.client.Acquire(ctx, requests(call, a, b))
	if err != nil {
		return err
	}
	call.Reservation = id
	if granted.Target.Name == b.target.Name {
		a = b
	}
	return f.call(ctx, a, *call)
}

// Guards against requests that are refused while half of the targets do not answer,
// although others have free slots, or have them again within the objective. Each
// request gets one try, at two targets that are drawn without knowledge of them. A
// call that is pushed to one of them is refused in two of five cases.
func TestHalfOfTargetsStopByTurns(t *testing.T) {
	runFleet(t, 4, 15, func(c *qt.C, f *fleet) {
		const perSecond, duration = 20.0, time.Minute
		random := rand.New(rand.NewPCG(1, 2))
		f.stopByTurns()
		var mu sync.Mutex
		var running sync.WaitGroup
		codes, sent := map[coder.Code]int{}, 0
		for end := time.Now().Add(duration); time.Now().Before(end); sent++ {
			call, order := booking(strconv.Itoa(sent)), random.Perm(len(f.exits))
			running.Go(func() {
				code := coder.OK
				if err := f.request(call, f.exits[order[0]], f.exits[order[1]]); err != nil {
					code = coder.Of(err).Code
				}
				mu.Lock()
				defer mu.Unlock()
				codes[code]++
			})
			time.Sleep(time.Duration(random.ExpFloat64() / perSecond * float64(time.Second)))
		}
		running.Wait()
		c.Logf("%d sent, by code: %v", sent, codes)
		c.Check(sent-codes[coder.OK] <= sent/20, qt.IsTrue)
	})
}
