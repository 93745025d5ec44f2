// Package cascade decides which model answers a request: a small one first,
// and a better one if the small model is not sure of its answer. The better
// model takes several times the work, so fewer requests get it while the
// upstreams are late.
package cascade

import "time"

const (
	// acceptConfidence is the model's own opinion of its answer, from 0 to 100,
	// from which on the answer is taken while the upstreams are idle. The
	// users' trials compare such bounds.
	acceptConfidence = 50
	// lowDelayShare is the delay of first events up to which all unsure answers
	// are asked again, and fullDelay the one from which on none is, both as
	// parts of the latency objective. Between them the bound falls evenly, so
	// that the delay settles below the objective at any load.
	lowDelayShare  = 0.10
	highDelayShare = 0.50
	// maxExpectedShare is the part of the latency objective in which the better model's
	// first event has to be expected: later it earns less than the unsure
	// answer.
	maxExpectedShare = 0.9
)

// State is the state of one request's cascade.
type State struct {
	models []string
	index  int
}

// New returns the cascade over a route's models, smallest first. It has no
// model if the caller chose one itself.
func New(models []string, routerChooses bool) *State {
	if !routerChooses {
		return &State{}
	}
	return &State{models: models}
}

// Model is the model to ask now, empty for the caller's own choice.
func (l *State) Model() string {
	if len(l.models) == 0 {
		return ""
	}
	return l.models[l.index]
}

// Better is the model to ask next, empty if there is none. The models between
// the smallest and the best are seldom right where the smallest is unsure.
func (l *State) Better() string {
	if l.index >= len(l.models)-1 {
		return ""
	}
	return l.models[len(l.models)-1]
}

// EscalationInput is what is known when an answer begins.
type EscalationInput struct {
	// Confidence is the model's opinion of its answer, negative if unknown.
	Confidence int
	// Delay is how much later than on idle upstreams first events come now.
	Delay time.Duration
	// Expected is when the better model's first event would come, counted from
	// the request's arrival; Target is the objective.
	Expected, Target time.Duration
}

// ShouldEscalate reports whether the better model is worth asking. An unknown
// confidence is taken.
func (l *State) ShouldEscalate(o EscalationInput) bool {
	if o.Confidence < 0 || l.Better() == "" {
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

// Escalate moves to the better model.
func (l *State) Escalate() { l.index = len(l.models) - 1 }
