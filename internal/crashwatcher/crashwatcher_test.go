package crashwatcher

import (
	"context"
	"errors"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/zinniaproxy/zinniaproxy/internal/messenger"
)

// One crash holds all calls that break off together. A broken connection at a
// process that still listens is none.
func TestCrashHoldsItsCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		up := map[string]bool{"b:1": true}
		var mu sync.Mutex
		var crashes []Crash
		w := &Watcher{
			Dial: func(_ context.Context, address string) (net.Conn, error) {
				if up[address] {
					conn, _ := net.Pipe()
					return conn, nil
				}
				return nil, errors.New("refused")
			},
			OnCrash: func(c Crash) {
				mu.Lock()
				defer mu.Unlock()
				crashes = append(crashes, c)
			},
		}
		a := messenger.Target{Name: "a", Address: "a:1", Epoch: 1}
		for _, request := range []messenger.Fingerprint{5, 3, 5, 4} {
			w.CallCut(a, request)
			time.Sleep(time.Millisecond)
		}
		w.CallCut(messenger.Target{Name: "b", Address: "b:1", Epoch: 1}, 6)
		time.Sleep(time.Second)
		a.Epoch = 2
		w.CallCut(a, 3)
		time.Sleep(time.Second)
		mu.Lock()
		defer mu.Unlock()
		qt.Assert(t, crashes, qt.HasLen, 2)
		qt.Check(t, crashes[0].Requests, qt.DeepEquals, []messenger.Fingerprint{3, 4, 5})
		qt.Check(t, crashes[1].Requests, qt.DeepEquals, []messenger.Fingerprint{3})
		qt.Check(t, crashes[1].Epoch, qt.Equals, uint64(2))
		qt.Check(t, w.Crashes(), qt.Equals, int64(2))
	})
}

// Repeats share a fingerprint whatever their headers and origin. Requests of
// other callers, paths or bodies do not.
func TestFingerprintFollowsCallerPathAndBody(t *testing.T) {
	call := messenger.Call{Workspace: "w", Method: "GET", Host: "h", URI: "/a?b", Body: []byte("c")}
	repeat := call
	repeat.ID, repeat.Request, repeat.Origin, repeat.Header = "x", "y", "z", []messenger.Field{{Name: "N", Value: "v"}}
	qt.Check(t, repeat.Fingerprint(), qt.Equals, call.Fingerprint())
	others := []messenger.Call{
		{Workspace: "v", Method: "GET", Host: "h", URI: "/a?b", Body: []byte("c")},
		{Workspace: "w", Method: "PUT", Host: "h", URI: "/a?b", Body: []byte("c")},
		{Workspace: "w", Method: "GET", Host: "h2", URI: "/a?b", Body: []byte("c")},
		{Workspace: "w", Method: "GET", Host: "h", URI: "/a", Body: []byte("c")},
		{Workspace: "w", Method: "GET", Host: "h", URI: "/a?b", Body: []byte("d")},
	}
	for _, other := range others {
		qt.Check(t, other.Fingerprint(), qt.Not(qt.Equals), call.Fingerprint())
	}
}
