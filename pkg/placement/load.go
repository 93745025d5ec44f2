package placement

import (
	"math"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"cassiapin/pkg/topology"
)

const (
	// remainderTau is the time constant with which an observed remainder fades to
	// the usual one: a request lasts about as long.
	remainderTau = 2 * time.Second
	// usualWeight is the EWMA weight of the latest observation in the usual
	// remainder.
	usualWeight = 0.05
	// paceWeight is the EWMA weight of the latest report of an upstream's pace,
	// which changes many times a second.
	paceWeight = 0.2
	// minPace and maxPace bound a reported pace, so that a wrong one neither
	// attracts nor repels all requests.
	minPace, maxPace = 0.5, 4.0
	// paceTau is the time constant with which a pace fades to the usual one
	// without reports.
	paceTau = 5 * time.Second
)

// remainder is the number of requests at an upstream that are not this node's,
// observed when the upstream reports its load.
type remainder struct {
	requests float64
	at       time.Time
}

// usualRemainder is the key of the mean remainder of the upstreams of a service that
// are in this node's failure domain, or of the rest.
type usualRemainder struct {
	service string
	local   bool
}

// load is the estimated work at an upstream.
type load struct {
	requests float64
	// prefill is the pending prefill time.
	prefill time.Duration
	// pace is how long work takes compared with the usual.
	pace float64
}

// estimate returns the load of an upstream: this node's requests, and for those of
// other nodes the latest observation, which fades to what is usual for such
// upstreams. So an upstream that has not reported for long does not look idle beside
// those that have.
func (t *Table) estimate(u *topology.Upstream, local bool, now time.Time) load {
	s := t.state(u, now)
	rest := t.usual[usualRemainder{u.Service, local}]
	if !s.rest.at.IsZero() {
		rest += (s.rest.requests - rest) * math.Exp(-now.Sub(s.rest.at).Seconds()/remainderTau.Seconds())
	}
	return load{requests: float64(s.open) + rest, prefill: s.prefill, pace: s.currentPace(now)}
}

// observeLoad updates the estimate of an upstream by a report.
func (t *Table) observeLoad(u *topology.Upstream, r Report, local bool, now time.Time) {
	s := t.state(u, now)
	estimated := t.estimate(u, local, now).requests
	reported := float64(r.Running + r.Waiting)
	estimateError.Update(math.Abs(estimated - reported))
	s.rest = remainder{requests: max(reported-float64(s.open), 0), at: now}
	key := usualRemainder{u.Service, local}
	if old, ok := t.usual[key]; ok {
		t.usual[key] = old + usualWeight*(s.rest.requests-old)
	} else {
		t.usual[key] = s.rest.requests
	}
	if r.Pace > 0 {
		pace := min(max(r.Pace, minPace), maxPace)
		s.pace, s.paceAt = s.currentPace(now)*(1-paceWeight)+paceWeight*pace, now
	}
}

// currentPace returns the pace of an upstream, which fades to 1 without reports.
func (s *state) currentPace(now time.Time) float64 {
	if s.paceAt.IsZero() {
		return 1
	}
	return 1 + (s.pace-1)*math.Exp(-now.Sub(s.paceAt).Seconds()/paceTau.Seconds())
}

// estimateError is the difference between the estimated and the reported number of
// requests at an upstream, at each report.
var estimateError = metrics.GetOrCreateHistogram("cassiapin_load_estimate_error_requests")
