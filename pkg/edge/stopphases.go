package edge

import "time"

const (
	// acceptShare is the fraction of the grace period in which a leaving node
	// still accepts requests, for callers with cached directory answers.
	acceptShare = 0.375
	// refuseTime is how long requests that arrive when the node no longer accepts any
	// are still refused with an answer, before connections are closed unread.
	refuseTime = 300 * time.Millisecond
	// abortReserve is the time before the end of the grace period at which the
	// node aborts open requests, exitReserve that at which it waits for none of its
	// goroutines any more.
	abortReserve = 700 * time.Millisecond
	exitReserve  = 200 * time.Millisecond
)

// stopPhases are the times at which the phases of a planned stop begin. They depend
// only on when the stop was requested: the platform counts the grace period from
// there, so a phase that begins late leaves less time for open requests.
type stopPhases struct {
	// refuse ends the time in which requests are accepted, close that in which
	// they are answered.
	refuse, close time.Time
	// abort is when open requests are aborted, exit when the process ends.
	abort, exit time.Time
}

func newStopPhases(requested time.Time, grace time.Duration) stopPhases {
	refuse := requested.Add(time.Duration(acceptShare * float64(grace)))
	end := requested.Add(grace)
	return stopPhases{
		refuse: refuse, close: refuse.Add(refuseTime),
		abort: end.Add(-abortReserve), exit: end.Add(-exitReserve),
	}
}
