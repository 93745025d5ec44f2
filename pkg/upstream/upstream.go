// Package upstream calls model engines and plain services and decides what is
// known about a call that failed.
package upstream

import (
	"context"
	"io"
	"net/http"
	"time"

	"cassiapin/pkg/config"
	"cassiapin/pkg/policy"
)

// ServiceName is the name of the upstream client's service.
const ServiceName = "upstream.client"

// The headers between a node and a model engine.
const (
	// HeaderAttempt carries the attempt id; the engine echoes it.
	HeaderAttempt = "X-Attempt-Id"
	// HeaderEngineState carries "cold", "warming" or "warm" in answers.
	HeaderEngineState = "X-Engine-State"
	// HeaderPriority carries the priority 0 to 9.
	HeaderPriority = "X-Priority"
	// HeaderVersion names the model version to run, and in the answer the one
	// that ran.
	HeaderVersion = "X-Model-Version"
	// HeaderFencing carries the fencing number of an order.
	HeaderFencing = "X-Fencing-Number"
)

// Usage counts tokens of an answer.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CachedTokens     int `json:"cached_tokens,omitempty"`
	CompletionTokens int `json:"completion_tokens"`
}

// Call is one attempt at a model engine.
type Call struct {
	Ticket policy.Ticket
	// Body is the OpenAI chat completion request as sent to the engine.
	Body     []byte
	Priority int
	// FirstByteTimeout bounds the wait for the response headers.
	FirstByteTimeout time.Duration
	// TokenTimeout bounds the silence between two reads of the body.
	TokenTimeout time.Duration
	// MaxResponseBytes bounds the size of the whole answer in bytes.
	MaxResponseBytes int64
}

// Chunk is one server-sent event of a streamed answer.
type Chunk struct {
	// Data is the event's data without "data: " and line ends.
	Data []byte
	// Text is the generated text of the chunk, empty when it has none.
	Text string
	// Usage is set on the chunk that reports it.
	Usage *Usage
	// Done marks the terminal "[DONE]" event.
	Done bool
}

// Stream is a streamed answer. Next returns io.EOF only after the terminal
// marker; any earlier end is an error with result.StreamCut, UpstreamSilent or
// CallerCancelled. Close may be called at any time and cancels the engine's
// work if the answer has not ended.
type Stream interface {
	Next() (Chunk, error)
	// EngineState is the value of HeaderEngineState, empty when absent.
	EngineState() string
	Close() error
}

// Response is a whole answer.
type Response struct {
	Body        []byte
	Text        string
	Usage       Usage
	EngineState string
	// FirstByte and Total are measured from the send.
	FirstByte time.Duration
	Total     time.Duration
}

// ServiceCall is one call of a plain service.
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

// ServiceResponse is the whole answer of a plain service.
type ServiceResponse struct {
	Status int
	Header http.Header
	Body   []byte
}

// Client calls upstreams. Every error is a *result.Error whose run state is
// not_run only when no byte of the request can have left the node, ran when
// the upstream began to answer, and unknown otherwise. A refusal that the
// upstream itself declares as not run (status 503 with header
// X-Engine-State: cold, or 429) is UpstreamRefused with not_run.
type Client interface {
	Complete(ctx context.Context, c Call) (Response, error)
	Stream(ctx context.Context, c Call) (Stream, error)
	CallService(ctx context.Context, c ServiceCall) (ServiceResponse, error)
}

// ErrEnd is returned by Stream.Next after the terminal marker.
var ErrEnd = io.EOF
