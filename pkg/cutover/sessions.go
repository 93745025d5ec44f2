package cutover

import (
	"time"
)

// sessions remembers which sessions are under way at which release. Only
// sessions whose cohort may try a new release are kept, so the memory and the
// messages stay small at any rate of requests.
type sessions struct {
	gap  time.Duration
	seen map[uint64]binding
	// unsent are the bindings that peers have not been told.
	unsent map[uint64]bool
}

// binding says that a session had a request at a moment.
type binding struct {
	at  time.Time
	new bool
}

const (
	// sessionMargin is added to the gap: nodes see a request at different
	// times.
	sessionMargin = 1.3
	// maxSessions bounds the memory.
	maxSessions = 20000
	// maxMessageSessions bounds one message.
	maxMessageSessions = 512
)

func newSessions(gap time.Duration) *sessions {
	return &sessions{gap: time.Duration(sessionMargin * float64(gap)), seen: make(map[uint64]binding), unsent: make(map[uint64]bool)}
}

// get returns the binding of a session that is still under way.
func (s *sessions) get(key uint64, now time.Time) (binding, bool) {
	b, ok := s.seen[key]
	if !ok || now.Sub(b.at) > s.gap {
		return binding{}, false
	}
	return b, true
}

// bind notes a request of a session.
func (s *sessions) bind(key uint64, new bool, now time.Time) {
	if len(s.seen) >= maxSessions {
		s.expire(now)
	}
	s.seen[key] = binding{at: now, new: new}
	s.unsent[key] = true
}

// merge takes a binding from a peer. A session that any node has started at
// the new release stays there.
func (s *sessions) merge(key uint64, new bool, now time.Time) {
	old, ok := s.get(key, now)
	s.seen[key] = binding{at: now, new: new || ok && old.new}
}

func (s *sessions) expire(now time.Time) {
	for key, b := range s.seen {
		if now.Sub(b.at) > s.gap {
			delete(s.seen, key)
			delete(s.unsent, key)
		}
	}
}

// take returns the bindings to tell peers: the new ones, or all that are under
// way.
func (s *sessions) take(all bool, now time.Time) (old, new []uint64) {
	s.expire(now)
	for key, b := range s.seen {
		if !all && !s.unsent[key] || len(old)+len(new) >= maxMessageSessions {
			continue
		}
		delete(s.unsent, key)
		if b.new {
			new = append(new, key)
		} else {
			old = append(old, key)
		}
	}
	return old, new
}
