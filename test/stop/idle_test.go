package stop

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"
)

// TestReadRequestIsDropped guards against requests that are read and dropped because
// their connection was idle when the node closed the idle ones.
func TestReadRequestIsDropped(t *testing.T) {
	t.Parallel()
	const (
		grace = 4 * time.Second
		// frozen is how long the process is stopped: its requests are then in the
		// sockets before the node closes connections.
		frozen      = 3 * margin
		connections = 60
	)
	// The idle connections are closed at some time after the node accepts no requests.
	first, last := share(grace, accepting)-4*margin, share(grace, accepting)+6*margin
	type row struct {
		name string
		// at is when the process is stopped, zero for never; from and to are when requests
		// are sent.
		at, from, to time.Duration
	}
	rows := []row{{"not stopped", 0, first, last}}
	for at := first; at <= last; at += 2 * margin {
		rows = append(rows, row{fmt.Sprint("stopped at ", at), at, at + margin, at + frozen - margin})
	}
	name := func(i int) string { return fmt.Sprint("request ", i) }
	for _, r := range rows {
		t.Run(r.name, func(t *testing.T) {
			s := newSite(t)
			p := s.newHost(grace).run()
			var connected []*connection
			for i := range connections {
				connected = append(connected, p.connect(i, request("now", name(i))))
			}
			end := p.keepBusy(last + frozen)
			p.signal(syscall.SIGTERM)
			var all sync.WaitGroup
			outcomes := make(chan outcome, connections)
			for i, c := range connected {
				all.Go(func() {
					p.sleepUntil(r.from + time.Duration(i)*(r.to-r.from)/connections)
					outcomes <- p.send(c, "now", name(i))
				})
			}
			if r.at > 0 {
				p.sleepUntil(r.at)
				p.freeze(frozen)
			}
			all.Wait()
			end()
			close(outcomes)
			p.awaitExit()
			var lost []outcome
			for o := range outcomes {
				if served := o.status == http.StatusOK && o.err == nil; !served && !s.refused(o) && !s.unread(o) {
					lost = append(lost, o)
				}
			}
			if len(lost) > 0 {
				t.Errorf("%d of %d requests that were read have no answer, such as %v", len(lost), connections, lost[0])
			}
		})
	}
}

// connect returns an idle connection: most have served a request, others have not been
// used, or the request was begun.
func (p *process) connect(i int, text string) *connection {
	p.site.t.Helper()
	if i%4 < 2 {
		return p.keep()
	}
	c, err := p.dial()
	if err == nil && i%4 == 2 {
		c.begun = text[:len(text)/2]
		_, err = io.WriteString(c, c.begun)
	}
	if err != nil {
		p.site.t.Fatal(err)
	}
	return c
}
