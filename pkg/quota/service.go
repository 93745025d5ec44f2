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

// kindReport carries demand and spend to a limit home, and rates back.
const kindReport peer.Kind = "quota.report"

// The times of the limiter.
const (
	reportPeriod   = time.Second
	requestTimeout = 300 * time.Millisecond
	// idleTime is how long an organisation without requests is reported; its
	// spend is reported as long as it lasts.
	idleTime      = 10 * time.Second
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 10 * time.Second
	spendRetry    = time.Minute
	maxRequests   = 8
)

var (
	limitedTotal  = metrics.GetOrCreateCounter("cassiapin_quota_limited_requests_total")
	spentTotal    = metrics.GetOrCreateCounter("cassiapin_quota_spend_limited_requests_total")
	fallbackTotal = metrics.GetOrCreateCounter("cassiapin_quota_fallback_reports_total")
)

// reportItem is one organisation in a report, and in its answer.
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
	// until is the end of the rate that the home gave.
	until    time.Time
	asked    int
	demand   float64
	lastTake time.Time
	spent    spending
	// others is the spend of other nodes as the home last told.
	others float64
}

// Service is the Limiter of a node.
type Service struct {
	kernel.Base
	clock     clock.Clock
	source    config.Source
	messenger peer.Messenger
	members   peer.Members

	mu         sync.Mutex
	accounts   map[string]*account
	home       *home
	reportedAt time.Time
}

// NewService returns the limiter of a node.
func NewService(o Options) *Service {
	return &Service{clock: o.Clock, accounts: make(map[string]*account), home: newHome()}
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

// live returns the number of nodes that share a limit.
func (s *Service) live() int {
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
	// The fallback rate needs the members, whose lock is not taken under mu.
	live := s.live()
	s.mu.Lock()
	defer s.mu.Unlock()
	a, now := s.account(organisation), s.clock.Now()
	if o.SpendPerHour > 0 && a.overspent(o.SpendPerHour, live, now) {
		spentTotal.Inc()
		return result.New(result.SpendLimited, "the spend limit of organisation %s is reached", organisation).
			WithRetryAfter(spendRetry)
	}
	if o.RequestsPerSecond <= 0 {
		return nil
	}
	a.asked++
	a.useFallback(o.RequestsPerSecond, live, now)
	a.lastTake = now
	wait, ok := a.bucket.take(now)
	if !ok {
		limitedTotal.Inc()
		return result.New(result.RateLimited, "the rate limit of organisation %s is reached", organisation).
			WithRetryAfter(min(maxRetryAfter, max(minRetryAfter, wait)))
	}
	return nil
}

// useFallback sets the rate limit/live when the home has given none. The
// first request of an account finds a full bucket.
func (a *account) useFallback(limit float64, live int, now time.Time) {
	if now.Before(a.until) {
		return
	}
	first := a.bucket.filled.IsZero()
	a.bucket.setRate(limit/float64(live), now)
	if first {
		a.bucket.tokens = a.bucket.burst()
	}
}

// overspent compares with the whole limit while the home is known, else with
// this node's part of it.
func (a *account) overspent(limit float64, live int, now time.Time) bool {
	own := a.spent.total(now)
	if now.Before(a.until) {
		return own+a.others >= limit
	}
	return own >= limit/float64(live) || own+a.others >= limit
}

// Spend implements Limiter.
func (s *Service) Spend(organisation string, price float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.account(organisation).spent.add(price, s.clock.Now())
}

// report sends demand and spend to the limit homes and takes the rates.
func (s *Service) report(ctx context.Context) {
	sent := s.clock.Now()
	byHome := make(map[peer.NodeID][]reportItem)
	for _, item := range s.items(sent) {
		to := s.homeOf(item.Organisation)
		byHome[to] = append(byHome[to], item)
	}
	var group errgroup.Group
	group.SetLimit(maxRequests)
	for to, items := range byHome {
		group.Go(func() error {
			s.reportTo(ctx, to, items, sent)
			return nil
		})
	}
	_ = group.Wait() // the reports return no error
}

// items lists the organisations to report and starts a new period.
func (s *Service) items(now time.Time) []reportItem {
	s.mu.Lock()
	defer s.mu.Unlock()
	elapsed := reportPeriod
	if !s.reportedAt.IsZero() {
		elapsed = max(time.Millisecond, now.Sub(s.reportedAt))
	}
	s.reportedAt = now
	var items []reportItem
	for name, a := range s.accounts {
		rate := float64(a.asked) / elapsed.Seconds()
		// Half of the last demand is kept, so that a short gap does not give
		// the whole rate away.
		a.demand, a.asked = max(rate, a.demand/2), 0
		spent := a.spent.total(now)
		if now.Sub(a.lastTake) > idleTime && spent == 0 {
			delete(s.accounts, name)
			continue
		}
		items = append(items, reportItem{Organisation: name, Demand: a.demand, Spent: spent})
	}
	return items
}

// homeOf returns the limit home of an organisation, empty for this node.
func (s *Service) homeOf(organisation string) peer.NodeID {
	if s.messenger == nil {
		return ""
	}
	first := peer.Rendezvous("quota/"+organisation, s.members.Live(), 1)
	if len(first) == 0 || first[0].ID == s.messenger.Self() {
		return ""
	}
	return first[0].ID
}

func (s *Service) reportTo(parent context.Context, to peer.NodeID, items []reportItem, sent time.Time) {
	if to == "" {
		s.apply(items, s.divide(s.self(), items), sent)
		return
	}
	ctx, cancel := context.WithTimeout(parent, requestTimeout)
	defer cancel()
	var reply reportMessage
	if err := s.messenger.Request(ctx, to, kindReport, reportMessage{Items: items}, &reply); err != nil {
		fallbackTotal.Inc()
		return // The rate given before ends by itself.
	}
	s.apply(items, reply.Items, sent)
}

func (s *Service) self() peer.NodeID {
	if s.messenger == nil {
		return ""
	}
	return s.messenger.Self()
}

// divide answers a report as limit home.
func (s *Service) divide(from peer.NodeID, items []reportItem) []reportItem {
	live := s.live()
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	var out []reportItem
	for _, item := range items {
		o := s.organisation(item.Organisation)
		if o == nil {
			continue
		}
		rate, total := s.home.report(item.Organisation, from, max(0, item.Demand), max(0, item.Spent), o.RequestsPerSecond, live, now)
		out = append(out, reportItem{Organisation: item.Organisation, Rate: rate, Spent: total})
	}
	return out
}

// apply takes the home's answer. The rate's time starts when the report was
// sent, so it ends here before the home gives it to another node.
func (s *Service) apply(sentItems, answer []reportItem, sent time.Time) {
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
		a.until = sent.Add(shareLife)
		a.others = max(0, item.Spent-own[item.Organisation])
	}
}

func (s *Service) onReport(_ context.Context, from peer.NodeID, body []byte) (any, error) {
	var m reportMessage
	if err := cbor.Unmarshal(body, &m); err != nil {
		return nil, result.Wrap(err, result.BadMessage, result.NotRun, "malformed quota report")
	}
	return reportMessage{Items: s.divide(from, m.Items)}, nil
}

var _ Limiter = (*Service)(nil)
