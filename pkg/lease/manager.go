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
	// marginDivisor gives the safety margin as a part of the time to live. The
	// margin covers different clock rates of holder and challenger and the time
	// between a holder's check and its act.
	marginDivisor = 10
	// renewers is the number of renewals that run at once.
	renewers = 4
	// scansPerRenewal is the number of scans for due renewals in one renewal
	// interval; a failed renewal is tried again after one scan interval.
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
	// Holder identifies this run of the process; it must be unique.
	Holder string
	// TTL, Renewal and Margin default to DefaultTTL, DefaultRenewal and a
	// tenth of the time to live. Every node must have the same TTL.
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

// observation is what a challenger saw of a lease's record.
type observation struct {
	version uint64
	since   time.Time
}

// Service is the Manager of a node.
type Service struct {
	kernel.Base
	opts Options
	due  chan *held

	mu sync.Mutex
	// seen remembers since when a record has not changed.
	seen map[string]observation
	// own holds the leases that are not lost or released.
	own map[string]*held
	// acquiring holds the names that are being acquired.
	acquiring map[string]bool
}

var (
	_ Manager        = (*Service)(nil)
	_ kernel.Drainer = (*Service)(nil)
)

// New returns the lease service. Leases are renewed while it runs.
func New(o Options) *Service {
	if o.TTL == 0 {
		o.TTL = DefaultTTL
	}
	if o.Renewal == 0 {
		// Dividing first keeps the product of two durations from overflowing.
		o.Renewal = o.TTL / (DefaultTTL / DefaultRenewal)
	}
	if o.Margin == 0 {
		o.Margin = o.TTL / marginDivisor
	}
	if o.Rand == nil {
		o.Rand = rand.New(rand.NewSource(time.Now().UnixNano()))
	}
	return &Service{
		opts: o,
		due:  make(chan *held, renewers),
		seen: make(map[string]observation),
		own:  make(map[string]*held),

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

// Run starts the scan for due renewals and the renewers.
func (s *Service) Run(t *tomb.Tomb) error {
	ctx := t.Context(context.Background())
	t.Go(func() error { return s.scan(ctx) })
	for range renewers {
		t.Go(func() error { return s.renewDue(ctx) })
	}
	return nil
}

// Drain releases all leases.
func (s *Service) Drain(ctx context.Context) error {
	var first error
	for _, l := range s.ownLeases() {
		err := l.Release(ctx)
		if err != nil && result.CodeOf(err) != result.LeaseLost && first == nil {
			first = err
		}
	}
	return first
}

func (s *Service) ownLeases() []*held {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]*held, 0, len(s.own))
	for _, l := range s.own {
		out = append(out, l)
	}
	return out
}

// scan hands due leases to the renewers and notices lapses.
func (s *Service) scan(ctx context.Context) error {
	interval := s.opts.Renewal / scansPerRenewal
	for s.opts.Clock.Sleep(ctx, s.jitter(interval)) == nil {
		for _, l := range s.ownLeases() {
			if !l.Held() || !l.dueNow() {
				continue
			}
			select {
			case s.due <- l:
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

func (s *Service) renewDue(ctx context.Context) error {
	for {
		select {
		case l := <-s.due:
			if l.dueNow() {
				_ = l.Sync(ctx) // Repeated at the next scan; counted in Sync.
			}
		case <-ctx.Done():
			return nil
		}
	}
}

// Acquire implements Manager.
func (s *Service) Acquire(ctx context.Context, name string, data func(previous []byte, released bool) []byte) (Lease, error) {
	if !s.begin(name) {
		return nil, result.New(result.LeaseLost, "lease %q is held or being acquired by this node", name)
	}
	defer s.end(name)
	key := keyPrefix + name
	o, err := s.opts.Store.Get(ctx, key)
	if result.CodeOf(err) == result.ObjectNotFound {
		return s.take(ctx, name, objectstore.Object{Key: key}, record{}, data)
	}
	if err != nil {
		return nil, err
	}
	r, err := decode(o.Value)
	if err != nil {
		return nil, err
	}
	if err := s.mayTake(name, o.Version, r); err != nil {
		return nil, err
	}
	return s.take(ctx, name, o, r, data)
}

// begin admits one acquisition of a name at a time and none while this node
// holds the lease, since a record of this node may be replaced at once.
func (s *Service) begin(name string) bool {
	s.mu.Lock()
	l, busy := s.own[name], s.acquiring[name]
	if !busy {
		s.acquiring[name] = true
	}
	s.mu.Unlock()
	if busy {
		return false
	}
	if l != nil && l.Held() {
		s.end(name)
		return false
	}
	return true
}

func (s *Service) end(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.acquiring, name)
}

// mayTake reports whether the record may be replaced: it was released, it is
// left over from this process, whose own lease is not held any more, or it has
// not changed for the time to live on this node's clock. The time starts after
// the read, which is after the write of the record, which is after the start
// of the holder's renewal.
func (s *Service) mayTake(name string, version uint64, r record) error {
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

// take writes a record with the next epoch in place of the one that was read.
func (s *Service) take(ctx context.Context, name string, o objectstore.Object, prev record, data func([]byte, bool) []byte) (Lease, error) {
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
	l := newHeld(s, name, written.Version, next, start)
	s.mu.Lock()
	s.own[name] = l
	delete(s.seen, name)
	s.mu.Unlock()
	acquiredTotal.Inc()
	s.event(timeline.LeaseAcquired, l, "")
	return l, nil
}

// forget removes a lease that is lost or released.
func (s *Service) forget(l *held) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.own[l.name] == l {
		delete(s.own, l.name)
	}
}

func (s *Service) event(kind timeline.Kind, l *held, why string) {
	if s.opts.Recorder == nil {
		return
	}
	detail := l.name
	if why != "" {
		detail = fmt.Sprintf("%s: %s", l.name, why)
	}
	s.opts.Recorder.Record(timeline.Event{Kind: kind, Epoch: l.Epoch(), Detail: detail})
}
