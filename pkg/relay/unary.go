package relay

import (
	"context"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"cassiapin/pkg/budget"
	"cassiapin/pkg/limits"
	"cassiapin/pkg/result"
	"cassiapin/pkg/topology"
)

const (
	// maxAnswerBytes is the largest answer that is not a stream. It is buffered
	// until it is complete.
	maxAnswerBytes = 16 << 20
	// unaryTimeoutFactor times the latency objective is how long a repeatable
	// request waits for one upstream while it may still be sent to another.
	unaryTimeoutFactor = 2
)

// unary serves a request with a single answer. The answer is forwarded once it
// is complete, so that after a truncated one the request can be retried or
// answered with an error.
func (f *flow) unary(ctx context.Context) {
	for !f.unaryStep(ctx) {
	}
}

// unaryStep sends the request to one upstream. It returns true once the request
// has its final answer.
func (f *flow) unaryStep(ctx context.Context) (ended bool) {
	u, err := f.acquire(ctx, "")
	if err != nil {
		f.giveUp(ctx, acquireFailure(err))
		return true
	}
	answer, body, fail := f.unaryAttempt(ctx, u)
	defer body.Release()
	if answer != nil && answer.Successful() {
		f.deliver(answer, body.Bytes)
		return true
	}
	f.attemptFailed(ctx, u, fail)
	if (f.route.Retryable() || fail.notRun) && f.mayRepeat(ctx, limits.Recovery) {
		return false
	}
	if answer != nil {
		f.deliver(answer, body.Bytes)
	} else {
		f.giveUp(ctx, fail)
	}
	return true
}

func (f *flow) deliver(a *Answer, body []byte) {
	f.out.Respond(a, body)
	f.done(a.Status)
}

// unaryAttempt sends the request to one upstream. answer is the application's
// answer, even if that reports a failure, or nil if there is none. The receiver
// releases body.
func (f *flow) unaryAttempt(ctx context.Context, u *topology.Upstream) (answer *Answer, body *budget.Buffer, fail failure) {
	buffer := newBuffer(f.service.opts.Memory, maxAnswerBytes)
	body = &buffer
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	timedOut := f.limitAttempt(ctx, cancel, u)
	a, err := f.send(ctx, u, "", 0)
	defer a.close()
	if err != nil {
		expired := timedOut()
		if expired || errors.Is(ctx.Err(), context.DeadlineExceeded) {
			f.reportTimeout(a)
		}
		return nil, body, sendFailure(err, expired)
	}
	if fail, ok := headerFailure(a.answer); !ok {
		return nil, body, fail
	}
	f.reportOutcome(a, a.answer.Successful())
	f.firstByte = f.elapsed()
	if err := body.ReadAll(a.answer.Body); err != nil {
		return nil, body, bodyFailure(err, timedOut())
	}
	if !a.answer.Successful() {
		return a.answer, body, failure{code: result.UpstreamError, reason: "the application reports a failure", reported: true}
	}
	f.recordSuccess(u)
	f.observed.Answered()
	return a.answer, body, failure{}
}

// limitAttempt cancels an attempt that exceeds the time allowed for one upstream, once
// the request may be sent to another. timedOut reports whether it has done so.
func (f *flow) limitAttempt(ctx context.Context, cancel context.CancelFunc, u *topology.Upstream) (timedOut func() bool) {
	if !f.route.Retryable() || f.sends+1 >= f.route.MaxUpstreams || f.route.TargetLatency <= 0 {
		return func() bool { return false }
	}
	replacement := f.replacementOf(u)
	var expired atomic.Bool
	go func() {
		wait := unaryTimeoutFactor * f.route.TargetLatency
		for f.service.clock.Sleep(ctx, wait) == nil {
			if replacement.reserve() {
				expired.Store(true)
				cancel()
				return
			}
			wait = reservePause
		}
	}()
	return expired.Load
}
