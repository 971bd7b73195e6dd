package coder

import (
	"errors"
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestCodesAreUnique(t *testing.T) {
	c := qt.New(t)
	c.Check(len(byCode), qt.Equals, len(results))
	names := map[string]bool{}
	last := Code(-1)
	for _, r := range results {
		c.Check(names[r.Name], qt.IsFalse, qt.Commentf("%s", r.Name))
		c.Check(r.Code > last, qt.IsTrue, qt.Commentf("%s", r.Name))
		names[r.Name], last = true, r.Code
	}
}

func TestUnclassifiedErrorsAreNotReportedAsNotRun(t *testing.T) {
	c := qt.New(t)
	c.Check(Of(errors.New("broken")).Ran(), qt.Equals, RanUnknown)
	c.Check(Of(fmt.Errorf("wrapped: %w", New(Shed, ""))).Ran(), qt.Equals, RanNo)
	c.Check(Lookup(999).Ran, qt.Equals, RanUnknown)
}
