package storeview

import (
	"math/rand"
	"sync"
	"time"
)

const (
	// retryMin and retryMax bound the backoff between calls while the store
	// does not answer; it doubles, with a jitter of half to one and a half.
	retryMin = 100 * time.Millisecond
	retryMax = 400 * time.Millisecond
)

// sharedBackoff is the backoff shared by all followers while the store does not
// answer: each call is billed, and any of them detects the recovery.
type sharedBackoff struct {
	mu       sync.Mutex
	pause    time.Duration
	next     time.Time
	answered chan struct{}
}

func newSharedBackoff() *sharedBackoff {
	return &sharedBackoff{pause: retryMin, answered: make(chan struct{})}
}

// failed records a failed call.
func (o *sharedBackoff) failed(now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.next.After(now) {
		o.scheduleNext(now)
	}
}

// claim returns zero if the caller may call the store now, and otherwise the
// time until it may try to claim again. The channel is closed when the store
// answers another call before that.
func (o *sharedBackoff) claim(now time.Time) (time.Duration, <-chan struct{}) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.next.After(now) {
		return o.next.Sub(now), o.answered
	}
	o.scheduleNext(now)
	return 0, o.answered
}

// scheduleNext schedules the next call; the caller holds the lock.
func (o *sharedBackoff) scheduleNext(now time.Time) {
	o.next = now.Add(o.pause/2 + time.Duration(rand.Int63n(int64(o.pause))))
	o.pause = min(2*o.pause, retryMax)
}

// recovered resets the backoff after a successful call.
func (o *sharedBackoff) recovered() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.pause, o.next = retryMin, time.Time{}
	close(o.answered)
	o.answered = make(chan struct{})
}
