// Package runners tracks the state and load of the model runners, shares them
// between nodes, and issues the permits that requests to a runner in cold start
// require.
//
// The runners of a region are divided into shards. The node that holds the lease
// of a shard owns its runners: it polls them, sends reports to the nodes that
// subscribe to them, and grants their permits.
package runners

import (
	"context"
	"time"

	"cassiapin/pkg/config"
)

// ServiceName is the service name of the runner table.
const ServiceName = "runner.table"

// State is the state of a runner.
type State string

// States of runners. A runner without a fresh report is Unknown and is treated
// as cold.
const (
	Cold    State = "cold"
	Warming State = "warming"
	Warm    State = "warm"
	Leaving State = "leaving"
	Unknown State = "unknown"
)

// Report is a runner's report of its state and load.
type Report struct {
	Upstream string `json:"upstream" cbor:"1,keyasint"`
	State    State  `json:"state" cbor:"2,keyasint"`
	Running  int    `json:"running" cbor:"3,keyasint"`
	Queued   int    `json:"queued" cbor:"4,keyasint"`
	Capacity int    `json:"capacity" cbor:"5,keyasint"`
	// MaxConcurrency is the number of concurrent requests that the runner can
	// handle in its current state.
	MaxConcurrency int `json:"can_bear" cbor:"6,keyasint"`
	// Versions lists the loaded versions.
	Versions []config.VersionRef `json:"versions" cbor:"7,keyasint"`
	// Epoch is the owner's fencing number and Sequence counts its reports;
	// receivers ignore a report unless the pair is higher than the last.
	Epoch    uint64 `json:"epoch,omitempty" cbor:"8,keyasint,omitempty"`
	Sequence uint64 `json:"sequence,omitempty" cbor:"9,keyasint,omitempty"`
	// AgeMS is the time in ms from the poll of the runner until the owner sent
	// the report.
	AgeMS int64 `json:"age_ms,omitempty" cbor:"10,keyasint,omitempty"`
}

// Candidate is the balancer's view of a runner. Candidates are passed by value,
// so that a choice does not allocate.
type Candidate struct {
	Upstream *config.Upstream
	State    State
	// Reported is the number of running and queued requests in the last report.
	Reported int
	Capacity int
	// Outstanding is the number of this node's open requests to the runner.
	Outstanding int
	// Limit is this node's adaptive concurrency limit for the runner.
	Limit int
	// Weight in (0,1] rises after the runner returns to service.
	Weight float64
	// HalfOpen marks an ejected runner that may receive one probe request.
	HalfOpen bool
}

// Outcome is the result of an attempt, as input for the limit and ejection.
type Outcome struct {
	Failed bool
	// Cold reports that the attempt detected a cold start of the runner.
	Cold      bool
	FirstByte time.Duration
	Total     time.Duration
}

// Slot allows one open request at a runner. Done must be called exactly once.
// Context is cancelled when a cold-start permit expires.
type Slot interface {
	Done(o Outcome)
	Context() context.Context
}

// Table is the interface of the runner table to other services.
type Table interface {
	// Candidates appends this node's usable runners for the version to dst:
	// those that are not leaving, not ejected unless half-open, not in a failure
	// domain marked as out of service, and not known to lack the version. Runners
	// of other regions are included only if otherRegions is true.
	Candidates(dst []Candidate, ref config.VersionRef, otherRegions bool) []Candidate
	// Acquire acquires a slot: at a warm runner within the node's adaptive limit,
	// at any other with a permit from the runner's owner. It does not wait for
	// capacity, but fails with result.ColdStartLimited or result.TooManyRequests.
	Acquire(ctx context.Context, upstream string) (Slot, error)
	// UpstreamLeaving reports whether the upstream is leaving.
	UpstreamLeaving(name string) bool
	// Reopens returns when the first runner of the version ends its refusal of
	// requests; refusing is false if some runner does not refuse, or if there is
	// none.
	Reopens(ref config.VersionRef) (at time.Time, refusing bool)
	// Status returns the state of each runner as known to this node, for operators.
	Status() []RunnerStatus
	// Changed returns a channel that is closed at the next change that may make
	// a runner usable, such as a returned slot or a state change.
	Changed() <-chan struct{}
}

// Ownership reports whether this node owns a runner; the table implements it.
type Ownership interface {
	// Owner returns the fencing number for this node's orders to the runner. ok is
	// false unless the node's lease is certainly held at the time of the call;
	// callers must call it immediately before each order.
	Owner(upstream string) (epoch uint64, ok bool)
}

// RunnerStatus is the state of one runner as shown to operators.
type RunnerStatus struct {
	Report      Report        `json:"report"`
	Age         time.Duration `json:"age_ns"`
	Owner       string        `json:"owner"`
	Outstanding int           `json:"outstanding"`
	Limit       int           `json:"limit"`
	Ejected     bool          `json:"ejected"`
}
