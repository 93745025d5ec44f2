package knowledge

import (
	"math/rand"
	"sync"
	"time"
)

const (
	// retryMin and retryMax bound the pause between calls while the store does
	// not answer; the pause doubles and is spread over its own length.
	retryMin = 100 * time.Millisecond
	retryMax = 400 * time.Millisecond
)

// outage spaces the calls of all duties while the store does not answer: each
// call is paid for, and any of them finds out that the store is back.
type outage struct {
	mu       sync.Mutex
	pause    time.Duration
	next     time.Time
	answered chan struct{}
}

func newOutage() *outage { return &outage{pause: retryMin, answered: make(chan struct{})} }

// failed notes that a call has failed.
func (o *outage) failed(now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.next.After(now) {
		o.delay(now)
	}
}

// claim lets the caller call the store now if it returns zero, and otherwise
// says when to ask again. The channel is closed when the store answers another
// call before that.
func (o *outage) claim(now time.Time) (time.Duration, <-chan struct{}) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.next.After(now) {
		return o.next.Sub(now), o.answered
	}
	o.delay(now)
	return 0, o.answered
}

// delay puts off the next call; the caller holds the lock.
func (o *outage) delay(now time.Time) {
	o.next = now.Add(o.pause/2 + time.Duration(rand.Int63n(int64(o.pause))))
	o.pause = min(2*o.pause, retryMax)
}

// recovered notes that the store has answered a call.
func (o *outage) recovered() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.pause, o.next = retryMin, time.Time{}
	close(o.answered)
	o.answered = make(chan struct{})
}
