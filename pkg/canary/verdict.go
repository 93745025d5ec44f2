package canary

import (
	"maps"
	"time"

	"cassiapin/pkg/topology"
)

const (
	// verdictWait is the time after the beginning of an era in which a node writes no
	// verdict of its own: the store may have lost another one, of which its readers tell.
	verdictWait = maxReportAge
	// heardFor is how long messages count about a rollout that this node's view lacks.
	heardFor = probation
)

// state returns the furthest state that this node knows.
func (ro *rollout) state() topology.RolloutState {
	if ro.verdict.Final() {
		return ro.verdict
	}
	return ro.object.State
}

// takeVerdict takes over the final state of the object; the caller holds the lock. The
// store's holds for all nodes, another one until it is written again.
func (s *Service) takeVerdict(service string, ro *rollout) {
	r := ro.object
	switch {
	case r.Stored.Final():
		s.decided(service, ro, r.Stored)
	case r.State.Final() && !ro.verdict.Final():
		s.decided(service, ro, r.State)
	}
}

// decided records the verdict on a rollout; the caller holds the lock.
func (s *Service) decided(service string, ro *rollout, verdict topology.RolloutState) {
	ro.verdict = verdict
	if verdict == topology.RolloutCompleted {
		ro.halted, ro.share = "", 1
		return
	}
	s.rejected[releaseKey{service, ro.object.Target}] = true
	s.halt(ro, "rolled back")
}

// mayDecide reports whether this node may write a verdict.
func (ro *rollout) mayDecide(now time.Time) bool {
	return ro.verdict.Final() || now.Sub(ro.since) >= verdictWait
}

// heardRollout is what other nodes tell of a rollout that the view lacks.
type heardRollout struct {
	at                time.Time
	halted, completed bool
}

// hear records a message about a rollout that the view lacks: the store may have come back
// from a copy that lacks it, and the other nodes know it from before. The caller holds the
// lock.
func (s *Service) hear(m *Message, now time.Time) {
	maps.DeleteFunc(s.heard, func(_ releaseKey, h heardRollout) bool { return now.Sub(h.at) >= heardFor })
	s.heard[releaseKey{m.Service, m.Target}] = heardRollout{at: now, halted: m.Halted != "", completed: m.Completed}
}

// heardOf returns what was heard of the releases of a service; the caller holds the lock.
func (s *Service) heardOf(service string, now time.Time) map[string]heardRollout {
	heard := make(map[string]heardRollout)
	for key, h := range s.heard {
		if key.service == service && now.Sub(h.at) < heardFor {
			heard[key.release] = h
		}
	}
	return heard
}
