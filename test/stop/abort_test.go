package stop

import (
	"io"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// fullFor answers that the runner has not run the request and is full for a time.
func fullFor(retryAfter string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Not-Executed", "1")
		w.Header().Set("Retry-After", retryAfter)
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// breakOff ends the connection without an answer.
func breakOff(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

// beginning answers with the headers of a stream.
func beginning(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "text/event-stream")
	_ = http.NewResponseController(w).Flush()
	<-r.Context().Done()
}

// half answers with a part of the body.
func half(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Length", "8")
	_, _ = io.WriteString(w, "half")
	_ = http.NewResponseController(w).Flush()
	<-r.Context().Done()
}

// TestAbortWithoutAnswer guards against connections that are closed without a word at
// the abort, although the node knows whether the request has run.
func TestAbortWithoutAnswer(t *testing.T) {
	const grace = 4 * time.Second
	s := newSite(t)
	resumable := fields{"can-resume": true}
	rows := []struct {
		name, kind string
		more       fields
		// runner is nil if the service has none; partial leaves the body out.
		runner  http.HandlerFunc
		partial bool
		// ran is set if a runner began to work on the request.
		ran bool
	}{
		{name: "booking-silent", kind: "unsafe", runner: silent, ran: true},
		{name: "lookup-silent", kind: "safe", runner: silent, ran: true},
		{name: "booking-in-the-answer", kind: "unsafe", runner: half, ran: true},
		{name: "stream-silent", kind: "streaming", runner: silent, ran: true},
		{name: "stream-without-event", kind: "streaming", runner: beginning, ran: true},
		{name: "resumable-silent", kind: "streaming", more: resumable, runner: silent, ran: true},
		{name: "lookup-before-second-attempt", kind: "safe", runner: breakOff, ran: true},
		{name: "resumable-before-second-attempt", kind: "streaming", more: resumable, runner: breakOff, ran: true},
		{name: "booking-before-second-attempt", kind: "unsafe", runner: fullFor("5")},
		{name: "booking-without-runner", kind: "unsafe"},
		{name: "stream-without-runner", kind: "streaming"},
		{name: "booking-body-arriving", kind: "unsafe", runner: silent, partial: true},
	}
	for _, r := range rows {
		s.route(r.name, r.kind, r.more)
		if r.runner != nil {
			s.runner(r.name, r.runner)
		}
	}
	p := s.newHost(grace).run()
	var connections []*connection
	for _, r := range rows {
		c := p.keep()
		text := request(r.name, r.name)
		if r.partial {
			text = strings.TrimSuffix(text, "dy")
		}
		if _, err := io.WriteString(c, text); err != nil {
			t.Fatal(err)
		}
		connections = append(connections, c)
	}
	time.Sleep(3 * margin) // The node has read them.
	p.signal(syscall.SIGTERM)
	outcomes := make([]outcome, len(rows))
	var all sync.WaitGroup
	for i, r := range rows {
		all.Go(func() {
			o := connections[i].read()
			o.id, o.ended = r.name, p.since()
			outcomes[i] = o
		})
	}
	all.Wait()
	for i, r := range rows {
		o := outcomes[i]
		if ran := s.ran(r.name) > 0; ran != r.ran {
			t.Errorf("ran: %v: %v", ran, o)
		}
		if r.ran && !s.failed(o) || !r.ran && !s.refused(o) {
			t.Errorf("no truthful answer: %v", o)
		}
	}
	p.awaitExit()
}
