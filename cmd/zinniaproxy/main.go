// Command zinniaproxy is the fleet's only program: it runs the node, the
// operators' commands, and the fake store and targets.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/zinniaproxy/zinniaproxy/internal/commander"
	"github.com/zinniaproxy/zinniaproxy/internal/logger"
	"github.com/zinniaproxy/zinniaproxy/internal/node"
	"github.com/zinniaproxy/zinniaproxy/internal/settingsloader"
	"github.com/zinniaproxy/zinniaproxy/platform"
)

func main() {
	os.Exit(run())
}

func run() int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	c := &commander.Commander{In: os.Stdin, Out: os.Stdout, Err: os.Stderr, RunNode: runNode}
	return c.Run(ctx, os.Args[1:])
}

// runNode runs a node with the dialect that its settings select.
func runNode(ctx context.Context, s *settingsloader.Live, out *logger.Logger) error {
	if s.Current().Dialect == settingsloader.DialectPlatform {
		return platform.RunNode(ctx, s, out)
	}
	return node.RunProcess(ctx, s, out)
}
