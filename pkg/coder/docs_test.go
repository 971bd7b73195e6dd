package coder

import (
	"fmt"
	"os"
	"regexp"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

var rowPattern = regexp.MustCompile("^\\| [0-9]+ \\| `")

// docsRow returns the expected row of r in the table of docs/codes.md.
func docsRow(r Result) string {
	retry := "no"
	if r.Retry {
		retry = "yes"
	}
	return fmt.Sprintf("| %d | `%s` | %d | %s | %s | %s |", r.Code, r.Name, r.Status, r.Ran, retry, r.Text)
}

// TestDocsListEveryCode compares the table in docs/codes.md with All.
func TestDocsListEveryCode(t *testing.T) {
	b, err := os.ReadFile("../../docs/codes.md")
	qt.Assert(t, err, qt.IsNil)
	var got []string
	for line := range strings.Lines(string(b)) {
		if rowPattern.MatchString(line) {
			got = append(got, strings.TrimSpace(line))
		}
	}
	for i, r := range All() {
		qt.Assert(t, i < len(got), qt.IsTrue, qt.Commentf("docs/codes.md has no row %s", docsRow(r)))
		qt.Assert(t, got[i], qt.Equals, docsRow(r))
	}
	qt.Assert(t, got, qt.HasLen, len(All()))
}
