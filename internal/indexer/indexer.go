// Package indexer builds an immutable lookup index of a declaration.
package indexer

import (
	"crypto/sha256"
	"net/http"
	"slices"
	"strings"

	"github.com/zinniaproxy/zinniaproxy/pkg/declarer"
)

// Index is one configuration, indexed for lookups. It is immutable after New,
// so goroutines share it without a lock.
type Index struct {
	// Number is the configuration's number, which only increases.
	Number uint64

	fleet      declarer.Fleet
	centres    map[string]declarer.Centre
	services   map[string]*declarer.Service
	workspaces map[string]*declarer.Workspace
	keys       map[[sha256.Size]byte]*declarer.Workspace
	routes     map[string][]*declarer.Route // by host and path
}

// New indexes a declaration, which must have passed declarer.Fleet.Check.
func New(number uint64, f declarer.Fleet) *Index {
	x := &Index{
		Number:     number,
		fleet:      f,
		centres:    make(map[string]declarer.Centre, len(f.Centres)),
		services:   make(map[string]*declarer.Service, len(f.Services)),
		workspaces: make(map[string]*declarer.Workspace, len(f.Workspaces)),
		keys:       make(map[[sha256.Size]byte]*declarer.Workspace, len(f.Workspaces)),
		routes:     make(map[string][]*declarer.Route, len(f.Routes)),
	}
	for _, c := range f.Centres {
		x.centres[c.Name] = c
	}
	for i := range f.Services {
		x.services[f.Services[i].Name] = &f.Services[i]
	}
	for i := range f.Workspaces {
		x.addWorkspace(&f.Workspaces[i])
	}
	for i := range f.Routes {
		key := routeKey(f.Routes[i].Host, f.Routes[i].Path)
		x.routes[key] = append(x.routes[key], &f.Routes[i])
	}
	return x
}

func (x *Index) addWorkspace(w *declarer.Workspace) {
	x.workspaces[w.Name] = w
	for _, k := range w.Keys {
		if d, ok := parseDigest(k.Digest); ok {
			x.keys[d] = w
		}
	}
}

func parseDigest(s string) (d [sha256.Size]byte, ok bool) {
	if len(s) != 2*len(d) {
		return d, false
	}
	for i := range d {
		hi, lo := nibble(s[2*i]), nibble(s[2*i+1])
		if hi < 0 || lo < 0 {
			return d, false
		}
		d[i] = byte(hi<<4 | lo)
	}
	return d, true
}

func nibble(c byte) int {
	return strings.IndexByte("0123456789abcdef", c)
}

func routeKey(host, prefix string) string { return host + "\n" + prefix }

// Fleet returns the declaration. Its slices are shared: do not modify them.
func (x *Index) Fleet() declarer.Fleet { return x.fleet }

// Centre returns a data centre by name.
func (x *Index) Centre(name string) (declarer.Centre, bool) {
	c, ok := x.centres[name]
	return c, ok
}

// Service returns a service by name, or nil.
func (x *Index) Service(name string) *declarer.Service { return x.services[name] }

// Workspace returns a workspace by name, or nil.
func (x *Index) Workspace(name string) *declarer.Workspace { return x.workspaces[name] }

// WorkspaceByKey returns the workspace that owns the key, or nil.
func (x *Index) WorkspaceByKey(key string) *declarer.Workspace {
	return x.keys[sha256.Sum256([]byte(key))]
}

// Route returns the route of a request, or nil if none matches. A route for the
// named host takes precedence over one for any host, then the longest prefix of
// whole path segments. A prefix that ends in a slash begins only paths that
// contain the slash.
func (x *Index) Route(method, host, path string) *declarer.Route {
	if r := x.routeForHost(method, host, path); r != nil || host == "" {
		return r
	}
	return x.routeForHost(method, "", path)
}

func (x *Index) routeForHost(method, host, path string) *declarer.Route {
	for prefix := path; prefix != ""; prefix = parentPrefix(prefix) {
		for _, r := range x.routes[routeKey(host, prefix)] {
			if allowsMethod(r, method) {
				return r
			}
		}
	}
	return nil
}

// parentPrefix returns the next shorter prefix of whole path segments: that of
// /a/b is /a/, and that of /a/ is /a.
func parentPrefix(prefix string) string {
	if parent, ok := strings.CutSuffix(prefix, "/"); ok {
		return parent
	}
	return prefix[:strings.LastIndexByte(prefix, '/')+1]
}

func allowsMethod(r *declarer.Route, method string) bool {
	if len(r.Methods) == 0 || slices.Contains(r.Methods, method) {
		return true
	}
	return method == http.MethodHead && slices.Contains(r.Methods, http.MethodGet)
}
