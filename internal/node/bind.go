package node

import (
	"context"

	"github.com/zinniaproxy/zinniaproxy/internal/forwarder"
	"github.com/zinniaproxy/zinniaproxy/internal/linker"
)

// components holds the results of the providers before bind connects them.
type components Node

// bind connects components that depend on each other, which the providers
// cannot do, and registers the handlers of queries from other nodes.
func bind(p components) *Node {
	bindState(p)
	bindLimits(p)
	registerMetrics(p)
	p.Linker.Handle(linker.MethodCall, forwarder.Serve(p.Dispatcher))
	linker.HandleMessage(p.Linker, linker.MethodFence, answerFence(p.Deduper))
	linker.HandleMessage(p.Linker, linker.MethodRecord, p.IdempotencyRecorder.Handle)
	bindLoad(p)
	p.Registrar.Judge = drainOnStop(p.Drainer, p.Registrar.Judge)
	p.Drainer.Tell = func(ctx context.Context) {
		p.Prober.Leave()
		p.Registrar.Rejudge()
		go p.IdempotencyRecorder.Release(ctx)
	}
	n := Node(p)
	return &n
}
