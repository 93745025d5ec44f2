package canary

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
	"cassiapin/pkg/hashing"
	"cassiapin/pkg/kernel"
	"cassiapin/pkg/result"
	"cassiapin/pkg/topology"
)

// ServiceName is the name under which a node registers its Service.
const ServiceName = "route.cutover"

// Store writes the state of a rollout, conditional on its revision.
type Store interface {
	// WriteRollout fails with result.ObjectConflict when the rollout has another
	// revision. After result.PlatformUnavailable the write may still take effect.
	WriteRollout(ctx context.Context, r *topology.Rollout, state topology.RolloutState) error
}

// ViewSource provides the node's view.
type ViewSource interface {
	View() *topology.View
	Changed() <-chan struct{}
}

// Fleet lists the other nodes and sends messages to them.
type Fleet interface {
	// Self is this node's id, Peers the ids of the other live nodes.
	Self() string
	Peers() []string
	// DomainNodes returns the ids of the live nodes of this node's failure domain.
	DomainNodes() []string
	// Send sends a message to one node, Broadcast to all nodes; neither blocks.
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
	// ExposureShare and ExposureExtra bound the requests that a bad release may
	// get, as a share of all requests plus a number of requests.
	ExposureShare, ExposureExtra float64
}

const (
	// tick is the period of the schedule, messageTicks that of messages in
	// ticks: two messages a second suffice to stop a release within seconds.
	tick         = 250 * time.Millisecond
	messageTicks = 2
	// cellTicks is the period of the old release's cells in messages: with them a
	// message is several times larger.
	cellTicks = 4 * messageTicks
	// maxReportAge is the age above which a peer's report is stale.
	maxReportAge = 3 * messageTicks * tick
	// writeDelayStep delays a node's write of the state, per node ranked before
	// it, so that usually only one node writes.
	writeDelayStep = 400 * time.Millisecond
	// writeRetryInterval is the pause before repeating a write that has not
	// shown up in the view.
	writeRetryInterval = 1500 * time.Millisecond
	// probation is the time for which a release that appears without a rollout
	// gets no requests; the rollout may be read shortly after its upstreams.
	probation = 3 * time.Second
)

// Service assigns requests to releases and evaluates new releases. It is
// registered as ServiceName.
type Service struct {
	kernel.Base
	opts  Options
	clock clock.Clock
	log   *slog.Logger

	mu       sync.Mutex
	rollouts map[string]*rollout
	// ended are rollouts that the view lacks since a short while.
	ended    map[releaseKey]endedRollout
	sessions *sessions
	// firstSeen is when a release of a service was first seen; rejected are
	// releases that were rolled back.
	firstSeen map[releaseKey]time.Time
	rejected  map[releaseKey]bool
	synced    bool
	// heard are rollouts that other nodes tell of and the view lacks.
	heard map[releaseKey]heardRollout
}

type releaseKey struct{ service, release string }

// New returns a service without rollouts.
func New(o Options) *Service {
	return &Service{
		opts:      o,
		rollouts:  make(map[string]*rollout),
		ended:     make(map[releaseKey]endedRollout),
		sessions:  newSessions(o.SessionGap),
		firstSeen: make(map[releaseKey]time.Time),
		rejected:  make(map[releaseKey]bool),
		heard:     make(map[releaseKey]heardRollout),
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

// Run starts the goroutines that follow the view and run the schedule.
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

// follow updates rollouts and releases from the view.
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
				s.firstSeen[key] = time.Time{} // It existed before this node started.
			}
		}
	}
	s.synced = s.synced || len(view.Upstreams) > 0
	for service, r := range view.Rollouts {
		ro := s.update(service, r, now)
		ro.track(view.Upstreams[service])
		s.takeVerdict(service, ro)
	}
	for service := range s.rollouts {
		if view.Rollouts[service] == nil {
			s.end(service, now)
		}
	}
}

// registerGauge exports the share of requests that may use a service's new
// release, -1 without a rollout.
func (s *Service) registerGauge(service string) {
	metrics.GetOrCreateGauge(fmt.Sprintf(`cassiapin_rollout_share{service=%q}`, service), func() float64 {
		s.mu.Lock()
		defer s.mu.Unlock()
		if ro := s.rollouts[service]; ro != nil {
			return ro.share
		}
		return -1
	})
}

// halt stops a rollout; the caller holds the lock.
func (s *Service) halt(ro *rollout, reason string) {
	if ro.halted != "" || ro.state() == topology.RolloutCompleted {
		return
	}
	ro.halted, ro.share = reason, 0
	s.log.Warn(eventlog.RolloutVerdict, append([]any{"service", ro.object.Service, "target", ro.object.Target, "verdict", "bad"},
		append(ro.attrs(s.clock.Now()), "reason", reason, "elapsed_ms", s.clock.Since(ro.started).Milliseconds())...)...)
}

// step advances the rollouts, sends messages to peers and writes states.
func (s *Service) step(ctx context.Context) {
	type write struct {
		rollout *topology.Rollout
		state   topology.RolloutState
	}
	var writes []write
	var messages []outgoing
	s.mu.Lock()
	now := s.clock.Now()
	peers := s.opts.Fleet.Peers()
	for _, ro := range s.rollouts {
		if ro.object.Stored.Final() {
			continue
		}
		position := rank(ro.id, s.opts.Fleet.Self(), peers)
		if !ro.state().Final() {
			s.judge(ro, position, now)
		}
		if ro.ticks++; ro.ticks%messageTicks == 0 || ro.ramp > 0 || ro.prompt(now) {
			messages = append(messages, s.regularMessages(ro, position, peers, now)...)
		} else if ro.halted != "" && !ro.haltSent {
			messages = append(messages, outgoing{message: s.sum(ro, s.report(ro, now))})
		}
		ro.haltSent = ro.halted != ""
		if state, ok := s.dueState(ro, position, peers, now); ok {
			ro.written = now
			writes = append(writes, write{ro.object, state})
		}
	}
	s.mu.Unlock()
	for _, m := range messages {
		if err := m.send(s.opts.Fleet); err != nil {
			metrics.GetOrCreateCounter("cassiapin_cutover_untold_total").Inc()
		}
	}
	for _, w := range writes {
		s.write(ctx, w.rollout, w.state)
	}
}

// judge evaluates a rollout, decides on its ramp and sets its share; the caller holds the
// lock.
func (s *Service) judge(ro *rollout, position int, now time.Time) {
	s.evaluate(ro, slowdownStdErrors, now)
	if position < aggregatorCount && ro.startRamp(now, s.opts.ExposureShare, s.opts.ExposureExtra) {
		s.evaluate(ro, decisionStdErrors, now)
	} else if position < aggregatorCount && ro.heldTooLong(now) {
		s.halt(ro, "both releases fail requests or answer them late")
	}
	s.updateShare(ro, now)
}

// evaluate halts a rollout whose new release is bad; the caller holds the lock.
func (s *Service) evaluate(ro *rollout, stdErrors float64, now time.Time) {
	if reason := ro.soundStats(now).verdict(stdErrors); reason != "" {
		s.halt(ro, reason)
	}
}

// updateShare sets the share by the schedule; the caller holds the lock.
func (s *Service) updateShare(ro *rollout, now time.Time) {
	share := ro.shareAt(now, s.opts.ExposureShare)
	if share == ro.share {
		return
	}
	ro.share = share
	s.log.Info(eventlog.RolloutShare, append([]any{
		"service", ro.object.Service, "target", ro.object.Target, "share", share, "progress", ro.progress(now),
	}, ro.attrs(now)...)...)
}

// dueState returns the state that this node must write now, if any.
func (s *Service) dueState(ro *rollout, position int, peers []string, now time.Time) (topology.RolloutState, bool) {
	if !ro.written.IsZero() && now.Sub(ro.written) < writeRetryInterval {
		return 0, false
	}
	delay := time.Duration(position) * writeDelayStep
	completed := ro.state() == topology.RolloutCompleted
	drained := !completed && ro.drainedOnAll(now, peers, maxReportAge)
	if drained {
		s.evaluate(ro, decisionStdErrors, now)
	}
	switch {
	case ro.halted != "":
		if ro.haltedAt.IsZero() {
			ro.haltedAt = now
		}
		return topology.RolloutRolledBack, now.Sub(ro.haltedAt) >= delay && ro.mayDecide(now)
	case completed || drained:
		if ro.drainedAt.IsZero() {
			ro.drainedAt = now
		}
		return topology.RolloutCompleted, now.Sub(ro.drainedAt) >= delay && ro.mayDecide(now)
	case ro.object.Stored == topology.RolloutRequested && position < aggregatorCount:
		if ro.runningAt.IsZero() {
			ro.runningAt = now
		}
		return topology.RolloutRunning, now.Sub(ro.runningAt) >= delay
	}
	ro.drainedAt = time.Time{}
	return 0, false
}

// orderKey is the sort key of a node, which differs for each rollout.
func orderKey(id topology.Revision, node string) uint64 {
	return hashing.Mix(hashing.Hash(node) ^ id.Number)
}

// rank is the position of this node in the order in which nodes write.
func rank(id topology.Revision, self string, peers []string) int {
	position := 0
	own := orderKey(id, self)
	for _, p := range peers {
		if orderKey(id, p) < own {
			position++
		}
	}
	return position
}

func (s *Service) write(ctx context.Context, r *topology.Rollout, state topology.RolloutState) {
	err := s.opts.Store.WriteRollout(ctx, r, state)
	attrs := []any{"service", r.Service, "target", r.Target, "state", state.String(), "revision", r.Revision}
	if err != nil {
		// The watch shows whether the write took effect; it is repeated if the
		// state is still due then.
		s.log.Warn(eventlog.RolloutWritten, append(attrs, "error", err.Error(), "code", int(result.CodeOf(err)))...)
		return
	}
	s.log.Info(eventlog.RolloutWritten, attrs...)
}
