package relay

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"testing"
	"time"

	"cassiapin/pkg/result"
	"cassiapin/pkg/topology"
)

// TestAtMostOnceNotRepeated guards against running an at-most-once request
// twice, and against a 503, which promises that the request has not run, after
// an attempt that may have run it.
func TestAtMostOnceNotRepeated(t *testing.T) {
	for _, tc := range []struct {
		name   string
		first  func(context.Context, *Send) (*Answer, error)
		sends  string
		status int
	}{
		{"answered", answers(200, "ok"), "a", 200},
		{"application failed", answers(500, "no"), "a", 500},
		{"answer lost", answerLost, "a", http.StatusBadGateway},
		{"unreachable", unreachable, "a b", 200},
		{"not run", changed(503, "", func(a *Answer) { a.NotRun, a.Signed = true, false }), "a", http.StatusServiceUnavailable},
		{"wrong instance", changed(421, "", func(a *Answer) { a.WrongInstance, a.Signed = true, false }), "a", http.StatusServiceUnavailable},
		{"unsigned", changed(200, "x", func(a *Answer) { a.Signed = false }), "a", http.StatusBadGateway},
		{"answer to another request", changed(200, "x", func(a *Answer) { a.MatchesRequest = false }), "a", http.StatusBadGateway},
		{"truncated body", changed(200, "", func(a *Answer) { a.Body = resetBody{strings.NewReader("half")} }), "a", http.StatusBadGateway},
		{"silent", silent, "a", http.StatusGatewayTimeout},
	} {
		t.Run(tc.name, func(t *testing.T) {
			svc := newTestService(t)
			svc.client.scripts["a"], svc.client.scripts["b"] = tc.first, answers(200, "ok")
			resp := svc.run("/booking/1", func(r *Request) { r.Timeout = 300 * time.Millisecond })
			got := resp.status
			if resp.refusal != nil {
				got = resp.refusal.Status
			}
			if got != tc.status || svc.client.upstreams() != tc.sends {
				t.Errorf("status %d with sends %q, want %d with %q", got, svc.client.upstreams(), tc.status, tc.sends)
			}
			if resp.refusal != nil && resp.refusal.Status == http.StatusServiceUnavailable && resp.refusal.RetryAfter <= 0 {
				t.Error("503 refusal without a retry delay")
			}
		})
	}
}

// TestRepeatableRetried guards against forwarding a failure while another
// upstream could answer, and against more sends than the route's MaxUpstreams.
func TestRepeatableRetried(t *testing.T) {
	for _, tc := range []struct {
		name          string
		first, second func(context.Context, *Send) (*Answer, error)
		sends         string
		status        int
	}{
		{"application failed", answers(500, "no"), answers(200, "ok"), "a b", 200},
		{"answer lost", answerLost, answers(200, "ok"), "a b", 200},
		{"silent", silent, answers(200, "ok"), "a b", 200},
		{"truncated body", changed(200, "", func(a *Answer) { a.Body = resetBody{strings.NewReader("half")} }), answers(200, "ok"), "a b", 200},
		{"encoded", changed(200, "x", func(a *Answer) { a.Encoded = true }), answers(200, "ok"), "a b", 200},
		{"both failed", answers(500, "no"), answers(500, "no"), "a b", 500},
		{"both lost", answerLost, answerLost, "a b", http.StatusBadGateway},
		{"both unreachable", unreachable, unreachable, "a b", http.StatusServiceUnavailable},
	} {
		t.Run(tc.name, func(t *testing.T) {
			svc := newTestService(t)
			svc.client.scripts["a"], svc.client.scripts["b"] = tc.first, tc.second
			resp := svc.run("/lookup/1")
			got := resp.status
			if resp.refusal != nil {
				got = resp.refusal.Status
			}
			if got != tc.status || svc.client.upstreams() != tc.sends {
				t.Errorf("status %d with sends %q, want %d with %q", got, svc.client.upstreams(), tc.status, tc.sends)
			}
			if got == 200 && resp.body.String() != "ok" {
				t.Errorf("body %q", resp.body.String())
			}
		})
	}
}

// TestAdmissionRefusals guards against wrong codes of refusals: a node without a
// configuration has to answer 503, not 401 or 404, as it has no keys or routes
// yet.
func TestAdmissionRefusals(t *testing.T) {
	svc := newTestService(t)
	svc.client.scripts["a"] = answers(200, "ok")
	if resp := svc.run("/nowhere/"); resp.refusal == nil || resp.refusal.Status != 404 {
		t.Errorf("unknown path: %+v", resp.refusal)
	}
	if resp := svc.run("/lookup/1", func(r *Request) { r.Key = "other" }); resp.refusal == nil || resp.refusal.Status != 401 {
		t.Errorf("unknown key: %+v", resp.refusal)
	}
	svc.config.Routes[0].Public = true
	svc.node.view = &topology.View{}
	resp := svc.run("/lookup/1", func(r *Request) { r.Key = "other"; r.Timeout = 20 * time.Second })
	if resp.refusal == nil || resp.refusal.Code != result.NoConfiguration || resp.refusal.Status != 503 {
		t.Fatalf("without a configuration: %+v", resp.refusal)
	}
	if resp.refusal.RetryAfter != 2*time.Second {
		t.Errorf("retry after %s, want a tenth of the caller's timeout", resp.refusal.RetryAfter)
	}
}

// TestOutdatedViewDoesNotDeny guards against 401 and 404 from a node that has missed
// configurations: the request waits for the current one, and is refused as not run
// if that does not arrive.
func TestOutdatedViewDoesNotDeny(t *testing.T) {
	for name, change := range map[string]func(r *Request){
		"path": func(r *Request) { r.Path, r.Target = "/nowhere/", "/nowhere/" }, "key": func(r *Request) { r.Key = "other" },
	} {
		svc := newTestService(t)
		svc.node.outdated = true
		resp := svc.run("/lookup/1", change, func(r *Request) { r.Timeout = 20 * time.Second })
		if resp.refusal == nil || resp.refusal.Code != result.NoConfiguration || resp.refusal.RetryAfter == 0 {
			t.Errorf("%s unknown to an outdated node: %+v, want code %d with a delay", name, resp.refusal, result.NoConfiguration)
		}
	}
	svc := newTestService(t)
	svc.client.scripts["a"] = answers(200, "ok")
	complete := svc.node.view
	svc.node.view = &topology.View{Config: &topology.Config{Version: 1}, Upstreams: complete.Upstreams}
	svc.node.onAwaitCurrent = func() { svc.node.view = complete }
	if resp := svc.run("/lookup/1"); resp.status != 200 {
		t.Errorf("a route that the node learns while the request waits: status %d, refusal %+v", resp.status, resp.refusal)
	}
}

// TestDenialsNameConfirmation guards against log lines of denials that do not show what
// the configuration that denied was confirmed by.
func TestDenialsNameConfirmation(t *testing.T) {
	for _, outdated := range []bool{false, true} {
		svc := newTestService(t)
		svc.node.outdated = outdated
		var lines bytes.Buffer
		svc.log = slog.New(slog.NewJSONHandler(&lines, nil))
		svc.run("/nowhere/")
		for _, want := range []string{`"proof":"read"`, `"proof_ms":40`, `"rev":7`, `"ann":0`, `"rank":1`} {
			if !strings.Contains(lines.String(), want) {
				t.Errorf("outdated %t: no %s in %s", outdated, want, &lines)
			}
		}
	}
}

// TestSendsOnlyToEligibleUpstreams guards against sends to upstreams that are
// not eligible for the request.
func TestSendsOnlyToEligibleUpstreams(t *testing.T) {
	for _, tc := range []struct {
		name   string
		change func(svc *testService)
		want   string
	}{
		{"nearest", func(*testService) {}, "a"},
		{"draining", func(svc *testService) { svc.upstream("a").Draining = true }, "b"},
		{"evacuated", func(svc *testService) { svc.node.view.Evacuated["d1"] = true }, "b"},
		{"region of the route", func(svc *testService) {
			for _, r := range svc.config.Routes {
				r.Regions = []string{"r2"}
			}
		}, "b"},
		{"region of the organisation", func(svc *testService) { svc.config.Organisations[0].Regions = []string{"r2"} }, "b"},
		{"both regions", func(svc *testService) {
			svc.config.Organisations[0].Regions = []string{"r2"}
			for _, r := range svc.config.Routes {
				r.Regions = []string{"r1"}
			}
		}, ""},
		{"cold limit used up", func(svc *testService) {
			svc.upstream("a").ColdUntil = time.Now().Add(time.Minute)
			for svc.opts.Cold.Take(svc.upstream("a"), 10, svc.node.ids, time.Now()) {
			}
		}, "b"},
		{"cold limit used up everywhere", func(svc *testService) {
			svc.upstream("a").ColdUntil, svc.upstream("b").Draining = time.Now().Add(time.Minute), true
			for svc.opts.Cold.Take(svc.upstream("a"), 10, svc.node.ids, time.Now()) {
			}
		}, ""},
		{"refusing", func(svc *testService) { svc.opts.Table.Refused(svc.upstream("a"), 5*time.Second, time.Now()) }, "b"},
		{"leaving", func(svc *testService) { svc.opts.Table.Left(svc.upstream("a"), time.Now()) }, "b"},
		{"all draining", func(svc *testService) { svc.upstream("a").Draining, svc.upstream("b").Draining = true, true }, ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			svc := newTestService(t)
			svc.client.scripts["a"], svc.client.scripts["b"] = answers(200, "ok"), answers(200, "ok")
			tc.change(svc)
			resp := svc.run("/booking/1")
			if got := svc.client.upstreams(); got != tc.want {
				t.Errorf("sent to %q, want %q", got, tc.want)
			}
			if tc.want == "" && (resp.refusal == nil || resp.refusal.Status != 503) {
				t.Errorf("refusal %+v, want 503", resp.refusal)
			}
		})
	}
}

func (svc *testService) upstream(id string) *topology.Upstream {
	for _, u := range svc.node.view.Upstreams["pool"] {
		if u.ID == id {
			return u
		}
	}
	return nil
}

// TestRefusedWithoutUpstreams guards against holding a request for longer than
// the permitted part of the latency objective if there is no upstream.
func TestRefusedWithoutUpstreams(t *testing.T) {
	svc := newTestService(t)
	svc.node.view.Upstreams = nil
	start := time.Now()
	resp := svc.run("/lookup/1")
	if resp.refusal == nil || time.Since(start) > 200*time.Millisecond {
		t.Errorf("refusal %+v after %s", resp.refusal, time.Since(start))
	}
}

// TestCallerLeavingCancelsRequest guards against a request that is retried
// after its caller has disconnected.
func TestCallerLeavingCancelsRequest(t *testing.T) {
	svc := newTestService(t)
	svc.client.scripts["a"], svc.client.scripts["b"] = silent, answers(200, "ok")
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(50*time.Millisecond, cancel)
	resp := &recordingResponder{}
	svc.Serve(ctx, &Request{ID: "id", Host: "h", Path: "/lookup/1", Key: "key", Timeout: time.Second, Received: time.Now()}, resp)
	if !resp.aborted || svc.client.upstreams() != "a" {
		t.Errorf("aborted %v, sends %q", resp.aborted, svc.client.upstreams())
	}
	if svc.Open() != 0 {
		t.Errorf("%d requests are open", svc.Open())
	}
}

// TestFailuresNotCountedAgainstUpstream guards against avoiding an upstream
// because of a caller that disconnected or had a short deadline, or because of a
// request that the application fails at every upstream.
func TestFailuresNotCountedAgainstUpstream(t *testing.T) {
	fails := answers(500, "no")
	steady := sendsEndlessly(event(1), event(1), 50*time.Millisecond)
	stream := func(r *Request) { r.Path = "/draft/1" }
	for _, tc := range []struct {
		name            string
		a, b            func(context.Context, *Send) (*Answer, error)
		change          func(r *Request)
		disconnectAfter time.Duration
		avoided         bool
	}{
		{"caller disconnects early", silent, silent, nil, 50 * time.Millisecond, false},
		{"caller disconnects late from a steady stream", steady, steady, stream, 600 * time.Millisecond, false},
		{"caller disconnects late without an answer", silent, silent, stream, 600 * time.Millisecond, true},
		{"short deadline", silent, silent, func(r *Request) { r.Timeout = 60 * time.Millisecond }, 0, false},
		{"fails everywhere", fails, fails, nil, 0, false},
		{"fails at one upstream", fails, answers(200, "ok"), nil, 0, true},
		{"silent beyond the objective", silent, answers(200, "ok"), nil, 0, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			svc := newTestService(t)
			svc.client.scripts["a"], svc.client.scripts["b"] = tc.a, tc.b
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			if tc.disconnectAfter > 0 {
				time.AfterFunc(tc.disconnectAfter, cancel)
			}
			r := &Request{ID: "id", Host: "h", Path: "/lookup/1", Key: "key", Timeout: 2 * time.Second, Received: time.Now()}
			if tc.change != nil {
				tc.change(r)
			}
			svc.Serve(ctx, r, &recordingResponder{})
			svc.client.scripts["a"], svc.client.scripts["b"] = answers(200, "ok"), answers(200, "ok")
			svc.client.sends = nil
			svc.run("/lookup/1")
			if avoided := svc.client.upstreams() != "a"; avoided != tc.avoided {
				t.Errorf("next request was sent to %q", svc.client.upstreams())
			}
		})
	}
}

// TestRemainingTimePassedOn guards against giving an upstream more time than
// the caller has left.
func TestRemainingTimePassedOn(t *testing.T) {
	svc := newTestService(t)
	svc.client.scripts["a"] = answers(200, "ok")
	svc.run("/lookup/1", func(r *Request) { r.Received = r.Received.Add(-500 * time.Millisecond); r.Timeout = time.Second })
	if got := svc.client.sends[0].Remaining; got > 500*time.Millisecond || got < 400*time.Millisecond {
		t.Errorf("remaining time %s, want 400 to 500 ms", got)
	}
}

var _ io.Closer = resetBody{}

// TestAwaitsView guards against a process that was paused and admits or sends a
// request by what it knew before the pause.
func TestAwaitsView(t *testing.T) {
	svc := newTestService(t)
	svc.client.scripts["a"] = unreachable
	svc.client.scripts["b"] = answers(200, "ok")
	if resp := svc.run("/lookup/"); resp.status != 200 {
		t.Fatalf("status %d", resp.status)
	}
	// At the arrival and before each of two sends.
	if n := svc.node.awaited.Load(); n != 3 {
		t.Errorf("the view was awaited %d times, want 3", n)
	}
}
