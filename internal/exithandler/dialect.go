package exithandler

import (
	"net/http"
	"strconv"
	"time"

	"github.com/zinniaproxy/zinniaproxy/pkg/coder"
)

// Dialect defines the HTTP interface to callers and targets: the names of header
// fields and the meaning of some responses. A field whose name is empty is not
// used.
type Dialect struct {
	// RequestIDHeader is the header field for the request's ID, TimeoutHeader the
	// one for the remaining time in milliseconds, and WorkspaceHeader the one for
	// the workspace that the request runs for.
	RequestIDHeader, TimeoutHeader, WorkspaceHeader string
	// InstanceHeader is the header field for the target's process that a request
	// is meant for.
	InstanceHeader string
	// OriginHeader is the header field for the service on whose VM the request
	// began.
	OriginHeader string
	// RateHeader and LeavingHeader are the header fields in which a target's
	// response states how many requests per second the target accepts from the
	// whole fleet, a decimal number, and, by the value 1, that it is leaving.
	RateHeader, LeavingHeader string
	// CallerSetsID is true when callers set the IDs of their requests, in
	// RequestIDHeader.
	CallerSetsID bool
	// Echo is true when every target repeats the request's ID in its response.
	Echo bool
	// CloseDelimited is true when the end of the connection may mark the end of
	// a response.
	CloseDelimited bool
	// ResultHeaders is true when responses to callers carry the header fields
	// Zinnia-Code and Zinnia-Ran.
	ResultHeaders bool
	// OuterRequest returns the ID of the request that a target was running when it
	// sent an inner request with the given ID, or "" for no inner request. Nil means
	// that IDs do not tell.
	OuterRequest func(id string) string
	// NotRun reports whether a target's response says that the request did not
	// run.
	NotRun func(status int, h http.Header) bool
	// PromisesNotRun reports whether callers take a status by itself for a promise
	// that the request did not run and never will. Nil means that they take none
	// for that.
	PromisesNotRun func(status int) bool
	// Status returns the HTTP status of a refusal.
	Status func(result coder.Result) int
	// RetryAfter returns the value of the Retry-After header field.
	RetryAfter func(d time.Duration) string
}

// OwnDialect returns the dialect of the fleet's own HTTP interface.
func OwnDialect() Dialect {
	return Dialect{
		RequestIDHeader: RequestHeader, TimeoutHeader: TimeoutHeader, WorkspaceHeader: WorkspaceHeader, ResultHeaders: true,
		RateHeader: RateHeader, LeavingHeader: LeavingHeader,
		NotRun: func(status int, h http.Header) bool {
			return status == http.StatusServiceUnavailable && h.Get(RanHeader) == string(coder.RanNo)
		},
		Status:     func(result coder.Result) int { return result.Status },
		RetryAfter: ceilSeconds,
	}
}

// ceilSeconds rounds up to whole seconds, at least 1, since Retry-After takes
// no fractions.
func ceilSeconds(d time.Duration) string {
	return strconv.Itoa(max(int((d+time.Second-1)/time.Second), 1))
}

// reservedHeaders returns the header fields that only the fleet may set.
func (d *Dialect) reservedHeaders() []string {
	return []string{d.RequestIDHeader, d.TimeoutHeader, d.WorkspaceHeader, d.InstanceHeader, d.OriginHeader}
}

func (d *Dialect) promisesNotRun(status int) bool {
	return d.PromisesNotRun != nil && d.PromisesNotRun(status)
}
