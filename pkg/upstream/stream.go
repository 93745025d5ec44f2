package upstream

import (
	"context"
	"mime"
	"net/http"
	"net/url"
	"strconv"
	"sync"

	"cassiapin/pkg/result"
)

// HeaderResume is set to "1" in responses whose stream can be resumed with
// GET /v1/streams/ATTEMPT?from=N, where N is the number of chunks with text
// that were already received.
const HeaderResume = "X-Stream-Resume"

// maxResumes limits how often one stream is resumed.
const maxResumes = 1

// eventStream implements Stream over server-sent events. Next must be called
// by one goroutine only; Close may be called concurrently.
type eventStream struct {
	client      *HTTPClient
	parent      context.Context
	original    outboundRequest
	engineState string

	events     *eventReader
	textChunks int
	resumes    int
	ended      error
	complete   bool

	mu       sync.Mutex
	exchange *exchange
	closed   bool
}

// Stream implements Client.
func (c *HTTPClient) Stream(ctx context.Context, call Call) (Stream, error) {
	x, o, failure := c.start(ctx, call, "text/event-stream")
	if failure != nil {
		return nil, c.countFailure(failure, o)
	}
	if !isEventStream(x.response) {
		x.close()
		return nil, c.countFailure(result.New(result.UpstreamError, "the answer is not a stream").WithRun(result.Ran), o)
	}
	s := &eventStream{
		client:      c,
		parent:      ctx,
		original:    o,
		engineState: x.response.Header.Get(HeaderEngineState),
		exchange:    x,
		events:      newEventReader(x.body),
	}
	return s, nil
}

func isEventStream(r *http.Response) bool {
	media, _, err := mime.ParseMediaType(r.Header.Get("Content-Type"))
	return err == nil && media == "text/event-stream"
}

// EngineState implements Stream.
func (s *eventStream) EngineState() string { return s.engineState }

// Next implements Stream.
func (s *eventStream) Next() (Chunk, error) {
	for s.ended == nil {
		data, err := s.events.next()
		if err == nil {
			return s.deliver(data)
		}
		failure := classify(s.current().ctx, err, result.Ran)
		if s.resume(failure) {
			continue
		}
		s.end(s.client.countFailure(failure, s.original))
	}
	return Chunk{}, s.ended
}

func (s *eventStream) deliver(data []byte) (Chunk, error) {
	chunk, err := parseChunk(data)
	if err != nil {
		failure := result.Wrap(err, result.UpstreamError, result.Ran, "the upstream's stream failed")
		s.end(s.client.countFailure(failure, s.original))
		return Chunk{}, s.ended
	}
	if chunk.Done {
		s.ended = ErrEnd
		s.mu.Lock()
		s.complete = true
		s.mu.Unlock()
		return chunk, nil
	}
	if chunk.Text != "" {
		s.textChunks++
	}
	return chunk, nil
}

// end sets the error that all later calls return and cancels generation on the
// engine.
func (s *eventStream) end(err error) {
	s.ended = err
	s.current().close()
}

func (s *eventStream) current() *exchange {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.exchange
}

// resume continues a truncated or stalled stream on the same engine. The engine
// buffers the response of the attempt, so the request does not run again.
func (s *eventStream) resume(failure *result.Error) bool {
	old := s.current()
	lost := failure.Code == result.StreamCut || failure.Code == result.UpstreamSilent
	offered := old.response.Header.Get(HeaderResume) == "1"
	if !lost || !offered || s.resumes >= maxResumes || s.parent.Err() != nil {
		return false
	}
	s.resumes++
	resumesTotal.Inc()
	old.close()
	// Idle connections of the same age may be stalled too.
	s.client.transports.get(s.original.url).CloseIdleConnections()
	next, err := s.client.open(s.parent, s.resumeRequest(old.body.remaining))
	if err != nil {
		return false
	}
	if next.response.StatusCode != http.StatusOK || !isEventStream(next.response) || !s.replace(next) {
		next.close()
		return false
	}
	s.events = newEventReader(next.body)
	return true
}

func (s *eventStream) resumeRequest(remaining int64) outboundRequest {
	o := s.original
	o.method, o.body = http.MethodGet, nil
	o.url = originOf(o.url) + streamsPath + url.PathEscape(o.attempt) + "?from=" + strconv.Itoa(s.textChunks)
	// The engine resumes from memory, so the response headers must arrive
	// within the token timeout.
	o.firstByteTimeout = min(o.firstByteTimeout, o.readTimeout)
	o.maxResponseBytes = remaining
	return o
}

// replace switches to the resumed exchange unless the stream was closed.
func (s *eventStream) replace(next *exchange) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.exchange = next
	return true
}

// Close implements Stream.
func (s *eventStream) Close() error {
	s.mu.Lock()
	x, complete, alreadyClosed := s.exchange, s.complete, s.closed
	s.closed = true
	s.mu.Unlock()
	switch {
	case alreadyClosed:
	case complete:
		x.finish()
	default:
		x.close()
	}
	return nil
}
