package faker

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/zinniaproxy/zinniaproxy/internal/storer"
)

// restoreOverHTTP restores a store to an earlier time over its HTTP protocol.
func restoreOverHTTP(t *testing.T, s *Store, copied time.Time) {
	body := `{"copied":"` + copied.Format(time.RFC3339Nano) + `"}`
	w := httptest.NewRecorder()
	s.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/v1/restore", strings.NewReader(body)))
	qt.Assert(t, w.Code, qt.Equals, http.StatusOK)
}

// Clients must see a restored store as the platform documents it, over HTTP too:
// later writes and leases are gone, and versions of before are never those of
// after.
func TestRestoredStore(t *testing.T) {
	s := NewStore()
	server := httptest.NewServer(s.Handler())
	defer server.Close()
	for name, client := range map[string]*storer.Store{"direct": s.Client(), "http": storer.Dial(server.URL, server.Client())} {
		t.Run(name, func(t *testing.T) {
			ctx, key := t.Context(), "key-"+name
			old, err := client.Swap(ctx, key, []byte("old"), 0, "")
			qt.Assert(t, err, qt.IsNil)
			time.Sleep(time.Millisecond)
			copied := time.Now()
			time.Sleep(time.Millisecond)
			qt.Assert(t, client.Lease(ctx, "lease-"+name, time.Hour), qt.IsNil)
			lost, err := client.Swap(ctx, key, []byte("lost"), old, "")
			qt.Assert(t, err, qt.IsNil)
			_, err = client.Swap(ctx, "leased-"+name, []byte("x"), 0, "lease-"+name)
			qt.Assert(t, err, qt.IsNil)
			era := client.Eras.Current()
			watched := make(chan storer.Entry, 1)
			go func() {
				e, _ := client.Watch(context.WithoutCancel(ctx), key, lost, time.Minute)
				watched <- e
			}()
			restoreOverHTTP(t, s, copied)

			qt.Check(t, string((<-watched).Value), qt.Equals, "old")
			e, err := client.Get(ctx, key)
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, string(e.Value), qt.Equals, "old")
			qt.Check(t, e.Version > lost, qt.IsTrue)
			qt.Check(t, client.Eras.Current(), qt.Equals, era+1)
			_, err = client.Swap(ctx, "leased-"+name, []byte("x"), 0, "lease-"+name)
			qt.Check(t, err, qt.ErrorIs, storer.ErrNoLease)
			current, err := client.Swap(ctx, key, []byte("new"), lost, "")
			qt.Check(t, err, qt.ErrorIs, storer.ErrConflict)
			qt.Check(t, current, qt.Equals, e.Version)
			_, err = client.Swap(ctx, key, []byte("new"), e.Version, "")
			qt.Check(t, err, qt.IsNil)
		})
	}
}
