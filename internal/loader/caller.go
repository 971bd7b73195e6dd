package loader

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

const maxAnswerBytes = 8 << 20

// Kind tells how a request ended.
type Kind string

// Kinds of ends.
const (
	// Answered requests got a whole answer of their own.
	Answered Kind = "answered"
	// Refused requests got a refusal with a code.
	Refused Kind = "refused"
	// Broken requests saw their connection break or their time run out.
	Broken Kind = "broken"
	// Cut requests got an answer that ended cleanly and is not whole.
	Cut Kind = "cut"
	// Wrong requests got an answer that is not their own.
	Wrong Kind = "wrong"
)

// Outcome is how one request ended.
type Outcome struct {
	// Call is the index in the plan, Token the request's identity.
	Call  int
	Token string
	// Entry is the address that it was sent to.
	Entry string
	// Kind tells how it ended.
	Kind Kind
	// Code and Ran are the fleet's, if it said any; Status is 0 without a head.
	Code   coder.Code
	Ran    coder.Ran
	Status int
	// Target is who answered.
	Target string
	// Due is when the request was to be sent, Took the time from then to its
	// end.
	Due  time.Time
	Took time.Duration
	// Detail says what went wrong.
	Detail string
}

type asked struct {
	index        int
	entry, token string
	due          time.Time
}

// ask sends one request, and again when the call may be repeated and its
// outcome is not known.
func (l *Loader) ask(ctx context.Context, a asked) Outcome {
	call := l.Plan.Calls[a.index]
	ctx, cancel := context.WithDeadline(ctx, a.due.Add(call.timeout()))
	defer cancel()
	o := l.once(ctx, call, a)
	for i := 0; call.Repeat && unknown(o) && i < maxRepeats; i++ {
		if !sleepUntil(ctx, time.Now().Add(repeatAfter)) {
			break
		}
		a.entry = l.entry(len(a.token) + i)
		o = l.once(ctx, call, a)
	}
	return o
}

func unknown(o Outcome) bool {
	return o.Kind != Answered && o.Ran != coder.RanNo
}

func (l *Loader) once(ctx context.Context, call Call, a asked) Outcome {
	o := Outcome{Call: a.index, Token: a.token, Entry: a.entry, Due: a.due}
	body := ""
	if call.Method != http.MethodGet && call.Method != http.MethodHead {
		body = a.token
	}
	req, err := newRequest(ctx, call, a, body)
	if err == nil {
		err = l.read(req, call, body, &o)
	}
	if err != nil {
		o.Kind, o.Detail = Broken, err.Error()
	}
	o.Took = time.Since(a.due)
	return o
}

func newRequest(ctx context.Context, call Call, a asked, body string) (*http.Request, error) {
	to := "http://" + a.entry + call.Path
	if call.Size > 0 {
		to += "?size=" + strconv.Itoa(call.Size)
	}
	req, err := http.NewRequestWithContext(ctx, call.Method, to, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set(faker.TokenHeader, a.token)
	req.Header.Set("Zinnia-Timeout", strconv.FormatInt(call.timeout().Milliseconds(), 10))
	if call.Key != "" {
		req.Header.Set("Authorization", "Bearer "+call.Key)
	}
	if call.Repeat {
		req.Header.Set("Idempotency-Key", a.token)
	}
	return req, nil
}

// read gets the answer and judges it. It returns an error when the connection
// broke.
func (l *Loader) read(req *http.Request, call Call, body string, o *Outcome) error {
	res, err := l.Client.Do(req)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	o.Status = res.StatusCode
	o.Ran = coder.Ran(res.Header.Get("Zinnia-Ran"))
	code, codeErr := strconv.Atoi(res.Header.Get("Zinnia-Code"))
	o.Code = coder.Code(code)
	b, err := io.ReadAll(io.LimitReader(res.Body, maxAnswerBytes))
	if err != nil {
		return err
	}
	switch {
	case codeErr != nil:
		o.Kind, o.Detail = Wrong, "answer without a code"
	case o.Code != coder.OK:
		o.Kind = Refused
	case res.StatusCode >= http.StatusBadRequest:
		o.Kind = Answered // the target's own refusal
	default:
		o.judge(b, call, body)
	}
	return nil
}

// judge holds a target's answer against what was asked.
func (o *Outcome) judge(b []byte, call Call, body string) {
	a, err := faker.CheckResponse(b, o.Token, call.Workspace, body)
	o.Target = a.Target
	switch {
	case errors.Is(err, faker.ErrTruncated):
		o.Kind, o.Detail = Cut, err.Error()
	case err != nil:
		o.Kind, o.Detail = Wrong, err.Error()
	default:
		o.Kind = Answered
	}
}

// runs reads the logs of all stand-in targets.
func (l *Loader) runs(ctx context.Context) ([]faker.Run, error) {
	var out []faker.Run
	for _, address := range l.Plan.Targets {
		runs, err := l.runsOf(ctx, address)
		if err != nil {
			return nil, fmt.Errorf("loader: log of target %s: %w", address, err)
		}
		out = append(out, runs...)
	}
	return out, nil
}

func (l *Loader) runsOf(ctx context.Context, address string) ([]faker.Run, error) {
	to := url.URL{Scheme: "http", Host: address, Path: "/v1/fake/runs"}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, to.String(), nil)
	if err != nil {
		return nil, err
	}
	res, err := l.Client.Do(req)
	if err != nil {
		return nil, err
	}
	defer res.Body.Close()
	var out []faker.Run
	return out, json.NewDecoder(res.Body).Decode(&out)
}
