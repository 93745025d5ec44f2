// Package drain decides when the phases of a node's planned stop begin and which
// requests the node still accepts.
package drain

import (
	"sync/atomic"
	"time"
)

const (
	// AcceptShare is the fraction of the grace period in which a leaving node
	// still accepts requests, for callers with cached directory answers.
	AcceptShare = 0.375
	// RefuseTime is how long requests that arrive when the node no longer accepts any
	// are still refused with an answer, before connections are closed unread.
	RefuseTime = 300 * time.Millisecond
	// abortReserve is the time before the end of the grace period at which the
	// node aborts open requests, exitReserve that at which it waits for none of its
	// goroutines any more.
	abortReserve = 700 * time.Millisecond
	exitReserve  = 200 * time.Millisecond
)

// Phases are the times at which the phases of a planned stop begin. They depend
// only on when the stop was requested: the platform counts the grace period from
// there, so a phase that begins late leaves less time for open requests.
type Phases struct {
	Requested time.Time
	// Refuse ends the time in which requests are accepted, Close that in which
	// they are answered.
	Refuse, Close time.Time
	// Abort is when open requests are aborted, Exit when the process ends.
	Abort, Exit time.Time
}

// NewPhases returns the phases of a stop with a grace period.
func NewPhases(requested time.Time, grace time.Duration) Phases {
	refuse := requested.Add(time.Duration(AcceptShare * float64(grace)))
	end := requested.Add(grace)
	return Phases{
		Requested: requested,
		Refuse:    refuse, Close: refuse.Add(RefuseTime),
		Abort: end.Add(-abortReserve), Exit: end.Add(-exitReserve),
	}
}

// Stop is the planned stop of a node. The zero value and nil are a node that has
// not been asked to stop. It is safe for concurrent use.
type Stop struct {
	phases atomic.Pointer[Phases]
}

// Begin sets the phases once the stop has been requested.
func (s *Stop) Begin(p Phases) { s.phases.Store(&p) }

// Phases returns the phases; ok is false if no stop has been requested.
func (s *Stop) Phases() (p Phases, ok bool) {
	if s == nil {
		return Phases{}, false
	}
	if p := s.phases.Load(); p != nil {
		return *p, true
	}
	return Phases{}, false
}

// Aborting reports whether open requests are being aborted.
func (s *Stop) Aborting(now time.Time) bool {
	p, leaving := s.Phases()
	return leaving && !now.Before(p.Abort)
}
