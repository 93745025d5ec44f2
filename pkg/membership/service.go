// Package membership keeps the view of the nodes: who is alive, leaving,
// suspect or dead. Each node probes its neighbours on a fixed overlay, state
// changes flood over it, and digests repair what a flood missed.
//
// All decisions are made by Tick and by the message handlers, without
// blocking, from the kernel's clock and a seeded source of randomness.
package membership

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"gopkg.in/tomb.v2"

	"cassiapin/pkg/clock"
	"cassiapin/pkg/kernel"
	"cassiapin/pkg/peer"
	"cassiapin/pkg/result"
	"cassiapin/pkg/timeline"
)

// Times and sizes of the protocol.
const (
	// TickInterval is the period of Tick.
	TickInterval = 100 * time.Millisecond
	// probeInterval is the period of probes to one neighbour.
	probeInterval = time.Second
	// probeTimeout bounds a direct probe, and then an indirect one.
	probeTimeout = 500 * time.Millisecond
	// suspicionTime is the time a suspect has to refute.
	suspicionTime = 3 * time.Second
	// indirectProbes is the number of neighbours that are asked to probe.
	indirectProbes = 2
	// relaysPerRegion is the number of members that connect regions.
	relaysPerRegion = 3
	// syncInterval is the mean period of digests to a random neighbour.
	syncInterval = 5 * time.Second
	// reconnectInterval is the longest mean period at which a node tries one
	// dead member or one unused seed, so that partitions of any length heal.
	// It begins with joinRetry after a start.
	reconnectInterval = 20 * time.Second
	// joinRetry is the period of joins until one has succeeded.
	joinRetry = time.Second
	// joinTimeout bounds one join through one seed.
	joinTimeout = time.Second
	// deadRetention is how long dead members are kept. It exceeds the hour for
	// which regions may be cut off from each other.
	deadRetention = 2 * time.Hour
	// stallTime is the delay of a tick after which probe timeouts say nothing:
	// the process was paused, not its peers.
	stallTime = 400 * time.Millisecond
	// seedRefresh is the period at which the SeedSource is asked. While it
	// does not answer, or this node has met nobody, it is asked sooner: after
	// seedRetry, and then after twice as long each time.
	seedRefresh = 30 * time.Second
	seedRetry   = time.Second
)

// SeedSource gives further seed addresses, for example from the host list.
type SeedSource interface {
	// Seeds returns peer addresses of hosts that are believed to be live.
	Seeds(ctx context.Context) ([]string, error)
}

// Piggyback adds a small value to every probe and its answer. The methods must
// not block and must not call the membership service.
type Piggyback interface {
	// ProbeData returns the value to send, nil for none.
	ProbeData() []byte
	// ObserveProbe receives the value of a neighbour.
	ObserveProbe(from peer.NodeID, data []byte)
}

// PiggybackAdder is implemented by the membership service. Services call
// AddPiggyback in Provision, with a short key because each probe carries it.
type PiggybackAdder interface {
	AddPiggyback(key string, p Piggyback)
}

// Overlay is what distribution needs of membership in addition to the members.
type Overlay interface {
	peer.Members
	// IsRelay reports whether this node is a relay of its region.
	IsRelay() bool
	// Neighbours returns the outgoing connections of this node.
	Neighbours() []peer.NodeID
}

// Options are the settings of a Service.
type Options struct {
	// Self describes this node. ID, state and incarnation are set by the
	// service.
	Self peer.Member
	// Seeds are peer addresses to join through; this node's own may be among
	// them.
	Seeds []string
	// SeedSource is optional.
	SeedSource SeedSource
	// Known are members that are taken as alive at the start, until probes say
	// otherwise. Simulations of large fleets use it to save the joins.
	Known []peer.Member
	// Seed of the random choices; 0 draws one.
	Seed int64
	// Metrics defaults to the default set of the metrics library.
	Metrics *metrics.Set
}

// Service implements peer.Members. It is registered as
// peer.MembershipServiceName and needs the transport and the time line.
type Service struct {
	kernel.Base
	opts   Options
	clock  clock.Clock
	log    *slog.Logger
	events timeline.Recorder
	msgr   peer.Messenger
	caller peer.Caller

	mu      sync.Mutex
	rng     *rand.Rand
	self    peer.Member
	table   table
	overlay overlay
	probes  prober
	reach   reach
	sync    syncer
	// out holds sends that are made after mu is released, because the
	// transport asks this service for neighbours.
	out        []func()
	changed    bool
	lastTick   time.Time
	views      views
	subs       []chan struct{}
	piggybacks map[string]Piggyback
}

// views caches the slices that All and Live return.
type views struct {
	all, live []peer.Member
}

// New returns a membership service.
func New(o Options) *Service {
	if o.Seed == 0 {
		o.Seed = rand.Int63()
	}
	if o.Metrics == nil {
		o.Metrics = metrics.GetDefaultSet()
	}
	return &Service{
		opts:       o,
		rng:        rand.New(rand.NewSource(o.Seed)),
		table:      newTable(),
		probes:     newProber(),
		piggybacks: make(map[string]Piggyback),
	}
}

// Name implements kernel.Service.
func (*Service) Name() string { return peer.MembershipServiceName }

// Provision registers the handlers and gives the transport its address book.
func (s *Service) Provision(k *kernel.Kernel) error {
	f := kernel.Find(k)
	s.clock, s.log = k.Clock, k.Log
	kernel.Require(f, timeline.ServiceName, &s.events)
	kernel.Require(f, peer.TransportServiceName, &s.msgr)
	kernel.Require(f, peer.TransportServiceName, &s.caller)
	var setter peer.BookSetter
	kernel.Require(f, peer.TransportServiceName, &setter)
	if f.Err() != nil {
		return f.Err()
	}
	if s.opts.Self.Region == "" || s.opts.Self.PeerAddress == "" {
		return result.New(result.SettingsError, "a node needs a region and a peer address")
	}
	s.self = s.opts.Self
	s.self.ID, s.self.State, s.self.Incarnation = s.msgr.Self(), peer.Alive, 1
	s.mu.Lock()
	s.table.put(s.self, s.clock.Now())
	for _, m := range s.opts.Known {
		s.merge(fullRecord(m), s.clock.Now())
	}
	s.changed = true
	s.mu.Unlock()
	s.registerHandlers()
	setter.SetBook(s)
	s.registerMetrics()
	return nil
}

func (s *Service) registerHandlers() {
	s.msgr.Handle(kindProbe, peer.Locked(s.locked, s.onProbe))
	s.msgr.Handle(kindAck, peer.Locked(s.locked, s.onAck))
	s.msgr.Handle(kindAsk, peer.Locked(s.locked, s.onAsk))
	s.msgr.Handle(kindUpdate, peer.Locked(s.locked, s.onUpdate))
	s.msgr.Handle(kindSync, peer.Locked(s.locked, s.onSync))
	s.msgr.Handle(kindJoin, s.onJoin)
}

func (s *Service) registerMetrics() {
	for _, state := range []peer.State{peer.Alive, peer.Leaving, peer.Suspect, peer.Dead} {
		s.opts.Metrics.GetOrCreateGauge(fmt.Sprintf("cassiapin_members{state=%q}", state), func() float64 {
			count := 0
			for _, m := range s.All() {
				if m.State == state {
					count++
				}
			}
			return float64(count)
		})
	}
}

// locked runs f under the lock and then makes the sends that f queued.
func (s *Service) locked(f func(now time.Time)) {
	s.mu.Lock()
	f(s.clock.Now())
	out := s.out
	s.out = nil
	var subs []chan struct{}
	if s.changed {
		s.changed = false
		s.views = views{}
		s.overlay.stale = true
		subs = s.subs
	}
	s.mu.Unlock()
	for _, send := range out {
		send()
	}
	for _, ch := range subs {
		select {
		case ch <- struct{}{}:
		default:
		}
	}
}

func (s *Service) notify(to peer.NodeID, kind peer.Kind, body any) {
	s.out = append(s.out, func() { _ = s.msgr.Notify(to, kind, body) })
}

func (s *Service) flood(records ...record) {
	s.out = append(s.out, func() { _ = s.msgr.Flood(kindUpdate, updateMessage{Records: records}) })
}

// Run starts the ticks.
func (s *Service) Run(t *tomb.Tomb) error {
	t.Go(func() error {
		for {
			select {
			case <-t.Dying():
				return nil
			case <-s.clock.After(TickInterval):
				s.Tick()
			}
		}
	})
	if s.opts.SeedSource != nil {
		t.Go(func() error { return s.refreshSeeds(t) })
	}
	return nil
}

func (s *Service) refreshSeeds(t *tomb.Tomb) error {
	ctx := t.Context(context.Background())
	for retry := time.Duration(0); ; {
		call, cancel := context.WithTimeout(ctx, seedRefresh)
		seeds, err := s.opts.SeedSource.Seeds(call)
		cancel()
		if err == nil {
			s.locked(func(now time.Time) {
				s.sync.moreSeeds = seeds
				s.soonReconnect(now)
			})
		}
		pause := seedRefresh
		if err != nil || len(s.Live()) <= 1 {
			retry = min(max(2*retry, seedRetry), seedRefresh)
			pause = retry
		} else {
			retry = 0
		}
		if err := s.clock.Sleep(ctx, pause); err != nil {
			return nil
		}
	}
}

// Tick does everything that is due. Run calls it each TickInterval.
func (s *Service) Tick() {
	s.locked(func(now time.Time) {
		if !s.lastTick.IsZero() && now.Sub(s.lastTick) > stallTime {
			s.probes.forget()
			s.grantTime(now)
		}
		s.lastTick = now
		s.refreshOverlay()
		s.expire(now)
		s.tickProbes(now)
		s.tickSync(now)
		s.tickReach(now)
	})
}

// Self implements peer.Members.
func (s *Service) Self() peer.Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.self
}

// All implements peer.Members. The caller must not change the slice.
func (s *Service) All() []peer.Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.buildViews()
	return s.views.all
}

// Live implements peer.Members. The caller must not change the slice.
func (s *Service) Live() []peer.Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.buildViews()
	return s.views.live
}

// Isolated implements peer.Members.
func (s *Service) Isolated() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reach.isolated
}

// SetReady implements peer.Members.
func (s *Service) SetReady(ready bool) {
	s.locked(func(now time.Time) {
		if s.self.Ready != ready {
			s.self.Ready = ready
			s.announce(now)
		}
	})
}

// Leave implements peer.Members.
func (s *Service) Leave() {
	s.locked(func(now time.Time) {
		if s.self.State != peer.Leaving {
			s.self.State = peer.Leaving
			s.announce(now)
			s.events.Record(timeline.Event{Kind: timeline.NodeLeaving})
		}
	})
}

// announce floods a new incarnation of this node.
func (s *Service) announce(now time.Time) {
	s.self.Incarnation++
	s.table.put(s.self, now)
	s.changed = true
	s.flood(fullRecord(s.self))
}

// Subscribe implements peer.Members.
func (s *Service) Subscribe() <-chan struct{} {
	ch := make(chan struct{}, 1)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.subs = append(s.subs, ch)
	return ch
}

// AddPiggyback implements PiggybackAdder.
func (s *Service) AddPiggyback(key string, p Piggyback) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.piggybacks[key] = p
}

// Resolve implements peer.Book.
func (s *Service) Resolve(id peer.NodeID) (string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.table.entries[id]
	if e == nil {
		return "", false
	}
	return e.member.PeerAddress, true
}

// Neighbours implements peer.Book and Overlay.
func (s *Service) Neighbours() []peer.NodeID {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.overlay.neighbours
}

// IsRelay implements Overlay.
func (s *Service) IsRelay() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.overlay.relay
}

var errNoMembers = errors.New("the answer to a join names no members")
