// Package holdoff decides when an upstream may get requests after it has refused
// one for a time or has said that it leaves. Both request paths keep one Belief
// for each instance of an upstream, with its other state, and ask it immediately
// before each send.
package holdoff

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"
)

const (
	// MaxRefusal is the longest refusal that is honoured. A faulty upstream that
	// asks for more gets one round of requests a minute, so that it can't stay
	// closed for good.
	MaxRefusal = time.Minute
	// reopenTime is the time after a refusal in which the number of open requests
	// is limited, to one and one more for each reopenStep. Callers that wait would
	// otherwise all go to the upstream that opens first.
	reopenTime = time.Second
	reopenStep = 100 * time.Millisecond
)

// Wish is what one answer says that its upstream wants.
type Wish struct {
	// RetryAfter is how long the upstream wants no more requests, zero if it does
	// not say so.
	RetryAfter time.Duration
	Leaving    bool
}

// Hear records what an answer of the instance says. It reports whether that was
// news.
func (b *Belief) Hear(w Wish, now time.Time) bool {
	refused := b.Refused(w.RetryAfter, now)
	return w.Leaving && b.Left(now) || refused
}

// maxReturnSpread is the longest addition to the retry delay after a refusal by
// upstreams, which spreads the return of callers.
const maxReturnSpread = time.Second

// RetryDelay returns the retry delay of a caller whose upstreams refuse requests
// for wait; random is in [0, 1).
func RetryDelay(wait time.Duration, random float64) time.Duration {
	return wait + time.Duration(random*float64(min(max(wait/2, maxReturnSpread/4), maxReturnSpread)))
}

// State is what an upstream wants.
type State int

// The states of an upstream. Reopening is the time after a refusal in which it has
// as many requests as it may get.
const (
	Open State = iota
	Refusing
	Reopening
	Leaving
)

// String returns the name of the state in logs and metrics.
func (s State) String() string { return [...]string{"open", "refusing", "reopening", "leaving"}[s] }

// Belief is what a node believes of one instance of an upstream. The zero value
// is that of an instance that has said nothing. Times are those of a clock that
// does not jump. It is not safe for concurrent use.
type Belief struct {
	// until is the end of the latest refusal.
	until time.Time
	// leavingSince is when the instance first said that it leaves, zero before.
	leavingSince time.Time
}

// Refused records an answer of the instance that refuses requests for a time. A
// refusal does not shorten an earlier one: answers overtake each other. It reports
// whether the belief has changed.
func (b *Belief) Refused(retryAfter time.Duration, now time.Time) bool {
	until := now.Add(min(retryAfter, MaxRefusal))
	if retryAfter <= 0 || !until.After(b.until) {
		return false
	}
	b.until = until
	return true
}

// Left records an answer of the instance that says that it leaves. It holds until
// the instance ends, because no later answer takes it back. It reports whether the
// belief has changed.
func (b *Belief) Left(now time.Time) bool {
	if !b.leavingSince.IsZero() {
		return false
	}
	b.leavingSince = now
	return true
}

// State returns what the instance wants while open requests of this node are at it.
// None of the requests that the users' rule allows during a refusal is used: each
// would cost a caller one of its attempts.
func (b *Belief) State(open int, now time.Time) State {
	switch {
	case !b.leavingSince.IsZero():
		return Leaving
	case now.Before(b.until):
		return Refusing
	case b.until.IsZero() || now.Sub(b.until) >= reopenTime:
		return Open
	case open <= int(now.Sub(b.until)/reopenStep):
		return Open
	}
	return Reopening
}

// Until returns the end of the latest refusal, zero without one.
func (b *Belief) Until() time.Time { return b.until }

// LeavingSince returns when the instance said that it leaves, zero before.
func (b *Belief) LeavingSince() time.Time { return b.leavingSince }

// Blank reports whether the belief no longer affects anything.
func (b *Belief) Blank(now time.Time) bool {
	return b.leavingSince.IsZero() && now.Sub(b.until) >= reopenTime
}

// ParseRetryAfter decodes a Retry-After header: seconds, which may have a fraction,
// or an HTTP date, compared with the wall clock. It returns zero if the value is
// missing, malformed, negative or past, and MaxRefusal at most.
func ParseRetryAfter(text string, wall time.Time) time.Duration {
	text = strings.TrimSpace(text)
	if text == "" {
		return 0
	}
	seconds, err := strconv.ParseFloat(text, 64)
	if err != nil && !math.IsInf(seconds, 1) {
		at, err := http.ParseTime(text)
		if err != nil {
			return 0
		}
		seconds = at.Sub(wall).Seconds()
	}
	if math.IsNaN(seconds) || seconds <= 0 {
		return 0
	}
	return time.Duration(min(seconds, MaxRefusal.Seconds()) * float64(time.Second))
}
