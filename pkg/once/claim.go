package once

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"cassiapin/pkg/result"
	"cassiapin/pkg/timeline"
)

const (
	// maxRepeats and maxRepeatBytes bound the writes kept for repetition. A
	// write that finds no room is left to the reconciler, which marks its
	// record unknown.
	maxRepeats     = 1024
	maxRepeatBytes = 8 << 20
	// abandonedFor is the time for which a creation that was reported lost may
	// still take effect.
	abandonedFor = 2 * time.Minute
	// missingInterval is the time between two looks at a missing record.
	missingInterval = 20 * time.Second
	// drainLimit bounds Drain, because other services drain after this one; the
	// reconciler marks the records that are left.
	drainLimit = 10 * time.Second
)

// claim is the right to send one request.
type claim struct {
	svc *Service
	id  string
	rec record
	// slot is the record's slot as the claim wrote or found it.
	slot slot
	// unclear says that a write was reported lost and may have taken effect.
	unclear bool
	ended   atomic.Bool
}

// AttemptID implements Claim.
func (c *claim) AttemptID() string { return c.rec.Attempt }

// Done implements Claim.
func (c *claim) Done(ctx context.Context, o Outcome) error {
	return c.finish(ctx, Done, &o)
}

// NotRun implements Claim.
func (c *claim) NotRun(ctx context.Context) error { return c.finish(ctx, NotRun, nil) }

// Unknown implements Claim.
func (c *claim) Unknown(ctx context.Context) error { return c.finish(ctx, Unknown, nil) }

// finish records the end of the attempt. Only the first call has an effect.
func (c *claim) finish(ctx context.Context, state State, o *Outcome) error {
	if !c.ended.CompareAndSwap(false, true) {
		return result.New(result.Internal, "the attempt %s has ended already", c.rec.Attempt)
	}
	s := c.svc
	r := repeat{id: c.id, rec: c.rec.with(state, o, s.opts.Clock.Now())}
	switch state {
	case Done:
		s.event(timeline.OnceDone, r.rec)
	case Unknown:
		s.event(timeline.OnceUnknown, r.rec)
	}
	// Mostly the slot has not changed since the claim, which saves a read.
	_, err := s.put(ctx, c.slot, c.id, r.rec)
	if result.CodeOf(err) == result.ObjectConflict {
		err = s.writeState(ctx, r)
	}
	if retriable(err) {
		s.repeats.add(r)
	}
	return err
}

// retriable reports whether a failed write may succeed when repeated.
func retriable(err error) bool {
	code := result.CodeOf(err)
	return code == result.PlatformUnavailable || code == result.PlatformLimited || code == result.ObjectConflict
}

// repeat is a change of state that must reach the platform.
type repeat struct {
	id  string
	rec record
	// missingUntil is the time until which the attempt's record may still
	// appear, where there is none or in place of another attempt's.
	missingUntil time.Time
	// due is the time of the next look at a missing record.
	due time.Time
}

func (r repeat) bytes() int {
	if r.rec.Outcome == nil {
		return 0
	}
	return len(r.rec.Outcome.Body)
}

// writeTries bounds the rounds of read and write in writeState; other records
// of the slot may change in between.
const writeTries = 3

// writeState writes the new state of an attempt while the record belongs to
// it. It returns nil when the state is written or when there is nothing left
// to write.
func (s *Service) writeState(ctx context.Context, r repeat) error {
	var last error
	for range writeTries {
		b, err := s.load(ctx, s.slotKey(r.id))
		if err != nil {
			return err
		}
		found, ok := b.records[r.id]
		own := ok && found.Attempt == r.rec.Attempt
		if !own && s.opts.Clock.Now().Before(r.missingUntil) {
			return result.New(result.ObjectNotFound, "the attempt's record is missing")
		}
		// The reconciler may have marked the record unknown; the owner knows more.
		if !own || (found.State != Started && found.State != Unknown) {
			return nil
		}
		_, last = s.put(ctx, b, r.id, r.rec)
		if result.CodeOf(last) != result.ObjectConflict {
			return last
		}
	}
	return last
}

// repeats holds the changes of state whose writes failed.
type repeats struct {
	mu    sync.Mutex
	items []repeat
	size  int
}

// add keeps a change for repetition. Without room for the answer the change is
// kept without it.
func (q *repeats) add(r repeat) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.items) >= maxRepeats {
		droppedTotal.Inc()
		return
	}
	if q.size+r.bytes() > maxRepeatBytes {
		r.rec.Outcome, r.rec.BodyDropped = nil, true
	}
	q.size += r.bytes()
	q.items = append(q.items, r)
}

// take removes and returns all changes.
func (q *repeats) take() []repeat {
	q.mu.Lock()
	defer q.mu.Unlock()
	items := q.items
	q.items, q.size = nil, 0
	return items
}

// urgent returns the number of changes whose record is not missing.
func (q *repeats) urgent() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	n := 0
	for _, r := range q.items {
		if r.due.IsZero() {
			n++
		}
	}
	return n
}

// repeatOnce writes the kept changes and keeps again those that fail. One call
// that the platform refuses is enough to know that the rest fails as well.
func (s *Service) repeatOnce(ctx context.Context) {
	away := false
	for _, r := range s.repeats.take() {
		if away || s.opts.Clock.Now().Before(r.due) {
			s.repeats.add(r)
			continue
		}
		err := s.writeState(ctx, r)
		switch {
		case err == nil:
		case result.CodeOf(err) == result.ObjectNotFound:
			r.due = s.opts.Clock.Now().Add(missingInterval)
			s.repeats.add(r)
		case retriable(err):
			away = result.CodeOf(err) != result.ObjectConflict
			s.repeats.add(r)
		default:
			droppedTotal.Inc()
		}
	}
}

func (s *Service) repeatLoop(ctx context.Context) error {
	for s.opts.Clock.Sleep(ctx, s.jitter(s.opts.RepeatInterval)) == nil {
		s.repeatOnce(ctx)
	}
	return nil
}

// Drain writes the kept changes until none is left but those whose record is
// missing, or until ctx ends or drainLimit has passed.
func (s *Service) Drain(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, drainLimit)
	defer cancel()
	for {
		s.repeatOnce(ctx)
		left := s.repeats.urgent()
		if left == 0 {
			return nil
		}
		if err := s.opts.Clock.Sleep(ctx, s.jitter(s.opts.RepeatInterval)); err != nil {
			return result.Wrap(err, result.PlatformUnavailable, result.Unknown, "%d request records are left as started", left)
		}
	}
}
