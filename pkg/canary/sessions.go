package canary

import (
	"time"
)

// sessions records which release each active session uses. Only sessions that a
// canary may choose are kept, so memory and messages stay small at any request
// rate.
type sessions struct {
	gap  time.Duration
	seen map[uint64]binding
	// unsent is how often the bindings have yet to be sent to peers.
	unsent map[uint64]int
	// open counts the requests of a session that are open at this node.
	open map[uint64]int
}

// binding is the release of a session and the time at which it was last active: at
// the start and the end of each request, and meanwhile every refreshShare of the gap.
type binding struct {
	at  time.Time
	new bool
}

const (
	// sessionMargin multiplies the gap: nodes see a request at different times, and
	// those that hear of it see it later.
	sessionMargin = 1.05
	// refreshShare is the period at which other nodes hear of a session with an open
	// request, as a fraction of the gap: the session lasts for a gap after its end.
	refreshShare = 1.0 / 3
	// bindingSends is the number of reports with a binding: one of them may be lost.
	bindingSends = 2
	// maxSessions limits memory use.
	maxSessions = 20000
	// maxMessageSessions bounds one message.
	maxMessageSessions = 512
)

func newSessions(gap time.Duration) *sessions {
	return &sessions{
		gap: time.Duration(sessionMargin * float64(gap)), seen: make(map[uint64]binding),
		unsent: make(map[uint64]int), open: make(map[uint64]int),
	}
}

// opened counts a request of a session, closed its end at a release.
func (s *sessions) opened(key uint64) { s.open[key]++ }

func (s *sessions) closed(key uint64, new bool, now time.Time) {
	if s.open[key]--; s.open[key] <= 0 {
		delete(s.open, key)
	}
	s.bind(key, new, now)
}

// get returns the binding of a session that is still active.
func (s *sessions) get(key uint64, now time.Time) (binding, bool) {
	b, ok := s.seen[key]
	if !ok || s.ended(key, b, now) {
		return binding{}, false
	}
	return b, true
}

func (s *sessions) ended(key uint64, b binding, now time.Time) bool {
	return now.Sub(b.at) > s.gap && s.open[key] == 0
}

// bind records a request of a session.
func (s *sessions) bind(key uint64, new bool, now time.Time) {
	if len(s.seen) >= maxSessions {
		s.expire(now)
	}
	s.seen[key] = binding{at: now, new: new}
	s.unsent[key] = bindingSends
}

// merge adds a binding from a peer. A session that any node has bound to the
// new release stays there.
func (s *sessions) merge(key uint64, new bool, now time.Time) {
	old, ok := s.get(key, now)
	s.seen[key] = binding{at: now, new: new || ok && old.new}
}

func (s *sessions) expire(now time.Time) {
	for key, b := range s.seen {
		if s.ended(key, b, now) {
			delete(s.seen, key)
			delete(s.unsent, key)
		}
	}
}

// take returns the bindings to send to peers: the unsent ones, or all active
// ones, at most maxMessageSessions.
func (s *sessions) take(all bool, now time.Time) (old, new []uint64) {
	s.expire(now)
	for key := range s.open {
		if b, ok := s.seen[key]; ok && now.Sub(b.at) > time.Duration(refreshShare*float64(s.gap)) {
			s.bind(key, b.new, now)
		}
	}
	for key, b := range s.seen {
		if !all && s.unsent[key] == 0 || len(old)+len(new) >= maxMessageSessions {
			continue
		}
		if s.unsent[key]--; s.unsent[key] <= 0 {
			delete(s.unsent, key)
		}
		if b.new {
			new = append(new, key)
		} else {
			old = append(old, key)
		}
	}
	return old, new
}

// all returns the active bindings.
func (s *sessions) all(now time.Time) (old, new []uint64) {
	for key, b := range s.seen {
		switch {
		case s.ended(key, b, now):
		case b.new:
			new = append(new, key)
		default:
			old = append(old, key)
		}
	}
	return old, new
}
