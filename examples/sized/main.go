// Command sized prints a declaration of a given size, for benchmarks.
package main

import (
	"flag"
	"fmt"
	"os"

	"github.com/zinniaproxy/zinniaproxy/pkg/declarer"
)

func main() {
	workspaces := flag.Int("workspaces", 8, "how many workspaces")
	services := flag.Int("services", 4, "how many services")
	routes := flag.Int("routes", 8, "how many routes")
	flag.Parse()
	if err := sized(*workspaces, *services, *routes).Print(os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// sized appends to the lists directly: the With methods copy the declaration,
// which is too slow for tens of thousands of items.
func sized(workspaces, services, routes int) declarer.Fleet {
	var f declarer.Fleet
	for i := range 6 {
		f.Centres = append(f.Centres, declarer.Centre{Name: fmt.Sprintf("c%d", i), Region: fmt.Sprintf("r%d", i%2)})
	}
	for i := range services {
		f.Services = append(f.Services, declarer.Service{Name: fmt.Sprintf("s%d", i), Slots: 7, Cold: 2, Floor: 0.5})
	}
	for i := range workspaces {
		w := declarer.Workspace{Name: fmt.Sprintf("w%d", i), Rate: 10, Burst: 20}
		f.Workspaces = append(f.Workspaces, w.WithKey("one", fmt.Sprintf("key-of-w%d", i)))
	}
	for i := range routes {
		f.Routes = append(f.Routes, declarer.Route{
			Name: fmt.Sprintf("r%d", i), Path: fmt.Sprintf("/r%d", i),
			Service: fmt.Sprintf("s%d", i%services), Deadline: 2000, Once: i%4 == 3,
		})
	}
	return f
}
