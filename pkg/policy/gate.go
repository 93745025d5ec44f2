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

// Options are the settings of a Gate.
type Options struct {
	// Clock issues and ages tickets; nil means the kernel's clock.
	Clock clock.Clock
}

// Gate implements Checker over the configuration and the marks in force. It
// keeps no state of its own, so a change is effective with the next check.
type Gate struct {
	kernel.Base
	clock   clock.Clock
	source  config.Source
	leaving Leaving
	passed  *metrics.Counter
}

var _ Checker = (*Gate)(nil)

// NewGate returns the gate's service.
func NewGate(o Options) *Gate {
	return &Gate{
		clock:  o.Clock,
		passed: metrics.GetOrCreateCounter("cassiapin_policy_tickets_total"),
	}
}

// Name implements kernel.Service.
func (*Gate) Name() string { return ServiceName }

// Provision implements kernel.Service.
func (g *Gate) Provision(k *kernel.Kernel) error {
	f := kernel.Find(k)
	if g.clock == nil {
		g.clock = k.Clock
	}
	kernel.Require(f, config.SourceServiceName, &g.source)
	kernel.Require(f, runners.ServiceName, &g.leaving)
	return f.Err()
}

// Check implements Checker.
func (g *Gate) Check(a Attempt) (Ticket, error) {
	// The time is taken first, so that the ticket's age includes the check.
	issued := g.clock.Now()
	snapshot, marks := g.source.Current(), g.source.Marks()
	if _, err := admit(snapshot, a.Organisation, a.Class); err != nil {
		return Ticket{}, refused(err)
	}
	if err := checkVersion(snapshot, marks, a); err != nil {
		return Ticket{}, refused(err)
	}
	upstream, err := g.checkUpstream(snapshot, marks, a)
	if err != nil {
		return Ticket{}, refused(err)
	}
	g.passed.Inc()
	return Ticket{attempt: a, config: snapshot.Number, issued: issued, upstream: upstream}, nil
}

// Allowed implements Checker. The versions are in the order of declaration.
// The list is empty, without an error, when no version can be used.
func (g *Gate) Allowed(organisation, class string) ([]config.VersionRef, error) {
	snapshot, marks := g.source.Current(), g.source.Marks()
	org, err := admit(snapshot, organisation, class)
	if err != nil {
		return nil, err
	}
	var refs []config.VersionRef
	for i := range snapshot.Declarations.Models {
		m := &snapshot.Declarations.Models[i]
		for j := range m.Versions {
			ref := config.VersionRef{Model: m.Name, Version: m.Versions[j].Name}
			if org.Allows(ref) && !withdrawn(snapshot, marks, ref) && g.served(snapshot, marks, ref) {
				refs = append(refs, ref)
			}
		}
	}
	return refs, nil
}

// admit checks that there is a configuration in which the organisation may use
// the class. A class that the organisation may not use is reported like an
// undeclared one, so that callers learn nothing of other organisations.
func admit(s *config.Snapshot, organisation, class string) (*config.Organisation, *result.Error) {
	if s == nil {
		return nil, result.New(result.NoConfiguration, "the node has no configuration yet")
	}
	org, ok := s.Organisation(organisation)
	if !ok {
		return nil, result.New(result.ModelNotAllowed, "organisation %q is not declared", organisation)
	}
	if _, ok := s.Class(class); !ok || !org.MayUseClass(class) {
		return nil, result.New(result.UnknownClass, "class %q is not declared for the organisation", class)
	}
	return org, nil
}

func checkVersion(s *config.Snapshot, marks config.Marks, a Attempt) *result.Error {
	org, _ := s.Organisation(a.Organisation)
	if _, ok := s.Version(a.Version); !ok || !org.Allows(a.Version) {
		return result.New(result.ModelNotAllowed, "the organisation may not use %s", a.Version)
	}
	if withdrawn(s, marks, a.Version) {
		return result.New(result.VersionWithdrawn, "%s is withdrawn", a.Version)
	}
	return nil
}

func (g *Gate) checkUpstream(s *config.Snapshot, marks config.Marks, a Attempt) (*config.Upstream, *result.Error) {
	u, ok := s.Upstream(a.Upstream)
	if !ok || !slices.Contains(u.Serves, a.Version) {
		return nil, result.New(result.NoRunner, "the runner does not serve %s", a.Version)
	}
	if marks.DomainOut(u.FailureDomain) {
		return nil, result.New(result.DomainOutOfService, "failure domain %s is taken out", u.FailureDomain)
	}
	if g.leaving.UpstreamLeaving(u.Name) {
		return nil, result.New(result.NoRunner, "the runner is leaving")
	}
	return u, nil
}

// served reports whether a runner of the version stands in a failure domain
// that is not taken out.
func (g *Gate) served(s *config.Snapshot, marks config.Marks, ref config.VersionRef) bool {
	return slices.ContainsFunc(s.Serving(ref), func(u *config.Upstream) bool {
		return !marks.DomainOut(u.FailureDomain)
	})
}

func withdrawn(s *config.Snapshot, marks config.Marks, ref config.VersionRef) bool {
	return s.Withdrawn(ref) || marks.Withdrawn(ref)
}

// refused counts a refusal by its code.
func refused(err *result.Error) error {
	metrics.GetOrCreateCounter(fmt.Sprintf("cassiapin_policy_refusals_total{code=%q}", err.Code)).Inc()
	return err
}
