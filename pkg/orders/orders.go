// Package orders sends runners orders to load and unload versions.
//
// Only the owner of a runner's shard sends orders, with the epoch of its lease
// as fencing number, and it first records the desired state at orders/RUNNER.
// An engine that ignores fencing may obey an earlier owner that was paused;
// orders are therefore idempotent and repeated until the runner reports the
// desired state, so that the last owner wins.
package orders

import (
	"context"
	"slices"
	"strings"
	"time"

	"cassiapin/pkg/config"
)

// ServiceName is the service name of the orders service.
const ServiceName = "runner.orders"

// RecordPrefix is the key prefix of the records in the object store.
const RecordPrefix = "orders/"

// Action is the action of an order.
type Action string

// The actions.
const (
	Load   Action = "load"
	Unload Action = "unload"
)

// Order is the body of an order as the engine receives it.
type Order struct {
	Action  Action            `json:"action"`
	Version config.VersionRef `json:"version"`
}

// Record is the value at orders/RUNNER.
type Record struct {
	Runner string `json:"runner"`
	Node   string `json:"node"`
	// Epoch is the fencing number of the owner that wrote the record.
	Epoch uint64 `json:"epoch"`
	// Versions lists the versions that the runner should have loaded.
	Versions []config.VersionRef `json:"versions"`
	// AttemptID identifies the write if its response is lost.
	AttemptID string `json:"attempt"`
}

// Sender sends one order; a nil error means that the runner accepted it.
type Sender func(ctx context.Context, u *config.Upstream, o Order, epoch uint64) error

// desired returns the versions that the runner should have loaded, sorted.
func desired(u *config.Upstream, s *config.Snapshot, marks config.Marks) []config.VersionRef {
	var want []config.VersionRef
	for _, ref := range u.Serves {
		if !s.Withdrawn(ref) && !marks.Withdrawn(ref) {
			want = append(want, ref)
		}
	}
	slices.SortFunc(want, func(a, b config.VersionRef) int { return strings.Compare(a.String(), b.String()) })
	return slices.Compact(want)
}

// difference returns the orders that turn the loaded versions into the wanted
// ones.
func difference(loaded, wanted []config.VersionRef) []Order {
	var out []Order
	for _, ref := range wanted {
		if !slices.Contains(loaded, ref) {
			out = append(out, Order{Action: Load, Version: ref})
		}
	}
	for _, ref := range loaded {
		if !slices.Contains(wanted, ref) {
			out = append(out, Order{Action: Unload, Version: ref})
		}
	}
	return out
}

// defaultUnloadDelay applies if no request class with a deadline is declared.
const defaultUnloadDelay = 2 * time.Minute

// unloadDelay returns the longest time that a request started before the
// withdrawal of its version may still run.
func unloadDelay(s *config.Snapshot) time.Duration {
	longest := time.Duration(0)
	for i := range s.Declarations.Classes {
		longest = max(longest, s.Declarations.Classes[i].Deadline.Std())
	}
	if longest == 0 {
		return defaultUnloadDelay
	}
	return longest
}
