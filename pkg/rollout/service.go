package rollout

import (
	"context"
	"encoding/json"
	"log/slog"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"gopkg.in/tomb.v2"

	"cassiapin/pkg/clock"
	"cassiapin/pkg/config"
	"cassiapin/pkg/kernel"
	"cassiapin/pkg/lease"
	"cassiapin/pkg/objectstore"
	"cassiapin/pkg/peer"
	"cassiapin/pkg/plan"
	"cassiapin/pkg/quality"
	"cassiapin/pkg/timeline"
)

const (
	tickInterval = time.Second
	viewInterval = 5 * time.Second
	saveInterval = 10 * time.Second
	// cappedSaveInterval applies while unrated answers are capped. Evidence lost
	// with the controller must be collected again from answers of a possibly
	// bad version.
	cappedSaveInterval = 2 * time.Second
	acquireInterval    = 10 * time.Second
	messageTimeout     = 2 * time.Second
	// leaseCandidates is the number of nodes that try to acquire the lease. It
	// keeps the request rate to the object store independent of the number of
	// nodes.
	leaseCandidates = 3
)

// Options are the settings of a Service.
type Options struct {
	// Clock is the time source; nil means the kernel's clock.
	Clock clock.Clock
	// Self is the node's ID if there is no messenger.
	Self peer.NodeID
}

// Service assigns cohorts on every node and controls the rollouts on the node
// that holds the lease. Its decisions are deterministic.
type Service struct {
	kernel.Base
	clock        clock.Clock
	log          *slog.Logger
	source       config.Source
	setter       config.MarkSetter
	members      peer.Members
	messenger    peer.Messenger
	leases       lease.Manager
	store        objectstore.Store
	recorder     timeline.Recorder
	guardTripped chan struct{}

	mu          sync.Mutex
	self        peer.NodeID
	localStates map[string]*localState
	latest      viewMessage
	viewAt      time.Time
	unacked     *samplesMessage
	sequence    uint64

	// The fields below are the controller's state. active reports whether this
	// node is the controller: it acquired the lease and has not received a view
	// from a newer controller.
	active       bool
	held         lease.Lease
	epoch        uint64
	managed      map[string]*managedRollout
	lastReceived map[peer.NodeID]uint64
	published    viewMessage
	lastFlood    time.Time
	lastAcquire  time.Time
	lastTick     time.Time

	halts, samples, refused, dropped *metrics.Counter
}

var (
	_ plan.Rollouts    = (*Service)(nil)
	_ plan.Reserver    = (*Service)(nil)
	_ quality.Rollouts = (*Service)(nil)
)

// New returns the rollout service.
func New(o Options) *Service {
	return &Service{
		clock: o.Clock, self: o.Self, guardTripped: make(chan struct{}, 1),
		localStates: make(map[string]*localState), managed: make(map[string]*managedRollout),
		lastReceived: make(map[peer.NodeID]uint64),
		halts:        metrics.GetOrCreateCounter("cassiapin_rollout_halts_total"),
		samples:      metrics.GetOrCreateCounter("cassiapin_rollout_samples_total"),
		refused:      metrics.GetOrCreateCounter("cassiapin_rollout_reservations_refused_total"),
		dropped:      metrics.GetOrCreateCounter("cassiapin_rollout_samples_dropped_total"),
	}
}

// Name implements kernel.Service.
func (*Service) Name() string { return ServiceName }

// Provision implements kernel.Service. Without a lease manager or a store, no
// rollout starts on this node.
func (s *Service) Provision(k *kernel.Kernel) error {
	f := kernel.Find(k)
	if s.clock == nil {
		s.clock = k.Clock
	}
	s.log = k.Log
	kernel.Require(f, config.SourceServiceName, &s.source)
	kernel.Require(f, config.SourceServiceName, &s.setter)
	kernel.Optional(f, peer.MembershipServiceName, &s.members)
	kernel.Optional(f, peer.TransportServiceName, &s.messenger)
	kernel.Optional(f, lease.ServiceName, &s.leases)
	kernel.Optional(f, objectstore.ServiceName, &s.store)
	s.recorder = timeline.Discard{}
	kernel.Optional(f, timeline.ServiceName, &s.recorder)
	if s.messenger != nil {
		s.self = s.messenger.Self()
		s.messenger.Handle(viewKind, s.handleView)
		s.messenger.Handle(samplesKind, s.handleSamples)
	}
	return f.Err()
}

// Run implements kernel.Service. Halts run in a separate goroutine, so that a
// slow object store does not delay them.
func (s *Service) Run(t *tomb.Tomb) error {
	ctx := t.Context(context.Background())
	t.Go(func() error {
		s.readViews(ctx)
		return s.every(t, func() { s.reconcile(ctx) })
	})
	t.Go(func() error { return s.every(t, func() { s.sendSamples(ctx) }) })
	t.Go(func() error {
		for {
			select {
			case <-t.Dying():
				return nil
			case <-s.guardTripped:
				s.haltTripped()
			}
		}
	})
	return nil
}

func (s *Service) every(t *tomb.Tomb, f func()) error {
	for {
		select {
		case <-t.Dying():
			return nil
		case <-s.clock.After(tickInterval):
			f()
		}
	}
}

// Cleanup implements kernel.Service. It saves the states and releases the lease,
// so that a successor can take over at once.
func (s *Service) Cleanup() error {
	if !s.holdsLease() {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), messageTimeout)
	defer cancel()
	s.rollouts(func(r *config.Rollout) bool {
		if c := s.loadedRollout(r.ID); c != nil {
			s.save(ctx, c, 0)
		}
		return true
	})
	return s.held.Release(ctx)
}

// readViews reads the stored states at start-up, so that a new node has the
// shares before the first view from the controller.
func (s *Service) readViews(ctx context.Context) {
	if s.store == nil {
		return
	}
	objects, err := s.store.List(ctx, stateKey(""))
	if err != nil {
		return // The controller's next view contains the shares.
	}
	var m viewMessage
	for _, o := range objects {
		var state State
		if json.Unmarshal(o.Value, &state) != nil {
			continue // The controller reports a malformed state.
		}
		s.rollouts(func(r *config.Rollout) bool {
			if r.ID == state.ID {
				m.Views = append(m.Views, state.view(r))
			}
			return true
		})
	}
	s.applyView(m)
}
