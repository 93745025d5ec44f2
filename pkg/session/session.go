// Package session keeps the model version of a caller's session.
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
	// Pinned is the version that the session has, zero for a new one.
	Pinned config.VersionRef
	// BindingLost says that the name may have had a version that no session home
	// knows any more, so the caller may see another version than before.
	BindingLost bool
	// Cohort in [0,1) is the session's place in rollouts.
	Cohort float64
	// Name is set when the caller chose a name instead of using a token.
	Name string
}

// Manager resolves and binds sessions.
type Manager interface {
	// Resolve reads the value of the Cassiapin-Session header; an empty value
	// gives a request without a session. It fails with result.BadSession.
	Resolve(ctx context.Context, organisation, class, header string) (Session, error)
	// Bind pins the session to the version and returns the value to send back
	// in the response header. For a named session a version bound earlier by
	// another request wins and is returned as actual.
	Bind(ctx context.Context, organisation, class string, s Session, ref config.VersionRef) (header string, actual config.VersionRef, err error)
}
