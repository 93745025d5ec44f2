package dispatch

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"

	"github.com/VictoriaMetrics/metrics"

	"cassiapin/pkg/admission"
	"cassiapin/pkg/balance"
	"cassiapin/pkg/billing"
	"cassiapin/pkg/clock"
	"cassiapin/pkg/config"
	"cassiapin/pkg/idempotency"
	"cassiapin/pkg/kernel"
	"cassiapin/pkg/peer"
	"cassiapin/pkg/plan"
	"cassiapin/pkg/policy"
	"cassiapin/pkg/quality"
	"cassiapin/pkg/quarantine"
	"cassiapin/pkg/quota"
	"cassiapin/pkg/result"
	"cassiapin/pkg/runners"
	"cassiapin/pkg/session"
	"cassiapin/pkg/timeline"
	"cassiapin/pkg/upstream"
)

// Options configure a dispatcher.
type Options struct {
	Node          string
	Region        string
	FailureDomain string
	Seed          uint64
}

// Service is the dispatcher.
type Service struct {
	kernel.Base
	options Options
	clock   clock.Clock

	config    config.Source
	checker   policy.Checker
	planner   plan.Planner
	chooser   balance.Chooser
	table     runners.Table
	client    upstream.Client
	admitter  admission.Admitter
	limiter   quota.Limiter
	sessions  session.Manager
	ledger    idempotency.Ledger
	bills     billing.Recorder
	estimator quality.Estimator
	events    timeline.Recorder
	// members is nil if no membership service is registered, held if no quarantine
	// is.
	members peer.Members
	held    *quarantine.Service

	randomMu sync.Mutex
	random   *rand.Rand

	endpoints endpointTable
	inFlight  sync.WaitGroup
	counters  counters
}

// New returns a dispatcher. Provision looks up the services that it uses.
func New(o Options) *Service {
	return &Service{
		options:  o,
		random:   rand.New(rand.NewPCG(o.Seed, 0x9e3779b97f4a7c15)),
		counters: newCounters(),
	}
}

// Name implements kernel.Service.
func (*Service) Name() string { return ServiceName }

// Provision implements kernel.Service.
func (s *Service) Provision(k *kernel.Kernel) error {
	s.clock = k.Clock
	s.endpoints.clock = k.Clock
	f := kernel.Find(k)
	kernel.Require(f, config.SourceServiceName, &s.config)
	kernel.Require(f, policy.ServiceName, &s.checker)
	kernel.Require(f, plan.ServiceName, &s.planner)
	kernel.Require(f, balance.ServiceName, &s.chooser)
	kernel.Require(f, runners.ServiceName, &s.table)
	kernel.Require(f, upstream.ServiceName, &s.client)
	kernel.Require(f, admission.ServiceName, &s.admitter)
	kernel.Require(f, quota.ServiceName, &s.limiter)
	kernel.Require(f, session.ServiceName, &s.sessions)
	kernel.Require(f, idempotency.ServiceName, &s.ledger)
	kernel.Require(f, billing.ServiceName, &s.bills)
	kernel.Require(f, quality.ServiceName, &s.estimator)
	kernel.Require(f, timeline.ServiceName, &s.events)
	kernel.Optional(f, peer.MembershipServiceName, &s.members)
	kernel.Optional(f, quarantine.ServiceName, &s.held)
	return f.Err()
}

// checkConnected rejects a non-idempotent request while this node is isolated
// from most members, because its view of the platform and of the marks may be
// stale.
func (s *Service) checkConnected() error {
	if s.members != nil && s.members.Isolated() {
		return result.New(result.Isolated, "the node cannot reach most other nodes").WithRetryAfter(isolatedRetryAfter)
	}
	return nil
}

// isolatedRetryAfter is the retry-after time in which a caller should have found
// another node.
const isolatedRetryAfter = config.DefaultEntryTTL

// Drain implements kernel.Drainer. It waits for the requests in flight.
func (s *Service) Drain(ctx context.Context) error {
	done := make(chan struct{})
	go func() {
		s.inFlight.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (s *Service) randomUint64() uint64 {
	s.randomMu.Lock()
	defer s.randomMu.Unlock()
	return s.random.Uint64()
}

func (s *Service) randomFloat() float64 {
	s.randomMu.Lock()
	defer s.randomMu.Unlock()
	return s.random.Float64()
}

// counters are the dispatcher's metrics.
type counters struct {
	requests   *metrics.Counter
	answered   *metrics.Counter
	attempts   *metrics.Counter
	retries    *metrics.Counter
	escalated  *metrics.Counter
	moved      *metrics.Counter
	durationMS *metrics.Histogram
}

func newCounters() counters {
	return counters{
		requests:   metrics.GetOrCreateCounter("cassiapin_requests_total"),
		answered:   metrics.GetOrCreateCounter("cassiapin_requests_answered_total"),
		attempts:   metrics.GetOrCreateCounter("cassiapin_attempts_total"),
		retries:    metrics.GetOrCreateCounter("cassiapin_retries_total"),
		escalated:  metrics.GetOrCreateCounter("cassiapin_escalations_total"),
		moved:      metrics.GetOrCreateCounter("cassiapin_sessions_moved_total"),
		durationMS: metrics.GetOrCreateHistogram("cassiapin_request_duration_milliseconds"),
	}
}

// countFailure counts a refusal or failure by code and run state.
func countFailure(e *result.Error) {
	name := fmt.Sprintf(`cassiapin_requests_failed_total{code="%d",run=%q}`, int(e.Code), string(e.Run))
	metrics.GetOrCreateCounter(name).Inc()
}
