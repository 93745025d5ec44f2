package relay

import (
	"context"
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"cassiapin/pkg/limits"
	"cassiapin/pkg/result"
	"cassiapin/pkg/topology"
)

const (
	// maxAnswerBytes bounds a plain answer, which is kept until it is whole.
	maxAnswerBytes = 16 << 20
	// plainPatience is how many times the latency objective a request that may
	// run again waits for one upstream while another is left.
	plainPatience = 2
)

// plain serves a request with one answer. The answer is passed on when it is
// whole, so that a broken one can be repeated or turned into an error.
func (f *flow) plain(ctx context.Context) {
	for {
		u, err := f.acquire(ctx, "")
		if err != nil {
			f.giveUp(ctx, failure{code: result.NoRunner, reason: err.Error()})
			return
		}
		answer, body, fail := f.plainAttempt(ctx, u)
		if answer != nil && answer.Successful() {
			f.deliver(answer, body)
			return
		}
		f.attemptFailed(ctx, u, fail)
		repeat := (f.route.Repeats() || fail.notRun) && f.mayRepeat(ctx, limits.Recovery)
		if !repeat && answer != nil {
			f.deliver(answer, body)
			return
		}
		if !repeat {
			f.giveUp(ctx, fail)
			return
		}
	}
}

func (f *flow) deliver(a *Answer, body []byte) {
	f.out.Whole(a, body)
	f.done(a.Status)
}

// plainAttempt sends the request to one upstream. answer is the application's
// answer, also when it reports a failure, and nil if there is none.
func (f *flow) plainAttempt(ctx context.Context, u *topology.Upstream) (answer *Answer, body []byte, fail failure) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	over := f.limitPatience(ctx, cancel, u)
	a, err := f.send(ctx, u, "", 0)
	defer a.close()
	if err != nil {
		gaveUp := over()
		if gaveUp || errors.Is(ctx.Err(), context.DeadlineExceeded) {
			f.gaveUp(a)
		}
		return nil, nil, sendFailure(err, gaveUp)
	}
	if fail, ok := headFailure(a.answer); !ok {
		return nil, nil, fail
	}
	f.judged(a, a.answer.Successful())
	f.firstByte = f.elapsed()
	body, err = io.ReadAll(io.LimitReader(a.answer.Body, maxAnswerBytes+1))
	switch {
	case err != nil:
		return nil, nil, failure{code: result.StreamCut, reason: errors.Wrap(err, "read the answer").Error(), unreachable: over()}
	case len(body) > maxAnswerBytes:
		return nil, nil, failure{code: result.AnswerTooLarge, reason: "the answer is too large"}
	case !a.answer.Successful():
		return a.answer, body, failure{code: result.UpstreamError, reason: "the application reports a failure", reported: true}
	}
	f.succeeded(u)
	return a.answer, body, failure{}
}

// limitPatience cancels an attempt that takes longer than the request waits
// for one upstream. over reports whether that has happened.
func (f *flow) limitPatience(ctx context.Context, cancel context.CancelFunc, u *topology.Upstream) (over func() bool) {
	if !f.route.Repeats() || f.sends+1 >= f.route.MaxUpstreams || f.route.TargetLatency <= 0 {
		return func() bool { return false }
	}
	timer := time.AfterFunc(plainPatience*f.route.TargetLatency, cancel)
	return func() bool { return !timer.Stop() && ctx.Err() != nil }
}
