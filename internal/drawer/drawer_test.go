package drawer

import (
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/zinniaproxy/zinniaproxy/internal/tracer"
)

func TestWritePlacesEventsAndEscapesText(t *testing.T) {
	c := qt.New(t)
	start := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	var b strings.Builder
	c.Assert(Write(&b, []tracer.Event{
		{Time: start, Node: "b1", Kind: "target-announced", Target: "booking@127.0.0.1:1"},
		{Time: start.Add(time.Second), Node: "a1", Kind: "request-refused", Detail: "<script>"},
	}), qt.IsNil)
	for _, want := range []string{
		`<text x="4" y="68">a1</text>`, `<text x="4" y="96">b1</text>`,
		`<circle cx="140" cy="96" r="5" fill="#1b6ca8">`, `<circle cx="1172" cy="68" r="5" fill="#c0392b">`,
		`03:04:05.000`, `&lt;script&gt;`,
	} {
		c.Check(b.String(), qt.Contains, want)
	}
	c.Check(b.String(), qt.Not(qt.Contains), "<script>")
	c.Assert(Write(&b, nil), qt.IsNil)
}
