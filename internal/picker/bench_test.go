package picker

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/zinniaproxy/zinniaproxy/internal/indexer"
	"github.com/zinniaproxy/zinniaproxy/internal/messenger"
)

// BenchmarkPick chooses among 52 targets in 6 data centres, the planned size of
// a service.
func BenchmarkPick(b *testing.B) {
	var targets []messenger.Target
	for i := range 52 {
		targets = append(targets, messenger.Target{
			Name: fmt.Sprint("s@", i), Service: "s", Node: fmt.Sprint(i), Centre: fmt.Sprint(i % 6),
			Slots: 7, Limit: 7, Trust: messenger.Sound,
		})
	}
	p := &Picker{
		Centre: "0", Rand: rand.Float64,
		Targets: func(string) []messenger.Target { return targets },
		Index:   func() *indexer.Index { return nil },
	}
	b.ReportAllocs()
	for b.Loop() {
		_, done, err := p.Pick("s", nil)
		if err != nil {
			b.Fatal(err)
		}
		done(Outcome{Answered: true, Head: messenger.ResponseHead{InFlight: 1, Limit: 7}})
	}
}
