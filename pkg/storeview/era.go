package storeview

import (
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"

	"cassiapin/pkg/eventlog"
	"cassiapin/pkg/topology"
)

// returns counts the times that the store came back from an older copy.
var returns = metrics.GetOrCreateCounter("cassiapin_store_returns_total")

// errEarlierEra is returned for a late answer of an earlier era of the store.
var errEarlierEra = errors.New("the answer is from before the store came back from an older copy")

// noteAnswer records the revision of an answer of the store. It fails if the answer is of
// an earlier era than another one.
func (s *Service) noteAnswer(revision topology.Revision) error {
	s.revealed.Note(revision)
	s.noteEra(revision)
	if revision.Era < s.revealedRevision().Era {
		return errEarlierEra
	}
	return nil
}

// noteEra records the era of an answer of the store. In a new one the kinds are listed:
// the store has lost changes, and gives their revisions out again.
func (s *Service) noteEra(r topology.Revision) {
	s.mu.Lock()
	known, first := s.era, !s.eraKnown
	s.eraKnown = true
	s.era = max(s.era, r.Era)
	config := s.configVersionLocked()
	if r.Era > known {
		s.contact = contact{} // The store has lost entries since.
	}
	s.mu.Unlock()
	if first || r.Era <= known {
		return
	}
	returns.Inc()
	s.log.Warn(eventlog.StoreReturned, "era", r.Era, "from", s.revealedBefore(r.Era), "to", r, "config", config)
	for kind := Configurations; kind <= Evacuations; kind++ {
		if s.kindBefore(kind, r.Era) {
			s.requestList(kind)
		}
	}
}

// kindBefore reports whether the state of a kind is from before an era: a notice may have
// had that of the era already.
func (s *Service) kindBefore(kind Kind, era uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	d := s.digests[kind]
	return d != nil && d.era < era
}

// revealedBefore returns the latest revision that the store revealed before an era.
func (s *Service) revealedBefore(era uint64) topology.Revision {
	s.mu.Lock()
	defer s.mu.Unlock()
	var latest topology.Revision
	for _, p := range s.latestProgress {
		if p.from.Era < era {
			latest = topology.Latest(latest, p.from)
		}
	}
	return latest
}

// requestList tells the follower of a kind to list it.
func (s *Service) requestList(kind Kind) {
	s.listRequested[kind].Store(true)
	select {
	case s.callRequests[kind] <- struct{}{}:
	default: // Requested already.
	}
}

// enterEra records that the state of a kind is of an era of the store, by the changes that
// another node has read. The caller holds the lock.
func (s *Service) enterEra(kind Kind, era uint64, now time.Time) {
	d := s.digests[kind]
	if d == nil || era <= d.era {
		return
	}
	s.tracker.EnterEra(kind, era, now)
	d.era = era
	if kind == Upstreams {
		s.contact = contact{}
	}
}
