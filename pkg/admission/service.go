package admission

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"gopkg.in/tomb.v2"

	"cassiapin/pkg/clock"
	"cassiapin/pkg/config"
	"cassiapin/pkg/kernel"
	"cassiapin/pkg/result"
	"cassiapin/pkg/timeline"
)

const (
	// retryBurst is the capacity of the retry budget.
	retryBurst = 10
	// overloadQuietPeriod is the time without refusals after which an overload
	// has ended.
	overloadQuietPeriod = 5 * time.Second
	// overloadCheckInterval is how often the end of an overload is checked.
	overloadCheckInterval = time.Second
)

var (
	waitSeconds   = metrics.GetOrCreateHistogram("cassiapin_admission_wait_seconds")
	retriesDenied = metrics.GetOrCreateCounter("cassiapin_admission_retries_denied_total")
)

// Options configure admission.
type Options struct {
	// Clock defaults to the kernel's clock.
	Clock clock.Clock
	// Concurrency is the concurrency limit until SetConcurrency is called; 0
	// means the declared limit.
	Concurrency int
}

// Service implements Admitter for a node.
type Service struct {
	kernel.Base
	options Options
	clock   clock.Clock
	source  config.Source
	events  timeline.Recorder

	mu             sync.Mutex
	scheduler      *scheduler
	runnerCapacity int
	declaredLimit  int
	retryRatio     float64
	retryTokens    float64
	refusedAt      time.Time
	overloaded     bool
}

// NewService returns the admission service of a node.
func NewService(o Options) *Service {
	s := &Service{options: o, clock: o.Clock, events: timeline.Discard{}, runnerCapacity: math.MaxInt, retryTokens: retryBurst}
	if o.Concurrency > 0 {
		s.runnerCapacity = o.Concurrency
	}
	s.scheduler = newScheduler(1, 1, 1)
	s.applyLimits(config.Limits{}.WithDefaults())
	return s
}

// Name implements kernel.Service.
func (*Service) Name() string { return ServiceName }

// Provision implements kernel.Service.
func (s *Service) Provision(k *kernel.Kernel) error {
	f := kernel.Find(k)
	if s.clock == nil {
		s.clock = k.Clock
	}
	kernel.Optional(f, timeline.ServiceName, &s.events)
	kernel.Optional(f, config.SourceServiceName, &s.source)
	if s.source != nil {
		s.reload()
	}
	return nil
}

// Run implements kernel.Service.
func (s *Service) Run(t *tomb.Tomb) error {
	ctx := t.Context(context.Background())
	t.Go(func() error {
		for s.clock.Sleep(ctx, overloadCheckInterval) == nil {
			s.checkOverload()
		}
		return nil
	})
	if s.source == nil {
		return nil
	}
	changes := s.source.Subscribe()
	t.Go(func() error {
		for {
			select {
			case <-changes:
				s.reload()
			case <-t.Dying():
				return nil
			}
		}
	})
	return nil
}

func (s *Service) reload() {
	if snapshot := s.source.Current(); snapshot != nil {
		s.applyLimits(snapshot.Limits)
	}
}

// applyLimits applies the declared limits.
func (s *Service) applyLimits(l config.Limits) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.declaredLimit, s.retryRatio = l.ConcurrentRequests, l.RetryRatio
	s.scheduler.queueLimit = l.QueuePerOrganisation
	s.scheduler.totalLimit = l.ConcurrentRequests
	s.resize()
}

// resize updates the scheduler's concurrency. The caller holds mu.
func (s *Service) resize() {
	now := time.Time{}
	if s.clock != nil {
		now = s.clock.Now()
	}
	s.scheduler.setConcurrency(min(s.runnerCapacity, s.declaredLimit), now)
}

// SetConcurrency implements Admitter.
func (s *Service) SetConcurrency(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runnerCapacity = n
	s.resize()
}

// Admit implements Admitter.
func (s *Service) Admit(ctx context.Context, r Request) (func(), error) {
	if ctx.Err() != nil {
		return nil, cancelled(ctx)
	}
	s.mu.Lock()
	w, failure := s.scheduler.enqueue(r, s.clock.Now())
	s.mu.Unlock()
	if failure != nil {
		return nil, s.recordRefusal(failure)
	}
	select {
	case err := <-w.ready:
		return s.started(w, err)
	default:
	}
	// After this time the request can no longer meet its deadline.
	tooLate := s.clock.After(r.Deadline.Sub(s.clock.Now()) - r.Expected)
	select {
	case err := <-w.ready:
		return s.started(w, err)
	case <-tooLate:
		return s.cancel(w, deadlineUnmeetable().WithRetryAfter(minRetryAfter))
	case <-ctx.Done():
		return s.cancel(w, cancelled(ctx))
	}
}

func cancelled(ctx context.Context) *result.Error {
	return result.Wrap(ctx.Err(), result.CallerCancelled, result.NotRun, "the caller left while the request waited")
}

// started returns the release function of a request that may start.
func (s *Service) started(w *waiter, err error) (func(), error) {
	if err != nil {
		return nil, s.recordRefusal(result.From(err))
	}
	waitSeconds.Update(w.started.Sub(w.enqueued).Seconds())
	s.mu.Lock()
	s.retryTokens = min(retryBurst, s.retryTokens+s.retryRatio)
	s.mu.Unlock()
	var once sync.Once
	return func() {
		once.Do(func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.scheduler.finish(w, s.clock.Now())
		})
	}, nil
}

// cancel removes a request from the queue. If it was started concurrently, its
// slot is released.
func (s *Service) cancel(w *waiter, failure *result.Error) (func(), error) {
	s.mu.Lock()
	waiting := s.scheduler.cancel(w)
	if !waiting && <-w.ready == nil {
		s.scheduler.inFlight--
		s.scheduler.dispatch(s.clock.Now())
	}
	s.mu.Unlock()
	return nil, s.recordRefusal(failure)
}

// recordRefusal counts a refusal and records the start of an overload.
func (s *Service) recordRefusal(failure *result.Error) error {
	metrics.GetOrCreateCounter(`cassiapin_admission_refusals_total{code="` + failure.Code.String() + `"}`).Inc()
	if failure.Code == result.CallerCancelled {
		return failure
	}
	s.mu.Lock()
	s.refusedAt = s.clock.Now()
	first := !s.overloaded
	s.overloaded = true
	s.mu.Unlock()
	if first {
		s.events.Record(timeline.Event{Kind: timeline.OverloadStarted, Code: int(failure.Code)})
	}
	return failure
}

// checkOverload records the end of an overload.
func (s *Service) checkOverload() {
	s.mu.Lock()
	ended := s.overloaded && s.scheduler.waiting == 0 && s.clock.Since(s.refusedAt) >= overloadQuietPeriod
	if ended {
		s.overloaded = false
	}
	s.mu.Unlock()
	if ended {
		s.events.Record(timeline.Event{Kind: timeline.OverloadEnded})
	}
}

// MayRetry implements Admitter.
func (s *Service) MayRetry() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.retryTokens < 1 {
		retriesDenied.Inc()
		return false
	}
	s.retryTokens--
	return true
}

var _ Admitter = (*Service)(nil)
