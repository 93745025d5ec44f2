package upstream

import (
	"context"
	"net/http"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"cassiapin/pkg/holdoff"
	"cassiapin/pkg/result"
)

// errCold is the cause of a refusal by an engine in cold start.
var errCold = errors.New("the engine is in cold start")

// engineStateCold is the value of HeaderEngineState during a cold start.
const engineStateCold = "cold"

// IndicatesColdStart reports whether err suggests that the upstream is in cold
// start: it answered with state cold, or it refused the connection.
func IndicatesColdStart(err error) bool {
	return errors.Is(err, errCold) || errors.Is(err, syscall.ECONNREFUSED)
}

// classify converts the failure of an exchange to a typed error. ctx is the
// context of the exchange; its cause distinguishes timeouts from cancellation
// by the caller.
func classify(ctx context.Context, err error, run result.RunState) *result.Error {
	cause := err
	if ctx.Err() != nil {
		cause = context.Cause(ctx)
	}
	switch {
	case ctx.Err() == nil && run == result.NotRun:
		return result.Wrap(err, result.ConnectFailed, run, "no connection to the upstream")
	case errors.Is(cause, errTooLarge):
		return result.Wrap(err, result.AnswerTooLarge, run, "the answer exceeds the size limit")
	case errors.Is(cause, errReadTimeout):
		return result.Wrap(err, result.UpstreamSilent, run, "the upstream's connection went silent")
	case errors.Is(cause, errFirstByteTimeout), errors.Is(cause, context.DeadlineExceeded):
		return result.Wrap(err, result.UpstreamTimeout, run, "the upstream did not answer in time")
	case ctx.Err() != nil:
		return result.Wrap(err, result.CallerCancelled, run, "the request was cancelled")
	}
	return result.Wrap(err, result.StreamCut, run, "the connection broke before the answer was whole")
}

// statusError returns the error for an engine's HTTP status, nil for 200. A
// 429 and a 503 with engine state cold mean that the request did not run.
func statusError(r *http.Response) *result.Error {
	if r.StatusCode == http.StatusOK {
		return nil
	}
	cold := r.StatusCode == http.StatusServiceUnavailable && r.Header.Get(HeaderEngineState) == engineStateCold
	switch {
	case cold:
		return result.Wrap(errCold, result.UpstreamRefused, result.NotRun, "the upstream is in cold start").
			WithRetryAfter(retryAfter(r))
	case r.StatusCode == http.StatusTooManyRequests:
		return result.New(result.UpstreamRefused, "the upstream is at its limit").WithRetryAfter(retryAfter(r))
	}
	failure := result.New(result.UpstreamError, "the upstream answered with status %d", r.StatusCode).WithRun(result.Ran)
	if r.StatusCode == http.StatusServiceUnavailable {
		return failure.WithRetryAfter(retryAfter(r))
	}
	return failure
}

func retryAfter(r *http.Response) time.Duration {
	return holdoff.ParseRetryAfter(r.Header.Get("Retry-After"), time.Now())
}

// engineStateLeaving is the value of HeaderEngineState of an upstream that leaves.
const engineStateLeaving = "leaving"

// wishOf returns what a response says that its upstream wants. The refusal of an
// engine in cold start is about its cold limit and is left to the owner's permits.
func wishOf(r *http.Response) (w holdoff.Wish) {
	state := r.Header.Get(HeaderEngineState)
	w.Leaving = state == engineStateLeaving
	if r.StatusCode == http.StatusTooManyRequests || r.StatusCode == http.StatusServiceUnavailable && state != engineStateCold {
		w.RetryAfter = retryAfter(r)
	}
	return w
}

// attemptMismatch returns the error for a response without the expected
// attempt id. The run state is unknown, because even a refusal may belong to
// another attempt.
func attemptMismatch(status int, echo string) *result.Error {
	if echo == "" && status != http.StatusOK {
		return result.New(result.UpstreamError, "the upstream answered with status %d and without the attempt id", status).
			WithRun(result.Unknown)
	}
	return result.New(result.AnswerMismatch, "the answer belongs to another attempt").WithRun(result.Unknown)
}
