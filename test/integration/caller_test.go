package integration

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"testing"
	"time"

	"cassiapin/pkg/bench"
	"cassiapin/pkg/entry"
	"cassiapin/pkg/result"
	"cassiapin/pkg/workload"
)

// newCaller returns callers that ask any node of the world.
func (w *world) newCaller(seed int64) *bench.Caller {
	return bench.NewCaller(seed, w.deployment.Domains, func(string) []string { return w.entryURLs() })
}

// load sends the requests of the generator at their times and returns their
// outcomes when all have ended.
func (w *world) load(o workload.Options) []bench.Outcome {
	caller := w.newCaller(o.Seed)
	defer caller.Close()
	var requests []workload.Request
	for r := range workload.New(w.deployment, o).All() {
		requests = append(requests, r)
	}
	return w.sendAll(caller, requests)
}

// background runs load beside the faults of a test; the returned function
// waits for its outcomes.
func (w *world) background(o workload.Options) (wait func() []bench.Outcome) {
	result := make(chan []bench.Outcome, 1)
	go func() { result <- w.load(o) }()
	return func() []bench.Outcome { return <-result }
}

// sendAll sends each request at its offset and records the outcomes.
func (w *world) sendAll(caller *bench.Caller, requests []workload.Request) []bench.Outcome {
	outcomes := make([]bench.Outcome, len(requests))
	var wait sync.WaitGroup
	start := time.Now()
	for i, r := range requests {
		due := start.Add(r.Offset)
		time.Sleep(time.Until(due))
		wait.Go(func() { outcomes[i] = caller.Send(context.Background(), due, r) })
	}
	wait.Wait()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.outcomes = append(w.outcomes, outcomes...)
	return outcomes
}

// pinned returns a caller that knows only the given node.
func pinned(t *testing.T, p *process) *bench.Caller {
	t.Helper()
	directory := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(entry.Entries{Entries: []entry.Entry{{URL: p.entry.url()}}, TTLSeconds: 60})
	}))
	caller := bench.NewCaller(1, workload.Berceuse().Domains, func(string) []string { return []string{directory.URL} })
	t.Cleanup(func() { caller.Close(); directory.Close() })
	return caller
}

// chat returns a chat request of the first organisation, which may use every
// model.
func (w *world) chat(class, model string, sequence, tokens int, stream bool) workload.Request {
	o := w.deployment.Organisations[0]
	body, err := json.Marshal(map[string]any{
		"model": model, "stream": stream,
		"messages": []any{map[string]string{"role": "user", "content": fmt.Sprintf("question %d of test %d", sequence, w.options.seed)}},
		"metadata": map[string]string{"class": class, "organisation": o.Name, "answer_tokens": strconv.Itoa(tokens)},
	})
	if err != nil {
		w.t.Fatal(err)
	}
	return workload.Request{
		Sequence: sequence, Organisation: o.Name, Key: o.Key, Class: class, Stream: stream, Body: body, AnswerTokens: tokens,
	}
}

// booking returns a booking of a slot of its own.
func (w *world) booking(sequence int) workload.Request {
	o := w.deployment.Organisations[0]
	slot := fmt.Sprintf("slot-%d-%d", w.options.seed, sequence)
	return workload.Request{
		Sequence: sequence, Organisation: o.Name, Key: o.Key, Class: "booking",
		Service: w.deployment.Service, Method: http.MethodPost, Path: "/bookings",
		Slot: slot, IdempotencyKey: "key-" + slot, Body: fmt.Appendf(nil, `{"slot":%q}`, slot),
	}
}

// spread gives the requests offsets at the interval.
func spread(requests []workload.Request, interval time.Duration) []workload.Request {
	for i := range requests {
		requests[i].Offset = time.Duration(i) * interval
	}
	return requests
}

// refused reports a refusal that says that the request did not run.
func refused(o bench.Outcome) bool { return !o.Answered && o.Code != 0 && o.Run == result.NotRun }

// describe names an outcome in a message of a failed check.
func describe(o bench.Outcome) string {
	return fmt.Sprintf("request %s (%s %s, sequence %d): answered %v code %d run %s after %s (%v)",
		o.RequestID, o.Request.Organisation, o.Request.Class, o.Request.Sequence, o.Answered, o.Code, o.Run,
		o.Ended.Sub(o.Due).Round(time.Millisecond), o.Cause)
}

// allAnswered checks that nothing was refused or cut off.
func (w *world) allAnswered(outcomes []bench.Outcome) {
	w.t.Helper()
	for _, o := range outcomes {
		if !o.Answered {
			w.t.Errorf("%s", describe(o))
		}
	}
}
