package idempotency

import (
	"crypto/sha256"
	"encoding/hex"
	"time"
)

// State is the state of a request's record.
type State string

// The states of records.
const (
	// Started means that the request may have been sent.
	Started State = "started"
	// Done means that the upstream responded.
	Done State = "done"
	// NotRun means that the request was provably not sent; a retry may run.
	NotRun State = "not_run"
	// Unknown means that the outcome could not be determined.
	Unknown State = "unknown"
)

// MaxOutcomeBytes bounds the stored response body. A larger one is recorded as
// done without its body, so that a slot with several records stays below the
// object store's size limit.
const MaxOutcomeBytes = 256 << 10

// record is the stored form of a request.
type record struct {
	BodyHash string `json:"body_hash"`
	// Attempt is the id of the attempt that owns the record.
	Attempt string `json:"attempt"`
	Request string `json:"request"`
	Node    string `json:"node"`
	Target  string `json:"target,omitempty"`
	State   State  `json:"state"`
	// ChangedMS is the writer's wall clock at the last change of state, in
	// milliseconds since the Unix epoch.
	ChangedMS int64    `json:"changed_ms"`
	Outcome   *Outcome `json:"outcome,omitempty"`
	// BodyDropped reports that the response was too large to store.
	BodyDropped bool `json:"body_dropped,omitempty"`
}

// age returns the time since the last change of state. It compares the wall clocks
// of two nodes; the limits it is checked against are minutes to days.
func (r record) age(now time.Time) time.Duration {
	return now.Sub(time.UnixMilli(r.ChangedMS))
}

// expired reports whether the record is older than the retention. A started record
// does not expire; the reconciler resolves it first.
func (r record) expired(now time.Time, retention time.Duration) bool {
	return r.State != Started && r.age(now) > retention
}

// with returns the record in the given state. A response body above
// MaxOutcomeBytes is dropped.
func (r record) with(state State, o *Outcome, now time.Time) record {
	r.State, r.Outcome, r.BodyDropped = state, nil, false
	r.ChangedMS = now.UnixMilli()
	if state != Done {
		return r
	}
	if o == nil {
		r.BodyDropped = true
		return r
	}
	kept := *o
	if len(kept.Body) > MaxOutcomeBytes {
		kept.Body, r.BodyDropped = nil, true
	}
	r.Outcome = &kept
	return r
}

func hashBody(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}
