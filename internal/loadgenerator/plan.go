// Package loadgenerator is an open-loop load generator: it sends requests at a
// fixed rate, whether or not earlier ones have completed, and checks every
// response against its request.
package loadgenerator

import (
	"encoding/json"
	"fmt"
	"io"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/zinniaproxy/zinniaproxy/pkg/coder"
	"github.com/zinniaproxy/zinniaproxy/pkg/declarer"
)

// Limits and defaults of a plan.
const (
	// MaxRequests and MaxSeconds bound one run.
	MaxRequests          = 500_000
	MaxSeconds           = 600
	maxRequestsPerSecond = 20_000
	maxSizeBytes         = 1 << 20
	maxWeight            = 1_000
	maxTimeoutMillis     = 60_000
	maxPlanBytes         = 1 << 20
	// DefaultTimeoutMillis is the timeout of calls that set none.
	DefaultTimeoutMillis = 5_000
)

// Plan describes the requests of a run.
type Plan struct {
	// Entries are the addresses (IP and port) of entry nodes. Requests go to
	// them round-robin.
	Entries []string `json:"entries"`
	// Targets are the addresses of fake targets. Their run logs are read after
	// the run to find duplicate runs and false "not run" refusals.
	Targets []string `json:"targets,omitempty"`
	// Rate is in requests per second.
	Rate float64 `json:"rate"`
	// Seconds is how long requests are sent.
	Seconds float64 `json:"seconds"`
	// Calls are picked at random by weight.
	Calls []Call `json:"calls"`
	// Seed makes the order of the calls reproducible.
	Seed uint64 `json:"seed,omitempty"`
	// Remote allows addresses other than loopback ones.
	Remote bool `json:"remote,omitempty"`
}

// Call is one kind of request in the mix.
type Call struct {
	// Name identifies the call in the report.
	Name string `json:"name"`
	// Method and Path go into the request line.
	Method string `json:"method"`
	Path   string `json:"path"`
	// Key is sent as a bearer token unless empty.
	Key string `json:"key,omitempty"`
	// Workspace is the workspace that the response must name; empty on open
	// routes.
	Workspace string `json:"workspace,omitempty"`
	// Weight is the call's relative frequency; 0 means 1.
	Weight int `json:"weight,omitempty"`
	// Once marks a non-idempotent call, whose requests must run at most once.
	Once bool `json:"once,omitempty"`
	// Repeat sends an idempotency key, and retries with it when the request was
	// neither answered nor refused as not run.
	Repeat bool `json:"repeat,omitempty"`
	// Size is the requested size of faker.Response.Data, in bytes.
	Size int `json:"size,omitempty"`
	// Timeout is in milliseconds; 0 means DefaultTimeoutMillis.
	Timeout int `json:"timeout,omitempty"`
}

func (c Call) timeout() time.Duration {
	if c.Timeout > 0 {
		return time.Duration(c.Timeout) * time.Millisecond
	}
	return DefaultTimeoutMillis * time.Millisecond
}

// Read decodes a plan from JSON without checking its values. Unknown fields are
// an error with code BadSettings.
func Read(r io.Reader) (Plan, error) {
	var p Plan
	d := json.NewDecoder(io.LimitReader(r, maxPlanBytes))
	d.DisallowUnknownFields()
	if err := d.Decode(&p); err != nil {
		return p, coder.New(coder.BadSettings, "plan: %v", err)
	}
	return p, nil
}

// Requests returns the number of requests that the plan sends.
func (p Plan) Requests() int {
	return int(p.Rate * p.Seconds)
}

// Check returns the plan's invalid values; none means that the plan is valid.
func (p Plan) Check() []declarer.Problem {
	var out []declarer.Problem
	require := func(ok bool, path string, value any, rule string) {
		if !ok {
			out = append(out, declarer.Problem{Path: path, Value: fmt.Sprint(value), Rule: rule})
		}
	}
	require(len(p.Entries) > 0, "entries", len(p.Entries), "must name at least one address")
	require(len(p.Calls) > 0, "calls", len(p.Calls), "must hold at least one call")
	require(p.Rate > 0 && p.Rate <= maxRequestsPerSecond, "rate", p.Rate, fmt.Sprintf("must be above 0 and at most %d requests a second", maxRequestsPerSecond))
	require(p.Seconds > 0 && p.Seconds <= MaxSeconds, "seconds", p.Seconds, fmt.Sprintf("must be above 0 and at most %d", MaxSeconds))
	require(p.Rate*p.Seconds <= MaxRequests, "rate", p.Rate, fmt.Sprintf("rate times seconds must be at most %d requests", MaxRequests))
	for i, a := range p.Entries {
		require(p.addressAllowed(a), fmt.Sprintf("entries[%d]", i), a, p.addressRule())
	}
	for i, a := range p.Targets {
		require(p.addressAllowed(a), fmt.Sprintf("targets[%d]", i), a, p.addressRule())
	}
	for i, c := range p.Calls {
		path := fmt.Sprintf("calls[%d]", i)
		require(c.Name != "", path+".name", c.Name, "must not be empty")
		require(c.Method != "" && strings.ToUpper(c.Method) == c.Method, path+".method", c.Method, "must be an HTTP method")
		require(strings.HasPrefix(c.Path, "/"), path+".path", c.Path, "must start with /")
		require(c.Weight >= 0 && c.Weight <= maxWeight, path+".weight", c.Weight, fmt.Sprintf("must be 0 to %d", maxWeight))
		require(c.Size >= 0 && c.Size <= maxSizeBytes, path+".size", c.Size, fmt.Sprintf("must be 0 to %d bytes", maxSizeBytes))
		require(c.Timeout >= 0 && c.Timeout <= maxTimeoutMillis, path+".timeout", c.Timeout, fmt.Sprintf("must be 0 to %d milliseconds", maxTimeoutMillis))
	}
	return out
}

func (p Plan) addressRule() string {
	if p.Remote {
		return "must be an IP and a port"
	}
	return "must be a loopback IP and a port (remote allows others)"
}

func (p Plan) addressAllowed(address string) bool {
	a, err := netip.ParseAddrPort(address)
	return err == nil && (p.Remote || a.Addr().IsLoopback())
}

// weightedCallIndices returns the index of each call, repeated by its weight.
func (p Plan) weightedCallIndices() []int {
	var out []int
	for i, c := range p.Calls {
		out = append(out, slices.Repeat([]int{i}, max(c.Weight, 1))...)
	}
	return out
}
