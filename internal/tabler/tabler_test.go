package tabler

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestWriteAlignsColumns(t *testing.T) {
	var b strings.Builder
	qt.Assert(t, Write(&b, [][]string{{"name", "count", "note"}, {"é", "7", ""}, {"long name", "123456", "x"}}), qt.IsNil)
	qt.Assert(t, b.String(), qt.Equals, ""+
		"name       count   note\n"+
		"é               7\n"+
		"long name  123456  x\n")
}
