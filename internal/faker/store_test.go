package faker

import (
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/zinniaproxy/zinniaproxy/internal/storer"
)

// testStoreClient checks versions, leases and faults through s, a client of
// fake.
func testStoreClient(t *testing.T, fake *Store, s *storer.Store) {
	c, ctx := qt.New(t), t.Context()
	v, err := s.Swap(ctx, "a/b", []byte("one"), 0, "")
	c.Assert(err, qt.IsNil)
	_, err = s.Swap(ctx, "a/b", []byte("two"), 0, "")
	c.Assert(err, qt.ErrorIs, storer.ErrConflict)
	e, err := s.Get(ctx, "a/b")
	c.Assert(err, qt.IsNil)
	c.Assert(string(e.Value), qt.Equals, "one")
	e, err = s.Watch(ctx, "a/b", v, 10*time.Millisecond)
	c.Assert(err, qt.IsNil)
	c.Assert(e.Version, qt.Equals, v)
	fake.SetFaults(StoreFaults{LoseReplies: true})
	_, err = s.Swap(ctx, "a/b", []byte("three"), v, "")
	c.Assert(err, qt.IsNotNil)
	fake.SetFaults(StoreFaults{})
	e, err = s.Get(ctx, "a/b")
	c.Assert(err, qt.IsNil)
	c.Assert(string(e.Value), qt.Equals, "three")
	c.Assert(s.Lease(ctx, "l", time.Minute), qt.IsNil)
	_, err = s.Swap(ctx, "a/c", []byte("leased"), 0, "l")
	c.Assert(err, qt.IsNil)
	entries, err := s.List(ctx, "a/")
	c.Assert(err, qt.IsNil)
	c.Assert(entries, qt.HasLen, 2)
	fake.ExpireLease("l")
	e, err = s.Get(ctx, "a/c")
	c.Assert(err, qt.IsNil)
	c.Assert(e.Version, qt.Equals, uint64(0))
	fake.SetFaults(StoreFaults{Down: true})
	_, err = s.Get(ctx, "a/b")
	c.Assert(err, qt.IsNotNil)
}

func TestStoreClientInProcess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fake := NewStore()
		testStoreClient(t, fake, fake.Client())
	})
}

func TestStoreClientOverHTTP(t *testing.T) {
	fake := NewStore()
	srv := httptest.NewServer(fake.Handler())
	defer srv.Close()
	testStoreClient(t, fake, storer.Dial(srv.URL, srv.Client()))
}
