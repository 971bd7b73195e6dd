package settler

import (
	"context"
	"os"
	"reflect"
	"strings"
	"sync/atomic"
	"time"
)

// lookEvery is how often the settings are read although nobody said that they
// changed: soon enough for a change to be in force within a few seconds.
const lookEvery = time.Second

// Live holds the settings in force, which operators may change while the node
// runs. Only the figures take effect without a restart: ratio, slack, excess,
// floor, notice, linger and grace.
type Live struct {
	// Read reads the settings anew, with defaults and checked. Nil means that
	// they never change.
	Read func() (Settings, error)
	// Note takes a line on each change, and on settings that are refused, in
	// which case the ones before stay in force.
	Note func(event, detail string)

	current atomic.Pointer[Settings]
	stopped atomic.Pointer[time.Time]
	refused string
}

// NewLive returns settings that begin as s.
func NewLive(s Settings) *Live {
	l := &Live{}
	l.current.Store(&s)
	return l
}

// Current returns the settings in force.
func (l *Live) Current() Settings { return *l.current.Load() }

// Stop notes that the node was told to stop, perhaps again.
func (l *Live) Stop() {
	now := time.Now()
	l.stopped.Store(&now)
}

// Stopped returns when the node was last told to stop, zero before.
func (l *Live) Stopped() time.Time {
	if t := l.stopped.Load(); t != nil {
		return *t
	}
	return time.Time{}
}

// Run reads the settings when told to and now and then, and notes each time
// that the node is told to stop, until ctx ends.
func (l *Live) Run(ctx context.Context, reload, stop <-chan os.Signal) {
	tick := time.NewTicker(lookEvery)
	defer tick.Stop()
	for {
		told := false
		select {
		case <-ctx.Done():
			return
		case <-stop:
			l.Stop()
			l.note("told-to-stop", "")
			continue
		case <-reload:
			told = true
		case <-tick.C:
		}
		l.reload(told)
	}
}

// reload reads the settings once.
func (l *Live) reload(told bool) {
	if l.Read == nil {
		return
	}
	next, err := l.Read()
	if err != nil {
		if told || err.Error() != l.refused {
			l.note("settings-refused", err.Error())
		}
		l.refused = err.Error()
		return
	}
	l.refused = ""
	changed := changes(l.Current(), next)
	if len(changed) == 0 {
		if told {
			l.note("settings-read", "nothing changed")
		}
		return
	}
	l.current.Store(&next)
	l.note("settings-changed", strings.Join(changed, ", "))
}

func (l *Live) note(event, detail string) {
	if l.Note != nil {
		l.Note(event, detail)
	}
}

// changes returns the names of the settings that differ.
func changes(a, b Settings) []string {
	var out []string
	x, y := reflect.ValueOf(a), reflect.ValueOf(b)
	for i := range x.NumField() {
		if !reflect.DeepEqual(x.Field(i).Interface(), y.Field(i).Interface()) {
			out = append(out, strings.ToLower(x.Type().Field(i).Name))
		}
	}
	return out
}
