// Package membership tracks which nodes are alive, leaving, suspect or dead.
// Each node probes its neighbours on a fixed overlay, state changes are flooded
// over it, and digests repair what a flood missed (anti-entropy).
//
// All decisions are made by Tick and by the message handlers, which do not
// block and use only the kernel's clock and a seeded random source.
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

// Intervals, timeouts and sizes of the protocol.
const (
	// TickInterval is the period of Tick.
	TickInterval = 100 * time.Millisecond
	// probeInterval is the period of probes to one neighbour.
	probeInterval = time.Second
	// probeTimeout bounds each direct and each indirect probe.
	probeTimeout = 500 * time.Millisecond
	// suspicionTimeout is how long a suspect may take to refute the suspicion.
	suspicionTimeout = 3 * time.Second
	// indirectProbes is the number of neighbours that repeat a missed probe.
	indirectProbes = 2
	// relaysPerRegion is the number of relays of a region, the members that are
	// connected to the relays of the other regions.
	relaysPerRegion = 3
	// syncInterval is the mean period of digests to a random neighbour.
	syncInterval = 5 * time.Second
	// reconnectInterval is the longest mean period at which a node contacts one
	// dead member or unused seed, so that partitions of any length heal. After
	// a start the period grows from joinRetry to this value.
	reconnectInterval = 20 * time.Second
	// joinRetry is the mean period of join attempts until one succeeds.
	joinRetry = time.Second
	// joinTimeout bounds one join attempt.
	joinTimeout = time.Second
	// deadRetention is how long dead members are kept. It exceeds the one hour
	// for which regions may be partitioned.
	deadRetention = 2 * time.Hour
	// stallThreshold is the interval between two ticks above which probe timeouts
	// are ignored, because this process was paused and not its peers.
	stallThreshold = 400 * time.Millisecond
	// seedRefreshInterval is the mean period at which some seedReaders of the
	// nodes that know each other query the SeedSource: nodes that know only a
	// part of the fleet find the others by it, however many they are. While
	// it fails, or this node knows no other live node, it is queried with
	// exponential backoff that starts at seedRetry.
	seedRefreshInterval = 30 * time.Second
	seedRetry           = time.Second
	seedReaders         = 3
)

// SeedSource discovers further seed addresses, for example from the host list.
type SeedSource interface {
	// Seeds returns the peer addresses of hosts that are probably live.
	Seeds(ctx context.Context) ([]string, error)
}

// Piggyback attaches a small value to every probe and ack. The methods must not
// block and must not call the membership service.
type Piggyback interface {
	// ProbeData returns the value to send, nil for none.
	ProbeData() []byte
	// ObserveProbe is called with the value that another node sent.
	ObserveProbe(from peer.NodeID, data []byte)
}

// PiggybackAdder is implemented by the membership service. Services call
// AddPiggyback in Provision; keys should be short, as each probe carries them.
type PiggybackAdder interface {
	AddPiggyback(key string, p Piggyback)
}

// Overlay gives the distribution service the members and this node's place in
// the overlay.
type Overlay interface {
	peer.Members
	// IsRelay reports whether this node is a relay of its region.
	IsRelay() bool
	// Neighbours returns the nodes that this node connects to.
	Neighbours() []peer.NodeID
}

// Options are the settings of a Service.
type Options struct {
	// Self describes this node. ID, state and incarnation are set by the
	// service.
	Self peer.Member
	// Seeds are peer addresses to join through; they may include this node's.
	Seeds []string
	// SeedSource is optional.
	SeedSource SeedSource
	// InitialMembers are treated as alive at the start, until probes fail.
	// Simulations of large fleets use them to skip the joins.
	InitialMembers []peer.Member
	// Seed seeds the random choices; 0 picks a random seed.
	Seed int64
	// Metrics defaults to the default set of the metrics library.
	Metrics *metrics.Set
}

// Service implements peer.Members. It is registered as
// peer.MembershipServiceName and depends on the transport and the timeline.
type Service struct {
	kernel.Base
	opts      Options
	clock     clock.Clock
	log       *slog.Logger
	events    timeline.Recorder
	messenger peer.Messenger
	caller    peer.Caller

	mu      sync.Mutex
	rng     *rand.Rand
	self    peer.Member
	table   table
	overlay overlay
	probes  prober
	reach   reachability
	sync    syncer
	offers  offers
	// passedOn has the latest change of each member that this node has flooded or
	// forwarded.
	passedOn map[peer.NodeID]change
	// pendingSends are called after mu is released, because the transport calls
	// Neighbours of this service.
	pendingSends []func()
	changed      bool
	lastTick     time.Time
	views        views
	subs         []chan struct{}
	piggybacks   map[string]Piggyback
}

// views caches the results of All, Live and Reachable.
type views struct {
	all, live, reachable []peer.Member
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
		offers:     newOffers(),
		piggybacks: make(map[string]Piggyback),
		passedOn:   make(map[peer.NodeID]change),
	}
}

// Name implements kernel.Service.
func (*Service) Name() string { return peer.MembershipServiceName }

// Provision registers the handlers and gives the transport its address book.
func (s *Service) Provision(k *kernel.Kernel) error {
	f := kernel.Find(k)
	s.clock, s.log = k.Clock, k.Log
	kernel.Require(f, timeline.ServiceName, &s.events)
	kernel.Require(f, peer.TransportServiceName, &s.messenger)
	kernel.Require(f, peer.TransportServiceName, &s.caller)
	var setter peer.AddressBookSetter
	kernel.Require(f, peer.TransportServiceName, &setter)
	if f.Err() != nil {
		return f.Err()
	}
	if s.opts.Self.Region == "" || s.opts.Self.PeerAddress == "" {
		return result.New(result.SettingsError, "a node needs a region and a peer address")
	}
	s.self = s.opts.Self
	s.self.ID, s.self.State, s.self.Incarnation, s.self.Offers = s.messenger.Self(), peer.Alive, 1, true
	s.mu.Lock()
	s.table.put(s.self, s.clock.Now())
	for _, m := range s.opts.InitialMembers {
		s.merge(fullRecord(m), s.clock.Now())
	}
	s.changed = true
	s.mu.Unlock()
	s.registerHandlers()
	setter.SetAddressBook(s)
	s.registerMetrics()
	return nil
}

func (s *Service) registerHandlers() {
	s.messenger.Handle(kindProbe, peer.LockedHandler(s.withLock, s.onProbe))
	s.messenger.Handle(kindAck, peer.LockedHandler(s.withLock, s.onAck))
	s.messenger.Handle(kindProbeRequest, peer.LockedHandler(s.withLock, s.onProbeRequest))
	s.messenger.Handle(kindUpdate, peer.LockedHandler(s.withLock, s.onUpdate))
	if f, ok := s.messenger.(peer.FloodFilterer); ok {
		f.FilterFlood(kindUpdate, s.news)
	}
	s.messenger.Handle(kindSync, peer.LockedHandler(s.withLock, s.onSync))
	s.messenger.Handle(kindJoin, s.onJoin)
	s.messenger.Handle(kindOffer, peer.LockedHandler(s.withLock, s.onOffer))
	s.messenger.Handle(kindWant, peer.LockedHandler(s.withLock, s.onWant))
	s.messenger.Handle(kindChanges, peer.LockedHandler(s.withLock, s.onChanges))
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

// withLock runs f under the lock, then makes the sends that f queued and
// notifies subscribers of a change.
func (s *Service) withLock(f func(now time.Time)) {
	s.mu.Lock()
	f(s.clock.Now())
	out := s.pendingSends
	s.pendingSends = nil
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
	s.pendingSends = append(s.pendingSends, func() { _ = s.messenger.Notify(to, kind, body) })
}

func (s *Service) flood(records ...record) {
	s.notePassedOn(records)
	s.pendingSends = append(s.pendingSends, func() { _ = s.messenger.Flood(kindUpdate, updateMessage{Records: records}) })
}

// Run starts the tick loop and, with a SeedSource, its refresh loop.
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
		callCtx, cancel := context.WithTimeout(ctx, seedRefreshInterval)
		seeds, err := s.opts.SeedSource.Seeds(callCtx)
		cancel()
		if err == nil {
			s.withLock(func(now time.Time) {
				s.sync.discoveredSeeds = seeds
				s.resetReconnectBackoff(now)
			})
		}
		live := len(s.Live())
		pause := seedPause(live, rand.Float64())
		if err != nil || live <= 1 {
			retry = min(max(2*retry, seedRetry), seedRefreshInterval)
			pause = retry
		} else {
			retry = 0
		}
		if err := s.clock.Sleep(ctx, pause); err != nil {
			return nil
		}
	}
}

// seedPause returns the pause before the next query of the SeedSource by one of
// live nodes; random is uniform in [0, 1).
func seedPause(live int, random float64) time.Duration {
	mean := float64(seedRefreshInterval) * max(1, float64(live)/seedReaders)
	return time.Duration(mean * (0.5 + random))
}

// Tick runs all work that is due. Run calls it every TickInterval.
func (s *Service) Tick() {
	s.withLock(func(now time.Time) {
		if !s.lastTick.IsZero() && now.Sub(s.lastTick) > stallThreshold {
			s.probes.cancelAll()
			s.restartSuspicionTimers(now)
			s.reach.restartProberTimeouts(now)
		}
		s.lastTick = now
		s.expireAnswers(now)
		s.refreshOverlay()
		s.expire(now)
		s.tickProbes(now)
		s.tickSync(now)
		s.tickOffers(now)
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

// Reachable implements peer.Members. The caller must not change the slice.
func (s *Service) Reachable() []peer.Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.buildViews()
	return s.views.reachable
}

// Isolated implements peer.Members.
func (s *Service) Isolated() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reach.isolated
}

// SetReady implements peer.Members.
func (s *Service) SetReady(ready bool) {
	s.withLock(func(now time.Time) {
		if s.self.Ready != ready {
			s.self.Ready = ready
			s.nextIncarnation(now)
			s.passOn([]record{fullRecord(s.self)})
		}
	})
}

// Leave implements peer.Members.
func (s *Service) Leave() {
	s.withLock(func(now time.Time) {
		if s.self.State != peer.Leaving {
			s.self.State = peer.Leaving
			s.announce(now)
			s.events.Record(timeline.Event{Kind: timeline.NodeLeaving})
		}
	})
}

// announce increments this node's incarnation and floods its record.
func (s *Service) announce(now time.Time) {
	s.nextIncarnation(now)
	s.flood(fullRecord(s.self))
}

func (s *Service) nextIncarnation(now time.Time) {
	s.self.Incarnation++
	s.table.put(s.self, now)
	s.changed = true
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

// Resolve implements peer.AddressBook.
func (s *Service) Resolve(id peer.NodeID) (string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.table.entries[id]
	if e == nil {
		return "", false
	}
	return e.member.PeerAddress, true
}

// Neighbours implements peer.AddressBook and Overlay.
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

var errNoMembers = errors.New("join response contains no members")
