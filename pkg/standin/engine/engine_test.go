package engine_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"cassiapin/pkg/config"
	"cassiapin/pkg/runners"
	"cassiapin/pkg/standin"
	"cassiapin/pkg/standin/engine"
	"cassiapin/pkg/upstream"
)

// testScale reduces the token interval to 20 µs.
const testScale = 0.001

var small1 = config.VersionRef{Model: "small", Version: "1"}

func start(t *testing.T, o engine.Options) (*engine.Engine, string) {
	t.Helper()
	o.Versions = append(o.Versions, engine.Version{Ref: small1})
	o.TimeScale = testScale
	e := engine.New(o)
	url, stop, err := e.Start("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stop)
	return e, url
}

// body returns a request for an answer of 40 tokens, which is 10 chunks.
func body(prompt string, stream bool) []byte {
	return fmt.Appendf(nil, `{"model":"small","stream":%v,"messages":[{"role":"user","content":%q}],`+
		`"metadata":{"class":"draft","answer_tokens":"40"}}`, stream, prompt)
}

func post(ctx context.Context, url, attempt string, body []byte) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set(upstream.HeaderAttempt, attempt)
	req.Header.Set(upstream.HeaderVersion, "1")
	return http.DefaultClient.Do(req)
}

// readStream returns the texts of the chunks and whether [DONE] was received.
func readStream(r io.Reader) (texts []string, done bool) {
	for sc := bufio.NewScanner(r); sc.Scan(); {
		data, ok := strings.CutPrefix(sc.Text(), "data: ")
		if data == "[DONE]" {
			return texts, true
		}
		var c struct {
			Choices []struct{ Delta struct{ Content string } }
		}
		if ok && json.Unmarshal([]byte(data), &c) == nil && len(c.Choices) > 0 && c.Choices[0].Delta.Content != "" {
			texts = append(texts, c.Choices[0].Delta.Content)
		}
	}
	return texts, false
}

func await(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("timed out waiting for: ", what)
		}
	}
}

// Guards against an engine that accepts more requests than the limit of a cold
// start, or does not count the excess ones.
func TestColdViolationIsCountedAndFails(t *testing.T) {
	e, url := start(t, engine.Options{ColdLimit: 2, ColdTime: 1000 * time.Hour})
	e.SetFaults(engine.Faults{Hang: true})
	ctx, cancel := context.WithCancel(t.Context())
	var open sync.WaitGroup
	for i := range 2 {
		open.Go(func() {
			if resp, err := post(ctx, url, fmt.Sprint("held-", i), body("x", false)); err == nil {
				_ = resp.Body.Close()
			}
		})
	}
	await(t, "two running requests", func() bool { return e.Load().Running == 2 })
	resp, err := post(t.Context(), url, "third", body("x", false))
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	if resp.StatusCode != 503 || resp.Header.Get(upstream.HeaderEngineState) != "cold" {
		t.Fatalf("third request: %v %v, want a cold 503", resp.StatusCode, resp.Header)
	}
	cancel()
	open.Wait()
	await(t, "both requests cancelled", func() bool { return e.Counters().Cancelled == 2 })
	if c := e.Counters(); c.ColdViolations != 1 || c.MaxWhileCold != 2 || c.Executed["third"] != 0 {
		t.Fatalf("counters %+v", c)
	}
}

// Guards against a cold start that never ends, and against counting requests
// as violations before a router can know of an unannounced cold start.
func TestForcedColdStartHasGraceThenWarmsUp(t *testing.T) {
	e, url := start(t, engine.Options{Warm: true, ColdLimit: 1, ColdTime: 1000 * time.Hour, WarmRequests: 3, ColdGrace: time.Hour})
	e.ForceCold()
	e.SetFaults(engine.Faults{Hang: true, Requests: 1})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() {
		if resp, err := post(ctx, url, "held", body("x", false)); err == nil {
			_ = resp.Body.Close()
		}
	}()
	await(t, "a running request", func() bool { return e.Load().Running == 1 })
	resp, err := post(t.Context(), url, "above", body("x", false))
	if err != nil || resp.StatusCode != 503 {
		t.Fatalf("%v %v, want 503", resp, err)
	}
	_ = resp.Body.Close()
	cancel()
	await(t, "no running request", func() bool { return e.Load().Running == 0 })
	for i := range 3 {
		resp, err := post(t.Context(), url, fmt.Sprint("warm-up-", i), body("x", false))
		if err != nil || resp.StatusCode != 200 {
			t.Fatalf("warm-up: %v %v", resp, err)
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
	}
	await(t, "a state other than cold after three warm-up requests", func() bool { return e.State() != engine.Cold })
	if c := e.Counters(); c.ColdViolations != 0 || c.RefusedInGrace != 1 {
		t.Fatalf("counters %+v", c)
	}
}

// Guards against a resumed stream that repeats, loses or changes tokens, a
// hung connection that blocks resuming its stream, and a resume that counts as
// a second execution.
func TestInterruptedStreamIsResumed(t *testing.T) {
	faults := map[string]engine.Faults{
		"cut":  {Cut: true, CutAfter: 12, Requests: 1},
		"hang": {Hang: true, HangAfter: 12, Requests: 1},
	}
	for name, f := range faults {
		t.Run(name, func(t *testing.T) {
			e, url := start(t, engine.Options{Warm: true, ResumeWindow: 1000 * time.Hour})
			want, err := e.Expected(body("tell me", true), small1, "")
			if err != nil {
				t.Fatal(err)
			}
			e.SetFaults(f)
			resp, err := post(t.Context(), url, "a1", body("tell me", true))
			if err != nil || resp.Header.Get(upstream.HeaderAttempt) != "a1" {
				t.Fatalf("%v %v", resp, err)
			}
			defer resp.Body.Close()
			await(t, "12 tokens", func() bool { return e.Counters().TokensGenerated == 12 })
			resumed, err := http.Get(url + "/v1/streams/a1?from=3")
			if err != nil || resumed.StatusCode != 200 {
				t.Fatalf("resume: %v %v", resumed, err)
			}
			defer resumed.Body.Close()
			texts, done := readStream(resp.Body)
			rest, restDone := readStream(resumed.Body)
			if got := strings.Join(append(texts, rest...), ""); got != want || done || !restDone || len(texts) != 3 {
				t.Fatalf("%d chunks, then %q; want 3, then the rest of %q", len(texts), rest, want)
			}
			if c := e.Counters(); c.Executed["a1"] != 1 || c.Resumed != 1 || c.TokensGenerated != 40 {
				t.Fatalf("counters %+v", c)
			}
		})
	}
}

// Guards against a queue that ignores priorities.
func TestQueueFollowsPriorities(t *testing.T) {
	e, url := start(t, engine.Options{Warm: true, Capacity: 1})
	e.SetFaults(engine.Faults{Hang: true})
	var open sync.WaitGroup
	defer open.Wait()
	send := func(attempt, priority string) context.CancelFunc {
		ctx, cancel := context.WithCancel(t.Context())
		req, _ := http.NewRequestWithContext(ctx, "POST", url+"/v1/chat/completions", bytes.NewReader(body("x", false)))
		req.Header.Set(upstream.HeaderAttempt, attempt)
		req.Header.Set(upstream.HeaderPriority, priority)
		open.Go(func() {
			if resp, err := http.DefaultClient.Do(req); err == nil {
				_ = resp.Body.Close()
			}
		})
		return cancel
	}
	cancelFirst := send("first", "5")
	await(t, "a running request", func() bool { return e.Counters().Executed["first"] == 1 })
	defer send("low", "1")()
	await(t, "a queued request", func() bool { return e.Load().Queued == 1 })
	defer send("high", "9")()
	await(t, "two queued requests", func() bool { return e.Load().Queued == 2 })
	cancelFirst()
	await(t, "the high-priority request to run", func() bool { return e.Counters().Executed["high"] == 1 })
	if n := e.Counters().Executed["low"]; n != 0 {
		t.Fatalf("the low-priority request ran %d times before the high-priority one ended", n)
	}
}

// Guards against answers that depend on which engine generated them, and
// against a quality whose mean differs from the configured one.
func TestAnswersAreDeterministicAndMatchSetQuality(t *testing.T) {
	quality := standin.NewQualityModel()
	quality.Set("draft", small1, 0.6)
	a, _ := start(t, engine.Options{Quality: quality, Seed: 7})
	b, _ := start(t, engine.Options{Quality: quality, Seed: 7, Name: "other"})
	sum := 0.0
	const n = 2000
	for i := range n {
		prompt := body(fmt.Sprint("prompt ", i), false)
		x, _ := a.Expected(prompt, small1, "")
		y, _ := b.Expected(prompt, small1, "")
		id, ok := standin.ParseAnswerID(x)
		if x != y || !ok || id.Ref != small1 || id.Class != "draft" {
			t.Fatalf("%q and %q, id %+v", x, y, id)
		}
		sum += quality.Quality(id)
	}
	if mean := sum / n; mean < 0.58 || mean > 0.62 {
		t.Fatalf("mean quality %f, want 0.6", mean)
	}
}

// Guards against an engine that accepts unlimited load, and against queued
// requests that are reported as executed.
func TestOverloadCrashesEngine(t *testing.T) {
	e, url := start(t, engine.Options{Warm: true, Capacity: 1, QueueLimit: 1, OverloadDowntime: 1000 * time.Hour})
	e.SetFaults(engine.Faults{Hang: true, Requests: 1})
	statuses := make(chan int, 3)
	send := func(attempt string) {
		resp, err := post(t.Context(), url, attempt, body("x", false))
		if err != nil {
			statuses <- 0
			return
		}
		_ = resp.Body.Close()
		statuses <- resp.StatusCode
	}
	go send("running")
	await(t, "a running request", func() bool { return e.Load().Running == 1 })
	go send("queued")
	await(t, "a queued request", func() bool { return e.Load().Queued == 1 })
	send("too much")
	got := map[int]int{}
	for range 3 {
		got[<-statuses]++
	}
	if diff := cmp.Diff(map[int]int{0: 1, 503: 2}, got); diff != "" {
		t.Fatal(diff)
	}
	if c := e.Counters(); c.Overloads != 1 || c.Executed["queued"] != 0 || e.Load().MaxConcurrency != 0 {
		t.Fatalf("counters %+v", c)
	}
}

// Guards against a prefix cache that never hits or is unbounded.
func TestPrefixCacheIsBounded(t *testing.T) {
	e, url := start(t, engine.Options{Warm: true, CacheTokens: 64})
	cached := func(prompt string) int {
		resp, err := post(t.Context(), url, "", body(prompt, false))
		if err != nil {
			t.Fatal(err)
		}
		defer resp.Body.Close()
		var a struct {
			Usage upstream.Usage `json:"usage"`
		}
		if err := json.NewDecoder(resp.Body).Decode(&a); err != nil {
			t.Fatal(err)
		}
		return a.Usage.CachedTokens
	}
	long := strings.Repeat("word ", 40)
	if first, second := cached(long), cached(long); first != 0 || second != 32 {
		t.Fatalf("cached %d then %d, want 0 then 32", first, second)
	}
	cached(strings.Repeat("other ", 70))
	if again := cached(long); again != 0 {
		t.Fatalf("cached %d after eviction, want 0", again)
	}
	if c := e.Counters(); c.CachedTokens != 32 {
		t.Fatalf("counters %+v", c)
	}
}

// Guards against an engine that checks fencing numbers but accepts an order
// with a stale one, and a load report that runners.Report cannot decode.
func TestOrdersAndLoadReport(t *testing.T) {
	for _, fencing := range []bool{true, false} {
		e, url := start(t, engine.Options{Name: "r1", Fencing: fencing, LoadTime: time.Millisecond})
		order := func(number, action, version string) int {
			req, _ := http.NewRequest("POST", url+"/orders",
				strings.NewReader(fmt.Sprintf(`{"action":%q,"version":%q}`, action, version)))
			req.Header.Set(upstream.HeaderFencing, number)
			resp, err := http.DefaultClient.Do(req)
			if err != nil {
				t.Fatal(err)
			}
			_ = resp.Body.Close()
			return resp.StatusCode
		}
		if s := order("5", "load", "small@2"); s != 202 {
			t.Fatalf("load: %d, want 202", s)
		}
		await(t, "small@2 loaded", func() bool { return len(e.Load().Versions) == 2 })
		want := map[bool]int{true: 409, false: 200}[fencing]
		if s := order("4", "unload", "small@2"); s != want {
			t.Fatalf("stale order: %d, want %d", s, want)
		}
		resp, err := http.Get(url + "/load")
		if err != nil {
			t.Fatal(err)
		}
		var r runners.Report
		if err := json.NewDecoder(resp.Body).Decode(&r); err != nil {
			t.Fatal(err)
		}
		_ = resp.Body.Close()
		if r.Upstream != "r1" || r.State != runners.Cold || r.MaxConcurrency != engine.DefaultColdLimit || r.Sequence != 1 {
			t.Fatalf("report %+v", r)
		}
	}
}
