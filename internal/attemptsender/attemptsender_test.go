package attemptsender

import (
	"context"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/zinniaproxy/zinniaproxy/internal/messenger"
	"github.com/zinniaproxy/zinniaproxy/pkg/coder"
)

// Guards against a caller that gets a status which ends no request, from an exit
// node that passes it on.
func TestStatusThatEndsNoRequestFailsTheAttempt(t *testing.T) {
	for _, tc := range []struct {
		status int
		final  bool
	}{{0, false}, {99, false}, {101, false}, {103, false}, {200, true}, {404, true}, {599, true}, {600, false}} {
		r := &Response{Source: Source{Recv: func(context.Context) (*messenger.ResponseHead, []byte, bool, error) {
			return &messenger.ResponseHead{Status: tc.status}, nil, true, nil
		}}}
		err := r.buffer(t.Context(), http.MethodGet)
		if tc.final {
			qt.Check(t, err, qt.IsNil, qt.Commentf("status %d", tc.status))
			continue
		}
		qt.Assert(t, err, qt.IsNotNil, qt.Commentf("status %d", tc.status))
		qt.Check(t, coder.Of(err).Code, qt.Equals, coder.Cut)
	}
}
