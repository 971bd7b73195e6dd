package commander

import (
	"context"
	"io"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/zinniaproxy/zinniaproxy/internal/configurer"
	"github.com/zinniaproxy/zinniaproxy/internal/demonstrator"
	"github.com/zinniaproxy/zinniaproxy/internal/logger"
	"github.com/zinniaproxy/zinniaproxy/internal/storer"
	"github.com/zinniaproxy/zinniaproxy/pkg/declarer"
)

func (c *Commander) demo() *ffcli.Command {
	return c.command("demo", func(ctx context.Context, args []string) error {
		if err := rejectArguments(args); err != nil {
			return err
		}
		d := &demonstrator.Demonstrator{Out: c.Out, Log: &logger.Logger{Out: io.Discard}, Apply: applyDeclaration}
		guaranteesHeld, err := d.Run(ctx)
		if err == nil && !guaranteesHeld {
			err = errGuaranteeBroken
		}
		return err
	}, nil)
}

// applyDeclaration applies a declaration on top of the configuration in the
// store and returns the number of the new configuration.
func applyDeclaration(ctx context.Context, store *storer.Store, f declarer.Fleet) (uint64, error) {
	parent, _, err := readConfiguration(ctx, store)
	if err != nil {
		return 0, err
	}
	return configurer.Apply(ctx, store, parent, f, newChangeIdentity())
}
