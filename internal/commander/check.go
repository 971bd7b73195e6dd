package commander

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/zinniaproxy/zinniaproxy/pkg/coder"
	"github.com/zinniaproxy/zinniaproxy/pkg/declarer"
)

// standardInput is the file name that selects the standard input.
const standardInput = "-"

func (c *Commander) check() *ffcli.Command {
	schema := false
	return c.command("check", func(_ context.Context, files []string) error {
		if schema {
			return c.print(string(declarer.Schema()))
		}
		if len(files) == 0 {
			return coder.New(coder.BadSettings, "file: name at least one, or - for the standard input")
		}
		var errs []error
		for _, name := range files {
			errs = append(errs, c.checkFile(name))
		}
		return reportAllButLast(errs, c.printError)
	}, func(set *flag.FlagSet) {
		set.BoolVar(&schema, "schema", false, "print the JSON schema of a declaration")
	})
}

// reportAllButLast passes all errors but the last to report and returns the last.
func reportAllButLast(errs []error, report func(error)) error {
	var last error
	for _, err := range errs {
		if err == nil {
			continue
		}
		if last != nil {
			report(last)
		}
		last = err
	}
	return last
}

func (c *Commander) checkFile(name string) error {
	f, err := c.readDeclaration(name)
	if err != nil {
		return err
	}
	return c.printf("%s: good: %d centres, %d services, %d workspaces, %d routes\n",
		name, len(f.Centres), len(f.Services), len(f.Workspaces), len(f.Routes))
}

// readDeclaration reads a declaration from a file or the standard input. The
// paths of an InvalidError's problems are prefixed with the file's name.
func (c *Commander) readDeclaration(name string) (declarer.Fleet, error) {
	in, err := c.openInput(name)
	if err != nil {
		return declarer.Fleet{}, err
	}
	defer in.Close()
	f, err := declarer.Read(in)
	var invalid *declarer.InvalidError
	if errors.As(err, &invalid) {
		for i := range invalid.Problems {
			invalid.Problems[i].Path = name + ": " + invalid.Problems[i].Path
		}
	}
	return f, err
}

// openInput opens a file, or the standard input for "-".
func (c *Commander) openInput(name string) (io.ReadCloser, error) {
	if name == standardInput {
		return io.NopCloser(c.In), nil
	}
	f, err := os.Open(name)
	if err != nil {
		return nil, coder.New(coder.BadSettings, "file: %v", withoutOperation(err))
	}
	return f, nil
}

// withoutOperation drops the operation, such as "open", from a path error.
func withoutOperation(err error) error {
	var pathError *os.PathError
	if errors.As(err, &pathError) {
		return fmt.Errorf("%s: %w", pathError.Path, pathError.Err)
	}
	return err
}
