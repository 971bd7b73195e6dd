package node

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/tools/txtar"

	"github.com/zinniaproxy/zinniaproxy/internal/entryhandler"
	"github.com/zinniaproxy/zinniaproxy/pkg/declarer"
)

// TestEntryHeaderNamesHolder checks on two nodes that only the one that does not
// hold the workspace's share names the other in the entry header.
func TestEntryHeaderNamesHolder(t *testing.T) {
	a, err := txtar.ParseFile("testdata/sessions/rates.txtar")
	qt.Assert(t, err, qt.IsNil)
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, "a", "b")
		defer f.close()
		f.configure(archiveFile(a, "fleet.json"))
		f.startNode("a", "jos-a")
		f.startNode("b", "jos-b")
		time.Sleep(15 * time.Second)
		entryHeaders := map[string]string{}
		for _, n := range []string{"a", "b"} {
			req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+n+":80/stock/1", nil)
			qt.Assert(t, err, qt.IsNil)
			req.Header.Set("Authorization", "Bearer right-key")
			res, err := f.client("caller").Do(req)
			qt.Assert(t, err, qt.IsNil)
			entryHeaders[n] = res.Header.Get(entryhandler.EntryHeader)
			qt.Check(t, res.Body.Close(), qt.IsNil)
		}
		qt.Check(t, entryHeaders["a"]+entryHeaders["b"] == "a:80" || entryHeaders["a"]+entryHeaders["b"] == "b:80", qt.IsTrue, qt.Commentf("%v", entryHeaders))
		qt.Check(t, entryHeaders["a"], qt.Not(qt.Equals), "a:80")
		qt.Check(t, entryHeaders["b"], qt.Not(qt.Equals), "b:80")
	})
}

func TestSelectWideKeepsLargeWorkspaces(t *testing.T) {
	names := selectWide([]declarer.Workspace{
		{Name: "small", Rate: 1, Burst: 5}, {Name: "small-burst", Rate: 100, Burst: 5},
		{Name: "large", Rate: 30, Burst: 60}, {Name: "larger", Rate: 300, Burst: 60},
	})
	qt.Check(t, names, qt.DeepEquals, []string{"larger", "large"})
}
