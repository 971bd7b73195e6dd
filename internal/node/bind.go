package node

import (
	"context"

	"github.com/zinniaproxy/zinniaproxy/internal/forwarder"
	"github.com/zinniaproxy/zinniaproxy/internal/linker"
)

// parts are what the providers made, before they know each other.
type parts Node

// bind ties the knots that providers cannot: parts that need each other, and
// the handlers of questions from other nodes.
func bind(p parts) *Node {
	bindState(p)
	bindLimits(p)
	measure(p)
	p.Linker.Handle(linker.MethodCall, forwarder.Serve(p.Dispatcher))
	linker.HandleMessage(p.Linker, linker.MethodFence, fence(p.Deduper))
	linker.HandleMessage(p.Linker, linker.MethodRecord, p.Records.Handle)
	bindLoad(p)
	p.Registrar.Judge = judgeLeaving(p.Drainer, p.Registrar.Judge)
	p.Drainer.Tell = func(ctx context.Context) {
		p.Prober.Leave()
		p.Registrar.Rejudge()
		go p.Records.Release(ctx)
	}
	n := Node(p)
	return &n
}
