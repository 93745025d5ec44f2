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
	// unsent are the bindings not yet sent to peers.
	unsent map[uint64]bool
}

// binding is the time of a session's latest request and its release.
type binding struct {
	at  time.Time
	new bool
}

const (
	// sessionMargin multiplies the gap: nodes see a request at different times.
	sessionMargin = 1.3
	// maxSessions limits memory use.
	maxSessions = 20000
	// maxMessageSessions bounds one message.
	maxMessageSessions = 512
)

func newSessions(gap time.Duration) *sessions {
	return &sessions{gap: time.Duration(sessionMargin * float64(gap)), seen: make(map[uint64]binding), unsent: make(map[uint64]bool)}
}

// get returns the binding of a session that is still active.
func (s *sessions) get(key uint64, now time.Time) (binding, bool) {
	b, ok := s.seen[key]
	if !ok || now.Sub(b.at) > s.gap {
		return binding{}, false
	}
	return b, true
}

// bind records a request of a session.
func (s *sessions) bind(key uint64, new bool, now time.Time) {
	if len(s.seen) >= maxSessions {
		s.expire(now)
	}
	s.seen[key] = binding{at: now, new: new}
	s.unsent[key] = true
}

// merge adds a binding from a peer. A session that any node has bound to the
// new release stays there.
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

// take returns the bindings to send to peers: the unsent ones, or all active
// ones.
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
