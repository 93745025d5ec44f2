package membership

import (
	"maps"
	"slices"
	"time"

	"cassiapin/pkg/peer"
)

// Joins and changes of readiness are offered by hash to the neighbours, which request
// what they lack and offer that in turn. A flood would bring each of these records to
// each node over all of its neighbours, and when many nodes start at once there is one
// for each of them. Suspicions, refutations and leaves are urgent, and are flooded.

// offerMessage names changes of members by their contributions to the digest.
type offerMessage struct {
	Changes []uint64 `cbor:"1,keyasint"`
}

const (
	// wantTimeout is how long a node waits for a change before it requests it from
	// another node that has offered it.
	wantTimeout = 300 * time.Millisecond
	// maxSources bounds the nodes remembered for a wanted change.
	maxSources = 4
)

// want is a change that another node has been asked for.
type want struct {
	// sources are further nodes that have offered it.
	sources []peer.NodeID
	asked   time.Time
}

// offers is the state of offering changes.
type offers struct {
	// due has the members whose changes are offered at the next tick.
	due    map[peer.NodeID]struct{}
	wanted map[uint64]*want
}

func newOffers() offers {
	return offers{due: make(map[peer.NodeID]struct{}), wanted: make(map[uint64]*want)}
}

// passOn offers the records of alive members, if all nodes take offers, and floods the
// others.
func (s *Service) passOn(records []record) {
	if !s.allTakeOffers() {
		s.flood(records...)
		return
	}
	var flooded []record
	for _, r := range records {
		if r.State == peer.Alive && r.complete() {
			s.offers.due[r.ID] = struct{}{}
		} else {
			flooded = append(flooded, r)
		}
	}
	if len(flooded) > 0 {
		s.flood(flooded...)
	}
}

func (s *Service) allTakeOffers() bool {
	for _, e := range s.table.entries {
		if e.live() && !e.member.Offers {
			return false
		}
	}
	return true
}

// tickOffers makes the offers that are due, and requests from others what has not come.
func (s *Service) tickOffers(now time.Time) {
	if len(s.offers.due) > 0 {
		s.makeOffers()
	}
	again := make(map[peer.NodeID][]uint64)
	for change, w := range s.offers.wanted {
		switch {
		case s.table.changes[change] != nil:
			delete(s.offers.wanted, change)
		case now.Sub(w.asked) < wantTimeout:
		case len(w.sources) == 0:
			delete(s.offers.wanted, change)
		default:
			again[w.sources[0]] = append(again[w.sources[0]], change)
			w.sources, w.asked = w.sources[1:], now
		}
	}
	for _, to := range slices.Sorted(maps.Keys(again)) {
		slices.Sort(again[to])
		s.notify(to, kindWant, offerMessage{again[to]})
	}
}

// makeOffers offers the changes that are due. It floods them if a node that takes no
// offers has joined since.
func (s *Service) makeOffers() {
	due := s.table.sorted(func(e *entry) bool { _, ok := s.offers.due[e.member.ID]; return ok && e.live() })
	clear(s.offers.due)
	if !s.allTakeOffers() {
		var records []record
		for _, e := range due {
			records = append(records, fullRecord(e.member))
		}
		if len(records) > 0 {
			s.flood(records...)
		}
		return
	}
	var m offerMessage
	for _, e := range due {
		m.Changes = append(m.Changes, e.digest)
	}
	if len(m.Changes) == 0 {
		return
	}
	for _, to := range s.overlay.neighbours {
		s.notify(to, kindOffer, m)
	}
}

// onOffer requests the changes that this node lacks.
func (s *Service) onOffer(now time.Time, from peer.NodeID, m offerMessage) {
	var ask []uint64
	for _, change := range m.Changes {
		w := s.offers.wanted[change]
		switch {
		case s.table.changes[change] != nil:
		case w == nil && len(s.offers.wanted) < maxMembers:
			s.offers.wanted[change] = &want{asked: now}
			ask = append(ask, change)
		case w != nil && len(w.sources) < maxSources:
			w.sources = append(w.sources, from)
		}
	}
	if len(ask) > 0 {
		s.notify(from, kindWant, offerMessage{ask})
	}
}

// onWant returns the requested changes.
func (s *Service) onWant(_ time.Time, from peer.NodeID, m offerMessage) {
	var records []record
	for _, change := range m.Changes {
		if e := s.table.changes[change]; e != nil && len(records) < maxMembers {
			records = append(records, e.record(s.reach.isolated))
		}
	}
	if len(records) > 0 {
		s.notify(from, kindChanges, updateMessage{Records: records})
	}
}

// onChanges merges changes that this node has requested, and offers them in turn.
func (s *Service) onChanges(now time.Time, _ peer.NodeID, m updateMessage) {
	var fresh []record
	for _, r := range m.Records {
		if s.merge(r, now) {
			s.dropQueued(r)
			fresh = append(fresh, s.updateFor(r))
		}
	}
	if len(fresh) > 0 {
		s.passOn(fresh)
	}
}
