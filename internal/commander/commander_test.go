package commander

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"regexp"
	"strings"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rogpeppe/go-internal/testscript"

	"github.com/zinniaproxy/zinniaproxy/internal/logger"
	"github.com/zinniaproxy/zinniaproxy/internal/node"
	"github.com/zinniaproxy/zinniaproxy/internal/settingsloader"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"zinniaproxy": func() {
		ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
		defer stop()
		c := &Commander{In: os.Stdin, Out: os.Stdout, Err: os.Stderr, RunNode: node.RunProcess}
		if os.Getenv("PRINT") != "" {
			c.RunNode = printSettings
		}
		os.Exit(c.Run(ctx, os.Args[1:]))
	}})
}

// printSettings replaces a node: it logs the start, prints the settings as JSON
// and returns at once.
func printSettings(_ context.Context, live *settingsloader.Live, out *logger.Logger) error {
	s := live.Current()
	log := node.NewPlatform(s, out).Log
	log.Info("node started")
	log.V(4).Info("details")
	return json.NewEncoder(os.Stdout).Encode(s)
}

func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Setup: func(e *testscript.Env) error {
			e.Vars = append(e.Vars, "EXAMPLES="+examplesDir(t), "GORACE=atexit_sleep_ms=10")
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"exitcode": execWithExitCode, "address": freeAddress, "waitlisten": waitForListener, "waitready": waitForReady, "send": sendRequest, "waitoutput": waitForOutput,
		},
	})
}

func examplesDir(t *testing.T) string {
	dir, err := os.Getwd()
	qt.Assert(t, err, qt.IsNil)
	return dir + "/../../examples"
}

// execWithExitCode runs the program and checks its exit code: exitcode CODE ARGS...
func execWithExitCode(ts *testscript.TestScript, _ bool, args []string) {
	err := ts.Exec("zinniaproxy", args[1:]...)
	code := "0"
	if err != nil {
		code = strings.TrimPrefix(err.Error(), "exit status ")
	}
	if code != args[0] {
		ts.Fatalf("exit code %s, want %s", code, args[0])
	}
}

// freeAddress sets a variable to a free loopback address: address NAME
func freeAddress(ts *testscript.TestScript, _ bool, args []string) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	ts.Check(err)
	ts.Setenv(args[0], ln.Addr().String())
	ts.Check(ln.Close())
}

// waitForListener waits until something listens at an address: waitlisten ADDRESS
func waitForListener(ts *testscript.TestScript, _ bool, args []string) {
	for range 500 {
		c, err := net.Dial("tcp", args[0])
		if err == nil {
			ts.Check(c.Close())
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	ts.Fatalf("nothing listens at %s", args[0])
}

// waitForReady waits until a node reports that it is ready: waitready ADMIN
func waitForReady(ts *testscript.TestScript, _ bool, args []string) {
	for range 600 {
		res, err := http.Get("http://" + args[0] + "/v1/ready")
		if err == nil {
			ts.Check(res.Body.Close())
			if res.StatusCode == http.StatusOK {
				return
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	ts.Fatalf("%s did not become ready", args[0])
}

// waitForOutput runs the program until its output contains a text: waitoutput TEXT ARGS...
func waitForOutput(ts *testscript.TestScript, _ bool, args []string) {
	for range 100 {
		if ts.Exec("zinniaproxy", args[1:]...) == nil && strings.Contains(ts.ReadFile("stdout"), args[0]) {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	ts.Fatalf("%v never showed %q", args[1:], args[0])
}

// sendRequest sends a request and prints status and body: send METHOD URL [BODY]
func sendRequest(ts *testscript.TestScript, _ bool, args []string) {
	body := ""
	if len(args) > 2 {
		body = args[2]
	}
	req, err := http.NewRequest(args[0], args[1], strings.NewReader(body))
	ts.Check(err)
	res, err := http.DefaultClient.Do(req)
	ts.Check(err)
	b, err := io.ReadAll(res.Body)
	ts.Check(errors.Join(err, res.Body.Close()))
	_, err = fmt.Fprintf(ts.Stdout(), "%d %s\n", res.StatusCode, b)
	ts.Check(err)
}

// helpPageHeadings matches the headings that each command's page must have.
var helpPageHeadings = regexp.MustCompile(`(?s)^# zinniaproxy.*## Exit codes.*## Examples?\n`)

func TestEachCommandHasHelpPage(t *testing.T) {
	c := qt.New(t)
	root := (&Commander{}).root()
	for _, command := range root.Subcommands {
		text := helpPage(command.Name)
		c.Check(helpPageHeadings.MatchString(text), qt.IsTrue, qt.Commentf("%s", command.Name))
		c.Check(helpPage(""), qt.Contains, fmt.Sprintf("| `%s` |", command.Name))
	}
}
