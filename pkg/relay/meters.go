package relay

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"cassiapin/pkg/knowledge"
	"cassiapin/pkg/limits"
	"cassiapin/pkg/topology"
)

// The outcomes of requests in metrics.
const (
	outcomeAnswered   = "answered"
	outcomeRefused    = "refused"
	outcomeFailed     = "failed"
	outcomeCallerLeft = "caller_left"
)

// noKind is the kind of a request that has no route.
const noKind = "none"

// countOutcome counts the final answer of a request.
func (f *flow) countOutcome(outcome string) {
	kind := noKind
	if f.route != nil {
		kind = f.route.Kind.String()
	}
	metrics.GetOrCreateCounter(fmt.Sprintf(`cassiapin_requests_total{kind=%q,outcome=%q}`, kind, outcome)).Inc()
	metrics.GetOrCreateHistogram(fmt.Sprintf(`cassiapin_request_duration_seconds{kind=%q,outcome=%q}`, kind, outcome)).
		Update(f.elapsed().Seconds())
}

// countFirstByte measures the time to the first byte of an answer.
func (f *flow) countFirstByte(d time.Duration) {
	metrics.GetOrCreateHistogram(fmt.Sprintf(`cassiapin_first_byte_seconds{kind=%q,model=%q}`, f.route.Kind, f.model)).
		Update(d.Seconds())
}

// sendGood is the outcome of a send with a good answer; others have the name
// of their result code.
const sendGood = "good"

// countSend counts the end of one send.
func (f *flow) countSend(u *topology.Upstream, outcome string) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`cassiapin_sends_total{failure_domain=%q,model=%q,outcome=%q}`,
		u.FailureDomain, f.model, outcome)).Inc()
}

// countDenied counts repeats for which there was no budget.
func countDenied(p limits.Purpose) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`cassiapin_repeats_denied_total{purpose=%q}`, p)).Inc()
}

// registerGauges shows the present state of the service. Several services in
// one process, as in tests, show the first one's.
func (s *Service) registerGauges() {
	metrics.GetOrCreateGauge("cassiapin_requests_open", func() float64 { return float64(s.Open()) })
	metrics.GetOrCreateGauge("cassiapin_retry_budget_left", func() float64 { return s.opts.RetryBudget.Remaining() })
	for kind := knowledge.Configurations; kind <= knowledge.Evacuations; kind++ {
		metrics.GetOrCreateGauge(fmt.Sprintf(`cassiapin_knowledge_age_seconds{kind=%q}`, kind), func() float64 {
			return s.opts.Knowledge.Age(kind).Seconds()
		})
	}
}
