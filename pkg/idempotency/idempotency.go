// Package idempotency runs non-idempotent requests at most once. It writes a
// record to the object store before a request is sent.
package idempotency

import "context"

// ServiceName is the name under which a node registers the ledger.
const ServiceName = "ledger.once"

// Outcome is the stored response to a request, which is replayed to retries.
type Outcome struct {
	Status      int    `json:"status"`
	ContentType string `json:"content_type,omitempty"`
	Body        []byte `json:"body"`
	// Upstream, Model and Version identify the upstream that responded.
	Upstream string `json:"upstream,omitempty"`
	Model    string `json:"model,omitempty"`
	Version  string `json:"version,omitempty"`
}

// Request identifies a non-idempotent request.
type Request struct {
	Organisation string
	Key          string
	// Body is the content that must be identical in a retry: method, path and
	// body.
	Body      []byte
	RequestID string
	// Target names the upstream that will run the request; the reconciler queries
	// it for the outcome.
	Target string
}

// Claim is the permission to send the request once. Exactly one of Done, NotRun
// and Unknown must be called when the attempt has ended.
type Claim interface {
	// Done stores the outcome. A failed write is retried in the background and
	// must not keep the response from the client.
	Done(ctx context.Context, o Outcome) error
	// NotRun records that the request was provably not sent, so a retry may run.
	NotRun(ctx context.Context) error
	// Unknown records that the outcome could not be determined.
	Unknown(ctx context.Context) error
	// AttemptID returns the attempt id to send to the upstream.
	AttemptID() string
}

// Ledger records non-idempotent requests.
type Ledger interface {
	// Begin claims the request. It returns a claim, or the stored outcome of an
	// earlier run. It fails with result.IdempotencyKeyReused (key used with
	// another body), InProgress, OutcomeUnknown (it may have run, or its response
	// was not kept) or PlatformUnavailable (not_run).
	Begin(ctx context.Context, r Request) (Claim, *Outcome, error)
}
