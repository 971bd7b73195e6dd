package viewer

import (
	"strings"

	"github.com/zinniaproxy/zinniaproxy/internal/tracer"
)

// Filter selects the events that match all its values. An empty value matches
// every event.
type Filter struct {
	// Request also matches the events of the request's attempts.
	Request                               string
	Target, Workspace, Centre, Node, Kind string
}

// Apply returns the events that match the filter.
func (f Filter) Apply(events []tracer.Event) []tracer.Event {
	out := []tracer.Event{}
	for _, e := range events {
		if f.matches(e) {
			out = append(out, e)
		}
	}
	return out
}

func (f Filter) matches(e tracer.Event) bool {
	return matchesValue(f.Target, e.Target) && matchesValue(f.Workspace, e.Workspace) && matchesValue(f.Centre, e.Centre) &&
		matchesValue(f.Node, e.Node) && matchesValue(f.Kind, e.Kind) &&
		(matchesValue(f.Request, e.Request) || strings.HasPrefix(e.Request, f.Request+"/"))
}

func matchesValue(want, have string) bool { return want == "" || want == have }
