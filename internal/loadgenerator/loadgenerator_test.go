package loadgenerator

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/zinniaproxy/zinniaproxy/internal/faker"
	"github.com/zinniaproxy/zinniaproxy/pkg/coder"
)

func addressOf(s *httptest.Server) string { return strings.TrimPrefix(s.URL, "http://") }

// runPlan sends the calls to entry, a fake fleet in front of the target fake,
// and returns the audited report.
func runPlan(t *testing.T, fake *faker.Target, entry http.HandlerFunc, calls ...Call) *Report {
	target, fleet := httptest.NewServer(fake.Handler()), httptest.NewServer(entry)
	defer target.Close()
	defer fleet.Close()
	g := &Generator{Plan: Plan{
		Entries: []string{addressOf(fleet)}, Targets: []string{addressOf(target)},
		Rate: 500, Seconds: 0.04, Calls: calls, Seed: 1,
	}}
	qt.Assert(t, g.Plan.Check(), qt.HasLen, 0)
	r, err := g.Run(t.Context())
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, r.Sent, qt.Equals, 20)
	return r
}

// forwardTimes returns a fake fleet that forwards each request to fake the given
// number of times and returns the last response.
func forwardTimes(fake *faker.Target, times int) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		r.Header.Del("Authorization")
		for range times - 1 {
			fake.Handler().ServeHTTP(httptest.NewRecorder(), r.Clone(r.Context()))
		}
		w.Header().Set("Zinnia-Code", "0")
		w.Header().Set("Zinnia-Ran", "yes")
		fake.Handler().ServeHTTP(w, r)
	}
}

var bookCall = Call{Name: "book", Method: "POST", Path: "/book", Key: "secret", Once: true}

func TestCorrectResponsesBreakNoGuarantee(t *testing.T) {
	fake := faker.NewTarget("t", 100, time.Millisecond, 1)
	r := runPlan(t, fake, forwardTimes(fake, 1), bookCall, Call{Name: "look", Method: "GET", Path: "/look", Weight: 3, Size: 500})
	qt.Check(t, r.All.Answered, qt.Equals, 20)
	qt.Check(t, r.Calls, qt.HasLen, 2)
	qt.Check(t, r.GuaranteeBroken(), qt.IsFalse)
}

func TestBrokenGuaranteesAreCounted(t *testing.T) {
	fake := faker.NewTarget("t", 100, time.Millisecond, 1)
	falseNotRun := func(w http.ResponseWriter, r *http.Request) {
		forwardTimes(fake, 1)(httptest.NewRecorder(), r)
		w.Header().Set("Zinnia-Code", "203")
		w.Header().Set("Zinnia-Ran", string(coder.RanNo))
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	wrongToken := func(w http.ResponseWriter, r *http.Request) {
		r.Header.Set(faker.TokenHeader, "another")
		forwardTimes(fake, 1)(w, r)
	}
	truncate := func(w http.ResponseWriter, r *http.Request) {
		rec := httptest.NewRecorder()
		forwardTimes(fake, 1)(rec, r)
		w.Header().Set("Zinnia-Code", "0")
		_, _ = w.Write(rec.Body.Bytes()[:rec.Body.Len()/2])
	}
	leakKey := func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Zinnia-Code", "0")
		fake.Handler().ServeHTTP(w, r)
	}
	for _, tc := range []struct {
		name  string
		entry http.HandlerFunc
		count func(*Report) int
	}{
		{"duplicate run", forwardTimes(fake, 2), func(r *Report) int { return r.DuplicateRuns }},
		{"run despite a not-run refusal", falseNotRun, func(r *Report) int { return r.FalseNotRun }},
		{"another request's response", wrongToken, func(r *Report) int { return r.All.Wrong }},
		{"truncated response", truncate, func(r *Report) int { return r.All.Truncated }},
		{"key at a target", leakKey, func(r *Report) int { return r.LeakedKeys }},
	} {
		r := runPlan(t, fake, tc.entry, bookCall)
		qt.Check(t, tc.count(r), qt.Equals, 20, qt.Commentf(tc.name))
		qt.Check(t, r.GuaranteeBroken(), qt.IsTrue, qt.Commentf(tc.name))
	}
}

func TestCheckReportsPathsOfInvalidValues(t *testing.T) {
	p := Plan{Entries: []string{"10.0.0.1:80"}, Rate: 1e9, Seconds: 1, Calls: []Call{{Path: "x"}}}
	var got []string
	for _, problem := range p.Check() {
		got = append(got, problem.Path)
	}
	qt.Assert(t, got, qt.DeepEquals, []string{"rate", "rate", "entries[0]", "calls[0].name", "calls[0].method", "calls[0].path"})
	p.Remote = true
	qt.Assert(t, p.Check(), qt.HasLen, 5)
}
