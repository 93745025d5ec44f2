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

// heldLease is a lease that this node acquired.
type heldLease struct {
	svc  *Service
	name string
	lost chan struct{}
	// writeSlot serialises writes of the record.
	writeSlot chan struct{}

	mu          sync.Mutex
	version     uint64
	rec         record
	data        []byte
	renewedAt   time.Time
	nextRenewal time.Time
	// ended is set when the lease is lost or released and never reset.
	ended bool
}

func newHeldLease(s *Service, name string, version uint64, r record, start time.Time) *heldLease {
	return &heldLease{
		svc: s, name: name, version: version, rec: r, data: r.Data,
		renewedAt: start, nextRenewal: start.Add(s.opts.Renewal),
		lost: make(chan struct{}), writeSlot: make(chan struct{}, 1),
	}
}

// Held implements Lease. It detects expiry and then closes Lost.
func (l *heldLease) Held() bool {
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
	l.markLost("lapsed")
	return false
}

// Epoch implements Lease.
func (l *heldLease) Epoch() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rec.Epoch
}

// Lost implements Lease.
func (l *heldLease) Lost() <-chan struct{} { return l.lost }

// RenewedAt implements Lease.
func (l *heldLease) RenewedAt() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.renewedAt
}

// Data implements Lease.
func (l *heldLease) Data() []byte {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.data)
}

// SetData implements Lease.
func (l *heldLease) SetData(data []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.data = slices.Clone(data)
}

func (l *heldLease) renewalDue() bool {
	now := l.svc.opts.Clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.ended && !now.Before(l.nextRenewal)
}

// markLost ends the lease and closes Lost, unless the lease has already ended.
func (l *heldLease) markLost(reason string) {
	if !l.markEnded() {
		return
	}
	lostTotal.Inc()
	l.svc.recordEvent(timeline.LeaseLost, l, reason)
}

// markEnded ends the lease and closes Lost. It returns false if the lease had already ended.
func (l *heldLease) markEnded() bool {
	l.mu.Lock()
	if l.ended {
		l.mu.Unlock()
		return false
	}
	l.ended = true
	close(l.lost)
	l.mu.Unlock()
	l.svc.remove(l)
	return true
}

// acquireWriteSlot waits until no other write of the record is in progress.
func (l *heldLease) acquireWriteSlot(ctx context.Context) error {
	select {
	case l.writeSlot <- struct{}{}:
		return nil
	case <-ctx.Done():
		return result.Wrap(ctx.Err(), result.LeaseLost, result.NotRun, "the wait for lease %q ended", l.name)
	}
}

// Sync implements Lease.
func (l *heldLease) Sync(ctx context.Context) error {
	if err := l.acquireWriteSlot(ctx); err != nil {
		return err
	}
	defer func() { <-l.writeSlot }()
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
	// A renewal that finishes after the lease expired is too late: the users of
	// the lease have been or are about to be notified of the expiry.
	if !l.Held() {
		return result.New(result.LeaseLost, "lease %q lapsed during its renewal", l.name)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.renewedAt = start
	l.nextRenewal = start.Add(l.svc.opts.Renewal)
	return nil
}

// renewalFailed ends a lease that was taken over and otherwise schedules a
// retry.
func (l *heldLease) renewalFailed(err error) {
	switch result.CodeOf(err) {
	case result.LeaseLost:
		l.markLost("taken over")
	default:
		now := l.svc.opts.Clock.Now()
		l.mu.Lock()
		defer l.mu.Unlock()
		l.nextRenewal = now.Add(l.svc.opts.Renewal / scansPerRenewal)
	}
}

// write updates the record. A conflict may be caused by an earlier write of this
// lease whose response was lost, so write reads the record once and retries if
// holder and epoch are unchanged.
func (l *heldLease) write(ctx context.Context, release bool) error {
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

// lostIfMissing converts a not-found error into result.LeaseLost.
func lostIfMissing(err error) error {
	if result.CodeOf(err) == result.ObjectNotFound {
		return result.Wrap(err, result.LeaseLost, result.NotRun, "the lease record was deleted")
	}
	return err
}

func (l *heldLease) update(ctx context.Context, release bool) error {
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

// Release implements Lease. The lease ends at the start of the call, whether or
// not the write succeeds.
func (l *heldLease) Release(ctx context.Context) error {
	if !l.Held() || !l.markEnded() {
		return result.New(result.LeaseLost, "lease %q is not held any more", l.name)
	}
	if err := l.acquireWriteSlot(ctx); err != nil {
		return err
	}
	defer func() { <-l.writeSlot }()
	if err := l.write(ctx, true); err != nil {
		return err
	}
	l.svc.recordEvent(timeline.LeaseReleased, l, "")
	return nil
}
