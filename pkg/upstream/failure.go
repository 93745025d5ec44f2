package upstream

import (
	"context"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

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
	return result.New(result.UpstreamError, "the upstream answered with status %d", r.StatusCode).
		WithRun(result.Ran)
}

// maxRetryAfter caps the Retry-After value of an upstream.
const maxRetryAfter = time.Minute

func retryAfter(r *http.Response) time.Duration {
	seconds, err := strconv.Atoi(r.Header.Get("Retry-After"))
	if err != nil || seconds < 0 {
		return 0
	}
	return min(time.Duration(seconds)*time.Second, maxRetryAfter)
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
