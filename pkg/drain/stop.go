package drain

import (
	"sync/atomic"
	"time"
)

// Stop is the planned stop of a node. The zero value and nil are a node that has
// not been asked to stop. It is safe for concurrent use.
type Stop struct {
	phases atomic.Pointer[Phases]
}

// Begin sets the phases once the stop has been requested.
func (s *Stop) Begin(p Phases) { s.phases.Store(&p) }

// Phases returns the phases; leaving is false if no stop has been requested.
func (s *Stop) Phases() (p Phases, leaving bool) {
	if s == nil {
		return Phases{}, false
	}
	if p := s.phases.Load(); p != nil {
		return *p, true
	}
	return Phases{}, false
}

// Accepts reports whether new requests are accepted.
func (s *Stop) Accepts(now time.Time) bool {
	p, leaving := s.Phases()
	return !leaving || now.Before(p.Refuse)
}

// Aborting reports whether open requests are being aborted.
func (s *Stop) Aborting(now time.Time) bool {
	p, leaving := s.Phases()
	return leaving && !now.Before(p.Abort)
}
