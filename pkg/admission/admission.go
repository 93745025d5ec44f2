// Package admission admits, queues or refuses requests, so that a burst from one
// organisation or class does not block the others.
package admission

import (
	"context"
	"time"
)

// ServiceName is the name of the admission service.
const ServiceName = "route.admission"

// Request describes a request to be admitted.
type Request struct {
	Organisation string
	Weight       float64
	Class        string
	Priority     int
	// Deadline is the time by which the answer must be complete.
	Deadline time.Time
	// Expected is the estimated processing time without queueing.
	Expected time.Duration
}

// Admitter admits requests.
type Admitter interface {
	// Admit waits until the request may start and returns a release function,
	// which must be called once when the request has ended. It fails with
	// result.QueueFull, DeadlineUnmeetable (with a retry-after time),
	// TooManyRequests or CallerCancelled, all with run state not_run.
	Admit(ctx context.Context, r Request) (release func(), err error)
	// MayRetry takes one retry from the retry budget and reports whether the
	// budget allowed it.
	MayRetry() bool
	// SetConcurrency sets how many requests may be in flight at once. It is
	// called when the capacity of the runners changes.
	SetConcurrency(n int)
}
