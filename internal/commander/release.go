package commander

import (
	"context"
	"flag"
	"fmt"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/zinniaproxy/zinniaproxy/internal/messenger"
	"github.com/zinniaproxy/zinniaproxy/pkg/coder"
)

func (c *Commander) release() *ffcli.Command {
	var admin string
	return c.command("release", func(ctx context.Context, args []string) error {
		if len(args) != 1 {
			return coder.New(coder.BadSettings, "argument: must be the fingerprint of a request")
		}
		if _, err := messenger.ParseFingerprint(args[0]); err != nil {
			return coder.New(coder.BadSettings, "argument: %.40q is not a fingerprint", args[0])
		}
		released, err := newViewer().Release(ctx, admin, args[0])
		if err != nil {
			return err
		}
		if !released {
			return fmt.Errorf("request %s is not in quarantine", args[0])
		}
		return c.printf("released %s\n", args[0])
	}, func(set *flag.FlagSet) {
		set.StringVar(&admin, "admin", defaultAdmin, "admin address of a node")
	})
}
