package relay

import (
	"maps"

	"cassiapin/pkg/canary"
	"cassiapin/pkg/limits"
	"cassiapin/pkg/topology"
)

// replacement is the send that an attempt without an answer may give way to. It is safe
// to use beside the flow.
type replacement struct {
	flow       *flow
	tried      map[topology.Incarnation]bool
	assignment *canary.Assignment
	model      string
}

// replacementOf returns the replacement of an attempt at u, which has not begun.
func (f *flow) replacementOf(u *topology.Upstream) replacement {
	tried := maps.Clone(f.tried)
	tried[u.Incarnation()] = true
	return replacement{flow: f, tried: tried, assignment: f.assignment, model: f.model}
}

// reserve reports whether the attempt may be given up: another upstream could get the
// request, and the retry budget, which then counts it, allows one more send. An upstream
// that is only silent may still answer.
func (r replacement) reserve() bool {
	f := r.flow
	if !r.available() || !f.mayEnd() || !f.service.opts.RetryBudget.Take(f.target, limits.Recovery) {
		return false
	}
	f.reserved.Store(true)
	return true
}

// available reports whether an upstream that has not been tried could get the request.
func (r replacement) available() bool {
	f, s := r.flow, r.flow.service
	if s.opts.Quarantine.Check(f.sharedParts) != nil {
		return false
	}
	return s.opts.Table.Has(f.placementRequest(s.opts.Views.View(), r.model, s.clock.Now(), r.assignment, r.tried))
}
