package coder

import (
	"errors"
	"fmt"
	"time"
)

// Error is a refusal with its code. It is the only error type whose RanNo may
// be reported to a caller.
type Error struct {
	// Code is the number of the refusal.
	Code Code
	// Detail adds specifics to the code's text. It never contains a key.
	Detail string
	// After is the retry-after delay; zero means unspecified.
	After time.Duration
}

// New returns a refusal with a formatted detail.
func New(c Code, format string, args ...any) *Error {
	return &Error{Code: c, Detail: fmt.Sprintf(format, args...)}
}

// WithAfter returns a copy with the retry-after delay d.
func (e *Error) WithAfter(d time.Duration) *Error {
	c := *e
	c.After = d
	return &c
}

// Error implements the error interface.
func (e *Error) Error() string {
	r := Lookup(e.Code)
	if e.Detail == "" {
		return fmt.Sprintf("%d %s", r.Code, r.Name)
	}
	return fmt.Sprintf("%d %s: %s", r.Code, r.Name, e.Detail)
}

// Ran states whether the refused request ran.
func (e *Error) Ran() Ran {
	return Lookup(e.Code).Ran
}

// Of returns the refusal wrapped in err. If there is none, it returns Cut,
// because an unclassified error does not prove whether the request ran.
func Of(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return &Error{Code: Cut, Detail: err.Error()}
}
