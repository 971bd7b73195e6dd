package declarer

import (
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestDiffReportsChangesAndIgnoresItemOrder(t *testing.T) {
	c := qt.New(t)
	before := validFleet()
	after := before.WithCentreOut("jos-a", true).WithoutRoute("book").
		WithWorkspace(before.Workspaces[0].WithRate(20, 20).WithDigest("second", "d").WithoutKey("first")).
		WithService(Service{Name: "stock", Slots: 1, Cold: 1})
	var got []string
	for _, change := range Diff(before, after) {
		got = append(got, change.String())
	}
	c.Assert(got, qt.DeepEquals, []string{
		`+ centres[jos-a].out: true`,
		`- routes[book]: {"name":"book","path":"/book","methods":["POST"],"service":"booking","once":true,"deadline":3000}`,
		`+ services[stock]: {"name":"stock","slots":1,"cold":1,"floor":0}`,
		`- workspaces[club].keys[first]: {"name":"first","digest":"` + Digest("secret") + `"}`,
		`+ workspaces[club].keys[second]: {"name":"second","digest":"d"}`,
		`~ workspaces[club].rate: 10 -> 20`,
	})
	reordered := after
	reordered.Services = slices.Clone(after.Services)
	slices.Reverse(reordered.Services)
	c.Assert(Diff(after, reordered), qt.HasLen, 0)
}
