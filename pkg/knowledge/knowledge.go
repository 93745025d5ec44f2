// Package knowledge keeps a node's view of the configuration, the upstreams,
// the evacuated failure domains and the version changes. Each kind is listed
// once and then watched; the view never goes back within one run of a process.
package knowledge

import (
	"context"
	"encoding/json"
	"log/slog"
	"math/rand"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"gopkg.in/tomb.v2"

	"cassiapin/pkg/clock"
	"cassiapin/pkg/eventlog"
	"cassiapin/pkg/kernel"
	"cassiapin/pkg/topology"
)

// ServiceName is the name under which a node registers its Service.
const ServiceName = "fleet.knowledge"

// Kind is a kind of object in the store.
type Kind int

// The kinds that a node reads or writes.
const (
	Configurations Kind = iota
	Upstreams
	Rollouts
	Evacuations
	Nodes
)

// String names the kind in logs and metrics.
func (k Kind) String() string {
	return [...]string{"configurations", "upstreams", "rollouts", "evacuations", "nodes"}[k]
}

// Object is one object of the store.
type Object struct {
	Name string
	// Revision is that of the last change, Created that of the first.
	Revision, Created topology.Revision
	// Deleting objects wait for somebody to release them.
	Deleting     bool
	Spec, Status json.RawMessage
}

// Change is one event of a watch.
type Change struct {
	Object  Object
	Deleted bool
}

// ErrHistoryLost is returned by a watch whose start is no longer kept.
var ErrHistoryLost = errors.New("the store no longer keeps the changes asked for")

// Store reads the platform's objects. Reads are linearizable.
type Store interface {
	// List returns all objects of a kind and the revision to watch from.
	List(ctx context.Context, kind Kind) ([]Object, topology.Revision, error)
	// Watch returns the changes after a revision, as soon as there is one or
	// when wait has passed, and the revision to go on from. A call that takes
	// longer than wait and slack fails.
	Watch(
		ctx context.Context, kind Kind, after topology.Revision, wait, slack time.Duration,
	) ([]Change, topology.Revision, error)
}

// Decoder translates objects. An error names a bad object; the others hold.
type Decoder interface {
	Config(o Object) (c *topology.Config, ok bool, err error)
	Upstream(o Object) (*topology.Upstream, error)
	Rollout(o Object) (*topology.Rollout, error)
}

const (
	// watchShare is the part of the time in which a change has to take effect
	// for which the store may hold a watch. A watch can miss changes without a
	// sign of it until the next call; the rest of the time is for that call
	// and for a list.
	watchShare = 0.5
	// slackMin is how much longer than that an answer may take, and
	// slackFactor the same as a multiple of the time that the store took to
	// answer at once, for a store that is slow.
	slackMin    = 600 * time.Millisecond
	slackFactor = 4
	// After a failure the store is asked for changes without a wait. callMin
	// and callMax bound that call; the time doubles with each failure, so that
	// a store that is slow is heard and one that is back is found soon.
	callMin = 500 * time.Millisecond
	callMax = 1500 * time.Millisecond
	// retryMin and retryMax bound the pause after a failed call; the pause
	// doubles and is spread over half of its length.
	retryMin = 100 * time.Millisecond
	retryMax = 400 * time.Millisecond
	// coalesce is the shortest time between two watches of one kind, so that a
	// series of changes does not cost one call each at every node.
	coalesce = 50 * time.Millisecond
)

// Options are the settings of a Service.
type Options struct {
	Store   Store
	Decoder Decoder
	// Peers is nil for a node that reads the store by itself.
	Peers   Peers
	Tracker TrackerOptions
	// EffectiveIn is the time in which a change of each kind has to take
	// effect.
	EffectiveIn map[Kind]time.Duration
}

// Service reads the store and publishes views. It is registered as
// ServiceName.
type Service struct {
	kernel.Base
	opts  Options
	clock clock.Clock
	log   *slog.Logger

	mu      sync.Mutex
	tracker *Tracker
	changed chan struct{}
	view    atomic.Pointer[topology.View]
	// contact is the Unix nanosecond of the latest answer by kind.
	contact [Nodes]atomic.Int64
	notices [Nodes]chan Notice
	// progress is written by the duties and read for notices, under mu.
	progress [Nodes]progress
}

// New returns a service without knowledge.
func New(o Options) *Service {
	s := &Service{opts: o, changed: make(chan struct{}), tracker: NewTracker(o.Tracker)}
	s.view.Store(&topology.View{})
	for kind := range s.notices {
		s.notices[kind] = make(chan Notice, noticeQueue)
	}
	return s
}

// Name implements kernel.Service.
func (*Service) Name() string { return ServiceName }

// Provision implements kernel.Service.
func (s *Service) Provision(k *kernel.Kernel) error {
	s.clock, s.log = k.Clock, k.Log
	if s.opts.Peers != nil {
		s.opts.Peers.Receive(s.receive)
	}
	return nil
}

// Run starts one duty for each kind and one that ends grace periods.
func (s *Service) Run(t *tomb.Tomb) error {
	ctx := t.Context(context.Background())
	for kind := Configurations; kind <= Evacuations; kind++ {
		t.Go(func() error {
			s.follow(ctx, kind)
			return nil
		})
	}
	t.Go(func() error {
		s.expire(ctx)
		return nil
	})
	if s.opts.Peers != nil {
		t.Go(func() error {
			s.confirm(ctx)
			return nil
		})
	}
	return nil
}

// View returns the latest view, which must not be changed.
func (s *Service) View() *topology.View { return s.view.Load() }

// Changed returns a channel that is closed at the next change of the view.
func (s *Service) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// Age returns the time since the store last answered for a kind; at most the
// length of one watch while the store is well.
func (s *Service) Age(kind Kind) time.Duration {
	at := s.contact[kind].Load()
	if at == 0 {
		return -1
	}
	return s.clock.Since(time.Unix(0, at))
}

// Synced reports whether every kind has been read once.
func (s *Service) Synced() bool {
	for i := range s.contact {
		if s.contact[i].Load() == 0 {
			return false
		}
	}
	return true
}

// follower is the state of one kind's duty.
type follower struct {
	service *Service
	kind    Kind
	// from is the revision up to which all changes are known; it counts only
	// once listed is set.
	from   topology.Revision
	listed bool
	// latency is how long the store took to answer at once; zero asks for a
	// call without a wait, which measures it.
	latency     time.Duration
	callTimeout time.Duration
	pause       time.Duration
	failedSince time.Time
	// verified is when the state was last known to be the newest.
	verified time.Time
}

// follow lists and watches one kind until ctx ends.
func (s *Service) follow(ctx context.Context, kind Kind) {
	f := &follower{service: s, kind: kind, callTimeout: callMin, pause: retryMin}
	for ctx.Err() == nil {
		f.listen(ctx)
		start := s.clock.Now()
		err := f.call(ctx)
		switch {
		case ctx.Err() != nil:
			return
		case err == nil:
			f.answered()
			if rest := coalesce - s.clock.Since(start); rest > 0 {
				_ = s.clock.Sleep(ctx, rest) // Ends early only with ctx, which the loop checks.
			}
		case errors.Is(err, ErrHistoryLost):
			s.log.Info(eventlog.HistoryLost, "kind", kind.String(), "revision", f.from)
			f.listed = false
		default:
			f.failed(err, start)
			_ = s.clock.Sleep(ctx, f.pause/2+time.Duration(rand.Int63n(int64(f.pause))))
			f.pause = min(2*f.pause, retryMax)
		}
	}
}

// call makes the next call of the duty.
func (f *follower) call(ctx context.Context) (err error) {
	s := f.service
	start, before := s.clock.Now(), f.from
	var changes []Change
	switch {
	case !f.listed:
		if f.from, err = s.list(ctx, f.kind); err == nil {
			f.listed, f.latency = true, max(s.clock.Since(start), 1)
		}
	case f.latency == 0:
		if f.from, changes, err = s.watch(ctx, f.kind, f.from, time.Millisecond, f.callTimeout); err == nil {
			f.latency = max(s.clock.Since(start), 1)
		}
	default:
		f.from, changes, err = s.watch(ctx, f.kind, f.from, f.wait(), max(slackMin, slackFactor*f.latency))
	}
	if err == nil {
		// The store confirms the state of the moment at which it answers; a
		// watch that misses a change is found by the next call.
		f.verified = s.clock.Now()
		f.publish()
		f.tell(before, changes)
	}
	return err
}

// publish notes the progress for notices to the others.
func (f *follower) publish() {
	s := f.service
	s.mu.Lock()
	defer s.mu.Unlock()
	s.progress[f.kind] = progress{f.from, f.verified}
}

// wait is how long the store may hold the watch of the kind.
func (f *follower) wait() time.Duration {
	share := watchShare
	if f.service.opts.Peers != nil && f.service.opts.Peers.Reads() {
		share = readShare
	}
	return time.Duration(share * float64(f.service.opts.EffectiveIn[f.kind]))
}

func (f *follower) answered() {
	if !f.failedSince.IsZero() {
		f.service.log.Info(eventlog.StoreRegained, "kind", f.kind.String(), "away_ms", f.service.clock.Since(f.failedSince).Milliseconds())
	}
	f.failedSince, f.pause, f.callTimeout = time.Time{}, retryMin, callMin
}

func (f *follower) failed(err error, start time.Time) {
	s := f.service
	if f.failedSince.IsZero() {
		f.failedSince = start
		s.log.Warn(eventlog.StoreLost, "kind", f.kind.String(), "revision", f.from, "error", err.Error())
		s.update(func(time.Time) bool { s.tracker.StoreLost(f.kind, start); return false })
	}
	f.latency, f.callTimeout = 0, min(2*f.callTimeout, callMax)
}

func (s *Service) list(ctx context.Context, kind Kind) (topology.Revision, error) {
	objects, from, err := s.opts.Store.List(ctx, kind)
	if err != nil {
		return 0, err
	}
	s.contact[kind].Store(s.clock.Now().UnixNano())
	s.update(func(now time.Time) bool {
		s.tracker.StoreAnswered(kind, now)
		present := make(map[string]bool, len(objects))
		changed := false
		for _, o := range objects {
			present[o.Name] = true
			changed = s.apply(kind, Change{Object: o}, now) || changed
		}
		return s.tracker.Retain(kind, present, now) || changed
	})
	return from, nil
}

func (s *Service) watch(
	ctx context.Context, kind Kind, from topology.Revision, wait, slack time.Duration,
) (topology.Revision, []Change, error) {
	changes, next, err := s.opts.Store.Watch(ctx, kind, from, wait, slack)
	if err != nil {
		return from, nil, err
	}
	s.contact[kind].Store(s.clock.Now().UnixNano())
	s.update(func(now time.Time) bool {
		s.tracker.StoreAnswered(kind, now)
		changed := false
		for _, c := range changes {
			changed = s.apply(kind, c, now) || changed
		}
		return changed
	})
	return max(next, from), changes, nil
}

// apply decodes one object and gives it to the tracker. The caller holds the
// lock.
func (s *Service) apply(kind Kind, c Change, now time.Time) bool {
	var err error
	changed := false
	switch kind {
	case Configurations:
		var config *topology.Config
		var ok bool
		config, ok, err = s.opts.Decoder.Config(c.Object)
		if err == nil && ok && !c.Deleted {
			if changed = s.tracker.SetConfig(config); changed {
				s.log.Info(eventlog.ConfigTaken, "config", config.Version, "revision", config.Revision,
					"routes", len(config.Routes), "services", len(config.Services), "organisations", len(config.Organisations))
			}
		}
	case Upstreams:
		changed, err = s.applyUpstream(c, now)
	case Rollouts:
		if c.Deleted {
			changed = s.tracker.DeleteRollout(c.Object.Name)
			break
		}
		var r *topology.Rollout
		if r, err = s.opts.Decoder.Rollout(c.Object); err == nil {
			changed = s.tracker.SetRollout(c.Object.Name, r)
			s.log.Info(eventlog.RolloutRead, "service", r.Service, "target", r.Target, "state", r.State.String(),
				"revision", r.Revision, "duration_ms", r.Duration.Milliseconds())
		}
	case Evacuations:
		changed = s.tracker.SetEvacuated(c.Object.Name, !c.Deleted && !c.Object.Deleting, now)
		if changed {
			s.log.Info(eventlog.EvacuationRead, "failure_domain", c.Object.Name, "evacuated", !c.Deleted, "revision", c.Object.Revision)
		}
	}
	if err != nil {
		s.log.Warn(eventlog.ObjectRefused, "kind", kind.String(), "object", c.Object.Name, "revision", c.Object.Revision, "error", err.Error())
	}
	return changed
}

func (s *Service) applyUpstream(c Change, now time.Time) (bool, error) {
	if c.Deleted {
		if !s.tracker.DeleteUpstream(c.Object.Name, now) {
			return false, nil
		}
		s.log.Info(eventlog.UpstreamGone, "upstream", c.Object.Name, "revision", c.Object.Revision)
		return true, nil
	}
	u, err := s.opts.Decoder.Upstream(c.Object)
	if err != nil {
		// An entry that cannot be read names no upstream to use, also when an
		// earlier one did.
		return s.tracker.DeleteUpstream(c.Object.Name, now), err
	}
	changed := s.tracker.SetUpstream(u, now)
	if changed {
		s.log.Info(eventlog.UpstreamRead, "upstream", u.ID, "service", u.Service, "address", u.Address,
			"failure_domain", u.FailureDomain, "release", u.Release, "leaving", u.Leaving,
			"cold_ms", u.ColdFor.Milliseconds(), "born", u.Born, "revision", c.Object.Revision)
	}
	return changed, nil
}

// update runs fn under the lock and publishes the view if fn reports a change.
func (s *Service) update(fn func(now time.Time) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !fn(s.clock.Now()) {
		return
	}
	s.view.Store(s.tracker.View())
	close(s.changed)
	s.changed = make(chan struct{})
}

// expireInterval is the precision of grace periods.
const expireInterval = 250 * time.Millisecond

func (s *Service) expire(ctx context.Context) {
	for s.clock.Sleep(ctx, expireInterval) == nil {
		s.update(func(now time.Time) bool {
			gone := s.tracker.Expire(now)
			for _, id := range gone {
				s.log.Info(eventlog.UpstreamGone, "upstream", id, "reason", "not back after an outage of the store")
			}
			return len(gone) > 0
		})
	}
}
