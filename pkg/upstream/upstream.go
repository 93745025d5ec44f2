// Package upstream calls model engines and plain HTTP services, and reports for
// failed calls whether the request may have run.
package upstream

import (
	"context"
	"io"
	"net/http"
	"time"

	"cassiapin/pkg/config"
	"cassiapin/pkg/holdoff"
	"cassiapin/pkg/policy"
)

// ServiceName is the name of the upstream client's service.
const ServiceName = "upstream.client"

// HTTP headers exchanged with model engines.
const (
	// HeaderAttempt is the attempt id, which the engine echoes.
	HeaderAttempt = "X-Attempt-Id"
	// HeaderEngineState is "cold", "warming", "warm" or "leaving" in responses.
	HeaderEngineState = "X-Engine-State"
	// HeaderPriority is the request priority, 0 to 9.
	HeaderPriority = "X-Priority"
	// HeaderVersion is the model version to run, and in the response the
	// version that ran.
	HeaderVersion = "X-Model-Version"
	// HeaderFencing is the fencing token of a load or unload order.
	HeaderFencing = "X-Fencing-Number"
)

// Usage is the token usage of a request.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CachedTokens     int `json:"cached_tokens,omitempty"`
	CompletionTokens int `json:"completion_tokens"`
}

// Call is one attempt to run a request on a model engine.
type Call struct {
	Ticket policy.Ticket
	// Body is the OpenAI chat completion request as sent to the engine.
	Body     []byte
	Priority int
	// FirstByteTimeout limits the wait for the response headers.
	FirstByteTimeout time.Duration
	// TokenTimeout limits the time between two reads of the body.
	TokenTimeout time.Duration
	// MaxResponseBytes limits the size of the response body.
	MaxResponseBytes int64
}

// Chunk is one server-sent event of a streamed response.
type Chunk struct {
	// Data is the event's data without "data: " and line endings.
	Data []byte
	// Text is the generated text of the chunk, if any.
	Text string
	// Usage is set on the chunk that reports it.
	Usage *Usage
	// Done marks the terminal "[DONE]" event.
	Done bool
}

// Stream is a streamed response. Next returns io.EOF only after the terminal
// marker; any earlier end is an error with result.StreamCut, UpstreamSilent or
// CallerCancelled. Close may be called at any time and cancels generation if
// the response is incomplete.
type Stream interface {
	Next() (Chunk, error)
	// EngineState is the value of HeaderEngineState, empty when absent.
	EngineState() string
	Close() error
}

// Response is a complete response of a model engine.
type Response struct {
	Body        []byte
	Text        string
	Usage       Usage
	EngineState string
	// FirstByte and Total are latencies, measured from sending the request.
	FirstByte time.Duration
	Total     time.Duration
}

// ServiceCall is one call to a plain HTTP service.
type ServiceCall struct {
	Service          string
	Endpoint         config.ServiceEndpoint
	Method           string
	Path             string
	Query            string
	Header           http.Header
	Body             []byte
	AttemptID        string
	Timeout          time.Duration
	MaxResponseBytes int64
}

// ServiceResponse is the complete response of a plain HTTP service.
type ServiceResponse struct {
	Status int
	Header http.Header
	Body   []byte
	// Wish is what the service says that it wants.
	Wish holdoff.Wish
}

// Client calls upstreams. Every error is a *result.Error. Its run state is
// not_run only if no byte of the request was sent, ran if the upstream started
// to respond, and unknown otherwise. The exception is a refusal before running
// (status 503 with header X-Engine-State: cold, or 429), which is
// UpstreamRefused with not_run.
type Client interface {
	Complete(ctx context.Context, c Call) (Response, error)
	Stream(ctx context.Context, c Call) (Stream, error)
	CallService(ctx context.Context, c ServiceCall) (ServiceResponse, error)
}

// ErrEnd is returned by Stream.Next after the terminal marker.
var ErrEnd = io.EOF
