package cutover

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"gopkg.in/tomb.v2"

	"cassiapin/pkg/clock"
	"cassiapin/pkg/eventlog"
	"cassiapin/pkg/kernel"
	"cassiapin/pkg/result"
	"cassiapin/pkg/spread"
	"cassiapin/pkg/topology"
)

// ServiceName is the name under which a node registers its Service.
const ServiceName = "route.cutover"

// Store writes the state of an order if nobody else has changed it.
type Store interface {
	// WriteRollout fails with result.ObjectConflict when the order has another
	// revision. After result.PlatformAway the write may still take effect.
	WriteRollout(ctx context.Context, r *topology.Rollout, state topology.RolloutState) error
}

// ViewSource gives the node's view.
type ViewSource interface {
	View() *topology.View
	Changed() <-chan struct{}
}

// Fleet gives the other nodes and carries messages to them.
type Fleet interface {
	// Self is this node's id, Peers the ids of the other nodes that are alive.
	Self() string
	Peers() []string
	// Send sends a message to one node, TellAll to all nodes; neither blocks.
	Send(node string, m Message) error
	Broadcast(m Message) error
	// Receive registers the handler of messages.
	Receive(handle func(m Message))
}

// Options are the settings of a Service.
type Options struct {
	Store Store
	Views ViewSource
	Fleet Fleet
	// SessionGap is the longest pause between requests of one session.
	SessionGap time.Duration
	// ExposureShare and ExposureExtra bound what a bad release may get.
	ExposureShare, ExposureExtra float64
}

const (
	// tick is the period of the schedule, and talk that of messages in ticks:
	// two a second are enough for a release that has to be stopped within
	// seconds.
	tick         = 250 * time.Millisecond
	messageTicks = 2
	// maxReportAge is the age from which a peer's report does not count.
	maxReportAge = 3 * messageTicks * tick
	// writeDelayStep is the time that each node leaves to those before it to write
	// the state of an order.
	writeDelayStep = 400 * time.Millisecond
	// writeRetryInterval is the pause before a write whose effect is not seen is
	// repeated.
	writeRetryInterval = 1500 * time.Millisecond
	// probation is the time for which a release that appears without an order
	// gets nothing; the order may be read a little later than its upstreams.
	probation = 3 * time.Second
)

// Service assigns requests to releases and judges new ones. It is registered
// as ServiceName.
type Service struct {
	kernel.Base
	opts  Options
	clock clock.Clock
	log   *slog.Logger

	mu       sync.Mutex
	rollouts map[string]*rollout
	sessions *sessions
	// firstSeen is when a release of a service was first seen; rejected are
	// releases that were rolled back.
	firstSeen map[releaseKey]time.Time
	rejected  map[releaseKey]bool
	synced    bool
}

type releaseKey struct{ service, release string }

// New returns a service without trials.
func New(o Options) *Service {
	return &Service{
		opts:      o,
		rollouts:  make(map[string]*rollout),
		sessions:  newSessions(o.SessionGap),
		firstSeen: make(map[releaseKey]time.Time),
		rejected:  make(map[releaseKey]bool),
	}
}

// Name implements kernel.Service.
func (*Service) Name() string { return ServiceName }

// Provision implements kernel.Service.
func (s *Service) Provision(k *kernel.Kernel) error {
	s.clock, s.log = k.Clock, k.Log
	s.opts.Fleet.Receive(s.receive)
	return nil
}

// Run starts the duties that follow the view and that write states.
func (s *Service) Run(t *tomb.Tomb) error {
	ctx := t.Context(context.Background())
	t.Go(func() error {
		for ctx.Err() == nil {
			changed := s.opts.Views.Changed()
			s.follow()
			select {
			case <-changed:
			case <-ctx.Done():
			}
		}
		return nil
	})
	t.Go(func() error {
		for s.clock.Sleep(ctx, tick) == nil {
			s.step(ctx)
		}
		return nil
	})
	return nil
}

// follow takes orders and releases from the view.
func (s *Service) follow() {
	view := s.opts.Views.View()
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	for service, upstreams := range view.Upstreams {
		for _, u := range upstreams {
			key := releaseKey{service, u.Release}
			if _, ok := s.firstSeen[key]; ok {
				continue
			}
			s.firstSeen[key] = now
			if !s.synced {
				s.firstSeen[key] = time.Time{} // It was there before this node.
			}
		}
	}
	s.synced = s.synced || len(view.Upstreams) > 0
	for service, r := range view.Rollouts {
		t := s.rollouts[service]
		if t == nil || !sameRollout(t.object, r) {
			t = newRollout(r, now)
			s.rollouts[service] = t
			s.registerGauge(service)
			s.log.Info(eventlog.RolloutStarted, "service", service, "target", r.Target, "state", r.State.String(),
				"duration_ms", r.Duration.Milliseconds(), "revision", r.Revision)
			delete(s.rejected, releaseKey{service, r.Target})
		}
		t.object = r
		if r.State == topology.RolloutRolledBack {
			s.rejected[releaseKey{service, r.Target}] = true
			s.halt(t, "rolled back")
		}
	}
	for service := range s.rollouts {
		if view.Rollouts[service] == nil {
			delete(s.rollouts, service)
		}
	}
}

// registerGauge shows the share of requests that may use a service's new
// release, -1 without an order.
func (s *Service) registerGauge(service string) {
	metrics.GetOrCreateGauge(fmt.Sprintf(`cassiapin_rollout_share{service=%q}`, service), func() float64 {
		s.mu.Lock()
		defer s.mu.Unlock()
		if t := s.rollouts[service]; t != nil {
			return t.share
		}
		return -1
	})
}

// halt stops a trial; the caller holds the lock.
func (s *Service) halt(t *rollout, reason string) {
	if t.halted != "" || t.object.State == topology.RolloutCompleted {
		return
	}
	t.halted, t.share = reason, 0
	s.log.Warn(eventlog.RolloutVerdict, append([]any{"service", t.object.Service, "target", t.object.Target, "verdict", "bad"},
		append(t.attrs(), "reason", reason, "elapsed_ms", s.clock.Since(t.started).Milliseconds())...)...)
}

// step moves the trials on, tells the peers and writes states.
func (s *Service) step(ctx context.Context) {
	type write struct {
		order *topology.Rollout
		state topology.RolloutState
	}
	var writes []write
	var messages []outgoing
	s.mu.Lock()
	now := s.clock.Now()
	peers := s.opts.Fleet.Peers()
	for _, t := range s.rollouts {
		if t.object.State.Final() {
			continue
		}
		turn := rank(t.object.Created, s.opts.Fleet.Self(), peers)
		if reason := Evaluate(t.allStats()); reason != "" {
			s.halt(t, reason)
		}
		s.updateShare(t, now)
		if t.ticks++; t.ticks%messageTicks == 0 {
			messages = append(messages, s.regularMessages(t, turn, peers, now)...)
		} else if t.halted != "" && !t.haltSent {
			messages = append(messages, outgoing{message: s.sum(t, s.report(t, now))})
		}
		t.haltSent = t.halted != ""
		if state, ok := s.dueState(t, turn, peers, now); ok {
			t.written = now
			writes = append(writes, write{t.object, state})
		}
	}
	s.mu.Unlock()
	for _, m := range messages {
		if err := m.send(s.opts.Fleet); err != nil {
			metrics.GetOrCreateCounter("cassiapin_cutover_untold_total").Inc()
		}
	}
	for _, w := range writes {
		s.write(ctx, w.order, w.state)
	}
}

// updateShare follows the schedule; the caller holds the lock.
func (s *Service) updateShare(t *rollout, now time.Time) {
	share := t.shareAt(now, s.opts.ExposureShare)
	if share == t.share {
		return
	}
	t.share = share
	s.log.Info(eventlog.RolloutShare, append([]any{
		"service", t.object.Service, "target", t.object.Target, "share", share, "progress", t.progress(now),
	}, t.attrs()...)...)
}

// due returns the state that this node has to write now, if any.
func (s *Service) dueState(t *rollout, place int, peers []string, now time.Time) (topology.RolloutState, bool) {
	if !t.written.IsZero() && now.Sub(t.written) < writeRetryInterval {
		return 0, false
	}
	turn := time.Duration(place) * writeDelayStep
	switch {
	case t.halted != "":
		if t.haltedAt.IsZero() {
			t.haltedAt = now
		}
		return topology.RolloutRolledBack, now.Sub(t.haltedAt) >= turn
	case t.drainedOnAll(now, peers, maxReportAge):
		if t.drainedAt.IsZero() {
			t.drainedAt = now
		}
		return topology.RolloutCompleted, now.Sub(t.drainedAt) >= turn
	case t.object.State == topology.RolloutRequested && !t.runningWritten && turn == 0:
		t.runningWritten = true
		return topology.RolloutRunning, true
	}
	t.drainedAt = time.Time{}
	return 0, false
}

// orderKey orders the nodes, differently for each order.
func orderKey(created topology.Revision, node string) uint64 {
	return spread.Mix(spread.Hash(node) ^ uint64(created))
}

// rank is the place of this node in the order in which nodes write.
func rank(created topology.Revision, self string, peers []string) int {
	place := 0
	own := orderKey(created, self)
	for _, p := range peers {
		if orderKey(created, p) < own {
			place++
		}
	}
	return place
}

func (s *Service) write(ctx context.Context, order *topology.Rollout, state topology.RolloutState) {
	err := s.opts.Store.WriteRollout(ctx, order, state)
	attrs := []any{"service", order.Service, "target", order.Target, "state", state.String(), "revision", order.Revision}
	if err != nil {
		// The watch shows what became of the order; it is written again if it
		// is still due then.
		s.log.Warn(eventlog.RolloutWritten, append(attrs, "error", err.Error(), "code", int(result.CodeOf(err)))...)
		return
	}
	s.log.Info(eventlog.RolloutWritten, attrs...)
}
