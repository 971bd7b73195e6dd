// Command harmattan prints the fleet of Harmattan Glide Works: a bench
// ordering mesh for wax-bench shops and ski clubs.
package main

import (
	"fmt"
	"os"

	"github.com/zinniaproxy/zinniaproxy/pkg/declarer"
)

func main() {
	if err := fleet().Print(os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// fleet returns the whole declaration. Its keys are only for trying the example.
// For real keys use WithDigest, which keeps the key out of the source.
func fleet() declarer.Fleet {
	f := declarer.Fleet{}
	for _, name := range []string{"jos-a", "jos-b", "jos-c"} {
		f = f.WithCentre(declarer.Centre{Name: name, Region: "ng-central"})
	}
	for _, s := range services {
		f = f.WithService(s)
	}
	for _, w := range workspaces {
		f = f.WithWorkspace(w.WithKey("2026", "example-"+w.Name))
	}
	for _, r := range routes {
		f = f.WithRoute(r)
	}
	return f
}

var services = []declarer.Service{
	{Name: "booking", Slots: 7, Cold: 2, Floor: 0.7},
	{Name: "guides", Slots: 7, Cold: 2, Floor: 0.6},
	{Name: "stock", Slots: 7, Cold: 2, Floor: 0.6},
}

// workspaces holds eight workspaces, two of them large.
var workspaces = []declarer.Workspace{
	{Name: "plateau-ski", Rate: 400, Burst: 800, Weight: 4},
	{Name: "jos-wax", Rate: 300, Burst: 600, Weight: 4},
	{Name: "shere-club", Rate: 60, Burst: 120},
	{Name: "bukuru-bench", Rate: 60, Burst: 120},
	{Name: "rayfield-glide", Rate: 40, Burst: 80},
	{Name: "vom-nordic", Rate: 40, Burst: 80},
	{Name: "riyom-edge", Rate: 20, Burst: 40},
	{Name: "mesh", Rate: 200, Burst: 400, Weight: 2},
}

// routes: the catalogue and the guides need no key and are deferrable, bookings
// and payments run at most once, and the services' own stock lookups are
// idempotent.
var routes = []declarer.Route{
	{Name: "catalogue", Path: "/catalogue", Methods: []string{"GET"}, Service: "guides", Open: true, Wait: true, Deadline: 8_000},
	{Name: "guides", Path: "/guides", Methods: []string{"GET"}, Service: "guides", Open: true, Wait: true, Deadline: 8_000},
	{Name: "slots", Path: "/bookings", Methods: []string{"GET"}, Service: "booking", Deadline: 2_000},
	{Name: "bookings", Path: "/bookings", Methods: []string{"POST"}, Service: "booking", Once: true, Deadline: 4_000},
	{Name: "payments", Path: "/payments", Methods: []string{"POST"}, Service: "booking", Once: true, Deadline: 6_000},
	{Name: "stock", Path: "/stock", Methods: []string{"GET"}, Service: "stock", Workspace: "mesh", Deadline: 500},
}
