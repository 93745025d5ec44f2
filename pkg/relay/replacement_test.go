package relay

import (
	"context"
	"io"
	"testing"
	"time"
)

// TestSilentStreamWithoutRoomElsewhere guards against a stream that is given up for an
// upstream that is full or cold and can't get it.
func TestSilentStreamWithoutRoomElsewhere(t *testing.T) {
	for _, tc := range []struct {
		name string
		fill func(svc *testService)
	}{
		{"full", func(svc *testService) {
			svc.config.Services["pool"].MaxConnections = 4
			for range 4 {
				svc.opts.Table.Opened(svc.node.view.Upstreams["pool"][1], 0, time.Now())
			}
		}},
		{"cold", func(svc *testService) {
			svc.config.Services["pool"].ColdPerSecond = 1
			svc.node.view.ColdUntil = map[string]time.Time{"d2": time.Now().Add(time.Minute)}
			b := svc.node.view.Upstreams["pool"][1]
			go func() {
				for range 6000 {
					svc.opts.Cold.Take(b, 1, svc.node.ids, time.Now())
					time.Sleep(time.Millisecond)
				}
			}()
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			svc := newTestService(t)
			// Lets a get the request.
			svc.client.scripts["a"] = func(ctx context.Context, s *Send) (*Answer, error) {
				r, w := io.Pipe()
				context.AfterFunc(ctx, func() { _ = w.CloseWithError(ctx.Err()) })
				go func() {
					_, _ = io.WriteString(w, event(1))
					time.Sleep(2500 * time.Millisecond)
					_, _ = io.WriteString(w, event(2))
					_ = w.Close()
				}()
				return changed(200, "", func(a *Answer) { a.Body = r })(ctx, s)
			}
			svc.client.scripts["b"] = answers(200, events(1, 2))
			for _, r := range svc.config.Routes {
				r.Timeout = time.Minute
			}
			tc.fill(svc)
			resp := svc.run("/draft/1", func(r *Request) { r.Timeout = time.Minute })
			if resp.aborted || resp.body.String() != events(1, 2) {
				t.Errorf("given up: aborted %v, body %q, sends %q", resp.aborted, resp.body.String(), svc.client.upstreams())
			}
		})
	}
}
