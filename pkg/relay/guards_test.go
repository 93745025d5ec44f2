package relay

import (
	"context"
	"maps"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"cassiapin/pkg/limits"
	"cassiapin/pkg/topology"
)

// TestAtMostOnceNotRepeatedWithAttempts guards against running an at-most-once
// request twice where the route allows several upstreams.
func TestAtMostOnceNotRepeatedWithAttempts(t *testing.T) {
	for name, first := range map[string]func(context.Context, *Send) (*Answer, error){
		"application failed": answers(500, "no"),
		"answer lost":        answerLost,
		"unsigned":           changed(200, "x", func(a *Answer) { a.Signed = false }),
		"truncated body":     changed(200, "", func(a *Answer) { a.Body = resetBody{strings.NewReader("half")} }),
		"broken stream":      changed(200, event(1), func(a *Answer) { a.Body = resetBody{strings.NewReader(event(1))} }),
	} {
		for _, path := range []string{"/booking/1", "/once/1"} {
			t.Run(name+" "+path, func(t *testing.T) {
				svc := newTestService(t)
				for _, r := range svc.config.Routes {
					r.MaxUpstreams = 3
				}
				svc.client.scripts["a"], svc.client.scripts["b"] = first, answers(200, "ok")
				svc.run(path)
				if got := svc.client.upstreams(); got != "a" {
					t.Errorf("sent to %q, want only one send", got)
				}
			})
		}
	}
}

// TestRetryBudgetHoldsRetries guards against retries beyond the retry budget.
func TestRetryBudgetHoldsRetries(t *testing.T) {
	svc := newTestService(t)
	svc.client.scripts["a"], svc.client.scripts["b"] = answerLost, answers(200, "ok")
	for svc.opts.RetryBudget.Take("pool", limits.Recovery) {
	}
	// The request itself adds less than one retry.
	if svc.run("/lookup/1"); svc.client.upstreams() != "a" {
		t.Errorf("sent to %q without a retry budget", svc.client.upstreams())
	}
}

// TestHeldBackBeforeSend guards against a request that is sent to an upstream which,
// since it was chosen, must not get it any more.
func TestHeldBackBeforeSend(t *testing.T) {
	view := func(svc *testService, change func(v *topology.View)) {
		v := *svc.node.view
		v.Upstreams, v.Evacuated = maps.Clone(v.Upstreams), maps.Clone(v.Evacuated)
		change(&v)
		svc.node.view = &v
	}
	for name, change := range map[string]func(svc *testService){
		"evacuated": func(svc *testService) { view(svc, func(v *topology.View) { v.Evacuated["d1"] = true }) },
		"draining": func(svc *testService) {
			view(svc, func(v *topology.View) {
				a := *v.Upstreams["pool"][0]
				a.Draining = true
				v.Upstreams["pool"] = []*topology.Upstream{&a, v.Upstreams["pool"][1]}
			})
		},
		"removed": func(svc *testService) {
			view(svc, func(v *topology.View) { v.Upstreams["pool"] = v.Upstreams["pool"][1:] })
		},
		"refusing": func(svc *testService) {
			svc.opts.Table.Refused(svc.upstream("a"), 5*time.Second, time.Now())
		},
		"leaving": func(svc *testService) { svc.opts.Table.Left(svc.upstream("a"), time.Now()) },
	} {
		t.Run(name, func(t *testing.T) {
			svc := newTestService(t)
			admitted := true
			svc.client.scripts["a"] = func(_ context.Context, s *Send) (*Answer, error) {
				change(svc)
				if admitted = s.Admit(); admitted {
					return answers(200, "ok")(context.Background(), s)
				}
				return nil, &SendError{HeldBack: true, Cause: errors.New("held back")}
			}
			svc.client.scripts["b"] = answers(200, "ok")
			resp := svc.run("/booking/1")
			if admitted || resp.status != 200 || svc.client.upstreams() != "a b" {
				t.Errorf("admitted %v, status %d after sends to %q", admitted, resp.status, svc.client.upstreams())
			}
		})
	}
}
