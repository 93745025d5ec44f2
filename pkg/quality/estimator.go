package quality

import (
	"context"
	"math/rand"
	"net/http"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"gopkg.in/tomb.v2"

	"cassiapin/pkg/clock"
	"cassiapin/pkg/config"
	"cassiapin/pkg/kernel"
	"cassiapin/pkg/lease"
	"cassiapin/pkg/objectstore"
	"cassiapin/pkg/peer"
	"cassiapin/pkg/result"
)

// rolloutService equals rollout.ServiceName; importing that package would create
// an import cycle.
const (
	rolloutService = "route.rollout"
)

// The defaults of Options.
const (
	DefaultSampleShare   = 0.1
	DefaultConfidence    = 1.28 // 90% one-sided
	DefaultRatingTimeout = 10 * time.Second
	DefaultQueue         = 256
	DefaultWorkers       = 4
)

const (
	// minClassRatings is the number of served ratings below which all answers
	// of a class are rated. At a sample share of 0.1 a new class would need
	// 1,000 answers for 100 ratings, and sessions started in the meantime would
	// stay on a needlessly expensive version.
	minClassRatings = 100
	// minVersionRatings is the same threshold for one version of a class.
	// Without it exploration answers would be rated at the sample share, and
	// 90% of their cost would yield no ratings.
	minVersionRatings = 30
	// checkReliability is the weight of a check's rating, against the mean, in
	// the served quality of an accepted answer. Selection by a noisy rating
	// overrates accepted answers (regression to the mean).
	checkReliability = 0.5
)

// maxRecentRatings bounds the cache of ratings already obtained by cascade checks.
const maxRecentRatings = 1024

// Outcome is the result of one answer of a version under rollout.
type Outcome struct {
	Sample Sample
	// Rated reports whether Rating is valid; otherwise the answer stays unrated.
	Rated  bool
	Rating float64
}

// Rollouts reports which versions are under rollout and receives the outcomes
// of all their answers. Outcome must not block.
type Rollouts interface {
	UnderRollout(ref config.VersionRef) bool
	Outcome(o Outcome)
}

// Options are the settings of a Service.
type Options struct {
	// Clock is the time source; nil means the kernel's clock.
	Clock clock.Clock
	// Rand is the random source for sampling; nil means seed 1.
	Rand *rand.Rand
	// Region is the node's region.
	Region string
	// RatingURL is the base URL of the rating service; empty means none.
	RatingURL string
	// SampleShare is the share of answers rated outside of rollouts.
	SampleShare float64
	// Confidence is the number of standard errors between the mean and the
	// lower bound.
	Confidence float64
	// RatingTimeout bounds one rating request; Queue and Workers bound the
	// queued and concurrent ones.
	RatingTimeout time.Duration
	Queue         int
	Workers       int
	// HTTP is the client for rating requests; nil means a dedicated client.
	HTTP *http.Client
}

func (o Options) withDefaults() Options {
	if o.Rand == nil {
		o.Rand = rand.New(rand.NewSource(1))
	}
	if o.SampleShare == 0 {
		o.SampleShare = DefaultSampleShare
	}
	if o.Confidence == 0 {
		o.Confidence = DefaultConfidence
	}
	if o.RatingTimeout == 0 {
		o.RatingTimeout = DefaultRatingTimeout
	}
	if o.Queue == 0 {
		o.Queue = DefaultQueue
	}
	if o.Workers == 0 {
		o.Workers = DefaultWorkers
	}
	if o.HTTP == nil {
		o.HTTP = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: o.Workers, IdleConnTimeout: 90 * time.Second}}
	}
	return o
}

// Service implements Estimator. Without a messenger its estimates use only the
// node's own answers.
type Service struct {
	kernel.Base
	options  Options
	clock    clock.Clock
	source   config.Source
	rollouts Rollouts
	client   ratingClient
	queue    chan pendingRating
	sharing  *sharing

	mu          sync.Mutex
	rand        *rand.Rand
	cells       map[key]cell
	recent      map[recentKey]float64
	recentOrder []recentKey

	rated, missing, dropped *metrics.Counter
}

// pendingRating is an answer queued for rating. served reports whether the
// rating also counts towards the served quality of the class.
type pendingRating struct {
	sample Sample
	served bool
}

type recentKey struct {
	request string
	ref     config.VersionRef
}

var _ Estimator = (*Service)(nil)

// New returns the estimator service.
func New(o Options) *Service {
	o = o.withDefaults()
	return &Service{
		options: o, clock: o.Clock, rand: o.Rand,
		client:  ratingClient{url: o.RatingURL, http: o.HTTP},
		queue:   make(chan pendingRating, o.Queue),
		cells:   make(map[key]cell),
		recent:  make(map[recentKey]float64),
		rated:   metrics.GetOrCreateCounter("cassiapin_quality_ratings_total"),
		missing: metrics.GetOrCreateCounter("cassiapin_quality_ratings_missing_total"),
		dropped: metrics.GetOrCreateCounter("cassiapin_quality_ratings_dropped_total"),
	}
}

// Name implements kernel.Service.
func (*Service) Name() string { return ServiceName }

// Provision implements kernel.Service. All dependencies except the configuration
// are optional.
func (s *Service) Provision(k *kernel.Kernel) error {
	f := kernel.Find(k)
	if s.clock == nil {
		s.clock = k.Clock
	}
	kernel.Require(f, config.SourceServiceName, &s.source)
	kernel.Optional(f, rolloutService, &s.rollouts)
	var (
		messenger peer.Messenger
		members   peer.Members
		leases    lease.Manager
		store     objectstore.Store
	)
	kernel.Optional(f, peer.TransportServiceName, &messenger)
	kernel.Optional(f, peer.MembershipServiceName, &members)
	kernel.Optional(f, lease.ServiceName, &leases)
	kernel.Optional(f, objectstore.ServiceName, &store)
	if messenger != nil {
		s.sharing = newSharing(s, messenger, members, leases, store)
		s.sharing.log = k.Log
	}
	return f.Err()
}

// Run implements kernel.Service.
func (s *Service) Run(t *tomb.Tomb) error {
	for range s.options.Workers {
		t.Go(func() error { return s.rateWorker(t) })
	}
	if s.sharing != nil {
		t.Go(func() error { return s.sharing.run(t) })
		t.Go(func() error { return s.sharing.fetchTables(t) })
	}
	return nil
}

// Estimate implements Estimator. It returns the zero value for an undeclared
// version.
func (s *Service) Estimate(class string, ref config.VersionRef) Estimate {
	snapshot := s.source.Current()
	if snapshot == nil {
		return Estimate{}
	}
	v, ok := snapshot.Version(ref)
	if !ok {
		return Estimate{}
	}
	prior := v.PriorQuality
	if q, ok := v.ClassQuality[class]; ok {
		prior = q
	}
	s.mu.Lock()
	c := s.cells[key{class: class, ref: ref}]
	s.mu.Unlock()
	return c.estimate(prior, v, s.options.Confidence)
}

// Observe implements Estimator.
func (s *Service) Observe(sample Sample) {
	s.record(sample, answerCell(sample))
	rollout := s.rollouts != nil && s.rollouts.UnderRollout(sample.Version)
	if sample.Failed {
		s.report(rollout, Outcome{Sample: sample})
		return
	}
	rate, served := s.sampled(sample, rollout)
	if rating, ok := s.recentRating(sample); ok {
		if served {
			s.recordServed(sample, s.shrink(sample, rating))
		}
		s.report(rollout, Outcome{Sample: sample, Rated: true, Rating: rating})
		return
	}
	if s.client.url == "" || !rate {
		s.report(rollout, Outcome{Sample: sample})
		return
	}
	select {
	case s.queue <- pendingRating{sample, served}:
	default:
		s.dropped.Inc()
		s.report(rollout, Outcome{Sample: sample})
	}
}

// Rate implements Estimator. The rating is recorded and cached, so Observe does
// not rate the same answer again.
func (s *Service) Rate(sample Sample, timeout time.Duration) (float64, error) {
	rating, ok, err := s.client.rate(context.Background(), sample, timeout)
	if err != nil {
		return 0, err
	}
	if !ok {
		return 0, result.New(result.UpstreamError, "the rating service has no rating")
	}
	s.rated.Inc()
	s.record(sample, ratingCell(rating))
	s.addRecent(sample, rating)
	return rating, nil
}

// sampled decides whether an answer is rated: always during a rollout, because
// the quality guard uses only rated answers, and while the class or version has
// few ratings. The rating counts as served with the same probability for all
// versions of a class, so that the served mean is unbiased over served answers.
func (s *Service) sampled(sample Sample, rollout bool) (rate, served bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	served = s.cells[servedKey(sample.Class)].Rated < minClassRatings || s.rand.Float64() < s.options.SampleShare
	known := s.cells[key{class: sample.Class, ref: sample.Version}].Rated >= minVersionRatings
	return served || rollout || !known, served
}

// servedKey is the key of the cell for the answers returned to callers of a
// class. It has no version and is shared with the table like every other cell.
func servedKey(class string) key { return key{class: class} }

// Served implements Feedback. It returns the zero value for a class without
// ratings.
func (s *Service) Served(class string) Served {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cells[servedKey(class)].served(s.options.Confidence)
}

func (s *Service) recordServed(sample Sample, rating float64) {
	sample.Version = config.VersionRef{}
	s.record(sample, ratingCell(rating))
}

// shrink moves the rating of an answer towards the mean, to correct for the
// selection bias of answers accepted because of their rating.
func (s *Service) shrink(sample Sample, rating float64) float64 {
	mean := s.Estimate(sample.Class, sample.Version).Mean
	return mean + checkReliability*(rating-mean)
}

// rateWorker processes the rating queue until the service stops.
func (s *Service) rateWorker(t *tomb.Tomb) error {
	ctx := t.Context(context.Background())
	for {
		select {
		case <-t.Dying():
			return nil
		case p := <-s.queue:
			s.rateOne(ctx, p)
		}
	}
}

func (s *Service) rateOne(ctx context.Context, p pendingRating) {
	sample := p.sample
	rating, ok, err := s.client.rate(ctx, sample, s.options.RatingTimeout)
	rollout := s.rollouts != nil && s.rollouts.UnderRollout(sample.Version)
	if err != nil || !ok {
		s.missing.Inc()
		s.report(rollout, Outcome{Sample: sample})
		return
	}
	s.rated.Inc()
	s.record(sample, ratingCell(rating))
	if p.served {
		s.recordServed(sample, rating)
	}
	s.report(rollout, Outcome{Sample: sample, Rated: true, Rating: rating})
}

func (s *Service) report(rollout bool, o Outcome) {
	if rollout {
		s.rollouts.Outcome(o)
	}
}

// record merges an observation into the local table and adds it to those pending
// for the aggregator.
func (s *Service) record(sample Sample, c cell) {
	k := key{class: sample.Class, ref: sample.Version}
	s.mu.Lock()
	defer s.mu.Unlock()
	mergeAll(s.cells, map[key]cell{k: c})
	if s.sharing != nil {
		s.sharing.addPending(k, c)
	}
}

func (s *Service) addRecent(sample Sample, rating float64) {
	k := recentKey{request: sample.RequestID, ref: sample.Version}
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.recent[k]; !ok {
		s.recentOrder = append(s.recentOrder, k)
	}
	s.recent[k] = rating
	if len(s.recentOrder) > maxRecentRatings {
		delete(s.recent, s.recentOrder[0])
		s.recentOrder = s.recentOrder[1:]
	}
}

func (s *Service) recentRating(sample Sample) (float64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	rating, ok := s.recent[recentKey{request: sample.RequestID, ref: sample.Version}]
	return rating, ok
}
