package quarantiner

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/zinniaproxy/zinniaproxy/internal/messenger"
)

// Guards against a fleet that forgets a quarantine, or takes a released request
// back into it, when it restarts after the store was restored from an older copy.
func TestRestorationChangesNoQuarantine(t *testing.T) {
	run(t, 9, func(t *testing.T, f *fleet) {
		released, fatal := &messenger.Call{URI: "/released"}, &messenger.Call{URI: "/fatal"}
		f.crash(released)
		time.Sleep(time.Second)
		copied := time.Now()
		time.Sleep(time.Second)
		qt.Assert(t, f.nodes["n5"].Release(released.Fingerprint()), qt.IsTrue)
		f.crash(fatal)
		time.Sleep(3 * time.Second)
		entries, err := f.store.Client().List(t.Context(), KeyPrefix)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, entries, qt.HasLen, 1)

		f.store.Restore(copied)
		f.noteEra(2)
		time.Sleep(3 * time.Second)
		after, err := f.store.Client().List(t.Context(), KeyPrefix)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, after, qt.HasLen, 1)
		qt.Check(t, after[0].Key, qt.Equals, entries[0].Key)
		f.restartAll(t)
		time.Sleep(5 * time.Second)
		qt.Check(t, f.admitting(fatal), qt.Equals, 0)
		qt.Check(t, f.admitting(released), qt.Equals, 9)
	})
}
