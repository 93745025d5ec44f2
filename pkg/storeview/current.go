package storeview

import (
	"context"
	"time"

	"cassiapin/pkg/topology"
)

const (
	// currentShare is the age up to which a view counts as current, as a fraction
	// of Options.EffectiveIn. It is above maxNoticeAgeShare, at which a node calls
	// the store, and leaves time to answer by the view.
	currentShare = 0.85
	// currentPoll is the longest pause between two looks at the view.
	currentPoll = 10 * time.Millisecond
)

// Current reports whether the view of a kind includes all changes that must have
// taken effect: it was confirmed recently, and no node has announced a later one.
// A view that is not current proves nothing about what does not exist.
func (s *Service) Current(kind Kind) bool {
	s.mu.Lock()
	p := s.latestProgress[kind]
	s.mu.Unlock()
	limit := time.Duration(currentShare * float64(s.opts.EffectiveIn[kind]))
	return !s.unconfirmed(kind) && s.clock.Since(p.verified) < limit && topology.Revision(s.announced[kind].Load()) <= p.from
}

// AwaitCurrent waits until the view of a kind is current, at most for the given
// time, and reports whether it is.
func (s *Service) AwaitCurrent(ctx context.Context, kind Kind, limit time.Duration) bool {
	until := s.clock.Now().Add(limit)
	for !s.Current(kind) {
		if !s.clock.Now().Before(until) || s.clock.Sleep(ctx, currentPoll) != nil {
			return false
		}
	}
	return true
}
