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

// newCaller returns a caller that sends requests to all nodes of the fleet.
func (f *fleet) newCaller(seed int64) *bench.Caller {
	return bench.NewCaller(seed, f.deployment.Domains, func(string) []string { return f.entryURLs() })
}

// runLoad sends the generated requests at their offsets and returns the outcomes
// when all requests have ended.
func (f *fleet) runLoad(o workload.Options) []bench.Outcome {
	caller := f.newCaller(o.Seed)
	defer caller.Close()
	var requests []workload.Request
	for r := range workload.New(f.deployment, o).All() {
		requests = append(requests, r)
	}
	return f.sendAll(caller, requests)
}

// startLoad runs load in the background; the returned function waits for the
// outcomes.
func (f *fleet) startLoad(o workload.Options) (wait func() []bench.Outcome) {
	result := make(chan []bench.Outcome, 1)
	go func() { result <- f.runLoad(o) }()
	return func() []bench.Outcome { return <-result }
}

// sendAll sends each request at its offset and records the outcomes.
func (f *fleet) sendAll(caller *bench.Caller, requests []workload.Request) []bench.Outcome {
	outcomes := make([]bench.Outcome, len(requests))
	var wait sync.WaitGroup
	start := time.Now()
	for i, r := range requests {
		due := start.Add(r.Offset)
		time.Sleep(time.Until(due))
		wait.Go(func() { outcomes[i] = caller.Send(context.Background(), due, r) })
	}
	wait.Wait()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.outcomes = append(f.outcomes, outcomes...)
	return outcomes
}

// newPinnedCaller returns a caller that sends requests only to the given node.
func newPinnedCaller(t *testing.T, p *process) *bench.Caller {
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
func (f *fleet) chat(class, model string, sequence, tokens int, stream bool) workload.Request {
	o := f.deployment.Organisations[0]
	body, err := json.Marshal(map[string]any{
		"model": model, "stream": stream,
		"messages": []any{map[string]string{"role": "user", "content": fmt.Sprintf("question %d of test %d", sequence, f.options.seed)}},
		"metadata": map[string]string{"class": class, "organisation": o.Name, "answer_tokens": strconv.Itoa(tokens)},
	})
	if err != nil {
		f.t.Fatal(err)
	}
	return workload.Request{
		Sequence: sequence, Organisation: o.Name, Key: o.Key, Class: class, Stream: stream, Body: body, AnswerTokens: tokens,
	}
}

// booking returns a booking of a unique slot.
func (f *fleet) booking(sequence int) workload.Request {
	o := f.deployment.Organisations[0]
	slot := fmt.Sprintf("slot-%d-%d", f.options.seed, sequence)
	return workload.Request{
		Sequence: sequence, Organisation: o.Name, Key: o.Key, Class: "booking",
		Service: f.deployment.Service, Method: http.MethodPost, Path: "/bookings",
		Slot: slot, IdempotencyKey: "key-" + slot, Body: fmt.Appendf(nil, `{"slot":%q}`, slot),
	}
}

// spread sets the offsets of the requests at the given interval.
func spread(requests []workload.Request, interval time.Duration) []workload.Request {
	for i := range requests {
		requests[i].Offset = time.Duration(i) * interval
	}
	return requests
}

// refused reports whether the request was rejected with run state NotRun.
func refused(o bench.Outcome) bool { return !o.Answered && o.Code != 0 && o.Run == result.NotRun }

// describe formats an outcome for the message of a failed check.
func describe(o bench.Outcome) string {
	return fmt.Sprintf("request %s (%s %s, sequence %d): answered %v code %d run %s after %s (%v)",
		o.RequestID, o.Request.Organisation, o.Request.Class, o.Request.Sequence, o.Answered, o.Code, o.Run,
		o.Ended.Sub(o.Due).Round(time.Millisecond), o.Cause)
}

// checkAllAnswered checks that no request was rejected or cut off.
func (f *fleet) checkAllAnswered(outcomes []bench.Outcome) {
	f.t.Helper()
	for _, o := range outcomes {
		if !o.Answered {
			f.t.Errorf("%s", describe(o))
		}
	}
}
