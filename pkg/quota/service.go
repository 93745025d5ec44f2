package quota

import (
	"context"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/fxamacker/cbor/v2"
	"golang.org/x/sync/errgroup"
	"gopkg.in/tomb.v2"

	"cassiapin/pkg/clock"
	"cassiapin/pkg/config"
	"cassiapin/pkg/kernel"
	"cassiapin/pkg/peer"
	"cassiapin/pkg/result"
)

// kindReport is a report of demand and spend to a coordinator; its reply has the
// granted rates.
const kindReport peer.Kind = "quota.report"

const (
	reportPeriod   = time.Second
	requestTimeout = 300 * time.Millisecond
	// idleTimeout is how long an organisation without requests is reported; one
	// with spend in the window is always reported.
	idleTimeout          = 10 * time.Second
	minRetryAfter        = 50 * time.Millisecond
	maxRetryAfter        = 10 * time.Second
	spendRetryAfter      = time.Minute
	maxConcurrentReports = 8
)

var (
	rateLimitedTotal  = metrics.GetOrCreateCounter("cassiapin_quota_limited_requests_total")
	spendLimitedTotal = metrics.GetOrCreateCounter("cassiapin_quota_spend_limited_requests_total")
	fallbackTotal     = metrics.GetOrCreateCounter("cassiapin_quota_fallback_reports_total")
)

// reportItem is one organisation in a report or its reply.
type reportItem struct {
	Organisation string  `cbor:"1,keyasint"`
	Demand       float64 `cbor:"2,keyasint,omitempty"`
	Spent        float64 `cbor:"3,keyasint,omitempty"`
	Rate         float64 `cbor:"4,keyasint,omitempty"`
}

type reportMessage struct {
	Items []reportItem `cbor:"1,keyasint"`
}

// Options configure the limiter.
type Options struct {
	// Clock defaults to the kernel's clock.
	Clock clock.Clock
}

// account is this node's state of one organisation.
type account struct {
	bucket bucket
	// rateExpiry is when the rate granted by the coordinator expires.
	rateExpiry  time.Time
	requests    int
	demand      float64
	lastRequest time.Time
	spent       slidingSpend
	// othersSpent is the spend of other nodes as last reported by the
	// coordinator.
	othersSpent float64
}

// Service implements Limiter for a node.
type Service struct {
	kernel.Base
	clock     clock.Clock
	source    config.Source
	messenger peer.Messenger
	members   peer.Members

	mu          sync.Mutex
	accounts    map[string]*account
	coordinator *coordinator
	reportedAt  time.Time
}

// NewService returns the quota service of a node.
func NewService(o Options) *Service {
	return &Service{clock: o.Clock, accounts: make(map[string]*account), coordinator: newCoordinator()}
}

// Name implements kernel.Service.
func (*Service) Name() string { return ServiceName }

// Provision implements kernel.Service.
func (s *Service) Provision(k *kernel.Kernel) error {
	f := kernel.Find(k)
	if s.clock == nil {
		s.clock = k.Clock
	}
	kernel.Require(f, config.SourceServiceName, &s.source)
	kernel.Optional(f, peer.MembershipServiceName, &s.members)
	if s.members != nil {
		kernel.Optional(f, peer.TransportServiceName, &s.messenger)
	}
	if s.messenger != nil {
		s.messenger.Handle(kindReport, s.onReport)
	}
	return f.Err()
}

// Run implements kernel.Service.
func (s *Service) Run(t *tomb.Tomb) error {
	ctx := t.Context(context.Background())
	t.Go(func() error {
		for s.clock.Sleep(ctx, reportPeriod) == nil {
			s.report(ctx)
		}
		return nil
	})
	return nil
}

// liveNodes returns the number of nodes that share a limit.
func (s *Service) liveNodes() int {
	if s.members == nil {
		return 1
	}
	return max(1, len(s.members.Live()))
}

func (s *Service) organisation(name string) *config.Organisation {
	snapshot := s.source.Current()
	if snapshot == nil {
		return nil
	}
	o, _ := snapshot.Organisation(name)
	return o
}

// account returns the organisation's state. The caller holds mu.
func (s *Service) account(name string) *account {
	a := s.accounts[name]
	if a == nil {
		a = &account{}
		s.accounts[name] = a
	}
	return a
}

// Take implements Limiter.
func (s *Service) Take(organisation string) error {
	o := s.organisation(organisation)
	if o == nil || o.RequestsPerSecond <= 0 && o.SpendPerHour <= 0 {
		return nil
	}
	// Count the members before locking mu: their lock must not be taken under it.
	live := s.liveNodes()
	s.mu.Lock()
	defer s.mu.Unlock()
	a, now := s.account(organisation), s.clock.Now()
	if o.SpendPerHour > 0 && a.overspent(o.SpendPerHour, live, now) {
		spendLimitedTotal.Inc()
		return result.New(result.SpendLimited, "the spend limit of organisation %s is reached", organisation).
			WithRetryAfter(spendRetryAfter)
	}
	if o.RequestsPerSecond <= 0 {
		return nil
	}
	a.requests++
	a.useFallback(o.RequestsPerSecond, live, now)
	a.lastRequest = now
	wait, ok := a.bucket.take(now)
	if !ok {
		rateLimitedTotal.Inc()
		return result.New(result.RateLimited, "the rate limit of organisation %s is reached", organisation).
			WithRetryAfter(min(maxRetryAfter, max(minRetryAfter, wait)))
	}
	return nil
}

// useFallback sets the rate to limit/live if no granted rate is valid. The
// bucket of a new account starts full.
func (a *account) useFallback(limit float64, live int, now time.Time) {
	if now.Before(a.rateExpiry) {
		return
	}
	first := a.bucket.refilled.IsZero()
	a.bucket.setRate(limit/float64(live), now)
	if first {
		a.bucket.tokens = a.bucket.burst()
	}
}

// overspent reports whether the spend limit is reached. Without a valid grant
// from the coordinator, the node's own spend must also stay below limit/live.
func (a *account) overspent(limit float64, live int, now time.Time) bool {
	own := a.spent.total(now)
	if now.Before(a.rateExpiry) {
		return own+a.othersSpent >= limit
	}
	return own >= limit/float64(live) || own+a.othersSpent >= limit
}

// Spend implements Limiter.
func (s *Service) Spend(organisation string, price float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.account(organisation).spent.add(price, s.clock.Now())
}

// report sends demand and spend to the coordinators and applies the granted
// rates.
func (s *Service) report(ctx context.Context) {
	sent := s.clock.Now()
	byCoordinator := make(map[peer.NodeID][]reportItem)
	for _, item := range s.collectReport(sent) {
		to := s.coordinatorOf(item.Organisation)
		byCoordinator[to] = append(byCoordinator[to], item)
	}
	var group errgroup.Group
	group.SetLimit(maxConcurrentReports)
	for to, items := range byCoordinator {
		group.Go(func() error {
			s.reportTo(ctx, to, items, sent)
			return nil
		})
	}
	_ = group.Wait() // reportTo handles errors
}

// collectReport lists the organisations to report, evicts idle ones and starts a
// new report period.
func (s *Service) collectReport(now time.Time) []reportItem {
	s.mu.Lock()
	defer s.mu.Unlock()
	elapsed := reportPeriod
	if !s.reportedAt.IsZero() {
		elapsed = max(time.Millisecond, now.Sub(s.reportedAt))
	}
	s.reportedAt = now
	var items []reportItem
	for name, a := range s.accounts {
		rate := float64(a.requests) / elapsed.Seconds()
		// The demand falls by at most half per period, so that a short gap does
		// not lose the whole rate.
		a.demand, a.requests = max(rate, a.demand/2), 0
		spent := a.spent.total(now)
		if now.Sub(a.lastRequest) > idleTimeout && spent == 0 {
			delete(s.accounts, name)
			continue
		}
		items = append(items, reportItem{Organisation: name, Demand: a.demand, Spent: spent})
	}
	return items
}

// coordinatorOf returns the node that coordinates an organisation's limits, empty
// for this node.
func (s *Service) coordinatorOf(organisation string) peer.NodeID {
	if s.messenger == nil {
		return ""
	}
	owners := peer.Rendezvous("quota/"+organisation, s.members.Live(), 1)
	if len(owners) == 0 || owners[0].ID == s.messenger.Self() {
		return ""
	}
	return owners[0].ID
}

func (s *Service) reportTo(parent context.Context, to peer.NodeID, items []reportItem, sent time.Time) {
	if to == "" {
		s.applyRates(items, s.allocateRates(s.self(), items), sent)
		return
	}
	ctx, cancel := context.WithTimeout(parent, requestTimeout)
	defer cancel()
	var reply reportMessage
	if err := s.messenger.Request(ctx, to, kindReport, reportMessage{Items: items}, &reply); err != nil {
		fallbackTotal.Inc()
		return // The rate granted before expires by itself.
	}
	s.applyRates(items, reply.Items, sent)
}

func (s *Service) self() peer.NodeID {
	if s.messenger == nil {
		return ""
	}
	return s.messenger.Self()
}

// allocateRates answers a report as coordinator.
func (s *Service) allocateRates(from peer.NodeID, items []reportItem) []reportItem {
	live := s.liveNodes()
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	var out []reportItem
	for _, item := range items {
		o := s.organisation(item.Organisation)
		if o == nil {
			continue
		}
		rate, total := s.coordinator.updateGrant(item.Organisation, from, max(0, item.Demand), max(0, item.Spent), o.RequestsPerSecond, live, now)
		out = append(out, reportItem{Organisation: item.Organisation, Rate: rate, Spent: total})
	}
	return out
}

// applyRates applies the coordinator's reply. The lifetime of a rate starts when
// the report was sent, so that it expires here before the coordinator grants the
// rate to another node.
func (s *Service) applyRates(sentItems, answer []reportItem, sent time.Time) {
	own := make(map[string]float64, len(sentItems))
	for _, item := range sentItems {
		own[item.Organisation] = item.Spent
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	for _, item := range answer {
		a := s.accounts[item.Organisation]
		if a == nil {
			continue
		}
		a.bucket.setRate(item.Rate, now)
		a.rateExpiry = sent.Add(grantLifetime)
		a.othersSpent = max(0, item.Spent-own[item.Organisation])
	}
}

func (s *Service) onReport(_ context.Context, from peer.NodeID, body []byte) (any, error) {
	var m reportMessage
	if err := cbor.Unmarshal(body, &m); err != nil {
		return nil, result.Wrap(err, result.BadMessage, result.NotRun, "malformed quota report")
	}
	return reportMessage{Items: s.allocateRates(from, m.Items)}, nil
}

var _ Limiter = (*Service)(nil)
