package node

import (
	"context"

	"github.com/zinniaproxy/zinniaproxy/internal/attemptsender"
	"github.com/zinniaproxy/zinniaproxy/internal/linker"
)

// components holds the results of the providers before bind connects them.
type components Node

// bind connects components that depend on each other, which the providers
// cannot do, and registers the handlers of queries from other nodes.
func bind(c components) *Node {
	bindState(c)
	bindLimits(c)
	registerMetrics(c)
	c.Linker.Handle(linker.MethodCall, withEntry(attemptsender.Serve(c.ExitHandler)))
	c.Linker.Handle(linker.MethodReserve, c.ReservationServer.Handle)
	linker.HandleTypedQuery(c.Linker, linker.MethodFence, answerFence(c.Deduper))
	linker.HandleTypedQuery(c.Linker, linker.MethodQuarantine, c.Quarantiner.Handle)
	linker.HandleTypedQuery(c.Linker, linker.MethodRecord, c.IdempotencyRecorder.Handle)
	bindLoad(c)
	c.TargetRegistrar.ApplyVerdict = drainOnStop(c.Drainer, c.TargetRegistrar.ApplyVerdict)
	c.Drainer.WithdrawTargets = c.TargetRegistrar.RefreshVerdicts
	c.Drainer.NotifyPeers = func(ctx context.Context) {
		c.Prober.Leave()
		go c.IdempotencyRecorder.Release(ctx)
	}
	n := Node(c)
	return &n
}
