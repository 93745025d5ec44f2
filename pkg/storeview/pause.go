package storeview

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"cassiapin/pkg/eventlog"
)

const (
	// pauseTick is the period at which the process notes that it runs, and
	// pauseThreshold the gap from which it counts as paused: longer than the
	// delays of an overloaded host, shorter than any bound for a change.
	pauseTick      = 250 * time.Millisecond
	pauseThreshold = 1500 * time.Millisecond
	// confirmLimit is how long requests wait after a pause for the view to be
	// confirmed. When the store does not answer, they are served from the view
	// as it is, as in any outage of the store.
	confirmLimit = 500 * time.Millisecond
	// confirmPoll is the longest pause between two looks at the confirmations.
	confirmPoll = 10 * time.Millisecond
)

// bootTime is the time since the host was started, suspensions included. The
// monotonic clock of package time stands still while a host is suspended.
func bootTime() time.Duration {
	var t unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &t) != nil {
		return time.Duration(time.Now().UnixNano()) // A kernel without that clock.
	}
	return time.Duration(t.Nano())
}

// pauses notices when the process or its host was paused. What the node knew
// before a pause, and what was sent to it meanwhile, may no longer hold.
type pauses struct {
	now func() time.Duration
	// seen is when the process last noted that it runs, and ended the end of the
	// latest pause, zero without one; both in nanoseconds of now.
	seen, ended atomic.Int64

	mu sync.Mutex
	// next is closed at the end of the next pause.
	next chan struct{}
}

// endOfLast returns the end of the latest pause, zero without one.
func (p *pauses) endOfLast() time.Duration {
	now := int64(p.now())
	if seen := p.seen.Swap(now); seen > 0 && time.Duration(now-seen) > pauseThreshold {
		p.mu.Lock()
		p.ended.Store(now)
		close(p.next)
		p.next = make(chan struct{})
		p.mu.Unlock()
	}
	return time.Duration(p.ended.Load())
}

// nextEnd returns a channel that is closed at the end of the next pause.
func (p *pauses) nextEnd() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.next
}

// notePauses keeps the pauses up to date until ctx ends.
func (s *Service) notePauses(ctx context.Context) {
	for before := s.pauses.endOfLast(); s.clock.Sleep(ctx, pauseTick) == nil; {
		if ended := s.pauses.endOfLast(); ended != before {
			before = ended
			s.log.Warn(eventlog.ProcessPaused, "threshold_ms", pauseThreshold.Milliseconds())
		}
	}
}

// confirm records that the store has confirmed a kind by a call that began at
// start.
func (s *Service) confirm(kind Kind, start time.Duration) { s.confirmed[kind].Store(int64(start)) }

// unconfirmed reports whether a kind has not been read since the latest pause.
func (s *Service) unconfirmed(kind Kind) bool {
	ended := s.pauses.endOfLast()
	return ended > 0 && time.Duration(s.confirmed[kind].Load()) < ended
}

// AwaitConfirmed returns once the view has been read again after a pause of the
// process, at the latest confirmLimit after the pause. Without a pause it
// returns at once.
func (s *Service) AwaitConfirmed(ctx context.Context) {
	for ctx.Err() == nil && s.pauses.now()-s.pauses.endOfLast() < confirmLimit {
		waits := false
		for kind := Configurations; kind <= Evacuations; kind++ {
			waits = waits || s.unconfirmed(kind)
		}
		if !waits || s.clock.Sleep(ctx, confirmPoll) != nil {
			return
		}
	}
}
