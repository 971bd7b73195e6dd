package requestrunner

import (
	"context"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/zinniaproxy/zinniaproxy/internal/attemptsender"
	"github.com/zinniaproxy/zinniaproxy/internal/entryhandler"
	"github.com/zinniaproxy/zinniaproxy/internal/exithandler"
	"github.com/zinniaproxy/zinniaproxy/internal/messenger"
	"github.com/zinniaproxy/zinniaproxy/internal/retrier"
	"github.com/zinniaproxy/zinniaproxy/pkg/coder"
	"github.com/zinniaproxy/zinniaproxy/pkg/declarer"
)

// Guards against an attempt that is not known to repeat one which may have reached
// a target, and against one that is taken for a repeat after attempts that reached
// none.
func TestAttemptsTellWhetherTheyRepeat(t *testing.T) {
	for _, tc := range []struct {
		name  string
		inner bool
		// codes are those of the attempts but for the last, which succeeds.
		codes []coder.Code
		want  []bool
	}{
		{"first", false, nil, []bool{false}},
		{"after a cut", false, []coder.Code{coder.Cut}, []bool{false, true}},
		{"after a target's refusal", false, []coder.Code{coder.Shed}, []bool{false, true}},
		{"after a target that leaves", false, []coder.Code{coder.TargetLeaving}, []bool{false, false}},
		{"after a cut and a full queue", false, []coder.Code{coder.Cut, coder.QueueTimeout}, []bool{false, true, true}},
		{"made by a repeat", true, []coder.Code{coder.TargetLeaving}, []bool{true, true}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var got []bool
				r := &Runner{Retrier: retrier.New(), Attempt: func(_ context.Context, c messenger.Call, _ *attemptsender.Attempts) (*attemptsender.Response, error) {
					if got = append(got, c.Repeat); len(got) <= len(tc.codes) {
						return nil, coder.New(tc.codes[len(got)-1], "")
					}
					return &attemptsender.Response{}, nil
				}}
				dialect := exithandler.OwnDialect()
				x := &entryhandler.Exchange{
					ID: "r", Request: httptest.NewRequest("GET", "/", nil), Dialect: &dialect, Repeat: tc.inner,
					Route: &declarer.Route{Service: "s"}, Service: "s", Deadline: time.Now().Add(10 * time.Second),
				}
				_, err := r.Forward(t.Context(), x)
				qt.Check(t, err, qt.IsNil)
				qt.Check(t, got, qt.DeepEquals, tc.want)
			})
		})
	}
}
