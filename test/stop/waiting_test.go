package stop

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// TestWaitingRequestIsPassedOnTooLate guards against requests that wait for their body,
// a runner, a second attempt or the larger model, and reach a runner when the node can
// no longer wait for the answer.
func TestWaitingRequestIsPassedOnTooLate(t *testing.T) {
	const grace = 8 * time.Second
	s := newSite(t)
	late, reached := context.WithCancel(context.Background())
	defer reached()
	// first holds the first arrival of a request until late, which end then ends; all
	// others stay silent.
	first := func(end http.HandlerFunc) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			if s.ran(r.Header.Get("Request-Id")) == 1 {
				<-late.Done()
				end(w, r)
				return
			}
			silent(w, r)
		}
	}
	unsure := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Confidence", "1")
		event(w, 1)
	}
	served := func(o outcome) bool {
		return o.err == nil && o.status == http.StatusOK && strings.HasSuffix(o.body, "data: 1\n\n")
	}
	rows := []struct {
		name, kind string
		more       fields
		lines      []string
		// runners are there from the start, lateRunner comes late.
		runners    []http.HandlerFunc
		lateRunner bool
		// rest is when the rest of the body is sent, zero is with the request.
		rest time.Duration
		want func(outcome) bool
	}{
		{name: "booking-gets-runner", kind: "unsafe", lateRunner: true, want: s.refused},
		{name: "stream-gets-runner", kind: "streaming", lateRunner: true, want: s.refused},
		{name: "booking-refused", kind: "unsafe", runners: []http.HandlerFunc{first(fullFor("1")), first(fullFor("1"))}, want: s.refused},
		{name: "lookup-broken-off", kind: "safe", runners: []http.HandlerFunc{first(breakOff), first(breakOff)}, want: s.failed},
		{name: "resumable-broken-off", kind: "streaming", more: fields{"can-resume": true},
			runners: []http.HandlerFunc{first(breakOff), first(breakOff)}, want: s.failed},
		{name: "cascade", kind: "streaming", more: fields{"sizes": []string{"small", "large"}, "can-resume": true}, lines: []string{"Model: *"},
			runners: []http.HandlerFunc{first(unsure), first(unsure)}, want: served},
		{name: "booking-body-after-acceptance", kind: "unsafe", runners: []http.HandlerFunc{silent}, rest: share(grace, accepting) + margin, want: s.refused},
		{name: "booking-body-late", kind: "unsafe", runners: []http.HandlerFunc{silent}, rest: share(grace, lastPart), want: s.refused},
	}
	for _, r := range rows {
		s.route(r.name, r.kind, r.more)
		for _, answer := range r.runners {
			s.runner(r.name, answer)
		}
	}
	p := s.newHost(grace).run()
	outcomes := make([]outcome, len(rows))
	var all sync.WaitGroup
	var connections []*connection
	for range rows {
		connections = append(connections, p.keep())
	}
	p.signal(syscall.SIGTERM)
	for i, r := range rows {
		all.Go(func() {
			c, text := connections[i], request(r.name, r.name, r.lines...)
			if r.rest > 0 {
				_, _ = io.WriteString(c, strings.TrimSuffix(text, "dy")) // Its end shows in the answer.
				p.sleepUntil(r.rest)
				text = "dy"
			}
			o := c.exchange(text)
			o.id, o.sent, o.ended = r.name, r.rest, p.since()
			outcomes[i] = o
		})
	}
	p.sleepUntil(share(grace, lastPart))
	reached()
	for _, r := range rows {
		if r.lateRunner {
			s.runner(r.name, silent)
		}
	}
	all.Wait()
	for i, r := range rows {
		o := outcomes[i]
		if at := s.lastArrival(r.name); !at.IsZero() && at.After(p.terminated.Add(share(grace, lastPart))) {
			t.Errorf("passed on %.3f s after SIGTERM: %v", at.Sub(p.terminated).Seconds(), o)
		} else if !r.want(o) {
			t.Errorf("not the answer that it should get: %v", o)
		}
	}
	p.awaitExit()
}
