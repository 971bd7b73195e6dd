package explainer

import (
	"bytes"
	"flag"
	"os"
	"testing"

	qt "github.com/frankban/quicktest"
	"golang.org/x/tools/txtar"
)

var update = flag.Bool("update", false, "write the explanations to the testdata file")

// The recorded log has three failed requests: one refused without being run, one
// that hung, and one whose response was truncated. The other has calls that tell
// their place in a queue, their wait and their rank.
func TestWriteExplainsRequests(t *testing.T) {
	for _, name := range []string{"testdata/requests.txtar", "testdata/queue.txtar"} {
		a, err := txtar.ParseFile(name)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, len(a.Files) > 2, qt.IsTrue)
		for i, f := range a.Files[1:] {
			events, err := Read(bytes.NewReader(a.Files[0].Data), f.Name)
			qt.Assert(t, err, qt.IsNil)
			var b bytes.Buffer
			qt.Assert(t, Write(&b, events), qt.IsNil)
			if *update {
				a.Files[i+1].Data = b.Bytes()
				continue
			}
			qt.Check(t, b.String(), qt.Equals, string(f.Data))
		}
		if *update {
			qt.Assert(t, os.WriteFile(name, txtar.Format(a), 0o644), qt.IsNil)
		}
	}
}

func TestWriteWithoutEvents(t *testing.T) {
	var b bytes.Buffer
	qt.Assert(t, Write(&b, nil), qt.IsNil)
	qt.Check(t, b.String(), qt.Equals, "no end of the request is in these logs\n")
}
