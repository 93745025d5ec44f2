// Package drain decides when the phases of a node's planned stop begin and which
// requests the node still accepts.
package drain

import "time"

const (
	// AcceptShare is the fraction of the grace period in which requests may be accepted:
	// none that is sent later.
	AcceptShare = 0.375
	// lateShare is the fraction of the grace period by which the node may notice the
	// stop late: it accepts requests for that much less than AcceptShare.
	lateShare = 0.0625
	// RefuseTime is how long connections are still accepted to refuse their requests
	// with an answer.
	RefuseTime = 300 * time.Millisecond
	// abortReserve is the time before the end of the grace period at which the
	// node aborts open requests, cutReserve that at which it closes the connections on
	// which they are being answered, and exitReserve that at which it waits for none of
	// its goroutines any more.
	abortReserve = 700 * time.Millisecond
	cutReserve   = 350 * time.Millisecond
	exitReserve  = 200 * time.Millisecond
	// minGrace is the grace period from which on these times are not shortened.
	minGrace = 2 * time.Second
)

// Phases are the times at which the phases of a planned stop begin. They depend
// only on when the stop was requested, as far as the node knows: the grace period
// counts from there, so a phase that begins late leaves less time for open requests.
type Phases struct {
	Requested time.Time
	// Refuse ends the time in which requests are accepted, Close that in which
	// connections are.
	Refuse, Close time.Time
	// Abort is when open requests are aborted, Cut when connections are closed whose
	// callers have not read their answers, Exit when the process ends.
	Abort, Cut, Exit time.Time
}

// NewPhases returns the phases of a stop with a grace period.
func NewPhases(requested time.Time, grace time.Duration) Phases {
	// Shorter grace periods have the same phases in proportion.
	scale := func(d time.Duration) time.Duration {
		return time.Duration(min(1, float64(grace)/float64(minGrace)) * float64(d))
	}
	refuse := requested.Add(time.Duration((AcceptShare - lateShare) * float64(grace)))
	end := requested.Add(grace)
	return Phases{
		Requested: requested,
		Refuse:    refuse, Close: refuse.Add(scale(RefuseTime)),
		Abort: end.Add(-scale(abortReserve)), Cut: end.Add(-scale(cutReserve)), Exit: end.Add(-scale(exitReserve)),
	}
}
