package settingsloader

import (
	"context"
	"os"
	"reflect"
	"strings"
	"sync/atomic"
	"time"
)

// reloadInterval is how often the settings are read without a reload signal, so
// that a change takes effect within a few seconds.
const reloadInterval = time.Second

// Live holds the settings in force, which operators may change while the node
// runs. Only ratio, slack, excess, linger and grace take effect without a
// restart, and slack only if it was above 0 at the start.
type Live struct {
	// Read reads the settings again, fills in defaults and checks them. Nil
	// means that they never change.
	Read func() (Settings, error)
	// OnEvent logs changed and unchanged settings, stop signals, and settings
	// that are refused, in which case the previous ones stay in force. Nil drops
	// these events.
	OnEvent func(event, detail string)

	current         atomic.Pointer[Settings]
	stopRequestedAt atomic.Pointer[time.Time]
	// lastError is the text of Read's latest error, empty after a success. It
	// keeps a repeated error from being reported at each reload.
	lastError string
}

// NewLive returns a Live with s in force.
func NewLive(s Settings) *Live {
	l := &Live{}
	l.current.Store(&s)
	return l
}

// Current returns the settings in force.
func (l *Live) Current() Settings { return *l.current.Load() }

// RecordStop records the time of a stop signal, which may be a repeated one.
func (l *Live) RecordStop() {
	now := time.Now()
	l.stopRequestedAt.Store(&now)
}

// LastStopSignal returns the time of the last stop signal, zero before the
// first.
func (l *Live) LastStopSignal() time.Time {
	if t := l.stopRequestedAt.Load(); t != nil {
		return *t
	}
	return time.Time{}
}

// Run reads the settings on each reload signal and every reloadInterval, and
// records each stop signal, until ctx ends.
func (l *Live) Run(ctx context.Context, reload, stop <-chan os.Signal) {
	tick := time.NewTicker(reloadInterval)
	defer tick.Stop()
	for {
		requested := false
		select {
		case <-ctx.Done():
			return
		case <-stop:
			l.RecordStop()
			l.report("told-to-stop", "")
			continue
		case <-reload:
			requested = true
		case <-tick.C:
		}
		l.reload(requested)
	}
}

// reload reads the settings once and puts them in force if they changed. If they
// were requested by a signal, the result is reported even if nothing changed.
func (l *Live) reload(requested bool) {
	if l.Read == nil {
		return
	}
	next, err := l.Read()
	if err != nil {
		if requested || err.Error() != l.lastError {
			l.report("settings-refused", err.Error())
		}
		l.lastError = err.Error()
		return
	}
	l.lastError = ""
	changed := changedNames(l.Current(), next)
	if len(changed) == 0 {
		if requested {
			l.report("settings-read", "nothing changed")
		}
		return
	}
	l.current.Store(&next)
	l.report("settings-changed", strings.Join(changed, ", "))
}

func (l *Live) report(event, detail string) {
	if l.OnEvent != nil {
		l.OnEvent(event, detail)
	}
}

// changedNames returns the lower-case field names of the settings that differ.
func changedNames(a, b any) []string {
	var out []string
	x, y := reflect.ValueOf(a), reflect.ValueOf(b)
	for i := range x.NumField() {
		if limits, ok := x.Field(i).Interface().(Limits); ok {
			out = append(out, changedNames(limits, y.Field(i).Interface())...)
			continue
		}
		if !reflect.DeepEqual(x.Field(i).Interface(), y.Field(i).Interface()) {
			out = append(out, strings.ToLower(x.Type().Field(i).Name))
		}
	}
	return out
}
