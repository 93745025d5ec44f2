package lease

import (
	"context"
	"slices"
	"sync"
	"time"

	"cassiapin/pkg/objectstore"
	"cassiapin/pkg/result"
	"cassiapin/pkg/timeline"
)

// held is a lease of this node.
type held struct {
	svc  *Service
	name string
	lost chan struct{}
	// turn admits one write of the record at a time.
	turn chan struct{}

	mu        sync.Mutex
	version   uint64
	rec       record
	data      []byte
	renewedAt time.Time
	due       time.Time
	// ended is set when the lease is lost or released; it never is held again.
	ended bool
}

func newHeld(s *Service, name string, version uint64, r record, start time.Time) *held {
	return &held{
		svc: s, name: name, version: version, rec: r, data: r.Data,
		renewedAt: start, due: start.Add(s.opts.Renewal),
		lost: make(chan struct{}), turn: make(chan struct{}, 1),
	}
}

// Held implements Lease. It notices the lapse and closes Lost.
func (l *held) Held() bool {
	l.mu.Lock()
	if l.ended {
		l.mu.Unlock()
		return false
	}
	elapsed := l.svc.opts.Clock.Since(l.renewedAt)
	l.mu.Unlock()
	if elapsed < l.svc.opts.TTL-l.svc.opts.Margin {
		return true
	}
	l.lose("lapsed")
	return false
}

// Epoch implements Lease.
func (l *held) Epoch() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rec.Epoch
}

// Lost implements Lease.
func (l *held) Lost() <-chan struct{} { return l.lost }

// RenewedAt implements Lease.
func (l *held) RenewedAt() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.renewedAt
}

// Data implements Lease.
func (l *held) Data() []byte {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.data)
}

// SetData implements Lease.
func (l *held) SetData(data []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.data = slices.Clone(data)
}

func (l *held) dueNow() bool {
	now := l.svc.opts.Clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.ended && !now.Before(l.due)
}

// lose ends the lease and closes Lost; it does nothing when it has ended.
func (l *held) lose(why string) {
	if !l.end() {
		return
	}
	lostTotal.Inc()
	l.svc.event(timeline.LeaseLost, l, why)
}

// end makes the lease not held; it returns false when it was so before.
func (l *held) end() bool {
	l.mu.Lock()
	if l.ended {
		l.mu.Unlock()
		return false
	}
	l.ended = true
	close(l.lost)
	l.mu.Unlock()
	l.svc.forget(l)
	return true
}

// take waits for the turn to write the record.
func (l *held) take(ctx context.Context) error {
	select {
	case l.turn <- struct{}{}:
		return nil
	case <-ctx.Done():
		return result.Wrap(ctx.Err(), result.LeaseLost, result.NotRun, "the wait for lease %q ended", l.name)
	}
}

// Sync implements Lease.
func (l *held) Sync(ctx context.Context) error {
	if err := l.take(ctx); err != nil {
		return err
	}
	defer func() { <-l.turn }()
	if !l.Held() {
		return result.New(result.LeaseLost, "lease %q is not held any more", l.name)
	}
	start := l.svc.opts.Clock.Now()
	err := l.write(ctx, false)
	if err != nil {
		renewFailures.Inc()
		l.renewalFailed(err)
		return err
	}
	renewalsTotal.Inc()
	// A renewal that took longer than the lease comes too late: the duties of
	// the lease have been told of the lapse or are about to be.
	if !l.Held() {
		return result.New(result.LeaseLost, "lease %q lapsed during its renewal", l.name)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.renewedAt = start
	l.due = start.Add(l.svc.opts.Renewal)
	return nil
}

// renewalFailed ends a lease that is gone and otherwise schedules a new try.
func (l *held) renewalFailed(err error) {
	switch result.CodeOf(err) {
	case result.LeaseLost:
		l.lose("taken over")
	default:
		now := l.svc.opts.Clock.Now()
		l.mu.Lock()
		defer l.mu.Unlock()
		l.due = now.Add(l.svc.opts.Renewal / scansPerRenewal)
	}
}

// write updates the record. A conflict may come from an earlier write of this
// lease whose answer was lost, so it reads the record once and tries again
// when holder and epoch are still its own.
func (l *held) write(ctx context.Context, release bool) error {
	err := l.update(ctx, release)
	if result.CodeOf(err) != result.ObjectConflict {
		return lostIfMissing(err)
	}
	o, err := l.svc.opts.Store.Get(ctx, keyPrefix+l.name)
	if err != nil {
		return lostIfMissing(err)
	}
	r, err := decode(o.Value)
	if err != nil {
		return err
	}
	if r.Holder != l.svc.opts.Holder || r.Epoch != l.Epoch() || r.Released {
		return result.New(result.LeaseLost, "lease %q was taken over", l.name)
	}
	l.mu.Lock()
	l.version, l.rec.Renewals = o.Version, r.Renewals
	l.mu.Unlock()
	return l.update(ctx, release)
}

// lostIfMissing turns a missing record into the loss of the lease.
func lostIfMissing(err error) error {
	if result.CodeOf(err) == result.ObjectNotFound {
		return result.Wrap(err, result.LeaseLost, result.NotRun, "the lease record was deleted")
	}
	return err
}

func (l *held) update(ctx context.Context, release bool) error {
	l.mu.Lock()
	next, version := l.rec, l.version
	next.Data = l.data
	l.mu.Unlock()
	next.Renewals++
	next.Released = release
	raw, err := next.encode()
	if err != nil {
		return err
	}
	var o objectstore.Object
	if o, err = l.svc.opts.Store.Update(ctx, keyPrefix+l.name, raw, version); err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.version, l.rec = o.Version, next
	return nil
}

// Release implements Lease. The lease is not held from the start of the call,
// whether or not the write succeeds.
func (l *held) Release(ctx context.Context) error {
	if !l.Held() || !l.end() {
		return result.New(result.LeaseLost, "lease %q is not held any more", l.name)
	}
	if err := l.take(ctx); err != nil {
		return err
	}
	defer func() { <-l.turn }()
	if err := l.write(ctx, true); err != nil {
		return err
	}
	l.svc.event(timeline.LeaseReleased, l, "")
	return nil
}
