// Package runners knows the state and load of the model runners, shares it
// between nodes, and issues the permits without which nothing is sent to a
// runner in cold start.
package runners

import (
	"context"
	"time"

	"cassiapin/pkg/config"
)

// ServiceName is the name of the runner table's service.
const ServiceName = "runner.table"

// State is the state of a runner.
type State string

// The states of runners. A runner without a fresh report is Unknown and is
// treated like a cold one.
const (
	Cold    State = "cold"
	Warming State = "warming"
	Warm    State = "warm"
	Leaving State = "leaving"
	Unknown State = "unknown"
)

// Report is what a runner says of its load.
type Report struct {
	Upstream string `json:"upstream" cbor:"1,keyasint"`
	State    State  `json:"state" cbor:"2,keyasint"`
	Running  int    `json:"running" cbor:"3,keyasint"`
	Queued   int    `json:"queued" cbor:"4,keyasint"`
	Capacity int    `json:"capacity" cbor:"5,keyasint"`
	// MaxConcurrency is the number of requests at once that the runner bears now.
	MaxConcurrency int `json:"can_bear" cbor:"6,keyasint"`
	// Versions lists the versions that are loaded.
	Versions []config.VersionRef `json:"versions" cbor:"7,keyasint"`
	// Epoch is the owner's fencing number, Sequence counts its reports;
	// receivers ignore a lower pair.
	Epoch    uint64 `json:"epoch,omitempty" cbor:"8,keyasint,omitempty"`
	Sequence uint64 `json:"sequence,omitempty" cbor:"9,keyasint,omitempty"`
	// AgeMS is the time since the runner was asked, when the owner sends it.
	AgeMS int64 `json:"age_ms,omitempty" cbor:"10,keyasint,omitempty"`
}

// Candidate is a runner as the balancer sees it. Candidates are values, so
// that a decision does not allocate.
type Candidate struct {
	Upstream *config.Upstream
	State    State
	// Reported is running plus queued requests of the last report.
	Reported int
	Capacity int
	// Outstanding is the number of this node's open requests to the runner.
	Outstanding int
	// Limit is this node's adaptive concurrency limit for the runner.
	Limit int
	// Weight in (0,1] ramps up after a return.
	Weight float64
	// HalfOpen marks an ejected runner that may get one probe request.
	HalfOpen bool
}

// Outcome is how an attempt ended, for limits and ejection.
type Outcome struct {
	Failed bool
	// Cold says that the runner gave a sign of cold start.
	Cold      bool
	FirstByte time.Duration
	Total     time.Duration
}

// Slot is the right to have one request open at a runner. Done must be called
// exactly once. Context ends when a cold-start permit expires.
type Slot interface {
	Done(o Outcome)
	Context() context.Context
}

// Table is the runner table as other services see it.
type Table interface {
	// Candidates appends this node's usable runners for the version to dst:
	// not leaving, not ejected (half-open ones included), in a failure domain
	// that is not taken out, loaded with the version. With otherRegions false
	// only runners of the node's own region are given.
	Candidates(dst []Candidate, ref config.VersionRef, otherRegions bool) []Candidate
	// Acquire takes a slot: for a warm runner within the node's adaptive
	// limit, for any other with a permit from the runner's owner. It does not
	// wait for capacity; it fails with result.ColdLimited or
	// result.TooManyRequests.
	Acquire(ctx context.Context, upstream string) (Slot, error)
	// UpstreamLeaving reports whether the upstream is leaving.
	UpstreamLeaving(name string) bool
	// Status lists what the node knows of each runner, for operators.
	Status() []RunnerStatus
	// Changed returns a channel that is closed at the next change that can
	// make a runner usable (slot returned, state change).
	Changed() <-chan struct{}
}

// Ownership tells whether this node owns a runner; the table implements it.
type Ownership interface {
	// Owner returns the fencing number under which this node may give orders
	// to the runner. ok is false unless the node's lease is certainly held at
	// this moment; callers ask immediately before each act.
	Owner(upstream string) (epoch uint64, ok bool)
}

// RunnerStatus is one row of the operators' view.
type RunnerStatus struct {
	Report      Report        `json:"report"`
	Age         time.Duration `json:"age_ns"`
	Owner       string        `json:"owner"`
	Outstanding int           `json:"outstanding"`
	Limit       int           `json:"limit"`
	Ejected     bool          `json:"ejected"`
}
