package runners

import "time"

// The parameters of ejection.
const (
	consecutiveFailureLimit = 5
	outcomeWindow           = 20
	baseEjectionTime        = 5 * time.Second
	maxEjectionTime         = 60 * time.Second
	// rampTime and rampStart bound the load on a runner that returns.
	rampTime  = 10 * time.Second
	rampStart = 0.1
)

// ejection follows the failures of one runner.
type ejection struct {
	consecutive int
	outcomes    [outcomeWindow]bool
	total       int
	ejected     bool
	until       time.Time
	duration    time.Duration
	probing     bool
}

// record notes an outcome and reports whether the runner deserves ejection.
func (e *ejection) record(failed bool) bool {
	e.outcomes[e.total%outcomeWindow] = failed
	e.total++
	if !failed {
		e.consecutive = 0
		return false
	}
	e.consecutive++
	if e.consecutive >= consecutiveFailureLimit {
		return true
	}
	if e.total < outcomeWindow {
		return false
	}
	failures := 0
	for _, f := range e.outcomes {
		if f {
			failures++
		}
	}
	return failures*2 > outcomeWindow
}

// eject starts an ejection; each repetition lasts twice as long.
func (e *ejection) eject(now time.Time) {
	e.duration = min(maxEjectionTime, max(baseEjectionTime, 2*e.duration))
	e.ejected, e.probing, e.until = true, false, now.Add(e.duration)
}

// restore ends an ejection after a successful probe.
func (e *ejection) restore() { *e = ejection{} }

// halfOpen reports whether one probe request may be sent.
func (e *ejection) halfOpen(now time.Time) bool {
	return e.ejected && !e.probing && !now.Before(e.until)
}
