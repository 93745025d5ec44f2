// Package limits enforces limits shared by all nodes. Each node applies a share
// of them that keeps the total within the limit even if nodes cannot
// communicate.
package limits

import (
	"sync"
	"time"

	"cassiapin/pkg/clock"
)

// RetryOptions limit the repeated sends of all nodes together: in any window, to
// Ratio times the first sends plus Extra.
type RetryOptions struct {
	Ratio, Extra float64
	Window       time.Duration
}

const (
	// retryBuckets is the number of buckets of the sliding window.
	retryBuckets = 20
	// retrySafetyFactor is the share of the budget that is used. The rest covers
	// requests that were counted in one window but reached the service in the
	// next.
	retrySafetyFactor = 0.85
	// escalationShare is the share of the usable budget up to which escalations
	// are allowed; the rest is reserved for failed requests.
	escalationShare = 0.8
)

// Purpose is the reason for a repeated send.
type Purpose int

// The purposes of a repeated send.
const (
	// Recovery repeats a request that failed.
	Recovery Purpose = iota
	// Escalation sends a request to a larger model.
	Escalation
)

// String returns the label of the purpose in metrics.
func (p Purpose) String() string { return [...]string{"recovery", "escalation"}[p] }

// RetryBudget is the retry budget of one node: Ratio times its own requests plus
// its share of Extra, so it scales with the load. Callers' own retries count as
// requests; in a retry storm of callers, other requests have only Extra left.
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
// nodes that share Extra.
func NewRetryBudget(o RetryOptions, c clock.Clock, nodes func() int) *RetryBudget {
	return &RetryBudget{opts: o, clock: c, nodes: nodes, services: make(map[string]*retryWindow)}
}

// CountRequest counts a request for a service.
func (b *RetryBudget) CountRequest(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.window(service).requests[0]++
}

// Take counts a repeated send if the budget allows it.
func (b *RetryBudget) Take(service string, p Purpose) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(service)
	allowed, repeats := b.budget(w)
	if p == Escalation {
		allowed *= escalationShare
	}
	if repeats+1 > allowed {
		return false
	}
	w.repeats[0]++
	return true
}

// budget returns the repeated sends that the window allows and those counted in
// it.
func (b *RetryBudget) budget(w *retryWindow) (allowed, repeats float64) {
	var requests float64
	for i := range retryBuckets {
		requests += w.requests[i]
		repeats += w.repeats[i]
	}
	return retrySafetyFactor * (b.opts.Ratio*requests + b.opts.Extra/float64(max(b.nodes(), 1))), repeats
}

// Remaining returns the lowest remaining budget of any service.
func (b *RetryBudget) Remaining() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	least := retrySafetyFactor * b.opts.Extra / float64(max(b.nodes(), 1))
	for service := range b.services {
		allowed, repeats := b.budget(b.window(service))
		least = min(least, allowed-repeats)
	}
	return least
}

// window returns the service's window, advanced to the current time.
func (b *RetryBudget) window(service string) *retryWindow {
	w := b.services[service]
	now := b.clock.Now()
	if w == nil {
		w = &retryWindow{start: now}
		b.services[service] = w
	}
	width := b.opts.Window / retryBuckets
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
