package membership

import (
	"time"

	"cassiapin/pkg/peer"
	"cassiapin/pkg/timeline"
)

const (
	// recentWindow is the time for which members that were alive count.
	recentWindow = 30 * time.Second
	// resultWindow is the time for which the outcome of a probe counts.
	resultWindow = 3 * time.Second
	// sampleSize is the number of members that are probed before a node calls
	// itself isolated. Its neighbours alone are too few: with a third of 410
	// nodes dead, 5 of 9 neighbours are dead at 1 node in 7. With samples of 64
	// one of 1,365 simulated survivors still called itself isolated.
	sampleSize = 128
	// sampleInterval is the period of samples while few members are reached.
	sampleInterval = 2 * time.Second
	// sampleDuration is the time a sample needs to give a verdict.
	sampleDuration = probeTimeout + 2*TickInterval
)

// probeResult is the outcome of the last direct probe of a member. Its time is that
// of the probe: misses are known later than answers, and if they also counted
// longer, the misses of an old sample would be added to a new one.
type probeResult struct {
	reached bool
	at      time.Time
}

// reachability judges whether this node reaches most of the members.
type reachability struct {
	results   map[peer.NodeID]probeResult
	sampledAt time.Time
	isolated  bool
	// contactSince is since when an isolated node reaches others at all; zero
	// while it reaches none.
	contactSince time.Time
	// membersAtIsolation is the number of members known when isolation began.
	membersAtIsolation int
}

// recordResult records the outcome of a direct probe that was sent at the given time.
func (r *reachability) recordResult(id peer.NodeID, reached bool, sent time.Time) {
	if r.results == nil {
		r.results = make(map[peer.NodeID]probeResult)
	}
	r.results[id] = probeResult{reached, sent}
}

// sampleCounts returns the number of sampled members, self included, and of those
// that were reached.
func (s *Service) sampleCounts(now time.Time) (sampled, reached int) {
	sampled, reached = 1, 1
	for id, v := range s.reach.results {
		age := now.Sub(v.at)
		e := s.table.entries[id]
		if e == nil || age > resultWindow || e.left && !e.live() {
			delete(s.reach.results, id)
			continue
		}
		sampled++
		if v.reached {
			reached++
		}
	}
	return sampled, reached
}

// neighboursUnresponsive reports whether half of the present neighbours or more did
// not answer their last probe.
func (s *Service) neighboursUnresponsive() bool {
	unresponsive := 0
	for _, id := range s.overlay.neighbours {
		if v, ok := s.reach.results[id]; ok && !v.reached {
			unresponsive++
		}
	}
	return unresponsive > 0 && 2*unresponsive >= len(s.overlay.neighbours)
}

// recent returns the number of members that were alive within the window, and
// of those that still are, self included.
func (s *Service) recent(now time.Time) (known, alive int) {
	known, alive = len(s.table.entries), len(s.table.entries)
	for _, e := range s.table.flagged {
		if e.member.State != peer.Dead {
			continue
		}
		alive--
		if e.left || now.Sub(e.since) >= recentWindow {
			known--
		}
	}
	return known, alive
}

// tickReach samples members when few neighbours answer and decides whether the
// node is isolated.
func (s *Service) tickReach(now time.Time) {
	sampled, reached := s.sampleCounts(now)
	recent, alive := s.recent(now)
	s.reach.updateContact(reached > 1, now)
	fewReached := 2*reached < sampled
	degraded := fewReached || s.neighboursUnresponsive()
	if degraded || s.reach.isolated {
		age := now.Sub(s.reach.sampledAt)
		if age >= sampleInterval {
			s.startSample(now)
			return
		}
		if age < sampleDuration {
			return
		}
	}
	disconnected := fewReached || 2*alive < recent
	switch {
	case !s.reach.isolated && disconnected:
		s.reach.membersAtIsolation = recent
		s.setIsolated(true)
	case s.reach.isolated && !disconnected && s.canEndIsolation(now, alive):
		s.setIsolated(false)
		// What was suspected during the isolation says nothing of the members.
		for _, e := range sortedEntries(s.table.flagged, func(e *entry) bool { return e.member.State == peer.Suspect }) {
			s.clearSuspicion(e.member.ID, now)
		}
	}
}

// mayDeclareDead reports whether this node may declare members dead. An isolated
// node may not, since it would come back with claims against the whole fleet;
// once it reaches some others for long enough, the rest is taken to be gone.
func (s *Service) mayDeclareDead(now time.Time) bool {
	return !s.reach.isolated || s.reach.hasSustainedContact(now)
}

func (r *reachability) updateContact(reachesOthers bool, now time.Time) {
	if !r.isolated || !reachesOthers {
		r.contactSince = time.Time{}
	} else if r.contactSince.IsZero() {
		r.contactSince = now
	}
}

// hasSustainedContact reports whether an isolated node has reached some others for the
// whole window, after which the members it does not reach are taken to be gone.
func (r *reachability) hasSustainedContact(now time.Time) bool {
	return !r.contactSince.IsZero() && now.Sub(r.contactSince) >= recentWindow
}

// clearSuspicion takes back this node's own suspicion of a member.
func (s *Service) clearSuspicion(id peer.NodeID, now time.Time) {
	if e := s.table.entries[id]; e != nil && e.member.State == peer.Suspect {
		m := e.member
		m.State = e.liveState()
		s.setMember(m, now)
	}
}

// canEndIsolation decides the end of an isolation: most of the former members are
// back, or the node has reached most of the remaining ones for so long that
// the others must be gone. A node that is alone stays isolated.
func (s *Service) canEndIsolation(now time.Time, alive int) bool {
	return 2*alive >= s.reach.membersAtIsolation || s.reach.hasSustainedContact(now)
}

func (s *Service) setIsolated(isolated bool) {
	s.reach.isolated = isolated
	s.changed = true
	detail := "isolated"
	if !isolated {
		detail = "connected"
	}
	s.events.Record(timeline.Event{Kind: timeline.NodeIsolated, Detail: detail})
	s.log.Info("reach of this node changed", "state", detail)
}

// startSample probes random members that were alive within the window.
func (s *Service) startSample(now time.Time) {
	s.reach.sampledAt = now
	candidates := s.table.sorted(func(e *entry) bool {
		return e.member.ID != s.self.ID && (e.member.State != peer.Dead || !e.left && now.Sub(e.since) < recentWindow)
	})
	s.rng.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	for _, e := range candidates[:min(len(candidates), sampleSize)] {
		s.sendProbe(now, &inFlight{target: e.member.ID, purpose: sample})
	}
}
