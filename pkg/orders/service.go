package orders

import (
	"context"
	"encoding/json"
	"math/rand"
	"slices"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"gopkg.in/tomb.v2"

	"cassiapin/pkg/clock"
	"cassiapin/pkg/config"
	"cassiapin/pkg/kernel"
	"cassiapin/pkg/objectstore"
	"cassiapin/pkg/peer"
	"cassiapin/pkg/result"
	"cassiapin/pkg/runners"
	"cassiapin/pkg/timeline"
)

// Intervals and limits of orders.
const (
	checkPeriod = 500 * time.Millisecond
	// repeatPeriod is the interval at which an order is repeated until the runner
	// has carried it out.
	repeatPeriod = 2 * time.Second
	// reportTTL is the age at which a report is too old to act on.
	reportTTL     = 5 * time.Second
	recordTimeout = 2 * time.Second
	// fetchBurst is the number of loads that a node may order at once.
	fetchBurst = 2
)

var (
	ordersSent   = metrics.GetOrCreateCounter("cassiapin_orders_given_total")
	ordersFailed = metrics.GetOrCreateCounter("cassiapin_orders_failed_total")
	ordersFenced = metrics.GetOrCreateCounter("cassiapin_orders_fenced_total")
)

// Options configure the orders service.
type Options struct {
	// Clock defaults to the kernel's clock.
	Clock clock.Clock
	// Rand is the source of attempt ids.
	Rand *rand.Rand
	// Node is this node's name in records.
	Node string
	// Send defaults to POST URL/orders.
	Send Sender
}

// sentOrder is an order that was sent and has not been carried out yet.
type sentOrder struct {
	order Order
	epoch uint64
	at    time.Time
}

// runnerOrders is the state of one runner; only the check goroutine uses it.
type runnerOrders struct {
	// recorded is the last record written by this node.
	recorded *Record
	sent     map[Order]sentOrder
	// unwantedSince is when each loaded version was first seen to be unwanted.
	unwantedSince map[config.VersionRef]time.Time
}

// Service sends the orders of a node.
type Service struct {
	kernel.Base
	options Options
	clock   clock.Clock
	source  config.Source
	store   objectstore.Store
	table   runners.Table
	owner   runners.Ownership
	members peer.Members
	events  timeline.Recorder

	runners map[string]*runnerOrders
	tokens  float64
	filled  time.Time
}

// NewService returns the orders service of a node.
func NewService(o Options) *Service {
	if o.Send == nil {
		o.Send = newSender()
	}
	if o.Rand == nil {
		o.Rand = rand.New(rand.NewSource(1))
	}
	return &Service{
		options: o, clock: o.Clock, events: timeline.Discard{},
		runners: make(map[string]*runnerOrders), tokens: fetchBurst,
	}
}

// Name implements kernel.Service.
func (*Service) Name() string { return ServiceName }

// Provision implements kernel.Service. Without an object store the service sends
// no orders, because they must be recorded there first.
func (s *Service) Provision(k *kernel.Kernel) error {
	f := kernel.Find(k)
	if s.clock == nil {
		s.clock = k.Clock
	}
	kernel.Require(f, config.SourceServiceName, &s.source)
	kernel.Require(f, runners.ServiceName, &s.table)
	kernel.Require(f, runners.ServiceName, &s.owner)
	kernel.Optional(f, objectstore.ServiceName, &s.store)
	kernel.Optional(f, timeline.ServiceName, &s.events)
	kernel.Optional(f, peer.MembershipServiceName, &s.members)
	if s.members != nil && s.options.Node == "" {
		s.options.Node = string(s.members.Self().ID)
	}
	return f.Err()
}

// Run implements kernel.Service.
func (s *Service) Run(t *tomb.Tomb) error {
	if s.store == nil {
		return nil
	}
	ctx := t.Context(context.Background())
	t.Go(func() error {
		for s.clock.Sleep(ctx, checkPeriod) == nil {
			s.check(ctx)
		}
		return nil
	})
	return nil
}

// check reconciles the runners that this node owns with the desired state.
func (s *Service) check(ctx context.Context) {
	snapshot := s.source.Current()
	if snapshot == nil {
		return
	}
	now := s.clock.Now()
	s.refill(snapshot, now)
	marks := s.source.Marks()
	for _, row := range s.table.Status() {
		u, declared := snapshot.Upstream(row.Report.Upstream)
		epoch, own := s.owner.Owner(row.Report.Upstream)
		if !declared || !own {
			delete(s.runners, row.Report.Upstream)
			continue
		}
		fresh := row.Report.State != runners.Unknown && row.Report.State != runners.Leaving && row.Age <= reportTTL
		if fresh {
			s.reconcile(ctx, u, row.Report, desired(u, snapshot, marks), epoch, unloadDelay(snapshot))
		}
	}
}

// reconcile sends the orders that are due for one runner.
func (s *Service) reconcile(ctx context.Context, u *config.Upstream, rep runners.Report, want []config.VersionRef, epoch uint64, delay time.Duration) {
	state := s.runners[u.Name]
	if state == nil {
		state = &runnerOrders{sent: make(map[Order]sentOrder), unwantedSince: make(map[config.VersionRef]time.Time)}
		s.runners[u.Name] = state
	}
	due := difference(rep.Versions, want)
	for order := range state.sent {
		if !slices.Contains(due, order) {
			delete(state.sent, order)
		}
	}
	for ref := range state.unwantedSince {
		if !slices.Contains(due, Order{Action: Unload, Version: ref}) {
			delete(state.unwantedSince, ref)
		}
	}
	idle := rep.Running+rep.Queued == 0
	for _, order := range due {
		if !s.ready(state, order, epoch, idle, delay) {
			continue
		}
		if !s.recordDesired(ctx, u.Name, state, want, epoch) {
			return
		}
		s.sendOrder(ctx, u, state, order, epoch)
	}
}

// ready reports whether an order is due. A version is unloaded only when no
// request can still use it, and loaded only with a token of the fetch rate of the
// weight store, from which runners fetch model weights; a repetition needs no
// token.
func (s *Service) ready(state *runnerOrders, order Order, epoch uint64, idle bool, delay time.Duration) bool {
	now := s.clock.Now()
	last, repeated := state.sent[order]
	if repeated && last.epoch == epoch && now.Sub(last.at) < repeatPeriod {
		return false
	}
	if order.Action == Unload {
		since, seen := state.unwantedSince[order.Version]
		if !seen {
			state.unwantedSince[order.Version] = now
			return false
		}
		return now.Sub(since) >= delay || idle && now.Sub(since) >= reportTTL
	}
	if repeated {
		return true
	}
	if s.tokens < 1 {
		return false
	}
	s.tokens--
	return true
}

// refill adds the tokens of this node's share of the weight store's fetch rate.
func (s *Service) refill(snapshot *config.Snapshot, now time.Time) {
	live := 1
	if s.members != nil {
		live = max(1, len(s.members.Live()))
	}
	rate := snapshot.Limits.WeightFetchesPerMinute / 60 / float64(live)
	if !s.filled.IsZero() {
		s.tokens = min(fetchBurst, s.tokens+rate*now.Sub(s.filled).Seconds())
	}
	s.filled = now
}

// recordDesired writes the desired state with this owner's epoch. It returns false
// if the object store is unavailable or a later owner has written its record.
func (s *Service) recordDesired(parent context.Context, runner string, state *runnerOrders, want []config.VersionRef, epoch uint64) bool {
	if r := state.recorded; r != nil && r.Epoch == epoch && slices.Equal(r.Versions, want) {
		return true
	}
	ctx, cancel := context.WithTimeout(parent, recordTimeout)
	defer cancel()
	next := Record{Runner: runner, Node: s.options.Node, Epoch: epoch, Versions: want,
		AttemptID: strconv.FormatUint(s.options.Rand.Uint64(), 16)}
	value, err := json.Marshal(next)
	if err != nil {
		return false
	}
	key := RecordPrefix + runner
	old, err := s.store.Get(ctx, key)
	switch {
	case result.CodeOf(err) == result.ObjectNotFound:
		_, err = s.store.Create(ctx, key, value)
	case err == nil:
		var current Record
		if json.Unmarshal(old.Value, &current) == nil && current.Epoch > epoch {
			ordersFenced.Inc()
			return false
		}
		_, err = s.store.Update(ctx, key, value, old.Version)
	}
	if err != nil {
		ordersFailed.Inc()
		return false // Retried at the next check.
	}
	state.recorded = &next
	return true
}

// sendOrder sends one order if the lease is still held with the same epoch.
func (s *Service) sendOrder(ctx context.Context, u *config.Upstream, state *runnerOrders, order Order, epoch uint64) {
	if current, own := s.owner.Owner(u.Name); !own || current != epoch {
		return
	}
	state.sent[order] = sentOrder{order: order, epoch: epoch, at: s.clock.Now()}
	err := s.options.Send(ctx, u, order, epoch)
	switch {
	case errors.Is(err, errFenced):
		ordersFenced.Inc()
		return
	case err != nil:
		ordersFailed.Inc()
		return
	}
	ordersSent.Inc()
	s.events.Record(timeline.Event{
		Kind: timeline.OrderIssued, Upstream: u.Name, Domain: u.FailureDomain,
		Model: order.Version.Model, Version: order.Version.Version, Epoch: epoch, Detail: string(order.Action),
	})
}
