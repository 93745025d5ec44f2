package lease

import (
	"context"
	"fmt"
	"math/rand"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"gopkg.in/tomb.v2"

	"cassiapin/pkg/clock"
	"cassiapin/pkg/kernel"
	"cassiapin/pkg/objectstore"
	"cassiapin/pkg/result"
	"cassiapin/pkg/timeline"
)

const (
	// marginDivisor is the ratio of the TTL to the safety margin. The margin
	// covers clock drift between the holder and other nodes, and the time
	// between a holder's check and the action that follows.
	marginDivisor = 10
	// renewWorkers is the number of concurrent renewals.
	renewWorkers = 4
	// scansPerRenewal is the number of scans for due renewals per renewal
	// interval. A failed renewal is retried after one scan interval.
	scansPerRenewal = 10
)

var (
	acquiredTotal = metrics.NewCounter("cassiapin_lease_acquired_total")
	lostTotal     = metrics.NewCounter("cassiapin_lease_lost_total")
	renewalsTotal = metrics.NewCounter("cassiapin_lease_renewals_total")
	renewFailures = metrics.NewCounter("cassiapin_lease_renewal_failures_total")
)

// Options configure a Service.
type Options struct {
	// Holder identifies this process; it must be unique, also across restarts.
	Holder string
	// TTL, Renewal and Margin default to DefaultTTL, a third of the TTL and a
	// tenth of the TTL. Every node must use the same TTL.
	TTL     time.Duration
	Renewal time.Duration
	Margin  time.Duration
	// Store, Clock and Recorder are taken from the kernel when nil.
	Store    objectstore.Store
	Clock    clock.Clock
	Recorder timeline.Recorder
	// Rand is the source of the jitter.
	Rand *rand.Rand
}

// observation is the version of another holder's record and when this node first
// read it.
type observation struct {
	version uint64
	since   time.Time
}

// Service implements Manager and renews the leases of a node.
type Service struct {
	kernel.Base
	opts        Options
	dueRenewals chan *heldLease

	mu sync.Mutex
	// seen maps lease names to the last observed version of their records.
	seen map[string]observation
	// leases are this node's leases that are not lost or released.
	leases map[string]*heldLease
	// acquiring is the set of names that are being acquired.
	acquiring map[string]bool
}

var (
	_ Manager        = (*Service)(nil)
	_ kernel.Drainer = (*Service)(nil)
)

// New returns a lease service. It renews its leases only while it runs.
func New(o Options) *Service {
	if o.TTL == 0 {
		o.TTL = DefaultTTL
	}
	if o.Renewal == 0 {
		// Dividing first avoids an overflow of the product of two durations.
		o.Renewal = o.TTL / (DefaultTTL / DefaultRenewal)
	}
	if o.Margin == 0 {
		o.Margin = o.TTL / marginDivisor
	}
	if o.Rand == nil {
		o.Rand = rand.New(rand.NewSource(time.Now().UnixNano()))
	}
	return &Service{
		opts:        o,
		dueRenewals: make(chan *heldLease, renewWorkers),
		seen:        make(map[string]observation),
		leases:      make(map[string]*heldLease),

		acquiring: make(map[string]bool),
	}
}

// Name implements kernel.Service.
func (*Service) Name() string { return ServiceName }

// Provision looks up the store and checks the durations.
func (s *Service) Provision(k *kernel.Kernel) error {
	f := kernel.Find(k)
	if s.opts.Holder == "" || s.opts.Renewal+s.opts.Margin >= s.opts.TTL {
		return result.New(result.SettingsError, "a lease needs a holder and a renewal below its time to live")
	}
	if s.opts.Clock == nil {
		s.opts.Clock = k.Clock
	}
	kernel.Require(f, objectstore.ServiceName, &s.opts.Store)
	kernel.Require(f, timeline.ServiceName, &s.opts.Recorder)
	return f.Err()
}

// Run starts the scan for due renewals and the renewal workers.
func (s *Service) Run(t *tomb.Tomb) error {
	ctx := t.Context(context.Background())
	t.Go(func() error { return s.scanLoop(ctx) })
	for range renewWorkers {
		t.Go(func() error { return s.renewLoop(ctx) })
	}
	return nil
}

// Drain releases all leases.
func (s *Service) Drain(ctx context.Context) error {
	var first error
	for _, l := range s.currentLeases() {
		err := l.Release(ctx)
		if err != nil && result.CodeOf(err) != result.LeaseLost && first == nil {
			first = err
		}
	}
	return first
}

func (s *Service) currentLeases() []*heldLease {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]*heldLease, 0, len(s.leases))
	for _, l := range s.leases {
		out = append(out, l)
	}
	return out
}

// scanLoop passes due leases to the renewal workers and detects expired leases.
func (s *Service) scanLoop(ctx context.Context) error {
	interval := s.opts.Renewal / scansPerRenewal
	for s.opts.Clock.Sleep(ctx, s.jitter(interval)) == nil {
		for _, l := range s.currentLeases() {
			if !l.Held() || !l.renewalDue() {
				continue
			}
			select {
			case s.dueRenewals <- l:
			case <-ctx.Done():
				return nil
			}
		}
	}
	return nil
}

func (s *Service) jitter(d time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return d/2 + time.Duration(s.opts.Rand.Int63n(int64(d)+1))
}

func (s *Service) renewLoop(ctx context.Context) error {
	for {
		select {
		case l := <-s.dueRenewals:
			if l.renewalDue() {
				_ = l.Sync(ctx) // Failures are counted in Sync and retried after a scan interval.
			}
		case <-ctx.Done():
			return nil
		}
	}
}

// Acquire implements Manager.
func (s *Service) Acquire(ctx context.Context, name string, data func(previous []byte, released bool) []byte) (Lease, error) {
	if !s.beginAcquire(name) {
		return nil, result.New(result.LeaseLost, "lease %q is held or being acquired by this node", name)
	}
	defer s.endAcquire(name)
	key := keyPrefix + name
	o, err := s.opts.Store.Get(ctx, key)
	if result.CodeOf(err) == result.ObjectNotFound {
		return s.writeAcquired(ctx, name, objectstore.Object{Key: key}, record{}, data)
	}
	if err != nil {
		return nil, err
	}
	r, err := decode(o.Value)
	if err != nil {
		return nil, err
	}
	if err := s.checkAvailable(name, o.Version, r); err != nil {
		return nil, err
	}
	return s.writeAcquired(ctx, name, o, r, data)
}

// beginAcquire allows one acquisition of a name at a time, and none while this node
// holds the lease, because checkAvailable lets a node replace its own record.
func (s *Service) beginAcquire(name string) bool {
	s.mu.Lock()
	l, busy := s.leases[name], s.acquiring[name]
	if !busy {
		s.acquiring[name] = true
	}
	s.mu.Unlock()
	if busy {
		return false
	}
	if l != nil && l.Held() {
		s.endAcquire(name)
		return false
	}
	return true
}

func (s *Service) endAcquire(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.acquiring, name)
}

// checkAvailable returns an error unless the record may be replaced: it was
// released, it belongs to this process, which no longer holds the lease, or it
// has not changed for the TTL on this node's clock. That time starts after this
// node read the record, hence after the start of the holder's last renewal, so
// the holder's lease expires first.
func (s *Service) checkAvailable(name string, version uint64, r record) error {
	if r.Released || r.Holder == s.opts.Holder {
		return nil
	}
	now := s.opts.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	seen, ok := s.seen[name]
	if !ok || seen.version != version {
		seen = observation{version: version, since: now}
		s.seen[name] = seen
	}
	if wait := s.opts.TTL - s.opts.Clock.Since(seen.since); wait > 0 {
		return result.New(result.LeaseLost, "lease %q is held by %s", name, r.Holder).WithRetryAfter(wait)
	}
	return nil
}

// writeAcquired replaces the record that was read by one with the next epoch.
func (s *Service) writeAcquired(ctx context.Context, name string, o objectstore.Object, prev record, data func([]byte, bool) []byte) (Lease, error) {
	next := record{Holder: s.opts.Holder, Epoch: prev.Epoch + 1}
	if data != nil {
		next.Data = data(prev.Data, prev.Released)
	}
	raw, err := next.encode()
	if err != nil {
		return nil, err
	}
	start := s.opts.Clock.Now()
	var written objectstore.Object
	if o.Version == 0 {
		written, err = s.opts.Store.Create(ctx, o.Key, raw)
	} else {
		written, err = s.opts.Store.Update(ctx, o.Key, raw, o.Version)
	}
	switch code := result.CodeOf(err); {
	case code == result.ObjectConflict || code == result.ObjectNotFound:
		return nil, result.Wrap(err, result.LeaseLost, result.NotRun, "another node took lease %q", name)
	case err != nil:
		return nil, err
	}
	l := newHeldLease(s, name, written.Version, next, start)
	s.mu.Lock()
	s.leases[name] = l
	delete(s.seen, name)
	s.mu.Unlock()
	acquiredTotal.Inc()
	s.recordEvent(timeline.LeaseAcquired, l, "")
	return l, nil
}

// remove removes a lease that was lost or released.
func (s *Service) remove(l *heldLease) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leases[l.name] == l {
		delete(s.leases, l.name)
	}
}

func (s *Service) recordEvent(kind timeline.Kind, l *heldLease, reason string) {
	if s.opts.Recorder == nil {
		return
	}
	detail := l.name
	if reason != "" {
		detail = fmt.Sprintf("%s: %s", l.name, reason)
	}
	s.opts.Recorder.Record(timeline.Event{Kind: kind, Epoch: l.Epoch(), Detail: detail})
}
