// Program rig plays one case of this review: it starts a small deployment, sends
// requests and checks one rule.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// cases are the cases by name. Each returns why its rule was broken, or "".
var cases = map[string]func(f *fleet, trouble bool) (broken string, err error){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig CASE FOLDER")
		os.Exit(2)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

func play(name, folder string) int {
	f, err := newFleet(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer f.stop(os.Getenv("KEEP") != "")
	broken, err := cases[name](f, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		f.note("the case could not run: %v", err)
		fmt.Println("could not run:", err)
		if os.Getenv("KEEP") != "" {
			fmt.Println(f.folder)
		}
		return 2
	case broken != "":
		f.note("BROKEN: %s", broken)
		fmt.Println("BROKEN:", broken)
		return 1
	}
	f.note("held")
	fmt.Println("held")
	return 0
}
