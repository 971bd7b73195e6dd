// Command standin-2 plays the cases of the review: it starts the project's nodes as
// separate processes on loopback addresses, and plays their platform, clients and
// upstreams. It exits with 0 if the rule held, 1 if it was broken, and 2 if the case
// could not run.
package main

import (
	"flag"
	"fmt"
	"os"
	"runtime"
)

// options are what a case is started with.
type options struct {
	wire                     wire
	record                   *record
	binary, template, folder string
	trouble                  bool
}

// cases holds the cases by name. Each returns whether the rule was broken.
var cases = map[string]func(f *fleet) (broken bool, err error){}

func main() {
	runtime.LockOSThread() // the nodes end with the thread that started them
	name := flag.String("case", "", "the case to play")
	wirePath := flag.String("wire", "review/standin-2/wire.json", "the platform's names")
	binary := flag.String("binary", "target/zinniaproxy", "the node's program")
	template := flag.String("template", "deploy/settings.json", "the template of its settings")
	recordPath := flag.String("record", "record.txt", "where to write what happened")
	trouble := flag.String("trouble", "1", "0 leaves the disruption out")
	flag.Parse()
	os.Exit(play(*name, *wirePath, *recordPath, options{binary: *binary, template: *template, trouble: *trouble != "0"}))
}

func play(name, wirePath, recordPath string, o options) int {
	fail := func(err error) int {
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		return 2
	}
	run, ok := cases[name]
	if !ok {
		return fail(fmt.Errorf("no case %q", name))
	}
	var err error
	if o.wire, err = readWire(wirePath); err != nil {
		return fail(err)
	}
	if o.record, err = newRecord(recordPath); err != nil {
		return fail(err)
	}
	if o.folder, err = os.MkdirTemp("", "review-"); err != nil {
		return fail(err)
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(o.folder)
	} else {
		fmt.Println(o.folder)
	}
	f, err := newFleet(o)
	if err != nil {
		return fail(err)
	}
	defer f.close()
	broken, err := run(f)
	switch {
	case err != nil:
		return fail(err)
	case broken:
		fmt.Println("the rule was broken")
		return 1
	}
	fmt.Println("the rule held")
	return 0
}
