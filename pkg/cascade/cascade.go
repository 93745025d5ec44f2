// Package cascade decides which model answers a request: the smallest one
// first, then the largest if the confidence of the first answer is too low. The
// largest model needs several times the work, so fewer requests are escalated
// while the upstreams are late.
package cascade

import "time"

const (
	// acceptConfidence is the model's confidence in its answer, from 0 to 100,
	// from which on the answer is accepted while the upstreams are idle.
	acceptConfidence = 50
	// lowDelayShare is the delay of first events up to which acceptConfidence
	// applies in full, and highDelayShare the delay from which on nothing is
	// escalated, both as shares of the latency objective. Between them the
	// threshold falls linearly, so that the delay settles below the objective
	// at any load.
	lowDelayShare  = 0.10
	highDelayShare = 0.50
	// maxExpectedShare is the share of the latency objective within which the
	// first event of the larger model must be expected: a later one is worth
	// less than the low-confidence answer.
	maxExpectedShare = 0.9
)

// State is the state of one request's cascade.
type State struct {
	models []string
	index  int
}

// New returns the cascade over a route's models, smallest first. It has no
// models if the caller named one.
func New(models []string, routerChooses bool) *State {
	if !routerChooses {
		return &State{}
	}
	return &State{models: models}
}

// Model returns the model to use now; empty is the model that the caller named.
func (s *State) Model() string {
	if len(s.models) == 0 {
		return ""
	}
	return s.models[s.index]
}

// Larger returns the model to escalate to, or "" if there is none. That is the
// largest model: those in between are seldom right where the smallest has a low
// confidence.
func (s *State) Larger() string {
	if s.index >= len(s.models)-1 {
		return ""
	}
	return s.models[len(s.models)-1]
}

// EscalationInput is the input of the decision, known when an answer begins.
type EscalationInput struct {
	// Confidence is the model's confidence in its answer; negative is unknown.
	Confidence int
	// Delay is the current delay of first events compared with idle upstreams.
	Delay time.Duration
	// Expected is the expected time from the request's arrival to the larger
	// model's first event; Target is the latency objective.
	Expected, Target time.Duration
}

// ShouldEscalate reports whether to escalate to the larger model. An answer of
// unknown confidence is accepted.
func (s *State) ShouldEscalate(o EscalationInput) bool {
	if o.Confidence < 0 || s.Larger() == "" {
		return false
	}
	if o.Target <= 0 {
		return o.Confidence < acceptConfidence
	}
	if o.Expected > time.Duration(maxExpectedShare*float64(o.Target)) {
		return false
	}
	pressure := (o.Delay.Seconds()/o.Target.Seconds() - lowDelayShare) / (highDelayShare - lowDelayShare)
	return float64(o.Confidence) < acceptConfidence*(1-min(max(pressure, 0), 1))
}

// Escalate switches to the largest model.
func (s *State) Escalate() { s.index = len(s.models) - 1 }
