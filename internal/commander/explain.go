package commander

import (
	"context"
	"io"
	"os"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/zinniaproxy/zinniaproxy/internal/explainer"
	"github.com/zinniaproxy/zinniaproxy/pkg/coder"
)

func (c *Commander) explain() *ffcli.Command {
	return c.command("explain", func(_ context.Context, args []string) error {
		if len(args) == 0 {
			return coder.New(coder.BadSettings, "argument: must be a request ID, then any number of log files")
		}
		in, closeLogs, err := c.openLogs(args[1:])
		if err != nil {
			return err
		}
		defer closeLogs()
		events, err := explainer.Read(in, args[0])
		if err != nil {
			return err
		}
		return explainer.Write(c.Out, events)
	}, nil)
}

// openLogs returns the concatenated contents of the named files, or the
// standard input if there are no names. The caller calls closeLogs.
func (c *Commander) openLogs(names []string) (in io.Reader, closeLogs func(), err error) {
	if len(names) == 0 {
		return c.In, func() {}, nil
	}
	var readers []io.Reader
	var files []io.Closer
	closeLogs = func() {
		for _, f := range files {
			f.Close()
		}
	}
	for _, name := range names {
		f, err := os.Open(name)
		if err != nil {
			closeLogs()
			return nil, nil, coder.New(coder.BadSettings, "file: %v", withoutOperation(err))
		}
		readers, files = append(readers, f), append(files, f)
	}
	return io.MultiReader(readers...), closeLogs, nil
}
