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
func (b *sharedBackoff) failed(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.next.After(now) {
		b.scheduleNext(now)
	}
}

// claim returns zero if the caller may call the store now, and otherwise the
// time until it may try to claim again. The channel is closed when the store
// answers another call before that.
func (b *sharedBackoff) claim(now time.Time) (time.Duration, <-chan struct{}) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.next.After(now) {
		return b.next.Sub(now), b.answered
	}
	b.scheduleNext(now)
	return 0, b.answered
}

// scheduleNext schedules the next call; the caller holds the lock.
func (b *sharedBackoff) scheduleNext(now time.Time) {
	b.next = now.Add(b.pause/2 + time.Duration(rand.Int63n(int64(b.pause))))
	b.pause = min(2*b.pause, retryMax)
}

// recovered resets the backoff after a successful call.
func (b *sharedBackoff) recovered() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.pause, b.next = retryMin, time.Time{}
	close(b.answered)
	b.answered = make(chan struct{})
}
