// Package balance chooses the runner for one attempt.
package balance

import (
	"cassiapin/pkg/config"
	"cassiapin/pkg/runners"
)

// ServiceName is the service name of the balancer.
const ServiceName = "route.balance"

// Request has the properties of a request that the choice depends on.
type Request struct {
	Version config.VersionRef
	// Prefix is the hash of the prompt's prefix, 0 when there is none.
	Prefix       uint64
	PromptTokens int
	// Avoid is a runner that failed an earlier attempt of the same request.
	Avoid string
	// Bytes is the expected traffic in bytes, for the budget of the region link.
	Bytes int64
	// Seed breaks ties.
	Seed uint64
	// Reserve is the share of each runner's capacity, in [0,1), that the request
	// must leave free for more urgent ones.
	Reserve float64

	// nodes is the number of nodes that share the runners of this region.
	nodes int
}

// Chooser chooses a runner. It fails with result.NoRunner, ColdStartLimited,
// TooManyRequests or LinkBudgetExhausted.
type Chooser interface {
	Choose(r Request) (runners.Candidate, error)
	// RecordSent records that a request with the prefix was sent to the runner.
	RecordSent(prefix uint64, upstream string)
}
