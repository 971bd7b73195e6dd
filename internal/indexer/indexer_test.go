package indexer

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/zinniaproxy/zinniaproxy/pkg/declarer"
)

func TestRoutePrefersHostThenLongestPrefix(t *testing.T) {
	x := New(1, declarer.Fleet{}.
		WithRoute(declarer.Route{Name: "all", Path: "/"}).
		WithRoute(declarer.Route{Name: "read", Path: "/book", Methods: []string{"GET"}}).
		WithRoute(declarer.Route{Name: "write", Path: "/book", Methods: []string{"POST"}}).
		WithRoute(declarer.Route{Name: "host", Path: "/book/x", Host: "jos.example"}))
	for _, tc := range []struct{ method, host, path, want string }{
		{"GET", "", "/book/7", "read"},
		{"HEAD", "", "/book", "read"},
		{"POST", "", "/book/", "write"},
		{"PUT", "", "/book/7", "all"},
		{"GET", "", "/bookish", "all"},
		{"GET", "jos.example", "/book/x/y", "host"},
		{"GET", "other.example", "/book/x/y", "read"},
	} {
		r := x.Route(tc.method, tc.host, tc.path)
		qt.Check(t, r, qt.IsNotNil)
		qt.Check(t, r.Name, qt.Equals, tc.want, qt.Commentf("%+v", tc))
	}
}

func TestKeyReturnsOnlyItsWorkspace(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		keys := rapid.SliceOfDistinct(rapid.String(), rapid.ID).Draw(r, "keys")
		other := rapid.String().Draw(r, "other")
		f := declarer.Fleet{}
		wantWorkspace := map[string]string{}
		for i, k := range keys {
			name := string(rune('a' + i%3))
			wantWorkspace[k] = name
			w := declarer.Workspace{Name: name}
			for _, existing := range f.Workspaces {
				if existing.Name == name {
					w = existing
				}
			}
			f = f.WithWorkspace(w.WithKey(k, k))
		}
		x := New(1, f)
		for k, name := range wantWorkspace {
			if w := x.WorkspaceByKey(k); w == nil || w.Name != name {
				r.Fatalf("key %q: got %v, want %s", k, w, name)
			}
		}
		if _, ok := wantWorkspace[other]; !ok && x.WorkspaceByKey(other) != nil {
			r.Fatalf("unknown key %q was accepted", other)
		}
	})
}
