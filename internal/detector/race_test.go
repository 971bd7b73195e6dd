package detector

import (
	"sync"
	"testing"

	"github.com/zinniaproxy/zinniaproxy/internal/messenger"
)

// TestWatchDuringPeerSelection updates an announcement while peers are
// selected. Under -race it fails if the two share a target without its lock.
func TestWatchDuringPeerSelection(_ *testing.T) {
	d := &Detector{
		Peers: func(string) []messenger.Target { return []messenger.Target{{Name: "other", Service: "s"}} },
		Rand:  func(int) int { return 0 },
	}
	d.Watch(messenger.Target{Name: "own", Service: "s"}, 1)
	var wg sync.WaitGroup
	wg.Go(func() {
		for i := range 100 {
			d.Watch(messenger.Target{Name: "own", Service: "s", Slots: i}, 1)
		}
	})
	wg.Go(func() {
		for range 100 {
			d.selectPeers(d.lookup("own"))
		}
	})
	wg.Wait()
}
