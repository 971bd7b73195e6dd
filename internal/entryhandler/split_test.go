package entryhandler

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/zinniaproxy/zinniaproxy/pkg/declarer"
)

// Even few requests must follow the weights of a split route.
func TestSplitFollowsWeights(t *testing.T) {
	route := &declarer.Route{Name: "r", Service: "a", Parts: []declarer.Part{{Service: "a", Weight: 70}, {Service: "b", Weight: 20}, {Service: "c", Weight: 10}}}
	var h Handler
	counts := map[string]float64{}
	const requests = 100
	for range requests {
		counts[route.Part(h.splitPoint(route))]++
	}
	for _, p := range route.Parts {
		deviation := counts[p.Service]/requests - float64(p.Weight)/100
		qt.Check(t, deviation > -0.03 && deviation < 0.03, qt.IsTrue, qt.Commentf("%s: %v", p.Service, counts[p.Service]))
	}
	plain := &declarer.Route{Name: "s", Service: "a"}
	qt.Check(t, plain.Part(h.splitPoint(plain)), qt.Equals, "a")
}
