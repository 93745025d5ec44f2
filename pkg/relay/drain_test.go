package relay

import (
	"cmp"
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"cassiapin/pkg/clock"
	"cassiapin/pkg/drain"
	"cassiapin/pkg/result"
	"cassiapin/pkg/topology"
)

// stopping makes the service's node leave, with a grace period that has lasted for a
// time.
func (svc *testService) stopping(grace, since time.Duration) *drain.Stop {
	stop := drain.NewStop()
	stop.Begin(drain.NewPhases(time.Now().Add(-since), grace))
	svc.opts.Stop = stop
	return stop
}

// stalled answers with the given events and then nothing.
func stalled(raw string) func(context.Context, *Send) (*Answer, error) {
	return func(ctx context.Context, s *Send) (*Answer, error) {
		r, w := io.Pipe()
		context.AfterFunc(ctx, func() { _ = w.CloseWithError(ctx.Err()) })
		go func() { _, _ = io.WriteString(w, raw) }()
		return changed(200, "", func(a *Answer) { a.Body = r })(ctx, s)
	}
}

// TestAbortedRequestsAreAnswered guards against requests that end without an answer
// because the node stops, and against answers that promise too much.
func TestAbortedRequestsAreAnswered(t *testing.T) {
	for _, tc := range []struct {
		name, path string
		upstream   func(context.Context, *Send) (*Answer, error)
		status     int
		aborted    bool
	}{
		{"at most once, silent", "/booking/1", silent, http.StatusBadGateway, false},
		{"repeatable, silent", "/lookup/1", silent, http.StatusBadGateway, false},
		{"stream, silent", "/once/1", silent, http.StatusBadGateway, false},
		{"stream that has begun", "/once/1", stalled(event(1)), 0, true},
		{"no upstream", "/booking/1", nil, http.StatusServiceUnavailable, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			svc := newTestService(t)
			svc.client.scripts["a"], svc.client.scripts["b"] = tc.upstream, tc.upstream
			if tc.upstream == nil {
				svc.node.view.Upstreams = map[string][]*topology.Upstream{}
			}
			for _, r := range svc.config.Routes {
				r.Timeout, r.TargetLatency, r.GapTarget = time.Minute, time.Minute, time.Minute
			}
			stop := svc.stopping(time.Hour, 0)
			time.AfterFunc(100*time.Millisecond, stop.Abort)
			resp := svc.run(tc.path, func(r *Request) { r.Timeout = time.Minute })
			status := 0
			if resp.refusal != nil {
				status = resp.refusal.Status
			}
			if status != tc.status || resp.aborted != tc.aborted {
				t.Errorf("status %d, aborted %v, want %d, %v", status, resp.aborted, tc.status, tc.aborted)
			}
			if status == http.StatusServiceUnavailable && resp.refusal.RetryAfter <= 0 {
				t.Error("a refusal without a retry delay")
			}
		})
	}
}

// TestLeavingNodeSendsOnlyWhatEnds guards against requests that a leaving node passes
// on although they are likely to outlast it.
func TestLeavingNodeSendsOnlyWhatEnds(t *testing.T) {
	const grace = 8 * time.Second
	unsure := changed(200, events(1, 2), func(a *Answer) { a.Confidence = 0 })
	for _, tc := range []struct {
		name, path string
		// since is the time since the request for the stop, took what requests of the
		// route took before, timeout the route's.
		since, took, timeout time.Duration
		a, b                 func(context.Context, *Send) (*Answer, error)
		cascade              bool
		sends                string
		status               int
	}{
		{name: "short", path: "/booking/1", since: 2 * time.Second, took: time.Second, a: answers(200, "ok"), sends: "a", status: 200},
		{name: "long", path: "/once/1", since: 2 * time.Second, took: 6 * time.Second, a: answers(200, "ok"), sends: "", status: 503},
		{name: "long, bounded by its timeout", path: "/booking/1", since: 2 * time.Second, took: time.Minute, timeout: 4 * time.Second, a: answers(200, "ok"), sends: "a", status: 200},
		{name: "second attempt", path: "/lookup/1", since: 6400 * time.Millisecond, took: 700 * time.Millisecond, a: lateFailure, b: answers(200, "ok"), sends: "a", status: 500},
		{name: "second attempt in time", path: "/lookup/1", since: 5 * time.Second, took: 700 * time.Millisecond, a: lateFailure, b: answers(200, "ok"), sends: "a b", status: 200},
		{name: "larger model", path: "/draft/1", since: 6800 * time.Millisecond, took: 450 * time.Millisecond, a: lateAnswer(unsure), b: unsure, cascade: true, sends: "a", status: 200},
		{name: "larger model in time", path: "/draft/1", since: 5 * time.Second, took: 450 * time.Millisecond, a: unsure, b: unsure, cascade: true, sends: "a a", status: 200},
	} {
		t.Run(tc.name, func(t *testing.T) {
			svc := newTestService(t)
			svc.client.scripts["a"], svc.client.scripts["b"] = tc.a, tc.b
			for _, r := range svc.config.Routes {
				r.Timeout, r.TargetLatency = cmp.Or(tc.timeout, time.Minute), 4*time.Second
				for range 4 {
					svc.durations.Record(r.Name, tc.took)
				}
			}
			svc.stopping(grace, tc.since)
			resp := svc.run(tc.path, func(r *Request) { r.Timeout, r.Cascade = time.Minute, tc.cascade })
			status := resp.status
			if resp.refusal != nil {
				status = resp.refusal.Status
			}
			if status != tc.status || svc.client.upstreams() != tc.sends {
				t.Errorf("status %d with sends %q, want %d with %q", status, svc.client.upstreams(), tc.status, tc.sends)
			}
			if status == http.StatusServiceUnavailable && (resp.refusal.Code != result.Draining || resp.refusal.RetryAfter <= 0) {
				t.Errorf("refused with %d, Retry-After %v", resp.refusal.Code, resp.refusal.RetryAfter)
			}
		})
	}
}

// lateAnswer makes an upstream answer after 300 ms.
func lateAnswer(answer func(context.Context, *Send) (*Answer, error)) func(context.Context, *Send) (*Answer, error) {
	return func(ctx context.Context, s *Send) (*Answer, error) {
		time.Sleep(300 * time.Millisecond)
		return answer(ctx, s)
	}
}

// lateFailure is an upstream's failure after 300 ms.
var lateFailure = lateAnswer(answers(500, "no"))

// TestStopHoldsBackChosenSend guards against a request that is sent after the stop began
// between the choice of its upstream and its first byte.
func TestStopHoldsBackChosenSend(t *testing.T) {
	svc := newTestService(t)
	for range 4 {
		svc.durations.Record("/booking/", time.Second)
	}
	stop := drain.NewStop()
	svc.opts.Stop = stop
	svc.client.scripts["a"] = func(ctx context.Context, s *Send) (*Answer, error) {
		stop.Begin(drain.NewPhases(time.Now().Add(-7*time.Second), 8*time.Second))
		if s.Admit() {
			return answers(200, "ok")(ctx, s)
		}
		return nil, &SendError{HeldBack: true, Cause: errEndsLate}
	}
	svc.client.scripts["b"] = svc.client.scripts["a"]
	resp := svc.run("/booking/1")
	if resp.refusal == nil || resp.refusal.Code != result.Draining || resp.refusal.RetryAfter <= 0 {
		t.Errorf("status %d, refusal %+v", resp.status, resp.refusal)
	}
}

// lateClock wakes its waiters late, as a process does that gets no processor time.
type lateClock struct {
	clock.Real
	late time.Duration
}

func (c lateClock) After(d time.Duration) <-chan time.Time { return c.Real.After(d + c.late) }

// TestLateProcessBlamesNoUpstream guards against streams that are given up because this
// process, not the upstream, was held up.
func TestLateProcessBlamesNoUpstream(t *testing.T) {
	svc := newTestService(t)
	svc.clock = lateClock{late: 2 * time.Second}
	for _, r := range svc.config.Routes {
		r.Timeout = time.Minute
	}
	svc.client.scripts["a"] = func(ctx context.Context, s *Send) (*Answer, error) {
		time.Sleep(2500 * time.Millisecond)
		if ctx.Err() != nil {
			return nil, &SendError{Connected: true, Cause: ctx.Err()}
		}
		return answers(200, events(1, 3))(ctx, s)
	}
	svc.client.scripts["b"] = answers(200, events(1, 3))
	resp := svc.run("/draft/1", func(r *Request) { r.Timeout = time.Minute })
	if got := svc.client.upstreams(); got != "a" || !resp.ended {
		t.Errorf("sends %q, ended %v, want one send", got, resp.ended)
	}
}
