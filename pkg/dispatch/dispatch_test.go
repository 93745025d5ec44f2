package dispatch

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"cassiapin/pkg/clock"
	"cassiapin/pkg/config"
	"cassiapin/pkg/idempotency"
	"cassiapin/pkg/plan"
	"cassiapin/pkg/quality"
	"cassiapin/pkg/result"
)

var (
	cheap = config.VersionRef{Model: "m", Version: "cheap"}
	good  = config.VersionRef{Model: "m", Version: "good"}
)

func chatRequest(t *testing.T, nonIdempotent bool, sink Sink) *ChatRequest {
	t.Helper()
	body := `{"messages":[{"role":"user","content":"hello"}]}`
	if sink != nil {
		body = `{"stream":true,"messages":[{"role":"user","content":"hello"}]}`
	}
	chat, err := ParseChat([]byte(body))
	if err != nil {
		t.Fatal(err)
	}
	return &ChatRequest{
		ID: "q1", Organisation: &config.Organisation{Name: "o"},
		Class:          &config.Class{Name: "c", NonIdempotent: nonIdempotent},
		Deadline:       time.Now().Add(10 * time.Second),
		IdempotencyKey: "key", Chat: chat, Sink: sink,
	}
}

func failure(code result.Code, run result.RunState) error {
	return result.New(code, "failed").WithRun(run)
}

// Guards against retries that run a non-idempotent request twice, and against
// errors that report not_run after an attempt that may have run.
func TestRetrySafetyAndRunState(t *testing.T) {
	cases := []struct {
		name          string
		nonIdempotent bool
		first, second error
		attempts      int
		run           result.RunState
		claim         string
	}{
		{"answered", true, nil, nil, 1, "", "done"},
		{"unsent non-idempotent is retried", true, failure(result.ConnectFailed, result.NotRun), nil, 2, "", "done"},
		{"possibly run non-idempotent is not retried", true, failure(result.UpstreamSilent, result.Unknown), nil, 1, result.Unknown, "unknown"},
		{"failed non-idempotent is not retried", true, failure(result.UpstreamError, result.Ran), nil, 1, result.Ran, "unknown"},
		{"idempotent is retried", false, failure(result.UpstreamSilent, result.Unknown), nil, 2, "", ""},
		{"never sent", true, failure(result.NoRunner, result.NotRun), nil, 1, result.NotRun, "not_run"},
		{"later refusal keeps run state unknown", false, failure(result.UpstreamSilent, result.Unknown),
			failure(result.QueueFull, result.NotRun), 2, result.Unknown, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			deps := &fakeDependencies{steps: []plan.Step{{Version: good}}, replies: []reply{{err: c.first}, {err: c.second}}}
			_, err := newDispatcher(t, deps, nil).Chat(context.Background(), chatRequest(t, c.nonIdempotent, nil))
			if len(deps.attempts) != c.attempts {
				t.Errorf("%d attempts, want %d", len(deps.attempts), c.attempts)
			}
			if (err != nil) != (c.run != "") || (err != nil && result.From(err).Run != c.run) {
				t.Errorf("got %v, want run state %q", err, c.run)
			}
			if wantBills := map[bool]int{true: 1, false: 0}[err == nil]; len(deps.bills) != wantBills {
				t.Errorf("%d bills, want %d", len(deps.bills), wantBills)
			}
			if c.claim != "" && deps.claim.outcome != c.claim {
				t.Errorf("claim ended as %q, want %q", deps.claim.outcome, c.claim)
			}
		})
	}
}

// Guards against cascades that bill the rejected answer, omit its cost from the
// overhead, or fail although the first step has answered.
func TestCascade(t *testing.T) {
	steps := []plan.Step{{Version: cheap, Accept: 0.8}, {Version: good}}
	cases := []struct {
		name     string
		rating   float64
		second   error
		version  string
		price    float64
		overhead float64
	}{
		{"accepted", 0.9, nil, "cheap", 1, 0},
		{"escalated", 0.5, nil, "good", 4, 1},
		{"second step unavailable", 0.5, failure(result.NoRunner, result.NotRun), "cheap", 1, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			deps := &fakeDependencies{
				steps: steps, check: config.CheckRating, ratings: []float64{c.rating},
				replies: []reply{{}, {err: c.second}},
			}
			s := newDispatcher(t, deps, nil)
			r := chatRequest(t, false, nil)
			r.Deadline = time.Now().Add(200 * time.Millisecond)
			res, err := s.Chat(context.Background(), r)
			if err != nil {
				t.Fatal(err)
			}
			if len(deps.bills) != 1 {
				t.Fatalf("%d bills, want 1", len(deps.bills))
			}
			got := []any{res.Meta.Version.Version, deps.bills[0].Version, deps.bills[0].Price, deps.bills[0].Overhead}
			want := []any{c.version, c.version, c.price, c.overhead}
			if d := cmp.Diff(want, got); d != "" {
				t.Error(d)
			}
		})
	}
}

// Guards against an interrupted stream that ends with the terminal marker, and
// against events of a rejected cascade step reaching the caller.
func TestStreams(t *testing.T) {
	cut := failure(result.StreamCut, result.Ran)
	cases := []struct {
		name     string
		steps    []plan.Step
		replies  []reply
		events   []string
		code     result.Code
		complete bool
	}{
		{"whole", []plan.Step{{Version: good}}, []reply{{events: []string{"a", "b"}}}, []string{"a", "b", "[DONE]"}, 0, true},
		{"cut before output is retried", []plan.Step{{Version: good}},
			[]reply{{cut: cut}, {events: []string{"a"}}}, []string{"a", "[DONE]"}, 0, true},
		{"cut after output", []plan.Step{{Version: good}},
			[]reply{{events: []string{"a"}, cut: cut}, {events: []string{"x"}}}, []string{"a"}, result.StreamCut, false},
		{"escalated", []plan.Step{{Version: cheap, Accept: 0.8}, {Version: good}},
			[]reply{{events: []string{"bad"}}, {events: []string{"fine"}}}, []string{"fine", "[DONE]"}, 0, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			deps := &fakeDependencies{steps: c.steps, check: config.CheckRating, ratings: []float64{0.1}, replies: c.replies}
			sink := &memorySink{}
			_, err := newDispatcher(t, deps, nil).Chat(context.Background(), chatRequest(t, false, sink))
			if result.CodeOf(err) != c.code {
				t.Errorf("got %v, want code %d", err, c.code)
			}
			if d := cmp.Diff(c.events, sink.events); d != "" {
				t.Error(d)
			}
			if len(deps.bills) != 1 || deps.bills[0].Complete != c.complete {
				t.Errorf("bills %+v, want one with complete=%v", deps.bills, c.complete)
			}
		})
	}
}

// Guards against a caller's retry that runs a completed request again.
func TestStoredOutcomeIsReplayed(t *testing.T) {
	deps := &fakeDependencies{steps: []plan.Step{{Version: good}}, stored: &idempotency.Outcome{Body: []byte("first")}}
	res, err := newDispatcher(t, deps, nil).Chat(context.Background(), chatRequest(t, true, nil))
	if err != nil || string(res.Body) != "first" || !res.Meta.Replayed {
		t.Fatalf("got %+v, %v, want the stored outcome", res, err)
	}
	if len(deps.attempts) != 0 || len(deps.bills) != 0 {
		t.Errorf("%d attempts and %d bills for a replay, want none", len(deps.attempts), len(deps.bills))
	}
}

// Guards against concurrent first requests of a session being answered by
// different versions, and against metadata that names the wrong version.
func TestConcurrentSessionBinding(t *testing.T) {
	for _, stream := range []bool{false, true} {
		deps := &fakeDependencies{
			steps: []plan.Step{{Version: cheap}}, boundElsewhere: good,
			replies: []reply{{events: []string{"other"}}, {events: []string{"mine"}}},
		}
		var sink Sink
		memory := &memorySink{}
		if stream {
			sink = memory
		}
		r := chatRequest(t, false, sink)
		r.Session = "name"
		res, err := newDispatcher(t, deps, nil).Chat(context.Background(), r)
		if err != nil {
			t.Fatal(err)
		}
		if res.Meta.Version != good || deps.bills[0].Version != good.Version || deps.bills[0].Overhead == 0 && !stream {
			t.Errorf("stream %v: answered by %s with bill %+v, want the bound version and the first answer as overhead", stream, res.Meta.Version, deps.bills[0])
		}
		if d := cmp.Diff([]string{"mine", "[DONE]"}, memory.events); stream && d != "" {
			t.Error(d)
		}
	}
}

// Guards against streamed or unstreamed responses that omit BindingLost after
// all replicas of the session's binding were lost.
func TestLostBindingIsReported(t *testing.T) {
	for _, lost := range []bool{false, true} {
		for _, sink := range []Sink{nil, &memorySink{}} {
			deps := &fakeDependencies{steps: []plan.Step{{Version: good}}, replies: []reply{{events: []string{"a"}}}, bindingLost: lost}
			r := chatRequest(t, false, sink)
			r.Session = "name"
			res, err := newDispatcher(t, deps, nil).Chat(context.Background(), r)
			if err != nil || res.Meta.BindingLost != lost {
				t.Fatalf("binding lost %v: got %+v, %v", lost, res, err)
			}
			if m, ok := sink.(*memorySink); ok && m.meta.BindingLost != lost {
				t.Fatalf("binding lost %v: stream started with %+v", lost, m.meta)
			}
		}
	}
}

// Guards against a non-idempotent call that is never billed because its answer
// was lost and the caller's retry got the stored outcome.
func TestReplayedServiceCallIsBilled(t *testing.T) {
	deps := &fakeDependencies{stored: &idempotency.Outcome{Status: 201, Body: []byte("booked")}}
	service := &config.Service{Name: "s", Timeout: config.Duration(5 * time.Second), PricePerCall: 2}
	r := &ServiceRequest{
		ID: "q", Organisation: &config.Organisation{Name: "o"}, Service: service, Method: "POST", Path: "/x", IdempotencyKey: "k",
	}
	s := newDispatcher(t, deps, nil)
	for range 2 {
		if res, err := s.CallService(context.Background(), r); err != nil || !res.Meta.Replayed {
			t.Fatalf("got %+v, %v, want the stored outcome", res, err)
		}
	}
	if len(deps.bills) != 2 || deps.bills[0].ID != deps.bills[1].ID || deps.bills[0].Price != 2 {
		t.Errorf("bills %+v, want the same id for each replay", deps.bills)
	}
}

// Guards against a request that waits for, or fails because of, a version that
// is withdrawn after planning.
func TestVersionWithdrawnWhileWaiting(t *testing.T) {
	for _, full := range []bool{false, true} {
		deps := &fakeDependencies{
			steps: []plan.Step{{Version: cheap}}, withdrawn: cheap, runnersFull: full,
			replanned: []plan.Step{{Version: good}}, replies: []reply{{}},
		}
		res, err := newDispatcher(t, deps, nil).Chat(context.Background(), chatRequest(t, true, nil))
		if err != nil || res.Meta.Version != good || len(deps.attempts) != 1 {
			t.Errorf("runners full %v: got %+v after %d attempts, %v, want the replanned version after 1 attempt", full, res, len(deps.attempts), err)
		}
	}
}

// Guards against running a non-idempotent request again because another request
// bound its session to a different version.
func TestNonIdempotentRunsOnceInBoundSession(t *testing.T) {
	deps := &fakeDependencies{steps: []plan.Step{{Version: cheap}}, boundElsewhere: good, replies: []reply{{}, {}}}
	r := chatRequest(t, true, nil)
	r.Session = "name"
	res, err := newDispatcher(t, deps, nil).Chat(context.Background(), r)
	if err != nil || len(deps.attempts) != 1 || !res.Meta.BindingLost {
		t.Errorf("got %+v after %d attempts, %v, want BindingLost after 1 attempt", res, len(deps.attempts), err)
	}
}

// Guards against calls to endpoints in a failure domain that is out of service,
// and against retries of a non-idempotent call that may have run.
func TestServiceCallRetries(t *testing.T) {
	endpoints := []config.ServiceEndpoint{
		{URL: "http://1", FailureDomain: "a"}, {URL: "http://2", FailureDomain: "b"}, {URL: "http://3", FailureDomain: "c"},
	}
	unknown := failure(result.UpstreamSilent, result.Unknown)
	unsent := failure(result.ConnectFailed, result.NotRun)
	cases := []struct {
		name, method string
		replies      []reply
		want         string
		run          result.RunState
	}{
		{"idempotent is retried after unknown outcome", "GET", []reply{{err: unknown}, {}}, "bc", ""},
		{"non-idempotent is not retried after unknown outcome", "POST", []reply{{err: unknown}, {}}, "b", result.Unknown},
		{"unsent non-idempotent is retried", "POST", []reply{{err: unsent}, {}}, "bc", ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			deps := &fakeDependencies{replies: c.replies}
			s := newDispatcher(t, deps, config.Marks{"domain/a": {State: config.MarkOut}})
			service := &config.Service{Name: "s", Endpoints: endpoints, Timeout: config.Duration(5 * time.Second)}
			_, err := s.CallService(context.Background(), &ServiceRequest{
				ID: "q", Organisation: &config.Organisation{Name: "o"}, Service: service,
				Method: c.method, Path: "/x", IdempotencyKey: "k",
			})
			if got := strings.Join(deps.calledDomains, ""); got != c.want {
				t.Errorf("called %q, want %q", got, c.want)
			}
			if err != nil && result.From(err).Run != c.run {
				t.Errorf("got %v, want run state %q", err, c.run)
			}
		})
	}
}

// Guards against timeouts on answers that are slow but as expected, and against
// a lost answer that uses up the whole deadline.
func TestFirstByteTimeout(t *testing.T) {
	const remaining = 8 * time.Second
	cases := []struct {
		name           string
		expected, want time.Duration
	}{
		{"nothing observed", 0, remaining},
		{"fast", 100 * time.Millisecond, remaining / 2},
		{"slow", 1500 * time.Millisecond, 6 * time.Second},
		{"as slow as the deadline", remaining, remaining},
	}
	for _, c := range cases {
		deps := &fakeDependencies{estimate: quality.Estimate{Time: c.expected}}
		s := newDispatcher(t, deps, nil)
		fake := clock.NewFake(time.Unix(1000, 0))
		s.clock = fake
		r := chatRequest(t, false, nil)
		r.Deadline = fake.Now().Add(remaining)
		if got := (&chatFlow{service: s, request: r}).firstByteTimeout(good); got != c.want {
			t.Errorf("%s: timeout %s, want %s", c.name, got, c.want)
		}
	}
}

// Guards against panics and unexpected errors on malformed request bodies.
func FuzzParseChat(f *testing.F) {
	f.Add([]byte(`{"model":"m@1","stream":true,"messages":[{"role":"user","content":[{"type":"text","text":"x"}]}]}`))
	f.Add([]byte(`{"metadata":null,"messages":[{"role":"user","content":null}]}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		c, err := ParseChat(body)
		if err != nil {
			if e := result.From(err); e.Code != result.BadRequest || e.Run != result.NotRun {
				t.Fatalf("unexpected error %v", err)
			}
			return
		}
		if _, err := c.engineBody(good, "c", c.Stream); err != nil && result.CodeOf(err) != result.BadRequest {
			t.Fatal(err)
		}
	})
}
