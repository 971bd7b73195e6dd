package commander

import (
	"context"
	"crypto/rand"
	"flag"
	"fmt"
	"net/http"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/zinniaproxy/zinniaproxy/internal/configurer"
	"github.com/zinniaproxy/zinniaproxy/internal/storer"
	"github.com/zinniaproxy/zinniaproxy/internal/viewer"
	"github.com/zinniaproxy/zinniaproxy/pkg/coder"
	"github.com/zinniaproxy/zinniaproxy/pkg/declarer"
)

const (
	// defaultApplyTimeout bounds the retries of a change while the store does
	// not confirm its outcome.
	defaultApplyTimeout = 10 * time.Second
	// inForcePollInterval is the pause between two queries of all nodes.
	inForcePollInterval = 100 * time.Millisecond
	// maxApplyWait bounds the --wait and --timeout flags.
	maxApplyWait = 10 * time.Minute
)

// parentNotGiven selects the current configuration as the parent.
const parentNotGiven = -1

type applyFlags struct {
	store, admin, identity string
	parent                 int64
	above                  uint64
	wait, timeout          time.Duration
	json                   bool
}

func (f *applyFlags) addStoreFlag(set *flag.FlagSet) {
	set.StringVar(&f.store, "store", "http://127.0.0.1:7400", "URL of the platform's store")
}

func (c *Commander) apply() *ffcli.Command {
	var f applyFlags
	return c.command("apply", func(ctx context.Context, args []string) error {
		next, err := c.readDeclarationArgument(args)
		if err != nil {
			return err
		}
		return c.runApply(ctx, f, next)
	}, func(set *flag.FlagSet) {
		f.addStoreFlag(set)
		set.StringVar(&f.admin, "admin", defaultAdmin, "admin address of a node, for --wait")
		set.Int64Var(&f.parent, "parent", parentNotGiven, "number of the configuration that the change is based on")
		set.Uint64Var(&f.above, "above", 0, "give the change a number above this one")
		set.StringVar(&f.identity, "identity", "", "identity of the change; repeat it to retry a change whose outcome is unknown")
		set.DurationVar(&f.timeout, "timeout", defaultApplyTimeout, "how long to retry while the store does not answer")
		set.DurationVar(&f.wait, "wait", 0, "how long to wait until the change is in force on all nodes")
	})
}

func (c *Commander) diff() *ffcli.Command {
	var f applyFlags
	return c.command("diff", func(ctx context.Context, args []string) error {
		next, err := c.readDeclarationArgument(args)
		if err != nil {
			return err
		}
		return c.runDiff(ctx, f, next)
	}, func(set *flag.FlagSet) {
		f.addStoreFlag(set)
		set.BoolVar(&f.json, "json", false, "print as JSON")
	})
}

// readDeclarationArgument reads the declaration from the single file in args.
func (c *Commander) readDeclarationArgument(args []string) (declarer.Fleet, error) {
	if len(args) != 1 {
		return declarer.Fleet{}, coder.New(coder.BadSettings, "file: name exactly one, or - for the standard input")
	}
	return c.readDeclaration(args[0])
}

func (f applyFlags) newStore() (*storer.Store, error) {
	u, err := url.Parse(f.store)
	if err != nil || u.Scheme == "" || u.Host == "" {
		return nil, coder.New(coder.BadSettings, "store: %.80q: must be a URL, such as http://127.0.0.1:7400", f.store)
	}
	return storer.Dial(f.store, &http.Client{Timeout: requestTimeout}), nil
}

func (c *Commander) runDiff(ctx context.Context, f applyFlags, next declarer.Fleet) error {
	store, err := f.newStore()
	if err != nil {
		return err
	}
	number, current, err := readConfiguration(ctx, store)
	if err != nil {
		return err
	}
	changes := declarer.Diff(current, next)
	if f.json {
		return c.printJSON(struct {
			Number  uint64            `json:"number"`
			Changes []declarer.Change `json:"changes"`
		}{number, append([]declarer.Change{}, changes...)})
	}
	text := fmt.Sprintf("%d changes to configuration %d\n", len(changes), number)
	for _, change := range changes {
		text += change.String() + "\n"
	}
	return c.print(text)
}

func (c *Commander) runApply(ctx context.Context, f applyFlags, next declarer.Fleet) error {
	if f.wait < 0 || f.wait > maxApplyWait {
		return coder.New(coder.BadSettings, "wait: %v: must be 0s to %v", f.wait, maxApplyWait)
	}
	if f.timeout <= 0 || f.timeout > maxApplyWait {
		return coder.New(coder.BadSettings, "timeout: %v: must be above 0s and at most %v", f.timeout, maxApplyWait)
	}
	store, err := f.newStore()
	if err != nil {
		return err
	}
	applyCtx, cancel := context.WithTimeout(ctx, f.timeout)
	defer cancel()
	parent := uint64(f.parent)
	if f.parent == parentNotGiven {
		if parent, _, err = readConfiguration(applyCtx, store); err != nil {
			return err
		}
	}
	if f.identity == "" {
		f.identity = newChangeIdentity()
	}
	number, err := configurer.ApplyAbove(applyCtx, store, parent, f.above, next, f.identity)
	if err != nil {
		return fmt.Errorf("change %s, made from %d: %w", f.identity, parent, err)
	}
	if err := c.printf("accepted: configuration %d, made from %d\n", number, parent); err != nil {
		return err
	}
	if f.wait == 0 {
		return nil
	}
	return c.waitInForce(ctx, f, number)
}

// newChangeIdentity returns a unique name for a change. A retry finds its own
// earlier write by it and does not take that for another operator's change.
func newChangeIdentity() string {
	host, err := os.Hostname()
	if err != nil {
		host = "operator"
	}
	return host + "-" + rand.Text()
}

// waitInForce waits until all nodes have configuration number or a newer one in
// force, and prints progress.
func (c *Commander) waitInForce(ctx context.Context, f applyFlags, number uint64) error {
	start, lastProgress := time.Now(), ""
	v := newViewer()
	for {
		behind, total := nodesBehind(ctx, v, f.admin, number)
		progress := fmt.Sprintf("in force on %d of %d nodes", total-len(behind), total)
		if progress != lastProgress {
			lastProgress = progress
			if err := c.printf("%s after %.1f s\n", progress, time.Since(start).Seconds()); err != nil {
				return err
			}
		}
		if total > 0 && len(behind) == 0 {
			return nil
		}
		if time.Since(start) >= f.wait {
			return fmt.Errorf("%w: %s", errNotInForce, strings.Join(behind, ", "))
		}
		select {
		case <-time.After(inForcePollInterval):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// nodesBehind describes the nodes whose configuration is older than number or
// unknown, and returns the total number of nodes.
func nodesBehind(ctx context.Context, v *viewer.Viewer, admin string, number uint64) (behind []string, total int) {
	admins, err := v.Admins(ctx, []string{admin})
	if err != nil {
		return []string{admin + " does not answer"}, 0
	}
	viewer.QueryEach(ctx, admins, v.Configuration, func(admin string, configuration viewer.Configuration, err error) {
		switch {
		case err != nil:
			behind = append(behind, admin+" does not answer")
		case configuration.Number < number:
			behind = append(behind, fmt.Sprintf("%s has %d", admin, configuration.Number))
		}
	})
	return behind, len(admins)
}
