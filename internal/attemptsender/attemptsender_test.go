package attemptsender

import (
	"context"
	"fmt"
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
	}{{-1, false}, {0, false}, {99, false}, {100, false}, {101, false}, {103, false}, {200, true}, {404, true}, {599, true}, {600, false}, {999, false}, {1000, false}} {
		t.Run(fmt.Sprint(tc.status), func(t *testing.T) {
			r := &Response{Source: Source{Recv: func(context.Context) (*messenger.ResponseHead, []byte, bool, error) {
				return &messenger.ResponseHead{Status: tc.status}, nil, true, nil
			}}}
			err := r.buffer(t.Context(), http.MethodGet)
			if tc.final {
				qt.Check(t, err, qt.IsNil)
				return
			}
			qt.Assert(t, err, qt.IsNotNil)
			qt.Check(t, coder.Of(err).Code, qt.Equals, coder.Cut)
		})
	}
}
