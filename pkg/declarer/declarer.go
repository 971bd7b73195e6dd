// Package declarer is the operators' library for describing a fleet: immutable
// values that print as JSON for the fleet's store.
//
// A Go program builds a Fleet with With methods and prints it as a declaration:
//
//	f := declarer.Fleet{}.
//		WithCentre(declarer.Centre{Name: "jos-a", Region: "ng-central"}).
//		WithService(declarer.Service{Name: "booking", Slots: 7, Cold: 2})
//	f.Print(os.Stdout)
package declarer

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"slices"
	"strings"
)

// Fleet is a complete declaration. The zero value is an empty fleet. A Fleet is
// immutable: With methods return a new one.
type Fleet struct {
	// Centres are the data centres, with unique names.
	Centres []Centre `json:"centres"`
	// Services are the services that targets announce, with unique names.
	Services []Service `json:"services"`
	// Workspaces are the customers, with unique names.
	Workspaces []Workspace `json:"workspaces"`
	// Routes map host, path and method to a service, with unique names.
	Routes []Route `json:"routes"`
}

// Centre is one data centre.
type Centre struct {
	// Name is unique in the fleet.
	Name string `json:"name"`
	// Region is the name of the data centre's region.
	Region string `json:"region"`
	// Out reports whether the data centre is drained: it accepts no new
	// requests.
	Out bool `json:"out,omitempty"`
}

// Service is a set of targets that serve the same requests.
type Service struct {
	// Name is unique in the fleet.
	Name string `json:"name"`
	// Slots is how many requests a warm target of the service runs
	// concurrently, unless the target announces fewer. At least 1.
	Slots int `json:"slots"`
	// Cold is the cold limit: how many concurrent requests a cold target
	// accepts, 1 to Slots.
	Cold int `json:"cold"`
	// Floor is the minimum fraction of the announced targets that must remain
	// selectable when others are ejected, 0 to 1.
	Floor float64 `json:"floor"`
	// Health is the path of the targets' health check endpoint. Empty means
	// that there is none.
	Health string `json:"health,omitempty"`
	// Pace is how many requests per second a cold target accepts. 0 means no
	// limit other than Cold.
	Pace float64 `json:"pace,omitempty"`
	// Echo reports whether each response of a target repeats the Zinnia-Request
	// header of its request; a response without it is rejected with code cut.
	// Without Echo the header is compared only if present.
	Echo bool `json:"echo,omitempty"`
}

// Workspace is one customer, with its own keys, rate limit and weight.
type Workspace struct {
	// Name is unique in the fleet.
	Name string `json:"name"`
	// Rate is how many requests per second the workspace may send to the whole
	// fleet on average. Above 0.
	Rate float64 `json:"rate"`
	// Burst is how many requests it may send at once after a pause. At least 1.
	Burst int `json:"burst"`
	// Rank is the priority of its requests; 1 is the highest. 0 means the
	// route's rank.
	Rank int `json:"rank,omitempty"`
	// Weight is its share of a busy target relative to other workspaces. 0
	// means 1.
	Weight int `json:"weight,omitempty"`
	// Keys are the valid keys, whose digests are unique in the fleet.
	Keys []Key `json:"keys"`
}

// Key is one key of a workspace. Only its digest is stored and sent.
type Key struct {
	// Name identifies the key for the operator, unique in the workspace.
	Name string `json:"name"`
	// Digest is the lower-case hex SHA-256 of the key.
	Digest string `json:"digest"`
}

// Route directs requests to a service.
type Route struct {
	// Name is unique in the fleet.
	Name string `json:"name"`
	// Host is the host name that the route matches; empty means any.
	Host string `json:"host,omitempty"`
	// Path is a prefix of whole path segments and starts with a slash. One that
	// ends in a slash matches only paths that contain it: /book/ does not match
	// /book, and /book matches both /book and /book/7. The longest matching prefix
	// wins.
	Path string `json:"path"`
	// Methods are the HTTP methods that the route matches; empty means all.
	Methods []string `json:"methods,omitempty"`
	// Service is the name of the service that handles the requests.
	Service string `json:"service"`
	// Parts split the requests among services by weight; empty directs all to
	// Service.
	Parts []Part `json:"parts,omitempty"`
	// Open allows requests without a key.
	Open bool `json:"open,omitempty"`
	// Workspace restricts the route to one workspace; empty allows the keys of
	// all workspaces. It must be empty if Open is set.
	Workspace string `json:"workspace,omitempty"`
	// Once marks the route's calls as non-idempotent: they run at most once.
	// Otherwise they are idempotent and may be retried and hedged.
	Once bool `json:"once,omitempty"`
	// Wait marks the requests as deferrable: others are served first.
	Wait bool `json:"wait,omitempty"`
	// Rank is the priority of the requests; 0 is the highest.
	Rank int `json:"rank,omitempty"`
	// Aim is the latency objective in milliseconds: the time within which a
	// response is worth the most to its caller. 0 means Deadline.
	Aim int `json:"aim,omitempty"`
	// Tries limits how many targets one request may be sent to. 0 means the
	// fleet's default.
	Tries int `json:"tries,omitempty"`
	// Deadline is the longest time that a request may take, in milliseconds.
	Deadline int `json:"deadline"`
}

// Part is the share of a route's requests that one service receives.
type Part struct {
	// Service is the name of the service.
	Service string `json:"service"`
	// Weight is the share relative to the route's other parts.
	Weight int `json:"weight"`
}

// Part returns the service that receives the requests at a point of the route's
// weighted split. point is at least 0 and below 1.
func (r *Route) Part(point float64) string {
	total := 0
	for _, p := range r.Parts {
		total += p.Weight
	}
	left := point * float64(total)
	for _, p := range r.Parts {
		if left -= float64(p.Weight); left < 0 {
			return p.Service
		}
	}
	return r.Service
}

// Digest returns the lower-case hex SHA-256 of a key, as stored in Key.Digest.
func Digest(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// upsert returns a copy of list in which item replaces the item with the same
// name, or is appended if there is none.
func upsert[T any](list []T, item T, name func(T) string) []T {
	out := slices.Clone(list)
	for i := range out {
		if name(out[i]) == name(item) {
			out[i] = item
			return out
		}
	}
	return append(out, item)
}

// removeByName returns a copy of list without the named item.
func removeByName[T any](list []T, name string, nameOf func(T) string) []T {
	return slices.DeleteFunc(slices.Clone(list), func(t T) bool { return nameOf(t) == name })
}

func centreName(c Centre) string       { return c.Name }
func serviceName(s Service) string     { return s.Name }
func workspaceName(w Workspace) string { return w.Name }
func routeName(r Route) string         { return r.Name }
func keyName(k Key) string             { return k.Name }

// WithCentre returns a fleet with the data centre added or replaced.
func (f Fleet) WithCentre(c Centre) Fleet {
	f.Centres = upsert(f.Centres, c, centreName)
	return f
}

// WithCentreOut returns a fleet with Out of the named data centre set to out.
func (f Fleet) WithCentreOut(name string, out bool) Fleet {
	f.Centres = slices.Clone(f.Centres)
	for i := range f.Centres {
		if f.Centres[i].Name == name {
			f.Centres[i].Out = out
		}
	}
	return f
}

// WithService returns a fleet with the service added or replaced.
func (f Fleet) WithService(s Service) Fleet {
	f.Services = upsert(f.Services, s, serviceName)
	return f
}

// WithWorkspace returns a fleet with the workspace added or replaced.
func (f Fleet) WithWorkspace(w Workspace) Fleet {
	f.Workspaces = upsert(f.Workspaces, w, workspaceName)
	return f
}

// WithoutWorkspace returns a fleet without the named workspace.
func (f Fleet) WithoutWorkspace(name string) Fleet {
	f.Workspaces = removeByName(f.Workspaces, name, workspaceName)
	return f
}

// WithRoute returns a fleet with the route added or replaced.
func (f Fleet) WithRoute(r Route) Fleet {
	f.Routes = upsert(f.Routes, r, routeName)
	return f
}

// WithoutRoute returns a fleet without the named route.
func (f Fleet) WithoutRoute(name string) Fleet {
	f.Routes = removeByName(f.Routes, name, routeName)
	return f
}

// WithKey returns a workspace with the digest of key added or replaced under
// name.
func (w Workspace) WithKey(name, key string) Workspace {
	return w.WithDigest(name, Digest(key))
}

// WithDigest returns a workspace with the digest of a key added or replaced
// under name, so that a declaration need not contain the key.
func (w Workspace) WithDigest(name, digest string) Workspace {
	w.Keys = upsert(w.Keys, Key{Name: name, Digest: digest}, keyName)
	return w
}

// WithoutKey returns a workspace without the named key.
func (w Workspace) WithoutKey(name string) Workspace {
	w.Keys = removeByName(w.Keys, name, keyName)
	return w
}

// WithRate returns a workspace with the given rate, in requests per second, and
// burst, in requests.
func (w Workspace) WithRate(rate float64, burst int) Workspace {
	w.Rate, w.Burst = rate, burst
	return w
}

// Sorted returns the fleet with its items and their keys sorted by name, the
// order in which it is printed and stored. It does not modify f.
func (f Fleet) Sorted() Fleet {
	f.Centres = sortedByName(f.Centres, centreName)
	f.Services = sortedByName(f.Services, serviceName)
	f.Workspaces = sortedByName(f.Workspaces, workspaceName)
	f.Routes = sortedByName(f.Routes, routeName)
	for i := range f.Workspaces {
		f.Workspaces[i].Keys = sortedByName(f.Workspaces[i].Keys, keyName)
	}
	return f
}

func sortedByName[T any](list []T, name func(T) string) []T {
	out := append([]T{}, list...)
	slices.SortStableFunc(out, func(a, b T) int { return strings.Compare(name(a), name(b)) })
	return out
}

// Print writes the fleet as stable, indented JSON that ends with a newline.
func (f Fleet) Print(w io.Writer) error {
	b, err := json.MarshalIndent(f.Sorted(), "", "  ")
	if err != nil {
		return err
	}
	_, err = w.Write(append(b, '\n'))
	return err
}
