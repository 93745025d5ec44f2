package storeview

import (
	"context"
	"time"

	"cassiapin/pkg/eventlog"
	"cassiapin/pkg/topology"
)

// contact is the span, on the clock of pauses, in which the store has answered this node's
// own calls without a gap in which an entry that is renewed can expire. Notices don't count:
// one that is late would hide an outage. since is zero before the first answer.
type contact struct{ since, last time.Duration }

// note records that the store answered between two times, the second by when the answer
// was known. gap is the shortest one that ends the span.
func (c *contact) note(from, known, gap time.Duration) {
	if c.since == 0 || known-c.last >= gap {
		c.since = known
	}
	c.last = max(c.last, from)
}

// noteContact records an answer of the store about the upstreams. It is called before
// what the answer shows is applied.
func (s *Service) noteContact(kind Kind, from, known time.Duration) {
	if kind != Upstreams {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.contact.note(min(from, known), known, 2*s.opts.Tracker.Heartbeat)
}

// noteMissing records the revisions of upstreams whose entries are missing. The caller
// holds the lock.
func (s *Service) noteMissing(kind Kind, deletions []Change) {
	if kind != Upstreams {
		return
	}
	for _, c := range deletions {
		s.missing = topology.Latest(s.missing, c.Object.Revision)
		if d := s.digests[kind]; d != nil {
			s.missing = topology.Latest(s.missing, d.revisions[c.Object.Name])
		}
	}
}

// contactFor answers a query about the contact with the store in which this node has
// learned the state of the querier.
func (s *Service) contactFor(q Query) (Reply, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	// A state before the revision q.After may lack an entry that was created later.
	if q.Kind != Upstreams || s.contact.since == 0 || s.latestProgress[q.Kind].from.Before(q.After) ||
		q.Digest == 0 || q.Digest != s.digestLocked(q.Kind) {
		return Reply{}, errNotProven
	}
	return Reply{Notice: Notice{Kind: q.Kind}, ContactMS: (s.pauses.now() - s.contact.since).Milliseconds()}, nil
}

// graceLoop asks other nodes, while entries are missing after an outage, whether the
// store was away.
func (s *Service) graceLoop(ctx context.Context) {
	for s.clock.Sleep(ctx, expireInterval) == nil {
		s.verifyOutage(ctx)
	}
}

// verifyOutage ends the grace period if another node lacks the same entries and has been in
// contact with the store since before the outage: then only this node was cut off, and
// what is missing was removed.
func (s *Service) verifyOutage(ctx context.Context) {
	s.mu.Lock()
	lost, awaits := s.tracker.AwaitsRenewals(s.clock.Now())
	q := Query{Kind: Upstreams, After: s.missing, Contact: true, Digest: s.digestLocked(Upstreams)}
	s.mu.Unlock()
	if !awaits {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, proofQueryTimeout)
	defer cancel()
	r, err := s.opts.Peers.Query(ctx, q)
	if err != nil || r.ContactMS <= 0 {
		return
	}
	s.update(func(now time.Time) bool {
		if now.Add(-time.Duration(r.ContactMS) * time.Millisecond).After(lost) {
			return false
		}
		gone := s.tracker.EndGrace(lost)
		for _, id := range gone {
			s.log.Info(eventlog.UpstreamGone, "upstream", id, "reason", "removed while this node was cut off from the store")
		}
		return len(gone) > 0
	})
}

// acceptGrace extends the grace period by that of another node's outage, unless this node
// has been in contact with the store since before it. The caller holds the lock.
func (s *Service) acceptGrace(n Notice, now time.Time) {
	if n.GraceMS <= 0 {
		return
	}
	outage := time.Duration(n.OutageMS) * time.Millisecond
	if outage > 0 && s.contact.since > 0 && s.pauses.now()-s.contact.since >= outage {
		return
	}
	var lost time.Time
	if outage > 0 {
		lost = now.Add(-outage)
	}
	s.tracker.Grace(lost, now.Add(time.Duration(n.GraceMS)*time.Millisecond))
}

// setGrace puts the grace period of this node into a notice.
func (s *Service) setGrace(n *Notice) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	if left := s.tracker.graceUntil.Sub(now); left > 0 {
		n.GraceMS = left.Milliseconds()
		if lost := s.tracker.graceFor; !lost.IsZero() {
			n.OutageMS = now.Sub(lost).Milliseconds()
		}
	}
}
