package commander

import (
	"context"
	"encoding/json"
	"flag"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/zinniaproxy/zinniaproxy/internal/tabler"
	"github.com/zinniaproxy/zinniaproxy/internal/viewer"
	"github.com/zinniaproxy/zinniaproxy/pkg/coder"
)

// defaultAdmin is the admin address queried if no flag gives one.
const defaultAdmin = "127.0.0.1:7403"

type showFlags struct {
	admin, service string
	json           bool
}

// showResult is what show prints: value as JSON, or rows as a table.
type showResult struct {
	value any
	rows  [][]string
}

func (c *Commander) show() *ffcli.Command {
	var f showFlags
	return c.command("show", func(ctx context.Context, args []string) error {
		queries := map[string]func(context.Context, showFlags) (showResult, error){
			"nodes": showNodes, "targets": showTargets, "workspaces": showWorkspaces, "quarantine": showQuarantine, "configuration": showConfiguration,
		}
		if len(args) == 1 && args[0] == "declaration" {
			return c.showDeclaration(ctx, f.admin)
		}
		if len(args) != 1 || queries[args[0]] == nil {
			return coder.New(coder.BadSettings, "argument: must be nodes, targets, workspaces, quarantine, configuration or declaration")
		}
		v, err := queries[args[0]](ctx, f)
		if err != nil {
			return err
		}
		if f.json {
			return c.printJSON(v.value)
		}
		return tabler.Write(c.Out, v.rows)
	}, func(set *flag.FlagSet) {
		set.StringVar(&f.admin, "admin", defaultAdmin, "admin address of a node")
		set.StringVar(&f.service, "service", "", "only targets of this service")
		set.BoolVar(&f.json, "json", false, "print as JSON")
	})
}

func (c *Commander) printJSON(v any) error {
	e := json.NewEncoder(c.Out)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

func newViewer() *viewer.Viewer { return &viewer.Viewer{Client: newHTTPClient()} }

func showNodes(ctx context.Context, f showFlags) (showResult, error) {
	nodes, err := newViewer().Nodes(ctx, f.admin)
	rows := [][]string{{"name", "state", "centre", "region", "callers", "link", "admin"}}
	for _, n := range nodes {
		state := n.State
		if n.Leaving {
			state += ", leaving"
		}
		rows = append(rows, []string{n.Name, state, n.Centre, n.Region, n.Callers, n.Link, n.Admin})
	}
	return showResult{nodes, sortRows(rows)}, err
}

func showTargets(ctx context.Context, f showFlags) (showResult, error) {
	targets, err := newViewer().Targets(ctx, f.admin, f.service)
	rows := [][]string{{"name", "node", "centre", "state", "trust", "limit", "slots"}}
	for _, t := range targets {
		rows = append(rows, []string{t.Name, t.Node, t.Centre, t.State, t.Trust, strconv.Itoa(t.Limit), strconv.Itoa(t.Slots)})
	}
	return showResult{targets, sortRows(rows)}, err
}

func showWorkspaces(ctx context.Context, f showFlags) (showResult, error) {
	workspaces, err := newViewer().Workspaces(ctx, f.admin)
	rows := [][]string{{"name", "rate", "burst", "weight", "keys"}}
	for _, w := range workspaces {
		rate := strconv.FormatFloat(w.Rate, 'f', -1, 64)
		rows = append(rows, []string{w.Name, rate, strconv.Itoa(w.Burst), strconv.Itoa(w.Weight), strings.Join(w.Keys, ", ")})
	}
	return showResult{workspaces, sortRows(rows)}, err
}

func showQuarantine(ctx context.Context, f showFlags) (showResult, error) {
	entries, err := newViewer().Quarantine(ctx, f.admin)
	rows := [][]string{{"request", "until", "crashes"}}
	for _, e := range entries {
		rows = append(rows, []string{e.Request, e.Until.UTC().Format(time.RFC3339), strconv.Itoa(e.Crashes)})
	}
	return showResult{entries, sortRows(rows)}, err
}

func showConfiguration(ctx context.Context, f showFlags) (showResult, error) {
	v := newViewer()
	admins, err := v.Admins(ctx, []string{f.admin})
	if err != nil {
		return showResult{}, err
	}
	type row struct {
		Admin string `json:"admin"`
		viewer.Configuration
		Error string `json:"error,omitempty"`
	}
	var results []row
	rows := [][]string{{"admin", "number", "digest", "error"}}
	viewer.QueryEach(ctx, admins, v.Configuration, func(admin string, configuration viewer.Configuration, err error) {
		r := row{Admin: admin, Configuration: configuration}
		if err != nil {
			r.Error = err.Error()
		}
		results = append(results, r)
		rows = append(rows, []string{admin, strconv.FormatUint(configuration.Number, 10), configuration.Digest, r.Error})
	})
	return showResult{results, sortRows(rows)}, nil
}

// showDeclaration prints the declaration as JSON that can be applied.
func (c *Commander) showDeclaration(ctx context.Context, admin string) error {
	f, err := newViewer().Declaration(ctx, admin)
	if err != nil {
		return err
	}
	return f.Print(c.Out)
}

// sortRows sorts the rows after the heading by their first cell, in place.
func sortRows(rows [][]string) [][]string {
	slices.SortFunc(rows[1:], func(a, b []string) int { return strings.Compare(a[0], b[0]) })
	return rows
}
