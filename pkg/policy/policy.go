// Package policy decides whether an attempt may be sent. Every attempt, including
// retries and cascade steps, is checked with Service.Check immediately before it
// is sent.
package policy

import (
	"time"

	"cassiapin/pkg/config"
)

// ServiceName is the name of the policy service.
const ServiceName = "route.policy"

// TicketLifetime is how long a ticket is valid. It bounds how long a decision
// based on an older configuration can still start new work.
const TicketLifetime = 100 * time.Millisecond

// Attempt describes an attempt to be authorized.
type Attempt struct {
	RequestID    string
	AttemptID    string
	Organisation string
	Class        string
	Session      string
	Version      config.VersionRef
	// Upstream is the runner's name.
	Upstream string
}

// Ticket is the authorization to send one attempt. Only Service issues valid
// tickets.
type Ticket struct {
	attempt  Attempt
	config   uint64
	issued   time.Time
	upstream *config.Upstream
}

// Attempt returns the attempt for which the ticket was issued.
func (t Ticket) Attempt() Attempt { return t.attempt }

// Config returns the number of the configuration used for the decision.
func (t Ticket) Config() uint64 { return t.config }

// Upstream returns the declaration of the runner, nil for an invalid ticket.
func (t Ticket) Upstream() *config.Upstream { return t.upstream }

// Valid reports whether the ticket was issued by a Service and is not older than
// TicketLifetime at the given time.
func (t Ticket) Valid(now time.Time) bool {
	return t.upstream != nil && now.Sub(t.issued) <= TicketLifetime
}

// UpstreamStatus reports whether an upstream is leaving and must get no new
// requests. The runner table implements it.
type UpstreamStatus interface {
	UpstreamLeaving(name string) bool
}

// Checker authorizes attempts. Check fails with result.NoConfiguration,
// ModelNotAllowed, UnknownClass, VersionWithdrawn, DomainOutOfService or
// NoRunner (unknown or leaving upstream, or one that does not serve the
// version).
type Checker interface {
	Check(a Attempt) (Ticket, error)
	// Allowed lists the versions that the organisation may currently use for
	// the class: allowed, not withdrawn, and served by at least one upstream in
	// a failure domain that is not out of service.
	Allowed(organisation, class string) ([]config.VersionRef, error)
}
