package accountant

import (
	"context"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/zinniaproxy/zinniaproxy/pkg/coder"
)

// Guards against an account that drifts from what its owners hold: the process
// would run out of memory, or refuse everybody for good.
func TestAccountMatchesItsOwners(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := &Account{Limit: 1 << 20}
		held := map[*Owner]int64{}
		var owners []*Owner
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			n := int64(rapid.IntRange(0, 300<<10).Draw(t, "bytes"))
			if len(owners) == 0 || rapid.IntRange(0, 5).Draw(t, "new") == 0 {
				owners = append(owners, a.Member("strangers", 0.5).Member())
			}
			o := owners[rapid.IntRange(0, len(owners)-1).Draw(t, "owner")]
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0, 1:
				if before := a.Used(); a.Reserve(o, n) {
					held[o] += n
					if before+n > a.Limit {
						t.Fatalf("%d bytes reserved beside %d, at most %d", n, before, a.Limit)
					}
				}
			case 2:
				n = min(n, held[o])
				a.Release(o, n)
				held[o] -= n
			case 3:
				o.Move("workspace", 0.75)
			case 4:
				o.Close()
				o.Close()
				held[o] = 0
				owners = owners[:0:0]
				for other := range held {
					if other != o {
						owners = append(owners, other)
					}
				}
				delete(held, o)
			}
			total := int64(0)
			for o, n := range held {
				if o.Held() != n {
					t.Fatalf("an owner holds %d bytes by the account, want %d", o.Held(), n)
				}
				total += n
			}
			if a.Used() != total {
				t.Fatalf("%d bytes used, want %d", a.Used(), total)
			}
		}
	})
}

// Guards against an ordinary request that is refused while a few clients hold all
// that large ones may.
func TestSmallOwnersHaveRoomBesideLargeOnes(t *testing.T) {
	a := &Account{Limit: 8 << 20}
	for a.Reserve(a.Member("strangers", 0.5), 1<<20) || a.Reserve(a.Member("workspace", 0.75), 1<<20) {
	}
	qt.Check(t, a.Reserve(a.Member("strangers", 0.5), smallOwnerBytes), qt.IsTrue)
	qt.Check(t, a.Reserve(a.Member("strangers", 0.5), 2*smallOwnerBytes), qt.IsFalse)
}

// Guards against a reservation that waits on although it fits, and against one that
// waits without end or without relief.
func TestWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := &Account{Limit: 1 << 20}
		relieved := 0
		a.AddReliever(func() { relieved++ })
		first, second := a.Member("c", 1), a.Member("c", 1)
		qt.Assert(t, a.Wait(t.Context(), first, 800<<10), qt.IsNil)
		var wg sync.WaitGroup
		wg.Go(func() { qt.Check(t, a.Wait(t.Context(), second, 500<<10), qt.IsNil) })
		time.Sleep(time.Second)
		qt.Check(t, a.Waiting(), qt.Equals, 1)
		first.Close()
		wg.Wait()
		qt.Check(t, relieved > 5, qt.IsTrue)

		begun := time.Now()
		err := a.Wait(t.Context(), a.Member("c", 1), 800<<10)
		qt.Check(t, coder.Of(err).Code, qt.Equals, coder.Overloaded)
		qt.Check(t, coder.Of(err).Ran(), qt.Equals, coder.RanNo)
		qt.Check(t, time.Since(begun) <= DefaultMaxWait+relieveAfter, qt.IsTrue)
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		qt.Check(t, coder.Of(a.Wait(ctx, a.Member("c", 1), 800<<10)).Code, qt.Equals, coder.Canceled)
		qt.Check(t, a.Waiting(), qt.Equals, 0)
		second.Close()
		qt.Check(t, a.Used(), qt.Equals, int64(0))
	})
}

// Guards against memory taken by a length that is announced alone, and against a
// body that is cut or goes beyond the limit.
func TestReadAll(t *testing.T) {
	const limit = 1 << 20
	a := &Account{Limit: 64 << 20}
	for _, n := range []int{0, 1, firstStepBytes - 1, firstStepBytes, firstStepBytes + 1, 100_000, limit - 1, limit} {
		for _, announced := range []int64{-1, int64(n)} {
			o := a.Member("c", 1)
			b, err := a.ReadAll(t.Context(), o, strings.NewReader(strings.Repeat("b", n)), announced, limit)
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, len(b), qt.Equals, n)
			qt.Check(t, o.Held(), qt.Equals, int64(cap(b)))
			qt.Check(t, cap(b) <= stepFactor*max(n, firstStepBytes), qt.IsTrue)
			o.Close()
		}
	}
	_, err := a.ReadAll(t.Context(), a.Member("c", 1), strings.NewReader(strings.Repeat("b", limit+1)), -1, limit)
	qt.Check(t, err, qt.Equals, ErrTooLarge)
	o := a.Member("c", 1)
	r, w := io.Pipe()
	go func() { _, _ = w.Write([]byte("b")); w.CloseWithError(io.ErrUnexpectedEOF) }()
	_, err = a.ReadAll(t.Context(), o, r, limit, limit)
	qt.Check(t, err, qt.Equals, io.ErrUnexpectedEOF)
	qt.Check(t, o.Held() <= firstStepBytes, qt.IsTrue)
}
