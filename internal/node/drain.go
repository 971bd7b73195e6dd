package node

import (
	"github.com/zinniaproxy/zinniaproxy/internal/configurer"
	"github.com/zinniaproxy/zinniaproxy/internal/drainer"
	"github.com/zinniaproxy/zinniaproxy/internal/messenger"
	"github.com/zinniaproxy/zinniaproxy/internal/settingsloader"
	"github.com/zinniaproxy/zinniaproxy/internal/targetregistrar"
	"github.com/zinniaproxy/zinniaproxy/internal/tracer"
)

func newDrainer(s settingsloader.Settings, cfg *configurer.Configurer, r *targetregistrar.Registrar, t *tracer.Tracer) *drainer.Drainer {
	return &drainer.Drainer{
		Notice: millisOrDefault(s.Notice, drainer.DefaultNotice), Keep: millisOrDefault(s.Keep, 0),
		FinishTimeout: drainer.DefaultFinishTimeout, Tracer: t,
		Targets: r.Targets, CentreOut: func() bool { return isCentreOut(cfg, s.Centre) },
	}
}

// drainOnStop wraps applyVerdict so that the targets of a stopping node are
// draining; gossip carries this state to the peers.
func drainOnStop(d *drainer.Drainer, applyVerdict func(messenger.Target) messenger.Target) func(messenger.Target) messenger.Target {
	return func(t messenger.Target) messenger.Target {
		t = applyVerdict(t)
		if d.TargetsLeave() {
			t.State = messenger.Draining
		}
		return t
	}
}
