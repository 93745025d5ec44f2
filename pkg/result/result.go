// Package result defines the numeric result codes and a typed error with a code
// and the run state of a request.
//
// A test checks that the table in docs/errors.md lists the same codes.
package result

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
)

// RunState reports whether a rejected or failed request ran on an upstream.
type RunState string

// The run states reported to callers in errors.
const (
	// NotRun means that no attempt ran: no byte was sent, or the upstream
	// refused the request before running it.
	NotRun RunState = "not_run"
	// Ran means that an upstream started to respond.
	Ran RunState = "ran"
	// Unknown means that the request may have run.
	Unknown RunState = "unknown"
)

// Worst returns the combined state of a request with attempts in both states:
// unknown takes precedence over ran, and ran over not_run.
func (s RunState) Worst(other RunState) RunState {
	if s == Unknown || other == Unknown {
		return Unknown
	}
	if s == Ran || other == Ran {
		return Ran
	}
	return NotRun
}

// Code is a numbered result code.
type Code int

// Info describes a code for the documentation and the HTTP API.
type Info struct {
	Code Code
	// Name is the stable identifier in the field "code" of error responses.
	Name string
	// HTTPStatus is the status of responses with this code; 0 for codes that
	// are not used in HTTP responses.
	HTTPStatus int
	// Summary is a one-sentence description.
	Summary string
}

// Error is an error with a result code and a run state.
type Error struct {
	Code Code
	Run  RunState
	// Message is shown to the caller; it contains no internal addresses.
	Message string
	// RetryAfter is the time to wait before a retry; 0 if unknown.
	RetryAfter time.Duration
	// Cause is the underlying error, for logs only; it is not shown to callers.
	Cause error
}

// Error implements the error interface.
func (e *Error) Error() string {
	if e.Cause != nil {
		return fmt.Sprintf("%d %s: %s: %v", int(e.Code), e.Code, e.Message, e.Cause)
	}
	return fmt.Sprintf("%d %s: %s", int(e.Code), e.Code, e.Message)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// New returns an error with run state not_run.
func New(code Code, format string, args ...any) *Error {
	return &Error{Code: code, Run: NotRun, Message: fmt.Sprintf(format, args...)}
}

// Wrap returns an error with the given cause and run state.
func Wrap(cause error, code Code, run RunState, format string, args ...any) *Error {
	return &Error{Code: code, Run: run, Message: fmt.Sprintf(format, args...), Cause: cause}
}

// WithRetryAfter sets the time to wait before a retry and returns e.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	e.RetryAfter = d
	return e
}

// WithRun sets the run state and returns e.
func (e *Error) WithRun(run RunState) *Error {
	e.Run = run
	return e
}

// From returns the *Error in err's chain. Any other error is wrapped as an
// internal error with run state unknown.
func From(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return Wrap(err, Internal, Unknown, "internal error")
}

// CodeOf returns the code in err's chain, or 0 when there is none.
func CodeOf(err error) Code {
	var e *Error
	if errors.As(err, &e) {
		return e.Code
	}
	return 0
}
