// Package storeview maintains a node's view of the configuration, the
// upstreams, the evacuated failure domains and the rollouts. Each kind is listed
// once and then watched; the view never reverts to an older state while a
// process runs.
package storeview

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"maps"
	"runtime/debug"
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
	QuarantinedParts
)

// String names the kind in logs and metrics.
func (k Kind) String() string {
	return [...]string{"configurations", "upstreams", "rollouts", "evacuations", "nodes", "quarantined parts"}[k]
}

// Object is one object of the store.
type Object struct {
	Name string
	// Revision is the revision of the last change, Created that of the first.
	Revision, Created topology.Revision
	// Deleting is set while the deletion waits for finalizers.
	Deleting     bool
	Spec, Status json.RawMessage
}

// Change is one event of a watch.
type Change struct {
	Object  Object
	Deleted bool
}

// ErrHistoryLost is returned by a watch whose start revision has been compacted.
var ErrHistoryLost = errors.New("store no longer keeps the requested changes")

// ErrTooManyChanges is returned by a watch whose answer exceeds the size that a node
// reads. The same watch would only grow; a list has pages.
var ErrTooManyChanges = errors.New("the changes exceed the size of an answer")

// Store reads the platform's objects. Reads are linearizable.
type Store interface {
	// List returns all objects of a kind and the revision to watch from.
	List(ctx context.Context, kind Kind) ([]Object, topology.Revision, error)
	// Watch returns the changes after a revision, as soon as there is one or
	// when wait has passed, and the revision to continue from. A call that takes
	// longer than the sum of wait and slack fails.
	Watch(
		ctx context.Context, kind Kind, after topology.Revision, wait, slack time.Duration,
	) ([]Change, topology.Revision, error)
}

// Decoder decodes objects. An error affects only the object it is returned for.
type Decoder interface {
	Config(o Object) (c *topology.Config, ok bool, err error)
	Upstream(o Object) (*topology.Upstream, error)
	Rollout(o Object) (*topology.Rollout, error)
}

// Options are the settings of a Service.
type Options struct {
	Store   Store
	Decoder Decoder
	// Revealed returns the latest revision that any call to the store has returned, also
	// of kinds that are not read here; nil is none.
	Revealed func() topology.Revision
	// Peers is nil for a node that reads the store by itself.
	Peers   Peers
	Tracker TrackerOptions
	// EffectiveIn is the time in which a change of each kind must take effect.
	EffectiveIn map[Kind]time.Duration
	// BootTime is a clock that also runs while the process or its host is
	// paused; nil is that of the host.
	BootTime func() time.Duration
}

// Service reads the store and publishes views. It is registered as
// ServiceName.
type Service struct {
	kernel.Base
	opts  Options
	clock clock.Clock
	hlc   *clock.HLC
	log   *slog.Logger

	mu      sync.Mutex
	tracker *Tracker
	changed chan struct{}
	view    atomic.Pointer[topology.View]
	// lastAnswer is the time of the latest answer or notice by kind, in nanoseconds of
	// the clock of pauses; zero is none.
	lastAnswer [Nodes]atomic.Int64
	notices    [Nodes]chan Notice
	// storeProgress is what the followers have read from the store themselves;
	// only this is published in notices. latestProgress includes what they know
	// from other nodes. config is the store's newest configuration that could be decoded,
	// and inForce the one in force, which is later if the store has lost it. mu guards all
	// four.
	storeProgress, latestProgress [Nodes]progress
	config, inForce               Object
	// publishing keeps notices in the order of the states that they are of.
	publishing sync.Mutex
	// upstreams are the upstreams' objects, for nodes that start. mu guards them.
	upstreams map[string]Object
	// contact is this node's contact with the store, and missing the latest revision of
	// an upstream whose entry was found missing. mu guards both.
	contact contact
	missing topology.Revision
	// digests identify the current state of each kind; nil before the first
	// list. mu guards them.
	digests [Nodes]*digest
	// announced is the latest revision that a notice has announced without its
	// changes, by kind. mu guards it.
	announced [Nodes]topology.Revision
	// revealed is the latest revision of the store in any answer. What the store reads
	// afterwards includes all changes up to it.
	revealed topology.LatestRevision
	// confirmed is the start of the latest successful call of each kind, in
	// nanoseconds of the clock of pauses.
	confirmed [Nodes]atomic.Int64
	// proofs are the latest proofs that the view of each kind is the newest, and
	// undecoded the revision of a configuration that this node could not decode, if it
	// has none after it. mu guards both.
	proofs    [Nodes]proof
	undecoded topology.Revision
	// reporters are the nodes that report the newest state of each kind. mu guards
	// them.
	reporters [Nodes]reporter
	// proofRequests are kinds of which requests await a proof, and readRequests those
	// that have to be read for one. callRequests tell the followers to call the store,
	// for a list if listRequested is set.
	proofRequests chan Kind
	readRequests  chan Kind
	callRequests  [Nodes]chan struct{}
	listRequested [Nodes]atomic.Bool
	pauses        pauses
	backoff       *sharedBackoff
	// era is the latest era of the store in an answer to this node, once eraKnown is set;
	// the state of each kind may be of an earlier one (digest.era), or by notices of a
	// later one. storeVersion is that of the configuration that the store has. mu guards
	// these.
	era          uint64
	eraKnown     bool
	storeVersion uint64
	// heard is the latest configuration that other nodes hold and the store lacks. mu
	// guards it, and lacked, which is set when another node is heard to lack one that this
	// node holds. fetches and announcements wake the loops that exchange such ones.
	heard                  heardVersion
	lacked                 bool
	fetches, announcements chan struct{}
	// verifications wake the loop that calls the store in an era that was heard of.
	verifications chan struct{}
	// compared is set once this node has compared its first configuration with that of
	// another node, or has found none to ask.
	compared atomic.Bool
}

// New returns a service with an empty view.
func New(o Options) *Service {
	s := &Service{
		opts: o, changed: make(chan struct{}), tracker: NewTracker(o.Tracker), backoff: newSharedBackoff(),
		upstreams: make(map[string]Object), fetches: make(chan struct{}, 1), announcements: make(chan struct{}, 1),
		verifications: make(chan struct{}, 1),
	}
	s.compared.Store(o.Peers == nil)
	s.proofRequests, s.readRequests = make(chan Kind, Nodes), make(chan Kind, Nodes)
	s.view.Store(&topology.View{})
	s.pauses.now, s.pauses.next = o.BootTime, make(chan struct{})
	if s.pauses.now == nil {
		s.pauses.now = bootTime
	}
	s.pauses.endOfLast() // From here on a pause is noticed.
	for kind := range s.notices {
		s.notices[kind] = make(chan Notice, noticeQueue)
		s.callRequests[kind] = make(chan struct{}, 1)
	}
	return s
}

// Name implements kernel.Service.
func (*Service) Name() string { return ServiceName }

// Provision implements kernel.Service.
func (s *Service) Provision(k *kernel.Kernel) error {
	s.clock, s.hlc, s.log = k.Clock, k.HLC, k.Log
	if s.opts.Peers != nil {
		s.opts.Peers.Receive(s.receive)
		s.opts.Peers.HandleQueries(s.answer)
	}
	return nil
}

// Run starts a follower for each kind, the loops of expiry, pauses and proofs and, with
// peers, those of the exchange with other nodes.
func (s *Service) Run(t *tomb.Tomb) error {
	ctx := t.Context(context.Background())
	for kind := Configurations; kind <= Evacuations; kind++ {
		t.Go(func() error {
			s.follow(ctx, kind)
			return nil
		})
	}
	loops := []func(context.Context){s.expireLoop, s.notePauses, s.proveLoop, s.readLoop}
	if s.opts.Peers != nil {
		loops = append(loops, s.publishLoop, s.graceLoop, s.announceLoop, s.fetchLoop, s.compareLoop, s.verifyLoop)
	}
	for _, loop := range loops {
		t.Go(func() error {
			loop(ctx)
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

// Age returns the time since a kind was last confirmed by the store or a
// notice, -1 if never; while the store answers, at most the length of one watch.
func (s *Service) Age(kind Kind) time.Duration {
	at := s.lastAnswer[kind].Load()
	if at == 0 {
		return -1
	}
	return s.pauses.now() - time.Duration(at)
}

// Synced reports whether every kind has been read once.
func (s *Service) Synced() bool {
	for i := range s.lastAnswer {
		if s.lastAnswer[i].Load() == 0 {
			return false
		}
	}
	return true
}

// list reads all objects of a kind. New ones appeared at the given time, or just
// now if it is zero.
func (s *Service) list(ctx context.Context, kind Kind, appeared time.Time) (listAnswer, error) {
	began := s.pauses.now()
	objects, revision, err := s.opts.Store.List(ctx, kind)
	if err != nil {
		return listAnswer{}, err
	}
	if err := s.noteAnswer(revision); err != nil {
		return listAnswer{}, err
	}
	s.noteContact(kind, began, s.pauses.now())
	return listAnswer{objects, s.replaceAll(kind, objects, revision.Era, appeared), revision}, nil
}

// replaceAll replaces the known objects of a kind by those of an era of the store. It
// returns the changes, none if the kind was not known before.
func (s *Service) replaceAll(kind Kind, objects []Object, era uint64, appeared time.Time) (news []Change) {
	s.lastAnswer[kind].Store(int64(s.pauses.now()))
	s.update(func(now time.Time) bool {
		s.tracker.StoreAnswered(kind, now)
		known := s.digests[kind]
		if known == nil {
			s.tracker.StartEra(kind, era)
		} else {
			s.tracker.EnterEra(kind, era, now)
		}
		s.digests[kind] = newDigest(objects, era)
		present := make(map[string]bool, len(objects))
		changed := false
		for _, o := range objects {
			present[o.Name] = true
			// Another node's copy of a configuration may be one that can't be decoded.
			again := kind == Configurations && !s.undecoded.IsZero()
			if c := (Change{Object: o}); again || !known.has(o) {
				news = append(news, c)
				changed = s.apply(kind, c, now, appeared) || changed
			}
		}
		if known == nil {
			news = nil
		} else {
			missing := known.missing(present)
			s.noteMissing(kind, missing)
			s.digests[kind].inherit(known)
			news = append(news, missing...)
		}
		if kind == Configurations && len(objects) == 0 {
			s.noteStoreVersion(0)
		}
		maps.DeleteFunc(s.upstreams, func(name string, _ Object) bool { return kind == Upstreams && !present[name] })
		return s.tracker.Retain(kind, present, now) || changed
	})
	return news
}

// watch reads the changes of a kind after a revision. They occurred at the time
// appeared, or just now if it is zero.
func (s *Service) watch(
	ctx context.Context, kind Kind, from topology.Revision, wait, slack time.Duration, appeared time.Time,
) (watchAnswer, error) {
	began := s.pauses.now()
	changes, revision, err := s.opts.Store.Watch(ctx, kind, from, wait, slack)
	if err != nil {
		return watchAnswer{}, err
	}
	if err := s.noteAnswer(revision); err != nil {
		return watchAnswer{}, err
	}
	if len(changes) == 0 {
		began += wait // The store has held the call for so long.
	}
	s.noteContact(kind, began, s.pauses.now())
	s.lastAnswer[kind].Store(int64(s.pauses.now()))
	a := watchAnswer{changes: changes, revision: revision}
	s.update(func(now time.Time) bool {
		s.tracker.StoreAnswered(kind, now)
		changed := false
		a.news = s.digests[kind].news(changes)
		for _, c := range a.news {
			changed = s.apply(kind, c, now, appeared) || changed
		}
		return changed
	})
	return a, nil
}

// apply decodes one object and passes it to the tracker. A panic ends only this
// object. The caller holds the lock.
func (s *Service) apply(kind Kind, c Change, now, appeared time.Time) (changed bool) {
	var err error
	if c.Deleted {
		s.noteMissing(kind, []Change{c})
	}
	s.digests[kind].apply(c)
	defer func() {
		if p := recover(); p != nil {
			s.noteDecoded(kind, c, false)
			s.log.Error(eventlog.ObjectRefused, "kind", kind.String(), "object", c.Object.Name, "revision", c.Object.Revision,
				"panic", fmt.Sprint(p), "stack", string(debug.Stack()))
		}
	}()
	switch kind {
	case Configurations:
		var config *topology.Config
		var ok bool
		config, ok, err = s.opts.Decoder.Config(c.Object)
		s.noteDecoded(kind, c, err == nil)
		if err == nil && ok && !c.Deleted {
			if c.Object.Revision.After(s.config.Revision) { // A late list has an older one.
				s.config = c.Object
				s.noteStoreVersion(config.Version)
			}
			if changed = s.tracker.SetConfig(config); changed {
				s.inForce = c.Object
				s.log.Info(eventlog.ConfigTaken, "config", config.Version, "revision", config.Revision,
					"routes", len(config.Routes), "services", len(config.Services), "organisations", len(config.Organisations))
			}
		}
	case Upstreams:
		changed, err = s.applyUpstream(c, now)
	case Rollouts:
		if c.Deleted {
			changed = s.tracker.DeleteRollout(c.Object.Name, c.Object.Revision, now)
			break
		}
		var r *topology.Rollout
		if r, err = s.opts.Decoder.Rollout(c.Object); err == nil {
			r.Appeared = appeared
			changed = s.tracker.SetRollout(c.Object.Name, r)
			s.log.Info(eventlog.RolloutRead, "service", r.Service, "target", r.Target, "state", r.State.String(),
				"revision", r.Revision, "duration_ms", r.Duration.Milliseconds())
		}
	case Evacuations:
		if c.Deleted || c.Object.Deleting {
			changed = s.tracker.EndEvacuation(c.Object.Name, c.Object.Revision, now)
		} else {
			changed = s.tracker.SetEvacuated(c.Object.Name, c.Object.Revision)
		}
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
		delete(s.upstreams, c.Object.Name)
	} else {
		s.upstreams[c.Object.Name] = c.Object
	}
	if c.Deleted {
		if !s.tracker.DeleteUpstream(c.Object.Name, now) {
			return false, nil
		}
		s.log.Info(eventlog.UpstreamGone, "upstream", c.Object.Name, "revision", c.Object.Revision)
		return true, nil
	}
	u, err := s.opts.Decoder.Upstream(c.Object)
	if err != nil {
		// An entry that cannot be decoded removes the upstream, also when an
		// earlier version was valid.
		return s.tracker.DeleteUpstream(c.Object.Name, now), err
	}
	changed := s.tracker.SetUpstream(u, now)
	if changed {
		s.log.Info(eventlog.UpstreamRead, "upstream", u.ID, "service", u.Service, "address", u.Address,
			"failure_domain", u.FailureDomain, "release", u.Release, "leaving", u.Draining,
			"cold_ms", u.ColdFor.Milliseconds(), "born", u.StartedMS, "revision", c.Object.Revision)
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

func (s *Service) expireLoop(ctx context.Context) {
	for s.clock.Sleep(ctx, expireInterval) == nil {
		s.update(func(now time.Time) bool {
			gone := s.tracker.Expire(now)
			for _, id := range gone {
				s.log.Info(eventlog.UpstreamGone, "upstream", id, "reason", "not renewed within the grace period after a store outage")
			}
			changed := s.tracker.endRetention(now)
			changed = s.tracker.endWithholding(now) || changed
			return changed || len(gone) > 0
		})
	}
}
