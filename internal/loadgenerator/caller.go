package loadgenerator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/zinniaproxy/zinniaproxy/internal/faker"
	"github.com/zinniaproxy/zinniaproxy/pkg/coder"
)

const maxResponseBytes = 8 << 20

// Kind is how a request ended.
type Kind string

// Values of Kind.
const (
	// Answered requests got a complete response to what they sent, or an error
	// response of the target itself.
	Answered Kind = "answered"
	// Refused requests got a code other than OK from the fleet.
	Refused Kind = "refused"
	// Broken requests failed on a connection error or timed out.
	Broken Kind = "broken"
	// Truncated requests got a truncated response without a connection error.
	Truncated Kind = "cut"
	// Wrong requests got a response without a code, a damaged one, or the
	// response to another request.
	Wrong Kind = "wrong"
)

// Outcome is the result of one request.
type Outcome struct {
	// CallIndex is the index into Plan.Calls. Token is the caller's unique ID of
	// the request.
	CallIndex int
	Token     string
	// Entry is the address that the request was last sent to.
	Entry string
	// Kind is how the request ended.
	Kind Kind
	// Code and Ran are from the fleet's response headers, if present. Status is
	// 0 if no response head arrived.
	Code   coder.Code
	Ran    coder.Ran
	Status int
	// Target is the name of the target that responded.
	Target string
	// Due is when the request was scheduled, Took the time from then to its
	// end.
	Due  time.Time
	Took time.Duration
	// Detail describes the failure.
	Detail string
}

type request struct {
	callIndex    int
	entry, token string
	due          time.Time
}

// sendWithRetries sends one request. It retries calls with an idempotency key
// while their outcome is unknown.
func (g *Generator) sendWithRetries(ctx context.Context, r request) Outcome {
	call := g.Plan.Calls[r.callIndex]
	ctx, cancel := context.WithDeadline(ctx, r.due.Add(call.timeout()))
	defer cancel()
	o := g.sendOnce(ctx, call, r)
	for i := 0; call.Repeat && outcomeUnknown(o) && i < maxRetries; i++ {
		if !sleepUntil(ctx, time.Now().Add(retryDelay)) {
			break
		}
		r.entry = g.entryFor(len(r.token) + i)
		o = g.sendOnce(ctx, call, r)
	}
	return o
}

func outcomeUnknown(o Outcome) bool {
	return o.Kind != Answered && o.Ran != coder.RanNo
}

func (g *Generator) sendOnce(ctx context.Context, call Call, r request) Outcome {
	o := Outcome{CallIndex: r.callIndex, Token: r.token, Entry: r.entry, Due: r.due}
	body := ""
	if call.Method != http.MethodGet && call.Method != http.MethodHead {
		body = r.token
	}
	req, err := newHTTPRequest(ctx, call, r, body)
	if err == nil {
		err = g.readResponse(req, call, body, &o)
	}
	if err != nil {
		o.Kind, o.Detail = Broken, err.Error()
	}
	o.Took = time.Since(r.due)
	return o
}

func newHTTPRequest(ctx context.Context, call Call, r request, body string) (*http.Request, error) {
	rawURL := "http://" + r.entry + call.Path
	if call.Size > 0 {
		rawURL += "?size=" + strconv.Itoa(call.Size)
	}
	req, err := http.NewRequestWithContext(ctx, call.Method, rawURL, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set(faker.TokenHeader, r.token)
	req.Header.Set("Zinnia-Timeout", strconv.FormatInt(call.timeout().Milliseconds(), 10))
	if call.Key != "" {
		req.Header.Set("Authorization", "Bearer "+call.Key)
	}
	if call.Repeat {
		req.Header.Set("Idempotency-Key", r.token)
	}
	return req, nil
}

// readResponse sends req and sets the outcome from its response. It returns an
// error if the connection failed.
func (g *Generator) readResponse(req *http.Request, call Call, body string, o *Outcome) error {
	res, err := g.Client.Do(req)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	o.Status = res.StatusCode
	o.Ran = coder.Ran(res.Header.Get("Zinnia-Ran"))
	code, codeErr := strconv.Atoi(res.Header.Get("Zinnia-Code"))
	o.Code = coder.Code(code)
	data, err := io.ReadAll(io.LimitReader(res.Body, maxResponseBytes))
	if err != nil {
		return err
	}
	switch {
	case codeErr != nil:
		o.Kind, o.Detail = Wrong, "answer without a code"
	case o.Code != coder.OK:
		o.Kind = Refused
	case res.StatusCode >= http.StatusBadRequest:
		o.Kind = Answered // an error of the target, not of the fleet
	default:
		o.checkResponse(data, call, body)
	}
	return nil
}

// checkResponse compares a target's response with the request.
func (o *Outcome) checkResponse(data []byte, call Call, body string) {
	res, err := faker.CheckResponse(data, o.Token, call.Workspace, body)
	o.Target = res.Target
	switch {
	case errors.Is(err, faker.ErrTruncated):
		o.Kind, o.Detail = Truncated, err.Error()
	case err != nil:
		o.Kind, o.Detail = Wrong, err.Error()
	default:
		o.Kind = Answered
	}
}

// fetchRuns reads the run logs of all fake targets.
func (g *Generator) fetchRuns(ctx context.Context) ([]faker.Run, error) {
	var out []faker.Run
	for _, address := range g.Plan.Targets {
		runs, err := g.fetchTargetRuns(ctx, address)
		if err != nil {
			return nil, fmt.Errorf("loadgenerator: read run log of target %s: %w", address, err)
		}
		out = append(out, runs...)
	}
	return out, nil
}

func (g *Generator) fetchTargetRuns(ctx context.Context, address string) ([]faker.Run, error) {
	runsURL := url.URL{Scheme: "http", Host: address, Path: "/v1/fake/runs"}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, runsURL.String(), nil)
	if err != nil {
		return nil, err
	}
	res, err := g.Client.Do(req)
	if err != nil {
		return nil, err
	}
	defer res.Body.Close()
	var out []faker.Run
	return out, json.NewDecoder(res.Body).Decode(&out)
}
