package relay

import (
	"cassiapin/pkg/holdoff"
	"cassiapin/pkg/storeview"
	"cassiapin/pkg/topology"
)

// exclusions returns log fields that count the service's upstreams by the
// reason for which they are not eligible for the request. An upstream counts
// under the first reason that applies, in the order of the switch below.
func (f *flow) exclusions() []any {
	s := f.service
	now := s.clock.Now()
	assignment := s.opts.Canary.Assign(f.target, f.request.Session, now)
	var draining, evacuated, release, region, cold, tried, paused, refusing, usable int
	upstreams := f.view.Upstreams[f.target]
	state := func(u *topology.Upstream) holdoff.State {
		state, _ := s.opts.Table.Wants(u, now)
		return state
	}
	for _, u := range upstreams {
		switch {
		case u.Draining, state(u) == holdoff.Leaving:
			draining++
		case f.view.Evacuated[u.FailureDomain]:
			evacuated++
		case !assignment.Permits(u.Release):
			release++
		case !f.inRegions(u.Region):
			region++
		case f.coldIn(f.view, u, s.opts.Table.ColdUntil(u), now):
			cold++
		case f.tried[u.Incarnation()]:
			tried++
		case s.opts.Table.Paused(u, now):
			paused++
		case state(u) != holdoff.Open:
			refusing++
		default:
			usable++
		}
	}
	return []any{
		"service", f.target, "upstreams", len(upstreams), "leaving", draining, "evacuated", evacuated,
		"other_release", release, "other_region", region, "cold", cold, "tried", tried, "paused", paused, "refusing", refusing, "usable", usable,
		"upstreams_age_ms", s.opts.Views.Age(storeview.Upstreams).Milliseconds(),
	}
}
