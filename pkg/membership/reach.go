package membership

import (
	"maps"
	"slices"
	"time"

	"cassiapin/pkg/peer"
	"cassiapin/pkg/timeline"
)

const (
	// recentWindow is how long after its death a member still counts as recent,
	// and how long an isolated node must reach others before it may declare
	// members dead.
	recentWindow = 30 * time.Second
	// resultWindow is how long the result of a probe is taken into account.
	resultWindow = 3 * time.Second
	// sampleSize is the number of members probed before a node considers itself
	// isolated. Neighbours alone are too few: with a third of 410 nodes dead, at
	// 1 node in 7 at least 5 of 9 neighbours are dead. With samples of 64, one of
	// 1,365 simulated survivors still considered itself isolated.
	sampleSize = 128
	// sampleInterval is the sampling period while few members are reachable.
	sampleInterval = 2 * time.Second
	// proberTimeout is how long a node may stop probing another before it counts as
	// silent: two probes may be late or lost.
	proberTimeout = 2*probeInterval + probeTimeout
	// answerWindow is how long an isolated node takes a member for reachable after its
	// last answer: until the next sample's probe has been answered or has timed out.
	answerWindow = sampleInterval + probeTimeout
	// sampleDuration is the time until all probes of a sample have been answered or
	// have timed out.
	sampleDuration = probeTimeout + 2*TickInterval
)

// probeResult is the result of the last direct probe of a member. Its time is
// when the probe was sent: timeouts are detected later than acks, so with the
// time of detection the timeouts of an old sample would count in a new one.
type probeResult struct {
	reached bool
	at      time.Time
}

// reachability tracks whether this node can reach most of the members.
type reachability struct {
	results   map[peer.NodeID]probeResult
	sampledAt time.Time
	isolated  bool
	// probedBy has the last probe by each of the probers.
	probedBy map[peer.NodeID]lastProbe
	// contactSince is when an isolated node began to reach any other member; zero
	// while it reaches none.
	contactSince time.Time
	// hostsAtIsolation is the number of recent hosts when isolation began.
	hostsAtIsolation int
}

// recordResult stores the result of a direct probe that was sent at the given
// time.
func (s *Service) recordResult(id peer.NodeID, reached bool, sent time.Time) {
	r := &s.reach
	if r.results == nil {
		r.results = make(map[peer.NodeID]probeResult)
	}
	r.results[id] = probeResult{reached, sent}
	if e := s.table.entries[id]; e != nil {
		s.setMissed(e, !reached)
	}
}

func (s *Service) setMissed(e *entry, missed bool) {
	if e.missed != missed {
		e.missed = missed
		s.table.chooseCurrent(e)
		s.changed = s.changed || s.reach.isolated
	}
}

// recordAnswer records that an ack of a member has arrived. One that comes after the
// timeout of its probe shows as well that the member is in reach.
func (s *Service) recordAnswer(from peer.NodeID, now time.Time) {
	e := s.table.entries[from]
	if e == nil {
		return
	}
	e.answeredAt, e.lately = now, true
	if r, ok := s.reach.results[from]; ok {
		s.reach.results[from] = probeResult{true, r.at}
	}
	s.setMissed(e, false)
	if s.reach.isolated {
		s.clearSuspicion(from, now)
	}
}

// expireAnswers ends the time for which answers keep members in reach. Only an
// isolated node needs it.
func (s *Service) expireAnswers(now time.Time) {
	if !s.reach.isolated {
		return
	}
	for _, e := range s.table.entries {
		if e.lately && now.Sub(e.answeredAt) >= answerWindow {
			e.lately = false
			s.changed = s.changed || e.missed
		}
	}
}

// outOfReach reports whether this node is isolated and has not reached a member
// lately. An isolated node probes all members in turn, since suspicions no longer
// reach it.
func (s *Service) outOfReach(e *entry) bool {
	return s.reach.isolated && e.missed && !e.lately && e.member.ID != s.self.ID
}

// sampleCounts returns the number of recently probed hosts and how many of them
// were reached, both including self, and drops results that have expired or are of
// instances that have been replaced or have left.
func (s *Service) sampleCounts(now time.Time) (sampled, reached int) {
	sampled, reached = 1, 1
	for id, v := range s.reach.results {
		age := now.Sub(v.at)
		e := s.table.entries[id]
		if e == nil || age > resultWindow || e.gone() || s.table.replaced(e) {
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

// neighboursUnresponsive reports whether at least half of the current neighbours
// missed their last probe.
func (s *Service) neighboursUnresponsive() bool {
	unresponsive := 0
	for _, id := range s.overlay.neighbours {
		if v, ok := s.reach.results[id]; ok && !v.reached {
			unresponsive++
		}
	}
	return unresponsive > 0 && 2*unresponsive >= len(s.overlay.neighbours)
}

// lastProbe is what a node knows of one of its probers.
type lastProbe struct {
	at time.Time
	// isolated is set if the prober considers itself isolated.
	isolated bool
}

// probersTroubled reports whether at least half of the nodes that probe this one have
// stopped or are isolated. Then floods may not reach it any more, as they take the
// same way, or nobody floods what has happened.
func (s *Service) probersTroubled(now time.Time) bool {
	heard, troubled := 0, 0
	for _, id := range s.overlay.probers {
		last, known := s.reach.probedBy[id]
		if e := s.table.entries[id]; !known || e == nil || e.left {
			continue
		}
		if heard++; last.isolated || now.Sub(last.at) > proberTimeout {
			troubled++
		}
	}
	return troubled > 0 && 2*troubled >= heard
}

// recordProber records that a member has probed this node.
func (r *reachability) recordProber(id peer.NodeID, isolated bool, now time.Time) {
	if r.probedBy == nil {
		r.probedBy = make(map[peer.NodeID]lastProbe)
	}
	r.probedBy[id] = lastProbe{now, isolated}
}

// restartProberTimeouts restarts the time-outs of the nodes that probe this one after
// this process was paused.
func (r *reachability) restartProberTimeouts(now time.Time) {
	for id, last := range r.probedBy {
		last.at = now
		r.probedBy[id] = last
	}
}

// forgetProbers drops members that are not among the probers.
func (r *reachability) forgetProbers(probers []peer.NodeID) {
	maps.DeleteFunc(r.probedBy, func(id peer.NodeID, _ lastProbe) bool { return !slices.Contains(probers, id) })
}

// recentHosts returns the number of hosts whose current instance is not dead or died
// without leaving within recentWindow, and the number of those where it is not dead;
// both include this node's.
func (s *Service) recentHosts(now time.Time) (recent, notDead int) {
	recent, notDead = len(s.table.hosts), len(s.table.hosts)
	for _, e := range s.table.flagged {
		if e.member.State != peer.Dead || s.table.replaced(e) {
			continue
		}
		notDead--
		if e.left || now.Sub(e.since) >= recentWindow {
			recent--
		}
	}
	return recent, notDead
}

// tickReach probes a sample of the members when few neighbours respond or probe this
// node, and decides whether this node is isolated.
func (s *Service) tickReach(now time.Time) {
	sampled, reached := s.sampleCounts(now)
	recent, notDead := s.recentHosts(now)
	s.reach.updateContact(reached > 1, now)
	fewReached := 2*reached < sampled
	degraded := fewReached || s.neighboursUnresponsive() || s.probersTroubled(now)
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
	disconnected := fewReached || 2*notDead < recent
	switch {
	case !s.reach.isolated && disconnected:
		s.reach.hostsAtIsolation = recent
		s.setIsolated(true)
		s.expireAnswers(now)
	case s.reach.isolated && !disconnected && s.canEndIsolation(now, notDead):
		s.setIsolated(false)
		// Suspicions raised during the isolation are not evidence of a failure.
		for _, e := range sortedEntries(s.table.flagged, func(e *entry) bool { return e.member.State == peer.Suspect }) {
			s.clearSuspicion(e.member.ID, now)
		}
	}
}

// mayDeclareDead reports whether this node may declare members dead. An isolated
// node may not, since it would report the whole fleet dead when it reconnects.
// Once it has reached some others for recentWindow, the rest counts as dead.
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

// hasSustainedContact reports whether an isolated node has reached some others for
// all of recentWindow; the members it cannot reach then count as dead.
func (r *reachability) hasSustainedContact(now time.Time) bool {
	return !r.contactSince.IsZero() && now.Sub(r.contactSince) >= recentWindow
}

// clearSuspicion withdraws this node's own suspicion of a member.
func (s *Service) clearSuspicion(id peer.NodeID, now time.Time) {
	if e := s.table.entries[id]; e != nil && e.member.State == peer.Suspect {
		m := e.member
		m.State = e.liveState()
		s.setMember(m, now)
	}
}

// canEndIsolation reports whether an isolation can end: the number of hosts that
// are not dead is at least half of that when it began, or the node has reached
// some others for recentWindow. A node that is alone stays isolated.
func (s *Service) canEndIsolation(now time.Time, notDead int) bool {
	return 2*notDead >= s.reach.hostsAtIsolation || s.reach.hasSustainedContact(now)
}

func (s *Service) setIsolated(isolated bool) {
	s.reach.isolated = isolated
	s.changed = true
	detail := "isolated"
	if !isolated {
		detail = "connected"
	}
	s.events.Record(timeline.Event{Kind: timeline.NodeIsolated, Detail: detail})
	s.log.Info("node isolation changed", "state", detail)
}

// startSample probes members that were live within recentWindow and are neither
// replaced nor gone, those first that have not been in a sample for the longest time.
func (s *Service) startSample(now time.Time) {
	s.reach.sampledAt = now
	candidates := s.table.sorted(func(e *entry) bool {
		recent := e.member.State != peer.Dead || now.Sub(e.since) < recentWindow
		return e.member.ID != s.self.ID && recent && (e.live() || !e.gone() && !s.table.replaced(e))
	})
	s.rng.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	slices.SortStableFunc(candidates, func(a, b *entry) int { return a.sampledAt.Compare(b.sampledAt) })
	for _, e := range candidates[:min(len(candidates), sampleSize)] {
		e.sampledAt = now
		s.sendProbe(now, &inFlight{target: e.member.ID, purpose: sample})
	}
}
