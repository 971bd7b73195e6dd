package node

import (
	"context"
	"net/http"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestCancellationReachesTarget checks that a target, behind another node, sees
// that the caller canceled its request, long before the route's deadline.
func TestCancellationReachesTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, "a", "b")
		defer f.close()
		f.configure(openFleetJSON)
		f.startNode("a", "one")
		f.startNode("b", "one")
		f.startTarget("t1", "b", "booking", 9001, 4)
		time.Sleep(5 * time.Second)
		c := f.client("caller")
		for _, path := range []string{"/stock/hang", "/book/hang"} {
			ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
			req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://a:80"+path, nil)
			qt.Assert(t, err, qt.IsNil)
			_, err = c.Do(req) //nolint:bodyclose // there is no response
			qt.Check(t, err, qt.ErrorIs, context.DeadlineExceeded)
			cancel()
			time.Sleep(100 * time.Millisecond)
			f.mu.Lock()
			qt.Check(t, slices.Contains(f.canceled, path), qt.IsTrue, qt.Commentf("%s", path))
			f.mu.Unlock()
		}
	})
}
