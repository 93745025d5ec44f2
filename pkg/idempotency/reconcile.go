package idempotency

import (
	"context"
	"time"

	"cassiapin/pkg/lease"
	"cassiapin/pkg/result"
	"cassiapin/pkg/timeline"
)

const (
	// leaseName is the lease that the single reconciling node holds.
	leaseName = "reconcile"
	// acquireInterval is the mean time between attempts to acquire the lease.
	acquireInterval = lease.DefaultRenewal
	// maxActionsPerStep bounds the overdue records that one step resolves; each
	// takes an upstream query and a write.
	maxActionsPerStep = 50
	// maxDeletesPerStep bounds the deletes of expired slots to 5 per second. It
	// need not keep up, because a slot that is not deleted is reused.
	maxDeletesPerStep = 10
	// sweepPageSlots is the number of slots that a step reads: 0.1 MB in a small
	// store, 1 MB with 8 records of 600 B per slot.
	sweepPageSlots = 200
)

// reconcileLoop sweeps while this node holds the lease.
func (s *Service) reconcileLoop(ctx context.Context) error {
	var held lease.Lease
	for {
		wait := s.opts.SweepInterval
		if held == nil || !held.Held() {
			wait = acquireInterval
		}
		if s.opts.Clock.Sleep(ctx, s.jitter(wait)) != nil {
			return nil
		}
		if held == nil || !held.Held() {
			held = s.acquire(ctx)
		}
		if held != nil {
			s.sweepStep(ctx, held)
		}
	}
}

func (s *Service) acquire(ctx context.Context) lease.Lease {
	l, err := s.opts.Leases.Acquire(ctx, leaseName, nil)
	if err != nil {
		return nil // Another node holds it, or the object store is unavailable.
	}
	return l
}

// sweepStep reads one page of slots, deletes expired slots and resolves overdue
// records. The next step resumes after the last slot handled.
func (s *Service) sweepStep(ctx context.Context, held lease.Lease) {
	objects, next, err := s.opts.Store.ListPage(ctx, keyPrefix, s.sweepAfter, sweepPageSlots)
	if err != nil {
		return
	}
	actions, deletes := 0, 0
	for _, o := range objects {
		if actions >= maxActionsPerStep || !held.Held() {
			return
		}
		s.sweepAfter = o.Key
		sl, err := decodeSlot(o)
		if err != nil {
			continue
		}
		if s.allExpired(sl) {
			if deletes < maxDeletesPerStep && s.opts.Store.Delete(ctx, sl.key, sl.version) == nil {
				deletedTotal.Add(len(sl.records))
				deletes++
			}
			continue
		}
		actions += s.reconcile(ctx, sl)
	}
	s.sweepAfter = next
}

func (s *Service) allExpired(sl slot) bool {
	now := s.opts.Clock.Now()
	for _, r := range sl.records {
		if !r.expired(now, s.opts.Retention) {
			return false
		}
	}
	return true
}

// reconcile resolves the overdue records of a slot and returns their number. Each
// write is conditional on the version read, so a concurrent write by the owner
// wins.
func (s *Service) reconcile(ctx context.Context, sl slot) (actions int) {
	now := s.opts.Clock.Now()
	for id, r := range sl.records {
		age := r.age(now)
		if r.State != Started || age <= s.opts.OverdueAfter {
			continue
		}
		actions++
		outcome, state := s.resolve(ctx, r, age)
		if state == Started {
			continue
		}
		written, ok := s.writeResolution(ctx, sl, id, r.with(state, outcome, now))
		if !ok {
			return actions // The next sweep retries the record.
		}
		sl.version, sl.records[id] = written.version, written.records[id]
	}
	return actions
}

// resolve queries the upstream for the outcome. It returns Started while the query
// should be retried.
func (s *Service) resolve(ctx context.Context, r record, age time.Duration) (*Outcome, State) {
	if s.opts.Resolver == nil {
		return nil, Unknown
	}
	outcome, state, err := s.opts.Resolver(ctx, r.Target, r.Attempt)
	if err == nil && state == Done {
		return outcome, Done
	}
	retry := err != nil || state == Started
	if retry && age <= s.opts.OverdueAfter+s.opts.ResolveGrace {
		return nil, Started
	}
	return nil, Unknown
}

// writeResolution writes the resolved state of a record that its owner did not
// complete.
func (s *Service) writeResolution(ctx context.Context, sl slot, id string, r record) (slot, bool) {
	written, err := s.put(ctx, sl, id, r)
	if err != nil {
		if s.opts.Log != nil && result.CodeOf(err) == result.ObjectTooLarge {
			s.opts.Log.Warn("cannot update request records: slot exceeds the object size limit", "key", sl.key, "error", err)
		}
		return slot{}, false
	}
	if r.State == Unknown {
		markedTotal.Inc()
		s.recordEvent(timeline.IdempotencyUnknown, r)
		return written, true
	}
	s.recordEvent(timeline.IdempotencyDone, r)
	return written, true
}
