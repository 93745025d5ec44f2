package relay

import "cassiapin/pkg/knowledge"

// exclusions counts, for the log, why the upstreams of the request's service
// cannot get it, in the order in which the gate asks. An upstream counts once.
func (f *flow) exclusions() []any {
	s := f.service
	now := s.clock.Now()
	assignment := s.opts.Cutover.Assign(f.target, f.request.Session, now)
	var leaving, evacuated, release, region, cold, tried, paused, usable int
	upstreams := f.view.Upstreams[f.target]
	for _, u := range upstreams {
		switch {
		case u.Draining:
			leaving++
		case f.view.Evacuated[u.FailureDomain]:
			evacuated++
		case !assignment.Permits(u.Release):
			release++
		case !f.inRegions(u.Region):
			region++
		case f.cold(u, s.opts.Table.ColdUntil(u), now):
			cold++
		case f.tried[u.Incarnation()]:
			tried++
		case s.opts.Table.Paused(u, now):
			paused++
		default:
			usable++
		}
	}
	return []any{
		"service", f.target, "upstreams", len(upstreams), "leaving", leaving, "evacuated", evacuated,
		"other_release", release, "other_region", region, "cold", cold, "tried", tried, "paused", paused, "usable", usable,
		"upstreams_age_ms", s.opts.Knowledge.Age(knowledge.Upstreams).Milliseconds(),
	}
}
