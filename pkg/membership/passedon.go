package membership

import (
	"time"

	"cassiapin/pkg/peer"
)

// passedOnTTL is how long a node does not forward a change once more. All floods of one
// failure arrive within less; later ones are forwarded, because a neighbour may have
// been unreachable before.
const passedOnTTL = 3 * time.Second

// change is what an update says of a member, and when this node passed it on.
type change struct {
	incarnation uint64
	state       int // As ranked by rank.
	at          time.Time
}

// covers reports whether a record says nothing later than a change.
func (c change) covers(r record, now time.Time) bool {
	later := r.Incarnation > c.incarnation || r.Incarnation == c.incarnation && rank(r.State) > c.state
	return !later && now.Sub(c.at) <= passedOnTTL
}

// news returns the part of a flooded update that has changes which this node has not
// flooded or forwarded, or nil. When many nodes fail, several others notice each failure
// and flood it; only the first of these floods has to reach all nodes. After a mass start
// the updates of most nodes have a few such changes among many known ones. What this node
// has learned in another way, from a join for instance, it has to pass on once as well.
func (s *Service) news(body []byte) []byte {
	var m updateMessage
	if peer.Decode(body, &m) != nil {
		return nil // The handler reports the error.
	}
	s.mu.Lock()
	fresh := s.notePassedOn(m.Records)
	s.mu.Unlock()
	switch len(fresh) {
	case 0:
		return nil
	case len(m.Records):
		return body
	}
	part, err := peer.Encode(updateMessage{Records: fresh})
	if err != nil {
		return body
	}
	return part
}

// notePassedOn records that this node floods or forwards records, and returns those with
// a change that it had not passed on.
func (s *Service) notePassedOn(records []record) (fresh []record) {
	now := s.clock.Now()
	if len(s.passedOn) > 2*maxMembers {
		clear(s.passedOn) // Members of long ago; the others are passed on once more.
	}
	for _, r := range records {
		if last, known := s.passedOn[r.ID]; !known || !last.covers(r, now) {
			s.passedOn[r.ID] = change{r.Incarnation, rank(r.State), now}
			fresh = append(fresh, r)
		}
	}
	return fresh
}
