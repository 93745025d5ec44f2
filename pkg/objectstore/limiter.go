package objectstore

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/time/rate"

	"cassiapin/pkg/clock"
	"cassiapin/pkg/result"
)

// errClientLimit is the cause of calls rejected by the node's own rate limit.
// They are not retried: the required wait already exceeds limiter.maxWait.
var errClientLimit = errors.New("client-side rate limit")

// limiter is a token bucket with a bounded wait.
type limiter struct {
	clock   clock.Clock
	bucket  *rate.Limiter
	maxWait time.Duration
}

// burstOf returns the burst size: the tokens of one second.
func burstOf(perSecond float64) int { return max(int(perSecond), 1) }

func newLimiter(c clock.Clock, perSecond float64, maxWait time.Duration) *limiter {
	return &limiter{
		clock:   c,
		bucket:  rate.NewLimiter(rate.Limit(perSecond), burstOf(perSecond)),
		maxWait: maxWait,
	}
}

func (l *limiter) set(perSecond float64) {
	now := l.clock.Now()
	l.bucket.SetLimitAt(now, rate.Limit(perSecond))
	l.bucket.SetBurstAt(now, burstOf(perSecond))
}

// wait takes a token. It fails with PlatformLimited if the wait would exceed
// maxWait or ctx ends first.
func (l *limiter) wait(ctx context.Context) error {
	now := l.clock.Now()
	r := l.bucket.ReserveN(now, 1)
	delay := r.DelayFrom(now)
	if !r.OK() || delay > l.maxWait {
		r.CancelAt(now)
		return result.Wrap(errClientLimit, result.PlatformLimited, result.NotRun, "the limit of platform calls is reached").
			WithRetryAfter(l.maxWait)
	}
	if delay <= 0 {
		return nil
	}
	if err := l.clock.Sleep(ctx, delay); err != nil {
		r.CancelAt(l.clock.Now())
		return result.Wrap(err, result.PlatformLimited, result.NotRun, "the call ended while it waited for the node's limit")
	}
	return nil
}
