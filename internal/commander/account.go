package commander

import (
	"context"
	"flag"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/zinniaproxy/zinniaproxy/internal/accounter"
)

func (c *Commander) account() *ffcli.Command {
	var chart string
	return c.command("account", func(_ context.Context, args []string) error {
		in, closeLogs, err := c.openLogs(args)
		if err != nil {
			return err
		}
		defer closeLogs()
		a, err := accounter.Read(in)
		if err != nil {
			return err
		}
		if chart != "" {
			if err := writeFile("svg", chart, a.WriteChart); err != nil {
				return err
			}
		}
		return a.Write(c.Out)
	}, func(set *flag.FlagSet) {
		set.StringVar(&chart, "svg", "", "draw the requests over time to this file")
	})
}
