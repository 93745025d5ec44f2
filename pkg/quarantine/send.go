package quarantine

import (
	"time"

	"cassiapin/pkg/eventlog"
	"cassiapin/pkg/hashing"
)

// Send observes one send of a request. Its methods may be called on nil; they are
// not safe for concurrent use.
type Send struct {
	service  *Service
	upstream string
	request  uint64
	parts    []string
	sent     time.Time
	// begun is when the answer began, zero before.
	begun time.Time
}

// Sent starts to observe a send to an upstream. parts are the ids of the prompt's
// parts that other requests may share.
func (s *Service) Sent(upstream, request string, parts []string) *Send {
	if s == nil {
		return nil
	}
	tracked := make([]string, 0, min(len(parts), maxParts))
	for _, part := range parts[:min(len(parts), maxParts)] {
		if len(part) > 0 && len(part) <= maxPartBytes {
			tracked = append(tracked, part)
		}
	}
	return &Send{service: s, upstream: upstream, request: hashing.Hash(request), parts: tracked, sent: s.clock.Now()}
}

// Progress records that a piece of the answer has arrived.
func (d *Send) Progress() {
	if d == nil {
		return
	}
	if d.begun.IsZero() {
		d.begun = d.service.clock.Now()
		d.service.prove(d.upstream, d.sent)
	}
}

// Answered records that the answer is complete.
func (d *Send) Answered() {
	if d != nil {
		d.service.prove(d.upstream, d.sent)
		d.service.answered(d.parts, d.service.clock.Now())
	}
}

// Broken records that the upstream broke the connection before the answer was
// complete.
func (d *Send) Broken() {
	if d == nil {
		return
	}
	s := d.service
	now := s.clock.Now()
	if !d.begun.IsZero() && now.Sub(d.begun) > establishedAfter {
		return
	}
	s.mu.Lock()
	news := s.table.crashed(d.upstream, now, d.request, d.parts)
	s.updateCounts()
	s.mu.Unlock()
	if news {
		s.wakeUp()
	}
}

// answered records answers to a request with the parts.
func (s *Service) answered(parts []string, now time.Time) {
	if len(parts) == 0 {
		return
	}
	news := false
	var released []string
	s.mu.Lock()
	for _, part := range parts {
		news = len(s.table.crashes) > 0 && s.table.isNews(part, now) || news
		if s.table.answer(part, now) {
			released = append(released, part)
		}
	}
	if len(released) > 0 {
		s.updateCounts()
	}
	s.mu.Unlock()
	for _, part := range released {
		s.log.Info(eventlog.PartReleased, "part", part, "reason", "a request with it was answered")
	}
	if news || len(released) > 0 {
		s.wakeUp()
	}
}

// prove records that an upstream answers a request that was sent at a time, so
// that it had not crashed shortly before.
func (s *Service) prove(upstream string, sent time.Time) {
	if s.recorded.Load() == 0 {
		return
	}
	s.mu.Lock()
	refuted := s.table.refute(upstream, sent)
	if refuted && len(s.refuted) < maxMessageItems {
		s.refuted = append(s.refuted, UpstreamAge{Upstream: upstream, Age: ageOf(sent, s.clock.Now())})
	}
	s.mu.Unlock()
	if refuted {
		s.wakeUp()
	}
}
