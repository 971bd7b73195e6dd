package demonstrator

import (
	"fmt"
	"io"
	"strconv"

	"github.com/zinniaproxy/zinniaproxy/internal/tabler"
)

// guaranteeResult is one guarantee with its counts.
type guaranteeResult struct {
	guarantee string
	// cases is how many cases were observed, violations how many of them broke
	// the guarantee.
	cases, violations int
	note              string
}

// guaranteeReport collects the results of a run.
type guaranteeReport struct {
	results []guaranteeResult
}

// add records a guarantee. One without an observed case was not tested and
// counts as broken.
func (r *guaranteeReport) add(guarantee string, cases, violations int, format string, args ...any) {
	result := guaranteeResult{guarantee: guarantee, cases: cases, violations: violations, note: fmt.Sprintf(format, args...)}
	if cases == 0 {
		result.violations, result.note = 1, "no case was observed"
	}
	r.results = append(r.results, result)
}

// write writes the table and returns whether every guarantee held.
func (r *guaranteeReport) write(w io.Writer) (bool, error) {
	allHeld := true
	rows := [][]string{{"promise", "counted", "broken", ""}}
	for _, result := range r.results {
		allHeld = allHeld && result.violations == 0
		rows = append(rows, []string{result.guarantee, strconv.Itoa(result.cases), strconv.Itoa(result.violations), result.note})
	}
	return allHeld, tabler.Write(w, rows)
}
