// Package limits keeps the limits that all nodes share, by a share for each
// node that is safe when no node hears from another.
package limits

import (
	"sync"
	"time"

	"cassiapin/pkg/clock"
)

// RetryOptions bound the repeated sends of all nodes together: in any window,
// at most Ratio times the first sends plus Extra.
type RetryOptions struct {
	Ratio, Extra float64
	Window       time.Duration
}

const (
	// retryBuckets is the precision of the sliding window.
	retryBuckets = 20
	// retrySafetyFactor is the part of the budget that is used. The rest covers
	// requests that were counted but reached the service in the next window.
	retrySafetyFactor = 0.85
	// escalationShare is the part of the usable budget that cascades may fill;
	// the rest is left to requests that failed.
	escalationShare = 0.8
)

// Purpose says why a request is sent once more.
type Purpose int

// The purposes of a repeated send.
const (
	// Recovery repeats a request that failed.
	Recovery Purpose = iota
	// Escalation asks a better model.
	Escalation
)

// String names the purpose in metrics.
func (p Purpose) String() string { return [...]string{"recovery", "escalation"}[p] }

// RetryBudget is the retry budget of one node. A node may repeat by the ratio of
// its own requests, and by its share of the fixed part. It serves loads of any
// size; under a storm of impatient callers the fixed part is what is left to
// others, because callers' own retries count as requests.
type RetryBudget struct {
	opts  RetryOptions
	clock clock.Clock
	nodes func() int

	mu       sync.Mutex
	services map[string]*retryWindow
}

type retryWindow struct {
	start    time.Time
	requests [retryBuckets]float64
	repeats  [retryBuckets]float64
}

// NewRetryBudget returns a budget without history. nodes returns the number of
// nodes that share the fixed part.
func NewRetryBudget(o RetryOptions, c clock.Clock, nodes func() int) *RetryBudget {
	return &RetryBudget{opts: o, clock: c, nodes: nodes, services: make(map[string]*retryWindow)}
}

// CountRequest counts a request for a service.
func (r *RetryBudget) CountRequest(service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.window(service).requests[0]++
}

// Take counts a repeated send if the budget allows it.
func (r *RetryBudget) Take(service string, p Purpose) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	w := r.window(service)
	allowed, repeats := r.budget(w)
	if p == Escalation {
		allowed *= escalationShare
	}
	if repeats+1 > allowed {
		return false
	}
	w.repeats[0]++
	return true
}

// budget returns how many repeats the window allows and how many it has.
func (r *RetryBudget) budget(w *retryWindow) (allowed, repeats float64) {
	var requests float64
	for i := range retryBuckets {
		requests += w.requests[i]
		repeats += w.repeats[i]
	}
	return retrySafetyFactor * (r.opts.Ratio*requests + r.opts.Extra/float64(max(r.nodes(), 1))), repeats
}

// Remaining is the number of repeats that are left to the service with the fewest.
func (r *RetryBudget) Remaining() float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	least := retrySafetyFactor * r.opts.Extra / float64(max(r.nodes(), 1))
	for service := range r.services {
		allowed, repeats := r.budget(r.window(service))
		least = min(least, allowed-repeats)
	}
	return least
}

// window returns the service's window, moved to the present.
func (r *RetryBudget) window(service string) *retryWindow {
	w := r.services[service]
	now := r.clock.Now()
	if w == nil {
		w = &retryWindow{start: now}
		r.services[service] = w
	}
	width := r.opts.Window / retryBuckets
	steps := int(now.Sub(w.start) / width)
	if steps <= 0 {
		return w
	}
	w.start = w.start.Add(time.Duration(steps) * width)
	steps = min(steps, retryBuckets)
	copy(w.requests[steps:], w.requests[:retryBuckets-steps])
	copy(w.repeats[steps:], w.repeats[:retryBuckets-steps])
	clear(w.requests[:steps])
	clear(w.repeats[:steps])
	return w
}
