package quarantine

import (
	"cmp"
	"context"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"gopkg.in/tomb.v2"

	"cassiapin/pkg/clock"
	"cassiapin/pkg/eventlog"
	"cassiapin/pkg/hashing"
	"cassiapin/pkg/kernel"
)

// ServiceName is the name under which a node registers its Service.
const ServiceName = "route.quarantine"

// Fleet lists the nodes and sends messages to all of them.
type Fleet interface {
	// Self is this node's id, Peers the ids of the other live nodes.
	Self() string
	Peers() []string
	// Flood sends a message to all nodes and does not block.
	Flood(m Message) error
	// Report sends a message to one node and does not block.
	Report(node string, m Message) error
	// Receive registers the handlers of flooded and of reported messages.
	Receive(flooded, reported func(m Message))
}

const (
	// reportDelay is the shortest time from an observation to its report. The
	// connections of a crashed upstream break within some milliseconds, and one
	// report then has all of them. A random part of the same length lets one node
	// report what all have seen.
	reportDelay = 50 * time.Millisecond
	// establishedAfter is the time after which an upstream that is still answering
	// a request is not expected to crash on its prompt. Only a complete answer shows
	// that it does not: a slow upstream takes longer to crash.
	establishedAfter = 2 * time.Second
	// maxParts bounds the tracked parts of one request.
	maxParts = 64
)

// Options are the settings of a Service.
type Options struct {
	Fleet Fleet
	// Store keeps the parts in quarantine; nil keeps them at the nodes only.
	// Isolated reports whether this node cannot reach most other nodes.
	Store    Store
	Isolated func() bool
}

// Service keeps the table of a node. It is registered as ServiceName. The methods
// for request paths may be called on a nil Service, which quarantines nothing.
type Service struct {
	kernel.Base
	opts  Options
	fleet Fleet
	clock clock.Clock
	log   *slog.Logger
	// wake has a value when there may be something to decide or to report.
	// stateChanged has one when the store may lack the state of a part.
	wake, stateChanged chan struct{}
	// active is the number of parts in quarantine, recorded that of crashes; both
	// keep most requests from taking the lock.
	active, recorded atomic.Int64

	mu      sync.Mutex
	table   *table
	refuted []UpstreamAge
}

// New returns a service with an empty table.
func New(o Options) *Service {
	return &Service{
		opts: o, fleet: o.Fleet, wake: make(chan struct{}, 1), stateChanged: make(chan struct{}, 1), table: newTable(),
	}
}

// Name implements kernel.Service.
func (*Service) Name() string { return ServiceName }

// Provision implements kernel.Service.
func (s *Service) Provision(k *kernel.Kernel) error {
	s.clock, s.log = k.Clock, k.Log
	s.fleet.Receive(
		func(m Message) { s.receive(m, flooded) },
		s.receiveReport,
	)
	metrics.GetOrCreateGauge("cassiapin_quarantined_parts", func() float64 { return float64(s.active.Load()) })
	return nil
}

// Run starts the goroutine that decides and reports, and the one that keeps the
// store up to date.
func (s *Service) Run(t *tomb.Tomb) error {
	ctx := t.Context(context.Background())
	if s.opts.Store != nil {
		t.Go(func() error {
			s.keep(ctx)
			return nil
		})
	}
	t.Go(func() error {
		for {
			select {
			case <-s.wake:
			case <-ctx.Done():
				return nil
			}
			delay := reportDelay + rand.N(reportDelay)
			if place, _ := s.collectors(); place > 0 {
				delay += time.Duration(place) * collectorStep
			}
			if s.clock.Sleep(ctx, delay) != nil {
				return nil
			}
			s.step()
		}
	})
	return nil
}

func (s *Service) wakeUp() { signal(s.wake) }

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// untoldReports counts messages that could not be sent; the state of parts also
// travels with the probes between nodes.
var untoldReports = metrics.GetOrCreateCounter("cassiapin_quarantine_untold_total")

// step decides on the evidence and tells the other nodes what is new.
func (s *Service) step() {
	s.mu.Lock()
	now := s.clock.Now()
	changes := s.table.decide(now)
	m := s.table.news(now)
	m.Refuted, s.refuted = s.refuted, nil
	s.updateCounts()
	s.mu.Unlock()
	for _, c := range changes {
		s.logChange(c)
	}
	s.tell(m)
	if m.full() {
		s.wakeUp() // The rest follows.
	}
}

// tell passes on what is news to this node. In a large fleet, in which many nodes
// observe the same, only the collectors tell all nodes.
func (s *Service) tell(m Message) {
	if m.empty() {
		return
	}
	place, collectors := s.collectors()
	if place >= 0 {
		if s.fleet.Flood(m) != nil {
			untoldReports.Inc()
		}
		return
	}
	for _, node := range collectors {
		if s.fleet.Report(node, m) != nil {
			untoldReports.Inc()
		}
	}
}

const (
	// largeFleet is the number of nodes from which on reports go to collectors. When
	// many upstreams end at once, each node has something to report; floods of all
	// nodes cost the square of their number.
	largeFleet = 64
	// collectorCount is the number of collectors: one of them may fail.
	collectorCount = 2
	// collectorStep delays the floods of each further collector, which has usually
	// heard those of the one before it then.
	collectorStep = 150 * time.Millisecond
)

// collectors returns the nodes that pass reports on to all others, the same on all
// nodes, and this node's place among them: -1 if it is none. Each node of a small
// fleet is one.
func (s *Service) collectors() (place int, nodes []string) {
	self, peers := s.fleet.Self(), s.fleet.Peers()
	if len(peers)+1 < largeFleet {
		return 0, nil
	}
	nodes = append([]string{self}, peers...)
	slices.SortFunc(nodes, func(a, b string) int {
		return cmp.Compare(hashing.Hash(ServiceName, a), hashing.Hash(ServiceName, b))
	})
	nodes = nodes[:collectorCount]
	return slices.Index(nodes, self), nodes
}

// receiveReport takes over a report as a collector. A node that isn't one, in its own
// view of the members, passes the report on all the same.
func (s *Service) receiveReport(m Message) {
	s.mu.Lock()
	now := s.clock.Now()
	for _, r := range m.Refuted {
		if s.table.refute(r.Upstream, timeOf(r.Age, now)) && len(s.refuted) < maxMessageItems {
			s.refuted = append(s.refuted, r)
		}
	}
	s.mu.Unlock()
	m.Refuted = nil
	s.receive(m, reported)
}

// updateCounts updates the counts that are read without the lock; the caller holds
// it.
func (s *Service) updateCounts() {
	active := 0
	for _, e := range s.table.entries {
		if e.active() {
			active++
		}
	}
	if int64(active) != s.active.Swap(int64(active)) || active > 0 {
		signal(s.stateChanged)
	}
	s.recorded.Store(int64(len(s.table.crashes)))
}

func (s *Service) logChange(c change) {
	if c.quarantined {
		x := c.explanation
		s.log.Warn(eventlog.PartQuarantined, "part", c.part, "crashes", x.crashes, "requests", x.requests,
			"answered_before", x.answered, "depth", x.depth)
		return
	}
	s.log.Info(eventlog.PartReleased, "part", c.part, "reason", c.reason)
}

// receive takes over another node's message.
func (s *Service) receive(m Message, from source) {
	s.mu.Lock()
	now := s.clock.Now()
	changed, news := s.table.receive(m, from, now)
	for _, r := range m.Refuted {
		s.table.refute(r.Upstream, timeOf(r.Age, now))
	}
	news = news || len(s.refuted) > 0
	var lines [][]any
	for _, part := range changed {
		e := s.table.entries[part]
		lines = append(lines, []any{"part", part, "active", e.active(), "since_ms", ageOf(e.since, now),
			"tried_ms", ageOf(e.tried, now), "confirmed_ms", ageOf(e.confirmed, now)})
	}
	s.updateCounts()
	s.mu.Unlock()
	for _, attrs := range lines {
		s.log.Info(eventlog.PartStateRead, attrs...)
	}
	if news {
		s.wakeUp()
	}
}

// State returns the parts in quarantine as a message for another node.
func (s *Service) State() (m Message, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.table.entries) == 0 {
		return m, false
	}
	return s.table.state(s.clock.Now()), true
}

// Observe takes over the State of another node.
func (s *Service) Observe(m Message) { s.receive(m, attached) }

// Hold is why a request is not sent.
type Hold struct {
	// Part is the part in quarantine.
	Part string
	// Retry is the time until the next trial of the part.
	Retry time.Duration
}

// Check returns why a request with the parts may not be sent, or nil.
func (s *Service) Check(parts []string) *Hold {
	hold, _ := s.check(parts, nil)
	return hold
}

// Admit is Check for a request that is sent now. If that is a trial, the others
// are told of it.
func (s *Service) Admit(request string, parts []string) *Hold {
	var m Message
	hold, trial := s.check(parts, func(trial string, now time.Time) {
		s.table.try(trial, now)
		m = s.table.news(now)
	})
	if hold == nil && trial != "" {
		s.log.Warn(eventlog.PartTried, "part", trial, "request", request)
		s.tell(m)
	}
	return hold
}

// check returns why a request may not be sent, or the part of which it would be a
// trial, for which begin is called if it is not nil.
func (s *Service) check(parts []string, begin func(trial string, now time.Time)) (hold *Hold, trial string) {
	if s == nil || s.active.Load() == 0 || !s.concerned(parts) {
		return nil, ""
	}
	rank := s.ranks()
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	part, until, trial := s.table.blocked(parts, now, rank)
	if part != "" {
		return &Hold{Part: part, Retry: max(until.Sub(now), 0)}, ""
	}
	if trial != "" && begin != nil {
		begin(trial, now)
	}
	return nil, trial
}

// concerned reports whether any of the parts is in quarantine.
func (s *Service) concerned(parts []string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, part := range parts {
		if e := s.table.entries[part]; e != nil && e.active() {
			return true
		}
	}
	return false
}

// ranks returns the function that gives this node's position in the order of the
// nodes for the trials of a part. It is called without the lock, as the list of
// nodes has its own, under which probes read the table.
func (s *Service) ranks() func(part string) int {
	self, peers := s.fleet.Self(), s.fleet.Peers()
	return func(part string) int {
		position := 0
		own := hashing.Hash(part, self)
		for _, node := range peers {
			if hashing.Hash(part, node) < own {
				position++
			}
		}
		return position
	}
}
