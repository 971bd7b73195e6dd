package node

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/zinniaproxy/zinniaproxy/internal/indexer"
	"github.com/zinniaproxy/zinniaproxy/internal/loadprober"
	"github.com/zinniaproxy/zinniaproxy/internal/messenger"
	"github.com/zinniaproxy/zinniaproxy/internal/picker"
)

// Guards against hedges and a full data centre that looks idle while its targets
// have reached the rates that they state: they hold few calls, but have no room.
func TestExhaustedTargetsCountAsFull(t *testing.T) {
	target := messenger.Target{Name: "t", Service: "s", Node: "n", Centre: "c", Slots: 7, Limit: 7, Trust: messenger.Sound}
	load := func(r loadprober.Report) float64 {
		p := &picker.Picker{
			Centre: "c", Targets: func(string) []messenger.Target { return []messenger.Target{target} },
			Index: func() *indexer.Index { return nil }, Rand: func() float64 { return 0 },
		}
		p.Candidates("s", nil, 1, false)
		for range 200 {
			p.RecordLoad(target, reportedLoad(r))
		}
		return p.OwnCentreLoad("s")
	}
	qt.Check(t, load(loadprober.Report{InFlight: 1, Limit: 7}) < 0.2, qt.IsTrue)
	qt.Check(t, load(loadprober.Report{InFlight: 1, Limit: 7, Exhausted: true}) >= maxHedgeLoad, qt.IsTrue)
}
