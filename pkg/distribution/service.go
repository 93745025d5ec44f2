// Package distribution replicates the numbered configuration and the marks from
// the object store to all nodes. A mark takes a failure domain out of service or
// back in, or withdraws a model version, independently of the configuration.
//
// Relays, a few members of each region, watch the object store. A node that
// activates a configuration announces it to its neighbours, which fetch it from
// that node. Marks are flooded and merged into the object store by the nodes that
// accepted them. Membership probes carry the configuration number and a hash of
// the marks, so that nodes detect and repair missed updates.
package distribution

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"gopkg.in/tomb.v2"

	"cassiapin/pkg/clock"
	"cassiapin/pkg/config"
	"cassiapin/pkg/kernel"
	"cassiapin/pkg/membership"
	"cassiapin/pkg/objectstore"
	"cassiapin/pkg/peer"
	"cassiapin/pkg/result"
	"cassiapin/pkg/timeline"
)

// ServiceName is the name under which a node registers the Service. It
// implements config.Source and config.MarkSetter.
const ServiceName = config.SourceServiceName

// TickInterval is the period of Tick.
const TickInterval = 250 * time.Millisecond

// storeTimeout bounds one call to the object store.
const storeTimeout = 5 * time.Second

// The message kinds. Fetch is a request, the others are one-way.
const (
	kindNotice       peer.Kind = "config.notice"
	kindFetch        peer.Kind = "config.fetch"
	kindConfirmation peer.Kind = "config.fresh"
	kindMarks        peer.Kind = "config.marks"
	kindRepair       peer.Kind = "config.repair"
)

// Options are the settings of a Service.
type Options struct {
	// Validate checks the complete declarations; required.
	Validate func(config.Declarations) error
	// Seed seeds the random number generator; 0 selects a random seed.
	Seed int64
	// Metrics defaults to the default set of the metrics library.
	Metrics *metrics.Set
}

// Refusal describes a configuration that was rejected.
type Refusal struct {
	Number uint64    `json:"number,omitempty"`
	Hash   string    `json:"hash,omitempty"`
	Reason string    `json:"reason"`
	At     time.Time `json:"at"`
}

// Status is the state of the distribution on this node.
type Status struct {
	Number uint64 `json:"number"`
	Hash   string `json:"hash,omitempty"`
	// Refused is the latest refusal since the active configuration was applied.
	Refused *Refusal `json:"refused,omitempty"`
	// Relay reports whether this node watches the object store as a relay.
	Relay bool `json:"relay"`
	// FreshMS is the time since the state was last confirmed against the object
	// store, -1 if never.
	FreshMS int64 `json:"fresh_ms"`
	// MarksPending reports whether marks are not yet written to the object store.
	MarksPending bool `json:"marks_pending"`
}

// Service implements config.Source and config.MarkSetter.
type Service struct {
	kernel.Base
	opts    Options
	clock   clock.Clock
	hlc     *clock.HLC
	log     *slog.Logger
	events  timeline.Recorder
	msgr    peer.Messenger
	caller  peer.Caller
	overlay membership.Overlay
	store   objectstore.Store

	// snapshot, marks, marksHash and confirmedAt are read without holding mu: by
	// every request, and by probes under the lock of membership.
	snapshot    atomic.Pointer[config.Snapshot]
	marks       atomic.Pointer[config.Marks]
	marksHash   atomic.Uint64
	confirmedAt atomic.Int64 // Unix milliseconds; 0 for never.

	// spawn runs a blocking action: synchronously until Run is called, which
	// makes simulations deterministic, and in a goroutine afterwards.
	spawn func(func(ctx context.Context))

	mu         sync.Mutex
	rng        *rand.Rand
	sends      []func()
	actions    []func(ctx context.Context)
	notify     bool
	subs       []chan struct{}
	compressed []byte
	refused    *Refusal
	fetch      fetchState
	storeRead  storeReadState
	flush      flushState
	repairAt   time.Time

	fetches, refusals, polls *metrics.Counter
}

// New returns a distribution service.
func New(o Options) *Service {
	if o.Seed == 0 {
		o.Seed = rand.Int63()
	}
	if o.Metrics == nil {
		o.Metrics = metrics.GetDefaultSet()
	}
	s := &Service{opts: o, rng: rand.New(rand.NewSource(o.Seed))}
	s.spawn = func(f func(context.Context)) { f(context.Background()) }
	s.marks.Store(&config.Marks{})
	s.fetches = o.Metrics.GetOrCreateCounter("cassiapin_config_fetches_total")
	s.refusals = o.Metrics.GetOrCreateCounter("cassiapin_config_refusals_total")
	s.polls = o.Metrics.GetOrCreateCounter("cassiapin_config_platform_reads_total")
	o.Metrics.GetOrCreateGauge("cassiapin_config_number", func() float64 { return float64(s.number()) })
	o.Metrics.GetOrCreateGauge("cassiapin_config_marks", func() float64 { return float64(len(s.Marks())) })
	return s
}

// Name implements kernel.Service.
func (*Service) Name() string { return ServiceName }

// Provision registers the handlers.
func (s *Service) Provision(k *kernel.Kernel) error {
	f := kernel.Find(k)
	s.clock, s.hlc, s.log = k.Clock, k.HLC, k.Log
	if s.opts.Validate == nil {
		return result.New(result.SettingsError, "distribution needs a Validate function")
	}
	kernel.Require(f, timeline.ServiceName, &s.events)
	kernel.Require(f, peer.TransportServiceName, &s.msgr)
	kernel.Require(f, peer.TransportServiceName, &s.caller)
	kernel.Require(f, peer.MembershipServiceName, &s.overlay)
	kernel.Require(f, objectstore.ServiceName, &s.store)
	var adder membership.PiggybackAdder
	kernel.Require(f, peer.MembershipServiceName, &adder)
	if f.Err() != nil {
		return f.Err()
	}
	s.msgr.Handle(kindNotice, peer.LockedHandler(s.locked, s.onNotice))
	s.msgr.Handle(kindConfirmation, peer.LockedHandler(s.locked, s.onConfirmation))
	s.msgr.Handle(kindMarks, peer.LockedHandler(s.locked, s.onMarks))
	s.msgr.Handle(kindRepair, peer.LockedHandler(s.locked, s.onRepair))
	s.msgr.Handle(kindFetch, s.onFetch)
	adder.AddPiggyback(piggybackKey, s)
	return nil
}

// locked runs f under the lock. After unlocking it performs the sends and starts
// the actions that f queued.
func (s *Service) locked(f func(now time.Time)) {
	s.mu.Lock()
	f(s.clock.Now())
	sends, actions := s.sends, s.actions
	s.sends, s.actions = nil, nil
	var subs []chan struct{}
	if s.notify {
		s.notify = false
		subs = s.subs
	}
	s.mu.Unlock()
	for _, send := range sends {
		send()
	}
	for _, ch := range subs {
		select {
		case ch <- struct{}{}:
		default:
		}
	}
	for _, a := range actions {
		s.spawn(a)
	}
}

// Run starts the ticker and the watch loops.
func (s *Service) Run(t *tomb.Tomb) error {
	ctx := t.Context(context.Background())
	s.spawn = func(f func(context.Context)) {
		if t.Alive() {
			t.Go(func() error {
				f(ctx)
				return nil
			})
		}
	}
	t.Go(func() error {
		for {
			s.Tick()
			if err := s.clock.Sleep(ctx, TickInterval); err != nil {
				return nil
			}
		}
	})
	for _, key := range []string{ConfigKey, MarksKey} {
		t.Go(func() error { return s.watchWhileRelay(ctx, key) })
	}
	return nil
}

// Tick runs all due periodic work. Run calls it every TickInterval.
func (s *Service) Tick() {
	relay := s.overlay.IsRelay()
	s.locked(func(now time.Time) {
		s.tickStoreRead(now, relay)
		s.tickFlush(now, relay)
	})
}

// jittered returns a random duration from d up to 2d.
func (s *Service) jittered(d time.Duration) time.Duration {
	return d + time.Duration(s.rng.Int63n(int64(d)))
}

// Current implements config.Source.
func (s *Service) Current() *config.Snapshot { return s.snapshot.Load() }

// Marks implements config.Source.
func (s *Service) Marks() config.Marks { return *s.marks.Load() }

// Subscribe implements config.Source.
func (s *Service) Subscribe() <-chan struct{} {
	ch := make(chan struct{}, 1)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.subs = append(s.subs, ch)
	return ch
}

// Refused returns the number of the latest configuration that was rejected since
// the active one was applied, and the reason; 0 if there is none.
func (s *Service) Refused() (number uint64, reason string) {
	if refusal := s.Status().Refused; refusal != nil {
		return refusal.Number, refusal.Reason
	}
	return 0, ""
}

// Status returns the state that is shown to operators.
func (s *Service) Status() Status {
	st := Status{Relay: s.overlay.IsRelay(), FreshMS: -1}
	if c := s.snapshot.Load(); c != nil {
		st.Number, st.Hash = c.Number, c.Hash
	}
	if age, ok := s.confirmationAge(s.clock.Now()); ok {
		st.FreshMS = age.Milliseconds()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.refused != nil {
		r := *s.refused
		st.Refused = &r
	}
	st.MarksPending = s.flush.pending
	return st
}

func (s *Service) number() uint64 {
	if c := s.snapshot.Load(); c != nil {
		return c.Number
	}
	return 0
}

func (s *Service) send(to peer.NodeID, kind peer.Kind, body any) {
	s.sends = append(s.sends, func() { _ = s.msgr.Notify(to, kind, body) })
}

func (s *Service) flood(kind peer.Kind, body any) {
	s.sends = append(s.sends, func() { _ = s.msgr.Flood(kind, body) })
}

func (s *Service) logRefusal(r Refusal) {
	s.log.Warn("configuration refused", "number", r.Number, "reason", r.Reason)
	s.events.Record(timeline.Event{
		Kind: timeline.ConfigRefused, Config: r.Number, Code: int(result.SnapshotRefused),
		Detail: fmt.Sprintf("%s: %s", shortHash(r.Hash), r.Reason),
	})
}

// shortHash abbreviates a hash for display.
func shortHash(h string) string {
	const digits = 12
	return h[:min(len(h), digits)]
}
