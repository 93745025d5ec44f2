package soak

import (
	"net/http"
	"slices"
	"strings"
	"syscall"
)

// check looks at everything that callers and runners saw.
func (f *fleet) check() {
	f.checkLatestConfig()
	for _, n := range f.nodes {
		n.stop(syscall.SIGKILL) // What they still send would be counted below.
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	served, afterFaults := 0, 0
	for _, o := range f.outcomes {
		f.checkOutcome(o)
		if o.served() {
			served++
		}
		if o.sent.After(f.verifyStart) {
			afterFaults++
			if !o.served() {
				f.fail(o, "is not served though all faults are over")
			}
		}
	}
	f.event("%d of %d requests served, %d after the faults", served, len(f.outcomes), afterFaults)
	if afterFaults < callerCount {
		f.t.Errorf("only %d requests after the faults", afterFaults)
	}
	if n := f.record.WithoutInstance(); n > 0 {
		f.t.Errorf("%d requests reached a runner without its name", n)
	}
}

func (f *fleet) fail(o *outcome, what string) {
	f.t.Errorf("%6.2f s request %s %s at %s %s: status %d, body %.100q, %v, ran %d times",
		o.sent.Sub(f.started).Seconds(), o.id, o.path, o.node, what, o.status, o.body, o.err, f.record.Runs(o.id))
}

func (f *fleet) checkOutcome(o *outcome) {
	runs := f.record.Runs(o.id)
	if o.path == "/booking/" && runs > 1 {
		f.fail(o, "ran more than once")
	}
	switch o.status {
	case 0: // No answer promises nothing.
	case http.StatusOK:
		if o.err == nil && o.body != o.want() {
			f.fail(o, "has a wrong answer")
		}
		if !strings.HasPrefix(o.want(), o.body) {
			f.fail(o, "has a wrong part of an answer")
		}
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout:
		if runs > 0 {
			f.fail(o, "is said not to have run")
		}
	case http.StatusBadGateway, http.StatusGatewayTimeout:
	default:
		f.fail(o, "has a status that no configuration allows")
	}
}

// checkLatestConfig asks each node for the route that only the newest configuration
// has, and for the directory.
func (f *fleet) checkLatestConfig() {
	c := newCaller(f, -1)
	for _, n := range f.nodes {
		if o := c.send(n.address(entryPort), f.latestPath(), "newest-"+n.host); !o.served() {
			f.fail(o, "needs the newest configuration")
		}
		addresses := n.resolve()
		for _, local := range f.nodes {
			if local.domain == callerDomain && !slices.Contains(addresses, local.address(entryPort)) {
				f.t.Errorf("%s names %v and not %s", n.host, addresses, local.host)
			}
		}
	}
}
