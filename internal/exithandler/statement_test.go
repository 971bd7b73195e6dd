package exithandler

import (
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/zinniaproxy/zinniaproxy/internal/messenger"
)

func TestStatementIgnoresInvalidValues(t *testing.T) {
	d := OwnDialect()
	for _, tc := range []struct {
		rate, leaving string
		want          messenger.Statement
	}{
		{"", "", messenger.Statement{}},
		{"2.5", "", messenger.Statement{Limited: true, Rate: 2.5}},
		{"0", "1", messenger.Statement{Limited: true, Leaving: true}},
		{"-1", "0", messenger.Statement{}},
		{"NaN", "yes", messenger.Statement{}},
		{"Inf", "", messenger.Statement{}},
		{"many", "1", messenger.Statement{Leaving: true}},
	} {
		h := http.Header{}
		h.Set(RateHeader, tc.rate)
		h.Set(LeavingHeader, tc.leaving)
		qt.Check(t, d.statement(h), qt.Equals, tc.want, qt.Commentf("%+v", tc))
	}
	qt.Check(t, (&Dialect{}).statement(http.Header{"": {"1"}}), qt.Equals, messenger.Statement{})
}
