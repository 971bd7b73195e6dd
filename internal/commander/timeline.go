package commander

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/zinniaproxy/zinniaproxy/internal/drawer"
	"github.com/zinniaproxy/zinniaproxy/internal/tabler"
	"github.com/zinniaproxy/zinniaproxy/internal/tracer"
	"github.com/zinniaproxy/zinniaproxy/internal/viewer"
	"github.com/zinniaproxy/zinniaproxy/pkg/coder"
)

// eventTimeFormat is the layout of an event's time in the table.
const eventTimeFormat = "15:04:05.000000"

type timelineFlags struct {
	admins listFlag
	filter viewer.Filter
	json   bool
	html   string
}

func (c *Commander) timeline() *ffcli.Command {
	var f timelineFlags
	return c.command("timeline", func(ctx context.Context, args []string) error {
		if err := rejectArguments(args); err != nil {
			return err
		}
		return c.runTimeline(ctx, f)
	}, func(set *flag.FlagSet) {
		set.Var(&f.admins, "admin", "admin addresses of nodes")
		set.StringVar(&f.filter.Request, "request", "", "only this request")
		set.StringVar(&f.filter.Target, "target", "", "only this target")
		set.StringVar(&f.filter.Workspace, "workspace", "", "only this workspace")
		set.StringVar(&f.filter.Centre, "centre", "", "only this data centre")
		set.StringVar(&f.filter.Node, "node", "", "only this node")
		set.StringVar(&f.filter.Kind, "kind", "", "only this kind")
		set.BoolVar(&f.json, "json", false, "print as JSON")
		set.StringVar(&f.html, "html", "", "write an HTML page to this file")
	})
}

func (c *Commander) runTimeline(ctx context.Context, f timelineFlags) error {
	if len(f.admins) == 0 {
		f.admins = listFlag{defaultAdmin}
	}
	events, errs := newViewer().Timeline(ctx, f.admins)
	for _, err := range errs {
		c.printError(fmt.Errorf("node omitted: %w", err))
	}
	if len(errs) > 0 && events == nil {
		return errors.New("no node answered")
	}
	return c.printEvents(f, f.filter.Apply(events))
}

func (c *Commander) printEvents(f timelineFlags, events []tracer.Event) error {
	switch {
	case f.html != "":
		return c.writePage(f.html, events)
	case f.json:
		return c.printJSON(events)
	}
	rows := [][]string{{"time", "node", "centre", "kind", "request", "target", "workspace", "detail"}}
	for _, e := range events {
		rows = append(rows, []string{
			e.Time.Format(eventTimeFormat), e.Node, e.Centre, e.Kind, e.Request, e.Target, e.Workspace, e.Detail,
		})
	}
	return tabler.Write(c.Out, rows)
}

func (c *Commander) writePage(name string, events []tracer.Event) error {
	if err := writeFile("html", name, func(w io.Writer) error { return drawer.Write(w, events) }); err != nil {
		return err
	}
	return c.printf("%s: %d events\n", name, len(events))
}

// writeFile writes the file that a flag names.
func writeFile(flagName, name string, write func(w io.Writer) error) error {
	f, err := os.Create(name)
	if err != nil {
		return coder.New(coder.BadSettings, "%s: %v", flagName, withoutOperation(err))
	}
	return errors.Join(write(f), f.Close())
}
