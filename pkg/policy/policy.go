// Package policy decides whether one attempt may be sent. Every first attempt,
// retry, cascade step and hedge passes Gate.Check immediately before it is
// sent.
package policy

import (
	"time"

	"cassiapin/pkg/config"
)

// ServiceName is the name of the gate's service.
const ServiceName = "route.policy"

// TicketLifetime is the time in which a ticket may be used. It bounds how long
// a decision made under an older configuration can still start new work.
const TicketLifetime = 100 * time.Millisecond

// Attempt is what the gate decides on.
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

// Ticket is the permission to send one attempt. Only Gate creates valid ones.
type Ticket struct {
	attempt  Attempt
	config   uint64
	issued   time.Time
	upstream *config.Upstream
}

// Attempt returns what the ticket was issued for.
func (t Ticket) Attempt() Attempt { return t.attempt }

// Config returns the number of the configuration that the decision used.
func (t Ticket) Config() uint64 { return t.config }

// Upstream returns the declaration of the runner, nil for an invalid ticket.
func (t Ticket) Upstream() *config.Upstream { return t.upstream }

// Valid reports whether the ticket was issued by a gate and is not older than
// TicketLifetime at the given time.
func (t Ticket) Valid(now time.Time) bool {
	return t.upstream != nil && now.Sub(t.issued) <= TicketLifetime
}

// UpstreamStatus tells whether an upstream is leaving; the runner table implements it.
type UpstreamStatus interface {
	UpstreamLeaving(name string) bool
}

// Checker is the gate as other services see it. Check fails with
// result.NoConfiguration, ModelNotAllowed, UnknownClass, VersionWithdrawn,
// DomainOut or NoRunner (unknown or leaving upstream, or one that does not
// serve the version).
type Checker interface {
	Check(a Attempt) (Ticket, error)
	// Allowed lists the versions that the organisation may use for the class
	// at this moment: allowed, not withdrawn, and served by at least one
	// upstream in a failure domain that is not taken out.
	Allowed(organisation, class string) ([]config.VersionRef, error)
}
