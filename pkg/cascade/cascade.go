// Package cascade decides which model answers a request: a small one first,
// and a better one if the small model is not sure of its answer.
package cascade

// acceptConfidence is the model's own opinion of its answer, from 0 to 100,
// from which on the answer is taken. The users' trials compare such bounds.
const acceptConfidence = 50

// Ladder is the state of one request's cascade.
type Ladder struct {
	models []string
	step   int
}

// New returns the cascade over a route's models, smallest first. It has no
// model if the caller chose one itself.
func New(models []string, free bool) *Ladder {
	if !free {
		return &Ladder{}
	}
	return &Ladder{models: models}
}

// Model is the model to ask now, empty for the caller's own choice.
func (l *Ladder) Model() string {
	if len(l.models) == 0 {
		return ""
	}
	return l.models[l.step]
}

// ShouldEscalate reports whether an answer with the confidence is worth asking
// a better model. A negative confidence is unknown and is taken.
func (l *Ladder) ShouldEscalate(confidence int) bool {
	return confidence >= 0 && confidence < acceptConfidence && l.step < len(l.models)-1
}

// Escalate moves to the best model. The models between the smallest and the
// best are seldom right where the smallest is unsure.
func (l *Ladder) Escalate() { l.step = len(l.models) - 1 }
