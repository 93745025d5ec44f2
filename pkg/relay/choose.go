package relay

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"cassiapin/pkg/canary"
	"cassiapin/pkg/hangup"
	"cassiapin/pkg/holdoff"
	"cassiapin/pkg/placement"
	"cassiapin/pkg/topology"
)

const (
	// holdDivisor divides the latency objective into the time that a request is
	// held without a usable upstream before it is refused.
	holdDivisor = 8
	// holdPollInterval is the longest interval between two checks for an upstream.
	holdPollInterval = 20 * time.Millisecond
)

// acquire chooses an upstream. If none is eligible, it waits for a part of the
// latency objective.
func (f *flow) acquire(ctx context.Context, model string) (*topology.Upstream, error) {
	s := f.service
	until := f.request.Received.Add(f.route.TargetLatency / holdDivisor)
	if f.reserved.Load() {
		until = s.clock.Now().Add(f.route.TargetLatency / holdDivisor) // Room may have gone since the reservation.
	}
	s.opts.Views.AwaitConfirmed(ctx)
	if hangup.Left(ctx) {
		return nil, ctx.Err()
	}
	for ctx.Err() == nil {
		if !f.begun && !f.mayEnd() {
			return nil, errEndsLate
		}
		if hold := s.opts.Quarantine.Check(f.sharedParts); hold != nil {
			return nil, heldError{hold}
		}
		changed := s.opts.Views.Changed()
		if u := f.choose(model); u != nil {
			if hold := s.opts.Quarantine.Admit(f.request.ID, f.sharedParts); hold != nil {
				return nil, heldError{hold}
			}
			return u, nil
		}
		now := s.clock.Now()
		opens, refusing := f.reopening(now)
		if refusing && opens.After(until) {
			return nil, errAllRefuse
		}
		if !now.Before(until) || !now.Before(f.deadline) {
			return nil, errNoUpstream
		}
		select {
		case <-changed:
		case <-s.clock.After(min(holdPollInterval, until.Sub(now))):
		case <-ctx.Done():
		}
	}
	return nil, ctx.Err()
}

// reopening returns when the first of the upstreams that could serve the request
// ends its refusal. refusing is false if one of them does not refuse, so that the
// request may be sent sooner, or if there is none.
func (f *flow) reopening(now time.Time) (opens time.Time, refusing bool) {
	s := f.service
	assignment := s.opts.Canary.Assign(f.target, f.request.Session, now)
	for ; assignment != nil; assignment = assignment.Fallback() {
		for _, u := range f.view.Upstreams[f.target] {
			if !f.allowed(u, assignment) {
				continue
			}
			state, until := s.opts.Table.Wants(u, now)
			switch {
			case state == holdoff.Leaving:
			case state != holdoff.Refusing && f.tried[u.Incarnation()]:
			case state != holdoff.Refusing:
				return time.Time{}, false
			case opens.IsZero() || until.Before(opens):
				opens = until
			}
		}
	}
	return opens, !opens.IsZero()
}

// allowed reports whether the view allows the upstream to get the request.
func (f *flow) allowed(u *topology.Upstream, assignment *canary.Assignment) bool {
	return f.allowedIn(f.view, u, assignment)
}

func (f *flow) allowedIn(view *topology.View, u *topology.Upstream, assignment *canary.Assignment) bool {
	return !u.Draining && !view.Evacuated[u.FailureDomain] && assignment.Permits(u.Release) && f.inRegions(u.Region)
}

// mayStillSend reports whether an upstream that was chosen may still get the
// request: the node may have been paused, or may have learned something, while it
// connected.
func (f *flow) mayStillSend(u *topology.Upstream) bool {
	s := f.service
	if !f.begun && !f.mayEnd() {
		return false
	}
	if state, _ := s.opts.Table.Wants(u, s.clock.Now()); state == holdoff.Refusing || state == holdoff.Leaving {
		return false
	}
	view := s.opts.Views.View()
	if view.Evacuated[u.FailureDomain] {
		return false
	}
	return slices.ContainsFunc(view.Upstreams[f.target], func(v *topology.Upstream) bool {
		return v.Incarnation() == u.Incarnation() && !v.Draining
	})
}

// choose returns an eligible upstream, or nil. Eligibility is decided only
// here, immediately before each send.
func (f *flow) choose(model string) *topology.Upstream {
	s := f.service
	f.view = s.opts.Views.View()
	now := s.clock.Now()
	assignment := s.opts.Canary.Assign(f.target, f.request.Session, now)
	for {
		u := f.chooseAssigned(model, now, assignment)
		f.assignment = assignment
		if u != nil || !assignment.HasFallback() {
			return u
		}
		assignment = assignment.Fallback()
	}
}

// chooseAssigned returns an eligible upstream of the releases that the
// assignment permits, or nil.
func (f *flow) chooseAssigned(model string, now time.Time, assignment *canary.Assignment) *topology.Upstream {
	s := f.service
	nodes := s.opts.Fleet.Nodes()
	service := f.view.Config.Services[f.target]
	request := f.placementRequest(f.view, model, now, assignment, f.tried)
	for {
		choice, ok := s.opts.Table.Choose(request, rand.Float64())
		if !ok {
			return nil
		}
		u := choice.Upstream
		if f.coldIn(f.view, u, s.opts.Table.ColdUntil(u), now) && !s.opts.Cold.Take(u, service.ColdPerSecond, nodes, now) {
			continue // Another request used up the cold limit since Ready.
		}
		f.kept = choice.Kept
		return u
	}
}

// placementRequest returns what an upstream is chosen by. It is safe to use beside the
// flow.
func (f *flow) placementRequest(
	view *topology.View, model string, now time.Time, assignment *canary.Assignment, tried map[topology.Incarnation]bool,
) placement.Request {
	s := f.service
	nodes, service := s.opts.Fleet.Nodes(), view.Config.Services[f.target]
	wanted := func(u *topology.Upstream) bool {
		state, _ := s.opts.Table.Wants(u, now)
		return state != holdoff.Refusing && state != holdoff.Leaving
	}
	return placement.Request{
		Upstreams: assignment.Candidates(view.Upstreams[f.target], func(u *topology.Upstream) bool {
			return f.allowedIn(view, u, assignment) && !tried[u.Incarnation()] && !s.opts.Table.Paused(u, now) && wanted(u)
		}),
		Prompt:        f.prompt(model),
		Preferred:     f.preferred(),
		FailureDomain: s.opts.FailureDomain,
		Region:        s.opts.Region,
		Tried:         tried,
		MaxOpen:       maxOpen(service, len(nodes)),
		Batched:       f.route.Streams(),
		Now:           now,
		Usable: func(u *topology.Upstream, coldUntil time.Time) bool {
			return f.allowedIn(view, u, assignment) && (!f.coldIn(view, u, coldUntil, now) || service != nil && s.opts.Cold.Ready(u, service.ColdPerSecond, nodes, now))
		},
	}
}

// minOpen is the lower bound of maxOpen in large fleets, where each node uses
// only some of the upstreams.
const minOpen = 4

// maxOpen returns this node's share of the connections that one upstream
// accepts, or 0 for no limit.
func maxOpen(service *topology.Service, nodes int) int {
	if service == nil || service.MaxConnections <= 0 {
		return 0
	}
	return max(service.MaxConnections/max(nodes, 1), minOpen)
}

// coldIn reports whether an upstream is treated as in cold start.
func (f *flow) coldIn(view *topology.View, u *topology.Upstream, until, now time.Time) bool {
	service := view.Config.Services[f.target]
	if service == nil || service.ColdPerSecond <= 0 {
		return false
	}
	return now.Before(until) || now.Before(view.ColdUntil[u.FailureDomain])
}

func (f *flow) inRegions(region string) bool {
	if !regionAllowed(f.route.Regions, region) {
		return false
	}
	return f.organisation == nil || regionAllowed(f.organisation.Regions, region)
}

// regionAllowed reports whether the region is in the list; an empty list allows
// all regions.
func regionAllowed(regions []string, region string) bool {
	for _, r := range regions {
		if r == region {
			return true
		}
	}
	return len(regions) == 0
}

// prompt returns the beginning of the prompt that other requests share; the last part
// belongs to this request alone. The key includes the model because engines cache
// prefixes per model.
func (f *flow) prompt(model string) placement.Prompt {
	parts := f.request.Prefix
	if len(parts) < 2 {
		return placement.Prompt{}
	}
	if model == "" {
		model = f.request.Model
	}
	p := placement.Prompt{Key: model + "/" + parts[len(parts)-2].ID}
	for _, part := range parts[:len(parts)-1] {
		p.Tokens += part.Tokens
	}
	p.Prefill = f.service.opts.Prefill.Estimate(model, p.Tokens)
	return p
}

// preferred returns which upstreams of a batched service are in this node's subset;
// nil is all. Other services have few upstreams, which all nodes use.
func (f *flow) preferred() func(u *topology.Upstream) bool {
	subset := f.service.opts.Subset
	if subset == nil || !f.route.Streams() {
		return nil
	}
	nodes := f.service.opts.Fleet.DomainNodes()
	return func(u *topology.Upstream) bool { return subset.Contains(u, nodes) }
}
