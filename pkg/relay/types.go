// Package relay takes one request from its arrival to its final answer: it
// finds the route and the organisation, chooses upstreams, repeats what may be
// repeated, resumes streams and asks a better model where that is worth it.
package relay

import (
	"context"
	"io"
	"net/http"
	"time"

	"cassiapin/pkg/placement"
	"cassiapin/pkg/result"
	"cassiapin/pkg/topology"
)

// PrefixPart is one part of a prompt that requests may share.
type PrefixPart struct {
	ID     string
	Tokens int
}

// Request is what a caller sent, with the facts that decide where it may go.
// The relay does not interpret Header and Body.
type Request struct {
	// ID identifies one attempt of the caller.
	ID     string
	Method string
	Host   string
	// Path is the escaped path without the query, Target the whole request
	// target as the caller sent it.
	Path, Target string
	Header       http.Header
	Body         []byte
	// Key is the caller's API key, empty if there is none.
	Key string
	// Timeout is how long the caller waits from Received on; zero is unknown.
	Timeout  time.Duration
	Received time.Time
	// Model is the model that the caller named; Cascade leaves the choice to
	// the router.
	Model   string
	Cascade bool
	// PromptTokens and OutputTokens are the caller's statement of the size.
	PromptTokens, OutputTokens int
	Prefix                     []PrefixPart
	// Session groups requests that should see one release; empty is none.
	Session string
	// LastEventID is the event after which a stream goes on; zero is its start.
	LastEventID int64
}

// Send is one attempt at one upstream.
type Send struct {
	Request  *Request
	Upstream *topology.Upstream
	// Organisation is the name that the upstream is told; empty on public
	// routes.
	Organisation string
	// Model is the model to run, empty for the one that the caller named.
	Model string
	// Remaining is how long the upstream may work.
	Remaining time.Duration
	// LastEventID is the event after which a stream goes on; zero is its start.
	LastEventID int64
	Priority    int
}

// Answer is the head of an upstream's answer. The receiver closes Body.
type Answer struct {
	Status int
	// Header has the end-to-end headers.
	Header http.Header
	// Signed answers come from the upstream's application; others do not
	// count as answers to the request.
	Signed bool
	// MatchesRequest tells that the answer names the id of the request.
	MatchesRequest bool
	// Encoded bodies are not the application's bytes.
	Encoded bool
	// NotRun states that the upstream did not run the request and will not.
	NotRun bool
	// WrongInstance states that another upstream has the address now.
	WrongInstance bool
	// Confidence is the model's opinion of its answer from 0 to 100, -1
	// without one.
	Confidence int
	// Load is nil if the answer states none; ColdFor is how long the upstream
	// says it stays cold.
	Load    *placement.Report
	ColdFor time.Duration
	Body    io.ReadCloser
}

// Successful reports whether the answer is a success of the application.
func (a *Answer) Successful() bool {
	return a.Signed && !a.Encoded && a.Status >= 200 && a.Status < 300
}

// Client sends requests to upstreams. An error is a *SendError; after any
// other answer the caller has to read and close the body.
type Client interface {
	Send(ctx context.Context, s *Send) (*Answer, error)
	// Probe fails if a model engine does not answer a question about its
	// state, which it answers beside all work.
	Probe(ctx context.Context, u *topology.Upstream) error
}

// SendError is an attempt without an answer.
type SendError struct {
	// Connected tells that a connection was open, so that the upstream may have
	// read the request.
	Connected bool
	Cause     error
}

func (e *SendError) Error() string { return e.Cause.Error() }
func (e *SendError) Unwrap() error { return e.Cause }

// Refusal is a final answer of the router itself.
type Refusal struct {
	Status int
	Code   result.Code
	// RetryAfter is when the caller should come back; zero says nothing. It is
	// set only on statuses that promise that the request has not run.
	RetryAfter time.Duration
	Reason     string
}

// Responder answers the caller. Exactly one of Refuse, Whole, End and Abort
// ends the answer; Events may be called between Begin and End or Abort.
type Responder interface {
	Refuse(r Refusal)
	// Respond sends a complete answer.
	Respond(a *Answer, body []byte)
	// Begin sends the head of a stream, Events whole events of it at once.
	Begin(a *Answer)
	WriteEvents(raw []byte) error
	End()
	// Abort closes the connection, so that the answer cannot look complete.
	Abort()
}
