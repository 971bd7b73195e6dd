package loadgenerator

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/zinniaproxy/zinniaproxy/internal/faker"
	"github.com/zinniaproxy/zinniaproxy/internal/tabler"
	"github.com/zinniaproxy/zinniaproxy/pkg/coder"
)

const (
	maxRecordedLatency       = 2 * time.Minute
	latencySignificantDigits = 3
	maxExamples              = 5
	microsPerMilli           = 1000
)

// Report is the result of a run.
type Report struct {
	// Seconds is the duration of the run.
	Seconds float64 `json:"seconds"`
	// Sent counts requests that were sent, Skipped those not sent because
	// maxInFlight others waited for a response.
	Sent    int `json:"sent"`
	Skipped int `json:"skipped"`
	// All covers the whole run, Calls each call by name.
	All   Summary            `json:"all"`
	Calls map[string]Summary `json:"calls"`
	// Audited is true if the targets' run logs were read. Otherwise
	// DuplicateRuns, FalseNotRun and LeakedKeys are unknown.
	Audited bool `json:"audited"`
	// DuplicateRuns counts non-idempotent requests that ran more than once.
	DuplicateRuns int `json:"doubles"`
	// FalseNotRun counts requests refused as "not run" that a target did run.
	FalseNotRun int `json:"false"`
	// LeakedKeys counts runs in which a target saw a caller's key.
	LeakedKeys int `json:"keys"`
	// Examples describe the first requests that ended Broken, Truncated or
	// Wrong.
	Examples []string `json:"examples,omitempty"`
}

// Summary aggregates the outcomes of a set of requests.
type Summary struct {
	// Answered, Refused, Broken, Truncated and Wrong count the requests of that
	// Kind.
	Answered  int `json:"answered"`
	Refused   int `json:"refused"`
	Broken    int `json:"broken"`
	Truncated int `json:"cut"`
	Wrong     int `json:"wrong"`
	// Errors counts the answered requests whose status is 500 or above, as set
	// by the target.
	Errors int `json:"errors"`
	// Codes counts refusals by code name.
	Codes map[string]int `json:"codes,omitempty"`
	// P50, P99 and Max are the latencies of answered requests, in milliseconds.
	// Latencies above maxRecordedLatency count as that.
	P50 float64 `json:"p50"`
	P99 float64 `json:"p99"`
	Max float64 `json:"max"`

	histogram *hdrhistogram.Histogram
}

// NewSummary returns an empty summary.
func NewSummary() *Summary {
	return &Summary{
		Codes:     map[string]int{},
		histogram: hdrhistogram.New(1, maxRecordedLatency.Microseconds(), latencySignificantDigits),
	}
}

// Add adds an outcome to the counts and the latency histogram.
func (s *Summary) Add(o Outcome) {
	switch o.Kind {
	case Answered:
		s.Answered++
		if o.Status >= http.StatusInternalServerError {
			s.Errors++
		}
		_ = s.histogram.RecordValue(min(o.Took, maxRecordedLatency).Microseconds())
	case Refused:
		s.Refused++
		s.Codes[coder.Lookup(o.Code).Name]++
	case Broken:
		s.Broken++
	case Truncated:
		s.Truncated++
	case Wrong:
		s.Wrong++
	}
}

// WithLatencies computes P50, P99 and Max and returns a copy of the summary.
func (s *Summary) WithLatencies() Summary {
	percentileMillis := func(percentile float64) float64 {
		return float64(s.histogram.ValueAtQuantile(percentile)) / microsPerMilli
	}
	s.P50, s.P99, s.Max = percentileMillis(50), percentileMillis(99), float64(s.histogram.Max())/microsPerMilli
	return *s
}

// newReport aggregates outcomes, without an audit.
func newReport(p Plan, outcomes []Outcome, skipped int, took time.Duration) *Report {
	r := &Report{Seconds: took.Seconds(), Sent: len(outcomes), Skipped: skipped, Calls: map[string]Summary{}}
	all, calls := NewSummary(), map[string]*Summary{}
	for _, o := range outcomes {
		name := p.Calls[o.CallIndex].Name
		if calls[name] == nil {
			calls[name] = NewSummary()
		}
		all.Add(o)
		calls[name].Add(o)
		r.addExample(o)
	}
	r.All = all.WithLatencies()
	for name, s := range calls {
		r.Calls[name] = s.WithLatencies()
	}
	return r
}

func (r *Report) addExample(o Outcome) {
	bad := o.Kind == Broken || o.Kind == Truncated || o.Kind == Wrong
	if bad && len(r.Examples) < maxExamples {
		r.Examples = append(r.Examples, fmt.Sprintf("%s %s at %s: %s", o.Kind, o.Token, o.Entry, o.Detail))
	}
}

// audit compares the outcomes with the targets' run logs.
func (r *Report) audit(p Plan, outcomes []Outcome, runs []faker.Run) {
	r.Audited = true
	runsByToken := make(map[string]int, len(runs))
	for _, run := range runs {
		runsByToken[run.Token]++
		if run.HasKey {
			r.LeakedKeys++
		}
	}
	for _, o := range outcomes {
		if p.Calls[o.CallIndex].Once && runsByToken[o.Token] > 1 {
			r.DuplicateRuns++
		}
		if o.Kind == Refused && o.Ran == coder.RanNo && runsByToken[o.Token] > 0 {
			r.FalseNotRun++
		}
	}
}

// GuaranteeBroken reports whether a guarantee of the fleet was violated.
func (r *Report) GuaranteeBroken() bool {
	return r.All.Truncated+r.All.Wrong+r.DuplicateRuns+r.FalseNotRun+r.LeakedKeys > 0
}

// WriteJSON writes the report as indented JSON.
func (r *Report) WriteJSON(w io.Writer) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(r)
}

// WriteText writes the report as a table.
func (r *Report) WriteText(w io.Writer) error {
	rows := [][]string{{"call", "answered", "errors", "refused", "broken", "cut", "wrong", "p50 ms", "p99 ms", "max ms"}}
	for _, name := range slices.Sorted(maps.Keys(r.Calls)) {
		rows = append(rows, r.Calls[name].row(name))
	}
	rows = append(rows, r.All.row("all"))
	if err := tabler.Write(w, rows); err != nil {
		return err
	}
	_, err := io.WriteString(w, strings.Join(r.footerLines(), "\n")+"\n")
	return err
}

// footerLines returns the lines below the table.
func (r *Report) footerLines() []string {
	var out []string
	for _, name := range slices.Sorted(maps.Keys(r.All.Codes)) {
		out = append(out, fmt.Sprintf("refused %s: %d", name, r.All.Codes[name]))
	}
	out = append(out, fmt.Sprintf("sent %d in %.1f s, skipped %d", r.Sent, r.Seconds, r.Skipped))
	if r.Audited {
		out = append(out, fmt.Sprintf("doubles %d, false \"not run\" %d, keys seen by targets %d", r.DuplicateRuns, r.FalseNotRun, r.LeakedKeys))
	}
	return append(out, r.Examples...)
}

func (s Summary) row(name string) []string {
	out := []string{name}
	for _, n := range []int{s.Answered, s.Errors, s.Refused, s.Broken, s.Truncated, s.Wrong} {
		out = append(out, strconv.Itoa(n))
	}
	for _, ms := range []float64{s.P50, s.P99, s.Max} {
		out = append(out, fmt.Sprintf("%.1f", ms))
	}
	return out
}
