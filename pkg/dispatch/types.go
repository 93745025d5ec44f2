// Package dispatch runs a request from admission to billing: planning, policy
// checks, runner selection, attempts, answer checks, escalation, retries and
// the at-most-once ledger.
package dispatch

import (
	"time"

	"cassiapin/pkg/config"
)

// ServiceName is the name of the dispatcher's service.
const ServiceName = "route.dispatch"

// Meta is the routing metadata of a response.
type Meta struct {
	RequestID string
	Version   config.VersionRef
	// Session is the value of the Cassiapin-Session response header.
	Session string
	// MovedFrom is the withdrawn version to which the session was bound
	// before, if this request moved it.
	MovedFrom config.VersionRef
	// BindingLost reports that the session may have been bound to another
	// version whose binding was lost.
	BindingLost bool
	// Config is the number of the configuration used by the last decision.
	Config uint64
	// Replayed reports that the answer was stored by an earlier run.
	Replayed bool
}

// Sink receives a streamed answer. Its methods are called from one goroutine.
type Sink interface {
	// Start is called once before the first event.
	Start(m Meta) error
	// Event forwards the data of one server-sent event.
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
	// Sink receives a streamed answer; nil requests an unstreamed answer.
	Sink Sink
}

// ChatResult is an unstreamed answer, or the summary of a streamed one.
type ChatResult struct {
	Meta        Meta
	ContentType string
	// Body is empty if the answer was streamed to the sink.
	Body []byte
}

// ServiceRequest is one call to a plain service, an upstream that is not a model
// engine.
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

// ServiceResult is the response of a plain service.
type ServiceResult struct {
	Meta        Meta
	Status      int
	ContentType string
	Body        []byte
}
