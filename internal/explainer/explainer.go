// Package explainer reconstructs from the nodes' logs how one request was
// handled: the decisions on it in order of time, and how it ended.
package explainer

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/zinniaproxy/zinniaproxy/internal/tracer"
	"github.com/zinniaproxy/zinniaproxy/pkg/coder"
)

// maxLineBytes bounds a log line; Read fails on a longer one.
const maxLineBytes = 1 << 20

// Kinds of events that end a request.
const (
	kindAnswered = "request-answered"
	kindRefused  = "request-refused"
)

// Event is an event of a log. The fields that tell of a call's queue are nil where
// the line does not have them, as 0 is a value of each.
type Event struct {
	tracer.Event
	// Place is the call's place in the queue of its target when it arrived, and Rank
	// its priority: 0 is the highest.
	Place *int `json:"place"`
	Rank  *int `json:"rank"`
	// Wait is how long the call waited in the queue, in milliseconds.
	Wait *float64 `json:"wait"`
}

// EachObject calls visit with the JSON object of each line of a log. It skips lines
// without one, and text before it, such as a log collector adds. The bytes are valid
// only during the call, and may be no valid JSON.
func EachObject(in io.Reader, visit func(object []byte)) error {
	s := bufio.NewScanner(in)
	s.Buffer(nil, maxLineBytes)
	for s.Scan() {
		if i := bytes.IndexByte(s.Bytes(), '{'); i >= 0 {
			visit(s.Bytes()[i:])
		}
	}
	return s.Err()
}

// Read returns the events of a request in logs, in the order of the nodes'
// clocks. It skips lines that are not events.
func Read(in io.Reader, request string) ([]Event, error) {
	var out []Event
	err := EachObject(in, func(object []byte) {
		var e Event
		if bytes.Contains(object, []byte(request)) && json.Unmarshal(object, &e) == nil && e.Request == request {
			out = append(out, e)
		}
	})
	slices.SortStableFunc(out, func(a, b Event) int { return a.Time.Compare(b.Time) })
	return out, err
}

// Write writes the events of a request, one per line with the milliseconds since
// the first, and then how the request ended.
func Write(w io.Writer, events []Event) error {
	var b strings.Builder
	for _, e := range events {
		fmt.Fprintf(&b, "%7d ms  %-16s %-16s%s\n", e.Time.Sub(events[0].Time).Milliseconds(), e.Node, e.Kind, details(e))
	}
	b.WriteString(outcome(events) + "\n")
	_, err := io.WriteString(w, b.String())
	return err
}

// details returns the fields of an event that explain its decision.
func details(e Event) string {
	var b strings.Builder
	add := func(name string, v any, present bool) {
		if present {
			fmt.Fprintf(&b, " %s=%v", name, v)
		}
	}
	add("target", e.Target, e.Target != "")
	add("took", fmt.Sprintf("%.0fms", e.Took), e.Took > 0)
	add("status", e.Status, e.Status != 0)
	add("risk", fmt.Sprintf("%.2f", e.Risk), e.Risk > 0)
	add("load", fmt.Sprintf("%d+%d/%d", e.InFlight, e.Queue, e.Limit), e.Limit > 0)
	if e.Place != nil {
		add("place", *e.Place, true)
	}
	if e.Wait != nil {
		add("wait", fmt.Sprintf("%.0fms", *e.Wait), true)
	}
	if e.Rank != nil {
		add("rank", *e.Rank, true)
	}
	add("detail", e.Detail, e.Detail != "")
	return b.String()
}

// outcome describes how a request ended.
func outcome(events []Event) string {
	for _, e := range slices.Backward(events) {
		switch e.Kind {
		case kindAnswered:
			return fmt.Sprintf("answered by %s with status %d after %.0f ms", e.Target, e.Status, e.Took)
		case kindRefused:
			row := coder.Lookup(coder.Code(e.Code))
			return fmt.Sprintf("refused with code %d, %s (ran: %s), after %d attempts: %s", row.Code, row.Name, row.Ran, countAttempts(events), row.Text)
		}
	}
	return "no end of the request is in these logs"
}

func countAttempts(events []Event) int {
	n := 0
	for _, e := range events {
		if e.Kind == "attempt" {
			n++
		}
	}
	return n
}
