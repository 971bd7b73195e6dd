// Package accounter computes from the nodes' logs an account of a period: which
// requests were offered, answered and refused, where their attempts went, how long
// calls waited, and what the data centres sent each other.
package accounter

import (
	"cmp"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/zinniaproxy/zinniaproxy/internal/explainer"
	"github.com/zinniaproxy/zinniaproxy/pkg/coder"
)

// unknown is the name that the tables show where the logs do not tell one.
const unknown = "-"

// Account is what the logs of a period say. It holds each request.
type Account struct {
	requests []request
	// ranks holds the ranks above 0 that the lines of calls and requests tell.
	ranks map[string]int
	// attempts counts attempts, and waits holds the waits of calls.
	attempts map[attempt]int
	waits    map[queued]*samples
	// refusedWaits holds the attempts whose refusal is in waits: the lines of the
	// entry node and of the exit node may both tell it.
	refusedWaits map[string]bool
	// targetCentres holds the data centre of each target that one of the lines of its
	// own node names, and nodeCentres that of each node.
	targetCentres, nodeCentres map[string]string
	traffic                    map[string][]trafficLine
	// first and last are the times of the first and the last line.
	first, last time.Time
	// events counts the lines, droppedRequests the requests that stopping nodes left
	// without a response, and droppedLines the log lines that nodes dropped.
	events, droppedRequests, droppedLines int
}

// request is the end of one request.
type request struct {
	id, route, workspace string
	at                   time.Time
	code                 coder.Code
	// status is that of the response, 0 if the request was refused.
	status int
	// tookMillis is how long the request was held, and aimMillis its route's latency
	// objective, 0 if it has none.
	tookMillis float64
	aimMillis  int
}

// result is how a request ended.
type result int

const (
	// answered: with a status below 500.
	answered result = iota
	// refused: the request did not run.
	refused
	// failed: with a status of 500 or above, or with a refusal of a request that ran
	// or may have run.
	failed
	resultCount
)

func (r *request) result() result {
	switch {
	case r.code == coder.OK && r.status < http.StatusInternalServerError:
		return answered
	case r.code != coder.OK && coder.Lookup(r.code).Ran == coder.RanNo:
		return refused
	}
	return failed
}

func (r *request) late() bool {
	return r.result() == answered && r.aimMillis > 0 && r.tookMillis > float64(r.aimMillis)
}

// attempt is a group of attempts: of one code, from one data centre to one target.
type attempt struct {
	code           coder.Code
	centre, target string
}

// queued is a group of waits: of calls of one rank for one service that ended one way,
// waitEnded or waitRefused.
type queued struct {
	service string
	rank    int
	end     string
}

// Ends of a wait, as the table shows them.
const (
	waitEnded   = "got a slot"
	waitRefused = "refused"
)

// line is one line of a log: an event, or a message of the node.
type line struct {
	explainer.Event
	Message string `json:"msg"`
	// Totals are those of the message "traffic", and Count that of "log lines
	// dropped".
	Totals map[string]int64 `json:"totals"`
	Count  int              `json:"count"`
}

// Read reads logs of any number of nodes, one after another. It skips lines that are
// neither events nor messages of nodes, and text before a line's JSON.
func Read(in io.Reader) (*Account, error) {
	a := &Account{
		ranks: map[string]int{}, attempts: map[attempt]int{}, waits: map[queued]*samples{}, refusedWaits: map[string]bool{},
		targetCentres: map[string]string{}, nodeCentres: map[string]string{}, traffic: map[string][]trafficLine{},
	}
	err := explainer.EachObject(in, func(object []byte) {
		var l line
		if json.Unmarshal(object, &l) == nil && (l.Kind != "" || l.Message != "") {
			a.add(&l)
		}
	})
	return a, err
}

func (a *Account) add(l *line) {
	if a.events++; !l.Time.IsZero() {
		if a.first.IsZero() || l.Time.Before(a.first) {
			a.first = l.Time
		}
		if l.Time.After(a.last) {
			a.last = l.Time
		}
	}
	if l.Node != "" && l.Centre != "" {
		a.nodeCentres[l.Node] = l.Centre
	}
	if l.Rank != nil && *l.Rank > 0 && l.Request != "" {
		a.ranks[l.Request] = *l.Rank
	}
	a.addWait(l)
	switch l.Kind {
	case "request-answered", "request-refused":
		a.addRequest(l)
	case "request-dropped":
		a.droppedRequests++
	case "attempt":
		a.attempts[attempt{code: coder.Code(l.Code), centre: l.Centre, target: l.Target}]++
	case "call-sent", "call-ended", "target-announced":
		a.targetCentres[l.Target] = l.Centre
	}
	switch l.Message {
	case "log lines dropped":
		a.droppedLines += l.Count
	case messageTraffic, messageStarted:
		a.traffic[l.Node] = append(a.traffic[l.Node], trafficLine{at: l.Time, started: l.Message == messageStarted, totals: l.Totals})
	}
}

func (a *Account) addRequest(l *line) {
	r := request{
		id: l.Request, route: l.Route, workspace: l.Workspace, at: l.Time, code: coder.Code(l.Code),
		status: l.Status, tookMillis: l.Took, aimMillis: l.Aim,
	}
	if r.route == "" && r.code == coder.OK {
		r.route = l.Detail // as logged before lines had a route
	}
	a.requests = append(a.requests, r)
}

// addWait adds the wait of a call that got a slot, and of one that was refused.
func (a *Account) addWait(l *line) {
	key := queued{service: serviceOf(l.Target), end: waitEnded}
	switch {
	case l.Wait == nil:
		return
	case l.Code != 0 && l.Attempt != "":
		if a.refusedWaits[l.Attempt] {
			return
		}
		a.refusedWaits[l.Attempt] = true
		key.end = waitRefused
	case l.Kind != "call-sent":
		return
	}
	if l.Rank != nil {
		key.rank = *l.Rank
	}
	if a.waits[key] == nil {
		a.waits[key] = &samples{}
	}
	a.waits[key].add(*l.Wait)
}

// serviceOf returns the service of a target, whose name is SERVICE@ADDRESS.
func serviceOf(target string) string {
	service, _, _ := strings.Cut(target, "@")
	return cmp.Or(service, unknown)
}
