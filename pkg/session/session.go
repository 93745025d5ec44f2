// Package session pins a caller's session to a model version. The version is
// stored in a signed token or, for a session named by the caller, on two nodes,
// the session homes of the name.
package session

import (
	"context"

	"cassiapin/pkg/config"
)

// ServiceName is the name of the session service.
const ServiceName = "route.session"

// Session is a resolved session.
type Session struct {
	// ID identifies the session in events; empty without a session.
	ID string
	// Pinned is the version of the session, zero for a new session.
	Pinned config.VersionRef
	// BindingLost reports that the name may have been bound to a version that
	// no session home has any more, so the caller may see a different version.
	BindingLost bool
	// Cohort in [0,1) is the session's position in rollouts.
	Cohort float64
	// Name is set if the caller chose a name instead of using a token.
	Name string
}

// Manager resolves and binds sessions.
type Manager interface {
	// Resolve parses the value of the Cassiapin-Session header; an empty value
	// means a request without a session. It fails with result.BadSession.
	Resolve(ctx context.Context, organisation, class, header string) (Session, error)
	// Bind pins the session to the version and returns the value for the
	// response header. For a named session, a version bound earlier by another
	// request wins and is returned as actual.
	Bind(ctx context.Context, organisation, class string, s Session, ref config.VersionRef) (header string, actual config.VersionRef, err error)
}
