package stop

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"
)

// TestLateRequestIsTakenAndGivenUp guards against requests that are sent too late in a
// stop, taken and then aborted, also if the process notices SIGTERM late.
func TestLateRequestIsTakenAndGivenUp(t *testing.T) {
	t.Parallel()
	const grace = 8 * time.Second
	for _, r := range []struct {
		name string
		// from is when after SIGTERM the process is stopped for a time.
		from, stopped time.Duration
	}{
		{name: "signal seen at once"},
		{name: "signal seen late", stopped: 3 * margin},
		{name: "stopped at the bound", from: share(grace, accepting) - margin, stopped: 4 * margin},
	} {
		t.Run(r.name, func(t *testing.T) {
			s := newSite(t)
			s.route("booking", "unsafe", fields{})
			s.runner("booking", silent)
			s.route("draft", "streaming", fields{})
			s.runner("draft", func(w http.ResponseWriter, r *http.Request) {
				for id := 1; !pause(r.Context(), 50*time.Millisecond); id++ {
					event(w, id)
				}
			})
			p := s.newHost(grace).run()
			from, to := share(grace, accepting)-margin, share(grace, accepting)+6*margin
			var all sync.WaitGroup
			outcomes := make(chan outcome, 100)
			send := func(at time.Duration, c *connection, route, id string) {
				all.Go(func() {
					p.sleepUntil(at)
					outcomes <- p.send(c, route, id)
				})
			}
			var kept []*connection
			for range 2 * int((to-from)/(margin/2)) {
				kept = append(kept, p.keep())
			}
			end := p.keepBusy(to)
			if r.from == 0 {
				p.signal(syscall.SIGSTOP)
			}
			p.signal(syscall.SIGTERM)
			all.Go(func() {
				p.sleepUntil(r.from)
				p.freeze(r.stopped)
			})
			for at := from; at < to; at += margin / 2 {
				for _, route := range []string{"booking", "draft"} {
					send(at, nil, route, fmt.Sprint(route, " on a new connection, ", at))
					send(at, kept[0], route, fmt.Sprint(route, " on a kept connection, ", at))
					kept = kept[1:]
				}
			}
			all.Wait()
			end()
			close(outcomes)
			p.awaitExit()
			for o := range outcomes {
				if o.sent > share(grace, accepting)+margin && !s.refused(o) && !s.unread(o) {
					t.Errorf("ran %d times, but has no answer: %v", s.ran(o.id), o)
				}
			}
		})
	}
}
