package soak

import (
	"net/http"
	"slices"
	"strings"
	"syscall"
)

// check looks at everything that callers and runners saw.
func (w *world) check() {
	w.checkNewest()
	for _, n := range w.nodes {
		n.end(syscall.SIGKILL) // What they still send would be counted below.
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	served, quiet := 0, 0
	for _, o := range w.outcomes {
		w.checkOutcome(o)
		if o.served() {
			served++
		}
		if o.sent.After(w.quiet) {
			quiet++
			if !o.served() {
				w.fail(o, "is not served though all faults are over")
			}
		}
	}
	w.event("%d of %d requests served, %d after the faults", served, len(w.outcomes), quiet)
	if quiet < callerCount {
		w.t.Errorf("only %d requests after the faults", quiet)
	}
	if n := w.record.WithoutInstance(); n > 0 {
		w.t.Errorf("%d requests reached a runner without its name", n)
	}
}

func (w *world) fail(o *outcome, what string) {
	w.t.Errorf("%6.2f s request %s %s at %s %s: status %d, body %.100q, %v, ran %d times",
		o.sent.Sub(w.started).Seconds(), o.id, o.path, o.node, what, o.status, o.body, o.broken, w.record.Runs(o.id))
}

func (w *world) checkOutcome(o *outcome) {
	runs := w.record.Runs(o.id)
	if o.path == "/booking/" && runs > 1 {
		w.fail(o, "ran more than once")
	}
	switch o.status {
	case 0: // No answer promises nothing.
	case http.StatusOK:
		if o.broken == nil && o.body != o.want() {
			w.fail(o, "has a wrong answer")
		}
		if !strings.HasPrefix(o.want(), o.body) {
			w.fail(o, "has a wrong part of an answer")
		}
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout:
		if runs > 0 {
			w.fail(o, "is said not to have run")
		}
	case http.StatusBadGateway, http.StatusGatewayTimeout:
	default:
		w.fail(o, "has a status that no configuration allows")
	}
}

// checkNewest asks each node for the route that only the newest configuration
// has, and for the directory.
func (w *world) checkNewest() {
	c := newCaller(w, -1)
	for _, n := range w.nodes {
		if o := c.send(n.address(entryPort), w.added(), "newest-"+n.host); !o.served() {
			w.fail(o, "needs the newest configuration")
		}
		names := n.resolve()
		for _, near := range w.nodes {
			if near.domain == callerDomain && !slices.Contains(names, near.address(entryPort)) {
				w.t.Errorf("%s names %v and not %s", n.host, names, near.host)
			}
		}
	}
}
