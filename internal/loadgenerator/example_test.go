package loadgenerator

import (
	"os"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/zinniaproxy/zinniaproxy/internal/indexer"
	"github.com/zinniaproxy/zinniaproxy/pkg/declarer"
)

func openFile(t *testing.T, name string) *os.File {
	f, err := os.Open(name)
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = f.Close() })
	return f
}

// TestExamplePlansMatchFleetRoutes checks each call of an example's plan
// against the matching route of the example's fleet.
func TestExamplePlansMatchFleetRoutes(t *testing.T) {
	for _, name := range []string{"harmattan", "strandwacht"} {
		c := qt.New(t)
		fleet, err := declarer.Read(openFile(t, "../../examples/"+name+"/fleet.json"))
		c.Assert(err, qt.IsNil)
		plan, err := Read(openFile(t, "../../examples/"+name+"/load.json"))
		c.Assert(err, qt.IsNil)
		c.Assert(plan.Check(), qt.HasLen, 0)
		index := indexer.New(1, fleet)
		for _, call := range plan.Calls {
			route := index.Route(call.Method, "", call.Path)
			c.Assert(route, qt.IsNotNil, qt.Commentf("%s", call.Name))
			c.Check(route.Once, qt.Equals, call.Once, qt.Commentf("%s", call.Name))
			c.Check(route.Open, qt.Equals, call.Key == "", qt.Commentf("%s", call.Name))
			if call.Key != "" {
				c.Check(index.WorkspaceByKey(call.Key).Name, qt.Equals, call.Workspace)
				c.Check(route.Workspace == "" || route.Workspace == call.Workspace, qt.IsTrue)
			}
		}
	}
}
