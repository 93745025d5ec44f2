package engine

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"cassiapin/pkg/config"
	"cassiapin/pkg/standin"
)

// maxBodyBytes bounds the body of a chat request.
const maxBodyBytes = 8 << 20

// completionStepTokens is the number of tokens of a non-streamed answer that
// are generated between two evaluations of the load.
const completionStepTokens = 16

// errFailed is an injected failure.
var errFailed = errors.New("injected failure")

// never is a token count that no answer reaches.
const never = 1 << 30

// run is one chat request or resumed stream in progress.
type run struct {
	engine   *Engine
	chat     *chatRequest
	attempt  string
	priority int
	version  string // the version as echoed to the client
	answer   *answer
	speed    float64
	fault    faultPlan
	// started is set once the request has a slot and runs.
	started bool
	// produced counts generated tokens.
	produced int
	// stream is set for streams.
	stream *stream
}

// faultPlan is the set of faults injected into one request.
type faultPlan struct {
	refuse, fail, wrongAttempt bool
	crashText                  string
	hangAt, cutAt              int
	delay                      time.Duration
}

// drawFaults selects the faults of one request. The caller must hold the lock.
func (e *Engine) drawFaults() faultPlan {
	f := e.faults
	plan := faultPlan{hangAt: never, cutAt: never}
	if f == (Faults{}) {
		return plan
	}
	if f.Requests > 0 {
		if e.faults.Requests--; e.faults.Requests == 0 {
			e.faults = Faults{}
		}
	}
	plan.refuse, plan.wrongAttempt, plan.delay, plan.crashText = f.Refuse, f.WrongAttempt, f.Delay, f.CrashText
	plan.fail = f.FailRate > 0 && e.rng.Float64() < f.FailRate
	if f.Hang {
		plan.hangAt = f.HangAfter
	}
	if f.Cut {
		plan.cutAt = f.CutAfter
	}
	return plan
}

func (e *Engine) serveChat(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		standin.Abort()
	}
	chat, err := parseChat(body)
	if err != nil {
		standin.WriteError(w, http.StatusBadRequest, "bad_request", err.Error())
		return
	}
	t := &run{engine: e, chat: chat, attempt: r.Header.Get(headerAttempt)}
	t.priority, _ = strconv.Atoi(r.Header.Get(headerPrio)) // 0 when absent
	ref, ok := e.receive(t, r)
	t.setHeaders(w)
	switch {
	case !ok:
		standin.WriteError(w, http.StatusNotFound, "not_loaded", "the model version is not loaded")
		return
	case t.fault.refuse:
		standin.WriteError(w, http.StatusServiceUnavailable, "injected", "injected refusal")
		return
	}
	t.answer = e.generate(chat, ref, firstNonEmpty(r.Header.Get(headerClass), chat.Metadata["class"]))
	t.serve(w, r.Context())
}

// receive counts the request, selects its faults and resolves its version.
func (e *Engine) receive(t *run, r *http.Request) (config.VersionRef, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.counters.Received++
	if org := firstNonEmpty(r.Header.Get(headerOrg), t.chat.Metadata["organisation"]); org != "" {
		e.counters.ByOrganisation[org]++
	}
	t.fault = e.drawFaults()
	if t.fault.refuse {
		e.counters.Refused++
	}
	requested := r.Header.Get(headerVersion)
	ref, ok := e.selectVersion(t.chat.ref(requested))
	if !ok {
		e.counters.Refused++
	}
	t.version, t.speed = ref.Version, e.loaded[ref]
	if strings.Contains(requested, "@") {
		t.version = ref.String()
	}
	return ref, ok
}

// selectVersion returns the first loaded version that matches the request.
func (e *Engine) selectVersion(requested config.VersionRef) (config.VersionRef, bool) {
	for _, ref := range e.loadOrder {
		modelFits := requested.Model == "" || requested.Model == "auto" || requested.Model == ref.Model
		if modelFits && (requested.Version == "" || requested.Version == ref.Version) {
			return ref, true
		}
	}
	return requested, false
}

func firstNonEmpty(values ...string) string {
	for _, v := range values {
		if v != "" {
			return v
		}
	}
	return ""
}

func (t *run) setHeaders(w http.ResponseWriter) {
	h := w.Header()
	h.Set(headerState, string(t.engine.State()))
	if t.version != "" {
		h.Set(headerVersion, t.version)
	}
	if t.attempt == "" {
		return
	}
	h.Set(headerAttempt, t.attempt)
	h.Set(headerResume, "1")
	if t.fault.wrongAttempt {
		h.Set(headerAttempt, "other-"+t.attempt)
	}
}

// serve admits the run, waits for a slot and answers.
func (t *run) serve(w http.ResponseWriter, parent context.Context) {
	e := t.engine
	ctx, cancel := context.WithCancelCause(parent)
	defer cancel(nil)
	j, ok := e.admit(t.priority, cancel)
	if !ok {
		t.refuseCold(w)
		return
	}
	if t.chat.Stream {
		t.stream = e.openStream(t, cancel)
		defer e.closeStream(t.stream)
	}
	err := t.waitAndAnswer(w, ctx, j)
	e.release(j, err == nil)
	t.finish(w, ctx, err)
}

// finish counts the outcome of a run. For a failed run it writes an error
// response or closes the connection.
func (t *run) finish(w http.ResponseWriter, ctx context.Context, err error) {
	e := t.engine
	e.mu.Lock()
	if err == nil {
		e.counters.Answered++
		e.counters.ByVersion[t.answer.id.Ref]++
	} else if errors.Is(context.Cause(ctx), context.Canceled) {
		e.counters.Cancelled++
	}
	e.mu.Unlock()
	switch {
	case err == nil:
	case errors.Is(err, errFailed) && t.produced == 0:
		standin.WriteError(w, http.StatusInternalServerError, "injected", err.Error())
	case errors.Is(context.Cause(ctx), errOverloaded) && !t.started:
		t.refuseCold(w)
	default:
		standin.Abort()
	}
}

// refuseCold refuses a request that has not run.
func (t *run) refuseCold(w http.ResponseWriter) {
	w.Header().Set(headerState, string(Cold))
	w.Header().Set("Retry-After", "1")
	standin.WriteError(w, http.StatusServiceUnavailable, "cold", "the engine is cold and at its bound")
}

func (t *run) waitAndAnswer(w http.ResponseWriter, ctx context.Context, j *job) error {
	select {
	case <-j.ready:
	case <-ctx.Done():
		return context.Cause(ctx)
	}
	t.begin()
	if t.fault.fail {
		return errFailed
	}
	if err := t.prefill(ctx); err != nil {
		return err
	}
	if t.fault.crashText != "" && t.chat.sharesText(t.fault.crashText) {
		t.engine.crashByPrompt()
		return errOverloaded
	}
	if t.stream != nil {
		return t.writeStream(w, ctx, 0)
	}
	return t.writeCompletion(w, ctx)
}

// begin counts the execution and looks up the prompt in the prefix cache.
func (t *run) begin() {
	e := t.engine
	e.mu.Lock()
	defer e.mu.Unlock()
	t.started = true
	if t.attempt != "" {
		e.counters.Executed[t.attempt]++
	}
	t.answer.cachedTokens = blockTokens * e.cache.matchAndStore(t.answer.hashes, t.attempt, e.options.Clock.Now(), e.dropEvent)
	e.counters.PromptTokens += int64(t.answer.promptTokens)
	e.counters.CachedTokens += int64(t.answer.cachedTokens)
}

func (t *run) sleep(ctx context.Context, d time.Duration) error {
	if err := t.engine.options.Clock.Sleep(ctx, d); err != nil {
		return context.Cause(ctx)
	}
	return nil
}

func (t *run) prefill(ctx context.Context) error {
	o := &t.engine.options
	work := time.Duration(t.answer.promptTokens-t.answer.cachedTokens) * o.PrefillPerToken
	d := time.Duration(float64(work+o.FirstTokenBase) * t.engine.slowdown(t.speed))
	return t.sleep(ctx, d+t.fault.delay)
}

// produce generates tokens until n have been produced or ctx is done.
func (t *run) produce(ctx context.Context, n int) error {
	if n <= t.produced {
		return nil
	}
	step := float64(n-t.produced) * float64(t.engine.options.TokenInterval)
	if err := t.sleep(ctx, time.Duration(step*t.engine.slowdown(t.speed))); err != nil {
		return err
	}
	t.engine.mu.Lock()
	t.engine.counters.TokensGenerated += int64(n - t.produced)
	t.engine.mu.Unlock()
	t.produced = n
	return nil
}

// checkFault applies the fault, if any, that is due at the given token count.
func (t *run) checkFault(ctx context.Context, tokens int) error {
	if tokens >= t.fault.cutAt {
		return errors.New("injected disconnect")
	}
	if tokens >= t.fault.hangAt {
		<-ctx.Done()
		return context.Cause(ctx)
	}
	return nil
}

func (t *run) writeCompletion(w http.ResponseWriter, ctx context.Context) error {
	for total := len(t.answer.tokens); t.produced < total; {
		if err := t.checkFault(ctx, t.produced); err != nil {
			return err
		}
		if err := t.produce(ctx, min(t.produced+completionStepTokens, total)); err != nil {
			return err
		}
	}
	standin.WriteJSON(w, http.StatusOK, map[string]any{
		"id": "chatcmpl-" + t.attempt, "object": "chat.completion",
		"created": t.engine.options.Clock.Now().Unix(), "model": t.answer.id.Ref.Model,
		"choices": []any{map[string]any{
			"index": 0, "finish_reason": t.answer.finishReason(),
			"message": map[string]any{"role": "assistant", "content": t.answer.text()},
		}},
		"usage": t.answer.usage(),
	})
	return nil
}
