package entryhandler

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/zinniaproxy/zinniaproxy/internal/attemptsender"
	"github.com/zinniaproxy/zinniaproxy/internal/tracer"
	"github.com/zinniaproxy/zinniaproxy/pkg/coder"
)

// Guards against log lines of refused requests that an account cannot attribute to a
// route. A request without a route has none.
func TestEndsOfRequestsNameTheRoute(t *testing.T) {
	var events []tracer.Event
	h := newTestHandler(func(context.Context, *Exchange) (*attemptsender.Response, error) {
		return nil, coder.New(coder.Overloaded, "")
	})
	h.Tracer = &tracer.Tracer{Size: 1, Log: func(e tracer.Event) { events = append(events, e) }}
	for _, path := range []string{"/open", "/bound", "/nowhere"} {
		h.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, path, nil))
	}
	qt.Assert(t, events, qt.HasLen, 3)
	for i, route := range []string{"open", "bound", ""} {
		qt.Check(t, events[i].Kind, qt.Equals, "request-refused")
		qt.Check(t, events[i].Route, qt.Equals, route)
	}
}
