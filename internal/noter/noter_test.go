package noter

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/zinniaproxy/zinniaproxy/internal/messenger"
)

// A note outlasts a restart of the node beside the target, but not one of the
// target's process, nor the time that a leaving process may still serve.
func TestNotesFollowTheProcess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var n Noter
		target := messenger.Target{Name: "s@a:1", Instance: "i-1", Epoch: 1, Start: 5}
		rediscovered, replaced := target, target
		rediscovered.Epoch, rediscovered.Start = 2, 0
		replaced.Epoch, replaced.Instance = 3, "i-2"
		n.Record(target, messenger.Statement{Limited: true, Rate: 2})
		qt.Check(t, n.Statement(rediscovered), qt.Equals, messenger.Statement{Limited: true, Rate: 2})
		qt.Check(t, n.Statement(replaced), qt.Equals, messenger.Statement{})
		n.Record(target, messenger.Statement{Leaving: true})
		n.Record(target, messenger.Statement{})
		qt.Check(t, n.Leaving(rediscovered), qt.IsTrue)
		qt.Check(t, n.Leaving(replaced), qt.IsFalse)
		time.Sleep(retention + time.Second)
		qt.Check(t, n.Leaving(target), qt.IsFalse)
		n.Record(replaced, messenger.Statement{Leaving: true})
		qt.Check(t, n.notes, qt.HasLen, 1)
	})
}

// Targets without an instance are told apart by the start that they announce.
func TestNotesOfTargetsWithoutInstance(t *testing.T) {
	var n Noter
	target := messenger.Target{Name: "s@a:1", Epoch: 1, Start: 5}
	replaced := target
	replaced.Start = 6
	n.Record(target, messenger.Statement{Leaving: true})
	qt.Check(t, n.Leaving(target), qt.IsTrue)
	qt.Check(t, n.Leaving(replaced), qt.IsFalse)
	n.Record(replaced, messenger.Statement{Limited: true, Rate: 1})
	n.Record(replaced, messenger.Statement{})
	qt.Check(t, n.notes, qt.HasLen, 1)
}

// Guards against a target without calls for two minutes: its process stated that it
// leaves and was started again under the same instance.
func TestNotesEndWithTheProcessOfAnInstance(t *testing.T) {
	var n Noter
	target := messenger.Target{Name: "s@a:1", Instance: "i-1", Epoch: 1, Start: 5}
	restarted, unknown := target, target
	restarted.Epoch, restarted.Start = 2, 6
	unknown.Start = 0
	n.Record(target, messenger.Statement{Leaving: true})
	qt.Check(t, n.Leaving(restarted), qt.IsFalse)
	qt.Check(t, n.Leaving(unknown), qt.IsTrue)
	n.Record(restarted, messenger.Statement{Limited: true, Rate: 2})
	n.Record(target, messenger.Statement{Leaving: true}) // a late response of the first process
	qt.Check(t, n.Statement(restarted), qt.Equals, messenger.Statement{Limited: true, Rate: 2})
	n.Record(unknown, messenger.Statement{Limited: true, Rate: 3})
	qt.Check(t, n.Statement(restarted), qt.Equals, messenger.Statement{Limited: true, Rate: 3})
	n.Record(restarted, messenger.Statement{})
	qt.Check(t, n.notes, qt.HasLen, 0)
}
