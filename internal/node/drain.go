package node

import (
	"time"

	"github.com/zinniaproxy/zinniaproxy/internal/configurer"
	"github.com/zinniaproxy/zinniaproxy/internal/drainer"
	"github.com/zinniaproxy/zinniaproxy/internal/messenger"
	"github.com/zinniaproxy/zinniaproxy/internal/settingsloader"
	"github.com/zinniaproxy/zinniaproxy/internal/targetregistrar"
	"github.com/zinniaproxy/zinniaproxy/internal/tracer"
)

func newDrainer(s settingsloader.Settings, p Platform, cfg *configurer.Configurer, r *targetregistrar.Registrar, t *tracer.Tracer) *drainer.Drainer {
	return &drainer.Drainer{
		Notice: millisOrDefault(s.Notice, drainer.DefaultNotice), Keep: millisOrDefault(s.Keep, 0),
		FinishTimeout: drainer.DefaultFinishTimeout, Tracer: t,
		Schedule: func(began time.Time) (acceptUntil, end time.Time) { return stopSchedule(s, p, began) },
		Targets:  r.Targets, CentreOut: func() bool { return isCentreOut(cfg, s.Centre) },
	}
}

// stopSchedule returns, for a node that began to stop at a time, until when it
// accepts requests that may outlast it, and when it ends.
func stopSchedule(s settingsloader.Settings, p Platform, began time.Time) (acceptUntil, end time.Time) {
	s = p.settings(s)
	killTimeout := time.Duration(s.Grace * float64(time.Second))
	if killTimeout == 0 {
		killTimeout = defaultKillTimeout
	}
	accept := max(millisOrDefault(s.Linger, 0), min(maxStopAccept, killTimeout/2))
	return began.Add(accept), lastStopSignal(p, began).Add(killTimeout - exitReserve)
}

// lastStopSignal returns when the node last received a stop signal. Each
// further signal restarts the time allowed for the stop.
func lastStopSignal(p Platform, first time.Time) time.Time {
	if p.LiveSettings == nil {
		return first
	}
	if t := p.LiveSettings.LastStopSignal(); t.After(first) {
		return t
	}
	return first
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
