package stop

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// streamText returns the events of a stream from one to another.
func streamText(from, to int) string {
	var b strings.Builder
	for id := from; id <= to; id++ {
		fmt.Fprintf(&b, "id: %d\ndata: %d\n\n", id, id)
	}
	return b.String()
}

// silentRoute is a route whose runners fall silent for a while.
type silentRoute struct {
	name, kind string
	// after is the event after which they do.
	after int
	// deaf runners answer probes as late.
	deaf bool
}

// TestSilentStreamIsGivenUp guards against streams that are broken off because their
// runner is silent for a while and no retry is left, beside a stop too.
func TestSilentStreamIsGivenUp(t *testing.T) {
	testSilence(t, []silentRoute{
		{name: "silent-at-once", kind: "streaming"},
		{name: "silent-in-the-middle", kind: "streaming", after: 1},
		{name: "silent-to-probes-too", kind: "streaming", after: 1, deaf: true},
	})
}

// TestSilentLookupIsGivenUp guards against the same for requests with one answer.
func TestSilentLookupIsGivenUp(t *testing.T) {
	testSilence(t, []silentRoute{{name: "lookup", kind: "safe"}})
}

func testSilence(t *testing.T, rows []silentRoute) {
	t.Parallel()
	const (
		grace = 8 * time.Second
		// silence is longer than the time after which the node tries requests elsewhere,
		// and ends before the grace period does.
		silence = 3 * time.Second
		events  = 3
	)
	for _, phase := range []string{"without a stop", "in a stop", "in the process that follows"} {
		t.Run(phase, func(t *testing.T) {
			s := newSite(t)
			begun := make(chan struct{}, 2*len(rows))
			for _, r := range rows {
				s.route(r.name, r.kind, fields{"can-resume": r.kind == "streaming", "target-latency-ms": 1000})
				report := func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "{}") }
				if r.deaf {
					report = func(http.ResponseWriter, *http.Request) { time.Sleep(silence) }
				}
				for range 2 {
					s.probedRunner(r.name, report, func(w http.ResponseWriter, q *http.Request) {
						from, _ := strconv.Atoi(q.Header.Get("Last-Event-Id"))
						for id := from + 1; id <= events; id++ {
							if id == r.after+1 {
								begun <- struct{}{}
								if pause(q.Context(), silence) {
									return
								}
							}
							event(w, id)
						}
					})
				}
			}
			h := s.newHost(grace, "retry_ratio = 0.9", "retry_ratio = 0.0", "retry_extra = 56", "retry_extra = 0")
			p := h.run()
			if phase == "in the process that follows" {
				p.signal(syscall.SIGTERM)
				p.awaitExit()
				p = h.run()
			}
			outcomes := make([]outcome, len(rows))
			var all sync.WaitGroup
			for i, r := range rows {
				c := p.keep()
				all.Go(func() {
					sent := time.Now()
					o := c.exchange(request(r.name, r.name))
					o.id = fmt.Sprintf("%s, ended after %.3f s", r.name, time.Since(sent).Seconds())
					outcomes[i] = o
				})
			}
			for range rows {
				<-begun
			}
			if phase == "in a stop" {
				p.signal(syscall.SIGTERM)
			}
			all.Wait()
			for _, o := range outcomes {
				if o.err != nil || o.status != http.StatusOK || o.body != streamText(1, events) {
					t.Errorf("given up before its deadline: %v", o)
				}
			}
			if phase == "in a stop" {
				p.awaitExit()
			}
		})
	}
}

// TestCutStreamLooksComplete guards against a stream that is cut at the abort and looks
// complete, or can't go on at another node after its last event.
func TestCutStreamLooksComplete(t *testing.T) {
	const (
		grace  = 4 * time.Second
		gap    = 50 * time.Millisecond
		events = int(3 * grace / 2 / gap)
	)
	s := newSite(t)
	kinds := []string{"plain", "resumable"}
	for _, name := range kinds {
		s.route(name, "streaming", fields{"can-resume": name == "resumable"})
		s.runner(name, func(w http.ResponseWriter, r *http.Request) {
			from, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
			for id := from + 1; id <= events && !pause(r.Context(), gap); id++ {
				event(w, id)
			}
		})
	}
	p, other := s.newHost(grace).run(), s.newHost(grace).run()
	cut := make([]outcome, len(kinds))
	var all sync.WaitGroup
	for i, name := range kinds {
		c := p.keep()
		all.Go(func() { cut[i] = c.exchange(request(name, name)) })
	}
	time.Sleep(3 * margin) // Both have begun.
	p.signal(syscall.SIGTERM)
	all.Wait()
	p.awaitExit()
	for i, name := range kinds {
		o := cut[i]
		last := strings.Count(o.body, "\n\n")
		if o.status != http.StatusOK || o.err == nil || last == 0 || !strings.HasPrefix(o.body, streamText(1, last)) {
			t.Errorf("looks complete, or has other events: %v, %q", o, o.body)
		}
		if name != "resumable" {
			continue
		}
		o = other.keep().exchange(request(name, "resumed", fmt.Sprint("Last-Event-Id: ", last)))
		if o.err != nil || o.status != http.StatusOK || o.body != streamText(last+1, events) {
			t.Errorf("resumed after event %d: %v, %q", last, o, o.body)
		}
	}
}
