package relay

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"cassiapin/pkg/limits"
	"cassiapin/pkg/storeview"
	"cassiapin/pkg/topology"
)

// Values of the outcome label of request metrics.
const (
	outcomeAnswered   = "answered"
	outcomeRefused    = "refused"
	outcomeFailed     = "failed"
	outcomeCallerLeft = "caller_left"
	outcomeAborted    = "aborted"
)

// Stages of a request, labels of the callers that left.
const (
	stageUnsent    = "unsent"
	stageWaiting   = "waiting"
	stageAnswering = "answering"
)

// stage returns how far the request has got.
func (f *flow) stage() string {
	switch {
	case f.sends == 0:
		return stageUnsent
	case f.begun:
		return stageAnswering
	}
	return stageWaiting
}

// countCallerLeft counts a request whose caller has disconnected.
func countCallerLeft(stage string) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`cassiapin_callers_left_total{stage=%q}`, stage)).Inc()
}

// noKind is the kind label of requests without a route.
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

// countFirstByte records the time to the first byte of an answer.
func (f *flow) countFirstByte(d time.Duration) {
	metrics.GetOrCreateHistogram(fmt.Sprintf(`cassiapin_first_byte_seconds{kind=%q,model=%q}`, f.route.Kind, f.model)).
		Update(d.Seconds())
}

// sendGood is the outcome label of a successful send; failed sends are labelled
// with the name of their result code.
const sendGood = "good"

// countSend counts a finished send.
func (f *flow) countSend(u *topology.Upstream, outcome string) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`cassiapin_sends_total{failure_domain=%q,model=%q,outcome=%q}`,
		u.FailureDomain, f.model, outcome)).Inc()
}

// countBroken counts an attempt whose connection broke off, by whether its
// answer had begun.
func countBroken(begun bool) {
	phase := "waiting"
	if begun {
		phase = "answering"
	}
	metrics.GetOrCreateCounter(fmt.Sprintf(`cassiapin_sends_broken_total{phase=%q}`, phase)).Inc()
}

// countDenied counts retries and escalations denied by the retry budget.
func countDenied(p limits.Purpose) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`cassiapin_repeats_denied_total{purpose=%q}`, p)).Inc()
}

// registerGauges registers gauges of the service's state. If a process has
// several services, as in tests, the gauges show the first one.
func (s *Service) registerGauges() {
	metrics.GetOrCreateGauge("cassiapin_requests_open", func() float64 { return float64(s.Open()) })
	metrics.GetOrCreateGauge("cassiapin_retry_budget_left", func() float64 { return s.opts.RetryBudget.Remaining() })
	for kind := storeview.Configurations; kind <= storeview.Evacuations; kind++ {
		metrics.GetOrCreateGauge(fmt.Sprintf(`cassiapin_knowledge_age_seconds{kind=%q}`, kind), func() float64 {
			return s.opts.Views.Age(kind).Seconds()
		})
	}
}
