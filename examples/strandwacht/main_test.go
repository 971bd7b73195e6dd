package main

import (
	"bytes"
	"os"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/zinniaproxy/zinniaproxy/pkg/declarer"
)

func TestFleetFileMatchesSource(t *testing.T) {
	c := qt.New(t)
	var got bytes.Buffer
	c.Assert(fleet().Print(&got), qt.IsNil)
	want, err := os.ReadFile("fleet.json")
	c.Assert(err, qt.IsNil)
	c.Assert(got.String(), qt.Equals, string(want))
	f, err := declarer.Read(&got)
	c.Assert(err, qt.IsNil)
	c.Assert(f.Workspaces, qt.HasLen, 8)
}
