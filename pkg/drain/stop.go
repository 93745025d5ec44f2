package drain

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrAborted is the cause of the cancellation of requests that are open when a
// planned stop aborts them.
var ErrAborted = errors.New("the node stops before the request has ended")

// minRetryDelay is the least time after which the caller of a leaving node should try
// another one; up to as much again is added at random.
const minRetryDelay = 100 * time.Millisecond

// unknownShare is the share of the time from the request for the stop to the abort that
// a request of unknown duration is expected to take.
const unknownShare = 0.125

// RetryDelay returns the retry delay of a request that a leaving node refuses.
func RetryDelay() time.Duration { return minRetryDelay + rand.N(minRetryDelay) }

// Stop is the planned stop of a node. Nil is a node that has not been asked to stop.
// It is safe for concurrent use.
type Stop struct {
	phases atomic.Pointer[Phases]
	// refused and aborted end when new requests are refused and when open ones are
	// aborted.
	refused, aborted context.Context
	refuse, abort    context.CancelFunc
}

// NewStop returns the stop of a node that has not been asked to stop.
func NewStop() *Stop {
	s := &Stop{}
	s.refused, s.refuse = context.WithCancel(context.Background())
	s.aborted, s.abort = context.WithCancel(context.Background())
	return s
}

// Begin sets the phases once the stop has been requested.
func (s *Stop) Begin(p Phases) { s.phases.Store(&p) }

// Refuse interrupts requests that are still being read. It is to be called when the
// node accepts no more requests.
func (s *Stop) Refuse() { s.refuse() }

// Abort cancels the contexts of open requests.
func (s *Stop) Abort() { s.abort() }

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

// MayEnd reports whether a request that is sent now and likely to take a time, zero if
// that is not known, ends before open requests are aborted. It certainly ends by its
// deadline.
func (s *Stop) MayEnd(now time.Time, likely time.Duration, deadline time.Time) bool {
	p, leaving := s.Phases()
	if !leaving {
		return true
	}
	if likely == 0 {
		likely = time.Duration(unknownShare * float64(p.Abort.Sub(p.Requested)))
	}
	return !now.Add(likely).After(p.Abort) || !deadline.After(p.Abort)
}

// OnRefuse calls f when new requests are refused, unless release is called before.
// release waits for f and reports whether it has not been called.
func (s *Stop) OnRefuse(f func()) (release func() bool) {
	if s == nil {
		return func() bool { return true }
	}
	called := make(chan struct{})
	cancel := context.AfterFunc(s.refused, func() {
		defer close(called)
		f()
	})
	return func() bool {
		if cancel() {
			return true
		}
		<-called
		return false
	}
}

// RequestContext returns a context for a request that is cancelled with ErrAborted as
// its cause when open requests are aborted.
func (s *Stop) RequestContext(parent context.Context) (ctx context.Context, end func()) {
	ctx, cancel := context.WithCancelCause(parent)
	if s == nil {
		return ctx, func() { cancel(nil) }
	}
	release := context.AfterFunc(s.aborted, func() { cancel(ErrAborted) })
	return ctx, func() {
		release()
		cancel(nil)
	}
}
