// Package timeline records typed events of a process in a ring buffer. Events
// have hybrid logical clock timestamps, so that those of several processes can
// be merged in causal order.
package timeline

import (
	"cmp"
	"slices"
	"sync"

	"cassiapin/pkg/clock"
)

// Kind names the type of an event.
type Kind string

// The kinds of events.
const (
	RequestReceived     Kind = "request.received"
	RequestRefused      Kind = "request.refused"
	RequestAnswered     Kind = "request.answered"
	RequestFailed       Kind = "request.failed"
	AttemptSent         Kind = "attempt.sent"
	AttemptEnded        Kind = "attempt.ended"
	SessionMoved        Kind = "session.moved"
	BillRecorded        Kind = "billing.recorded"
	BillsFlushed        Kind = "billing.flushed"
	BillsReplayed       Kind = "billing.replayed"
	IdempotencyStarted  Kind = "once.started"
	IdempotencyDone     Kind = "once.done"
	IdempotencyUnknown  Kind = "once.unknown"
	ConfigActivated     Kind = "config.in_force"
	ConfigRefused       Kind = "config.refused"
	MarkSet             Kind = "mark.set"
	MemberState         Kind = "member.state"
	NodeIsolated        Kind = "node.isolated"
	NodeReady           Kind = "node.ready"
	NodeLeaving         Kind = "node.leaving"
	LeaseAcquired       Kind = "lease.acquired"
	LeaseLost           Kind = "lease.lost"
	LeaseReleased       Kind = "lease.released"
	RunnerState         Kind = "runner.state"
	RunnerEjected       Kind = "runner.ejected"
	RunnerRestored      Kind = "runner.restored"
	PermitGranted       Kind = "permit.granted"
	PermitReturned      Kind = "permit.returned"
	PermitExpired       Kind = "permit.expired"
	RolloutStep         Kind = "rollout.step"
	RolloutHalted       Kind = "rollout.halted"
	RolloutFinished     Kind = "rollout.finished"
	OrderIssued         Kind = "order.given"
	PlatformUnavailable Kind = "platform.away"
	PlatformRecovered   Kind = "platform.back"
	ConnectionSilent    Kind = "connection.silent"
	KeysRotated         Kind = "keys.rotated"
	OverloadStarted     Kind = "overload.started"
	OverloadEnded       Kind = "overload.ended"
	LinkBudgetReached   Kind = "link.budget_reached"
)

// Event is one recorded event. Fields that do not apply are empty.
type Event struct {
	Stamp clock.Stamp `json:"stamp"`
	// Node is the id of the process; Recorder.Record sets it.
	Node   string `json:"node"`
	Kind   Kind   `json:"kind"`
	Domain string `json:"domain,omitempty"`
	// Request is the request id.
	Request string `json:"request,omitempty"`
	// AttemptID identifies one attempt of the request.
	AttemptID    string `json:"attempt,omitempty"`
	Organisation string `json:"organisation,omitempty"`
	Class        string `json:"class,omitempty"`
	// Upstream is the name of a runner or of a plain service.
	Upstream string `json:"upstream,omitempty"`
	Model    string `json:"model,omitempty"`
	Version  string `json:"version,omitempty"`
	Session  string `json:"session,omitempty"`
	// Config is the number of the configuration that a decision used.
	Config uint64 `json:"config,omitempty"`
	// Epoch is a fencing token.
	Epoch uint64 `json:"epoch,omitempty"`
	// Code is the numeric result code of a rejection or failure.
	Code int `json:"code,omitempty"`
	// Run is the run state of a rejection or failure.
	Run string `json:"run,omitempty"`
	// Detail is free text for operators; it is never parsed.
	Detail string `json:"detail,omitempty"`
}

// Recorder accepts events. Implementations never block.
type Recorder interface {
	Record(e Event)
}

// Discard is a Recorder that drops all events.
type Discard struct{}

// Record drops the event.
func (Discard) Record(Event) {}

// Ring is a Recorder that keeps the latest events in a ring buffer.
type Ring struct {
	node string
	hlc  *clock.HLC

	mu      sync.Mutex
	events  []Event
	next    int
	full    bool
	dropped uint64
}

// NewRing returns a ring for the given node that keeps capacity events.
func NewRing(node string, hlc *clock.HLC, capacity int) *Ring {
	return &Ring{node: node, hlc: hlc, events: make([]Event, capacity)}
}

// Record sets the timestamp of the event and stores it, overwriting the oldest
// event when the ring is full.
func (r *Ring) Record(e Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	// The timestamp is taken under the lock to keep the ring in its order.
	e.Stamp = r.hlc.Next()
	e.Node = r.node
	if r.full {
		r.dropped++
	}
	r.events[r.next] = e
	r.next++
	if r.next == len(r.events) {
		r.next = 0
		r.full = true
	}
}

// Snapshot returns the stored events in order and the number of events that
// were overwritten since the start.
func (r *Ring) Snapshot() (events []Event, dropped uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.full {
		events = append(events, r.events[r.next:]...)
	}
	events = append(events, r.events[:r.next]...)
	return events, r.dropped
}

// Filter selects events; empty fields match all events. Version is a version or
// "model@version".
type Filter struct {
	Request  string
	Upstream string
	Version  string
	Domain   string
	Kind     Kind
	After    clock.Stamp
}

// Match reports whether e passes the filter.
func (f Filter) Match(e Event) bool {
	return (f.Request == "" || f.Request == e.Request) &&
		(f.Upstream == "" || f.Upstream == e.Upstream) &&
		(f.Version == "" || f.Version == e.Version || f.Version == e.Model+"@"+e.Version) &&
		(f.Domain == "" || f.Domain == e.Domain) &&
		(f.Kind == "" || f.Kind == e.Kind) &&
		(f.After == clock.Stamp{} || e.Stamp.Compare(f.After) > 0)
}

// Select returns the events that pass the filter.
func Select(events []Event, f Filter) []Event {
	var out []Event
	for _, e := range events {
		if f.Match(e) {
			out = append(out, e)
		}
	}
	return out
}

// Merge merges the events of several processes, ordered by timestamp, then by
// node. Events of one node keep their order.
func Merge(sources ...[]Event) []Event {
	var all []Event
	for _, s := range sources {
		all = append(all, s...)
	}
	slices.SortStableFunc(all, func(a, b Event) int {
		if c := a.Stamp.Compare(b.Stamp); c != 0 {
			return c
		}
		return cmp.Compare(a.Node, b.Node)
	})
	return all
}
