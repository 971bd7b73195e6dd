package settingsloader

import (
	"errors"
	"os"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestSettingsReload checks that changed settings take effect without a signal,
// and that the previous ones stay in force while they cannot be read.
func TestSettingsReload(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := validSettings().WithDefaults()
		l := NewLive(s)
		var mu sync.Mutex
		var events []string
		next, readErr := s, error(nil)
		locked := func(f func()) {
			mu.Lock()
			defer mu.Unlock()
			f()
		}
		l.OnEvent = func(event, detail string) { locked(func() { events = append(events, event+": "+detail) }) }
		l.Read = func() (Settings, error) {
			mu.Lock()
			defer mu.Unlock()
			return next, readErr
		}
		reload, stop := make(chan os.Signal, 1), make(chan os.Signal, 1)
		go l.Run(t.Context(), reload, stop)

		locked(func() { next.Slack = 7 })
		time.Sleep(2 * time.Second)
		synctest.Wait()
		qt.Check(t, l.Current().Slack, qt.Equals, 7.0)

		locked(func() { readErr = errors.New("not JSON") })
		time.Sleep(5 * time.Second)
		synctest.Wait()
		qt.Check(t, l.Current().Slack, qt.Equals, 7.0)

		locked(func() { readErr = nil })
		reload <- syscall.SIGHUP
		synctest.Wait()
		mu.Lock()
		defer mu.Unlock()
		qt.Check(t, events, qt.DeepEquals, []string{
			"settings-changed: slack", "settings-refused: not JSON", "settings-read: nothing changed",
		})
	})
}

func TestRepeatedStopUpdatesTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := NewLive(validSettings())
		stop := make(chan os.Signal, 1)
		go l.Run(t.Context(), nil, stop)
		qt.Check(t, l.LastStopSignal().IsZero(), qt.IsTrue)
		stop <- syscall.SIGTERM
		synctest.Wait()
		first := l.LastStopSignal()
		time.Sleep(2 * time.Second)
		stop <- syscall.SIGTERM
		synctest.Wait()
		qt.Check(t, l.LastStopSignal().Sub(first), qt.Equals, 2*time.Second)
	})
}
