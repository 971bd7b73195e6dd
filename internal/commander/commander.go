// Package commander implements the command line: it parses flags, environment
// variables and files, and calls the packages that do the work.
package commander

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/zinniaproxy/zinniaproxy/internal/logger"
	"github.com/zinniaproxy/zinniaproxy/internal/settingsloader"
	"github.com/zinniaproxy/zinniaproxy/pkg/coder"
)

const (
	program = "zinniaproxy"
	// envPrefix is the prefix of the environment variables that set flags.
	envPrefix = "ZINNIA"
	// requestTimeout bounds one request to a node's admin address or the store.
	requestTimeout = 5 * time.Second
)

// Commander runs one command line. Set the fields before Run.
type Commander struct {
	// In, Out and Err are the standard streams.
	In       io.Reader
	Out, Err io.Writer
	// RunNode runs a node until ctx ends.
	RunNode func(ctx context.Context, s *settingsloader.Live, out *logger.Logger) error

	// arguments are those after the command's name.
	arguments []string
	// helpCommand is the command whose help page -h prints.
	helpCommand string
}

// Run runs the command named by the first of args and returns the exit code.
func (c *Commander) Run(ctx context.Context, args []string) int {
	c.arguments = args[min(1, len(args)):]
	root := c.root()
	err := root.Parse(args)
	switch {
	case errors.Is(err, flag.ErrHelp):
		err = c.print(helpPage(c.helpCommand))
	case err != nil:
		err = coder.New(coder.BadSettings, "%v", err)
	default:
		err = root.Run(ctx)
	}
	if err == nil {
		return ExitOK
	}
	c.printError(err)
	return exitCode(err)
}

func (c *Commander) root() *ffcli.Command {
	root := c.command("", c.rootHelp, nil)
	root.Name = program
	root.Subcommands = []*ffcli.Command{
		c.demo(), c.check(), c.diff(), c.apply(), c.show(), c.release(), c.timeline(), c.explain(), c.account(), c.node(), c.load(), c.target(), c.store(), c.help(),
	}
	return root
}

// command returns a command whose help text is the page of the same name. Its
// flags can also be set by environment variables.
func (c *Commander) command(name string, exec func(context.Context, []string) error, addFlags func(*flag.FlagSet)) *ffcli.Command {
	set := flag.NewFlagSet(name, flag.ContinueOnError)
	set.SetOutput(io.Discard)
	if addFlags != nil {
		addFlags(set)
	}
	return &ffcli.Command{
		Name: name, FlagSet: set, Exec: exec, Options: []ff.Option{ff.WithEnvVarPrefix(envPrefix)},
		UsageFunc: func(*ffcli.Command) string {
			c.helpCommand = name
			return ""
		},
	}
}

// rootHelp handles a command line without a known command.
func (c *Commander) rootHelp(_ context.Context, args []string) error {
	if len(args) > 0 {
		return coder.New(coder.BadSettings, "no command %.40q; see %s help", args[0], program)
	}
	return c.print(helpPage(""))
}

func (c *Commander) print(text string) error {
	_, err := io.WriteString(c.Out, text)
	return err
}

func (c *Commander) printf(format string, args ...any) error {
	return c.print(fmt.Sprintf(format, args...))
}

// newHTTPClient returns a client for admin addresses of nodes.
func newHTTPClient() *http.Client {
	return &http.Client{Timeout: requestTimeout}
}

// numberFlag is a flag with a number, which may be a fraction.
type numberFlag float64

// String implements flag.Value.
func (n *numberFlag) String() string { return strconv.FormatFloat(float64(*n), 'g', -1, 64) }

// Set implements flag.Value.
func (n *numberFlag) Set(s string) error {
	v, err := strconv.ParseFloat(s, 64)
	if err != nil {
		return fmt.Errorf("%.80q is not a number", s)
	}
	*n = numberFlag(v)
	return nil
}

// listFlag is a flag with several values, separated by commas or given by
// repeating the flag.
type listFlag []string

// String implements flag.Value.
func (l *listFlag) String() string { return strings.Join(*l, ",") }

// Set implements flag.Value.
func (l *listFlag) Set(s string) error {
	for word := range strings.SplitSeq(s, ",") {
		if word = strings.TrimSpace(word); word != "" {
			*l = append(*l, word)
		}
	}
	return nil
}

// rejectArguments returns an error if arguments follow the flags.
func rejectArguments(args []string) error {
	if len(args) > 0 {
		return coder.New(coder.BadSettings, "argument %.40q: this command takes no arguments", args[0])
	}
	return nil
}
