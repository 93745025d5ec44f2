// Package relay serves requests: it resolves the route and the organisation,
// chooses upstreams, retries where the route permits it, resumes streams and
// escalates to a larger model.
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

// PrefixPart is one part of a prompt that other requests may share.
type PrefixPart struct {
	ID     string
	Tokens int
}

// Request is a caller's request with the attributes used for routing. The
// relay does not interpret Header and Body.
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
	// Key is the caller's API key, or empty.
	Key string
	// Timeout is how long the caller waits, counted from Received; zero is
	// unknown.
	Timeout  time.Duration
	Received time.Time
	// Model is the model that the caller named; with Cascade the router chooses
	// the model.
	Model   string
	Cascade bool
	// PromptTokens and OutputTokens are the sizes that the caller declared.
	PromptTokens, OutputTokens int
	Prefix                     []PrefixPart
	// Session groups requests that should be served by one release; empty is
	// none.
	Session string
	// LastEventID is the event after which the caller resumes a stream; zero is
	// its start.
	LastEventID int64
}

// SharedParts returns the ids of the prompt's parts that other requests may
// share: all but the last, which belongs to this request or its session.
func (r *Request) SharedParts() []string {
	var ids []string
	for _, part := range r.Prefix[:max(len(r.Prefix)-1, 0)] {
		ids = append(ids, part.ID)
	}
	return ids
}

// Send is one attempt at one upstream.
type Send struct {
	Request  *Request
	Upstream *topology.Upstream
	// Organisation is the name sent to the upstream; empty on public routes.
	Organisation string
	// Model is the model to run; empty for the one that the caller named.
	Model string
	// Remaining is the time left for the upstream to answer.
	Remaining time.Duration
	// Admit is asked immediately before the first byte is sent; if it returns false,
	// nothing is sent and the error is a *SendError with HeldBack.
	Admit func() bool
	// LastEventID is the event after which a stream resumes; zero is its start.
	LastEventID int64
	Priority    int
}

// Answer is the status and headers of an upstream's answer with its body,
// which the receiver closes.
type Answer struct {
	Status int
	// Header has the end-to-end headers.
	Header http.Header
	// Signed is set on answers from the upstream's application; others do not
	// count as answers to the request.
	Signed bool
	// MatchesRequest is set if the answer carries the id of the request.
	MatchesRequest bool
	// Encoded is set if the body has a content encoding and is thus not what
	// the application wrote.
	Encoded bool
	// NotRun is set if the upstream did not run the request and will not.
	NotRun bool
	// WrongInstance is set if another upstream now has the address.
	WrongInstance bool
	// Confidence is the model's confidence in its answer from 0 to 100, or -1
	// if it states none.
	Confidence int
	// Load is nil if the answer has no load report; ColdFor is the remaining
	// cold start that the upstream reports.
	Load    *placement.Report
	ColdFor time.Duration
	// Leaving is set if the upstream says that it leaves; RetryAfter is how long it
	// wants no more requests, zero if it does not say so.
	Leaving    bool
	RetryAfter time.Duration
	Body       io.ReadCloser
}

// Successful reports whether the application answered with a 2xx status.
func (a *Answer) Successful() bool {
	return a.Signed && !a.Encoded && a.Status >= 200 && a.Status < 300
}

// FromRunner reports whether the answer is that of an upstream to this request:
// of its application, or a refusal to run the request.
func (a *Answer) FromRunner() bool {
	return a.MatchesRequest && (a.Signed || a.NotRun || a.WrongInstance)
}

// Client sends requests to upstreams. Send returns a *SendError on failure;
// otherwise the caller has to read and close the body.
type Client interface {
	Send(ctx context.Context, s *Send) (*Answer, error)
	// Probe checks the health of a model engine, which engines report at any
	// load.
	Probe(ctx context.Context, u *topology.Upstream) error
}

// SendError is the failure of an attempt that got no answer.
type SendError struct {
	// Connected is set if a connection was open, so the upstream may have read
	// the request.
	Connected bool
	// HeldBack is set if Admit kept the request from being sent.
	HeldBack bool
	Cause    error
}

func (e *SendError) Error() string { return e.Cause.Error() }
func (e *SendError) Unwrap() error { return e.Cause }

// Refusal is a final answer by the router itself.
type Refusal struct {
	Status int
	Code   result.Code
	// RetryAfter is the delay before a retry; zero is unspecified. It is set
	// only with statuses that guarantee that the request has not run.
	RetryAfter time.Duration
	Reason     string
}

// Responder answers the caller. Exactly one of Refuse, Respond, End and Abort
// ends the answer; WriteEvents may be called between Begin and End or Abort.
type Responder interface {
	Refuse(r Refusal)
	// Respond writes a complete answer.
	Respond(a *Answer, body []byte)
	// Begin writes the status and headers of a stream, WriteEvents writes one
	// or more complete events and flushes them.
	Begin(a *Answer)
	WriteEvents(raw []byte) error
	End()
	// Abort closes the connection so that a partial answer cannot be mistaken
	// for a complete one.
	Abort()
}
