package engine

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"cassiapin/pkg/standin"
)

// maxStreams bounds the number of ended streams retained for resumption.
const maxStreams = 1024

// stream is a streamed answer that can be resumed.
type stream struct {
	run    *run
	cancel context.CancelCauseFunc
	// done is closed when the connection serving the stream has ended.
	done    chan struct{}
	closed  bool
	expires time.Time
}

// streamTable contains open streams and those within the resume window. ended
// is sorted by the time at which the streams ended.
type streamTable struct {
	byAttempt map[string]*stream
	ended     []*stream
}

// openStream registers a stream under its attempt id.
func (e *Engine) openStream(t *run, cancel context.CancelCauseFunc) *stream {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := &stream{run: t, cancel: cancel, done: make(chan struct{})}
	if t.attempt != "" {
		e.streams.byAttempt[t.attempt] = s
	}
	return s
}

// closeStream marks the connection as ended. A stream that has run is retained
// for the resume window.
func (e *Engine) closeStream(s *stream) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s.closed = true
	now := e.options.Clock.Now()
	s.expires = now.Add(e.scaled(e.options.ResumeWindow))
	close(s.done)
	if !s.run.started {
		delete(e.streams.byAttempt, s.run.attempt)
		return
	}
	e.streams.ended = append(e.streams.ended, s)
	for len(e.streams.ended) > 0 {
		old := e.streams.ended[0]
		if len(e.streams.ended) <= maxStreams && now.Before(old.expires) {
			break
		}
		e.streams.ended = e.streams.ended[1:]
		if e.streams.byAttempt[old.run.attempt] == old {
			delete(e.streams.byAttempt, old.run.attempt)
		}
	}
}

// takeStream returns the stream of an attempt after closing the connection
// that still serves it.
func (e *Engine) takeStream(ctx context.Context, attempt string) (*stream, bool) {
	e.mu.Lock()
	s := e.streams.byAttempt[attempt]
	expired := s != nil && s.closed && !e.options.Clock.Now().Before(s.expires)
	e.mu.Unlock()
	if s == nil || expired {
		return nil, false
	}
	s.cancel(errStreamTakenOver)
	select {
	case <-s.done:
		return s, true
	case <-ctx.Done():
		return nil, false
	}
}

// serveResume resumes a stream after its first chunks. Like a new request it
// needs a slot, but no prefill, and it does not count as an execution.
func (e *Engine) serveResume(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.Atoi(r.URL.Query().Get("from"))
	if err != nil || from < 0 {
		standin.WriteError(w, http.StatusBadRequest, "bad_from", "from is a count of chunks")
		return
	}
	old, ok := e.takeStream(r.Context(), r.PathValue("attempt"))
	if !ok {
		standin.WriteError(w, http.StatusNotFound, "no_stream", "no such stream")
		return
	}
	t := *old.run
	t.fault = faultPlan{hangAt: never, cutAt: never}
	t.setHeaders(w)
	t.resume(w, r.Context(), from)
}

func (t *run) resume(w http.ResponseWriter, parent context.Context, from int) {
	e := t.engine
	ctx, cancel := context.WithCancelCause(parent)
	defer cancel(nil)
	j, ok := e.admit(t.priority, cancel)
	if !ok {
		t.refuseCold(w)
		return
	}
	t.stream = e.openStream(t, cancel)
	defer e.closeStream(t.stream)
	err := t.waitAndResume(w, ctx, j, from)
	e.release(j, err == nil)
	t.finish(w, ctx, err)
}

func (t *run) waitAndResume(w http.ResponseWriter, ctx context.Context, j *job, from int) error {
	select {
	case <-j.ready:
	case <-ctx.Done():
		return context.Cause(ctx)
	}
	t.engine.mu.Lock()
	t.engine.counters.Resumed++
	t.engine.mu.Unlock()
	return t.writeStream(w, ctx, from)
}

// writeStream writes the text chunks starting at index from, the finish chunk,
// the usage chunk and the terminal marker.
func (t *run) writeStream(w http.ResponseWriter, ctx context.Context, from int) error {
	if err := t.checkFault(ctx, 0); err != nil {
		return err
	}
	sse := eventWriter{w: w, run: t, created: t.engine.options.Clock.Now().Unix()}
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	if from == 0 {
		sse.delta(map[string]any{"role": "assistant", "content": ""}, nil)
	}
	chunk, total := t.engine.options.ChunkTokens, len(t.answer.tokens)
	for begin := from * chunk; begin < total; begin += chunk {
		end := min(begin+chunk, total)
		if err := t.checkFault(ctx, begin); err != nil {
			return err
		}
		if err := t.produce(ctx, end); err != nil {
			return err
		}
		text := strings.Join(t.answer.tokens[begin:end], " ")
		if begin > 0 {
			text = " " + text
		}
		sse.delta(map[string]any{"content": text}, nil)
	}
	sse.delta(map[string]any{}, t.answer.finishReason())
	sse.send(map[string]any{"choices": []any{}, "usage": t.answer.usage()})
	sse.raw("[DONE]")
	return nil
}

// eventWriter writes OpenAI chunks as server-sent events. Write errors are
// ignored: a client disconnect cancels the request's context.
type eventWriter struct {
	w       http.ResponseWriter
	run     *run
	created int64
}

func (s *eventWriter) delta(delta map[string]any, finish any) {
	s.send(map[string]any{"choices": []any{
		map[string]any{"index": 0, "delta": delta, "finish_reason": finish},
	}})
}

func (s *eventWriter) send(chunk map[string]any) {
	chunk["id"] = "chatcmpl-" + s.run.attempt
	chunk["object"] = "chat.completion.chunk"
	chunk["created"] = s.created
	chunk["model"] = s.run.answer.id.Ref.Model
	data, err := json.Marshal(chunk)
	if err != nil {
		return
	}
	s.raw(string(data))
}

func (s *eventWriter) raw(data string) {
	_, _ = s.w.Write([]byte("data: " + data + "\n\n"))
	if f, ok := s.w.(http.Flusher); ok {
		f.Flush()
	}
}
