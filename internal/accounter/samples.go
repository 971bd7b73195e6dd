package accounter

import (
	"fmt"
	"math"
	"slices"
)

// samples are durations in milliseconds.
type samples struct {
	values []float64
	sorted bool
}

func (s *samples) add(millis float64) { s.values, s.sorted = append(s.values, millis), false }

// quantile returns the smallest value that at least a share q of the values does not
// exceed, or 0 if there are none.
func (s *samples) quantile(q float64) float64 {
	if len(s.values) == 0 {
		return 0
	}
	if !s.sorted {
		slices.Sort(s.values)
		s.sorted = true
	}
	rank := int(math.Ceil(q * float64(len(s.values))))
	return s.values[min(max(rank, 1), len(s.values))-1]
}

// cells returns the median, the 95th percentile and the maximum as cells of a table.
func (s *samples) cells() []string {
	var out []string
	for _, q := range []float64{0.5, 0.95, 1} {
		out = append(out, fmt.Sprintf("%.0f", s.quantile(q)))
	}
	return out
}
