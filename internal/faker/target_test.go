package faker

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func post(t *testing.T, srv *httptest.Server, token, body string) (*http.Response, []byte, error) {
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, srv.URL+"/book?size=100", strings.NewReader(body))
	qt.Assert(t, err, qt.IsNil)
	req.Header.Set(TokenHeader, token)
	req.Header.Set(requestHeader, "fleet-"+token)
	req.Header.Set(workspaceHeader, "club")
	res, err := srv.Client().Do(req)
	if err != nil {
		return nil, nil, err
	}
	defer res.Body.Close()
	b, err := io.ReadAll(res.Body)
	return res, b, err
}

func TestTargetResponseMatchesOnlyItsRequest(t *testing.T) {
	c := qt.New(t)
	fake := NewTarget("booking@1", 2, time.Millisecond, 1)
	srv := httptest.NewServer(fake.Handler())
	defer srv.Close()
	_, b, err := post(t, srv, "a", "hello")
	c.Assert(err, qt.IsNil)
	got, err := CheckResponse(b, "a", "club", "hello")
	c.Assert(err, qt.IsNil)
	c.Check(got.Target, qt.Equals, "booking@1")
	c.Check(got.Data, qt.HasLen, 100)
	for _, wrong := range []struct{ token, workspace, body string }{
		{"b", "club", "hello"}, {"a", "other", "hello"}, {"a", "club", "other"},
	} {
		_, err := CheckResponse(b, wrong.token, wrong.workspace, wrong.body)
		c.Check(err, qt.ErrorMatches, ".*is for token.*")
	}
	_, err = CheckResponse(b[:len(b)/2], "a", "club", "hello")
	c.Check(err, qt.ErrorMatches, ".*truncated response.*")
	_, _, err = post(t, srv, "a", "hello")
	c.Assert(err, qt.IsNil)
	c.Check(fake.Counts(), qt.Equals, TargetCounts{Runs: 2, DuplicateRuns: 1, Peak: 1})
}

func TestTargetInjectsConfiguredFaults(t *testing.T) {
	c := qt.New(t)
	fake := NewTarget("booking@1", 2, time.Millisecond, 1)
	srv := httptest.NewServer(fake.Handler())
	defer srv.Close()
	for _, chunked := range []bool{false, true} {
		fake.SetFaults(TargetFaults{Truncate: 1, Chunked: chunked})
		_, _, err := post(t, srv, "half", "")
		c.Check(err, qt.ErrorIs, io.ErrUnexpectedEOF)
	}
	fake.SetFaults(TargetFaults{Errors: 1})
	res, _, err := post(t, srv, "error", "")
	c.Assert(err, qt.IsNil)
	c.Check(res.StatusCode, qt.Equals, http.StatusInternalServerError)
	fake.SetFaults(TargetFaults{Draining: true})
	res, _, err = post(t, srv, "shed", "")
	c.Assert(err, qt.IsNil)
	c.Check(res.Header.Get(ranHeader), qt.Equals, "no")
	c.Check(fake.Counts().Shed, qt.Equals, 1)
}

func TestColdTargetFailsAboveItsLimit(t *testing.T) {
	c := qt.New(t)
	fake := NewTarget("booking@1", 3, 20*time.Millisecond, 1)
	fake.SetFaults(TargetFaults{Cold: 1})
	for i, want := range []bool{false, true, true} {
		c.Check(fake.admit(t.Context()), qt.IsTrue)
		e := fake.beginRun(Run{Request: string(rune('a' + i))})
		c.Check(e.fail, qt.Equals, want)
	}
	c.Check(fake.Counts(), qt.Equals, TargetCounts{Runs: 3, Peak: 3, AboveColdLimit: 2})
}

func TestFlappingTargetAlternates(t *testing.T) {
	c := qt.New(t)
	fake := NewTarget("booking@1", 1, time.Millisecond, 1)
	now := fake.start
	fake.Now = func() time.Time { return now }
	fake.SetFaults(TargetFaults{Errors: 1, Flap: 1000})
	for i, faulty := range []bool{true, false, true} {
		now = fake.start.Add(time.Duration(i) * time.Second)
		fake.mu.Lock()
		c.Check(fake.drawEffects().fail, qt.Equals, faulty)
		fake.mu.Unlock()
	}
}
