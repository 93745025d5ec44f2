// Package clock provides real and fake time sources and a hybrid logical clock
// for event timestamps.
package clock

import (
	"context"
	"sync"
	"time"
)

// Clock is a source of time. Durations are measured with the monotonic clock.
type Clock interface {
	Now() time.Time
	Since(t time.Time) time.Duration
	// After returns a channel that receives once after d.
	After(d time.Duration) <-chan time.Time
	// Sleep waits for d and returns nil, or returns ctx.Err() if ctx is done
	// first.
	Sleep(ctx context.Context, d time.Duration) error
}

// Real is the system clock.
type Real struct{}

// Now returns the current time.
func (Real) Now() time.Time { return time.Now() }

// Since returns the time elapsed since t.
func (Real) Since(t time.Time) time.Duration { return time.Since(t) }

// After returns a channel that receives once after d.
func (Real) After(d time.Duration) <-chan time.Time { return time.After(d) }

// Sleep waits for d or until ctx is done.
func (Real) Sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Fake is a clock that advances only when Advance is called. It is safe for
// concurrent use.
type Fake struct {
	mu      sync.Mutex
	now     time.Time
	waiters []waiter
}

type waiter struct {
	at time.Time
	ch chan time.Time
}

// NewFake returns a fake clock that starts at the given time.
func NewFake(start time.Time) *Fake { return &Fake{now: start} }

// Now returns the fake time.
func (f *Fake) Now() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.now
}

// Since returns the fake time elapsed since t.
func (f *Fake) Since(t time.Time) time.Duration { return f.Now().Sub(t) }

// After returns a channel that receives once the fake time has advanced by d.
func (f *Fake) After(d time.Duration) <-chan time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	ch := make(chan time.Time, 1)
	if d <= 0 {
		ch <- f.now
		return ch
	}
	f.waiters = append(f.waiters, waiter{at: f.now.Add(d), ch: ch})
	return ch
}

// Sleep waits until the fake time has advanced by d or ctx is done.
func (f *Fake) Sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-f.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Advance advances the fake time by d and wakes all waiters that are due.
func (f *Fake) Advance(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.now = f.now.Add(d)
	kept := f.waiters[:0]
	for _, w := range f.waiters {
		if w.at.After(f.now) {
			kept = append(kept, w)
			continue
		}
		w.ch <- f.now
	}
	f.waiters = kept
}
