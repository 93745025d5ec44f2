package runners

import "time"

// Parameters of outlier ejection.
const (
	consecutiveFailureLimit = 5
	outcomeWindow           = 20
	baseEjectionTime        = 5 * time.Second
	maxEjectionTime         = 60 * time.Second
	// rampTime and rampStart limit the load on a runner after it returns to
	// service (slow start).
	rampTime  = 10 * time.Second
	rampStart = 0.1
)

// ejection tracks the failures of one runner and whether it is ejected.
type ejection struct {
	consecutive int
	outcomes    [outcomeWindow]bool
	total       int
	ejected     bool
	until       time.Time
	duration    time.Duration
	probing     bool
}

// record adds an outcome and reports whether the runner should be ejected.
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

// eject starts an ejection; each consecutive one lasts twice as long, up to
// maxEjectionTime.
func (e *ejection) eject(now time.Time) {
	e.duration = min(maxEjectionTime, max(baseEjectionTime, 2*e.duration))
	e.ejected, e.probing, e.until = true, false, now.Add(e.duration)
}

// restore ends an ejection after a successful probe.
func (e *ejection) restore() { *e = ejection{} }

// halfOpen reports whether a probe request may be sent to the ejected runner.
func (e *ejection) halfOpen(now time.Time) bool {
	return e.ejected && !e.probing && !now.Before(e.until)
}
