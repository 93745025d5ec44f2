package plan

import (
	"fmt"
	"math/rand"
	"slices"
	"sync"

	"github.com/VictoriaMetrics/metrics"

	"cassiapin/pkg/clock"
	"cassiapin/pkg/config"
	"cassiapin/pkg/kernel"
	"cassiapin/pkg/quality"
	"cassiapin/pkg/result"
)

// The names of services that are looked up by the interfaces they implement.
const (
	rolloutService = "route.rollout"
)

// Reserver is implemented by a Rollouts that bounds the unrated answers of a
// new version. Reserve counts one answer and reports whether the bound allows
// it; the answer of a pinned session is counted and cannot be refused.
type Reserver interface {
	Reserve(rollout, requestID string, pinned bool) bool
	Releaser
}

// Releaser takes back the place of an answer that a version of a plan will not
// give, because an earlier step was accepted or the request ended before the
// step was sent. Without the call the place is free after some minutes. Release
// does nothing for a version that is not under rollout. Service implements it.
type Releaser interface {
	Release(requestID string, ref config.VersionRef)
}

// Strategy names a way of planning.
type Strategy string

// The strategies. The baselines stay available so that every later change of
// the policy is measured against them.
const (
	// StrategyPolicy takes the cheapest plan that meets the class's target.
	StrategyPolicy Strategy = "policy"
	// StrategyAlwaysBest takes the version with the highest expected quality.
	StrategyAlwaysBest Strategy = "always-best"
	// StrategyCheapest takes the version with the lowest expected cost.
	StrategyCheapest Strategy = "cheapest"
	// StrategyFixedSplit takes the cheapest version for a fixed share of the
	// requests and the best one for the rest.
	StrategyFixedSplit Strategy = "fixed-split"
)

// DefaultSplitShare is the cheap share of StrategyFixedSplit.
const DefaultSplitShare = 0.5

// probeShare is the share of requests that are planned although every plan is
// expected to miss the deadline. Without them, times measured in an overload
// would never be corrected, because nothing would be sent.
const probeShare = 0.05

// Options are the settings of a Service.
type Options struct {
	// Clock is the time source; nil means the kernel's clock.
	Clock clock.Clock
	// Rand decides splits and probes; nil means seed 1.
	Rand *rand.Rand
	// Strategy is the way of planning; empty means StrategyPolicy.
	Strategy Strategy
	// SplitShare is the cheap share of StrategyFixedSplit; 0 means the default.
	SplitShare float64
}

// Service implements Planner.
type Service struct {
	kernel.Base
	options   Options
	clock     clock.Clock
	source    config.Source
	estimator quality.Estimator
	rollouts  Rollouts
	// feedback is nil when the estimator gives none.
	feedback quality.Feedback

	mu     sync.Mutex
	rand   *rand.Rand
	budget exploreBudget
	accept float64

	plans, cascades, explored *metrics.Counter
}

var (
	_ Planner  = (*Service)(nil)
	_ Releaser = (*Service)(nil)
)

// New returns the planner's service. It fails for an unknown strategy.
func New(o Options) (*Service, error) {
	if o.Strategy == "" {
		o.Strategy = StrategyPolicy
	}
	if !slices.Contains([]Strategy{StrategyPolicy, StrategyAlwaysBest, StrategyCheapest, StrategyFixedSplit}, o.Strategy) {
		return nil, result.New(result.SettingsError, "unknown plan strategy %q", o.Strategy)
	}
	if o.SplitShare == 0 {
		o.SplitShare = DefaultSplitShare
	}
	if o.Rand == nil {
		o.Rand = rand.New(rand.NewSource(1))
	}
	return &Service{
		options: o, clock: o.Clock, rand: o.Rand, accept: priorAcceptance,
		plans:    metrics.GetOrCreateCounter(fmt.Sprintf("cassiapin_plan_plans_total{strategy=%q}", o.Strategy)),
		cascades: metrics.GetOrCreateCounter("cassiapin_plan_cascades_total"),
		explored: metrics.GetOrCreateCounter("cassiapin_plan_explorations_total"),
	}, nil
}

// Name implements kernel.Service.
func (*Service) Name() string { return ServiceName }

// Provision implements kernel.Service. Rollouts are optional.
func (s *Service) Provision(k *kernel.Kernel) error {
	f := kernel.Find(k)
	if s.clock == nil {
		s.clock = k.Clock
	}
	kernel.Require(f, config.SourceServiceName, &s.source)
	kernel.Require(f, quality.ServiceName, &s.estimator)
	s.feedback, _ = s.estimator.(quality.Feedback)
	kernel.Optional(f, rolloutService, &s.rollouts)
	return f.Err()
}

// Plan implements Planner.
func (s *Service) Plan(r Request) (Plan, error) {
	snapshot := s.source.Current()
	if snapshot == nil {
		return Plan{}, result.New(result.NoConfiguration, "the node has no configuration yet")
	}
	if r.Remaining <= 0 {
		return Plan{}, result.New(result.DeadlineUnmeetable, "no time is left to the deadline")
	}
	movedFrom, done, err := s.pinned(snapshot, &r)
	if err != nil || len(done.Steps) > 0 {
		return done, err
	}
	refs, err := s.named(snapshot, r)
	if err != nil {
		return Plan{}, err
	}
	chosen, err := s.planWithRollouts(snapshot, r, refs)
	if err != nil {
		return Plan{}, err
	}
	chosen.MovedFrom = movedFrom
	s.plans.Inc()
	if len(chosen.Steps) > 1 {
		s.cascades.Inc()
	}
	return chosen, nil
}

// pinned keeps the version of a session. It returns a plan when the session
// has a usable version, and the version it has to leave when that is
// withdrawn.
func (s *Service) pinned(snapshot *config.Snapshot, r *Request) (config.VersionRef, Plan, error) {
	none := config.VersionRef{}
	if r.Pinned == none {
		return none, Plan{}, nil
	}
	if s.withdrawn(snapshot, r.Pinned) {
		return r.Pinned, Plan{}, nil
	}
	if (r.Model != "" && r.Model != r.Pinned.Model) || (r.Version != "" && r.Version != r.Pinned.Version) {
		return none, Plan{}, result.New(result.ModelNotAllowed, "the session keeps %s", r.Pinned)
	}
	if !slices.Contains(r.Allowed, r.Pinned) {
		return none, Plan{}, s.unavailable(snapshot, *r, r.Pinned)
	}
	c := choice{
		request: r, options: []option{{ref: r.Pinned, rollout: s.rolloutOf(r.Pinned)}},
		estimates: []quality.Estimate{s.estimator.Estimate(r.Class.Name, r.Pinned)},
	}
	kept, _ := c.plan(c.single(0))
	s.reserve(kept.Rollout, r.RequestID, true)
	s.spend(kept.Cost, false)
	s.plans.Inc()
	return none, kept, nil
}

// rolloutOf returns the rollout whose new version is ref, if any.
func (s *Service) rolloutOf(ref config.VersionRef) string {
	if s.rollouts == nil {
		return ""
	}
	// Cohort 0 is in every share, so the new version maps to itself.
	if to, id := s.rollouts.Assign(ref, 0); to == ref {
		return id
	}
	return ""
}

// named returns the allowed versions that the caller's choice leaves.
func (s *Service) named(snapshot *config.Snapshot, r Request) ([]config.VersionRef, error) {
	if r.Model == "" {
		if len(r.Allowed) == 0 {
			return nil, result.New(result.NoRunner, "no allowed version has a runner")
		}
		return r.Allowed, nil
	}
	var refs []config.VersionRef
	for _, ref := range r.Allowed {
		if ref.Model == r.Model && (r.Version == "" || ref.Version == r.Version) {
			refs = append(refs, ref)
		}
	}
	if len(refs) > 0 {
		return refs, nil
	}
	if r.Version != "" {
		return nil, s.unavailable(snapshot, r, config.VersionRef{Model: r.Model, Version: r.Version})
	}
	return nil, s.modelUnavailable(snapshot, r)
}

// unavailable says why the version is not among the allowed ones.
func (s *Service) unavailable(snapshot *config.Snapshot, r Request, ref config.VersionRef) error {
	org, ok := snapshot.Organisation(r.Organisation)
	if _, declared := snapshot.Version(ref); !ok || !declared || !org.Allows(ref) {
		return result.New(result.ModelNotAllowed, "the organisation may not use %s", ref)
	}
	if s.withdrawn(snapshot, ref) {
		return result.New(result.VersionWithdrawn, "%s is withdrawn", ref)
	}
	return result.New(result.NoRunner, "no runner of %s is available", ref)
}

// modelUnavailable says why no version of the model is allowed.
func (s *Service) modelUnavailable(snapshot *config.Snapshot, r Request) error {
	var last error
	for _, m := range snapshot.Declarations.Models {
		if m.Name != r.Model {
			continue
		}
		for _, v := range m.Versions {
			err := s.unavailable(snapshot, r, config.VersionRef{Model: m.Name, Version: v.Name})
			if result.CodeOf(err) == result.NoRunner {
				return err
			}
			last = err
		}
	}
	if last == nil || result.CodeOf(last) == result.ModelNotAllowed {
		return result.New(result.ModelNotAllowed, "the organisation may not use model %q", r.Model)
	}
	return result.New(result.NoRunner, "every version of model %q is withdrawn", r.Model)
}

func (s *Service) withdrawn(snapshot *config.Snapshot, ref config.VersionRef) bool {
	return snapshot.Withdrawn(ref) || s.source.Marks().Withdrawn(ref)
}

// option is a version that a plan may use.
type option struct {
	ref config.VersionRef
	// rollout is the id of the rollout whose new version ref is.
	rollout string
}

// planWithRollouts chooses a plan; when the bound on unrated answers refuses
// the new version of a rollout, it chooses again without that rollout.
func (s *Service) planWithRollouts(snapshot *config.Snapshot, r Request, refs []config.VersionRef) (Plan, error) {
	var denied []string
	for {
		chosen, rollouts, err := s.choose(snapshot, &r, s.assign(r, refs, denied))
		if err != nil {
			return Plan{}, err
		}
		refused := s.reserveAll(chosen, rollouts, r)
		if refused == "" {
			s.spend(chosen.Cost, chosen.Explore)
			return chosen, nil
		}
		denied = append(denied, refused)
	}
}

// reserveAll reserves a place in the rollout of each step, or none, and
// returns the rollout that refused it.
func (s *Service) reserveAll(p Plan, rollouts [2]string, r Request) (refused string) {
	for i, id := range rollouts {
		if s.reserve(id, r.RequestID, r.Version != "") {
			continue
		}
		for _, step := range p.Steps[:i] {
			s.Release(r.RequestID, step.Version)
		}
		return id
	}
	return ""
}

// Release implements Releaser.
func (s *Service) Release(requestID string, ref config.VersionRef) {
	if bound, ok := s.rollouts.(Releaser); ok {
		bound.Release(requestID, ref)
	}
}

// assign replaces the versions by those of the request's cohort. A version
// that the caller named stays.
func (s *Service) assign(r Request, refs []config.VersionRef, denied []string) []option {
	options := make([]option, 0, len(refs))
	for _, ref := range refs {
		o := option{ref: ref}
		switch {
		case r.Version != "":
			o.rollout = s.rolloutOf(ref)
		case s.rollouts != nil:
			o = s.assignOne(r, ref, refs, denied)
		}
		if !slices.ContainsFunc(options, func(p option) bool { return p.ref == o.ref }) {
			options = append(options, o)
		}
	}
	return options
}

func (s *Service) assignOne(r Request, ref config.VersionRef, refs []config.VersionRef, denied []string) option {
	to, id := s.rollouts.Assign(ref, r.Cohort)
	if slices.Contains(denied, id) {
		// Cohort 1 is in no share, so it gets the old version.
		if to, _ = s.rollouts.Assign(ref, 1); slices.Contains(refs, to) {
			return option{ref: to}
		}
		return option{ref: ref}
	}
	if !slices.Contains(refs, to) {
		return option{ref: ref}
	}
	return option{ref: to, rollout: id}
}

func (s *Service) reserve(rollout, requestID string, pinned bool) bool {
	if rollout == "" {
		return true
	}
	bound, ok := s.rollouts.(Reserver)
	return !ok || bound.Reserve(rollout, requestID, pinned) || pinned
}
