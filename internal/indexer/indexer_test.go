package indexer

import (
	"strings"
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

// Guards against a request that reaches the service of a prefix that does not
// begin its path: /guides/ must not match /guides.
func TestRouteMatchesOnlyPrefixesOfThePath(t *testing.T) {
	x := New(1, declarer.Fleet{}.
		WithRoute(declarer.Route{Name: "guides", Path: "/guides/", Host: "jos.example"}).
		WithRoute(declarer.Route{Name: "stock", Path: "/guides/stock/", Host: "jos.example"}).
		WithRoute(declarer.Route{Name: "post", Path: "/book/", Methods: []string{"POST"}}).
		WithRoute(declarer.Route{Name: "plain", Path: "/plain"}).
		WithRoute(declarer.Route{Name: "below", Path: "/plain/"}))
	for _, tc := range []struct{ method, host, path, want string }{
		{"GET", "jos.example", "/guides/stock", "guides"},
		{"GET", "jos.example", "/guides/stock/", "stock"},
		{"GET", "jos.example", "/guides/stock/7", "stock"},
		{"GET", "jos.example", "/guides/stocks/7", "guides"},
		{"GET", "jos.example", "/guides/", "guides"},
		{"GET", "jos.example", "/guides", ""},
		{"GET", "jos.example", "/guidesx", ""},
		{"GET", "jos.example", "/", ""},
		{"GET", "jos.example", "*", ""},
		{"GET", "jos.example", "", ""},
		{"POST", "", "/book", ""},
		{"POST", "jos.example", "/book", ""},
		{"POST", "jos.example", "/book//", "post"},
		{"GET", "", "/plain", "plain"},
		{"GET", "", "/plain/", "below"},
		{"GET", "", "/plain/7", "below"},
	} {
		got := ""
		if r := x.Route(tc.method, tc.host, tc.path); r != nil {
			got = r.Name
		}
		qt.Check(t, got, qt.Equals, tc.want, qt.Commentf("%+v", tc))
	}
}

// Compares the lookup with a search through all routes.
func TestRouteIsTheLongestDeclaredPrefix(t *testing.T) {
	paths := rapid.StringMatching(`(/[ab]{0,2}){1,4}`)
	rapid.Check(t, func(r *rapid.T) {
		f := declarer.Fleet{}
		for _, p := range rapid.SliceOfDistinct(paths, rapid.ID).Draw(r, "prefixes") {
			f = f.WithRoute(declarer.Route{Name: p, Path: p})
		}
		path, want := paths.Draw(r, "path"), ""
		for _, route := range f.Routes {
			rest, ok := strings.CutPrefix(path, route.Path)
			whole := rest == "" || strings.HasPrefix(rest, "/") || strings.HasSuffix(route.Path, "/")
			if ok && whole && len(route.Path) > len(want) {
				want = route.Path
			}
		}
		got := ""
		if route := New(1, f).Route("GET", "", path); route != nil {
			got = route.Path
		}
		if got != want {
			r.Fatalf("path %q: got route %q, want %q", path, got, want)
		}
	})
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
