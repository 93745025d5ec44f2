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

// rolloutService is the name of the rollout service. It is not imported from
// package rollout, which imports this package.
const (
	rolloutService = "route.rollout"
)

// Reserver is implemented by a Rollouts that limits the number of unrated
// answers of a new version. Reserve reserves one answer and reports whether the
// limit allows it. Answers with pinned set are counted but not refused.
type Reserver interface {
	Reserve(rollout, requestID string, pinned bool) bool
	Releaser
}

// Releaser releases the reservation of an answer that will not be requested,
// because an earlier step was accepted or the request ended before the step was
// sent. A reservation that is not released expires after some minutes. Release
// does nothing for a version that is not under rollout. Service implements it.
type Releaser interface {
	Release(requestID string, ref config.VersionRef)
}

// Strategy selects how requests are planned.
type Strategy string

// The planning strategies. All but StrategyPolicy are baselines against which
// changes of the policy are measured.
const (
	// StrategyPolicy selects the cheapest plan that meets the class's target.
	StrategyPolicy Strategy = "policy"
	// StrategyAlwaysBest selects the version with the highest expected quality.
	StrategyAlwaysBest Strategy = "always-best"
	// StrategyCheapest selects the version with the lowest expected cost.
	StrategyCheapest Strategy = "cheapest"
	// StrategyFixedSplit selects the cheapest version for a fixed share of the
	// requests and the best one for the rest.
	StrategyFixedSplit Strategy = "fixed-split"
)

// DefaultSplitShare is the default of Options.SplitShare.
const DefaultSplitShare = 0.5

// probeShare is the share of requests that are planned even though every plan
// is expected to miss the deadline. Without these probes, times measured during
// an overload would never be corrected, because nothing would be sent.
const probeShare = 0.05

// Options configure a Service.
type Options struct {
	// Clock is the time source; nil means the kernel's clock.
	Clock clock.Clock
	// Rand selects splits and probes; nil means a source with seed 1.
	Rand *rand.Rand
	// Strategy defaults to StrategyPolicy.
	Strategy Strategy
	// SplitShare is the share of requests that StrategyFixedSplit sends to the
	// cheapest version; 0 means DefaultSplitShare.
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
	// feedback is nil if the estimator does not implement it.
	feedback quality.Feedback

	mu             sync.Mutex
	rand           *rand.Rand
	budget         exploreBudget
	acceptanceRate float64

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
		options: o, clock: o.Clock, rand: o.Rand, acceptanceRate: priorAcceptance,
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
	movedFrom, pinnedPlan, err := s.planPinned(snapshot, &r)
	if err != nil || len(pinnedPlan.Steps) > 0 {
		return pinnedPlan, err
	}
	refs, err := s.requestedVersions(snapshot, r)
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

// planPinned plans a request of a session that is bound to a version. It returns a
// plan if the version is usable, or the version itself if it is withdrawn.
func (s *Service) planPinned(snapshot *config.Snapshot, r *Request) (config.VersionRef, Plan, error) {
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
		return none, Plan{}, s.unavailableError(snapshot, *r, r.Pinned)
	}
	c := decisionInput{
		request: r, options: []option{{ref: r.Pinned, rollout: s.rolloutOf(r.Pinned)}},
		estimates: []quality.Estimate{s.estimator.Estimate(r.Class.Name, r.Pinned)},
	}
	p, _ := c.plan(c.single(0))
	s.reserve(p.Rollout, r.RequestID, true)
	s.recordCost(p.Cost, false)
	s.plans.Inc()
	return none, p, nil
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

// requestedVersions returns the allowed versions that match the model and version
// requested by the caller.
func (s *Service) requestedVersions(snapshot *config.Snapshot, r Request) ([]config.VersionRef, error) {
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
		return nil, s.unavailableError(snapshot, r, config.VersionRef{Model: r.Model, Version: r.Version})
	}
	return nil, s.modelUnavailableError(snapshot, r)
}

// unavailableError returns the reason why the version is not allowed.
func (s *Service) unavailableError(snapshot *config.Snapshot, r Request, ref config.VersionRef) error {
	org, ok := snapshot.Organisation(r.Organisation)
	if _, declared := snapshot.Version(ref); !ok || !declared || !org.Allows(ref) {
		return result.New(result.ModelNotAllowed, "the organisation may not use %s", ref)
	}
	if s.withdrawn(snapshot, ref) {
		return result.New(result.VersionWithdrawn, "%s is withdrawn", ref)
	}
	return result.New(result.NoRunner, "no runner of %s is available", ref)
}

// modelUnavailableError returns the reason why no version of the model is
// allowed.
func (s *Service) modelUnavailableError(snapshot *config.Snapshot, r Request) error {
	var last error
	for _, m := range snapshot.Declarations.Models {
		if m.Name != r.Model {
			continue
		}
		for _, v := range m.Versions {
			err := s.unavailableError(snapshot, r, config.VersionRef{Model: m.Name, Version: v.Name})
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
	// rollout is the id of the rollout that introduces ref, if any.
	rollout string
}

// planWithRollouts chooses a plan. If a rollout's limit of unrated answers
// refuses its new version, it chooses again without that rollout.
func (s *Service) planWithRollouts(snapshot *config.Snapshot, r Request, refs []config.VersionRef) (Plan, error) {
	var denied []string
	for {
		chosen, rollouts, err := s.choose(snapshot, &r, s.applyRollouts(r, refs, denied))
		if err != nil {
			return Plan{}, err
		}
		refused := s.reserveAll(chosen, rollouts, r)
		if refused == "" {
			s.recordCost(chosen.Cost, chosen.Explore)
			return chosen, nil
		}
		denied = append(denied, refused)
	}
}

// reserveAll reserves an answer in the rollout of every step. If a rollout
// refuses, it releases the earlier reservations and returns the rollout's id.
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
	if releaser, ok := s.rollouts.(Releaser); ok {
		releaser.Release(requestID, ref)
	}
}

// applyRollouts replaces the versions by those of the request's cohort. A version
// requested by the caller is not replaced.
func (s *Service) applyRollouts(r Request, refs []config.VersionRef, denied []string) []option {
	options := make([]option, 0, len(refs))
	for _, ref := range refs {
		o := option{ref: ref}
		switch {
		case r.Version != "":
			o.rollout = s.rolloutOf(ref)
		case s.rollouts != nil:
			o = s.applyRollout(r, ref, refs, denied)
		}
		if !slices.ContainsFunc(options, func(p option) bool { return p.ref == o.ref }) {
			options = append(options, o)
		}
	}
	return options
}

func (s *Service) applyRollout(r Request, ref config.VersionRef, refs []config.VersionRef, denied []string) option {
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
	reserver, ok := s.rollouts.(Reserver)
	return !ok || reserver.Reserve(rollout, requestID, pinned) || pinned
}
