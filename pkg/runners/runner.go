package runners

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"cassiapin/pkg/config"
	"cassiapin/pkg/holdoff"
	"cassiapin/pkg/peer"
)

// Timing of reports and backoff.
const (
	// reportTTL is the age at which a report expires.
	reportTTL = 5 * time.Second
	// ownerReportTimeout is the age of the owner's last report at which a node
	// polls the runner directly. Owners send at least every 2 s.
	ownerReportTimeout = 2200 * time.Millisecond
	// coldStartHold is how long a detected cold start overrides reports of a warm
	// runner, because engines report with a delay.
	coldStartHold = 3 * time.Second
	// refusalBackoff is the pause after a refusal, so that a burst does not send
	// one message per request to the owner.
	refusalBackoff = 100 * time.Millisecond
)

// runner is this node's state of one runner.
type runner struct {
	name      string
	domainKey string
	shard     string
	// isEjected mirrors ejection.ejected for readers that do not hold mu.
	isEjected atomic.Bool

	mu              sync.Mutex
	decl            *config.Upstream
	report          Report
	receivedAt      time.Time
	ownerReportedAt time.Time
	owner           peer.NodeID
	coldUntil       time.Time
	backoffUntil    time.Time
	directPolledAt  time.Time
	subscribedAt    time.Time
	rampStartedAt   time.Time
	lastState       State
	everWarm        bool
	// hostLeaving reports that the platform's host list marks the runner's host
	// as leaving.
	hostLeaving bool
	// belief is what the runner has said in answers to requests.
	belief      holdoff.Belief
	outstanding int
	limit       gradientLimit
	ejection    ejection
}

func newRunner(u *config.Upstream, shard string) *runner {
	return &runner{
		name:      u.Name,
		domainKey: config.DomainKey(u.FailureDomain),
		shard:     shard,
		decl:      u,
		lastState: Unknown,
		limit:     newGradientLimit(u.Capacity),
	}
}

// state returns the runner's state as far as it is known at the given time.
func (r *runner) state(now time.Time) State {
	switch {
	case r.hostLeaving, !r.belief.LeavingSince().IsZero():
		return Leaving
	case r.receivedAt.IsZero() || now.Sub(r.receivedAt) > reportTTL:
		if r.report.State == Leaving {
			return Leaving
		}
		if now.Before(r.coldUntil) {
			return Cold
		}
		return Unknown
	case (r.report.State == Warm || r.report.State == Warming) && now.Before(r.coldUntil):
		return Cold
	}
	return r.report.State
}

// coldLimit returns the runner's concurrency limit: the one from a fresh report,
// else the declared cold limit.
func (r *runner) coldLimit(now time.Time) int {
	fresh := !r.receivedAt.IsZero() && now.Sub(r.receivedAt) <= reportTTL
	if !fresh || now.Before(r.coldUntil) {
		return r.decl.ColdLimit
	}
	return r.report.MaxConcurrency
}

// accept applies a report unless it is stale, and reports whether it did. Owner
// reports are ordered by epoch and sequence; the result of a node's own poll is
// ignored while owner reports arrive.
func (r *runner) accept(rep Report, from peer.NodeID, byOwner bool, now time.Time) bool {
	if byOwner {
		if rep.Epoch < r.report.Epoch || rep.Epoch == r.report.Epoch && rep.Sequence <= r.report.Sequence {
			return false
		}
		r.ownerReportedAt, r.owner = now, from
	} else {
		if !r.ownerReportedAt.IsZero() && now.Sub(r.ownerReportedAt) < ownerReportTimeout {
			return false
		}
		rep.Epoch, rep.Sequence = r.report.Epoch, r.report.Sequence
	}
	rep.Running, rep.Queued = max(0, rep.Running), max(0, rep.Queued)
	rep.MaxConcurrency = max(0, rep.MaxConcurrency)
	if left := r.belief.LeavingSince(); !left.IsZero() && rep.State != Leaving && rep.State != Unknown && (rep.State == Cold || now.Sub(left) > coldStartHold) {
		// A new process runs at the address: a report of the one that leaves says
		// so too.
		r.belief = holdoff.Belief{}
	}
	if rep.State == Cold {
		// The reports have caught up with the detected cold start.
		r.coldUntil = time.Time{}
	}
	r.report = rep
	if byOwner && rep.State == Unknown {
		r.receivedAt = time.Time{}
	} else {
		r.receivedAt = now.Add(-time.Duration(max(0, rep.AgeMS)) * time.Millisecond)
	}
	return true
}

// markCold marks the runner as cold for coldStartHold, and reports whether its
// state changed.
func (r *runner) markCold(now time.Time) bool {
	changed := r.state(now) != Cold
	if changed {
		r.coldUntil = now.Add(coldStartHold)
	}
	return changed
}

// transition returns the state at the previous call and the current one, and
// starts the ramp of a runner that returns to service.
func (r *runner) transition(now time.Time) (before, after State) {
	before, after = r.lastState, r.state(now)
	r.lastState = after
	if after == Warm && before != Warm {
		if r.everWarm || before != Unknown {
			r.rampStartedAt = now
		}
		r.everWarm = true
	}
	return before, after
}

// maxOpen returns the maximum number of requests that this node may have open at
// the runner.
func (r *runner) maxOpen(now time.Time) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch state := r.state(now); {
	case state == Leaving, r.ejection.ejected:
		return 0
	case state == Warm:
		return r.limit.value()
	}
	return r.coldLimit(now)
}

// weight returns the load weight, which rises from rampStart to 1 over rampTime
// after the runner returns to service.
func (r *runner) weight(now time.Time) float64 {
	if r.rampStartedAt.IsZero() {
		return 1
	}
	passed := now.Sub(r.rampStartedAt)
	if passed >= rampTime {
		return 1
	}
	return rampStart + (1-rampStart)*float64(passed)/float64(rampTime)
}

// candidate returns the balancer's view of the runner; ok is false if the runner
// accepts no requests for the version now.
func (r *runner) candidate(ref config.VersionRef, now time.Time) (c Candidate, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	state := r.state(now)
	half := r.ejection.halfOpen(now)
	if state == Leaving || r.ejection.ejected && !half || r.belief.State(r.outstanding, now) != holdoff.Open {
		return Candidate{}, false
	}
	if state != Unknown && len(r.report.Versions) > 0 && !slices.Contains(r.report.Versions, ref) {
		return Candidate{}, false
	}
	capacity := r.report.Capacity
	if capacity <= 0 {
		capacity = r.decl.Capacity
	}
	return Candidate{
		Upstream:    r.decl,
		State:       state,
		Reported:    r.report.Running + r.report.Queued,
		Capacity:    capacity,
		Outstanding: r.outstanding,
		Limit:       r.limit.value(),
		Weight:      r.weight(now),
		HalfOpen:    half,
	}, true
}
