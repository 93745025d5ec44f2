package idempotency

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"cassiapin/pkg/result"
	"cassiapin/pkg/timeline"
)

const (
	// maxPendingWrites and maxPendingWriteBytes bound the queue of writes to
	// retry. A response that does not fit is dropped from its write. A write that
	// does not fit is dropped, and the reconciler later resolves the record or
	// marks it unknown.
	maxPendingWrites     = 1024
	maxPendingWriteBytes = 8 << 20
	// lateWriteWindow is the time for which a write that was reported as failed
	// may still take effect.
	lateWriteWindow = 2 * time.Minute
	// missingRecheckInterval is the time between checks for a missing record.
	missingRecheckInterval = 20 * time.Second
	// drainLimit bounds Drain, because other services drain after this one. The
	// reconciler resolves the remaining records.
	drainLimit = 10 * time.Second
)

// claim implements Claim.
type claim struct {
	svc *Service
	id  string
	rec record
	// slot is the record's slot as last written or read by Begin.
	slot slot
	// maybeWritten reports that a failed write may still have taken effect.
	maybeWritten bool
	ended        atomic.Bool
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

// finish records the final state of the attempt. Only the first call takes effect.
func (c *claim) finish(ctx context.Context, state State, o *Outcome) error {
	if !c.ended.CompareAndSwap(false, true) {
		return result.New(result.Internal, "the attempt %s has ended already", c.rec.Attempt)
	}
	s := c.svc
	w := pendingWrite{id: c.id, rec: c.rec.with(state, o, s.opts.Clock.Now())}
	switch state {
	case Done:
		s.recordEvent(timeline.IdempotencyDone, w.rec)
	case Unknown:
		s.recordEvent(timeline.IdempotencyUnknown, w.rec)
	}
	// The slot has usually not changed since the claim, which saves a read.
	_, err := s.put(ctx, c.slot, c.id, w.rec)
	if result.CodeOf(err) == result.ObjectConflict {
		err = s.writeState(ctx, w)
	}
	if retriable(err) {
		s.retryQueue.add(w)
	}
	return err
}

// retriable reports whether a failed write may succeed on retry.
func retriable(err error) bool {
	code := result.CodeOf(err)
	return code == result.PlatformUnavailable || code == result.PlatformLimited || code == result.ObjectConflict
}

// pendingWrite is a state change that has not been written to the object store.
type pendingWrite struct {
	id  string
	rec record
	// missingUntil is the time until which the attempt's record may still appear,
	// as a new record or in place of another attempt's.
	missingUntil time.Time
	// nextCheckAt is the time of the next check for a missing record, zero if the
	// record has not been found missing.
	nextCheckAt time.Time
}

func (w pendingWrite) bytes() int {
	if w.rec.Outcome == nil {
		return 0
	}
	return len(w.rec.Outcome.Body)
}

// writeTries bounds the read-modify-write attempts in writeState, which conflict
// when other records of the slot change.
const writeTries = 3

// writeState writes the new state of an attempt if the attempt still owns the
// record. It returns nil if the state was written or no longer needs to be.
func (s *Service) writeState(ctx context.Context, w pendingWrite) error {
	var last error
	for range writeTries {
		sl, err := s.load(ctx, s.slotKey(w.id))
		if err != nil {
			return err
		}
		found, ok := sl.records[w.id]
		own := ok && found.Attempt == w.rec.Attempt
		if !own && s.opts.Clock.Now().Before(w.missingUntil) {
			return result.New(result.ObjectNotFound, "the attempt's record is missing")
		}
		// The reconciler may have marked the record unknown; the owner's state is
		// more accurate.
		if !own || (found.State != Started && found.State != Unknown) {
			return nil
		}
		_, last = s.put(ctx, sl, w.id, w.rec)
		if result.CodeOf(last) != result.ObjectConflict {
			return last
		}
	}
	return last
}

// retryQueue is the queue of state changes whose writes failed.
type retryQueue struct {
	mu    sync.Mutex
	items []pendingWrite
	size  int
}

// add queues a write. A response that exceeds maxPendingWriteBytes is dropped from
// it; a write beyond maxPendingWrites is dropped entirely.
func (q *retryQueue) add(w pendingWrite) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.items) >= maxPendingWrites {
		droppedTotal.Inc()
		return
	}
	if q.size+w.bytes() > maxPendingWriteBytes {
		w.rec.Outcome, w.rec.BodyDropped = nil, true
	}
	q.size += w.bytes()
	q.items = append(q.items, w)
}

// take removes and returns all writes.
func (q *retryQueue) take() []pendingWrite {
	q.mu.Lock()
	defer q.mu.Unlock()
	items := q.items
	q.items, q.size = nil, 0
	return items
}

// countPresent returns the number of writes whose record is not known to be
// missing.
func (q *retryQueue) countPresent() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	n := 0
	for _, w := range q.items {
		if w.nextCheckAt.IsZero() {
			n++
		}
	}
	return n
}

// retryWrites retries the queued writes and queues those again that fail. After
// one failure of the object store itself it skips the rest, which would fail too.
func (s *Service) retryWrites(ctx context.Context) {
	storeDown := false
	for _, w := range s.retryQueue.take() {
		if storeDown || s.opts.Clock.Now().Before(w.nextCheckAt) {
			s.retryQueue.add(w)
			continue
		}
		err := s.writeState(ctx, w)
		switch {
		case err == nil:
		case result.CodeOf(err) == result.ObjectNotFound:
			w.nextCheckAt = s.opts.Clock.Now().Add(missingRecheckInterval)
			s.retryQueue.add(w)
		case retriable(err):
			storeDown = result.CodeOf(err) != result.ObjectConflict
			s.retryQueue.add(w)
		default:
			droppedTotal.Inc()
		}
	}
}

func (s *Service) retryLoop(ctx context.Context) error {
	for s.opts.Clock.Sleep(ctx, s.jitter(s.opts.RetryInterval)) == nil {
		s.retryWrites(ctx)
	}
	return nil
}

// Drain retries the queued writes until only those with a missing record remain,
// ctx ends or drainLimit has passed.
func (s *Service) Drain(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, drainLimit)
	defer cancel()
	for {
		s.retryWrites(ctx)
		left := s.retryQueue.countPresent()
		if left == 0 {
			return nil
		}
		if err := s.opts.Clock.Sleep(ctx, s.jitter(s.opts.RetryInterval)); err != nil {
			return result.Wrap(err, result.PlatformUnavailable, result.Unknown, "%d request records are left as started", left)
		}
	}
}
