package relay

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"cassiapin/pkg/drain"
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
