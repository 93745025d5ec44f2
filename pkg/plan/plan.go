// Package plan chooses the model version for a request, or a cascade that tries
// a cheap version first and escalates to a better one.
package plan

import (
	"time"

	"cassiapin/pkg/config"
)

// ServiceName is the name of the planner's service.
const ServiceName = "route.plan"

// Step is one step of a plan.
type Step struct {
	Version config.VersionRef
	// Accept is the lowest check score that accepts the step's answer. It is 0
	// for the last step, which is always accepted.
	Accept float64
}

// Plan is an ordered list of steps and what is expected of them.
type Plan struct {
	Steps []Step
	Check config.CheckKind
	// Explore marks a plan that was chosen to improve estimates.
	Explore bool
	// Cost, Quality and Time are the expected values.
	Cost    float64
	Quality float64
	Time    time.Duration
	// MovedFrom is the version to which the session was bound, if that version
	// is withdrawn.
	MovedFrom config.VersionRef
	// Rollout is the id of the rollout that selected a version, if any.
	Rollout string
}

// Request is the input of a planning decision.
type Request struct {
	RequestID    string
	Organisation string
	Class        *config.Class
	// Allowed are the versions that policy currently allows.
	Allowed []config.VersionRef
	// Model and Version restrict the choice if the caller requested them.
	Model   string
	Version string
	// Session reports that the request belongs to a session, whose later
	// requests keep the version chosen for this one.
	Session bool
	// Pinned is the version to which the session is bound, or zero.
	Pinned config.VersionRef
	// Cohort in [0,1) assigns the session, or a request without a session, to
	// a version during rollouts.
	Cohort       float64
	PromptTokens int
	// Remaining is the time left to the deadline.
	Remaining time.Duration
}

// Planner plans requests. Plan fails with result.NoConfiguration,
// ModelNotAllowed, VersionWithdrawn (for a requested version), NoRunner or
// DeadlineUnmeetable.
type Planner interface {
	Plan(r Request) (Plan, error)
	// Heuristic scores an answer in [0,1] without the rating service.
	Heuristic(prompt, answer string) float64
}

// Rollouts maps versions to the versions that a cohort uses.
type Rollouts interface {
	// Assign returns the version that the cohort uses in place of ref during a
	// rollout of the model. The second result is the id of the rollout if that
	// is the new version, and "" otherwise.
	Assign(ref config.VersionRef, cohort float64) (config.VersionRef, string)
}
