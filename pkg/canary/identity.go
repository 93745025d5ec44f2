package canary

import (
	"maps"
	"time"

	"cassiapin/pkg/eventlog"
	"cassiapin/pkg/topology"
)

// A store that comes back from an older copy begins a new era. Objects of the copy keep the
// number at which they were created, and those that it lacks are created again. In both
// cases the rollout goes on: its start, ramp, counts and verdict, and the sessions' releases.

// endedMemory is how long a rollout that the view lacks is remembered, in case an older
// copy of the store shows it again or its operator writes it again.
const endedMemory = time.Minute

// endedRollout is a rollout that the view lacks, and since when.
type endedRollout struct {
	rollout *rollout
	at      time.Time
}

// sameRollout reports whether two versions of an object describe one rollout.
// An operator may reuse the object of the last rollout for the next one.
func sameRollout(a, b *topology.Rollout) bool { return a.Created == b.Created && a.Target == b.Target }

// update takes over the object of a rollout, which begins unless this node knows it, from
// this era or an earlier one; the caller holds the lock.
func (s *Service) update(service string, r *topology.Rollout, now time.Time) *rollout {
	key := releaseKey{service, r.Target}
	ro := s.rollouts[service]
	if ro == nil || !sameRollout(ro.object, r) {
		last := ro
		s.end(service, now)
		ended := s.ended[key].rollout
		if ended != nil && r.Created.Era > ended.object.Created.Era && now.Sub(s.ended[key].at) < endedMemory {
			ro = ended
		} else {
			ro = newRollout(r, now)
			ro.repeated = last != nil && last.object.Target == r.Target
			s.log.Info(eventlog.RolloutStarted, "service", service, "target", r.Target, "state", r.State.String(),
				"duration_ms", r.Duration.Milliseconds(), "revision", r.Revision)
			delete(s.rejected, key)
		}
		delete(s.ended, key)
		s.rollouts[service] = ro
		s.registerGauge(service)
	}
	if ro.object.Created.Era < r.Created.Era {
		ro.resume(now)
		s.log.Info(eventlog.RolloutResumed, "service", service, "target", r.Target, "state", ro.state().String(),
			"stored", r.Stored.String(), "created", r.Created, "created_before", ro.object.Created)
	}
	ro.object = r
	return ro
}

// end forgets a rollout in favour of another one, or of none; the caller holds the lock.
func (s *Service) end(service string, now time.Time) {
	ro := s.rollouts[service]
	if ro == nil {
		return
	}
	delete(s.rollouts, service)
	maps.DeleteFunc(s.ended, func(_ releaseKey, e endedRollout) bool { return now.Sub(e.at) >= endedMemory })
	s.ended[releaseKey{service, ro.object.Target}] = endedRollout{ro, now}
}

// resume prepares for the object of a later era: what is due is written to it again.
func (ro *rollout) resume(now time.Time) {
	ro.since = now
	ro.written, ro.runningAt, ro.haltedAt, ro.drainedAt = time.Time{}, time.Time{}, time.Time{}, time.Time{}
}

// concerns reports whether a message is about the rollout. Nodes may know it from
// different eras, and earlier releases send no era.
func (ro *rollout) concerns(m *Message) bool {
	if m.Target != ro.object.Target {
		return false
	}
	return m.Created == ro.id.Number || m.Era != ro.id.Era && !ro.repeated
}

// adoptID takes over the identity from a node that knows the rollout from an earlier era,
// so that all nodes have one order. It reports whether the identity changes.
func (ro *rollout) adoptID(m *Message) bool {
	if m.Era >= ro.id.Era {
		return false
	}
	ro.id = topology.Revision{Era: m.Era, Number: m.Created}
	return true
}
