package attemptsender

import (
	"strconv"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/zinniaproxy/zinniaproxy/internal/messenger"
)

// Guards against a request that goes to a target again within its three attempts and
// three redirects although there are others, and against a list of avoided targets
// that grows for as long as a request waits.
func TestAttemptsAvoidRecentTargets(t *testing.T) {
	a := &Attempts{}
	for i := range 40 {
		_, err := a.pick(strconv.Itoa(i), func(tried []string) (messenger.Target, error) {
			qt.Check(t, len(tried), qt.Equals, min(i, 5))
			return messenger.Target{Name: strconv.Itoa(i)}, nil
		})
		qt.Assert(t, err, qt.IsNil)
	}
}
