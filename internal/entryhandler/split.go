package entryhandler

import (
	"math"
	"math/rand/v2"
	"sync"

	"github.com/zinniaproxy/zinniaproxy/pkg/declarer"
)

// goldenRatioFraction is the fractional part of the golden ratio. The fractional
// parts of its multiples spread most evenly over 0 to 1, so that even few
// requests follow a route's weights.
const goldenRatioFraction = 0.6180339887498949

// splitPoints holds the last point of each split route by the route's name.
type splitPoints struct {
	mu     sync.Mutex
	points map[string]float64
}

// splitPoint returns the point in [0, 1) that selects the service of the next
// request in the route's split.
func (h *Handler) splitPoint(route *declarer.Route) float64 {
	if len(route.Parts) == 0 {
		return 0
	}
	s := &h.splitPoints
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.points == nil {
		s.points = map[string]float64{}
	}
	point, ok := s.points[route.Name]
	if !ok {
		point = rand.Float64()
	}
	_, point = math.Modf(point + goldenRatioFraction)
	s.points[route.Name] = point
	return point
}
