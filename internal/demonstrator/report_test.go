package demonstrator

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestGuaranteeReportNeedsCasesWithoutViolations(t *testing.T) {
	for _, tc := range []struct {
		cases, violations int
		allHeld           bool
	}{{5, 0, true}, {5, 1, false}, {0, 0, false}} {
		var report guaranteeReport
		report.add("a guarantee", 1, 0, "")
		report.add("another", tc.cases, tc.violations, "")
		var b strings.Builder
		allHeld, err := report.write(&b)
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, allHeld, qt.Equals, tc.allHeld, qt.Commentf("%s", b.String()))
	}
}
