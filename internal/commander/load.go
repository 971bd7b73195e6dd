package commander

import (
	"context"
	"flag"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/zinniaproxy/zinniaproxy/internal/loadgenerator"
	"github.com/zinniaproxy/zinniaproxy/internal/settingsloader"
	"github.com/zinniaproxy/zinniaproxy/pkg/coder"
)

type loadFlags struct {
	plan             string
	entries, targets listFlag
	rate, seconds    float64
	seed             uint64
	remote, json     bool
}

func (c *Commander) load() *ffcli.Command {
	var f loadFlags
	return c.command("load", func(ctx context.Context, args []string) error {
		if err := rejectArguments(args); err != nil {
			return err
		}
		return c.runLoad(ctx, f)
	}, func(set *flag.FlagSet) {
		set.StringVar(&f.plan, "plan", "", "file with the plan; - is the standard input")
		set.Var(&f.entries, "entries", "addresses that take callers, in place of the plan's")
		set.Var(&f.targets, "targets", "addresses of fake targets, in place of the plan's")
		set.Float64Var(&f.rate, "rate", 0, "requests a second, in place of the plan's")
		set.Float64Var(&f.seconds, "seconds", 0, "how long to send, in place of the plan's")
		set.Uint64Var(&f.seed, "seed", 0, "seed of the random choice of calls, in place of the plan's")
		set.BoolVar(&f.remote, "remote", false, "allow addresses other than loopback ones")
		set.BoolVar(&f.json, "json", false, "report as JSON")
	})
}

// override returns the plan with its values replaced by those of the given flags.
func (f loadFlags) override(p loadgenerator.Plan) loadgenerator.Plan {
	if len(f.entries) > 0 {
		p.Entries = f.entries
	}
	if len(f.targets) > 0 {
		p.Targets = f.targets
	}
	if f.rate != 0 {
		p.Rate = f.rate
	}
	if f.seconds != 0 {
		p.Seconds = f.seconds
	}
	if f.seed != 0 {
		p.Seed = f.seed
	}
	p.Remote = p.Remote || f.remote
	return p
}

func (c *Commander) runLoad(ctx context.Context, f loadFlags) error {
	if f.plan == "" {
		return coder.New(coder.BadSettings, "plan: name a file, or - for the standard input")
	}
	in, err := c.openInput(f.plan)
	if err != nil {
		return err
	}
	defer in.Close()
	plan, err := loadgenerator.Read(in)
	if err != nil {
		return err
	}
	plan = f.override(plan)
	if err := settingsloader.AsInvalidError(plan.Check()); err != nil {
		return err
	}
	report, err := (&loadgenerator.Generator{Plan: plan}).Run(ctx)
	if err != nil {
		return err
	}
	return c.printReport(report, f.json)
}

func (c *Commander) printReport(r *loadgenerator.Report, json bool) error {
	var b strings.Builder
	write := r.WriteText
	if json {
		write = r.WriteJSON
	}
	if err := write(&b); err != nil {
		return err
	}
	if err := c.print(b.String()); err != nil {
		return err
	}
	if r.GuaranteeBroken() {
		return errGuaranteeBroken
	}
	return nil
}
