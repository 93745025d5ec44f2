// Package dispatch runs one request from admission to its bill: plan, gate,
// runner, attempts, check, escalation, retries and the ledger.
package dispatch

import (
	"time"

	"cassiapin/pkg/config"
)

// ServiceName is the name of the dispatcher's service.
const ServiceName = "route.dispatch"

// Meta is what a response says of its request.
type Meta struct {
	RequestID string
	Version   config.VersionRef
	// Session is the value of the Cassiapin-Session response header.
	Session string
	// MovedFrom is the withdrawn version that the session had, if it moved.
	MovedFrom config.VersionRef
	// BindingLost says that the session may have had another version that is no
	// longer known.
	BindingLost bool
	// Config is the number of the configuration of the last decision.
	Config uint64
	// Replayed marks the stored answer of an earlier run.
	Replayed bool
}

// Sink receives a streamed answer. Its methods are called from one goroutine.
type Sink interface {
	// Start is called once before the first event.
	Start(m Meta) error
	// Event passes on one server-sent event's data.
	Event(data []byte) error
}

// ChatRequest is one chat completion request.
type ChatRequest struct {
	ID           string
	Organisation *config.Organisation
	Class        *config.Class
	// Session is the value of the Cassiapin-Session request header.
	Session        string
	Priority       int
	Deadline       time.Time
	IdempotencyKey string
	Chat           *Chat
	// Sink receives a streamed answer; nil for a whole one.
	Sink Sink
}

// ChatResult is a whole answer, or the summary of a streamed one.
type ChatResult struct {
	Meta        Meta
	ContentType string
	// Body is empty for a streamed answer that went to the sink.
	Body []byte
}

// ServiceRequest is one call of a plain service.
type ServiceRequest struct {
	ID             string
	Organisation   *config.Organisation
	Service        *config.Service
	Method         string
	Path           string
	Query          string
	Header         map[string][]string
	Body           []byte
	IdempotencyKey string
}

// ServiceResult is the answer of a plain service.
type ServiceResult struct {
	Meta        Meta
	Status      int
	ContentType string
	Body        []byte
}
