package policy

import (
	"fmt"
	"slices"

	"github.com/VictoriaMetrics/metrics"

	"cassiapin/pkg/clock"
	"cassiapin/pkg/config"
	"cassiapin/pkg/kernel"
	"cassiapin/pkg/result"
	"cassiapin/pkg/runners"
)

// Options configure a Service.
type Options struct {
	// Clock dates tickets; nil means the kernel's clock.
	Clock clock.Clock
}

// Service implements Checker. It evaluates the current configuration and marks
// and caches nothing, so a change takes effect with the next check.
type Service struct {
	kernel.Base
	clock         clock.Clock
	source        config.Source
	upstreams     UpstreamStatus
	ticketsIssued *metrics.Counter
}

var _ Checker = (*Service)(nil)

// NewService returns the policy service.
func NewService(o Options) *Service {
	return &Service{
		clock:         o.Clock,
		ticketsIssued: metrics.GetOrCreateCounter("cassiapin_policy_tickets_total"),
	}
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
	kernel.Require(f, runners.ServiceName, &s.upstreams)
	return f.Err()
}

// Check implements Checker.
func (s *Service) Check(a Attempt) (Ticket, error) {
	// Read the clock first, so that the ticket's age includes the check.
	issued := s.clock.Now()
	snapshot, marks := s.source.Current(), s.source.Marks()
	if _, err := authorizeClass(snapshot, a.Organisation, a.Class); err != nil {
		return Ticket{}, countRefusal(err)
	}
	if err := checkVersion(snapshot, marks, a); err != nil {
		return Ticket{}, countRefusal(err)
	}
	upstream, err := s.checkUpstream(snapshot, marks, a)
	if err != nil {
		return Ticket{}, countRefusal(err)
	}
	s.ticketsIssued.Inc()
	return Ticket{attempt: a, config: snapshot.Number, issued: issued, upstream: upstream}, nil
}

// Allowed implements Checker. The versions are in declaration order. If no
// version can be used, the list is empty and the error nil.
func (s *Service) Allowed(organisation, class string) ([]config.VersionRef, error) {
	snapshot, marks := s.source.Current(), s.source.Marks()
	org, err := authorizeClass(snapshot, organisation, class)
	if err != nil {
		return nil, err
	}
	var refs []config.VersionRef
	for i := range snapshot.Declarations.Models {
		m := &snapshot.Declarations.Models[i]
		for j := range m.Versions {
			ref := config.VersionRef{Model: m.Name, Version: m.Versions[j].Name}
			if org.Allows(ref) && !withdrawn(snapshot, marks, ref) && s.servedInUsableDomain(snapshot, marks, ref) {
				refs = append(refs, ref)
			}
		}
	}
	return refs, nil
}

// authorizeClass checks that a configuration is loaded and allows the
// organisation to use the class. A class that it may not use is reported like an
// undeclared one, so that callers learn nothing about other organisations.
func authorizeClass(snapshot *config.Snapshot, organisation, class string) (*config.Organisation, *result.Error) {
	if snapshot == nil {
		return nil, result.New(result.NoConfiguration, "the node has no configuration yet")
	}
	org, ok := snapshot.Organisation(organisation)
	if !ok {
		return nil, result.New(result.ModelNotAllowed, "organisation %q is not declared", organisation)
	}
	if _, ok := snapshot.Class(class); !ok || !org.MayUseClass(class) {
		return nil, result.New(result.UnknownClass, "class %q is not declared for the organisation", class)
	}
	return org, nil
}

func checkVersion(snapshot *config.Snapshot, marks config.Marks, a Attempt) *result.Error {
	org, _ := snapshot.Organisation(a.Organisation)
	if _, ok := snapshot.Version(a.Version); !ok || !org.Allows(a.Version) {
		return result.New(result.ModelNotAllowed, "the organisation may not use %s", a.Version)
	}
	if withdrawn(snapshot, marks, a.Version) {
		return result.New(result.VersionWithdrawn, "%s is withdrawn", a.Version)
	}
	return nil
}

func (s *Service) checkUpstream(snapshot *config.Snapshot, marks config.Marks, a Attempt) (*config.Upstream, *result.Error) {
	u, ok := snapshot.Upstream(a.Upstream)
	if !ok || !slices.Contains(u.Serves, a.Version) {
		return nil, result.New(result.NoRunner, "the runner does not serve %s", a.Version)
	}
	if marks.DomainOut(u.FailureDomain) {
		return nil, result.New(result.DomainOutOfService, "failure domain %s is taken out", u.FailureDomain)
	}
	if s.upstreams.UpstreamLeaving(u.Name) {
		return nil, result.New(result.NoRunner, "the runner is leaving")
	}
	return u, nil
}

// servedInUsableDomain reports whether a runner of the version is in a failure
// domain that is not out of service.
func (s *Service) servedInUsableDomain(snapshot *config.Snapshot, marks config.Marks, ref config.VersionRef) bool {
	return slices.ContainsFunc(snapshot.Serving(ref), func(u *config.Upstream) bool {
		return !marks.DomainOut(u.FailureDomain)
	})
}

func withdrawn(snapshot *config.Snapshot, marks config.Marks, ref config.VersionRef) bool {
	return snapshot.Withdrawn(ref) || marks.Withdrawn(ref)
}

// countRefusal counts a refusal by code and returns it.
func countRefusal(err *result.Error) error {
	metrics.GetOrCreateCounter(fmt.Sprintf("cassiapin_policy_refusals_total{code=%q}", err.Code)).Inc()
	return err
}
