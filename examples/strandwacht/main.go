// Command strandwacht prints the fleet of Strandwacht Diensten: the flag rota
// for coastal lifeguard posts.
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
	for _, name := range []string{"kust-a", "kust-b", "kust-c", "kust-d"} {
		f = f.WithCentre(declarer.Centre{Name: name, Region: "be-kust"})
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
	{Name: "flags", Slots: 6, Cold: 2, Floor: 0.7},
	{Name: "roster", Slots: 6, Cold: 2, Floor: 0.6},
}

// workspaces holds eight workspaces, two of them large.
var workspaces = []declarer.Workspace{
	{Name: "oostende", Rate: 200, Burst: 400, Weight: 4},
	{Name: "knokke", Rate: 150, Burst: 300, Weight: 4},
	{Name: "nieuwpoort", Rate: 40, Burst: 80},
	{Name: "depanne", Rate: 40, Burst: 80},
	{Name: "blankenberge", Rate: 40, Burst: 80},
	{Name: "bredene", Rate: 30, Burst: 60},
	{Name: "zeebrugge", Rate: 20, Burst: 40},
	{Name: "tideboard", Rate: 100, Burst: 200, Weight: 2},
}

// routes: post chiefs look up the tower and confirm a flag at most once, the
// weekly schedule needs no key and is deferrable, and the tide boards fetch
// roster lists unattended.
var routes = []declarer.Route{
	{Name: "tower", Path: "/towers", Methods: []string{"GET"}, Service: "roster", Deadline: 2_000},
	{Name: "flags", Path: "/flags", Methods: []string{"GET"}, Service: "flags", Deadline: 2_000},
	{Name: "confirm", Path: "/flags", Methods: []string{"POST"}, Service: "flags", Once: true, Deadline: 5_000},
	{Name: "schedule", Path: "/schedule", Methods: []string{"GET"}, Service: "roster", Open: true, Wait: true, Deadline: 10_000},
	{Name: "lists", Path: "/lists", Methods: []string{"GET"}, Service: "roster", Workspace: "tideboard", Deadline: 3_000},
}
